//! Tests that the audit sees each flaw.

use std::time::Duration;

use super::{Audit, Once, audit};
use crate::demo::caller::{Send, Story};
use crate::endpoint::{Call, Usage};
use crate::id;
use crate::load::call::Outcome;
use crate::standin::journal::{Entry, Journal};
use crate::standin::text::{Flaw, Input, tests::call};

fn once() -> Once {
    [("order".into(), ["place".into()].into_iter().collect())]
        .into_iter()
        .collect()
}

fn placed(key: &str, request: u128) -> Call {
    Call {
        stage: "place".into(),
        key: Some(key.into()),
        request: uuid::Uuid::from_u128(request),
        ..call(r#"{"marker":"m"}"#)
    }
}

fn journal(calls: &[Call]) -> Vec<Entry> {
    let journal = Journal::default();
    for call in calls {
        let began = journal.begin(&"orders-1".into(), call, &Input::read(&call.input));
        journal.end(began, "answered", &Usage::default());
    }
    journal.since(0)
}

fn story(outcome: Outcome, request: u128) -> Story {
    let request: id::Request = uuid::Uuid::from_u128(request);
    Story {
        pipeline: "order",
        marker: "m".into(),
        sends: vec![Send {
            outcome,
            request: Some(request),
        }],
        outcome,
        flaw: None,
        is_disordered: false,
        latency: Duration::ZERO,
        first_token: None,
        gaps: Vec::new(),
        reason: None,
    }
}

#[test]
fn audit_clean_run() {
    let journal = journal(&[placed("a", 1), placed("b", 2)]);
    let stories = [story(Outcome::Answered, 1), story(Outcome::Unknown, 2)];
    assert_eq!(audit(&once(), &journal, &stories), Audit::default());
}

#[test]
fn audit_same_key_twice_is_doubled() {
    let found = audit(&once(), &journal(&[placed("a", 1), placed("a", 2)]), &[]);
    assert_eq!(found.doubled.len(), 1);
}

#[test]
fn audit_repeatable_stage_may_run_twice() {
    let mut twice = [placed("a", 1), placed("a", 2)];
    for call in &mut twice {
        call.stage = "allergies".into();
    }
    assert_eq!(audit(&once(), &journal(&twice), &[]), Audit::default());
}

#[test]
fn audit_not_run_that_ran_is_lost() {
    let journal = journal(&[placed("a", 1)]);
    let untrue = audit(&once(), &journal, &[story(Outcome::NotRun, 1)]);
    assert_eq!(untrue.lost.len(), 1);
    let honest = audit(&once(), &journal, &[story(Outcome::NotRun, 2)]);
    assert_eq!(honest, Audit::default());
}

#[test]
fn audit_no_verdict_is_lost() {
    let found = audit(&once(), &[], &[story(Outcome::Cut, 1)]);
    assert_eq!(found.lost.len(), 1);
}

#[test]
fn audit_flawed_answers() {
    let mut truncated = story(Outcome::Answered, 1);
    truncated.flaw = Some(Flaw::Lost);
    let mut crossed = story(Outcome::Answered, 2);
    crossed.flaw = Some(Flaw::Crossed);
    let mut disordered = story(Outcome::Answered, 3);
    disordered.is_disordered = true;
    let found = audit(&once(), &[], &[truncated, crossed, disordered]);
    let counts = (found.lost.len(), found.crossed.len(), found.doubled.len());
    assert_eq!(counts, (1, 1, 1));
}

#[test]
fn audit_mixed_input_is_crossed() {
    let mut mixed = placed("a", 1);
    mixed.input = r#"{"body":{"marker":"m"},"results":{"x":{"marker":"other"}}}"#.into();
    assert_eq!(audit(&once(), &journal(&[mixed]), &[]).crossed.len(), 1);
}
