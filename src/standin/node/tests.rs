//! Tests of stand-in endpoints through the HTTP client.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::{Commons, Node};
use crate::endpoint::http::Client;
use crate::endpoint::{Answer, Call, Engine as _, Error, Order, Result, Service as _, Token};
use crate::platform::Manifest;
use crate::settings::Kind;
use crate::standin::journal::{Entry, Event};
use crate::standin::profile::Profile;
use crate::standin::store::Store;
use crate::standin::text::{check, tests::call};

const FOREVER: Duration = Duration::from_secs(600);

fn quick() -> Profile {
    Profile::of(Kind::Engine)
        .base(Duration::ZERO)
        .token_time(Duration::ZERO)
        .prefill_time(Duration::ZERO)
        .lag(Duration::ZERO)
        .cache_gap(0.0)
}

fn start(profile: Profile, commons: &Commons) -> (Node, String) {
    let versions = vec!["menu-v1".into()];
    let node = Node::start(
        "127.0.0.1:0",
        "engine-1",
        profile,
        versions,
        commons.clone(),
    )
    .unwrap();
    let address = node.address().to_string();
    (node, address)
}

fn patient(input: &str) -> Call {
    Call {
        remaining: FOREVER,
        ..call(input)
    }
}

fn run(address: &str, call: &Call) -> (Vec<Token>, Result<Answer>) {
    let mut tokens = Vec::new();
    let result = Client::default().call(address, call, &mut |t| {
        tokens.push(t);
        Ok(())
    });
    (tokens, result)
}

/// Waits until the journal has `count` entries: an end is noted after the answer was sent.
fn noted(commons: &Commons, count: usize) -> Vec<Entry> {
    while commons.journal.since(0).len() < count {
        thread::yield_now();
    }
    commons.journal.since(0)
}

#[test]
fn call_answers_whole_and_is_noted() {
    let commons = Commons::default();
    let (_node, address) = start(quick(), &commons);
    let (tokens, answer) = run(&address, &patient(r#"{"marker":"m","tokens":9}"#));
    let answer = answer.unwrap();
    assert_eq!(tokens.len(), 9);
    assert_eq!(answer.usage.tokens, 9);
    assert_eq!(check(&answer.body, "m", &["draft".into()]), Ok(()));
    let noted = noted(&commons, 2);
    assert_eq!(noted[0].event, Event::Began);
    assert_eq!(noted[1].result.as_deref(), Some("answered"));
}

#[test]
fn call_resumes_from_tokens_of_the_same_version() {
    let (_node, address) = start(quick(), &Commons::default());
    let (tokens, _) = run(&address, &patient(r#"{"marker":"m","tokens":9}"#));
    let mut rest = patient(r#"{"marker":"m","tokens":9}"#);
    rest.resume = tokens[..4].to_vec();
    let (later, answer) = run(&address, &rest);
    assert_eq!(later, tokens[4..]);
    assert_eq!(check(&answer.unwrap().body, "m", &["draft".into()]), Ok(()));
    rest.version = Some("menu-v9".into());
    assert!(matches!(run(&address, &rest).1, Err(Error::Refused { .. })));
}

#[test]
fn call_leaving_endpoint_refuses() {
    let commons = Commons::default();
    let (node, address) = start(quick(), &commons);
    node.leave();
    let (_, result) = run(&address, &patient("{}"));
    assert!(matches!(result, Err(Error::Refused { leaving: true, .. })));
    assert!(commons.journal.since(0).is_empty());
}

#[test]
fn call_crashed_endpoint_is_lost_then_not_sent() {
    let commons = Commons::default();
    let (node, address) = start(quick(), &commons);
    let (_, first) = run(&address, &patient(r#"{"poison":true}"#));
    assert!(matches!(first, Err(Error::Lost { .. })), "{first:?}");
    assert!(node.is_dead());
    let ended = &noted(&commons, 2)[1];
    assert_eq!(ended.result.as_deref(), Some("crashed"));
}

#[test]
fn cancel_ends_the_running_call() {
    let commons = Commons::default();
    let (_node, address) = start(quick().token_time(FOREVER), &commons);
    let running = patient("{}");
    let caller = {
        let (address, call) = (address.clone(), running.clone());
        thread::spawn(move || run(&address, &call).1)
    };
    noted(&commons, 1);
    let client = Client::default();
    client
        .cancel(&address, running.request, running.attempt)
        .unwrap();
    let result = caller.join().unwrap();
    assert!(matches!(result, Err(Error::Lost { .. })), "{result:?}");
    let ended = &noted(&commons, 2)[1];
    assert_eq!(ended.result.as_deref(), Some("cancelled"));
}

#[test]
fn call_late_answer_is_a_timeout() {
    let (_node, address) = start(quick().token_time(FOREVER), &Commons::default());
    let mut hurried = patient("{}");
    hurried.remaining = Duration::from_millis(200);
    let (_, result) = run(&address, &hurried);
    assert!(matches!(result, Err(Error::Timeout { .. })), "{result:?}");
}

#[test]
fn call_full_queue_refuses() {
    let commons = Commons::default();
    let profile = quick().token_time(FOREVER).slots(1).queue(0);
    let (_node, address) = start(profile, &commons);
    let (_, result) = run(&address, &patient("{}"));
    assert!(matches!(result, Err(Error::Refused { leaving: false, .. })));
}

#[test]
fn call_unreadable_is_refused() {
    let (_node, address) = start(quick(), &Commons::default());
    let url = format!("http://{address}/v1/calls");
    let request = crate::exchange::Request::post(url, FOREVER);
    let reply = request.body(b"{\"request\":").send().unwrap();
    assert_eq!(reply.status, 400);
    assert_eq!(reply.header("Stage-Began"), Some("no"));
}

#[test]
fn cache_events_name_the_prefixes_held() {
    let (_node, address) = start(quick(), &Commons::default());
    let long = format!(
        r#"{{"marker":"m","tokens":1,"text":"{}"}}"#,
        "x".repeat(600)
    );
    let (_, first) = run(&address, &patient(&long));
    let (_, second) = run(
        &address,
        &Call {
            attempt: 2,
            ..patient(&long)
        },
    );
    let client = Client::default();
    let events = client.cache_events(&address, 0).unwrap();
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].added, crate::pipeline::prefix::hashes(&long));
    let computed = |a: Result<Answer>| a.unwrap().usage.prefill_tokens;
    assert!(computed(second) < computed(first));
    assert!(
        client
            .cache_events(&address, events[0].sequence)
            .unwrap()
            .is_empty()
    );
}

#[test]
fn copy_cache_moves_a_prefix() {
    let commons = Commons::default();
    let (_one, from) = start(quick(), &commons);
    let (_two, to) = start(quick(), &commons);
    let long = format!(r#"{{"text":"{}"}}"#, "x".repeat(600));
    run(&from, &patient(&long)).1.unwrap();
    let prefix = crate::pipeline::prefix::hashes(&long)[1];
    let client = Client::default();
    assert!(client.copy_cache(&from, &to, prefix).unwrap() > 0);
    assert_eq!(client.cache_events(&to, 0).unwrap()[0].added, [prefix]);
}

#[test]
fn load_names_versions_and_role() {
    let (_node, address) = start(quick(), &Commons::default());
    let load = Client::default().load(&address).unwrap();
    assert_eq!(load.versions, ["menu-v1".into()]);
    assert_eq!(load.running, 0);
}

fn order(fence: u64, version: &str) -> Order {
    Order {
        fence,
        versions: vec![version.into()],
        role: Some("decode".into()),
    }
}

fn store() -> Commons {
    let manifest = Manifest {
        model: "menu".into(),
        version: "menu-v2".into(),
        bytes: 0,
        rate: 1,
    };
    Commons {
        store: Arc::new(Store::new(vec![manifest])),
        ..Commons::default()
    }
}

#[test]
fn order_is_absolute_and_fenced() {
    let (_node, address) = start(quick(), &store());
    let client = Client::default();
    client.order(&address, &order(7, "menu-v2")).unwrap();
    let state = client.state(&address).unwrap();
    assert_eq!(state.versions, ["menu-v2".into()]);
    assert_eq!(state.fence, Some(7));
    assert_eq!(state.role.as_deref(), Some("decode"));
    let old = client.order(&address, &order(6, "menu-v1"));
    assert!(matches!(old, Err(Error::Refused { .. })));
}

#[test]
fn order_old_fencing_token_passes_unchecked() {
    let (_node, address) = start(quick().checks_fencing(false), &store());
    let client = Client::default();
    client.order(&address, &order(7, "menu-v2")).unwrap();
    client.order(&address, &order(6, "menu-v1")).unwrap();
    assert_eq!(client.state(&address).unwrap().fence, None);
}
