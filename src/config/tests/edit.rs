//! Operators' edits with a log that loses answers and has outages.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Stream, set};
use crate::clock::Time;
use crate::config::edit::{self, Action, Appended, Edit, Outcome};
use crate::config::fold::{Fold, Step};
use crate::config::record::{Body, Value, Verdict};

const DEADLINE: Time = Duration::from_secs(60);
const TICK: Time = Duration::from_millis(50);

/// Runs one edit to its end and returns the outcome with the fold.
fn run(seed: u64, effect_chance: f64, answer_chance: f64) -> (Outcome, Fold) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut stream = Stream::default();
    let mut fold = Fold::new();
    let body = set("queue-bound", None, Value::Count(seed + 1), 0);
    let mut edit = Edit::new(edit::record("ana", body), Time::ZERO, DEADLINE);
    let mut now = Time::ZERO;
    loop {
        match edit.poll(now) {
            Action::Finish(outcome) => return (outcome, fold),
            Action::Wait(_) => now += TICK,
            Action::Append => {
                let is_written = rng.random_bool(effect_chance);
                if is_written {
                    stream.append(edit.record());
                }
                let result = match (is_written, rng.random_bool(answer_chance)) {
                    (_, false) => Appended::Unknown,
                    (true, true) => Appended::Done,
                    (false, true) => Appended::NoEffect,
                };
                edit.appended(&result, now);
            }
        }
        if rng.random_bool(0.3) {
            read_back(&stream, &mut fold, &mut edit);
        }
    }
}

fn read_back(stream: &Stream, fold: &mut Fold, edit: &mut Edit) {
    for record in &stream.page(fold.next_offset(), 10).records {
        let (attempt, verdict) = match fold.apply(record) {
            Step::Decided { attempt, verdict } => (attempt, verdict),
            Step::Repeated { attempt, verdict } => (Some(attempt), verdict),
            other => panic!("{other:?}"),
        };
        if attempt.as_ref() == Some(&edit.record().attempt) {
            edit.decided(&verdict);
        }
    }
}

#[test]
fn edit_with_lost_answers_changes_once() {
    for seed in 0..200 {
        let (outcome, fold) = run(seed, 0.7, 0.3);
        assert!(matches!(outcome, Outcome::Accepted(_)), "seed {seed}");
        assert_eq!(fold.history().count(), 1, "seed {seed}");
    }
}

#[test]
fn edit_in_outage_is_not_written() {
    let (outcome, fold) = run(1, 0.0, 1.0);
    assert_eq!(outcome, Outcome::NotWritten);
    assert_eq!(fold.revision(), 0);
}

#[test]
fn edit_without_answers_is_undecided() {
    let (outcome, _) = run(1, 0.0, 0.0);
    assert_eq!(outcome, Outcome::Undecided);
}

#[test]
fn edit_waiting_for_answer_ends_at_deadline() {
    let body = set("queue-bound", None, Value::Count(1), 0);
    let mut edit = Edit::new(edit::record("ana", body), Time::ZERO, DEADLINE);
    assert_eq!(edit.poll(Time::ZERO), Action::Append);
    assert_eq!(edit.poll(TICK), Action::Wait(DEADLINE));
    assert_eq!(edit.poll(DEADLINE), Action::Finish(Outcome::Undecided));
}

#[test]
fn edit_reports_refusal() {
    let mut edit = Edit::new(
        edit::record("ana", set("queue-bound", None, Value::Count(1), 0)),
        Time::ZERO,
        DEADLINE,
    );
    let mut fold = Fold::new();
    let mut stream = Stream::default();
    let earlier = set("queue-bound", None, Value::Count(5), 0);
    stream.append(&edit::record("ivo", earlier));
    edit.poll(Time::ZERO);
    stream.append(edit.record());
    edit.appended(&Appended::Unknown, TICK);
    read_back(&stream, &mut fold, &mut edit);
    assert!(matches!(
        edit.poll(TICK),
        Action::Finish(Outcome::Refused(_))
    ));
}

#[test]
fn rollback_is_a_new_change() {
    let mut fold = Fold::new();
    let mut stream = Stream::default();
    for (n, base) in [(5, 0), (9, 1)] {
        let body = set("queue-bound", None, Value::Count(n), base);
        stream.append(&edit::record("ivo", body));
    }
    for record in &stream.records {
        fold.apply(record);
    }
    let last = fold.history().last().unwrap().clone();
    let undo = edit::rollback(&last, fold.revision());
    assert!(matches!(&undo, Body::Set(s) if s.value == Value::Count(5)));
    stream.append(&edit::record("ivo", undo));
    let step = fold.apply(&stream.records[2]);
    assert!(matches!(
        step,
        Step::Decided {
            verdict: Verdict::Accepted(3),
            ..
        }
    ));
    let first = fold.history().next().unwrap().clone();
    assert!(matches!(edit::rollback(&first, 3), Body::Clear(_)));
}

#[test]
fn behind_lists_daemons_with_older_revision() {
    let live = [("a".into(), 4), ("b".into(), 3), ("c".into(), 9)];
    let behind = edit::behind(live.iter().map(|(d, r)| (d, *r)), 4);
    assert_eq!(behind, ["b".into()]);
}
