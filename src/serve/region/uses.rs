//! What this daemon has sent to engines of late, for a daemon that begins to plan: it would send
//! requests elsewhere than where their prompts are cached otherwise.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;
use crate::serve::plan::{CachedPart, Job};

/// How long a use is told of. The users count a prompt as read in vain within 7 to 9 s after its last
/// use, and all daemons of a region tell a new planner at once.
const TOLD: Duration = Duration::from_secs(12);
/// Parts that are remembered: a busy daemon sends about ten requests a second, with two shared parts.
const MAX_PARTS: usize = 500;

/// When each part of a prompt was last sent to which engine.
#[derive(Default)]
pub struct Uses {
    all: IndexMap<(id::Endpoint, id::Name), Time>,
}

impl Uses {
    /// A request was sent to an engine.
    pub fn note(&mut self, endpoint: &id::Endpoint, job: &Job, now: Time) {
        // The last part is the request's own.
        let shared = job
            .prompt_parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        for part in shared {
            self.all.insert((endpoint.clone(), part.id.clone()), now);
        }
        if self.all.len() > MAX_PARTS {
            self.all.retain(|_, at| now.saturating_sub(*at) < TOLD);
            self.all.sort_unstable_by(|_, a, _, b| b.cmp(a));
            self.all.truncate(MAX_PARTS / 2);
        }
    }

    /// Returns what engines are expected to have cached.
    pub fn list(&self, now: Time) -> Vec<CachedPart> {
        let known = self.all.iter();
        let known = known.filter(|(_, at)| now.saturating_sub(**at) < TOLD);
        let one = |((endpoint, part), at): (&(id::Endpoint, id::Name), &Time)| CachedPart {
            endpoint: endpoint.clone(),
            part: part.clone(),
            sent_at: *at,
        };
        known.map(one).collect()
    }

    /// Returns the same by engine, with ages.
    pub fn ages(&self, now: Time) -> IndexMap<id::Endpoint, Vec<(id::Name, Duration)>> {
        let mut ages: IndexMap<id::Endpoint, Vec<(id::Name, Duration)>> = IndexMap::new();
        for one in self.list(now) {
            let age = now.saturating_sub(one.sent_at);
            ages.entry(one.endpoint).or_default().push((one.part, age));
        }
        ages
    }
}
