//! Tests of the desk, over a log in memory and links that call the other desk.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::super::router::{Peer, View};
use super::super::{Claim, Coordinator as _, Outcome, Verdict};
use super::Coordinator;
use crate::clock::{self, Clock};
use crate::platform::memory::{Fault, Log};
use crate::{endpoint, id, peer, pipeline, settings};

const PATIENT: Duration = Duration::from_secs(30);

fn log() -> Arc<Log> {
    let clock = Arc::new(clock::System::new());
    Arc::new(Log::new(clock, 1).blocking())
}

fn desk(log: &Arc<Log>, name: &str) -> Coordinator {
    Coordinator::builder(name.into(), log.clone())
        .start()
        .unwrap()
}

fn ask(key: uuid::Uuid, digest: &str) -> Claim {
    Claim {
        workspace: "w".into(),
        key: key.to_string().into(),
        digest: digest.into(),
        request: uuid::Uuid::new_v4(),
        issued: None,
        remaining: PATIENT,
    }
}

fn claim(desk: &Coordinator, ask: &Claim) -> flume::Receiver<Verdict> {
    let (tx, rx) = flume::bounded(1);
    desk.claim(ask.clone(), tx);
    rx
}

fn verdict(desk: &Coordinator, ask: &Claim) -> Verdict {
    claim(desk, ask).recv_timeout(PATIENT).unwrap()
}

#[test]
fn claim_fresh_key() {
    let log = log();
    let desk = desk(&log, "a");
    let ask = ask(uuid::Uuid::now_v7(), "d");
    assert_eq!(verdict(&desk, &ask), Verdict::Granted);
}

#[test]
fn claim_resent_elsewhere() {
    let log = log();
    let (a, b) = (desk(&log, "a"), desk(&log, "b"));
    let key = uuid::Uuid::now_v7();
    let first = ask(key, "d");
    assert_eq!(verdict(&a, &first), Verdict::Granted);
    a.settle(first.request, Outcome::Answered("{}".into()));
    assert!(a.flush(PATIENT));
    drop(a);
    assert_eq!(verdict(&b, &ask(key, "d")), Verdict::Answered("{}".into()));
    assert_eq!(verdict(&b, &ask(key, "other")), Verdict::Conflict);
}

#[test]
fn claim_joins_running() {
    let log = log();
    let (a, b) = (desk(&log, "a"), desk(&log, "b"));
    let key = uuid::Uuid::now_v7();
    let first = ask(key, "d");
    assert_eq!(verdict(&a, &first), Verdict::Granted);
    let joined = claim(&b, &ask(key, "d"));
    assert!(joined.try_recv().is_err());
    a.settle(first.request, Outcome::Answered("1".into()));
    assert_eq!(
        joined.recv_timeout(PATIENT).unwrap(),
        Verdict::Answered("1".into())
    );
}

#[test]
fn claim_released_runs_again() {
    let log = log();
    let (a, b) = (desk(&log, "a"), desk(&log, "b"));
    let key = uuid::Uuid::now_v7();
    let first = ask(key, "d");
    assert_eq!(verdict(&a, &first), Verdict::Granted);
    let joined = claim(&b, &ask(key, "d"));
    a.settle(first.request, Outcome::Released);
    assert_eq!(joined.recv_timeout(PATIENT).unwrap(), Verdict::Granted);
}

#[test]
fn claim_undated_key() {
    let log = log();
    let desk = desk(&log, "a");
    let mut undated = ask(uuid::Uuid::now_v7(), "d");
    undated.key = "order-7".into();
    assert!(matches!(verdict(&desk, &undated), Verdict::NotRun { .. }));
    undated.issued = Some(clock::System::new().wall());
    assert_eq!(verdict(&desk, &undated), Verdict::Granted);
}

#[test]
fn claim_lost_answer() {
    let log = log();
    log.inject(Fault::LostAfter);
    log.inject(Fault::LostBefore);
    let desk = desk(&log, "a");
    for _ in 0..2 {
        let ask = ask(uuid::Uuid::now_v7(), "d");
        assert_eq!(verdict(&desk, &ask), Verdict::Granted);
    }
}

#[test]
fn claim_outage_refused_and_released() {
    let log = log();
    let desk = desk(&log, "a");
    log.change_faults(|f| f.outage = true);
    let key = uuid::Uuid::now_v7();
    let mut first = ask(key, "d");
    first.remaining = Duration::from_secs(1);
    let refused = verdict(&desk, &first);
    assert!(matches!(
        refused,
        Verdict::NotRun {
            retry_after: Some(_),
            ..
        }
    ));
    log.change_faults(|f| f.outage = false);
    // The refused request's claim, if one was on its way, must not keep the key.
    assert!(desk.flush(PATIENT));
    let mut granted = Verdict::Unknown;
    for _ in 0..100 {
        granted = verdict(&desk, &ask(key, "d"));
        if granted == Verdict::Granted {
            break;
        }
    }
    assert_eq!(granted, Verdict::Granted);
}

#[derive(Default)]
struct Network {
    desks: Mutex<Vec<(String, Arc<Coordinator>)>>,
    cut: Mutex<bool>,
    /// Messages have their effect, and the answers are lost.
    deaf: Mutex<bool>,
}

/// The link of one daemon, which calls the desks of the others.
struct Wire(id::Daemon, Arc<Network>);

impl peer::Link for Wire {
    fn ask(
        &self,
        address: &str,
        _topic: peer::Topic,
        body: &[u8],
        _timeout: Duration,
    ) -> peer::Result<Vec<u8>> {
        let desks = self.1.desks.lock();
        let desk = desks.iter().find(|(at, _)| at == address);
        let desk = desk.map(|(_, desk)| desk.clone());
        drop(desks);
        match desk {
            Some(desk) if !*self.1.cut.lock() => {
                let answer = peer::Handler::handle(&*desk, &self.0, body).unwrap();
                if *self.1.deaf.lock() {
                    return Err(peer::Error::Lost {
                        step: "ask",
                        peer: address.into(),
                        reason: "the answer was lost".into(),
                    });
                }
                Ok(answer)
            }
            _ => Err(peer::Error::NotSent {
                step: "ask",
                peer: address.into(),
                reason: "cut".into(),
            }),
        }
    }

    fn forward(
        &self,
        address: &str,
        _endpoint: &str,
        _call: &endpoint::Call,
        _sink: endpoint::Sink<'_>,
    ) -> endpoint::Result<endpoint::Answer> {
        Err(endpoint::Error::NotSent {
            step: "forward",
            peer: address.into(),
            reason: "not here".into(),
        })
    }

    fn run_remainder(
        &self,
        address: &str,
        _rest: &pipeline::Remainder,
        _sink: endpoint::Sink<'_>,
    ) -> peer::Result<pipeline::Remote> {
        Err(peer::Error::NotSent {
            step: "remainder",
            peer: address.into(),
            reason: "not here".into(),
        })
    }
}

struct Fixed(Vec<Peer>);

impl View for Fixed {
    fn peers(&self) -> Vec<Peer> {
        self.0.clone()
    }
}

fn network(log: &Arc<Log>, names: &[&str]) -> Arc<Network> {
    let network = Arc::new(Network::default());
    let peers: Vec<Peer> = names
        .iter()
        .map(|name| Peer {
            daemon: (*name).into(),
            address: (*name).to_owned(),
            region: "r".into(),
            leaving: false,
        })
        .collect();
    for name in names {
        let desk = Coordinator::builder((*name).into(), log.clone())
            .claims(settings::Claims {
                streams: 4,
                ..settings::Claims::default()
            })
            .link(Arc::new(Wire((*name).into(), network.clone())))
            .view(Arc::new(Fixed(peers.clone())))
            .start()
            .unwrap();
        network
            .desks
            .lock()
            .push(((*name).to_owned(), Arc::new(desk)));
    }
    network
}

fn desks(network: &Network) -> Vec<Arc<Coordinator>> {
    let desks = network.desks.lock();
    desks.iter().map(|(_, desk)| desk.clone()).collect()
}

fn race(desks: &[Arc<Coordinator>]) {
    for _ in 0..8 {
        let key = uuid::Uuid::now_v7();
        let asks: Vec<Claim> = desks.iter().map(|_| ask(key, "d")).collect();
        let replies: Vec<_> = desks.iter().zip(&asks).map(|(d, a)| claim(d, a)).collect();
        let selector = replies.iter().enumerate();
        let winner = selector
            .fold(flume::Selector::new(), |s, (index, reply)| {
                s.recv(reply, move |verdict| (index, verdict))
            })
            .wait_timeout(PATIENT)
            .unwrap();
        assert_eq!(winner.1, Ok(Verdict::Granted));
        let at = winner.0;
        desks[at].settle(asks[at].request, Outcome::Answered("7".into()));
        for (index, reply) in replies.iter().enumerate() {
            if index != at {
                let joined = reply.recv_timeout(PATIENT).unwrap();
                assert_eq!(joined, Verdict::Answered("7".into()));
            }
        }
    }
}

#[test]
fn claim_race_through_writers() {
    let log = log();
    let network = network(&log, &["a", "b", "c"]);
    race(&desks(&network));
    assert!(desks(&network).iter().all(|d| d.flush(PATIENT)));
    network.desks.lock().clear();
}

#[test]
fn claim_race_without_link() {
    let log = log();
    let network = network(&log, &["a", "b", "c"]);
    *network.cut.lock() = true;
    race(&desks(&network));
    network.desks.lock().clear();
}

#[test]
fn claim_race_with_lost_answers() {
    let log = log();
    let network = network(&log, &["a", "b", "c"]);
    *network.deaf.lock() = true;
    race(&desks(&network));
    assert!(desks(&network).iter().all(|d| d.flush(PATIENT)));
    network.desks.lock().clear();
}

#[test]
fn flush_releases_what_nobody_waits_for() {
    let log = log();
    let (a, b) = (desk(&log, "a"), desk(&log, "b"));
    let key = uuid::Uuid::now_v7();
    drop(claim(&a, &ask(key, "d")));
    assert!(a.flush(PATIENT));
    assert_eq!(verdict(&b, &ask(key, "d")), Verdict::Granted);
}
