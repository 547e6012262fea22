//! Tests of replicas: crash loops, outages of the log and lost messages.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::{Dependencies, Replica};
use crate::claim::router::{Peer, View};
use crate::clock::{self, Manual};
use crate::daemon::Quarantine;
use crate::platform::memory::Log;
use crate::quarantine::Status;
use crate::{endpoint, id, peer, pipeline};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Network {
    replicas: Mutex<Vec<(String, Arc<Replica>)>>,
}

struct TestLink(id::Daemon, Arc<Network>);

fn unsent(peer: &str) -> peer::Error {
    peer::Error::NotSent {
        step: "ask",
        peer: peer.into(),
        reason: "no such daemon".into(),
    }
}

impl peer::Link for TestLink {
    fn ask(
        &self,
        address: &str,
        _topic: peer::Topic,
        body: &[u8],
        _timeout: Duration,
    ) -> peer::Result<Vec<u8>> {
        let replicas = self.1.replicas.lock();
        let replica = replicas.iter().find(|(at, _)| at == address);
        let replica = replica.map(|(_, r)| r.clone()).ok_or(unsent(address))?;
        drop(replicas);
        Ok(peer::Handler::handle(&*replica, &self.0, body).unwrap())
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
            reason: "no such daemon".into(),
        })
    }

    fn run_remainder(
        &self,
        address: &str,
        _remainder: &pipeline::Remainder,
        _sink: endpoint::Sink<'_>,
    ) -> peer::Result<pipeline::Remote> {
        Err(unsent(address))
    }
}

struct FixedView(Vec<Peer>);

impl View for FixedView {
    fn peers(&self) -> Vec<Peer> {
        self.0.clone()
    }
}

fn log() -> Arc<Log> {
    Arc::new(Log::new(Arc::new(clock::System::new()), 1).blocking())
}

fn clock() -> Arc<Manual> {
    let clock = Arc::new(Manual::default());
    clock.advance(SECOND);
    clock
}

fn dependencies(
    log: &Arc<Log>,
    names: &[&str],
    link: Option<Arc<dyn peer::Link>>,
    clock: &Arc<Manual>,
) -> Dependencies {
    let peer = |name: &&str| Peer {
        daemon: (*name).into(),
        address: (*name).to_owned(),
        region: "r".into(),
        leaving: false,
    };
    Dependencies {
        log: log.clone(),
        link,
        view: Arc::new(FixedView(names.iter().map(peer).collect())),
        clock: clock.clone(),
    }
}

fn network(log: &Arc<Log>, names: &[&str], clock: &Arc<Manual>) -> Arc<Network> {
    let network = Arc::new(Network::default());
    for name in names {
        let link: Arc<dyn peer::Link> = Arc::new(TestLink((*name).into(), network.clone()));
        let replica =
            Replica::start((*name).into(), dependencies(log, names, Some(link), clock)).unwrap();
        let entry = ((*name).to_owned(), Arc::new(replica));
        network.replicas.lock().push(entry);
    }
    network
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "{what}");
        std::thread::yield_now();
    }
}

/// Sends the content to each daemon in turn; each run crashes another endpoint.
fn crash_endpoints(replicas: &[Arc<Replica>], digest: &id::Digest) -> usize {
    let mut crashes = 0;
    for round in 0..20 {
        let replica = &replicas[round % replicas.len()];
        let next = &replicas[(round + 1) % replicas.len()];
        let status = replica.status(digest, Duration::ZERO);
        if !matches!(status, Status::Refused { .. }) {
            crashes += 1;
            let endpoint: id::Endpoint = format!("e{crashes}").into();
            replica.blame(digest, &endpoint, Duration::ZERO);
        }
        wait_until("the next daemon receives it", || {
            next.status(digest, Duration::ZERO) == replica.status(digest, Duration::ZERO)
        });
    }
    crashes
}

#[test]
fn crash_loop_is_refused_by_all_daemons() {
    let (log, clock) = (log(), clock());
    let network = network(&log, &["a", "b", "c"], &clock);
    let replicas: Vec<Arc<Replica>> = network
        .replicas
        .lock()
        .iter()
        .map(|(_, r)| r.clone())
        .collect();
    // The digest is that of the content, so another request id changes nothing.
    let digest: id::Digest = "content".into();
    assert_eq!(crash_endpoints(&replicas, &digest), 2);
    for replica in &replicas {
        wait_until("all daemons refuse it", || {
            matches!(
                replica.status(&digest, Duration::ZERO),
                Status::Refused { .. }
            )
        });
    }
    network.replicas.lock().clear();
}

#[test]
fn blame_survives_restart() {
    let (log, clock) = (log(), clock());
    let first = Replica::start("a".into(), dependencies(&log, &["a"], None, &clock)).unwrap();
    let digest: id::Digest = "content".into();
    first.blame(&digest, &"e1".into(), Duration::ZERO);
    first.blame(&digest, &"e2".into(), Duration::ZERO);
    wait_until("it is logged", || log.appended() > 0);
    drop(first);
    wait_until("a new daemon reads it", || {
        let next = Replica::start("b".into(), dependencies(&log, &["b"], None, &clock)).unwrap();
        matches!(next.status(&digest, Duration::ZERO), Status::Refused { .. })
    });
}

#[test]
fn blame_is_logged_after_outage() {
    let (log, clock) = (log(), clock());
    log.change_faults(|faults| faults.outage = true);
    let replica = Replica::start("a".into(), dependencies(&log, &["a"], None, &clock)).unwrap();
    replica.blame(&"content".into(), &"e1".into(), Duration::ZERO);
    assert_eq!(
        replica.status(&"content".into(), Duration::ZERO),
        Status::Suspect
    );
    log.change_faults(|faults| faults.outage = false);
    wait_until("it is logged", || log.appended() > 0);
}

#[test]
fn completion_elsewhere_clears_blame() {
    let (log, clock) = (log(), clock());
    let network = network(&log, &["a", "b"], &clock);
    let replicas: Vec<Arc<Replica>> = network
        .replicas
        .lock()
        .iter()
        .map(|(_, r)| r.clone())
        .collect();
    let digest: id::Digest = "neighbour".into();
    replicas[0].blame(&digest, &"e1".into(), Duration::ZERO);
    wait_until("b receives it", || {
        replicas[1].status(&digest, Duration::ZERO) == Status::Suspect
    });
    assert_eq!(replicas[1].list().len(), 1);
    // A completion clears only earlier blame.
    clock.advance(SECOND);
    replicas[1].clear(&digest, Duration::ZERO);
    wait_until("a receives it", || {
        replicas[0].status(&digest, Duration::ZERO) == Status::Clear
    });
    network.replicas.lock().clear();
}

#[test]
fn blame_that_no_peer_received_is_sent_again() {
    let (log, clock) = (log(), clock());
    let network = network(&log, &["a", "b"], &clock);
    let (_, late) = network.replicas.lock().pop().unwrap();
    let (_, replica) = network.replicas.lock()[0].clone();
    let digest: id::Digest = "content".into();
    replica.blame(&digest, &"e1".into(), Duration::ZERO);
    // A blame is logged after it was sent, so by now sending failed.
    wait_until("it is logged", || log.appended() > 0);
    // The clock stands still, so the log is not read again.
    network.replicas.lock().push(("b".into(), late.clone()));
    wait_until("the other daemon receives it", || {
        late.status(&digest, Duration::ZERO) == Status::Suspect
    });
    network.replicas.lock().clear();
}
