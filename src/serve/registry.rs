//! What a daemon believes about the endpoints and daemons around it.
//!
//! Entries are kept through an outage of the platform's store and a while beyond it, because an
//! entry that lapsed meanwhile says nothing about its endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;

/// How long after an outage a missing entry may still come back; endpoints register about every
/// 1.2 s, and the operators state 2 s.
const RETURN_TIME: Duration = Duration::from_millis(2_200);
/// A gap between successful reads of the store that counts as an outage: a read waits a second for
/// a change, and may be answered as late again.
const OUTAGE_GAP: Duration = Duration::from_millis(3_500);
/// Removed endpoints that are remembered: some nights' worth of upgrades.
const MAX_REMOVED: usize = 8_192;

event! {
    /// An endpoint as it describes itself.
    pub struct Endpoint {
        /// The id, which no other process of an endpoint carries.
        pub id: id::Endpoint,
        /// The service.
        pub service: id::Pool,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: id::Zone,
        /// The requests that it runs together.
        pub slots: u32,
        /// Whether it is leaving.
        pub draining: bool,
        /// When it started, in milliseconds since the Unix epoch; a restart changes it.
        pub born: u64,
        /// The number of this entry since it started.
        pub seq: u64,
    }
}

event! {
    /// Another daemon.
    pub struct Peer {
        /// The name.
        pub name: id::Daemon,
        /// Where it listens for other daemons.
        pub address: SocketAddr,
        /// Its region.
        pub region: id::Region,
    }
}

event! {
    /// What was read of an endpoint's entry.
    pub enum Entry {
        /// The endpoint has registered, or has changed.
        Present(Endpoint),
        /// The entry was removed.
        Removed(id::Endpoint),
    }
}

impl Endpoint {
    /// Returns the age of the entry among all of its endpoint; a later one is higher.
    fn age(&self) -> (u64, u64) {
        (self.born, self.seq)
    }

    /// Returns whether two entries say the same, whenever they were written.
    fn says(&self, other: &Self) -> bool {
        let seq = other.seq;
        Self {
            seq,
            ..self.clone()
        } == *other
    }
}

/// An endpoint and the time at which its missing entry is taken to mean that it is gone.
struct Known {
    endpoint: Endpoint,
    doubted: Option<Time>,
}

/// The endpoints that may be sent to, as of the last read.
#[derive(Default)]
pub struct Registry {
    known: IndexMap<id::Endpoint, Known>,
    last_read: Option<Time>,
    /// Until this time missing entries are doubted, since they may have lapsed in an outage.
    doubt_until: Time,
    /// The last entry of each endpoint that was removed: an earlier one may still arrive.
    removed: IndexMap<id::Endpoint, (u64, u64)>,
}

impl Registry {
    /// The store was read successfully; a long gap since the last time was an outage.
    pub fn read_succeeded(&mut self, now: Time) {
        let gap = self.last_read.map(|last| now.saturating_sub(last));
        if gap.is_some_and(|gap| gap > OUTAGE_GAP) {
            self.doubt_until = now + RETURN_TIME;
        }
        self.last_read = Some(now);
    }

    /// A read of the store failed: what lapses from now on is doubted.
    pub fn read_failed(&mut self, now: Time) {
        self.doubt_until = self.doubt_until.max(now + RETURN_TIME);
    }

    /// Takes in an entry; false when it changes nothing.
    pub fn apply(&mut self, entry: Entry, now: Time) -> bool {
        match entry {
            Entry::Present(endpoint) => self.add(endpoint),
            Entry::Removed(id) => self.remove(&id, now),
        }
    }

    fn add(&mut self, endpoint: Endpoint) -> bool {
        let id = endpoint.id.clone();
        let known = Known {
            endpoint,
            doubted: None,
        };
        let Some(before) = self.known.get(&id) else {
            let last = self.removed.get(&id);
            if last.is_some_and(|last| *last >= known.endpoint.age()) {
                return false;
            }
            self.known.insert(id, known);
            return true;
        };
        if before.endpoint.age() > known.endpoint.age() {
            return false;
        }
        // The end of a doubt is news too: daemons that are not told of it would let the entry expire.
        let changed = before.doubted.is_some() || !before.endpoint.says(&known.endpoint);
        self.known.insert(id, known);
        changed
    }

    fn remove(&mut self, id: &id::Endpoint, now: Time) -> bool {
        let Some(known) = self.known.get_mut(id) else {
            return false;
        };
        if now < self.doubt_until && !known.endpoint.draining {
            let until = self.doubt_until;
            known.doubted.get_or_insert(until);
            return false;
        }
        self.forget(id);
        true
    }

    fn forget(&mut self, id: &id::Endpoint) {
        if let Some(known) = self.known.shift_remove(id) {
            if self.removed.len() >= MAX_REMOVED {
                self.removed.shift_remove_index(0);
            }
            self.removed.insert(id.clone(), known.endpoint.age());
        }
    }

    /// Replaces everything by a full listing: what it lacks is removed.
    pub fn replace(&mut self, entries: Vec<Endpoint>, now: Time) {
        let listed: indexmap::IndexSet<id::Endpoint> =
            entries.iter().map(|endpoint| endpoint.id.clone()).collect();
        let ids: Vec<id::Endpoint> = self.known.keys().cloned().collect();
        for id in ids.into_iter().filter(|id| !listed.contains(id)) {
            self.apply(Entry::Removed(id), now);
        }
        for endpoint in entries {
            self.apply(Entry::Present(endpoint), now);
        }
    }

    /// Removes what was doubted for long enough; returns the ids.
    pub fn expire(&mut self, now: Time) -> Vec<id::Endpoint> {
        let over = |known: &Known| known.doubted.is_some_and(|until| now >= until);
        let gone = self.known.iter().filter(|(_, known)| over(known));
        let gone: Vec<id::Endpoint> = gone.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.forget(id);
        }
        gone
    }

    /// Returns whether an endpoint is known to be leaving, or to be gone.
    pub fn is_leaving(&self, id: &str) -> bool {
        let known = self.known.get(id);
        known.map_or(self.removed.contains_key(id), |known| {
            known.endpoint.draining
        })
    }

    /// Returns all endpoints that may be sent to.
    pub fn available(&self) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.known.values().map(|known| &known.endpoint);
        endpoints.filter(|endpoint| !endpoint.draining)
    }
}

#[cfg(test)]
mod tests;
