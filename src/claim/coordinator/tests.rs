//! Tests of the coordinator, over a log in memory and direct links.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::super::router::{Peer, View};
use super::super::{Claim, Coordinator as _, Outcome, Verdict};
use super::Coordinator;
use crate::clock::{self, Clock};
use crate::platform::memory::{Fault, Log};
use crate::{endpoint, id, peer, pipeline, settings};

const TIMEOUT: Duration = Duration::from_secs(30);

fn log() -> Arc<Log> {
    let clock = Arc::new(clock::System::new());
    Arc::new(Log::new(clock, 1).blocking())
}

fn start(log: &Arc<Log>, name: &str) -> Coordinator {
    Coordinator::builder(name.into(), log.clone())
        .start()
        .unwrap()
}

fn new_claim(key: uuid::Uuid, digest: &str) -> Claim {
    Claim {
        workspace: "w".into(),
        key: key.to_string().into(),
        digest: digest.into(),
        request: uuid::Uuid::new_v4(),
        issued: None,
        remaining: TIMEOUT,
    }
}

fn submit(coordinator: &Coordinator, claim: &Claim) -> flume::Receiver<Verdict> {
    let (tx, rx) = flume::bounded(1);
    coordinator.claim(claim.clone(), tx);
    rx
}

fn verdict(coordinator: &Coordinator, claim: &Claim) -> Verdict {
    submit(coordinator, claim).recv_timeout(TIMEOUT).unwrap()
}

#[test]
fn claim_fresh_key() {
    let log = log();
    let coordinator = start(&log, "a");
    let claim = new_claim(uuid::Uuid::now_v7(), "d");
    assert_eq!(verdict(&coordinator, &claim), Verdict::Granted);
}

#[test]
fn claim_resent_to_other_daemon() {
    let log = log();
    let (a, b) = (start(&log, "a"), start(&log, "b"));
    let key = uuid::Uuid::now_v7();
    let first = new_claim(key, "d");
    assert_eq!(verdict(&a, &first), Verdict::Granted);
    a.settle(first.request, Outcome::Answered("{}".into()));
    assert!(a.flush(TIMEOUT));
    drop(a);
    assert_eq!(
        verdict(&b, &new_claim(key, "d")),
        Verdict::Answered("{}".into())
    );
    assert_eq!(verdict(&b, &new_claim(key, "other")), Verdict::Conflict);
}

#[test]
fn claim_joins_running() {
    let log = log();
    let (a, b) = (start(&log, "a"), start(&log, "b"));
    let key = uuid::Uuid::now_v7();
    let first = new_claim(key, "d");
    assert_eq!(verdict(&a, &first), Verdict::Granted);
    let joined = submit(&b, &new_claim(key, "d"));
    assert!(joined.try_recv().is_err());
    a.settle(first.request, Outcome::Answered("1".into()));
    assert_eq!(
        joined.recv_timeout(TIMEOUT).unwrap(),
        Verdict::Answered("1".into())
    );
}

#[test]
fn claim_released_runs_again() {
    let log = log();
    let (a, b) = (start(&log, "a"), start(&log, "b"));
    let key = uuid::Uuid::now_v7();
    let first = new_claim(key, "d");
    assert_eq!(verdict(&a, &first), Verdict::Granted);
    let joined = submit(&b, &new_claim(key, "d"));
    a.settle(first.request, Outcome::Released);
    assert_eq!(joined.recv_timeout(TIMEOUT).unwrap(), Verdict::Granted);
}

#[test]
fn claim_undated_key() {
    let log = log();
    let coordinator = start(&log, "a");
    let mut undated = new_claim(uuid::Uuid::now_v7(), "d");
    undated.key = "order-7".into();
    assert!(matches!(
        verdict(&coordinator, &undated),
        Verdict::NotRun { .. }
    ));
    undated.issued = Some(clock::System::new().wall());
    assert_eq!(verdict(&coordinator, &undated), Verdict::Granted);
}

#[test]
fn claim_lost_answer() {
    let log = log();
    log.inject(Fault::LostAfter);
    log.inject(Fault::LostBefore);
    let coordinator = start(&log, "a");
    for _ in 0..2 {
        let claim = new_claim(uuid::Uuid::now_v7(), "d");
        assert_eq!(verdict(&coordinator, &claim), Verdict::Granted);
    }
}

#[test]
fn claim_outage_refused_and_released() {
    let log = log();
    let coordinator = start(&log, "a");
    log.change_faults(|f| f.outage = true);
    let key = uuid::Uuid::now_v7();
    let mut first = new_claim(key, "d");
    first.remaining = Duration::from_secs(1);
    let refused = verdict(&coordinator, &first);
    assert!(matches!(
        refused,
        Verdict::NotRun {
            retry_after: Some(_),
            ..
        }
    ));
    log.change_faults(|f| f.outage = false);
    // The claim of the refused request must not hold the key, if it was appended.
    assert!(coordinator.flush(TIMEOUT));
    let mut granted = Verdict::Unknown;
    for _ in 0..100 {
        granted = verdict(&coordinator, &new_claim(key, "d"));
        if granted == Verdict::Granted {
            break;
        }
    }
    assert_eq!(granted, Verdict::Granted);
}

#[derive(Default)]
struct Network {
    coordinators: Mutex<Vec<(String, Arc<Coordinator>)>>,
    is_cut: Mutex<bool>,
    /// Whether messages take effect but their answers are lost.
    loses_answers: Mutex<bool>,
}

/// The link of one daemon, which calls the coordinators of the others.
struct Direct(id::Daemon, Arc<Network>);

impl peer::Link for Direct {
    fn ask(
        &self,
        address: &str,
        _topic: peer::Topic,
        body: &[u8],
        _timeout: Duration,
    ) -> peer::Result<Vec<u8>> {
        let coordinators = self.1.coordinators.lock();
        let coordinator = coordinators.iter().find(|(at, _)| at == address);
        let coordinator = coordinator.map(|(_, coordinator)| coordinator.clone());
        drop(coordinators);
        match coordinator {
            Some(coordinator) if !*self.1.is_cut.lock() => {
                let answer = peer::Handler::handle(&*coordinator, &self.0, body).unwrap();
                if *self.1.loses_answers.lock() {
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
        _remainder: &pipeline::Remainder,
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
        let coordinator = Coordinator::builder((*name).into(), log.clone())
            .claims(settings::Claims {
                streams: 4,
                ..settings::Claims::default()
            })
            .link(Arc::new(Direct((*name).into(), network.clone())))
            .view(Arc::new(Fixed(peers.clone())))
            .start()
            .unwrap();
        network
            .coordinators
            .lock()
            .push(((*name).to_owned(), Arc::new(coordinator)));
    }
    network
}

fn coordinators(network: &Network) -> Vec<Arc<Coordinator>> {
    let coordinators = network.coordinators.lock();
    coordinators
        .iter()
        .map(|(_, coordinator)| coordinator.clone())
        .collect()
}

fn race(coordinators: &[Arc<Coordinator>]) {
    for _ in 0..8 {
        let key = uuid::Uuid::now_v7();
        let claims: Vec<Claim> = coordinators.iter().map(|_| new_claim(key, "d")).collect();
        let replies: Vec<_> = coordinators
            .iter()
            .zip(&claims)
            .map(|(coordinator, claim)| submit(coordinator, claim))
            .collect();
        let selector = replies.iter().enumerate();
        let winner = selector
            .fold(flume::Selector::new(), |s, (index, reply)| {
                s.recv(reply, move |verdict| (index, verdict))
            })
            .wait_timeout(TIMEOUT)
            .unwrap();
        assert_eq!(winner.1, Ok(Verdict::Granted));
        let winner_index = winner.0;
        coordinators[winner_index]
            .settle(claims[winner_index].request, Outcome::Answered("7".into()));
        for (index, reply) in replies.iter().enumerate() {
            if index != winner_index {
                let joined = reply.recv_timeout(TIMEOUT).unwrap();
                assert_eq!(joined, Verdict::Answered("7".into()));
            }
        }
    }
}

#[test]
fn claim_race_through_writers() {
    let log = log();
    let network = network(&log, &["a", "b", "c"]);
    race(&coordinators(&network));
    assert!(coordinators(&network).iter().all(|c| c.flush(TIMEOUT)));
    network.coordinators.lock().clear();
}

#[test]
fn claim_race_without_link() {
    let log = log();
    let network = network(&log, &["a", "b", "c"]);
    *network.is_cut.lock() = true;
    race(&coordinators(&network));
    network.coordinators.lock().clear();
}

#[test]
fn claim_race_with_lost_answers() {
    let log = log();
    let network = network(&log, &["a", "b", "c"]);
    *network.loses_answers.lock() = true;
    race(&coordinators(&network));
    assert!(coordinators(&network).iter().all(|c| c.flush(TIMEOUT)));
    network.coordinators.lock().clear();
}

#[test]
fn flush_releases_claim_of_gone_caller() {
    let log = log();
    let (a, b) = (start(&log, "a"), start(&log, "b"));
    let key = uuid::Uuid::now_v7();
    drop(submit(&a, &new_claim(key, "d")));
    assert!(a.flush(TIMEOUT));
    assert_eq!(verdict(&b, &new_claim(key, "d")), Verdict::Granted);
}
