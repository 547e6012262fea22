//! What this daemon has sent to engines of late, for a daemon that begins to plan: it would send
//! requests elsewhere than where their prompts are cached otherwise.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;
use crate::serve::plan::{CachedPart, Job};

/// How long a use is told of. The users count a prompt as read in vain within 7 to 9 s after its last
/// use, and all daemons of a region tell a new planner at once.
const MAX_AGE: Duration = Duration::from_secs(12);
/// Parts that are remembered: a busy daemon sends about ten requests a second, with two shared parts.
const MAX_PARTS: usize = 500;

/// When each part of a prompt was last sent to which engine.
#[derive(Default)]
pub struct SentParts {
    sent_at: IndexMap<(id::Endpoint, id::Name), Time>,
}

impl SentParts {
    /// A request was sent to an engine.
    pub fn record(&mut self, endpoint: &id::Endpoint, job: &Job, now: Time) {
        // The last part is the request's own.
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
                .retain(|_, at| now.saturating_sub(*at) < MAX_AGE);
            self.sent_at.sort_unstable_by(|_, a, _, b| b.cmp(a));
            self.sent_at.truncate(MAX_PARTS / 2);
        }
    }

    /// Returns what engines are expected to have cached.
    pub fn cached_parts(&self, now: Time) -> Vec<CachedPart> {
        let known = self.sent_at.iter();
        let known = known.filter(|(_, at)| now.saturating_sub(**at) < MAX_AGE);
        let one = |((endpoint, part), at): (&(id::Endpoint, id::Name), &Time)| CachedPart {
            endpoint: endpoint.clone(),
            part: part.clone(),
            sent_at: *at,
        };
        known.map(one).collect()
    }

    /// Returns the same by engine, with ages.
    pub fn ages_by_endpoint(&self, now: Time) -> IndexMap<id::Endpoint, Vec<(id::Name, Duration)>> {
        let mut ages: IndexMap<id::Endpoint, Vec<(id::Name, Duration)>> = IndexMap::new();
        for one in self.cached_parts(now) {
            let age = now.saturating_sub(one.sent_at);
            ages.entry(one.endpoint).or_default().push((one.part, age));
        }
        ages
    }
}
