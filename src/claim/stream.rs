//! Decides the claims of one stream: fold, group commit and waiting requests.
//!
//! It does no I/O: events go in with the time, actions come out. See
//! [the design note](../../docs/design/claims.md).

use std::time::{Duration, SystemTime};

use indexmap::{IndexMap, IndexSet};

use self::carry::Pass;
use self::reading::{ReadState, report_durable};
use super::fold::{EntryKind, Fold};
use super::record::{self, Ending, Entry, Group};
use super::writer::{Receipt, Writer};
use super::{Claim, Outcome, Verdict};
use crate::clock::Time;
use crate::{id, platform, settings};

mod carry;
mod reading;
pub mod waiter;

use self::waiter::Waiter;

/// How long a read waits for records while requests wait.
pub const LONG_POLL: Duration = Duration::from_millis(200);
/// The pause after a failed read.
pub const READ_BACKOFF: Duration = Duration::from_millis(100);
/// How long the log must fail before requests are refused at once.
pub const OUTAGE_AFTER: Duration = Duration::from_secs(1);
/// The pause after a failed read during an outage.
pub const OUTAGE_READ_BACKOFF: Duration = Duration::from_millis(500);
/// How long an executor must be missing before it counts as gone.
pub const GONE_GRACE: Duration = Duration::from_secs(10);
/// How often expired keys are forgotten.
pub const EXPIRE_INTERVAL: Duration = Duration::from_secs(60);
/// How often the preferred writer reads while no request waits, to keep its fold current.
pub const IDLE_READ_INTERVAL: Duration = Duration::from_secs(1);
/// The most keys in the fold of one stream; beyond that, new keys are refused.
pub const MAX_KEYS: usize = 250_000;
/// The most endings kept in memory, so that requests that join need no further read.
const MAX_CACHED_ENDINGS: usize = 64;
/// The most bytes of bodies in these endings.
const MAX_CACHED_BYTES: usize = 1024 * 1024;

event! {
    /// An input of a stream.
    pub enum Event {
        /// A claim arrives, with its executor: the daemon that would run the request.
        Claim(Claim, id::Daemon),
        /// A granted request ended.
        Settle(Box<Claim>, Outcome),
        /// A request whose claim may be in the log will not run.
        Abandon(Box<Claim>),
        /// The append in flight ended.
        Appended(Receipt),
        /// The read in flight ended; none when it failed.
        Read(Option<platform::Page>),
        /// The fetch of the record at an offset ended.
        Fetched(id::Offset, Fetch),
        /// The live daemons.
        Members(IndexSet<id::Daemon>),
        /// The role of this daemon.
        Role {
            /// Whether it is the preferred writer, which carries keys forward.
            writer: bool,
            /// Its append limit, in groups a second.
            rate: f64,
        },
        /// The time of `next_wake` has come.
        Wake,
    }

    /// The result of fetching one record.
    pub enum Fetch {
        /// The record.
        Record(Vec<u8>),
        /// It was trimmed.
        Trimmed,
        /// The log did not answer.
        Failed,
    }

    /// An output of a stream, for its lane to carry out.
    pub enum Action {
        /// Append a record.
        Append(Vec<u8>),
        /// Read from an offset on, and wait at most this long for a record.
        Read(id::Offset, Duration),
        /// Read the one record at an offset.
        Fetch(id::Offset),
        /// Send the verdict on a claim, and whether the claim is in doubt all the same; only its
        /// executor may then release it, because no other daemon knows that it will not run.
        Decide(id::Request, Verdict, bool),
        /// The outcome or release of a request is durable.
        Durable(id::Request),
    }
}

/// The time of both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic.
    pub mono: Time,
    /// Wall clock.
    pub wall: SystemTime,
}

/// The claims of one stream at one daemon.
#[derive(Debug)]
pub struct Stream {
    daemon: id::Daemon,
    window: Duration,
    retention: Duration,
    max_outcome_bytes: usize,
    max_keys: usize,
    fold: Fold,
    writer: Writer,
    waiters: IndexMap<id::Request, Waiter>,
    cached_endings: IndexMap<id::Request, Ending>,
    fetching: IndexSet<id::Offset>,
    members: IndexSet<id::Daemon>,
    is_writer: bool,
    /// Whether the stream was read to its end, so that the fold can decide claims.
    is_ready: bool,
    failing_since: Option<Time>,
    read_state: ReadState,
    expire_at: Time,
    pass: Pass,
}

impl Stream {
    /// Creates a stream that has read nothing yet.
    pub fn new(daemon: id::Daemon, claims: &settings::Claims) -> Self {
        Self {
            daemon,
            window: Duration::from_millis(claims.window_ms),
            retention: Duration::from_millis(claims.retention_ms),
            max_outcome_bytes: claims.max_outcome_bytes as usize,
            max_keys: MAX_KEYS,
            fold: Fold::default(),
            writer: Writer::new(super::writer::stream_rate(claims.streams)),
            waiters: IndexMap::new(),
            cached_endings: IndexMap::new(),
            fetching: IndexSet::new(),
            members: IndexSet::new(),
            is_writer: false,
            is_ready: false,
            failing_since: None,
            read_state: ReadState::default(),
            expire_at: Time::ZERO,
            pass: Pass::default(),
        }
    }

    /// Sets how many keys the fold may hold.
    #[must_use]
    pub fn with_max_keys(mut self, keys: usize) -> Self {
        self.max_keys = keys;
        self
    }

    /// Returns the fold.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns whether no request waits and no entry is to be appended.
    pub fn is_idle(&self) -> bool {
        self.waiters.is_empty() && self.writer.is_idle()
    }

    /// Handles an event and returns the actions to take.
    pub fn step(&mut self, event: Event, now: Now) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Claim(claim, executor) => self.add_waiter(claim, executor, now, &mut out),
            Event::Settle(claim, outcome) => self.settle(&claim, &outcome, now),
            Event::Abandon(claim) => self.abandon(&claim, now),
            Event::Appended(receipt) => self.appended(receipt, now, &mut out),
            Event::Read(page) => self.read(page.as_ref(), now, &mut out),
            Event::Fetched(offset, fetch) => self.fetched(offset, &fetch, now, &mut out),
            Event::Members(members) => self.members = members,
            Event::Role { writer, rate } => {
                self.is_writer = writer;
                self.writer.set_rate(rate);
            }
            Event::Wake => {}
        }
        self.expire(now);
        self.carry(now, &mut out);
        self.review_waiters(now, &mut out);
        self.append(now, &mut out);
        self.start_read(now, &mut out);
        out
    }

    fn settle(&mut self, claim: &Claim, outcome: &Outcome, now: Now) {
        match record::ending(outcome, self.max_outcome_bytes) {
            Some(ending) => self.push_outcome(claim, claim.request, ending, now),
            None => self.push_release(claim, now),
        }
    }

    fn abandon(&mut self, claim: &Claim, now: Now) {
        self.waiters.swap_remove(&claim.request);
        self.writer.withdraw(claim.request);
        self.push_release(claim, now);
    }

    fn push_outcome(&mut self, claim: &Claim, request: id::Request, ending: Ending, now: Now) {
        let entry = Entry::Outcome(record::Outcome {
            workspace: claim.workspace.to_string(),
            key: claim.key.to_string(),
            digest: claim.digest.to_string(),
            request,
            issued_ms: waiter::issued_ms(claim, now.wall),
            ending,
        });
        self.writer.push(request, EntryKind::Outcome, entry);
    }

    fn push_release(&mut self, claim: &Claim, now: Now) {
        let entry = Entry::Release(record::Release {
            workspace: claim.workspace.to_string(),
            key: claim.key.to_string(),
            request: claim.request,
            issued_ms: waiter::issued_ms(claim, now.wall),
        });
        self.writer.push(claim.request, EntryKind::Release, entry);
    }

    fn append(&mut self, now: Now, out: &mut Vec<Action>) {
        let entries = self.writer.next_group(now.mono);
        if entries.is_empty() {
            return;
        }
        let group = Group {
            writer: self.daemon.to_string(),
            at_ms: record::unix_millis(now.wall),
            entries,
        };
        match record::encode(&group) {
            Some(body) => out.push(Action::Append(body)),
            None => drop(self.writer.on_append_ended(Receipt::NoEffect, now.mono)),
        }
    }

    fn appended(&mut self, receipt: Receipt, now: Now, out: &mut Vec<Action>) {
        self.skip_read_back(receipt, out);
        for entry in self.writer.on_append_ended(receipt, now.mono) {
            report_durable(entry, out);
        }
        self.note_log_result(receipt == Receipt::Done, now.mono);
    }

    fn note_log_result(&mut self, is_ok: bool, now: Time) {
        if is_ok {
            self.failing_since = None;
        } else {
            self.failing_since.get_or_insert(now);
        }
    }

    fn is_outage(&self, now: Time) -> bool {
        self.failing_since
            .is_some_and(|since| now >= since + OUTAGE_AFTER)
    }

    fn expire(&mut self, now: Now) {
        if now.mono >= self.expire_at {
            self.fold.expire(now.wall, self.window);
            self.expire_at = now.mono + EXPIRE_INTERVAL;
        }
    }

    /// Returns when `Event::Wake` is due.
    pub fn next_wake(&self) -> Option<Time> {
        let waiters = self.waiters.values().map(Waiter::next_wake).min();
        let read = match self.read_state.in_flight {
            true => None,
            false if self.needs_records() => Some(self.read_state.not_before),
            false if self.is_writer => Some(self.read_state.idle_read_at),
            false => None,
        };
        [waiters, read, self.writer.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}

#[cfg(test)]
mod tests;
