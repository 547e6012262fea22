//! The table of endpoints that may be chosen; "local" is the zone or region of this daemon.

use indexmap::IndexMap;

use super::entry::Entry;
use super::zone::Load;
use crate::clock::Time;
use crate::policy::Candidate;
use crate::{endpoint, id};

/// The endpoints of one pool, as indices into the table, by distance.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// In the local availability zone.
    pub zone: Vec<usize>,
    /// In other availability zones of the local region.
    pub region: Vec<usize>,
    /// In other regions.
    pub far: Vec<usize>,
    /// Whether any of them reported versions, so that one without any lacks the model.
    pub(super) has_versions: bool,
    /// The median of their mean latencies in seconds.
    pub median: Option<f64>,
}

impl Members {
    /// Those of the local region.
    pub fn near(&self) -> impl Iterator<Item = usize> + '_ {
        self.zone.iter().chain(&self.region).copied()
    }

    /// All, nearest first.
    pub fn all(&self) -> impl Iterator<Item = usize> + '_ {
        self.near().chain(self.far.iter().copied())
    }

    /// How many endpoints get calls: those of the local region, else all.
    pub fn target_count(&self) -> usize {
        match self.zone.len() + self.region.len() {
            0 => self.far.len(),
            near => near,
        }
    }
}

/// All known endpoints.
#[derive(Debug)]
pub struct Table {
    pub(super) zone: id::Zone,
    pub(super) region: id::Region,
    /// Whether all regions count as the local one.
    pub(super) is_single_region: bool,
    entries: IndexMap<id::Endpoint, Entry>,
    pools: IndexMap<id::Pool, Members>,
}

impl Table {
    /// Makes an empty table of a daemon in `zone`; `is_single_region` makes all regions its own.
    pub fn new(zone: id::Zone, region: id::Region, is_single_region: bool) -> Self {
        Self {
            zone,
            region,
            is_single_region,
            entries: IndexMap::new(),
            pools: IndexMap::new(),
        }
    }

    /// Replaces the list of endpoints, keeping what was learnt of those that stay; returns those
    /// that are gone. A leaving endpoint stays leaving whatever a late list says.
    pub fn replace(&mut self, list: &[Candidate], now: Time) -> Vec<id::Endpoint> {
        let is_first = self.entries.is_empty();
        let mut old = std::mem::take(&mut self.entries);
        for candidate in list {
            let slow_start_since = (!is_first).then_some(now);
            let entry = match old.swap_remove(&candidate.endpoint) {
                Some(mut entry) => {
                    let leaving = entry.candidate.leaving || candidate.leaving;
                    entry.candidate = candidate.clone();
                    entry.candidate.leaving = leaving;
                    entry
                }
                None => Entry::new(candidate.clone(), slow_start_since),
            };
            self.entries.insert(candidate.endpoint.clone(), entry);
        }
        self.rebuild_pools();
        old.into_keys().collect()
    }

    fn rebuild_pools(&mut self) {
        let mut pools: IndexMap<id::Pool, Members> = IndexMap::new();
        for (index, entry) in self.entries.values().enumerate() {
            let candidate = &entry.candidate;
            let members = pools.entry(candidate.pool.clone()).or_default();
            members.has_versions |= entry.lacks_model() == Some(false);
            if candidate.zone == self.zone {
                members.zone.push(index);
            } else if self.is_single_region || candidate.region == self.region {
                members.region.push(index);
            } else {
                members.far.push(index);
            }
        }
        for (name, members) in &mut pools {
            members.median = self.pools.get(name).and_then(|m| m.median);
        }
        self.pools = pools;
    }

    /// The local region.
    pub fn region(&self) -> &id::Region {
        &self.region
    }

    /// The endpoints of a pool.
    pub fn members(&self, pool: &str) -> Option<&Members> {
        self.pools.get(pool)
    }

    /// The names of the pools.
    pub fn pools(&self) -> impl Iterator<Item = &id::Pool> {
        self.pools.keys()
    }

    /// An endpoint by its index.
    pub fn entry(&self, index: usize) -> Option<&Entry> {
        self.entries.get_index(index).map(|(_, e)| e)
    }

    /// An endpoint by its name.
    pub fn get(&self, endpoint: &str) -> Option<&Entry> {
        self.entries.get(endpoint)
    }

    /// An endpoint by its name, to be changed.
    pub fn get_mut(&mut self, endpoint: &str) -> Option<&mut Entry> {
        self.entries.get_mut(endpoint)
    }

    /// Stores a load report.
    pub fn report(&mut self, endpoint: &str, load: &endpoint::Load, now: Time) {
        let Some(entry) = self.entries.get_mut(endpoint) else {
            return;
        };
        entry.report(load, now);
        if !load.versions.is_empty()
            && let Some(members) = self.pools.get_mut(&entry.candidate.pool)
        {
            members.has_versions = true;
        }
    }

    /// Calls that wait, and that run or wait, at the median endpoint of a pool, by recent reports
    /// of those that this daemon calls. The median keeps one straggler from closing a pool.
    pub fn median_load(&self, pool: &str, now: Time) -> Option<(f64, f64)> {
        let members = self.pools.get(pool)?;
        let has_near = members.near().next().is_some();
        let mut reports: Vec<(f64, f64)> = members
            .all()
            .take(if has_near {
                members.target_count()
            } else {
                usize::MAX
            })
            .filter_map(|i| self.entry(i))
            .filter(|e| !e.breaker.is_ejected())
            .filter_map(|e| e.recent_report(now))
            .collect();
        reports.sort_by(|a, b| a.0.total_cmp(&b.0));
        reports.get(reports.len() / 2).copied()
    }

    /// Calls that wait at the median endpoint of other regions, by recent reports.
    pub fn far_median_waiting(&self, pool: &str, now: Time) -> Option<f64> {
        let far = self.pools.get(pool)?.far.iter();
        let mut waiting: Vec<f64> = far
            .filter_map(|i| self.entry(*i))
            .filter_map(|e| e.recent_report(now))
            .map(|(waiting, _)| waiting)
            .collect();
        waiting.sort_by(f64::total_cmp);
        waiting.get(waiting.len() / 2).copied()
    }

    /// Returns whether a pool has a usable endpoint in `region`, by default the local one.
    pub fn is_served(&self, pool: &str, region: Option<&id::Region>) -> bool {
        let Some(members) = self.pools.get(pool) else {
            return false;
        };
        let entries = members.all().filter_map(|i| self.entry(i));
        entries
            .filter(|e| !e.candidate.leaving && !e.breaker.is_ejected())
            .any(|e| match region {
                Some(region) => *region == e.candidate.region,
                None => self.is_single_region || e.candidate.region == self.region,
            })
    }

    /// Returns whether calls to an endpoint do not count against the limit: it is in another
    /// region, and the pool has endpoints in the local one.
    pub fn is_outside_limit(&self, candidate: &Candidate) -> bool {
        let is_far = !self.is_single_region && candidate.region != self.region;
        is_far
            && self
                .members(&candidate.pool)
                .is_some_and(|m| m.near().next().is_some())
    }

    /// Loads of the pools in the local availability zone.
    pub fn zone_loads(&self, now: Time) -> Vec<Load> {
        let pools = self.pools.iter().filter(|(_, m)| !m.zone.is_empty());
        pools
            .map(|(pool, members)| {
                let entries = members.zone.iter().filter_map(|i| self.entry(*i));
                let usable = entries
                    .filter(|e| !e.candidate.leaving && !e.breaker.is_ejected())
                    .count();
                Load {
                    zone: self.zone.clone(),
                    region: self.region.clone(),
                    pool: pool.clone(),
                    endpoints: u32::try_from(usable).unwrap_or(u32::MAX),
                    waiting: self
                        .median_load(pool, now)
                        .map_or(0.0, |(waiting, _)| waiting),
                }
            })
            .collect()
    }

    /// Recomputes the median of the mean latencies of a pool.
    pub fn update_median(&mut self, pool: &str) {
        let Some(members) = self.pools.get(pool) else {
            return;
        };
        let mut known: Vec<f64> = members
            .all()
            .filter_map(|i| self.entry(i))
            .filter(|e| !e.breaker.is_ejected())
            .filter_map(|e| e.latency.get())
            .collect();
        known.sort_by(f64::total_cmp);
        let median = known.get(known.len().saturating_sub(1) / 2).copied();
        if let Some(members) = self.pools.get_mut(pool) {
            members.median = median;
        }
    }

    /// Returns whether one more endpoint of a pool may be ejected when `share` of it may be.
    pub fn may_eject(&self, pool: &str, share: f64) -> bool {
        let Some(members) = self.pools.get(pool) else {
            return false;
        };
        let (mut staying, mut ejected) = (0usize, 0usize);
        for entry in members.all().filter_map(|i| self.entry(i)) {
            staying += usize::from(!entry.candidate.leaving);
            ejected += usize::from(!entry.candidate.leaving && entry.breaker.is_ejected());
        }
        let max_ejected = (staying as f64 * share) as usize;
        ejected < max_ejected
    }

    /// Readmits an endpoint of a pool that was ejected for being slow, so that a failing one can
    /// take its place, unless `share` allows no ejection at all; returns whether one was.
    pub fn readmit_slow(&mut self, pool: &str, share: f64) -> bool {
        let Some(members) = self.pools.get(pool) else {
            return false;
        };
        let staying = members.all().filter_map(|i| self.entry(i));
        let staying = staying.filter(|e| !e.candidate.leaving).count();
        if staying as f64 * share < 1.0 {
            return false;
        }
        let slow = members.all().find(|i| {
            self.entry(*i)
                .is_some_and(|e| e.is_slow && e.breaker.is_ejected() && !e.candidate.leaving)
        });
        let Some((_, entry)) = slow.and_then(|i| self.entries.get_index_mut(i)) else {
            return false;
        };
        entry.breaker.close();
        entry.is_slow = false;
        true
    }
}
