//! Tests of stages, claims, retries and verdicts.

use super::*;

#[test]
fn step_runs_stages_in_order() {
    let mut b = Harness::started("eg");
    b.answer(&b.last());
    assert_eq!(&*b.last().input, r#"{"body":{},"results":{"e0":"e0"}}"#);
    b.token(&b.last(), 0);
    b.answer(&b.last());
    assert_eq!(b.finish(), Finish::Answer("\"g1\"".into()));
    assert_eq!(b.shown(), [0]);
    assert!(b.run.is_done());
    assert_eq!((b.policy.in_flight, b.policy.requests_ended), (0, 1));
}

#[test]
fn step_claims_before_first_stage() {
    let mut b = Harness::new("eo");
    let actions = b.step(Event::Start);
    assert!(matches!(actions[..], [Action::Claim(_)]));
    b.wait(100 * MS);
    assert_eq!(b.calls().len(), 0, "nothing runs without a claim");
    b.step(Event::Claimed(Verdict::Granted));
    b.answer(&b.last());
    assert_eq!(&*b.last().stage, "o1");
    b.answer(&b.last());
    assert_eq!(b.settled(), [Outcome::Answered("\"o1\"".into())]);
}

#[test]
fn step_retries_repeatable_after_failure() {
    let mut b = Harness::started("e");
    b.fail(&b.last(), lost());
    assert!(b.actions.iter().any(|a| matches!(a, Action::Blame(..))));
    assert_eq!(b.run.next_wake(), Some(10 * MS));
    b.wait(10 * MS);
    assert_eq!(b.calls().len(), 2);
    b.answer(&b.last());
    assert_eq!(b.run.tally().retries, 1);
}

#[test]
fn step_non_repeatable_is_not_retried() {
    for error in [lost(), failed()] {
        let mut b = Harness::started("o");
        b.step(Event::Claimed(Verdict::Granted));
        b.fail(&b.last(), error.clone());
        b.wait(DEADLINE);
        assert_eq!(b.calls().len(), 1);
        assert_eq!(is_unknown(&b.finish()), matches!(error, Error::Lost { .. }));
        assert_eq!(b.settled(), [Outcome::Unknown]);
    }
}

#[test]
fn step_refused_non_repeatable_is_retried() {
    let mut b = Harness::started("o");
    b.step(Event::Claimed(Verdict::Granted));
    b.fail(&b.last(), refused());
    b.wait(10 * MS);
    assert_eq!(b.calls().len(), 2);
    b.policy.stops_retrying = true;
    b.fail(&b.last(), refused());
    assert!(is_not_run(&b.finish()));
    assert_eq!(b.settled(), [Outcome::Released]);
}

#[test]
fn step_hedges_and_cancels_loser() {
    let mut b = Harness::new("e");
    b.policy.is_hedging = true;
    b.step(Event::Start);
    b.wait(100 * MS);
    let calls = b.calls();
    assert_eq!(calls.len(), 2);
    let actions = b.answer(&calls[1]);
    assert!(matches!(&actions[0], Action::Cancel(_, a) if *a == calls[0].attempt));
    b.answer(&calls[0]);
    assert_eq!(b.run.tally().late, 1);
    b.finish();
    assert_eq!(b.policy.in_flight, 0);
}

#[test]
fn step_non_repeatable_or_suspect_is_not_hedged() {
    let mut non_repeatable = Harness::new("o");
    let mut suspect = Harness::new("e");
    suspect.run = suspect.run.with_suspect(true);
    for b in [&mut non_repeatable, &mut suspect] {
        b.policy.is_hedging = true;
        b.step(Event::Start);
        b.step(Event::Claimed(Verdict::Granted));
        b.wait(200 * MS);
        assert_eq!(b.calls().len(), 1);
    }
}

#[test]
fn step_drops_crossed_answer() {
    let mut b = Harness::started("e");
    let call = b.last();
    let mut crossed = answer_to(&call);
    crossed.request = uuid::Uuid::from_u128(8);
    b.step(Event::Ended(call.attempt, Ok(crossed)));
    assert_eq!(b.run.tally().crossed, 1);
    b.wait(10 * MS);
    b.answer(&b.last());
    assert_eq!(b.finish(), Finish::Answer("\"e0\"".into()));
}

#[test]
fn step_crossed_answer_of_non_repeatable_is_unknown() {
    let mut b = Harness::started("o");
    b.step(Event::Claimed(Verdict::Granted));
    let mut crossed = answer_to(&b.last());
    crossed.stage = "other".into();
    b.step(Event::Ended(b.last().attempt, Ok(crossed)));
    assert!(is_unknown(&b.finish()));
}

#[test]
fn step_hopeless_ends_at_once() {
    let mut b = Harness::started("ee");
    b.policy.is_hopeless = true;
    b.answer(&b.last());
    assert!(is_failed(&b.finish()));

    let mut b = Harness::new("e");
    b.policy.is_hopeless = true;
    b.step(Event::Start);
    assert!(is_not_run(&b.finish()));
}

#[test]
fn step_waiting_is_abandoned_when_hopeless() {
    let mut b = Harness::new("e");
    b.policy.placements = vec![Placement::Wait];
    b.step(Event::Start);
    b.policy.is_hopeless = true;
    b.wait(WAIT_CHECK_INTERVAL);
    assert!(is_not_run(&b.finish()));
    assert_eq!(b.policy.abandoned, 1);
}

#[test]
fn step_ready_places_waiting_stage() {
    let mut b = Harness::new("e");
    b.policy.placements = vec![Placement::Wait];
    b.step(Event::Start);
    b.step(Event::Ready(1));
    b.step(Event::Ready(1));
    assert_eq!(b.calls().len(), 1);
}

#[test]
fn step_deadline_before_claim_releases() {
    let mut b = Harness::started("eo");
    b.wait(DEADLINE);
    assert!(is_not_run(&b.finish()));
    assert_eq!(b.calls().len(), 0);
    assert!(!b.run.is_done());
    b.step(Event::Claimed(Verdict::Granted));
    assert_eq!(b.settled(), [Outcome::Released]);
    assert!(b.run.is_done());
}

#[test]
fn step_failure_before_non_repeatable_allows_resend() {
    let mut b = Harness::started("eo");
    b.step(Event::Claimed(Verdict::Granted));
    b.policy.stops_retrying = true;
    b.fail(&b.last(), failed());
    let allows_resend = |f: Finish| {
        matches!(
            f,
            Finish::Failed {
                retry_after: Some(_),
                ..
            }
        )
    };
    assert!(allows_resend(b.finish()));
    assert_eq!(b.settled(), [Outcome::Released]);
}

#[test]
fn step_deadline_during_non_repeatable_lingers() {
    let mut b = Harness::started("oe");
    b.step(Event::Claimed(Verdict::Granted));
    let call = b.last();
    b.wait(DEADLINE);
    assert!(is_unknown(&b.finish()));
    assert!(b.settled().is_empty());
    b.answer(&call);
    assert!(matches!(b.settled()[..], [Outcome::Partial(ref p)] if p.len() == 1));
    assert!(b.run.is_done());
}

#[test]
fn step_linger_ends_unknown() {
    let mut b = Harness::started("o");
    b.step(Event::Claimed(Verdict::Granted));
    b.wait(DEADLINE);
    b.wait(LINGER_TIMEOUT);
    assert_eq!(b.settled(), [Outcome::Unknown]);
    assert!(matches!(b.actions[b.actions.len() - 2], Action::Cancel(..)));
    assert!(b.run.is_done());
}

#[test]
fn step_later_failure_is_partial() {
    let mut b = Harness::started("oe");
    b.step(Event::Claimed(Verdict::Granted));
    b.answer(&b.last());
    b.policy.stops_retrying = true;
    b.fail(&b.last(), failed());
    assert!(is_failed(&b.finish()));
    assert!(matches!(b.settled()[..], [Outcome::Partial(_)]));
}

#[test]
fn step_failure_between_non_repeatable_stages_is_unknown() {
    let mut b = Harness::started("oo");
    b.step(Event::Claimed(Verdict::Granted));
    b.answer(&b.last());
    b.policy.stops_retrying = true;
    b.fail(&b.last(), refused());
    assert!(is_failed(&b.finish()));
    assert_eq!(b.settled(), [Outcome::Unknown]);
}

#[test]
fn step_resume_runs_only_remaining_stages() {
    let mut b = Harness::started("eoe");
    let result = |stage: &str| StageResult {
        stage: stage.into(),
        body: "1".into(),
    };
    b.step(Event::Claimed(Verdict::Resume(vec![
        result("e0"),
        result("o1"),
    ])));
    assert_eq!(&*b.last().stage, "e2");
    b.answer(&b.last());
    assert_eq!(b.finish(), Finish::Answer("\"e2\"".into()));
    assert!(b.settled().is_empty());
    assert_eq!(b.policy.in_flight, 0);
}

#[test]
fn step_other_verdicts_end_the_request() {
    let cases = [
        (
            Verdict::Answered("\"old\"".into()),
            Finish::Answer("\"old\"".into()),
        ),
        (Verdict::Conflict, Finish::Conflict),
        (Verdict::Unknown, finish::earlier_unknown()),
    ];
    for (given, expected) in cases {
        let mut b = Harness::started("eo");
        b.step(Event::Claimed(given));
        assert_eq!(b.finish(), expected);
        assert!(b.run.is_done());
        assert_eq!(b.policy.in_flight, 0);
    }
}

#[test]
fn step_broken_link_blames_no_endpoint() {
    let mut b = Harness::started("e");
    let error = Error::Lost {
        step: endpoint::LINK_STEP,
        peer: "d".into(),
        reason: "reset".into(),
    };
    b.fail(&b.last(), error);
    assert!(!b.actions.iter().any(|a| matches!(a, Action::Blame(..))));
    assert!(b.run.next_wake().is_some());
}
