//! Load by availability zone and pool: what a daemon knows of endpoints outside its subset.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;

/// Age at which a load is no longer used.
pub const MAX_AGE: Duration = Duration::from_secs(5);

value! {
    /// The load of one pool in one availability zone, as a daemon there sees it.
    pub struct Load {
        /// The availability zone.
        pub zone: id::Zone,
        /// Its region.
        pub region: id::Region,
        /// The pool.
        pub pool: id::Pool,
        /// Endpoints that take calls.
        pub endpoints: u32,
        /// Calls that wait at the median endpoint.
        pub waiting: f64,
    }
}

/// The last load of each zone and pool.
#[derive(Debug, Default)]
pub struct Loads {
    by_pool: IndexMap<id::Pool, IndexMap<id::Zone, (Load, Time)>>,
}

impl Loads {
    /// Stores a load.
    pub fn learn(&mut self, load: &Load, now: Time) {
        let zones = self.by_pool.entry(load.pool.clone()).or_default();
        zones.insert(load.zone.clone(), (load.clone(), now));
    }

    /// The region outside `home` with the fewest waiting calls for a pool, by recent loads;
    /// `None` if each has at least `target`.
    pub fn least_loaded_region(
        &self,
        pool: &str,
        home: &id::Region,
        target: f64,
        now: Time,
    ) -> Option<&id::Region> {
        self.by_pool
            .get(pool)?
            .values()
            .filter(|(_, received)| now.saturating_sub(*received) < MAX_AGE)
            .map(|(load, _)| load)
            .filter(|d| d.region != *home && d.endpoints > 0 && d.waiting < target)
            .min_by(|a, b| a.waiting.total_cmp(&b.waiting))
            .map(|d| &d.region)
    }

    /// Returns whether a region serves a pool, by recent loads.
    pub fn serves(&self, pool: &str, region: &id::Region, now: Time) -> bool {
        self.by_pool.get(pool).is_some_and(|zones| {
            zones.values().any(|(load, received)| {
                let is_recent = now.saturating_sub(*received) < MAX_AGE;
                is_recent && load.region == *region && load.endpoints > 0
            })
        })
    }
}

#[cfg(test)]
mod tests;
