//! Group commit: queues entries of one stream and forms the groups that are appended.
//!
//! One append is in flight at a time, and appends are paced, so that a group holds what
//! arrived since the last one. See [the design note](../../docs/design/claims.md).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::fold::{EntryId, EntryKind};
use super::record::Entry;
use crate::clock::Time;
use crate::id;

/// Appends a second that all claim streams of the deployment may take together.
pub const FLEET_APPENDS_PER_SECOND: f64 = 300.0;
/// Share of the appends that is left to daemons that are not the preferred writer.
pub const DIRECT_SHARE: f64 = 0.25;
/// Appends that may follow each other without pacing after a quiet time.
pub const BURST_APPENDS: f64 = 4.0;
/// Entries in a group.
pub const MAX_GROUP_ENTRIES: usize = 512;
/// Bytes in a group, roughly.
pub const MAX_GROUP_BYTES: usize = 256 * 1024;
/// How long a failed append is not tried again.
pub const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// The longest time between two tries.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);

token! {
    /// How an append ended.
    pub enum Receipt {
        /// The record stands in the stream.
        Done,
        /// It does not.
        NoEffect,
        /// It may stand there, now or later.
        Unknown,
    }
}

token! {
    /// What is left of a claim that was taken back.
    pub enum Withdrawal {
        /// It was in no append.
        #[serde(rename = "none")]
        NotAppended,
        /// Its appends ended with known results.
        #[serde(rename = "settled")]
        Resolved,
        /// A copy may come to stand after everything that was read so far.
        #[serde(rename = "unsure")]
        InDoubt,
    }
}

/// Forms groups of entries.
#[derive(Debug)]
pub struct Writer {
    queue: IndexMap<EntryId, Entry>,
    in_flight: IndexMap<EntryId, Entry>,
    /// Entries whose append ended without a known result; reading tells.
    in_doubt: IndexMap<EntryId, Entry>,
    /// Claims that were in such an append, which may have its effect even after it was read
    /// that it had none so far.
    claims_in_doubt: IndexSet<id::Request>,
    rate: f64,
    tokens: f64,
    refilled_at: Time,
    failures: u32,
    not_before: Time,
    is_appending: bool,
}

impl Writer {
    /// Makes a writer that appends at most `rate` groups a second.
    pub fn new(rate: f64) -> Self {
        Self {
            queue: IndexMap::new(),
            in_flight: IndexMap::new(),
            in_doubt: IndexMap::new(),
            claims_in_doubt: IndexSet::new(),
            rate,
            tokens: BURST_APPENDS,
            refilled_at: Time::ZERO,
            failures: 0,
            not_before: Time::ZERO,
            is_appending: false,
        }
    }

    /// Changes the pace, in groups a second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Queues an entry, unless the same one is on its way.
    pub fn push(&mut self, request: id::Request, kind: EntryKind, entry: Entry) {
        let at = EntryId { request, kind };
        if !self.contains(at) {
            self.queue.insert(at, entry);
        }
    }

    fn contains(&self, at: EntryId) -> bool {
        self.queue.contains_key(&at)
            || self.in_flight.contains_key(&at)
            || self.in_doubt.contains_key(&at)
    }

    /// Takes back a claim whose request is decided, and tells what is left of it.
    pub fn withdraw(&mut self, request: id::Request) -> Withdrawal {
        let kind = EntryKind::Claim;
        let at = EntryId { request, kind };
        let is_queued = self.queue.shift_remove(&at).is_some();
        let is_unsure = self.claims_in_doubt.swap_remove(&request);
        if is_unsure || self.in_flight.contains_key(&at) || self.in_doubt.contains_key(&at) {
            Withdrawal::InDoubt
        } else if is_queued {
            Withdrawal::NotAppended
        } else {
            Withdrawal::Resolved
        }
    }

    /// Says whether anything is on its way.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && !self.is_appending && self.in_doubt.is_empty()
    }

    /// Says whether an append is in flight.
    pub fn is_appending(&self) -> bool {
        self.is_appending
    }

    /// Says whether reading is needed before the next append.
    pub fn has_in_doubt(&self) -> bool {
        !self.in_doubt.is_empty()
    }

    /// Says whether the last append failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Learns that the log answered a read: with nothing left to append, the next append is
    /// tried at once.
    pub fn reset_backoff(&mut self) {
        if self.is_idle() {
            self.failures = 0;
            self.not_before = Time::ZERO;
        }
    }

    /// Returns the entries of the next group, if one may be appended now.
    pub fn next_group(&mut self, now: Time) -> Vec<Entry> {
        self.refill(now);
        let blocked = self.is_appending || !self.in_doubt.is_empty();
        if blocked || self.queue.is_empty() || self.tokens < 1.0 || now < self.not_before {
            return Vec::new();
        }
        self.tokens -= 1.0;
        let mut bytes = 0;
        let mut count = 0;
        for entry in self.queue.values() {
            bytes += estimated_bytes(entry);
            if count > 0 && (bytes > MAX_GROUP_BYTES || count >= MAX_GROUP_ENTRIES) {
                break;
            }
            count += 1;
        }
        self.in_flight = self.queue.drain(..count).collect();
        self.is_appending = true;
        self.in_flight.values().cloned().collect()
    }

    fn refill(&mut self, now: Time) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = BURST_APPENDS.min(self.tokens + passed * self.rate);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns when the next group may be appended, if something waits for that alone.
    pub fn next_wake(&self) -> Option<Time> {
        if self.queue.is_empty() || self.is_appending || !self.in_doubt.is_empty() {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0) / self.rate.max(f64::MIN_POSITIVE);
        // Rounded up, so that a wake on time finds the token there.
        let paced = self.refilled_at
            + Duration::from_secs_f64(missing.min(3600.0))
            + Duration::from_micros(1);
        Some(if missing > 0.0 { paced } else { Time::ZERO }.max(self.not_before))
    }

    /// Learns how the append in flight ended and returns what became durable.
    pub fn on_append_ended(&mut self, receipt: Receipt, now: Time) -> Vec<EntryId> {
        self.is_appending = false;
        let flight = std::mem::take(&mut self.in_flight);
        if receipt == Receipt::Done {
            self.failures = 0;
            return flight.into_keys().collect();
        }
        self.failures = self.failures.saturating_add(1);
        let wait = MIN_BACKOFF * 2_u32.saturating_pow(self.failures.min(8) - 1);
        self.not_before = now + wait.min(MAX_BACKOFF);
        match receipt {
            Receipt::Unknown => {
                let claims = flight.keys().filter(|seen| seen.kind == EntryKind::Claim);
                self.claims_in_doubt.extend(claims.map(|seen| seen.request));
                self.in_doubt = flight;
            }
            _ => self.requeue(flight),
        }
        Vec::new()
    }

    fn requeue(&mut self, entries: IndexMap<EntryId, Entry>) {
        let later = std::mem::replace(&mut self.queue, entries);
        for (at, entry) in later {
            self.queue.entry(at).or_insert(entry);
        }
    }

    /// Learns that an entry stands in the log, whoever appended it.
    pub fn on_entry_read(&mut self, at: EntryId) {
        self.queue.shift_remove(&at);
        self.in_flight.shift_remove(&at);
        self.in_doubt.shift_remove(&at);
    }

    /// Learns that the stream was read to its end after the last append; what was not seen
    /// there is appended again, which is safe because each entry counts once.
    pub fn on_caught_up(&mut self) {
        let doubtful = std::mem::take(&mut self.in_doubt);
        if !doubtful.is_empty() {
            self.requeue(doubtful);
        }
    }
}

fn estimated_bytes(entry: &Entry) -> usize {
    const FIXED: usize = 320;
    let ending = match entry {
        Entry::Outcome(outcome) => Some(&outcome.ending),
        Entry::Carried(carried) => carried.ending.as_ref(),
        _ => None,
    };
    FIXED + ending.map_or(0, super::record::body_bytes)
}

/// Returns the groups a second that the preferred writer of one stream may append.
pub fn stream_rate(streams: u32) -> f64 {
    FLEET_APPENDS_PER_SECOND * (1.0 - DIRECT_SHARE) / f64::from(streams.max(1))
}

/// Returns the groups a second that a daemon may append to each of the `active` streams that
/// it appends to without being their preferred writer.
pub fn direct_rate(daemons: usize, active: usize) -> f64 {
    let count = |n: usize| f64::from(u32::try_from(n.max(1)).unwrap_or(u32::MAX));
    FLEET_APPENDS_PER_SECOND * DIRECT_SHARE / count(daemons) / count(active)
}
