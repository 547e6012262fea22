//! Which endpoints a daemon knows: all of a small fleet, and a bounded part of a large one.
//!
//! What is not known is reached through daemons of other zones, by their zone loads.
//! See [the design note](../../docs/design/policy.md).

use indexmap::{IndexMap, IndexSet};

use crate::id;
use crate::platform::{Role, Vm};
use crate::policy::Candidate;
use crate::route::subset::subset;

/// Endpoints of a pool that are known in the daemon's own availability zone.
pub const NEAR: usize = 48;
/// Endpoints of a pool that are known in each other availability zone.
pub const FAR: usize = 12;

/// Keeps the part of the list that one daemon knows.
pub struct Known {
    me: id::Daemon,
    zone: id::Zone,
    /// What the part was computed from.
    daemons: Vec<id::Daemon>,
    groups: IndexMap<(id::Zone, id::Pool), Vec<id::Endpoint>>,
    kept: IndexSet<id::Endpoint>,
}

impl Known {
    /// Knows nothing yet.
    pub fn new(me: id::Daemon, zone: id::Zone) -> Self {
        Self {
            me,
            zone,
            daemons: Vec::new(),
            groups: IndexMap::new(),
            kept: IndexSet::new(),
        }
    }

    /// Returns the candidates that this daemon knows; the choice is made again only when the
    /// daemons of its zone or the endpoints changed.
    pub fn cut(&mut self, vms: &[Vm], candidates: Vec<Candidate>) -> Vec<Candidate> {
        let daemons = self.daemons(vms);
        let groups = group(&candidates);
        if daemons != self.daemons || groups != self.groups {
            self.kept = self.choose(&daemons, &groups);
            self.daemons = daemons;
            self.groups = groups;
        }
        let is_kept = |c: &Candidate| self.kept.contains(&c.endpoint);
        candidates.into_iter().filter(is_kept).collect()
    }

    /// Returns the daemons of this zone, in an order that all of them share.
    fn daemons(&self, vms: &[Vm]) -> Vec<id::Daemon> {
        let here = |vm: &&Vm| vm.role == Role::Daemon && vm.zone == self.zone && !vm.leaving;
        let mut daemons: Vec<id::Daemon> =
            vms.iter().filter(here).map(|vm| vm.id.clone()).collect();
        if !daemons.contains(&self.me) {
            daemons.push(self.me.clone());
        }
        daemons.sort();
        daemons
    }

    fn choose(
        &self,
        daemons: &[id::Daemon],
        groups: &IndexMap<(id::Zone, id::Pool), Vec<id::Endpoint>>,
    ) -> IndexSet<id::Endpoint> {
        let parts = groups.iter().flat_map(|((zone, _), endpoints)| {
            let most = if *zone == self.zone { NEAR } else { FAR };
            subset(&self.me, daemons, endpoints, most)
        });
        parts.collect()
    }
}

fn group(candidates: &[Candidate]) -> IndexMap<(id::Zone, id::Pool), Vec<id::Endpoint>> {
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
