//! Tests of remainders that run at other daemons.

use super::*;

fn relocated(stages: &str) -> (Harness, Remainder) {
    let mut b = Harness::new(stages);
    b.policy.placements = vec![Placement::Relocate("primorje".into())];
    b.step(Event::Start);
    b.step(Event::Claimed(Verdict::Granted));
    let remainder = b.actions.iter().find_map(|a| match a {
        Action::Relocate(_, remainder) => Some((**remainder).clone()),
        _ => None,
    });
    let remainder = remainder.unwrap();
    (b, remainder)
}

#[test]
fn step_relocation_waits_for_claim() {
    let mut b = Harness::new("eo");
    b.policy.placements = vec![Placement::Relocate("primorje".into())];
    b.step(Event::Start);
    assert!(!b.actions.iter().any(|a| matches!(a, Action::Relocate(..))));
}

#[test]
fn step_relocation_answer_is_complete() {
    let (mut b, remainder) = relocated("g");
    b.step(Event::Token(remainder.attempt, token(0, "v1")));
    let remote = Remote {
        finish: Finish::Answer("1".into()),
        stage_results: vec![StageResult {
            stage: "g0".into(),
            body: "1".into(),
        }],
        doubtful: false,
        usage: Usage::default(),
    };
    b.step(Event::RelocationEnded(remainder.attempt, remote));
    assert_eq!(b.finish(), Finish::Answer("1".into()));
    assert_eq!(b.shown(), [0]);
}

#[test]
fn step_lost_relocation_is_unknown_if_non_repeatable() {
    let error = peer_lost();
    let (mut b, remainder) = relocated("o");
    b.step(Event::RelocationFailed(remainder.attempt, error.clone()));
    assert!(is_unknown(&b.finish()));
    assert_eq!(b.settled(), [Outcome::Unknown]);

    let (mut b, remainder) = relocated("e");
    b.step(Event::RelocationFailed(remainder.attempt, error));
    b.wait(50 * MS);
    assert_eq!(b.calls().len(), 1);
    assert!(b.last().attempt > remainder.attempt + ATTEMPTS_PER_RELOCATION - 2);
}

fn peer_lost() -> crate::peer::Error {
    crate::peer::Error::Lost {
        step: "remainder",
        peer: "d".into(),
        reason: "reset".into(),
    }
}

#[test]
fn from_remainder_runs_delegated_claim_without_settling() {
    let (_, remainder) = relocated("o");
    let mut b = Harness::new("o");
    b.run = Run::from_remainder(plan("o"), &remainder, "digest".into(), Time::ZERO);
    b.step(Event::Start);
    assert_eq!(b.last().attempt, remainder.attempt + 1);
    b.answer(&b.last());
    let remote = b.run.remote(Usage::default()).unwrap();
    assert_eq!(remote.stage_results.len(), 1);
    assert!(b.settled().is_empty());
}
