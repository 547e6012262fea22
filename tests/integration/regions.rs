//! Requests whose endpoints stand in another region go through a daemon there.

use std::time::Duration;

use cyclamenrill::daemon::Dependencies;
use cyclamenrill::policy::naive::Naive;
use cyclamenrill::policy::{
    Admission, Arrival, Attempt, Observation, Pick, Placement, Policy, Retry, Ticket,
};
use cyclamenrill::{clock::Time, endpoint};

use crate::rig::{List, PATIENCE, Rig, until};

const EVENTS: &str = "Accept: text/event-stream\r\n";
const KEY: &str = "Idempotency-Key: k1\r\n";

/// Starts a daemon in each region; all endpoints stand in the far one.
fn pair(dependencies: Dependencies) -> (Rig, Rig) {
    let list = List::default();
    list.add("e1", "split-a", Some("pisari"), "127.0.0.1:1");
    list.add("s1", "split-a", Some("clanarina"), "127.0.0.1:1");
    let far = Rig::start_at("entry-2", "split-a", list.clone(), Dependencies::new());
    let address = far.daemon.net().address().to_string();
    list.add("entry-2", "split-a", None, &address);
    let near = Rig::start_at("entry-1", "zagreb-a", list, dependencies);
    (near, far)
}

/// Moves every request to the far region.
struct Mover(Naive);

impl Policy for Mover {
    fn admit(&mut self, arrival: &Arrival, now: Time) -> Admission {
        self.0.admit(arrival, now)
    }
    fn place(&mut self, _: &Attempt, _: Time) -> Placement {
        Placement::Relocate("primorje".into())
    }
    fn ready(&mut self, now: Time) -> Vec<Ticket> {
        self.0.ready(now)
    }
    fn abandon(&mut self, ticket: &Ticket, now: Time) {
        self.0.abandon(ticket, now);
    }
    fn retry(&mut self, ask: &Attempt, error: &endpoint::Error, now: Time) -> Retry {
        self.0.retry(ask, error, now)
    }
    fn hedge(&mut self, ask: &Attempt, now: Time) -> Option<Pick> {
        self.0.hedge(ask, now)
    }
    fn is_hopeless(&self, ask: &Attempt, now: Time) -> bool {
        self.0.is_hopeless(ask, now)
    }
    fn observe(&mut self, observation: &Observation, now: Time) {
        self.0.observe(observation, now);
    }
    fn next_wake(&self) -> Option<Time> {
        self.0.next_wake()
    }
}

fn moving() -> (Rig, Rig) {
    pair(Dependencies::new().policy(Box::new(Mover(Naive::new(1)))))
}

#[test]
fn call_to_other_region_is_forwarded() {
    let (near, far) = pair(Dependencies::new());
    let mut caller = near.post("bulletin", EVENTS, "{}");
    let open = far.next_call();
    open.token(0, "a");
    caller.head();
    assert_eq!(caller.event().unwrap()[0], "0");
    open.answer("\"a\"");
    assert_eq!(caller.event().unwrap()[1], "answer");
    until(|| near.daemon.report().stages.iter().any(|s| s.link_bytes > 0));
}

#[test]
fn caller_that_leaves_cancels_across_the_link() {
    let (near, far) = pair(Dependencies::new());
    let caller = near.post("bulletin", "", "{}");
    let open = far.next_call();
    drop(caller);
    assert_eq!(far.next_cancel(), open.call.attempt);
}

#[test]
fn remainder_runs_in_the_other_region() {
    let (near, far) = moving();
    let mut caller = near.post("bulletin", EVENTS, "{}");
    let open = far.next_call();
    open.token(0, "a");
    open.token(1, "b");
    open.answer("\"ab\"");
    caller.head();
    let ids: Vec<String> = std::iter::from_fn(|| caller.event())
        .map(|e| e[0].clone())
        .collect();
    assert_eq!(ids, ["0", "1", "end"]);
}

#[test]
fn remainder_that_may_not_repeat_is_claimed_at_home() {
    let (near, far) = moving();
    let mut caller = near.post("donation", KEY, "{}");
    far.next_call().answer("\"booked\"");
    assert_eq!(caller.reply().body, "\"booked\"");
    assert_eq!(near.post("donation", KEY, "{}").reply().body, "\"booked\"");
    assert_eq!(far.calls(), 0);
}

#[test]
fn remainder_of_caller_that_leaves_is_cancelled() {
    let (near, far) = moving();
    let caller = near.post("bulletin", "", "{}");
    let open = far.next_call();
    drop(caller);
    assert_eq!(far.next_cancel(), open.call.attempt);
    until(|| far.daemon.status().requests == 0);
}

#[test]
fn link_cut_makes_what_may_not_repeat_unknown() {
    let (near, far) = moving();
    let mut caller = near.post("donation", KEY, "{}");
    let _open = far.next_call();
    let address = far.daemon.net().address().to_string();
    near.daemon.net().cut(&address, Duration::from_millis(200));
    assert_eq!(caller.reply().json()["verdict"], "unknown");
    let again = near.post("donation", KEY, "{}").reply();
    assert_eq!(again.json()["verdict"], "unknown");
    assert_eq!(far.calls(), 0);
}

#[test]
fn shutdown_waits_for_other_daemons_requests() {
    let (near, far) = moving();
    let mut caller = near.post("bulletin", "", "{}");
    let open = far.next_call();
    let daemon = far.daemon.clone();
    let stopping = std::thread::spawn(move || daemon.shutdown(PATIENCE));
    until(|| !far.daemon.status().ready);
    open.answer("1");
    assert_eq!(caller.reply().body, "1");
    assert!(stopping.join().unwrap());
}
