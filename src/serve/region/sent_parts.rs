//! Prompt parts that this daemon has recently sent to engines. A new planner needs them to know
//! where prompts are cached.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;
use crate::serve::plan::{CachedPart, Job};

/// How long a part is reported to new planners. The users count a prompt that is read again within
/// 7 to 9 s of its last use as wasted work, and all daemons report to a new planner at once.
const MAX_AGE: Duration = Duration::from_secs(12);
/// The most parts that are kept: a busy daemon sends about ten requests a second, with two shared
/// parts.
const MAX_PARTS: usize = 500;

/// The time at which each prompt part was last sent to each engine.
#[derive(Default)]
pub struct SentParts {
    sent_at: IndexMap<(id::Endpoint, id::Name), Time>,
}

impl SentParts {
    /// Records the shared parts of a request that is sent to an engine.
    pub fn record(&mut self, endpoint: &id::Endpoint, job: &Job, now: Time) {
        // No other request has the last part.
        let shared = job
            .prompt_parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        for part in shared {
            self.sent_at
                .insert((endpoint.clone(), part.id.clone()), now);
        }
        if self.sent_at.len() > MAX_PARTS {
            self.sent_at
                .retain(|_, sent_at| now.saturating_sub(*sent_at) < MAX_AGE);
            self.sent_at.sort_unstable_by(|_, a, _, b| b.cmp(a));
            self.sent_at.truncate(MAX_PARTS / 2);
        }
    }

    /// Returns the parts that engines are expected to have cached.
    pub fn cached_parts(&self, now: Time) -> Vec<CachedPart> {
        let recent = self.sent_at.iter();
        let recent = recent.filter(|(_, sent_at)| now.saturating_sub(**sent_at) < MAX_AGE);
        let cached_part =
            |((endpoint, part), sent_at): (&(id::Endpoint, id::Name), &Time)| CachedPart {
                endpoint: endpoint.clone(),
                part: part.clone(),
                sent_at: *sent_at,
            };
        recent.map(cached_part).collect()
    }

    /// Returns the same parts by engine, each with its age.
    pub fn ages_by_endpoint(&self, now: Time) -> IndexMap<id::Endpoint, Vec<(id::Name, Duration)>> {
        let mut ages: IndexMap<id::Endpoint, Vec<(id::Name, Duration)>> = IndexMap::new();
        for cached in self.cached_parts(now) {
            let age = now.saturating_sub(cached.sent_at);
            ages.entry(cached.endpoint)
                .or_default()
                .push((cached.part, age));
        }
        ages
    }
}
