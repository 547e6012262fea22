//! One endpoint with sampled service times: slots, a queue by priority, and a prefix cache.

use std::collections::VecDeque;
use std::time::Duration;

use cyclamenrill::clock::Time;
use cyclamenrill::endpoint::{CacheEvent, Load};
use cyclamenrill::id;
use indexmap::IndexSet;

/// Prefixes that an engine holds.
const CACHE: usize = 900;
/// Share of a call that a hit of the whole prompt saves.
pub const PREFILL_SHARE: f64 = 0.4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Well,
    /// Answers half of the calls with a failure and the other half never.
    Failing,
    /// Refuses new calls and finishes those it has.
    Leaving,
    /// Refuses connections.
    Dead,
}

#[derive(Debug)]
pub struct Server {
    pub name: id::Endpoint,
    pub pool: usize,
    pub zone: usize,
    pub health: Health,
    /// Factor on service times.
    pub slowness: f64,
    pub slots: usize,
    pub running: Vec<usize>,
    pub waiting: VecDeque<(u8, usize)>,
    pub left_at: Option<Time>,
    held: IndexSet<u64>,
    added: Vec<u64>,
    removed: Vec<u64>,
    sequence: u64,
}

impl Server {
    pub fn new(name: id::Endpoint, pool: usize, zone: usize, slots: usize) -> Self {
        Self {
            name,
            pool,
            zone,
            health: Health::Well,
            slowness: 1.0,
            slots,
            running: Vec::new(),
            waiting: VecDeque::new(),
            left_at: None,
            held: IndexSet::new(),
            added: Vec::new(),
            removed: Vec::new(),
            sequence: 0,
        }
    }

    pub fn enqueue(&mut self, priority: u8, call: usize) {
        let at = self.waiting.iter().position(|(p, _)| *p > priority);
        let at = at.unwrap_or(self.waiting.len());
        self.waiting.insert(at, (priority, call));
    }

    /// The next call to start, if a slot is free.
    pub fn next(&mut self) -> Option<usize> {
        if self.running.len() >= self.slots {
            return None;
        }
        let (_, call) = self.waiting.pop_front()?;
        self.running.push(call);
        Some(call)
    }

    /// Takes a call out; true when it was running.
    pub fn take(&mut self, call: usize) -> bool {
        self.waiting.retain(|(_, c)| *c != call);
        let at = self.running.iter().position(|c| *c == call);
        at.map(|at| self.running.swap_remove(at)).is_some()
    }

    /// Computes a prompt and returns the share that was held before.
    pub fn prefill(&mut self, prefixes: &[u64]) -> f64 {
        if prefixes.is_empty() {
            return 0.0;
        }
        let longest = prefixes.iter().rposition(|p| self.held.contains(p));
        for prefix in prefixes {
            // Least recently used first.
            if !self.held.shift_remove(prefix) {
                self.added.push(*prefix);
            }
            self.held.insert(*prefix);
        }
        while self.held.len() > CACHE {
            if let Some(gone) = self.held.shift_remove_index(0) {
                self.removed.push(gone);
            }
        }
        longest.map_or(0.0, |at| (at + 1) as f64 / prefixes.len() as f64)
    }

    pub fn cache_event(&mut self) -> Option<CacheEvent> {
        if self.added.is_empty() && self.removed.is_empty() {
            return None;
        }
        self.sequence += 1;
        Some(CacheEvent {
            sequence: self.sequence,
            added: std::mem::take(&mut self.added),
            removed: std::mem::take(&mut self.removed),
        })
    }

    pub fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            cache_free: 1.0 - self.held.len() as f64 / CACHE as f64,
            versions: vec!["v1".into()],
            role: None,
        }
    }
}

/// A regional link in one direction.
#[derive(Clone, Debug)]
pub struct Wire {
    /// Bytes a second.
    pub rate: f64,
    free_at: Time,
    pub bytes: u64,
}

impl Wire {
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            free_at: Duration::ZERO,
            bytes: 0,
        }
    }

    /// Sends bytes and returns when the last one has left.
    pub fn send(&mut self, bytes: u64, now: Time) -> Time {
        self.bytes += bytes;
        let took = Duration::from_secs_f64(bytes as f64 / self.rate);
        self.free_at = self.free_at.max(now) + took;
        self.free_at
    }
}
