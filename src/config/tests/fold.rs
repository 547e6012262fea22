//! Each rule of the fold.

use super::{Stream, clear, pool, record, set};
use crate::config::fold::{Fold, MAX_EXCEPTIONS, MAX_REMOVALS, Step};
use crate::config::record::{
    Body, Cause, Error, Expire, Raise, Record, Set, Value, Verdict, encode,
};
use crate::platform;

fn apply(fold: &mut Fold, record: &Record) -> Step {
    fold.apply(&platform::Record {
        offset: fold.next_offset(),
        body: encode(record).unwrap(),
    })
}

fn verdict(fold: &mut Fold, record: &Record) -> Verdict {
    match apply(fold, record) {
        Step::Decided { verdict, .. } | Step::Repeated { verdict, .. } => verdict,
        other => panic!("{other:?}"),
    }
}

fn cause(fold: &mut Fold, record: &Record) -> Cause {
    match verdict(fold, record) {
        Verdict::Refused(refusal) => refusal.cause,
        Verdict::Accepted(revision) => panic!("accepted as {revision}"),
    }
}

fn timeout(ms: u64, base: u64) -> Body {
    set("request-timeout", None, Value::Ms(ms), base)
}

#[test]
fn concurrent_changes_have_one_winner() {
    let mut fold = Fold::new();
    let first = verdict(&mut fold, &record("a", timeout(2_000, 0)));
    assert_eq!(first, Verdict::Accepted(1));
    let second = cause(&mut fold, &record("b", timeout(4_000, 0)));
    assert_eq!(second, Cause::Stale);
}

#[test]
fn unrelated_key_is_no_conflict() {
    let mut fold = Fold::new();
    verdict(&mut fold, &record("a", timeout(2_000, 0)));
    let other = set("queue-bound", None, Value::Count(9), 0);
    assert_eq!(
        verdict(&mut fold, &record("b", other)),
        Verdict::Accepted(2)
    );
    let scoped = set("request-timeout", pool("orders"), Value::Ms(900), 0);
    assert_eq!(
        verdict(&mut fold, &record("c", scoped)),
        Verdict::Accepted(3)
    );
}

#[test]
fn repeated_attempt_keeps_first_verdict() {
    let mut fold = Fold::new();
    let change = record("a", timeout(2_000, 0));
    verdict(&mut fold, &change);
    verdict(&mut fold, &record("b", timeout(5_000, 1)));
    assert_eq!(verdict(&mut fold, &change), Verdict::Accepted(1));
    assert_eq!(fold.revision(), 2);
}

#[test]
fn removal_counts_as_change() {
    let mut fold = Fold::new();
    let scoped = |base| set("request-timeout", pool("orders"), Value::Ms(900), base);
    verdict(&mut fold, &record("a", scoped(0)));
    let removed = clear("request-timeout", pool("orders"), 1);
    assert_eq!(
        verdict(&mut fold, &record("b", removed)),
        Verdict::Accepted(2)
    );
    assert_eq!(cause(&mut fold, &record("c", scoped(1))), Cause::Stale);
    assert_eq!(
        verdict(&mut fold, &record("d", scoped(2))),
        Verdict::Accepted(4)
    );
}

#[test]
fn forgotten_removal_still_refuses_older_base() {
    let mut fold = Fold::new();
    for i in 0..=MAX_REMOVALS {
        let name = format!("pool-{i}");
        let base = fold.next_offset();
        let add = set("queue-bound", pool(&name), Value::Count(1), base);
        verdict(&mut fold, &record(format!("a{i}"), add));
        let base = fold.next_offset();
        verdict(
            &mut fold,
            &record(format!("b{i}"), clear("queue-bound", pool(&name), base)),
        );
    }
    let again = set("queue-bound", pool("pool-0"), Value::Count(1), 1);
    assert_eq!(cause(&mut fold, &record("z", again)), Cause::Stale);
}

#[test]
fn invalid_values_are_refused() {
    let mut fold = Fold::new();
    let wrong_type = set("request-timeout", None, Value::Count(3), 0);
    let too_large = timeout(600_001, 0);
    let not_finite = set("hedge-budget", None, Value::Ratio(0.51), 0);
    for (i, body) in [wrong_type, too_large, not_finite].into_iter().enumerate() {
        assert_eq!(cause(&mut fold, &record(i, body)), Cause::Invalid);
    }
    let unknown = set("no-such", None, Value::Count(3), 0);
    assert_eq!(
        cause(&mut fold, &record("u", unknown)),
        Cause::UnknownSetting
    );
    let ahead = timeout(100, 99);
    assert_eq!(cause(&mut fold, &record("v", ahead)), Cause::Invalid);
    assert_eq!(fold.revision(), 0);
}

#[test]
fn exceptions_are_limited() {
    let mut fold = Fold::new();
    for i in 0..MAX_EXCEPTIONS {
        let body = set("queue-bound", pool(&format!("p{i}")), Value::Count(1), 0);
        verdict(&mut fold, &record(i, body));
    }
    let one_more = set("queue-bound", pool("more"), Value::Count(1), 0);
    assert_eq!(cause(&mut fold, &record("x", one_more)), Cause::OverLimit);
    let replaced = set("queue-bound", pool("p0"), Value::Count(2), 1);
    assert!(matches!(
        verdict(&mut fold, &record("y", replaced)),
        Verdict::Accepted(_)
    ));
}

#[test]
fn exception_without_reason_is_refused() {
    let mut fold = Fold::new();
    let body = Body::Set(Set {
        setting: "queue-bound".into(),
        scope: pool("orders"),
        value: Value::Count(1),
        base: 0,
        reason: " ".into(),
        expires_ms: None,
    });
    assert_eq!(cause(&mut fold, &record("a", body)), Cause::Invalid);
}

#[test]
fn unknown_fields_are_ignored() {
    let mut fold = Fold::new();
    let text = r#"{"version":1,"attempt":"a","author":"m","later":{"x":[1]},"body":{"set":
        {"setting":"request-timeout","value":{"ms":700},"base":0,"reason":"r","later":1}}}"#;
    let step = fold.apply(&platform::Record {
        offset: 0,
        body: text.into(),
    });
    assert!(matches!(
        step,
        Step::Decided {
            verdict: Verdict::Accepted(1),
            ..
        }
    ));
}

#[test]
fn newer_record_is_refused_until_level_is_raised() {
    let mut fold = Fold::new();
    let mut newer = record("a", timeout(700, 0));
    newer.version = 2;
    assert_eq!(cause(&mut fold, &newer), Cause::Unreadable);
    let raise = record("b", Body::Raise(Raise { level: 2 }));
    assert_eq!(apply(&mut fold, &raise), Step::Halted(2));
    assert_eq!(fold.next_offset(), 1, "the fold stays before the record");
    assert_eq!(apply(&mut fold, &raise), Step::Halted(2));
    let jump = record("c", Body::Raise(Raise { level: 9 }));
    assert_eq!(cause(&mut fold, &jump), Cause::Invalid);
}

#[test]
fn exception_expires_by_record() {
    let mut fold = Fold::new();
    let body = Body::Set(Set {
        setting: "queue-bound".into(),
        scope: pool("orders"),
        value: Value::Count(1),
        base: 0,
        reason: "harvest supper".into(),
        expires_ms: Some(5_000),
    });
    verdict(&mut fold, &record("a", body));
    let expire = |revision, now_ms| {
        Body::Expire(Expire {
            setting: "queue-bound".into(),
            scope: pool("orders").unwrap(),
            revision,
            now_ms,
        })
    };
    assert_eq!(
        cause(&mut fold, &record("b", expire(1, 4_999))),
        Cause::Invalid
    );
    assert_eq!(
        cause(&mut fold, &record("c", expire(2, 9_000))),
        Cause::Stale
    );
    assert_eq!(
        verdict(&mut fold, &record("d", expire(1, 5_000))),
        Verdict::Accepted(4)
    );
    assert_eq!(fold.entries().count(), 0);
    assert_eq!(
        cause(&mut fold, &record("e", expire(1, 5_000))),
        Cause::Stale
    );
}

#[test]
fn checkpoint_restores_same_state() {
    let mut fold = Fold::new();
    verdict(&mut fold, &record("a", timeout(700, 0)));
    let ratio = set(
        "hedge-budget",
        pool("orders"),
        Value::Ratio(0.123_456_789),
        0,
    );
    verdict(&mut fold, &record("b", ratio));
    verdict(&mut fold, &record("c", timeout(800, 0)));
    let checkpoint = fold.checkpoint().unwrap();
    let text = serde_json::to_vec(&checkpoint).unwrap();
    let read = crate::config::record::decode_checkpoint(&text).unwrap();
    let restored = Fold::restore(&read).unwrap();
    assert_eq!(restored.checkpoint().unwrap(), checkpoint);
    assert_eq!(restored.view(), fold.view());
}

#[test]
fn altered_checkpoint_is_refused() {
    let mut fold = Fold::new();
    verdict(&mut fold, &record("a", timeout(700, 0)));
    let mut checkpoint = fold.checkpoint().unwrap();
    checkpoint.state.entries[0].value = Value::Ms(1);
    let before = fold.clone();
    assert!(matches!(
        fold.adopt(&checkpoint),
        Err(Error::Digest { next: 1 })
    ));
    assert_eq!(fold, before);
}

#[test]
fn older_checkpoint_is_refused() {
    let mut fold = Fold::new();
    verdict(&mut fold, &record("a", timeout(700, 0)));
    let old = fold.checkpoint().unwrap();
    verdict(&mut fold, &record("b", timeout(800, 1)));
    assert!(matches!(fold.adopt(&old), Err(Error::Backwards { .. })));
    assert_eq!(fold.revision(), 2);
}

#[test]
fn checkpoint_of_other_changes_is_diverged() {
    let (mut ours, mut theirs) = (Fold::new(), Fold::new());
    verdict(&mut ours, &record("a", timeout(700, 0)));
    verdict(&mut theirs, &record("b", timeout(900, 0)));
    let other = theirs.checkpoint().unwrap();
    assert!(matches!(
        ours.adopt(&other),
        Err(Error::Diverged { revision: 1 })
    ));
    let in_stream = record("c", Body::Checkpoint(other));
    assert_eq!(apply(&mut ours, &in_stream), Step::Diverged(1));
    let own = record("d", Body::Checkpoint(ours.checkpoint().unwrap()));
    assert!(matches!(
        apply(&mut ours, &own),
        Step::Checkpointed { revision: 1, .. }
    ));
}

#[test]
fn gap_is_not_folded() {
    let mut stream = Stream::default();
    stream.append(&record("a", timeout(700, 0)));
    stream.append(&record("b", timeout(800, 1)));
    let mut fold = Fold::new();
    assert_eq!(fold.apply(&stream.records[1]), Step::Gap);
    assert_eq!(fold.next_offset(), 0);
}
