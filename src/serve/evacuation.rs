//! Availability zones that operators empty: endpoints there get nothing more until the record is removed.
//!
//! See [the design note](../../docs/design/evacuation.md).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use slog::{info, warn};

use super::Node;
use crate::clock::Time;
use crate::id;

/// How long a zone stays evacuated whose record the store lacks after it went back to a copy: operators
/// write again what the copy lacks, about as soon as endpoints do.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);

event! {
    /// A change of the evacuated zones.
    pub enum Change {
        /// The zone is to be emptied.
        Begun(id::Zone),
        /// The zone is in use again.
        Ended(id::Zone),
    }
}

/// The evacuated availability zones, as operators' records say.
#[derive(Default)]
pub struct Evacuation {
    /// The zones of the platform.
    zones: IndexSet<id::Zone>,
    /// The zones with a record. Those that the store lacks since it went back to a copy have a time at which
    /// they end.
    records: IndexMap<id::Zone, Option<Time>>,
    /// When each zone of the platform was last taken back.
    taken_back: IndexMap<id::Zone, Time>,
    /// Until this time records that a list lacks are kept.
    grace_until: Time,
}

impl Evacuation {
    /// Makes the state of a platform of these zones, none of them evacuated.
    pub fn new(zones: IndexSet<id::Zone>) -> Self {
        Self {
            zones,
            ..Self::default()
        }
    }

    /// Applies a later record; returns what it changes.
    pub fn apply(&mut self, change: Change, now: Time) -> Vec<Change> {
        match change {
            Change::Begun(zone) => self.begin(zone).into_iter().collect(),
            Change::Ended(zone) => self.end(zone, now).into_iter().collect(),
        }
    }

    fn begin(&mut self, zone: id::Zone) -> Option<Change> {
        let previous = self.records.insert(zone.clone(), None);
        previous.is_none().then_some(Change::Begun(zone))
    }

    fn end(&mut self, zone: id::Zone, now: Time) -> Option<Change> {
        self.records.shift_remove(&zone)?;
        if self.zones.contains(&zone) {
            self.taken_back.insert(zone.clone(), now);
        }
        Some(Change::Ended(zone))
    }

    /// Applies a list of all zones with a record; returns what it changes.
    pub fn replace(&mut self, listed: Vec<id::Zone>, now: Time) -> Vec<Change> {
        let missing = self.records.keys();
        let missing: Vec<id::Zone> = missing
            .filter(|zone| !listed.contains(zone))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for zone in missing {
            if now < self.grace_until {
                let end_due = self.records.entry(zone).or_default();
                end_due.get_or_insert(self.grace_until);
            } else {
                changes.extend(self.end(zone, now));
            }
        }
        changes.extend(listed.into_iter().filter_map(|zone| self.begin(zone)));
        changes
    }

    /// Records that the store went back to a copy: records that it lacks may be written again.
    pub fn log_went_back(&mut self, now: Time) {
        self.grace_until = self.grace_until.max(now + RETURN_GRACE);
        for end_due in self.records.values_mut().flatten() {
            *end_due = self.grace_until;
        }
    }

    /// Ends the evacuation of zones whose records did not come back in time; returns what it changes.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let records = self.records.iter();
        let due = records.filter(|(_, end_due)| end_due.is_some_and(|due| now >= due));
        let due: Vec<id::Zone> = due.map(|(zone, _)| zone.clone()).collect();
        due.into_iter()
            .filter_map(|zone| self.end(zone, now))
            .collect()
    }

    /// Returns the zones whose records the store has, also those that the platform does not have.
    pub fn recorded(&self) -> impl ExactSizeIterator<Item = &id::Zone> {
        let records = self.records.iter();
        let recorded = records.filter(|(_, end_due)| end_due.is_none());
        let recorded: Vec<&id::Zone> = recorded.map(|(zone, _)| zone).collect();
        recorded.into_iter()
    }

    /// Returns whether endpoints in a zone are to get nothing. A zone that the platform does not have is
    /// not evacuated: its record is a mistake, and says nothing of others.
    pub fn covers(&self, zone: &id::Zone) -> bool {
        // Usually there are no records.
        self.records.contains_key(zone) && self.is_known(zone)
    }

    /// Returns whether any zone of the platform is evacuated.
    pub fn covers_any(&self) -> bool {
        self.records.keys().any(|zone| self.is_known(zone))
    }

    fn is_known(&self, zone: &id::Zone) -> bool {
        self.zones.contains(zone)
    }

    /// Returns when a zone that is in use was taken back, if this daemon saw it evacuated.
    pub fn taken_back_at(&self, zone: &id::Zone) -> Option<Time> {
        let taken_back = self.taken_back.get(zone).copied();
        taken_back.filter(|_| !self.covers(zone))
    }
}

impl Node {
    /// Applies what was read of evacuations, and has the planners follow it at once.
    pub(super) fn update_evacuation(
        &self,
        update: impl FnOnce(&mut Evacuation, Time) -> Vec<Change>,
    ) {
        let now = self.clock.now();
        let changes = update(self.registry.borrow_mut().evacuation_mut(), now);
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            self.report(change);
        }
        self.sync();
    }

    fn report(&self, change: &Change) {
        let (Change::Begun(zone) | Change::Ended(zone)) = change;
        let registry = self.registry.borrow();
        if !registry.evacuation().is_known(zone) {
            self.meter.count("evacuation.unknown_zone");
            warn!(self.log, "record of an evacuation names no zone of the platform"; "zone" => &**zone);
            return;
        }
        let endpoints = registry.all().filter(|endpoint| endpoint.zone == *zone);
        let endpoints = endpoints.count();
        if matches!(change, Change::Begun(_)) {
            self.meter.count("evacuation.begun");
            warn!(self.log, "evacuation begun"; "zone" => &**zone, "endpoints" => endpoints);
        } else {
            self.meter.count("evacuation.ended");
            info!(self.log, "evacuation ended"; "zone" => &**zone, "endpoints" => endpoints);
        }
    }

    /// Returns the zones that operators' records name, for a daemon that reads no records itself.
    pub fn evacuated_zones(&self) -> Vec<id::Zone> {
        let registry = self.registry.borrow();
        registry.evacuation().recorded().cloned().collect()
    }

    /// Returns whether an endpoint is in an evacuated zone.
    pub(super) fn is_evacuated(&self, endpoint: &str) -> bool {
        self.registry.borrow().is_evacuated(endpoint)
    }
}

#[cfg(test)]
mod tests;
