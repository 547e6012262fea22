//! Tests of tokens, cancelling and timeouts.

use super::*;

#[test]
fn step_generation_resumes_from_tokens() {
    let mut b = Harness::started("g");
    let first = b.last();
    b.token(&first, 0);
    b.token(&first, 1);
    b.fail(&first, lost());
    b.wait(10 * MS);
    let second = b.last();
    assert_eq!(second.resume.len(), 2);
    assert_eq!(second.version.as_deref(), Some("v1"));
    b.token(&first, 2);
    b.token(&second, 1);
    b.token(&second, 2);
    b.answer(&second);
    assert_eq!(b.shown(), [0, 1, 2]);
    assert_eq!(b.run.tally().doubled, 1);
    assert_eq!(b.run.tally().late, 1);
}

#[test]
fn step_other_version_does_not_continue() {
    let mut b = Harness::started("g");
    let first = b.last();
    b.token(&first, 0);
    b.fail(&first, lost());
    b.wait(10 * MS);
    let second = b.last();
    b.step(Event::Token(second.attempt, token(1, "v2")));
    assert_eq!(b.shown(), [0]);
    b.policy.placements = vec![Placement::Refuse {
        reason: "no engine with this version",
        retry_after: MS,
    }];
    b.wait(10 * MS);
    assert!(is_failed(&b.finish()));
}

#[test]
fn step_unseen_tokens_restart_on_any_version() {
    let mut b = Harness::new("g");
    b.run.request.stream = false;
    b.step(Event::Start);
    let first = b.last();
    b.token(&first, 0);
    b.fail(&first, lost());
    b.policy.placements = vec![Placement::Refuse {
        reason: "no engine with this version",
        retry_after: MS,
    }];
    b.wait(10 * MS);
    assert!(b.last().resume.is_empty());
    assert_eq!(b.policy.versions, [None, Some("v1".into()), None]);
}

#[test]
fn step_stalled_generation_is_resumed_elsewhere() {
    let mut b = Harness::new("g");
    b.policy.is_hedging = true;
    b.step(Event::Start);
    let first = b.last();
    b.token(&first, 0);
    b.wait(100 * MS);
    let second = b.last();
    assert_eq!(second.resume.len(), 1);
    let actions = b.token(&second, 1);
    assert!(matches!(&actions[0], Action::Cancel(_, a) if *a == first.attempt));
    b.answer(&second);
    assert_eq!(b.shown(), [0, 1]);
}

#[test]
fn step_tokens_wait_for_claim() {
    let mut b = Harness::started("go");
    b.wait(100 * MS);
    assert!(b.calls().is_empty());
    b.step(Event::Claimed(Verdict::Granted));
    b.token(&b.last(), 0);
    assert_eq!(b.shown(), [0]);
}

#[test]
fn step_disconnect_cancels_only_repeatable() {
    let mut b = Harness::started("e");
    let actions = b.step(Event::CallerDisconnected);
    assert!(actions.iter().any(|a| matches!(a, Action::Cancel(..))));
    assert!(b.run.is_done());

    let mut b = Harness::started("o");
    b.step(Event::Claimed(Verdict::Granted));
    b.step(Event::CallerDisconnected);
    b.answer(&b.last());
    assert!(matches!(b.settled()[..], [Outcome::Answered(_)]));
}

#[test]
fn step_timeout_cancels_and_retries() {
    let mut b = Harness::started("e");
    let actions = b.wait(1000 * MS);
    assert!(matches!(actions[0], Action::Cancel(..)));
    b.wait(10 * MS);
    assert_eq!(b.calls().len(), 2);
}
