//! Keeps the table of blamed content in step with the other daemons and the log.
//!
//! Events go to some peers at once, which pass news on, and into the log, from which a daemon
//! that starts or missed them learns. See [the design note](../../docs/design/quarantine.md).

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, UNIX_EPOCH};

use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use snafu::Snafu;

use super::table::{self, Event, Limit, Table, Wall};
use super::{Status, message};
use crate::claim::router::{Peer, View};
use crate::clock::{Clock, Time};
use crate::{daemon, id, peer, platform};

/// The stream of the platform's log that keeps blame.
pub const STREAM: &str = "quarantine";
/// Peers that are told at once.
pub const FANOUT: usize = 8;
/// Events in one message or record.
pub const BATCH: usize = 64;
/// Events that wait to be shared; more are dropped, and the endpoints they name die again.
pub const BACKLOG: usize = 1_024;
/// How often events are shared at most.
pub const PACE: Duration = Duration::from_millis(200);
/// How often the log is read.
pub const POLL: Duration = Duration::from_secs(30);
/// How long a message or an append may take.
pub const TIMEOUT: Duration = Duration::from_millis(500);

/// Why a replica did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)), display("{step} of daemon {peer}: {reason}"))]
pub struct Error {
    step: &'static str,
    peer: id::Daemon,
    reason: String,
}

/// What a replica works with.
#[derive(Clone)]
pub struct Ports {
    /// The platform's log.
    pub log: Arc<dyn platform::Log>,
    /// The link to the other daemons, if there are any.
    pub link: Option<Arc<dyn peer::Link>>,
    /// The live daemons.
    pub view: Arc<dyn View>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

/// An event that was new to this daemon.
struct News {
    event: Event,
    /// Whether this daemon saw it, so that it keeps it in the log for all.
    is_own: bool,
}

struct Shared {
    daemon: id::Daemon,
    ports: Ports,
    table: Mutex<Table>,
    outbox: flume::Sender<News>,
    is_stopped: AtomicBool,
}

/// Says how content stands, and shares blame with the other daemons.
pub struct Replica {
    shared: Arc<Shared>,
}

impl Replica {
    /// Starts a keeper; it reads the log before it returns, if the log answers.
    pub fn start(daemon: id::Daemon, ports: Ports) -> Result<Self, Error> {
        let (outbox, inbox) = flume::bounded(BACKLOG);
        let shared = Arc::new(Shared {
            daemon: daemon.clone(),
            ports,
            table: Mutex::new(Table::default()),
            outbox,
            is_stopped: AtomicBool::new(false),
        });
        let position = catch_up(&shared, 0);
        let at = shared.clone();
        thread::Builder::new()
            .name("quarantine".into())
            .spawn(move || run(&at, &inbox, position))
            .map_err(|e| Error {
                step: "start of a thread",
                peer: daemon,
                reason: e.to_string(),
            })?;
        Ok(Self { shared })
    }

    /// Changes when content is refused, also content that was blamed before.
    pub fn set_limit(&self, limit: Limit) {
        self.shared.table.lock().set_limit(limit);
    }

    /// Returns the content that is suspect or refused, with its status.
    pub fn list(&self) -> Vec<(id::Digest, Status)> {
        let now = self.shared.ports.clock.now();
        let digests: Vec<id::Digest> = self.shared.table.lock().digests().cloned().collect();
        digests
            .into_iter()
            .map(|digest| (self.shared.status(&digest, now), digest))
            .filter(|(status, _)| *status != Status::Clear)
            .map(|(status, digest)| (digest, status))
            .collect()
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn wall(&self) -> Wall {
        let wall = self.ports.clock.wall();
        wall.duration_since(UNIX_EPOCH).unwrap_or_default()
    }

    fn status(&self, digest: &str, now: Time) -> Status {
        let wall = self.wall();
        match self.table.lock().status(digest, wall) {
            table::Status::Clear => Status::Clear,
            table::Status::Suspect => Status::Suspect,
            table::Status::Refused(until) => Status::Refused {
                until: now + until.saturating_sub(wall),
            },
        }
    }

    /// Takes an event in, and shares it when it was news.
    fn learn(&self, event: Event, is_own: bool) {
        let is_news = self.table.lock().apply(&event, self.wall());
        if is_news {
            // A full backlog bounds what a storm of deaths may send.
            let _ = self.outbox.try_send(News { event, is_own });
        }
    }
}

impl daemon::Quarantine for Replica {
    fn status(&self, digest: &id::Digest, now: Time) -> Status {
        self.shared.status(digest, now)
    }

    fn blame(&self, digest: &id::Digest, endpoint: &id::Endpoint, _now: Time) {
        let event = Event {
            digest: digest.clone(),
            endpoint: Some(endpoint.clone()),
            at: self.shared.wall(),
        };
        self.shared.learn(event, true);
    }

    fn clear(&self, digest: &id::Digest, _now: Time) {
        let is_blamed = self.shared.table.lock().is_blamed(digest);
        if is_blamed {
            let event = Event {
                digest: digest.clone(),
                endpoint: None,
                at: self.shared.wall(),
            };
            self.shared.learn(event, true);
        }
    }
}

impl peer::Handler for Replica {
    fn handle(&self, _from: &id::Daemon, body: &[u8]) -> Result<Vec<u8>, String> {
        for event in message::decode(body).map_err(|e| e.to_string())? {
            self.shared.learn(event, false);
        }
        Ok(Vec::new())
    }
}

fn run(shared: &Shared, inbox: &flume::Receiver<News>, mut position: id::Offset) {
    let mut unkept: Vec<Event> = Vec::new();
    let mut untold: Vec<Event> = Vec::new();
    let mut read_at = shared.ports.clock.now() + POLL;
    while !shared.is_stopped.load(Ordering::Relaxed) {
        let fresh: Vec<News> = match inbox.recv_timeout(PACE) {
            Ok(first) => std::iter::once(first)
                .chain(inbox.try_iter().take(BATCH - 1))
                .collect(),
            Err(_) => Vec::new(),
        };
        untold.extend(fresh.iter().map(|news| news.event.clone()));
        tell(shared, &mut untold);
        let own = fresh.into_iter().filter(|news| news.is_own);
        unkept.extend(own.map(|news| news.event));
        keep(shared, &mut unkept);
        if shared.ports.clock.now() >= read_at {
            position = catch_up(shared, position);
            read_at = shared.ports.clock.now() + POLL;
        }
    }
}

/// Tells some peers, which tell others when it is news to them; what nobody heard is told again.
fn tell(shared: &Shared, events: &mut Vec<Event>) {
    let excess = events.len().saturating_sub(BACKLOG);
    events.drain(..excess);
    let Some(link) = &shared.ports.link else {
        events.clear();
        return;
    };
    let count = events.len().min(BATCH);
    if count == 0 {
        return;
    }
    let peers = shared.ports.view.peers();
    let others: Vec<_> = peers.iter().filter(|p| p.daemon != shared.daemon).collect();
    let body = message::encode(&events[..count]);
    let hears = |peer: &&&Peer| {
        let answer = link.ask(&peer.address, peer::Topic::Quarantine, &body, TIMEOUT);
        answer.is_ok()
    };
    // A peer that is missed learns from another one or from the log.
    let heard = others.sample(&mut rand::rng(), FANOUT).filter(hears);
    if heard.count() > 0 {
        events.drain(..count);
    }
}

/// Keeps events in the log; those that found it down are kept when it is back.
fn keep(shared: &Shared, events: &mut Vec<Event>) {
    let excess = events.len().saturating_sub(BACKLOG);
    events.drain(..excess);
    let count = events.len().min(BATCH);
    let Some(body) = message::to_record(&shared.daemon, &events[..count]) else {
        return;
    };
    // An event that stands twice in the log is taken in once.
    if count > 0 && shared.ports.log.append(STREAM, &body, TIMEOUT).is_ok() {
        events.drain(..count);
    }
}

/// Reads the log to its end and returns the position after it.
fn catch_up(shared: &Shared, mut position: id::Offset) -> id::Offset {
    while let Ok(page) = shared.ports.log.read(STREAM, position, Duration::ZERO) {
        let now = shared.wall();
        let events = page
            .records
            .iter()
            .flat_map(|r| message::from_record(&r.body));
        for event in events {
            shared.table.lock().apply(&event, now);
        }
        position = page.records.last().map_or(page.end, |r| r.offset + 1);
        if position >= page.end {
            break;
        }
    }
    position
}

#[cfg(test)]
mod tests;
