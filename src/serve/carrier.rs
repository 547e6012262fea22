//! The other VMs that pass connections on to endpoints for this one, and which of them is asked next. It does
//! no I/O and is given the time.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;

use super::residency::Residency;
use crate::clock::Time;
use crate::id;

/// How long a daemon that could not pass a connection on is not asked, the first time.
const BASE_BACKOFF: Duration = Duration::from_millis(500);
/// How often that time doubles at most.
const MAX_DOUBLINGS: u32 = 3;

event! {
    /// A daemon that passes connections on.
    pub struct Carrier {
        /// The name of its VM.
        pub name: id::Daemon,
        /// Where it listens for connections to pass on.
        pub address: SocketAddr,
        /// Its region.
        pub region: id::Region,
        /// Its CPU quota, in thousandths of a core.
        pub cpu_millicores: u32,
    }
}

struct Known {
    carrier: Carrier,
    failures: u32,
    blocked_until: Time,
}

impl Known {
    fn weight(&self) -> u32 {
        self.carrier.cpu_millicores.max(1)
    }
}

/// The daemons that pass connections on.
pub struct Carriers {
    region: id::Region,
    known: IndexMap<id::Daemon, Known>,
}

impl Carriers {
    /// Makes the list of a daemon in a region, which asks others of its region first: the link between
    /// regions is billed.
    pub fn new(region: id::Region) -> Self {
        Self {
            region,
            known: IndexMap::new(),
        }
    }

    /// Records a daemon, or removes one that has left for good.
    pub fn apply(&mut self, name: &id::Daemon, carrier: Option<Carrier>) {
        match carrier {
            Some(carrier) => {
                let known = self.known.get(name);
                if known.is_none_or(|known| known.carrier != carrier) {
                    let known = Known {
                        carrier,
                        failures: 0,
                        blocked_until: Time::ZERO,
                    };
                    self.known.insert(name.clone(), known);
                }
            }
            None => {
                self.known.swap_remove(name);
            }
        }
    }

    /// Chooses a daemon that was not asked yet, in proportion to its CPU quota, in a region in which the request
    /// may be: it reads what it passes on. This daemon's region is only the client's while the load balancer
    /// has daemons there, so it doesn't count by itself.
    pub fn choose(
        &self,
        asked: &[id::Daemon],
        residency: &Residency,
        now: Time,
    ) -> Option<Carrier> {
        let known = self.known.values();
        let open = known.filter(|known| {
            now >= known.blocked_until
                && !asked.contains(&known.carrier.name)
                && residency.allows(&known.carrier.region)
        });
        let (near, far): (Vec<&Known>, Vec<&Known>) =
            open.partition(|known| known.carrier.region == self.region);
        let candidates = if near.is_empty() { far } else { near };
        let total: u32 = candidates.iter().map(|known| known.weight()).sum();
        let mut share = rand::rng().random_range(0..total.max(1));
        let chosen = candidates.into_iter().find(|known| {
            let is_chosen = share < known.weight();
            share = share.saturating_sub(known.weight());
            is_chosen
        });
        chosen.map(|known| known.carrier.clone())
    }

    /// Records that a daemon passes connections on.
    pub fn succeeded(&mut self, name: &id::Daemon) {
        if let Some(known) = self.known.get_mut(name) {
            known.failures = 0;
        }
    }

    /// Records that a daemon could not be reached, or reaches no endpoint either.
    pub fn failed(&mut self, name: &id::Daemon, now: Time) {
        if let Some(known) = self.known.get_mut(name) {
            let doublings = known.failures.min(MAX_DOUBLINGS);
            known.blocked_until = now + BASE_BACKOFF * (1 << doublings);
            known.failures += 1;
        }
    }
}

#[cfg(test)]
mod tests;
