//! Group commit: queues the entries of one stream and appends them in groups.
//!
//! One append is in flight at a time, and appends are rate limited, so that a group holds what
//! arrived since the last one. See [the design note](../../docs/design/claims.md).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::fold::{EntryId, EntryKind};
use super::record::Entry;
use crate::clock::Time;
use crate::id;

/// The limit on appends to all claim streams of the deployment together.
pub const FLEET_APPENDS_PER_SECOND: f64 = 300.0;
/// The share of these appends for daemons that are not the preferred writer.
pub const DIRECT_SHARE: f64 = 0.25;
/// Appends that may follow each other at once after an idle time.
pub const BURST_APPENDS: f64 = 4.0;
/// The most entries in a group.
pub const MAX_GROUP_ENTRIES: usize = 512;
/// The most bytes in a group, as estimated.
pub const MAX_GROUP_BYTES: usize = 256 * 1024;
/// The delay after the first failed append; it doubles with each failure.
pub const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// The longest delay after a failed append.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);

token! {
    /// How an append ended.
    pub enum Receipt {
        /// The record is in the stream.
        Done,
        /// The record is not in the stream.
        NoEffect,
        /// The record may be in the stream, now or later.
        Unknown,
    }
}

token! {
    /// What a withdrawn claim may leave in the stream.
    pub enum Withdrawal {
        /// Nothing: it was in no append.
        #[serde(rename = "none")]
        NotAppended,
        /// Its appends ended with known results.
        #[serde(rename = "settled")]
        Resolved,
        /// An append of it may still take effect.
        #[serde(rename = "unsure")]
        InDoubt,
    }
}

/// Forms groups of entries.
#[derive(Debug)]
pub struct Writer {
    queue: IndexMap<EntryId, Entry>,
    in_flight: IndexMap<EntryId, Entry>,
    /// Entries whose append ended without a known result, until a read resolves it.
    in_doubt: IndexMap<EntryId, Entry>,
    /// Claims that were in such an append; it may still take effect after a read showed that it
    /// had not.
    claims_in_doubt: IndexSet<id::Request>,
    rate: f64,
    tokens: f64,
    refilled_at: Time,
    failures: u32,
    not_before: Time,
    is_appending: bool,
}

impl Writer {
    /// Creates a writer that appends at most `rate` groups a second.
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

    /// Sets the limit on appends, in groups a second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Queues an entry, unless it is queued, in flight or in doubt.
    pub fn push(&mut self, request: id::Request, kind: EntryKind, entry: Entry) {
        let id = EntryId { request, kind };
        if !self.contains(id) {
            self.queue.insert(id, entry);
        }
    }

    fn contains(&self, id: EntryId) -> bool {
        self.queue.contains_key(&id)
            || self.in_flight.contains_key(&id)
            || self.in_doubt.contains_key(&id)
    }

    /// Removes the claim of a decided request from the queue.
    pub fn withdraw(&mut self, request: id::Request) -> Withdrawal {
        let kind = EntryKind::Claim;
        let id = EntryId { request, kind };
        let is_queued = self.queue.shift_remove(&id).is_some();
        let is_in_doubt = self.claims_in_doubt.swap_remove(&request);
        if is_in_doubt || self.in_flight.contains_key(&id) || self.in_doubt.contains_key(&id) {
            Withdrawal::InDoubt
        } else if is_queued {
            Withdrawal::NotAppended
        } else {
            Withdrawal::Resolved
        }
    }

    /// Returns whether no entry is left to append.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && !self.is_appending && self.in_doubt.is_empty()
    }

    /// Returns whether an append is in flight.
    pub fn is_appending(&self) -> bool {
        self.is_appending
    }

    /// Returns whether a read must resolve an append before the next one.
    pub fn has_in_doubt(&self) -> bool {
        !self.in_doubt.is_empty()
    }

    /// Returns whether the last append failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Ends the backoff after a successful read, unless entries are left to append.
    pub fn reset_backoff(&mut self) {
        if self.is_idle() {
            self.failures = 0;
            self.not_before = Time::ZERO;
        }
    }

    /// Returns the entries of the next group, if one may be appended now.
    pub fn next_group(&mut self, now: Time) -> Vec<Entry> {
        self.refill(now);
        let is_blocked = self.is_appending || !self.in_doubt.is_empty();
        if is_blocked || self.queue.is_empty() || self.tokens < 1.0 || now < self.not_before {
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

    /// Returns when pacing and backoff allow the next group, if it waits for them alone.
    pub fn next_wake(&self) -> Option<Time> {
        if self.queue.is_empty() || self.is_appending || !self.in_doubt.is_empty() {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0) / self.rate.max(f64::MIN_POSITIVE);
        // Rounded up, so that the token is there at that time.
        let refilled = self.refilled_at
            + Duration::from_secs_f64(missing.min(3600.0))
            + Duration::from_micros(1);
        Some(if missing > 0.0 { refilled } else { Time::ZERO }.max(self.not_before))
    }

    /// Handles the end of an append and returns the entries that became durable.
    pub fn on_append_ended(&mut self, receipt: Receipt, now: Time) -> Vec<EntryId> {
        self.is_appending = false;
        let entries = std::mem::take(&mut self.in_flight);
        if receipt == Receipt::Done {
            self.failures = 0;
            return entries.into_keys().collect();
        }
        self.failures = self.failures.saturating_add(1);
        let backoff = MIN_BACKOFF * 2_u32.saturating_pow(self.failures.min(8) - 1);
        self.not_before = now + backoff.min(MAX_BACKOFF);
        match receipt {
            Receipt::Unknown => {
                let claims = entries
                    .keys()
                    .filter(|entry| entry.kind == EntryKind::Claim);
                self.claims_in_doubt
                    .extend(claims.map(|entry| entry.request));
                self.in_doubt = entries;
            }
            _ => self.requeue(entries),
        }
        Vec::new()
    }

    fn requeue(&mut self, entries: IndexMap<EntryId, Entry>) {
        let later = std::mem::replace(&mut self.queue, entries);
        for (id, entry) in later {
            self.queue.entry(id).or_insert(entry);
        }
    }

    /// Drops an entry that was read from the log, whoever appended it.
    pub fn on_entry_read(&mut self, id: EntryId) {
        self.queue.shift_remove(&id);
        self.in_flight.shift_remove(&id);
        self.in_doubt.shift_remove(&id);
    }

    /// Queues the entries again that are in doubt after a read to the end of the stream; this is
    /// safe because each entry counts once.
    pub fn on_caught_up(&mut self) {
        let in_doubt = std::mem::take(&mut self.in_doubt);
        if !in_doubt.is_empty() {
            self.requeue(in_doubt);
        }
    }
}

fn estimated_bytes(entry: &Entry) -> usize {
    const FIXED_BYTES: usize = 320;
    let ending = match entry {
        Entry::Outcome(outcome) => Some(&outcome.ending),
        Entry::Carried(carried) => carried.ending.as_ref(),
        _ => None,
    };
    FIXED_BYTES + ending.map_or(0, super::record::body_bytes)
}

/// Returns the limit on appends of the preferred writer of one stream, in groups a second.
pub fn stream_rate(streams: u32) -> f64 {
    FLEET_APPENDS_PER_SECOND * (1.0 - DIRECT_SHARE) / f64::from(streams.max(1))
}

/// Returns the limit on appends of a daemon to each of the `active` streams whose preferred
/// writer it is not, in groups a second.
pub fn direct_rate(daemons: usize, active: usize) -> f64 {
    let count = |n: usize| f64::from(u32::try_from(n.max(1)).unwrap_or(u32::MAX));
    FLEET_APPENDS_PER_SECOND * DIRECT_SHARE / count(daemons) / count(active)
}
