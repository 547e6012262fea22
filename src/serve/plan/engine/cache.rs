//! The prompt parts that an engine is expected to keep.

use std::time::Duration;

use indexmap::IndexMap;

use super::PromptPart;
use crate::clock::Time;
use crate::id;

/// How long a prompt part is expected to stay in an engine's cache.
const LIFETIME: Duration = Duration::from_secs(30);
/// The most parts that a planner remembers of all its engines together.
const MAX_PARTS: usize = 100_000;
/// The least number that it remembers of each.
const MIN_PARTS: usize = 512;
/// The share that one prompt may take of what is remembered of an engine, as a divisor: prompts of many parts do not push
/// out those of others at once.
const PROMPT_DIVISOR: usize = 8;

struct Entry {
    last_used: Time,
    /// Whether the engine has read it, so that others may fetch it.
    is_read: bool,
}

/// The prompt parts of one engine.
#[derive(Default)]
pub struct Cache {
    parts: IndexMap<id::Name, Entry>,
}

impl Cache {
    fn entry(&self, part: &PromptPart, now: Time) -> Option<&Entry> {
        let entry = self.parts.get(&part.id);
        entry.filter(|entry| now.saturating_sub(entry.last_used) < LIFETIME)
    }

    /// Returns the tokens of a prompt that the engine keeps, or reads for another request: those
    /// before the first missing part.
    pub fn tokens(&self, parts: &[PromptPart], now: Time) -> u64 {
        let kept = parts
            .iter()
            .take_while(|part| self.entry(part, now).is_some());
        kept.map(|part| part.tokens).sum()
    }

    /// Returns the tokens of a prompt that another engine can fetch.
    pub fn read_tokens(&self, parts: &[PromptPart], now: Time) -> u64 {
        let is_read = |part: &&PromptPart| self.entry(part, now).is_some_and(|entry| entry.is_read);
        let kept = parts.iter().take_while(is_read);
        kept.map(|part| part.tokens).sum()
    }

    /// Records a part that was sent to the engine while another daemon planned.
    pub fn add(&mut self, part: &id::Name, sent_at: Time) {
        let entry = self.parts.entry(part.clone()).or_insert(Entry {
            last_used: sent_at,
            is_read: true,
        });
        entry.last_used = sent_at.max(entry.last_used);
    }

    /// Records the parts of a request that is sent to one of some engines. Above the bound those are dropped that were used
    /// longest ago.
    pub fn begin(&mut self, parts: &[PromptPart], engines: usize, now: Time) {
        let most = (MAX_PARTS / engines.max(1)).max(MIN_PARTS);
        // What is kept counts from the beginning of a prompt.
        for part in parts.iter().take(most / PROMPT_DIVISOR) {
            let entry = self.parts.entry(part.id.clone()).or_insert(Entry {
                last_used: now,
                is_read: false,
            });
            entry.last_used = now;
        }
        if self.parts.len() > most {
            self.parts
                .retain(|_, entry| now.saturating_sub(entry.last_used) < LIFETIME);
        }
        if self.parts.len() > most {
            self.parts
                .sort_unstable_by(|_, a, _, b| b.last_used.cmp(&a.last_used));
            self.parts.truncate(most / 4 * 3);
        }
    }

    /// Records that the engine has read the parts of a request.
    pub fn finish(&mut self, parts: &[PromptPart]) {
        for part in parts {
            if let Some(entry) = self.parts.get_mut(&part.id) {
                entry.is_read = true;
            }
        }
    }

    /// Forgets the parts of a request that the engine has not read.
    pub fn cancel(&mut self, parts: &[PromptPart]) {
        for part in parts {
            if self.parts.get(&part.id).is_some_and(|entry| !entry.is_read) {
                self.parts.swap_remove(&part.id);
            }
        }
    }

    /// Forgets all parts.
    pub fn clear(&mut self) {
        self.parts.clear();
    }
}

#[cfg(test)]
mod tests;
