//! Tests of the in-memory endpoints.

use std::time::Duration;

use super::{Endpoints, Fault};
use crate::endpoint::{Engine as _, Error, Order, Result, Service as _, Token};
use crate::standin::text::{check, tests::call};

const ADDRESS: &str = "10.0.0.1:1";

fn endpoints() -> Endpoints {
    let endpoints = Endpoints::default();
    endpoints.add(ADDRESS, "engine-1", Some("v1"));
    endpoints
}

fn run(endpoints: &Endpoints, input: &str) -> (Vec<Token>, Result<crate::endpoint::Answer>) {
    let mut tokens = Vec::new();
    let result = endpoints.call(ADDRESS, &call(input), &mut |t| {
        tokens.push(t);
        Ok(())
    });
    (tokens, result)
}

#[test]
fn call_whole_answer() {
    let (tokens, answer) = run(&endpoints(), r#"{"marker":"m","tokens":5}"#);
    assert_eq!(tokens.len(), 5);
    assert_eq!(check(&answer.unwrap().body, "m", &["draft".into()]), Ok(()));
}

#[test]
fn call_faults_keep_their_distinction() {
    let endpoints = endpoints();
    let name = |fault| {
        endpoints.inject(ADDRESS, fault);
        match run(&endpoints, r#"{"marker":"m"}"#).1.unwrap_err() {
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
    assert!(endpoints.journal().since(0).is_empty());
    assert_eq!(name(Fault::Fail), "failed");
    assert_eq!(name(Fault::LostAfter), "lost");
    assert_eq!(name(Fault::CutAt(2)), "lost");
    assert_eq!(name(Fault::Slow(Duration::from_secs(9))), "timeout");
    assert_eq!(endpoints.journal().since(0).len(), 8);
}

#[test]
fn call_resumes_from_tokens() {
    let endpoints = endpoints();
    endpoints.inject(ADDRESS, Fault::CutAt(2));
    let (tokens, _) = run(&endpoints, r#"{"marker":"m","tokens":5}"#);
    let mut rest = call(r#"{"marker":"m","tokens":5}"#);
    rest.resume = tokens;
    let mut later = Vec::new();
    let answer = endpoints.call(ADDRESS, &rest, &mut |t| {
        later.push(t.index);
        Ok(())
    });
    assert_eq!(later, [2, 3, 4]);
    assert_eq!(check(&answer.unwrap().body, "m", &["draft".into()]), Ok(()));
}

#[test]
fn call_poison_crashes_the_endpoint() {
    let endpoints = endpoints();
    let (_, first) = run(&endpoints, r#"{"marker":"m","poison":true}"#);
    assert!(matches!(first, Err(Error::Lost { .. })));
    let (_, next) = run(&endpoints, r#"{"marker":"n"}"#);
    assert!(matches!(next, Err(Error::NotSent { .. })));
}

#[test]
fn order_old_fencing_token() {
    let endpoints = endpoints();
    let order = |fence| Order {
        fence,
        versions: vec![format!("v{fence}").into()],
        role: None,
    };
    endpoints.order(ADDRESS, &order(7)).unwrap();
    assert!(matches!(
        endpoints.order(ADDRESS, &order(6)),
        Err(Error::Refused { .. })
    ));
    endpoints.set_checks_fencing(ADDRESS, false);
    endpoints.order(ADDRESS, &order(5)).unwrap();
    assert_eq!(endpoints.state(ADDRESS).unwrap().versions, ["v5".into()]);
}
