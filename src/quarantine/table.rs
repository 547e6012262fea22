//! The table of blamed content. It does no I/O and is given the time.
//!
//! Blame belongs to the digest of the content, because a sender changes the request id. See
//! [the design note](../../docs/design/quarantine.md).

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::id;

/// Distinct endpoints that must die while they run a content before it is refused.
pub const MIN_ENDPOINTS: usize = 2;
/// How long a content is refused after the endpoint that completed the blame died.
pub const REFUSAL_DURATION: Duration = Duration::from_secs(600);
/// How long a content stays suspect after an endpoint died.
pub const SUSPICION_DURATION: Duration = Duration::from_secs(600);
/// Contents that are remembered.
pub const MAX_CONTENTS: usize = 4_096;
/// Endpoints that are remembered for one content.
pub const MAX_BLAMES: usize = 4;
/// Endpoints that die together by another cause, such as a rack without power.
pub const MASS_DEATHS: usize = 3;
/// The time in which endpoints count as having died together.
pub const MASS_DEATH_WINDOW: Duration = Duration::from_secs(2);

/// Time since the Unix epoch, which daemons compare within their tolerance.
pub type WallTime = Duration;

value! {
    /// Something that daemons tell each other about a content.
    pub struct Event {
        /// Digest of the content.
        pub digest: id::Digest,
        /// The endpoint that died while it ran the content; none when it was answered whole.
        pub endpoint: Option<id::Endpoint>,
        /// When.
        pub at: WallTime,
    }

    /// How a content stands.
    pub enum Status {
        /// Nothing is held against it.
        Clear,
        /// It runs alone.
        Suspect,
        /// It is refused until then.
        Refused(WallTime),
    }
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// Endpoints that died, with the time of each.
    blames: IndexMap<id::Endpoint, WallTime>,
    cleared_at: WallTime,
}

impl Entry {
    fn last(&self) -> WallTime {
        self.blames
            .values()
            .copied()
            .max()
            .unwrap_or(self.cleared_at)
    }
}

/// When a content is refused, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Distinct endpoints that must die while they run it, at most [`BLAMES`].
    pub endpoints: usize,
    /// How long it is refused.
    pub refusal: Duration,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            endpoints: MIN_ENDPOINTS,
            refusal: REFUSAL_DURATION,
        }
    }
}

/// The blamed content that one daemon knows of.
#[derive(Debug, Default)]
pub struct Table {
    limit: Limit,
    entries: IndexMap<id::Digest, Entry>,
    /// Endpoints that died recently, whatever they ran.
    deaths: VecDeque<(id::Endpoint, WallTime)>,
}

impl Table {
    /// Changes when content is refused, also content that was blamed before.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// How long an event matters.
    fn retention(&self) -> Duration {
        SUSPICION_DURATION.max(self.limit.refusal)
    }

    /// Returns how many contents are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Says whether no content is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the digests that are remembered.
    pub fn digests(&self) -> impl Iterator<Item = &id::Digest> {
        self.entries.keys()
    }

    /// Says whether a content has blame that completing it would clear.
    pub fn is_blamed(&self, digest: &str) -> bool {
        self.entries
            .get(digest)
            .is_some_and(|e| !e.blames.is_empty())
    }

    /// Takes an event and says whether it was news; the order of events does not matter.
    pub fn apply(&mut self, event: &Event, now: WallTime) -> bool {
        if event.at + self.retention() < now {
            return false;
        }
        match &event.endpoint {
            Some(endpoint) => self.blame(&event.digest, endpoint, event.at, now),
            None => self.clear(&event.digest, event.at, now),
        }
    }

    fn blame(
        &mut self,
        digest: &id::Digest,
        endpoint: &id::Endpoint,
        at: WallTime,
        now: WallTime,
    ) -> bool {
        self.record_death(endpoint, at, now);
        let entry = self.entries.entry(digest.clone()).or_default();
        if at <= entry.cleared_at || entry.blames.contains_key(endpoint) {
            return false;
        }
        if entry.blames.len() == MAX_BLAMES {
            entry.blames.shift_remove_index(0);
        }
        entry.blames.insert(endpoint.clone(), at);
        self.evict(now);
        true
    }

    fn clear(&mut self, digest: &id::Digest, at: WallTime, now: WallTime) -> bool {
        let entry = self.entries.entry(digest.clone()).or_default();
        if at <= entry.cleared_at {
            return false;
        }
        entry.cleared_at = at;
        entry.blames.retain(|_, blamed| *blamed > at);
        self.evict(now);
        true
    }

    fn record_death(&mut self, endpoint: &id::Endpoint, at: WallTime, now: WallTime) {
        let span = self.retention();
        self.deaths.retain(|(_, died)| *died + span > now);
        if self.deaths.iter().any(|(known, _)| known == endpoint) {
            return;
        }
        if self.deaths.len() == MAX_CONTENTS {
            self.deaths.pop_front();
        }
        self.deaths.push_back((endpoint.clone(), at));
    }

    /// Forgets what is old, and above the bound the content that was blamed longest ago.
    fn evict(&mut self, now: WallTime) {
        if self.entries.len() <= MAX_CONTENTS {
            return;
        }
        let span = self.retention();
        self.entries.retain(|_, entry| entry.last() + span > now);
        while self.entries.len() > MAX_CONTENTS {
            let fewest = |e: &Entry| (e.blames.len(), e.last());
            let oldest = self.entries.values().enumerate();
            let Some((index, _)) = oldest.min_by_key(|(_, e)| fewest(e)) else {
                return;
            };
            self.entries.swap_remove_index(index);
        }
    }

    /// Says how a content stands.
    pub fn status(&self, digest: &str, now: WallTime) -> Status {
        let Some(entry) = self.entries.get(digest) else {
            return Status::Clear;
        };
        let span = self.retention();
        let recent = |at: WallTime| at + span > now;
        if !entry.blames.values().any(|at| recent(*at)) {
            return Status::Clear;
        }
        let mut counted: Vec<WallTime> = entry
            .blames
            .iter()
            .filter(|(_, at)| recent(**at) && !self.is_mass_death(entry, **at))
            .map(|(_, at)| *at)
            .collect();
        counted.sort();
        let needed = self.limit.endpoints + usize::from(self.shares_blames(digest, entry, now));
        match counted.last() {
            Some(last) if counted.len() >= needed => refused(*last + self.limit.refusal, now),
            _ => Status::Suspect,
        }
    }

    /// Says whether endpoints that did not run the content died at about the same time, so that
    /// this death has another cause.
    fn is_mass_death(&self, entry: &Entry, at: WallTime) -> bool {
        let others = self.deaths.iter().filter(|(endpoint, died)| {
            died.abs_diff(at) <= MASS_DEATH_WINDOW && !entry.blames.contains_key(endpoint)
        });
        others.count() >= MASS_DEATHS
    }

    /// Says whether another content lost the same endpoints and has not completed since; then
    /// one endpoint more must tell which of them is the cause.
    fn shares_blames(&self, digest: &str, entry: &Entry, now: WallTime) -> bool {
        let shared = |other: &Entry| {
            let blames = other.blames.iter();
            let common = blames
                .filter(|(e, at)| **at + SUSPICION_DURATION > now && entry.blames.contains_key(*e));
            common.count() >= MIN_ENDPOINTS
        };
        let mut others = self
            .entries
            .iter()
            .filter(|(other, _)| other.as_ref() != digest);
        entry.blames.len() == MIN_ENDPOINTS && others.any(|(_, other)| shared(other))
    }
}

/// A content whose refusal is over stays suspect, so that it runs alone.
fn refused(until: WallTime, now: WallTime) -> Status {
    if until > now {
        Status::Refused(until)
    } else {
        Status::Suspect
    }
}

#[cfg(test)]
mod tests;
