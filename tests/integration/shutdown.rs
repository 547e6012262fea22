//! A graceful shutdown cuts nothing off and leaves nothing claimed and unrun.

use std::sync::Arc;
use std::time::Duration;

use cyclamenrill::claim::memory::Memory;
use cyclamenrill::claim::{Claim, Coordinator, Outcome, Verdict};
use cyclamenrill::daemon::Dependencies;
use cyclamenrill::id;

use crate::rig::{PATIENCE, Rig, until};

const EVENTS: &str = "Accept: text/event-stream\r\n";

fn key(number: usize) -> String {
    format!("Idempotency-Key: k{number}\r\n")
}

/// Starts a shutdown and returns its thread.
fn stop(rig: &Rig) -> std::thread::JoinHandle<bool> {
    let daemon = rig.daemon.clone();
    std::thread::spawn(move || daemon.shutdown(PATIENCE))
}

#[test]
fn shutdown_finishes_streams_and_joins() {
    let rig = Rig::start();
    let mut stream = rig.post("bulletin", EVENTS, "{}");
    let generation = rig.next_call();
    generation.token(0, "a");
    let mut first = rig.post("donation", &key(1), "{}");
    let booking = rig.next_call();
    let mut joined = rig.post("donation", &key(1), "{}");
    until(|| rig.daemon.status().requests == 3);
    let stopping = stop(&rig);
    until(|| !rig.daemon.status().ready);
    assert_eq!(rig.get("/readyz", "").reply().status, 503);
    let refused = rig.post("bulletin", "", "{}").reply();
    assert_eq!(refused.json()["verdict"], "not-run");
    assert!(refused.header("retry-after").is_some());
    generation.token(1, "b");
    generation.answer("\"ab\"");
    booking.answer("\"booked\"");
    stream.head();
    let ids: Vec<String> = std::iter::from_fn(|| stream.event())
        .map(|e| e[0].clone())
        .collect();
    assert_eq!(ids, ["0", "1", "end"]);
    assert_eq!(first.reply().body, "\"booked\"");
    assert_eq!(joined.reply().body, "\"booked\"");
    assert!(stopping.join().unwrap());
}

#[test]
fn shutdown_says_when_something_is_left() {
    let rig = Rig::start();
    let _caller = rig.post("bulletin", "", "{}");
    let _open = rig.next_call();
    assert!(!rig.daemon.shutdown(Duration::from_millis(50)));
}

#[test]
fn shutdown_idle_connections_do_not_hold_it() {
    let rig = Rig::start();
    let mut idle = rig.connect();
    until(|| rig.daemon.status().connections == 1);
    assert!(rig.daemon.shutdown(PATIENCE));
    assert_eq!(idle.rest(), "");
}

/// A coordinator that grants when the test says so.
#[derive(Default)]
struct Slow {
    inner: Memory,
    claims: parking_lot::Mutex<Vec<(Claim, flume::Sender<Verdict>)>>,
    settled: parking_lot::Mutex<Vec<Outcome>>,
}

impl Coordinator for Slow {
    fn claim(&self, claim: Claim, reply: flume::Sender<Verdict>) {
        self.claims.lock().push((claim, reply));
    }
    fn settle(&self, request: id::Request, outcome: Outcome) {
        self.settled.lock().push(outcome.clone());
        self.inner.settle(request, outcome);
    }
    fn flush(&self, timeout: Duration) -> bool {
        self.inner.flush(timeout)
    }
}

#[test]
fn shutdown_releases_claim_granted_late() {
    let coordinator = Arc::new(Slow::default());
    let rig = Rig::start_with(Dependencies::new().coordinator(coordinator.clone()));
    let headers = format!("{}X-Request-Timeout-Ms: 50\r\n", key(1));
    let reply = rig.post("donation", &headers, "{}").reply();
    assert_eq!(reply.json()["verdict"], "not-run");
    let stopping = stop(&rig);
    until(|| !rig.daemon.status().ready);
    for (claim, reply) in coordinator.claims.lock().drain(..) {
        coordinator.inner.claim(claim, reply);
    }
    assert!(stopping.join().unwrap());
    assert_eq!(*coordinator.settled.lock(), [Outcome::Released]);
    assert_eq!(rig.calls(), 0);
}

#[test]
fn pause_between_claim_and_call_does_not_run_late() {
    let coordinator = Arc::new(Slow::default());
    let rig = Rig::start_with(Dependencies::new().coordinator(coordinator.clone()));
    let headers = format!("{}X-Request-Timeout-Ms: 300\r\n", key(1));
    let mut caller = rig.post("donation", &headers, "{}");
    until(|| !coordinator.claims.lock().is_empty());
    rig.daemon.pause(Duration::from_millis(400));
    for (claim, reply) in coordinator.claims.lock().drain(..) {
        coordinator.inner.claim(claim, reply);
    }
    assert_eq!(caller.reply().json()["verdict"], "not-run");
    assert_eq!(rig.calls(), 0);
    until(|| *coordinator.settled.lock() == [Outcome::Released]);
}
