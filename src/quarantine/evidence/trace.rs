//! Traces of subjects that one endpoint ended under, for which there was no room. A prompt may have more than a
//! thousand parts, and many requests run at an endpoint that ends. A trace takes some dozen bytes, and is all that is
//! needed to notice that a second endpoint ends under the same subject.

use std::hash::{BuildHasher, RandomState};

use indexmap::IndexMap;

use super::{BLAME_RETENTION, Blame, Entry, Life, Subject};
use crate::clock::Time;
use crate::id;

/// The most traces: all parts of the longest prompts, at an engine that runs 160 requests.
pub const MAX_TRACES: usize = 256 * 1_024;
/// The part of them that is dropped when there are more, as a divisor.
const DROPPED_DIVISOR: usize = 4;

/// Names a subject; two of the same hash are taken for one, which is as good as impossible.
type Hash = u64;

#[derive(Debug)]
struct Trace {
    /// The index of the ended endpoint.
    life: u32,
    depth: u32,
    blame: Blame,
}

/// The traces of one daemon.
#[derive(Debug, Default)]
pub struct Traces {
    hasher: RandomState,
    traces: IndexMap<Hash, Trace, RandomState>,
    /// The ended endpoints, which all traces of one share.
    lives: Vec<Life>,
}

impl Traces {
    fn hash(&self, subject: &Subject) -> Hash {
        self.hasher.hash_one(subject)
    }

    /// Adds the trace of a subject that one endpoint ended under.
    pub fn add(&mut self, subject: &Subject, entry: &Entry) {
        let Some((life, blame)) = entry.blames.first() else {
            return;
        };
        // Entries come by time, so the endpoint is mostly the last one.
        let known = self.lives.iter().rposition(|known| known == life);
        let index = known.unwrap_or_else(|| {
            self.lives.push(life.clone());
            self.lives.len() - 1
        });
        let trace = Trace {
            life: u32::try_from(index).unwrap_or(u32::MAX),
            depth: u32::try_from(entry.depth).unwrap_or(u32::MAX),
            blame: *blame,
        };
        self.traces.insert(self.hash(subject), trace);
        if self.traces.len() > MAX_TRACES {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let mut times: Vec<Time> = self.traces.values().map(|trace| trace.blame.at).collect();
        let (_, oldest_kept, _) = times.select_nth_unstable(MAX_TRACES / DROPPED_DIVISOR);
        let oldest_kept = *oldest_kept;
        let mut excess = self.traces.len() - MAX_TRACES / DROPPED_DIVISOR * (DROPPED_DIVISOR - 1);
        self.traces.retain(|_, trace| {
            let is_dropped = trace.blame.at <= oldest_kept && excess > 0;
            excess -= usize::from(is_dropped);
            !is_dropped
        });
        self.drop_lives();
    }

    /// Takes the trace of a subject as an entry, which is new if there is none.
    pub fn take(&mut self, subject: &Subject) -> Entry {
        if self.traces.is_empty() {
            return Entry::default();
        }
        let trace = self.traces.swap_remove(&self.hash(subject));
        let mut entry = Entry::default();
        if let Some(trace) = trace
            && let Some(life) = self.lives.get(trace.life as usize)
        {
            entry.depth = trace.depth as usize;
            entry.blames.insert(life.clone(), trace.blame);
        }
        entry
    }

    /// Returns whether there is a trace of a subject.
    pub fn has(&self, subject: &Subject) -> bool {
        !self.traces.is_empty() && self.traces.contains_key(&self.hash(subject))
    }

    /// Drops the trace of a subject, since an endpoint of a service has been answering it.
    pub fn clear(&mut self, subject: &Subject, service: &id::Pool) {
        if self.traces.is_empty() {
            return;
        }
        let hash = self.hash(subject);
        let life = self.traces.get(&hash).map(|trace| trace.life as usize);
        let life = life.and_then(|index| self.lives.get(index));
        if life.is_some_and(|life| life.service == *service) {
            self.traces.swap_remove(&hash);
        }
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Time) {
        self.traces
            .retain(|_, trace| now < trace.blame.at + BLAME_RETENTION);
        self.drop_lives();
    }

    /// Drops the ended endpoints of which no trace is left.
    fn drop_lives(&mut self) {
        let mut lives = Vec::new();
        let mut indexes: IndexMap<u32, u32> = IndexMap::new();
        for trace in self.traces.values_mut() {
            let index = indexes.entry(trace.life).or_insert_with(|| {
                lives.extend(self.lives.get(trace.life as usize).cloned());
                u32::try_from(lives.len()).unwrap_or(u32::MAX) - 1
            });
            trace.life = *index;
        }
        self.lives = lives;
    }

    /// Returns the number of traces.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.traces.len()
    }
}
