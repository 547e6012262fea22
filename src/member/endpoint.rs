//! The endpoints that may be chosen, from the platform's list and from what daemons report.
//!
//! See [the design note](../../docs/design/membership.md).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::{EndpointReport, Evidence};
use crate::clock::Time;
use crate::policy::Candidate;
use crate::{id, platform};

/// How long a leaving mark holds while the platform's list does not confirm it.
pub const LEAVING: Duration = Duration::from_secs(120);
/// How long a report of failed connections holds.
pub const UNREACHABLE: Duration = Duration::from_secs(10);
/// How long a draining mark holds unless its controller repeats it.
pub const DRAINING: Duration = Duration::from_secs(180);
/// Reporters of failed connections after which an endpoint gets nothing new.
pub const REPORTERS: usize = 2;
/// Failed connections in a row after which a daemon reports an endpoint.
pub const FAILURES: u32 = 3;
/// How long an endpoint that left the list is remembered.
const FORGET: Duration = Duration::from_secs(300);

/// The region of each availability zone.
pub type Regions = IndexMap<id::Zone, id::Region>;

#[derive(Clone, Debug)]
struct Entry {
    vm: platform::Vm,
    listed: Option<Time>,
    first: Time,
    leaving: Option<(Time, EndpointReport)>,
    draining: Option<(Time, EndpointReport)>,
    reporters: IndexMap<id::Daemon, Time>,
    failures: u32,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The candidates are as before.
    Unchanged,
    /// The endpoint gets nothing new from now on.
    Excluded,
}

/// The endpoints, by the ids of their VMs.
#[derive(Clone, Debug, Default)]
pub struct List {
    regions: Regions,
    entries: IndexMap<id::Endpoint, Entry>,
    early: IndexMap<id::Endpoint, (Time, EndpointReport)>,
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

    /// Takes in the platform's list.
    pub fn update_roster(&mut self, list: &[platform::Vm], now: Time) {
        self.updated = Some(now);
        for entry in self.entries.values_mut() {
            entry.listed = None;
        }
        for vm in list.iter().filter(|vm| vm.role == platform::Role::Endpoint) {
            let early = self.early.shift_remove(&vm.id);
            let entry = self.entries.entry(vm.id.clone()).or_insert_with(|| Entry {
                vm: vm.clone(),
                listed: None,
                first: now,
                leaving: early,
                draining: None,
                reporters: IndexMap::new(),
                failures: 0,
            });
            entry.vm = vm.clone();
            entry.listed = Some(now);
        }
        self.entries
            .retain(|_, e| e.listed.is_some() || now.saturating_sub(e.first) < FORGET);
        self.early
            .retain(|_, (at, _)| now.saturating_sub(*at) < LEAVING);
    }

    /// Takes in a report, of this daemon or another.
    pub fn apply_report(&mut self, mark: &EndpointReport, now: Time) -> Effect {
        let Some(entry) = self.entries.get_mut(&mark.endpoint) else {
            // The report came before the list: it holds as soon as the endpoint is listed.
            if mark.evidence == Evidence::Leaving {
                self.early
                    .insert(mark.endpoint.clone(), (now, mark.clone()));
            }
            return Effect::Unchanged;
        };
        let before = entry.is_stopped(now);
        match mark.evidence {
            Evidence::Leaving => entry.leaving = Some((now, mark.clone())),
            Evidence::Draining => entry.draining = Some((now, mark.clone())),
            Evidence::Returned => entry.draining = None,
            Evidence::Unreachable => {
                entry.reporters.insert(mark.reporter.clone(), now);
            }
        }
        if entry.is_stopped(now) && !before {
            Effect::Excluded
        } else {
            Effect::Unchanged
        }
    }

    /// Counts a connection of this daemon; true when the endpoint is to be reported.
    pub fn record_connection(&mut self, endpoint: &str, is_made: bool) -> bool {
        let Some(entry) = self.entries.get_mut(endpoint) else {
            return false;
        };
        entry.failures = if is_made { 0 } else { entry.failures + 1 };
        entry.failures > 0 && entry.failures.is_multiple_of(FAILURES)
    }

    /// The endpoints on the list, with those that get nothing new marked.
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
                    leaving: e.is_stopped(now) || replaced.contains(&e.vm.id),
                })
            })
            .collect()
    }

    /// The id of the endpoint at an address: the one that was listed last.
    pub fn at(&self, address: &str) -> Option<id::Endpoint> {
        self.entries
            .values()
            .filter(|e| e.vm.address == address)
            .max_by_key(|e| e.first)
            .map(|e| e.vm.id.clone())
    }

    /// The endpoints that leave by the platform's list, and that no daemon has reported yet.
    pub fn unreported(&self, now: Time) -> Vec<id::Endpoint> {
        let is_reported = |e: &Entry| {
            let leaving = e.leaving.as_ref();
            leaving.is_some_and(|(at, _)| now.saturating_sub(*at) < LEAVING)
        };
        let leaving = self.entries.values().filter(|e| e.vm.leaving);
        let news = leaving.filter(|e| !is_reported(e));
        news.map(|e| e.vm.id.clone()).collect()
    }

    /// The endpoints that a controller took out of service.
    pub fn draining(&self, now: Time) -> IndexSet<id::Endpoint> {
        let is_draining = |e: &&Entry| {
            let draining = e.draining.as_ref();
            draining.is_some_and(|(at, _)| now.saturating_sub(*at) < DRAINING)
        };
        let draining = self.entries.values().filter(is_draining);
        draining.map(|e| e.vm.id.clone()).collect()
    }

    /// The reports that hold, for a daemon that joins.
    pub fn active_reports(&self, now: Time) -> Vec<EndpointReport> {
        let holds = |held: &&(Time, EndpointReport), time| now.saturating_sub(held.0) < time;
        let marks = self.entries.values().flat_map(|e| {
            let leaving = e.leaving.as_ref().filter(|held| holds(held, LEAVING));
            let draining = e.draining.as_ref().filter(|held| holds(held, DRAINING));
            leaving.into_iter().chain(draining)
        });
        marks.map(|(_, mark)| mark.clone()).collect()
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

    /// Endpoints whose address a newer VM has.
    fn replaced(&self) -> IndexSet<id::Endpoint> {
        let mut newest: IndexMap<&str, &Entry> = IndexMap::new();
        let mut replaced = IndexSet::new();
        for entry in self.entries.values().filter(|e| e.listed.is_some()) {
            let Some(other) = newest.insert(&entry.vm.address, entry) else {
                continue;
            };
            let older = if other.first <= entry.first {
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
    fn is_stopped(&self, now: Time) -> bool {
        let holds = |at: Time, time: Duration| now.saturating_sub(at) < time;
        let reporters = self
            .reporters
            .values()
            .filter(|at| holds(**at, UNREACHABLE));
        self.vm.leaving
            || self
                .leaving
                .as_ref()
                .is_some_and(|(at, _)| holds(*at, LEAVING))
            || self
                .draining
                .as_ref()
                .is_some_and(|(at, _)| holds(*at, DRAINING))
            || reporters.count() >= REPORTERS
    }
}
