//! The endpoints that may get calls, from the platform's list and the reports of daemons.
//!
//! See [the design note](../../docs/design/membership.md).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::{EndpointReport, Evidence};
use crate::clock::Time;
use crate::policy::Candidate;
use crate::{id, platform};

/// How long a report of leaving holds unless the platform's list confirms it.
pub const LEAVING_TTL: Duration = Duration::from_secs(120);
/// How long a report of failed connections holds.
pub const UNREACHABLE_TTL: Duration = Duration::from_secs(10);
/// How long a report of draining holds unless its controller repeats it.
pub const DRAINING_TTL: Duration = Duration::from_secs(180);
/// Reporters of failed connections after which an endpoint gets no new calls.
pub const MIN_REPORTERS: usize = 2;
/// Failed connections in a row after which a daemon reports an endpoint.
pub const FAILURES_PER_REPORT: u32 = 3;
/// How long an endpoint is kept after its first listing, though no longer listed.
const MIN_RETENTION: Duration = Duration::from_secs(300);

/// The region of each availability zone.
pub type Regions = IndexMap<id::Zone, id::Region>;

#[derive(Clone, Debug)]
struct Entry {
    vm: platform::Vm,
    listed: Option<Time>,
    first_listed: Time,
    leaving: Option<(Time, EndpointReport)>,
    draining: Option<(Time, EndpointReport)>,
    reporters: IndexMap<id::Daemon, Time>,
    consecutive_failures: u32,
}

/// The effect of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The endpoint was not newly excluded.
    Unchanged,
    /// The endpoint gets no new calls from now on.
    Excluded,
}

/// The endpoints, by the ids of their VMs.
#[derive(Clone, Debug, Default)]
pub struct List {
    regions: Regions,
    entries: IndexMap<id::Endpoint, Entry>,
    early_reports: IndexMap<id::Endpoint, (Time, EndpointReport)>,
    updated: Option<Time>,
}

impl List {
    /// Makes an empty list.
    pub fn new(regions: Regions) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// Applies the platform's list.
    pub fn update_roster(&mut self, list: &[platform::Vm], now: Time) {
        self.updated = Some(now);
        for entry in self.entries.values_mut() {
            entry.listed = None;
        }
        for vm in list.iter().filter(|vm| vm.role == platform::Role::Endpoint) {
            let early_report = self.early_reports.shift_remove(&vm.id);
            let entry = self.entries.entry(vm.id.clone()).or_insert_with(|| Entry {
                vm: vm.clone(),
                listed: None,
                first_listed: now,
                leaving: early_report,
                draining: None,
                reporters: IndexMap::new(),
                consecutive_failures: 0,
            });
            entry.vm = vm.clone();
            entry.listed = Some(now);
        }
        self.entries.retain(|_, e| {
            e.listed.is_some() || now.saturating_sub(e.first_listed) < MIN_RETENTION
        });
        self.early_reports
            .retain(|_, (at, _)| now.saturating_sub(*at) < LEAVING_TTL);
    }

    /// Applies a report of this daemon or another.
    pub fn apply_report(&mut self, report: &EndpointReport, now: Time) -> Effect {
        let Some(entry) = self.entries.get_mut(&report.endpoint) else {
            // The report came before the list: it holds as soon as the endpoint is listed.
            if report.evidence == Evidence::Leaving {
                self.early_reports
                    .insert(report.endpoint.clone(), (now, report.clone()));
            }
            return Effect::Unchanged;
        };
        let was_excluded = entry.is_excluded(now);
        match report.evidence {
            Evidence::Leaving => entry.leaving = Some((now, report.clone())),
            Evidence::Draining => entry.draining = Some((now, report.clone())),
            Evidence::Returned => entry.draining = None,
            Evidence::Unreachable => {
                entry.reporters.insert(report.reporter.clone(), now);
            }
        }
        if entry.is_excluded(now) && !was_excluded {
            Effect::Excluded
        } else {
            Effect::Unchanged
        }
    }

    /// Records a connection of this daemon; returns whether to report the endpoint.
    pub fn record_connection(&mut self, endpoint: &str, is_connected: bool) -> bool {
        let Some(entry) = self.entries.get_mut(endpoint) else {
            return false;
        };
        entry.consecutive_failures = if is_connected {
            0
        } else {
            entry.consecutive_failures + 1
        };
        entry.consecutive_failures > 0
            && entry
                .consecutive_failures
                .is_multiple_of(FAILURES_PER_REPORT)
    }

    /// The endpoints on the list; those that get no new calls are marked as leaving.
    pub fn candidates(&self, now: Time) -> Vec<Candidate> {
        let replaced = self.replaced();
        let listed = self.entries.values().filter(|e| e.listed.is_some());
        listed
            .filter_map(|e| {
                Some(Candidate {
                    endpoint: e.vm.id.clone(),
                    address: e.vm.address.clone(),
                    pool: e.vm.pool.clone()?,
                    zone: e.vm.zone.clone(),
                    region: self.region(&e.vm.zone),
                    leaving: e.is_excluded(now) || replaced.contains(&e.vm.id),
                })
            })
            .collect()
    }

    /// The id of the endpoint at an address, the newest if there are several.
    pub fn find_by_address(&self, address: &str) -> Option<id::Endpoint> {
        self.entries
            .values()
            .filter(|e| e.vm.address == address)
            .max_by_key(|e| e.first_listed)
            .map(|e| e.vm.id.clone())
    }

    /// The endpoints that leave by the platform's list and that no daemon has reported yet.
    pub fn unreported(&self, now: Time) -> Vec<id::Endpoint> {
        let is_reported = |e: &Entry| {
            let leaving = e.leaving.as_ref();
            leaving.is_some_and(|(at, _)| now.saturating_sub(*at) < LEAVING_TTL)
        };
        let leaving = self.entries.values().filter(|e| e.vm.leaving);
        let unreported = leaving.filter(|e| !is_reported(e));
        unreported.map(|e| e.vm.id.clone()).collect()
    }

    /// The endpoints that a controller took out of service.
    pub fn draining(&self, now: Time) -> IndexSet<id::Endpoint> {
        let is_draining = |e: &&Entry| {
            let draining = e.draining.as_ref();
            draining.is_some_and(|(at, _)| now.saturating_sub(*at) < DRAINING_TTL)
        };
        let draining = self.entries.values().filter(is_draining);
        draining.map(|e| e.vm.id.clone()).collect()
    }

    /// The reports that still hold, for a daemon that joins.
    pub fn active_reports(&self, now: Time) -> Vec<EndpointReport> {
        let is_active = |dated: &&(Time, EndpointReport), ttl| now.saturating_sub(dated.0) < ttl;
        let reports = self.entries.values().flat_map(|e| {
            let leaving = e
                .leaving
                .as_ref()
                .filter(|dated| is_active(dated, LEAVING_TTL));
            let draining = e
                .draining
                .as_ref()
                .filter(|dated| is_active(dated, DRAINING_TTL));
            leaving.into_iter().chain(draining)
        });
        reports.map(|(_, report)| report.clone()).collect()
    }

    /// When the platform's list was last read.
    pub fn updated(&self) -> Option<Time> {
        self.updated
    }

    fn region(&self, zone: &id::Zone) -> id::Region {
        self.regions
            .get(zone)
            .cloned()
            .unwrap_or_else(|| zone.clone())
    }

    /// Endpoints whose address now belongs to a newer VM.
    fn replaced(&self) -> IndexSet<id::Endpoint> {
        let mut newest: IndexMap<&str, &Entry> = IndexMap::new();
        let mut replaced = IndexSet::new();
        for entry in self.entries.values().filter(|e| e.listed.is_some()) {
            let Some(other) = newest.insert(&entry.vm.address, entry) else {
                continue;
            };
            let older = if other.first_listed <= entry.first_listed {
                other
            } else {
                newest.insert(&entry.vm.address, other);
                entry
            };
            replaced.insert(older.vm.id.clone());
        }
        replaced
    }
}

impl Entry {
    fn is_excluded(&self, now: Time) -> bool {
        let is_active = |at: Time, ttl: Duration| now.saturating_sub(at) < ttl;
        let reporters = self
            .reporters
            .values()
            .filter(|at| is_active(**at, UNREACHABLE_TTL));
        self.vm.leaving
            || self
                .leaving
                .as_ref()
                .is_some_and(|(at, _)| is_active(*at, LEAVING_TTL))
            || self
                .draining
                .as_ref()
                .is_some_and(|(at, _)| is_active(*at, DRAINING_TTL))
            || reporters.count() >= MIN_REPORTERS
    }
}
