//! The table of blamed content. It does no I/O and is given the time.
//!
//! Content is identified by its digest, because the request id changes with each resend. See
//! [the design note](../../docs/design/quarantine.md).

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::id;

/// Default number of distinct endpoints that a refused content has crashed.
pub const MIN_ENDPOINTS: usize = 2;
/// Default duration of a refusal, from the latest of those crashes.
pub const REFUSAL_DURATION: Duration = Duration::from_secs(600);
/// How long a content stays suspect after a crash.
pub const SUSPICION_DURATION: Duration = Duration::from_secs(600);
/// Maximum number of contents, and of recent crashes.
pub const MAX_CONTENTS: usize = 4_096;
/// Maximum number of endpoints per content.
pub const MAX_BLAMES: usize = 4;
/// Number of other endpoints whose crashes at the same time show another cause, such as a rack
/// without power.
pub const MASS_CRASHES: usize = 3;
/// Time difference up to which endpoints count as crashing together.
pub const MASS_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// Time since the Unix epoch, which daemons compare within a tolerance.
pub type WallTime = Duration;

value! {
    /// An event about a content, shared between daemons.
    pub struct Event {
        /// Digest of the content.
        pub digest: id::Digest,
        /// Endpoint that crashed while it ran the content; none when the content completed.
        pub endpoint: Option<id::Endpoint>,
        /// Time of the event.
        pub at: WallTime,
    }

    /// Quarantine status of a content.
    pub enum Status {
        /// The content is not blamed for a crash.
        Clear,
        /// The content runs alone.
        Suspect,
        /// The content is refused until this time.
        Refused(WallTime),
    }
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// Endpoints that crashed, with the time of each.
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
    /// Distinct endpoints that it must crash, at most [`MAX_BLAMES`].
    pub endpoints: usize,
    /// Duration of the refusal.
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

/// Blamed content known to one daemon.
#[derive(Debug, Default)]
pub struct Table {
    limit: Limit,
    entries: IndexMap<id::Digest, Entry>,
    /// Endpoints that crashed recently, whatever content they ran.
    crashes: VecDeque<(id::Endpoint, WallTime)>,
}

impl Table {
    /// Sets the limit for refusals, also of content blamed before.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Returns how long events are relevant.
    fn retention(&self) -> Duration {
        SUSPICION_DURATION.max(self.limit.refusal)
    }

    /// Returns the number of contents.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the digests of the contents.
    pub fn digests(&self) -> impl Iterator<Item = &id::Digest> {
        self.entries.keys()
    }

    /// Returns whether a content has blames, which its completion would clear.
    pub fn is_blamed(&self, digest: &str) -> bool {
        self.entries
            .get(digest)
            .is_some_and(|e| !e.blames.is_empty())
    }

    /// Applies an event and returns whether it was new; the order of events does not matter.
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
        self.record_crash(endpoint, at, now);
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
        entry.blames.retain(|_, blamed_at| *blamed_at > at);
        self.evict(now);
        true
    }

    fn record_crash(&mut self, endpoint: &id::Endpoint, at: WallTime, now: WallTime) {
        let retention = self.retention();
        self.crashes
            .retain(|(_, crashed_at)| *crashed_at + retention > now);
        if self.crashes.iter().any(|(known, _)| known == endpoint) {
            return;
        }
        if self.crashes.len() == MAX_CONTENTS {
            self.crashes.pop_front();
        }
        self.crashes.push_back((endpoint.clone(), at));
    }

    /// Above the limit, drops outdated contents and then those with the fewest and oldest blames.
    fn evict(&mut self, now: WallTime) {
        if self.entries.len() <= MAX_CONTENTS {
            return;
        }
        let retention = self.retention();
        self.entries
            .retain(|_, entry| entry.last() + retention > now);
        while self.entries.len() > MAX_CONTENTS {
            let rank = |e: &Entry| (e.blames.len(), e.last());
            let entries = self.entries.values().enumerate();
            let Some((index, _)) = entries.min_by_key(|(_, e)| rank(e)) else {
                return;
            };
            self.entries.swap_remove_index(index);
        }
    }

    /// Returns the status of a content.
    pub fn status(&self, digest: &str, now: WallTime) -> Status {
        let Some(entry) = self.entries.get(digest) else {
            return Status::Clear;
        };
        let retention = self.retention();
        let recent = |at: WallTime| at + retention > now;
        if !entry.blames.values().any(|at| recent(*at)) {
            return Status::Clear;
        }
        let mut counted: Vec<WallTime> = entry
            .blames
            .iter()
            .filter(|(_, at)| recent(**at) && !self.is_mass_crash(entry, **at))
            .map(|(_, at)| *at)
            .collect();
        counted.sort();
        let needed = self.limit.endpoints + usize::from(self.shares_blames(digest, entry, now));
        match counted.last() {
            Some(last) if counted.len() >= needed => refused(*last + self.limit.refusal, now),
            _ => Status::Suspect,
        }
    }

    /// Returns whether endpoints that did not run the content crashed at about the same time, so
    /// that this crash has another cause.
    fn is_mass_crash(&self, entry: &Entry, at: WallTime) -> bool {
        let others = self.crashes.iter().filter(|(endpoint, crashed_at)| {
            crashed_at.abs_diff(at) <= MASS_CRASH_WINDOW && !entry.blames.contains_key(endpoint)
        });
        others.count() >= MASS_CRASHES
    }

    /// Returns whether another content is blamed for the same crashes and has not completed since;
    /// then one more crash must show which of them is the cause.
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
