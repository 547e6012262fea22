//! The endpoints that a daemon knows, as they register in the platform's store.
//!
//! Entries are kept during an outage of the store and for a while after it, because an entry that
//! expired meanwhile says nothing about its endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::evacuation::Evacuation;
use crate::clock::Time;
use crate::id;

/// How long after an outage a missing entry may come back: endpoints register about every 1.2 s, and
/// the operators state 2 s.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);
/// A longer gap between successful reads of the store is an outage: a read waits a second for a
/// change, and its answer may take as long again.
const OUTAGE_GAP: Duration = Duration::from_millis(3_500);
/// The most removed endpoints that are remembered: those of a few nights of upgrades.
const MAX_REMOVED: usize = 8_192;

event! {
    /// An endpoint as it describes itself.
    pub struct Endpoint {
        /// The id, which no other process of an endpoint has.
        pub id: id::Endpoint,
        /// The service.
        pub service: id::Pool,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: id::Zone,
        /// The version of its software.
        pub release: id::Release,
        /// Requests that it runs concurrently.
        pub slots: u32,
        /// Whether it is draining.
        pub draining: bool,
        /// How long it is still cold, as of the time at which it wrote the entry; zero when it is warm.
        pub cold_remaining: Duration,
        /// When it started, in milliseconds since the Unix epoch; a restart changes it.
        pub born: u64,
        /// The sequence number of this entry since the start.
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
    /// A change of an endpoint's entry in the store.
    pub enum Entry {
        /// The endpoint has registered, or has changed.
        Present(Endpoint),
        /// The entry was removed.
        Removed(id::Endpoint),
    }
}

impl Endpoint {
    /// Returns the version of the entry; a later one of the same endpoint is higher.
    fn version(&self) -> (u64, u64) {
        (self.born, self.seq)
    }

    /// Returns whether two entries differ in nothing but their sequence numbers.
    fn has_same_content(&self, other: &Self) -> bool {
        let seq = other.seq;
        Self {
            seq,
            ..self.clone()
        } == *other
    }
}

/// An endpoint and, when its entry is missing after an outage, the time at which it is removed.
struct KnownEndpoint {
    endpoint: Endpoint,
    removal_due: Option<Time>,
}

/// The endpoints that are registered, as of the last read.
#[derive(Default)]
pub struct Registry {
    endpoints: IndexMap<id::Endpoint, KnownEndpoint>,
    evacuation: Evacuation,
    last_read: Option<Time>,
    /// Until this time missing entries are kept, since they may have expired in an outage.
    grace_until: Time,
    /// The version of each removed endpoint, to ignore older entries that arrive later.
    removed: IndexMap<id::Endpoint, (u64, u64)>,
}

impl Registry {
    /// Makes the registry of a platform of these availability zones, without endpoints.
    pub fn new(zones: IndexSet<id::Zone>) -> Self {
        Self {
            evacuation: Evacuation::new(zones),
            ..Self::default()
        }
    }

    /// Returns which zones are evacuated.
    pub fn evacuation(&self) -> &Evacuation {
        &self.evacuation
    }

    /// Returns which zones are evacuated, to change that.
    pub fn evacuation_mut(&mut self) -> &mut Evacuation {
        &mut self.evacuation
    }

    /// Returns whether an endpoint is in an evacuated zone, or may be, since it is not listed: planners of
    /// earlier releases grant new endpoints in all zones.
    pub fn is_evacuated(&self, id: &str) -> bool {
        let covers = |endpoint: &Endpoint| self.evacuation.covers(&endpoint.zone);
        self.evacuation.covers_any() && self.get(id).is_none_or(covers)
    }

    /// Returns when a zone that is in use was taken back, if this daemon saw it evacuated.
    pub fn taken_back_at(&self, zone: &id::Zone) -> Option<Time> {
        self.evacuation.taken_back_at(zone)
    }

    /// Records a successful read of the store; a long gap since the last one was an outage.
    pub fn read_succeeded(&mut self, now: Time) {
        let gap = self.last_read.map(|last| now.saturating_sub(last));
        if gap.is_some_and(|gap| gap > OUTAGE_GAP) {
            self.grace_until = now + RETURN_GRACE;
        }
        self.last_read = Some(now);
    }

    /// Records a failed read of the store, after which missing entries are kept for a while.
    pub fn read_failed(&mut self, now: Time) {
        self.grace_until = self.grace_until.max(now + RETURN_GRACE);
    }

    /// Records that the store went back to a copy: entries that it lacks may be written again.
    pub fn log_went_back(&mut self, now: Time) {
        self.grace_until = self.grace_until.max(now + RETURN_GRACE);
        self.evacuation.log_went_back(now);
    }

    /// Applies a change of an entry; returns whether it changes what is known.
    pub fn apply(&mut self, entry: Entry, now: Time) -> bool {
        match entry {
            Entry::Present(endpoint) => self.add(endpoint),
            Entry::Removed(id) => self.remove(&id, now),
        }
    }

    fn add(&mut self, endpoint: Endpoint) -> bool {
        let id = endpoint.id.clone();
        let new = KnownEndpoint {
            endpoint,
            removal_due: None,
        };
        let Some(current) = self.endpoints.get(&id) else {
            let removed_version = self.removed.get(&id);
            if removed_version.is_some_and(|version| *version >= new.endpoint.version()) {
                return false;
            }
            self.endpoints.insert(id, new);
            return true;
        };
        if current.endpoint.version() > new.endpoint.version() {
            return false;
        }
        // The return of a missing entry is a change too: a daemon that misses it removes the endpoint.
        // So is an entry that says again that its endpoint is cold: it is believed for a time from now.
        let changed = current.removal_due.is_some()
            || !new.endpoint.cold_remaining.is_zero()
            || !current.endpoint.has_same_content(&new.endpoint);
        self.endpoints.insert(id, new);
        changed
    }

    fn remove(&mut self, id: &id::Endpoint, now: Time) -> bool {
        let Some(known) = self.endpoints.get_mut(id) else {
            return false;
        };
        if now < self.grace_until && !known.endpoint.draining {
            let until = self.grace_until;
            known.removal_due.get_or_insert(until);
            return false;
        }
        self.forget(id);
        true
    }

    fn forget(&mut self, id: &id::Endpoint) {
        if let Some(known) = self.endpoints.shift_remove(id) {
            if self.removed.len() >= MAX_REMOVED {
                self.removed.shift_remove_index(0);
            }
            self.removed.insert(id.clone(), known.endpoint.version());
        }
    }

    /// Applies a full listing; endpoints that it lacks are removed.
    pub fn replace(&mut self, entries: Vec<Endpoint>, now: Time) {
        let listed: IndexSet<id::Endpoint> =
            entries.iter().map(|endpoint| endpoint.id.clone()).collect();
        let ids: Vec<id::Endpoint> = self.endpoints.keys().cloned().collect();
        for id in ids.into_iter().filter(|id| !listed.contains(id)) {
            self.apply(Entry::Removed(id), now);
        }
        for endpoint in entries {
            self.apply(Entry::Present(endpoint), now);
        }
    }

    /// Removes endpoints whose entries did not come back in time; returns their ids.
    pub fn expire(&mut self, now: Time) -> Vec<id::Endpoint> {
        let is_due = |known: &KnownEndpoint| known.removal_due.is_some_and(|until| now >= until);
        let expired = self.endpoints.iter().filter(|(_, known)| is_due(known));
        let expired: Vec<id::Endpoint> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.forget(id);
        }
        expired
    }

    /// Returns an endpoint, also one that is draining.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id).map(|known| &known.endpoint)
    }

    /// Returns whether an endpoint is draining or was removed.
    pub fn is_leaving(&self, id: &str) -> bool {
        let known = self.endpoints.get(id);
        known.map_or(self.removed.contains_key(id), |known| {
            known.endpoint.draining
        })
    }

    /// Returns all endpoints, also those that are draining.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().map(|known| &known.endpoint)
    }

    /// Returns the endpoints that tell whether a VM's link works: those in use, or all if there are none.
    pub fn targets(&self) -> impl Iterator<Item = &Endpoint> {
        let is_used = |endpoint: &Endpoint| !self.evacuation.covers(&endpoint.zone);
        let has_used = self.all().any(is_used);
        self.all()
            .filter(move |endpoint| !has_used || is_used(endpoint))
    }

    /// Returns all endpoints that are not draining, also those in evacuated zones.
    pub fn available(&self) -> impl Iterator<Item = &Endpoint> {
        self.all().filter(|endpoint| !endpoint.draining)
    }
}

#[cfg(test)]
mod tests;
