//! The endpoints that a daemon calls itself: all of a small fleet, a bounded subset of a large one.
//!
//! Other endpoints are reached through daemons of other zones, chosen by their zone loads.
//! See [the design note](../../docs/design/policy.md).

use indexmap::{IndexMap, IndexSet};

use crate::id;
use crate::platform::{Role, Vm};
use crate::policy::Candidate;
use crate::route::subset::subset;

/// Maximum number of endpoints of a pool in the daemon's own availability zone.
pub const MAX_LOCAL: usize = 48;
/// Maximum number of endpoints of a pool in each other availability zone.
pub const MAX_REMOTE: usize = 12;

/// Selects the endpoints that one daemon calls.
pub struct Subset {
    me: id::Daemon,
    zone: id::Zone,
    /// Daemons of the zone at the last selection.
    daemons: Vec<id::Daemon>,
    /// Endpoints at the last selection.
    groups: IndexMap<(id::Zone, id::Pool), Vec<id::Endpoint>>,
    selected: IndexSet<id::Endpoint>,
}

impl Subset {
    /// Creates an empty selection.
    pub fn new(me: id::Daemon, zone: id::Zone) -> Self {
        Self {
            me,
            zone,
            daemons: Vec::new(),
            groups: IndexMap::new(),
            selected: IndexSet::new(),
        }
    }

    /// Returns the selected candidates.
    ///
    /// The selection changes only with the daemons of the zone or the endpoints.
    pub fn select(&mut self, vms: &[Vm], candidates: Vec<Candidate>) -> Vec<Candidate> {
        let daemons = self.daemons(vms);
        let groups = by_zone_and_pool(&candidates);
        if daemons != self.daemons || groups != self.groups {
            self.selected = self.compute(&daemons, &groups);
            self.daemons = daemons;
            self.groups = groups;
        }
        let is_selected = |c: &Candidate| self.selected.contains(&c.endpoint);
        candidates.into_iter().filter(is_selected).collect()
    }

    /// Returns the daemons of this zone, in the same order at each of them.
    fn daemons(&self, vms: &[Vm]) -> Vec<id::Daemon> {
        let is_local = |vm: &&Vm| vm.role == Role::Daemon && vm.zone == self.zone && !vm.leaving;
        let mut daemons: Vec<id::Daemon> = vms
            .iter()
            .filter(is_local)
            .map(|vm| vm.id.clone())
            .collect();
        if !daemons.contains(&self.me) {
            daemons.push(self.me.clone());
        }
        daemons.sort();
        daemons
    }

    fn compute(
        &self,
        daemons: &[id::Daemon],
        groups: &IndexMap<(id::Zone, id::Pool), Vec<id::Endpoint>>,
    ) -> IndexSet<id::Endpoint> {
        let selected = groups.iter().flat_map(|((zone, _), endpoints)| {
            let max = if *zone == self.zone {
                MAX_LOCAL
            } else {
                MAX_REMOTE
            };
            subset(&self.me, daemons, endpoints, max)
        });
        selected.collect()
    }
}

fn by_zone_and_pool(candidates: &[Candidate]) -> IndexMap<(id::Zone, id::Pool), Vec<id::Endpoint>> {
    let mut groups: IndexMap<_, Vec<id::Endpoint>> = IndexMap::new();
    for candidate in candidates {
        let key = (candidate.zone.clone(), candidate.pool.clone());
        groups
            .entry(key)
            .or_default()
            .push(candidate.endpoint.clone());
    }
    groups
}

#[cfg(test)]
mod tests;
