//! Tests of the endpoints in memory.

use std::time::Duration;

use super::{Endpoints, Fault};
use crate::endpoint::{Engine as _, Error, Order, Result, Service as _, Token};
use crate::standin::text::{check, tests::call};

const AT: &str = "10.0.0.1:1";

fn fleet() -> Endpoints {
    let fleet = Endpoints::default();
    fleet.add(AT, "engine-1", Some("v1"));
    fleet
}

fn run(fleet: &Endpoints, input: &str) -> (Vec<Token>, Result<crate::endpoint::Answer>) {
    let mut tokens = Vec::new();
    let result = fleet.call(AT, &call(input), &mut |t| {
        tokens.push(t);
        Ok(())
    });
    (tokens, result)
}

#[test]
fn call_answers_whole() {
    let (tokens, answer) = run(&fleet(), r#"{"marker":"m","tokens":5}"#);
    assert_eq!(tokens.len(), 5);
    assert_eq!(check(&answer.unwrap().body, "m", &["draft".into()]), Ok(()));
}

#[test]
fn call_faults_keep_their_distinction() {
    let fleet = fleet();
    let name = |fault| {
        fleet.inject(AT, fault);
        match run(&fleet, r#"{"marker":"m"}"#).1.unwrap_err() {
            Error::NotSent { .. } => "not sent",
            Error::Refused { .. } => "refused",
            Error::Failed { .. } => "failed",
            Error::Lost { .. } => "lost",
            Error::Timeout { .. } => "timeout",
        }
    };
    assert_eq!(name(Fault::Down), "not sent");
    assert_eq!(name(Fault::Refuse { leaving: true }), "refused");
    assert_eq!(name(Fault::LostBefore), "lost");
    assert!(fleet.journal().since(0).is_empty());
    assert_eq!(name(Fault::Fail), "failed");
    assert_eq!(name(Fault::LostAfter), "lost");
    assert_eq!(name(Fault::CutAt(2)), "lost");
    assert_eq!(name(Fault::Slow(Duration::from_secs(9))), "timeout");
    assert_eq!(fleet.journal().since(0).len(), 8);
}

#[test]
fn call_resumes_from_tokens() {
    let fleet = fleet();
    fleet.inject(AT, Fault::CutAt(2));
    let (tokens, _) = run(&fleet, r#"{"marker":"m","tokens":5}"#);
    let mut rest = call(r#"{"marker":"m","tokens":5}"#);
    rest.resume = tokens;
    let mut later = Vec::new();
    let answer = fleet.call(AT, &rest, &mut |t| {
        later.push(t.index);
        Ok(())
    });
    assert_eq!(later, [2, 3, 4]);
    assert_eq!(check(&answer.unwrap().body, "m", &["draft".into()]), Ok(()));
}

#[test]
fn call_poison_crashes_the_endpoint() {
    let fleet = fleet();
    let (_, first) = run(&fleet, r#"{"marker":"m","poison":true}"#);
    assert!(matches!(first, Err(Error::Lost { .. })));
    let (_, next) = run(&fleet, r#"{"marker":"n"}"#);
    assert!(matches!(next, Err(Error::NotSent { .. })));
}

#[test]
fn order_old_fencing_token() {
    let fleet = fleet();
    let order = |fence| Order {
        fence,
        versions: vec![format!("v{fence}").into()],
        role: None,
    };
    fleet.order(AT, &order(7)).unwrap();
    assert!(matches!(
        fleet.order(AT, &order(6)),
        Err(Error::Refused { .. })
    ));
    fleet.set_checks_fencing(AT, false);
    fleet.order(AT, &order(5)).unwrap();
    assert_eq!(fleet.state(AT).unwrap().versions, ["v5".into()]);
}
