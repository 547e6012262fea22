//! Digests of load by availability zone and pool: what a daemon knows of endpoints that are not
//! in its subset.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;

/// Age at which a digest is no longer believed.
pub const STALE: Duration = Duration::from_secs(5);

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

/// The last digest of each zone and pool.
#[derive(Debug, Default)]
pub struct Board {
    seen: IndexMap<id::Pool, IndexMap<id::Zone, (Load, Time)>>,
}

impl Board {
    /// Learns a digest.
    pub fn learn(&mut self, digest: &Load, now: Time) {
        let zones = self.seen.entry(digest.pool.clone()).or_default();
        zones.insert(digest.zone.clone(), (digest.clone(), now));
    }

    /// The region outside `home` with the shortest queue for a pool, by fresh digests; none when
    /// each has at least `target` calls waiting.
    pub fn region(
        &self,
        pool: &str,
        home: &id::Region,
        target: f64,
        now: Time,
    ) -> Option<&id::Region> {
        self.seen
            .get(pool)?
            .values()
            .filter(|(_, at)| now.saturating_sub(*at) < STALE)
            .map(|(digest, _)| digest)
            .filter(|d| d.region != *home && d.endpoints > 0 && d.waiting < target)
            .min_by(|a, b| a.waiting.total_cmp(&b.waiting))
            .map(|d| &d.region)
    }

    /// Whether a region serves a pool, by fresh digests.
    pub fn serves(&self, pool: &str, region: &id::Region, now: Time) -> bool {
        self.seen.get(pool).is_some_and(|zones| {
            zones.values().any(|(digest, at)| {
                let is_fresh = now.saturating_sub(*at) < STALE;
                is_fresh && digest.region == *region && digest.endpoints > 0
            })
        })
    }
}

#[cfg(test)]
mod tests;
