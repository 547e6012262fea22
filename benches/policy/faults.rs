//! What happens around the driver's requests: reports, lists of endpoints and faults.

use cyclamenrill::policy::{Candidate, Observation};
use cyclamenrill::{endpoint, id};
use rand::RngExt;

use super::super::scenario::Fault;
use super::super::server::{Health, Server};
use super::{Driver, REPORT, ROSTER, Step, TICK};

impl Driver<'_> {
    pub(super) fn tick(&mut self) {
        for daemon in 0..self.policies.len() {
            self.drain(daemon);
        }
        self.push(self.now + TICK, Step::Tick);
    }

    pub(super) fn report(&mut self) {
        let (lag, loss) = self.scenario.cache_events();
        let mut loads = Vec::new();
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            if server.health == Health::Dead {
                continue;
            }
            loads.push((server.name.clone(), server.load()));
            let (name, cache) = (server.name.clone(), server.cache_event());
            if let Some(cache) = cache
                && self.rng.random_range(0.0..1.0) >= loss
            {
                self.push(self.now + lag, Step::Cached(name, cache));
            }
        }
        self.push(self.now + REPORT.1, Step::Reported(loads));
        self.push(self.now + REPORT.0, Step::Report);
    }

    pub(super) fn reported(&mut self, list: &[(id::Endpoint, endpoint::Load)]) {
        for (endpoint, load) in list {
            let report = Observation::Load {
                endpoint: endpoint.clone(),
                load: load.clone(),
            };
            for policy in &mut self.policies {
                policy.observe(&report, self.now);
            }
        }
    }

    pub(super) fn send_roster(&mut self) {
        let zones = self.deployment.zones;
        let list = self
            .servers
            .iter()
            .filter(|s| s.left_at.is_none())
            .map(|s| Candidate {
                endpoint: s.name.clone(),
                address: format!("{}:1", s.name),
                pool: self.deployment.pools[s.pool].name.into(),
                zone: zones[s.zone].0.into(),
                region: zones[s.zone].1.into(),
                leaving: false,
            })
            .collect();
        self.observe_all(&Observation::Candidates(list));
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Straggler(factor) => self.each_pool(|s| s.slowness = factor, |_| 1, 0),
            Fault::Failing => {
                let tenth = |count: usize| count.div_ceil(10);
                self.each_pool(|s| s.health = Health::Failing, tenth, 1);
            }
            Fault::Die => {
                let one = |count| usize::from(count >= 5);
                self.each_pool(|s| s.health = Health::Dead, one, 2);
            }
            Fault::Heal => {
                for server in &mut self.servers {
                    server.slowness = 1.0;
                    server.health = Health::Well;
                }
            }
            Fault::Halve => self.halve(),
            Fault::Join => self.join(),
            Fault::Link(factor) => {
                for wire in &mut self.wires {
                    wire.rate *= factor;
                }
            }
            Fault::Store(is_up) => {
                self.is_store_up = is_up;
                self.outcome.store_down(self.now, is_up);
            }
        }
    }

    /// Changes the first servers of each pool, beginning with the one at `from`.
    pub(super) fn each_pool(
        &mut self,
        change: impl Fn(&mut Server),
        count: impl Fn(usize) -> usize,
        from: usize,
    ) {
        for (index, pool) in self.deployment.pools.iter().enumerate() {
            let servers = self.servers.iter_mut().filter(|s| s.pool == index);
            for server in servers.skip(from).take(count(pool.count)) {
                change(server);
            }
        }
    }

    pub(super) fn halve(&mut self) {
        for index in 0..self.servers.len() {
            if index % 2 == 0 {
                self.servers[index].health = Health::Leaving;
                self.servers[index].left_at = Some(self.now);
                let name = self.servers[index].name.clone();
                self.push(self.now + ROSTER, Step::LeavingSeen(name));
            }
        }
    }

    pub(super) fn join(&mut self) {
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            if server.left_at.is_some() {
                let (name, pool, zone) = (format!("{}-new", server.name), server.pool, server.zone);
                self.add_server(&name, pool, zone);
            }
        }
        self.push(self.now + ROSTER, Step::Roster);
    }
}
