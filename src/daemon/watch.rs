//! Threads that watch the platform and the endpoints, and wake waiting stages.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::core::{Core, Peer};
use crate::platform::{Role, Roster, Vm};
use crate::policy::{Candidate, Observation};
use crate::{endpoint, id};

/// Time between two readings of the list of VMs, before jitter.
const LIST_EVERY: Duration = Duration::from_millis(500);
/// Engines whose load and cache events are read in one round.
const MAX_READINGS: usize = 64;
/// The longest time between two looks at waiting stages.
const WAKE_EVERY: Duration = Duration::from_millis(10);

/// The watching threads of one daemon.
pub struct Watch {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Watch {
    /// Starts the threads.
    pub fn start(core: &Arc<Core>, roster: Arc<dyn Roster>, seed: u64) -> std::io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let poller = Poller {
            core: core.clone(),
            roster,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequences: IndexMap::new(),
            next: 0,
        };
        let mut watch = Self {
            stop: stop.clone(),
            threads: Vec::new(),
        };
        watch.spawn("roster", move |stop| poller.run(stop))?;
        let core = core.clone();
        watch.spawn("waker", move |stop| wake(&core, stop))?;
        Ok(watch)
    }

    fn spawn(
        &mut self,
        name: &str,
        work: impl FnOnce(&AtomicBool) + Send + 'static,
    ) -> std::io::Result<()> {
        let stop = self.stop.clone();
        let thread = std::thread::Builder::new().name(name.to_owned());
        self.threads.push(thread.spawn(move || work(&stop))?);
        Ok(())
    }

    /// Ends the threads.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
    }
}

fn wake(core: &Core, stop: &AtomicBool) {
    while !stop.load(Ordering::Acquire) {
        core.gate.pass();
        let due = core.policy.lock().next_wake();
        let left = due.map(|at| at.saturating_sub(core.clock.now()));
        std::thread::sleep(
            left.unwrap_or(WAKE_EVERY)
                .clamp(Duration::from_millis(1), WAKE_EVERY),
        );
        core.wake_ready();
    }
}

struct Poller {
    core: Arc<Core>,
    roster: Arc<dyn Roster>,
    rng: ChaCha8Rng,
    /// The last cache event of each engine.
    sequences: IndexMap<id::Endpoint, u64>,
    /// The engine whose turn it is.
    next: usize,
}

impl Poller {
    fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Acquire) {
            self.core.gate.pass();
            // An old list is better than none: the platform may be down for long.
            if let Ok(vms) = self.roster.list() {
                let candidates = self.take(&vms);
                self.core.listed.store(true, Ordering::Release);
                self.read_engines(&candidates, stop);
            }
            self.core.archive.trim(self.core.clock.now());
            self.rest(stop);
        }
    }

    fn rest(&mut self, stop: &AtomicBool) {
        let mut left = LIST_EVERY.mul_f64(self.rng.random_range(0.8..1.2));
        while !left.is_zero() && !stop.load(Ordering::Acquire) {
            let nap = left.min(WAKE_EVERY);
            std::thread::sleep(nap);
            left -= nap;
        }
    }

    fn take(&mut self, vms: &[Vm]) -> Vec<Candidate> {
        let regions = &self.core.site.regions;
        let region = |zone: &id::Zone| regions.get(zone).cloned();
        let daemons = vms
            .iter()
            .filter(|vm| vm.role == Role::Daemon && !vm.leaving);
        let others = daemons.filter(|vm| vm.id != self.core.site.daemon);
        let peers = others.filter_map(|vm| {
            Some(Peer {
                address: vm.address.clone(),
                region: region(&vm.zone)?,
            })
        });
        *self.core.peers.lock() = peers.collect();
        let endpoints = vms.iter().filter(|vm| vm.role == Role::Endpoint);
        let candidates: Vec<Candidate> = endpoints
            .filter_map(|vm| {
                Some(Candidate {
                    endpoint: vm.id.clone(),
                    address: vm.address.clone(),
                    pool: vm.pool.clone()?,
                    zone: vm.zone.clone(),
                    region: region(&vm.zone)?,
                    leaving: vm.leaving,
                })
            })
            .collect();
        self.observe(&Observation::Candidates(candidates.clone()));
        let known = |endpoint: &id::Endpoint| candidates.iter().any(|c| c.endpoint == *endpoint);
        self.sequences.retain(|endpoint, _| known(endpoint));
        candidates
    }

    fn observe(&self, observation: &Observation) {
        let now = self.core.clock.now();
        self.core.policy.lock().observe(observation, now);
    }

    /// Reads load and cache events of some engines, in turn.
    fn read_engines(&mut self, candidates: &[Candidate], stop: &AtomicBool) {
        let engines: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| !c.leaving && self.core.generates(&c.pool))
            .collect();
        for _ in 0..engines.len().min(MAX_READINGS) {
            if stop.load(Ordering::Acquire) {
                return;
            }
            self.next = (self.next + 1) % engines.len();
            self.read(engines[self.next]);
        }
    }

    fn read(&mut self, candidate: &Candidate) {
        let engine = &self.core.engine;
        let Ok(load) = engine.load(&candidate.address) else {
            return;
        };
        let endpoint = candidate.endpoint.clone();
        self.observe(&Observation::Load { endpoint, load });
        let seen = self.sequences.get(&candidate.endpoint).copied();
        let events = engine.cache(&candidate.address, seen.unwrap_or(0));
        for cache in events.unwrap_or_default() {
            self.take_cache(&candidate.endpoint, cache);
        }
    }

    fn take_cache(&mut self, endpoint: &id::Endpoint, cache: endpoint::Cache) {
        self.sequences.insert(endpoint.clone(), cache.sequence);
        let endpoint = endpoint.clone();
        self.observe(&Observation::Cache { endpoint, cache });
    }
}
