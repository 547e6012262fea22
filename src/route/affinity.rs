//! Prompt-prefix affinity from cache events, which may be late or lost.
//!
//! A stale entry costs a prefill, never a wrong answer, so that entries are hints: the time that
//! they save is learnt from the calls that followed them.

use std::hash::{BuildHasherDefault, Hasher};

use indexmap::{IndexMap, IndexSet};

use crate::id;
use crate::policy::latency::Mean;

/// The most prefixes remembered for one endpoint.
const MAX_PREFIXES: usize = 4096;
/// The most endpoints remembered for one prefix.
const MAX_HOLDERS: usize = 4;
/// Weight of a new sample in the mean latencies.
const LATENCY_ALPHA: f64 = 0.05;
/// Samples of hits and misses before the learnt saving replaces the default.
const MIN_SAMPLES: u32 = 8;
/// Share of a call's time that a full hit saves, until it is learnt.
const DEFAULT_SAVING: f64 = 0.2;

/// An odd constant that spreads a hash over all bits.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Keeps prefixes as they are, because they are hashes already.
#[derive(Clone, Copy, Debug, Default)]
struct Identity(u64);

impl Hasher for Identity {
    fn finish(&self) -> u64 {
        // The table reads the upper bits as well.
        self.0.wrapping_mul(HASH_MULTIPLIER)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}

type BuildIdentity = BuildHasherDefault<Identity>;

/// The prefixes that an endpoint is believed to hold.
#[derive(Debug, Default)]
struct Held {
    /// Sequence number of its last cache event.
    sequence: u64,
    prefixes: IndexSet<u64, BuildIdentity>,
}

/// Which endpoints of a pool are believed to hold which prefixes.
#[derive(Debug, Default)]
pub struct Index {
    held: IndexMap<id::Endpoint, Held>,
    holders: IndexMap<u64, Vec<id::Endpoint>, BuildIdentity>,
    /// Mean seconds of calls sent to a believed holder.
    hit: Mean,
    /// Mean seconds of calls sent elsewhere.
    miss: Mean,
}

impl Index {
    /// Applies a cache event. After a gap in the sequence all prefixes of the endpoint are
    /// forgotten, because the lost events may have been removals.
    pub fn apply(
        &mut self,
        endpoint: &id::Endpoint,
        sequence: u64,
        added: &[u64],
        removed: &[u64],
    ) {
        let last = self.held.get(endpoint).map_or(0, |h| h.sequence);
        if sequence <= last && last > 0 {
            return;
        }
        if last > 0 && sequence > last + 1 {
            self.forget(endpoint);
        }
        for prefix in removed {
            self.remove(endpoint, *prefix);
        }
        for prefix in added {
            self.add(endpoint, *prefix);
        }
        self.held.entry(endpoint.clone()).or_default().sequence = sequence;
    }

    /// Adds the prefixes of a call sent to an endpoint, which will soon hold them.
    pub fn presume(&mut self, endpoint: &id::Endpoint, prefixes: &[u64]) {
        for prefix in prefixes {
            self.add(endpoint, *prefix);
        }
    }

    fn add(&mut self, endpoint: &id::Endpoint, prefix: u64) {
        let held = self.held.entry(endpoint.clone()).or_default();
        if !held.prefixes.insert(prefix) {
            return;
        }
        let oldest = (held.prefixes.len() > MAX_PREFIXES)
            .then(|| held.prefixes.swap_remove_index(0))
            .flatten();
        let holders = self.holders.entry(prefix).or_default();
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(endpoint.clone());
        if let Some(oldest) = oldest {
            self.unlink(endpoint, oldest);
        }
    }

    fn remove(&mut self, endpoint: &id::Endpoint, prefix: u64) {
        if let Some(held) = self.held.get_mut(endpoint) {
            held.prefixes.swap_remove(&prefix);
        }
        self.unlink(endpoint, prefix);
    }

    fn unlink(&mut self, endpoint: &id::Endpoint, prefix: u64) {
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        holders.retain(|h| h != endpoint);
        if holders.is_empty() {
            self.holders.swap_remove(&prefix);
        }
    }

    /// Forgets an endpoint that left or whose events have a gap.
    pub fn forget(&mut self, endpoint: &id::Endpoint) {
        let Some(held) = self.held.swap_remove(endpoint) else {
            return;
        };
        for prefix in held.prefixes {
            self.unlink(endpoint, prefix);
        }
    }

    /// The believed holders of the longest known prefix. Its holders hold the shorter
    /// ones as well, so that a binary search finds it.
    pub fn holders(&self, prefixes: &[u64]) -> &[id::Endpoint] {
        let known = prefixes.partition_point(|p| self.holders.contains_key(p));
        let longest = known.checked_sub(1).and_then(|index| prefixes.get(index));
        longest
            .and_then(|p| self.holders.get(p))
            .map_or(&[], Vec::as_slice)
    }

    /// The share of the prefixes, from 0 to 1, that an endpoint is believed to hold.
    pub fn share(&self, endpoint: &str, prefixes: &[u64]) -> f64 {
        let Some(held) = self.held.get(endpoint) else {
            return 0.0;
        };
        if prefixes.is_empty() {
            return 0.0;
        }
        let known = prefixes.partition_point(|p| held.prefixes.contains(p));
        known as f64 / prefixes.len() as f64
    }

    /// Adds the latency of a call, by whether a hit was expected.
    pub fn record(&mut self, is_hit: bool, seconds: f64) {
        let mean = if is_hit {
            &mut self.hit
        } else {
            &mut self.miss
        };
        mean.record(seconds, LATENCY_ALPHA);
    }

    /// The learnt share of a call's time that a full hit saves, from 0 to 1; stale entries
    /// reduce it to 0.
    pub fn saving(&self) -> f64 {
        if self.hit.samples() < MIN_SAMPLES || self.miss.samples() < MIN_SAMPLES {
            return DEFAULT_SAVING;
        }
        match (self.hit.get(), self.miss.get()) {
            (Some(hit), Some(miss)) if miss > 0.0 => (1.0 - hit / miss).clamp(0.0, 1.0),
            _ => 0.0,
        }
    }

    /// The number of known prefixes.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}

#[cfg(test)]
mod tests;
