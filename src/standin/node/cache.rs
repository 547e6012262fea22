//! The prefix cache of a stand-in engine, whose events are late and have gaps.

use std::collections::VecDeque;

use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::endpoint::CacheEvent;
use crate::standin::profile::Profile;

/// Events that are kept for readers.
const REMEMBERED: usize = 4_096;

/// The blocks of prompts that are held, the least recently used first.
pub(super) struct Prefixes {
    capacity: usize,
    gap: f64,
    /// Depth of each block in its prompt, from 1.
    blocks: IndexMap<u64, usize>,
    sequence: u64,
    events: VecDeque<(Time, CacheEvent)>,
    rng: ChaCha8Rng,
}

impl Prefixes {
    pub(super) fn new(profile: &Profile) -> Self {
        Self {
            capacity: profile.cache_blocks,
            gap: profile.cache_gap,
            blocks: IndexMap::new(),
            sequence: 0,
            events: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(profile.seed),
        }
    }

    /// Returns the share of the cache that is free.
    pub(super) fn free(&self) -> f64 {
        if self.capacity == 0 {
            return 1.0;
        }
        let used = u32::try_from(self.blocks.len()).unwrap_or(u32::MAX);
        let capacity = u32::try_from(self.capacity).unwrap_or(u32::MAX);
        1.0 - f64::from(used) / f64::from(capacity)
    }

    /// Returns how many leading blocks of a prompt are held.
    pub(super) fn held(&self, hashes: &[u64]) -> usize {
        let held = hashes.iter().take_while(|h| self.blocks.contains_key(*h));
        held.count()
    }

    /// Returns the blocks of the prefix that ends in `hash`; 0 if it is not held.
    pub(super) fn blocks_up_to(&self, hash: u64) -> usize {
        self.blocks.get(&hash).copied().unwrap_or(0)
    }

    /// Holds the blocks of a prompt, the first of which is `depth` deep, and drops the oldest.
    pub(super) fn take(&mut self, hashes: &[u64], depth: usize, now: Time) {
        if self.capacity == 0 {
            return;
        }
        let mut added = Vec::new();
        for (hash, depth) in hashes.iter().zip(depth..) {
            if self.blocks.shift_remove(hash).is_none() {
                added.push(*hash);
            }
            self.blocks.insert(*hash, depth);
        }
        let excess = self.blocks.len().saturating_sub(self.capacity);
        let removed: Vec<u64> = self.blocks.drain(..excess).map(|(h, _)| h).collect();
        if added.is_empty() && removed.is_empty() {
            return;
        }
        self.publish(added, removed, now);
    }

    fn publish(&mut self, added: Vec<u64>, removed: Vec<u64>, now: Time) {
        self.sequence += 1;
        let draw: f64 = self.rng.random();
        if draw < self.gap {
            return;
        }
        let sequence = self.sequence;
        let event = CacheEvent {
            sequence,
            added,
            removed,
        };
        self.events.push_back((now, event));
        if self.events.len() > REMEMBERED {
            self.events.pop_front();
        }
    }

    /// Returns the events after a number that happened until `before`.
    pub(super) fn events(&self, after: u64, before: Time) -> Vec<CacheEvent> {
        let seen = self.events.iter().take_while(|(at, _)| *at <= before);
        let later = seen.filter(|(_, e)| e.sequence > after);
        later.map(|(_, e)| e.clone()).collect()
    }
}
