//! A daemon's replica of the table of blamed content.
//!
//! Events are sent to some peers, which forward new ones, and appended to the log, which a daemon
//! reads at its start and then at intervals.
//!
//! See [the design note](../../docs/design/quarantine.md).

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, UNIX_EPOCH};

use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use snafu::Snafu;

use super::table::{self, Event, Limit, Table, WallTime};
use super::{Status, message};
use crate::claim::router::{Peer, View};
use crate::clock::{Clock, Time};
use crate::{daemon, id, peer, platform};

/// Stream of the platform's log that holds the events.
pub const STREAM: &str = "quarantine";
/// Number of peers to which each batch is sent.
pub const FANOUT: usize = 8;
/// Maximum number of events in one message or record.
pub const MAX_BATCH_EVENTS: usize = 64;
/// Maximum number of events waiting to be shared; dropped ones lead to another crash.
pub const MAX_PENDING_EVENTS: usize = 1_024;
/// Longest wait for new events before pending ones are sent.
pub const INBOX_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between reads of the log.
pub const LOG_POLL_INTERVAL: Duration = Duration::from_secs(30);
/// Time limit of a message or an append.
pub const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a replica did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)), display("{step} of daemon {peer}: {reason}"))]
pub struct Error {
    step: &'static str,
    peer: id::Daemon,
    reason: String,
}

/// Dependencies of a replica.
#[derive(Clone)]
pub struct Dependencies {
    /// The platform's log.
    pub log: Arc<dyn platform::Log>,
    /// Link to the other daemons, if any.
    pub link: Option<Arc<dyn peer::Link>>,
    /// The live daemons.
    pub view: Arc<dyn View>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

/// An event that was new to this daemon.
struct NewEvent {
    event: Event,
    /// Whether it came from this daemon, which then appends it to the log.
    is_own: bool,
}

struct Shared {
    daemon: id::Daemon,
    dependencies: Dependencies,
    table: Mutex<Table>,
    outbox: flume::Sender<NewEvent>,
    is_stopped: AtomicBool,
}

/// A daemon's replica of the quarantine table.
pub struct Replica {
    shared: Arc<Shared>,
}

impl Replica {
    /// Starts a replica, after reading the log if it is reachable.
    pub fn start(daemon: id::Daemon, dependencies: Dependencies) -> Result<Self, Error> {
        let (outbox, inbox) = flume::bounded(MAX_PENDING_EVENTS);
        let shared = Arc::new(Shared {
            daemon: daemon.clone(),
            dependencies,
            table: Mutex::new(Table::default()),
            outbox,
            is_stopped: AtomicBool::new(false),
        });
        let offset = read_log(&shared, 0);
        let worker = shared.clone();
        thread::Builder::new()
            .name("quarantine".into())
            .spawn(move || run(&worker, &inbox, offset))
            .map_err(|e| Error {
                step: "start of a thread",
                peer: daemon,
                reason: e.to_string(),
            })?;
        Ok(Self { shared })
    }

    /// Sets the limit for refusals, also of content blamed before.
    pub fn set_limit(&self, limit: Limit) {
        self.shared.table.lock().set_limit(limit);
    }

    /// Returns suspect and refused content, with its status.
    pub fn list(&self) -> Vec<(id::Digest, Status)> {
        let now = self.shared.dependencies.clock.now();
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
    fn wall(&self) -> WallTime {
        let wall = self.dependencies.clock.wall();
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

    /// Applies an event, and forwards it if it was new.
    fn apply(&self, event: Event, is_own: bool) {
        let is_new = self.table.lock().apply(&event, self.wall());
        if is_new {
            // A full channel bounds the messages that a wave of crashes may cause.
            let _ = self.outbox.try_send(NewEvent { event, is_own });
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
        self.shared.apply(event, true);
    }

    fn clear(&self, digest: &id::Digest, _now: Time) {
        let is_blamed = self.shared.table.lock().is_blamed(digest);
        if is_blamed {
            let event = Event {
                digest: digest.clone(),
                endpoint: None,
                at: self.shared.wall(),
            };
            self.shared.apply(event, true);
        }
    }
}

impl peer::Handler for Replica {
    fn handle(&self, _from: &id::Daemon, body: &[u8]) -> Result<Vec<u8>, String> {
        for event in message::decode(body).map_err(|e| e.to_string())? {
            self.shared.apply(event, false);
        }
        Ok(Vec::new())
    }
}

fn run(shared: &Shared, inbox: &flume::Receiver<NewEvent>, mut offset: id::Offset) {
    let mut unlogged: Vec<Event> = Vec::new();
    let mut unsent: Vec<Event> = Vec::new();
    let mut next_read = shared.dependencies.clock.now() + LOG_POLL_INTERVAL;
    while !shared.is_stopped.load(Ordering::Relaxed) {
        let new_events: Vec<NewEvent> = match inbox.recv_timeout(INBOX_TIMEOUT) {
            Ok(first) => std::iter::once(first)
                .chain(inbox.try_iter().take(MAX_BATCH_EVENTS - 1))
                .collect(),
            Err(_) => Vec::new(),
        };
        unsent.extend(new_events.iter().map(|e| e.event.clone()));
        send_to_peers(shared, &mut unsent);
        let own = new_events.into_iter().filter(|e| e.is_own);
        unlogged.extend(own.map(|e| e.event));
        append_to_log(shared, &mut unlogged);
        if shared.dependencies.clock.now() >= next_read {
            offset = read_log(shared, offset);
            next_read = shared.dependencies.clock.now() + LOG_POLL_INTERVAL;
        }
    }
}

/// Sends events to some peers, which forward new ones; those that no peer received are sent again.
fn send_to_peers(shared: &Shared, events: &mut Vec<Event>) {
    let excess = events.len().saturating_sub(MAX_PENDING_EVENTS);
    events.drain(..excess);
    let Some(link) = &shared.dependencies.link else {
        events.clear();
        return;
    };
    let count = events.len().min(MAX_BATCH_EVENTS);
    if count == 0 {
        return;
    }
    let peers = shared.dependencies.view.peers();
    let others: Vec<_> = peers.iter().filter(|p| p.daemon != shared.daemon).collect();
    let body = message::encode(&events[..count]);
    let is_delivered = |peer: &&&Peer| {
        let answer = link.ask(&peer.address, peer::Topic::Quarantine, &body, SEND_TIMEOUT);
        answer.is_ok()
    };
    // The others learn from these peers or from the log.
    let receivers = others.sample(&mut rand::rng(), FANOUT).filter(is_delivered);
    if receivers.count() > 0 {
        events.drain(..count);
    }
}

/// Appends events to the log; those that could not be appended are tried again.
fn append_to_log(shared: &Shared, events: &mut Vec<Event>) {
    let excess = events.len().saturating_sub(MAX_PENDING_EVENTS);
    events.drain(..excess);
    let count = events.len().min(MAX_BATCH_EVENTS);
    let Some(body) = message::to_record(&shared.daemon, &events[..count]) else {
        return;
    };
    // Duplicate events in the log are harmless: they are applied once.
    if count > 0
        && shared
            .dependencies
            .log
            .append(STREAM, &body, SEND_TIMEOUT)
            .is_ok()
    {
        events.drain(..count);
    }
}

/// Applies the log to its end and returns the offset after it.
fn read_log(shared: &Shared, mut offset: id::Offset) -> id::Offset {
    while let Ok(page) = shared.dependencies.log.read(STREAM, offset, Duration::ZERO) {
        let now = shared.wall();
        let events = page
            .records
            .iter()
            .flat_map(|r| message::from_record(&r.body));
        for event in events {
            shared.table.lock().apply(&event, now);
        }
        offset = page.records.last().map_or(page.end, |r| r.offset + 1);
        if offset >= page.end {
            break;
        }
    }
    offset
}

#[cfg(test)]
mod tests;
