//! Threads that poll the list of VMs and the engines, and wake waiting stages.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sha2::{Digest, Sha256};

use super::core::{Core, Peer};
use super::subset::Subset;
use crate::id;
use crate::platform::{Role, Roster, Vm};
use crate::policy::{Candidate, Observation};

/// Interval between reads of the list of VMs, before jitter.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reads, each of one engine's load and cache events.
///
/// It bounds the control traffic of a daemon where there are thousands of engines.
const READ_INTERVAL: Duration = Duration::from_millis(125);
/// Daemons of each region through which its endpoints are called.
const RELAYS_PER_REGION: usize = 3;
/// Maximum interval between checks of waiting stages.
const MAX_WAKE_INTERVAL: Duration = Duration::from_millis(10);

/// The polling threads of one daemon.
pub struct Watch {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Watch {
    /// Starts the threads.
    pub fn start(core: &Arc<Core>, roster: Arc<dyn Roster>, seed: u64) -> std::io::Result<Self> {
        let engines = Arc::new(Mutex::new(Vec::new()));
        let poller = Poller {
            core: core.clone(),
            roster,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: engines.clone(),
            subset: Subset::new(core.site.daemon.clone(), core.site.zone.clone()),
        };
        let reader = Reader {
            core: core.clone(),
            engines,
            sequences: IndexMap::new(),
            index: 0,
        };
        let mut watch = Self {
            stop: Arc::default(),
            threads: Vec::new(),
        };
        watch.spawn("roster", move |stop| poller.run(stop))?;
        watch.spawn("engines", move |stop| reader.run(stop))?;
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

    /// Stops and joins the threads.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
    }
}

fn wake(core: &Core, stop: &AtomicBool) {
    while !stop.load(Ordering::Acquire) {
        core.gate.wait();
        let due = core.policy.lock().next_wake();
        let remaining = due.map(|at| at.saturating_sub(core.clock.now()));
        std::thread::sleep(
            remaining
                .unwrap_or(MAX_WAKE_INTERVAL)
                .clamp(Duration::from_millis(1), MAX_WAKE_INTERVAL),
        );
        core.wake_ready();
    }
}

/// Sleeps in short steps, so that a stop takes effect soon.
fn sleep(length: Duration, stop: &AtomicBool) {
    let mut remaining = length;
    while !remaining.is_zero() && !stop.load(Ordering::Acquire) {
        let step = remaining.min(MAX_WAKE_INTERVAL);
        std::thread::sleep(step);
        remaining -= step;
    }
}

/// Polls the list of VMs; nothing slow may delay it, because it shows which are leaving.
struct Poller {
    core: Arc<Core>,
    roster: Arc<dyn Roster>,
    rng: ChaCha8Rng,
    /// The engines whose load is read.
    engines: Arc<Mutex<Vec<Candidate>>>,
    subset: Subset,
}

impl Poller {
    fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Acquire) {
            self.core.gate.wait();
            // An old list stays in use: the platform may be down for long.
            if let Ok(vms) = self.roster.list() {
                self.apply(&vms);
                // A stale list may be empty at first; without endpoints no request can be served.
                if vms.iter().any(|vm| vm.role == Role::Endpoint) {
                    self.core.has_endpoints.store(true, Ordering::Release);
                }
            }
            self.core.transcripts.trim(self.core.clock.now());
            sleep(LIST_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2)), stop);
        }
    }

    fn apply(&mut self, vms: &[Vm]) {
        *self.core.peers.lock() = self.peers(vms);
        let all = self.candidates(vms);
        let candidates = self.subset.select(vms, all);
        let is_local_engine = |c: &&Candidate| {
            !c.leaving && c.region == self.core.site.region && self.core.generates(&c.pool)
        };
        *self.engines.lock() = candidates.iter().filter(is_local_engine).cloned().collect();
        observe(&self.core, &Observation::Candidates(candidates));
    }

    fn region(&self, zone: &id::Zone) -> Option<id::Region> {
        self.core.site.regions.get(zone).cloned()
    }

    fn peers(&self, vms: &[Vm]) -> Vec<Peer> {
        let daemons = vms
            .iter()
            .filter(|vm| vm.role == Role::Daemon && !vm.leaving);
        let others = daemons.filter(|vm| vm.id != self.core.site.daemon);
        let peers = others.filter_map(|vm| {
            Some(Peer {
                address: vm.address.clone(),
                region: self.region(&vm.zone)?,
            })
        });
        relays(&self.core.site.daemon, peers.collect())
    }

    fn candidates(&self, vms: &[Vm]) -> Vec<Candidate> {
        let endpoints = vms.iter().filter(|vm| vm.role == Role::Endpoint);
        let candidates = endpoints.filter_map(|vm| {
            Some(Candidate {
                endpoint: vm.id.clone(),
                address: vm.address.clone(),
                pool: vm.pool.clone()?,
                zone: vm.zone.clone(),
                region: self.region(&vm.zone)?,
                leaving: vm.leaving,
            })
        });
        candidates.collect()
    }
}

/// Selects a few daemons of each region, by rendezvous hashing.
///
/// Each connection for stages holds a compression window; hundreds of daemons that are all
/// connected to each other would hold hundreds each.
pub(super) fn relays(daemon: &str, mut peers: Vec<Peer>) -> Vec<Peer> {
    peers.sort_by_cached_key(|peer| (peer.region.clone(), weight(daemon, &peer.address)));
    let mut selected: Vec<Peer> = Vec::new();
    for peer in peers {
        let last = selected
            .len()
            .checked_sub(RELAYS_PER_REGION)
            .map(|at| &selected[at]);
        if last.is_none_or(|last| last.region != peer.region) {
            selected.push(peer);
        }
    }
    selected
}

fn weight(daemon: &str, address: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(daemon);
    hash.update([0]);
    hash.update(address);
    hash.finalize().into()
}

fn observe(core: &Core, observation: &Observation) {
    let now = core.clock.now();
    core.policy.lock().observe(observation, now);
}

/// Reads load and cache events of the region's engines, one engine after another.
struct Reader {
    core: Arc<Core>,
    engines: Arc<Mutex<Vec<Candidate>>>,
    /// The sequence number of the last cache event of each engine.
    sequences: IndexMap<id::Endpoint, u64>,
    /// Index of the engine that was read last.
    index: usize,
}

impl Reader {
    fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Acquire) {
            self.core.gate.wait();
            if let Some(engine) = self.next_engine() {
                self.read(&engine);
            }
            sleep(READ_INTERVAL, stop);
        }
    }

    fn next_engine(&mut self) -> Option<Candidate> {
        let engines = self.engines.lock();
        self.index = (self.index + 1) % engines.len().max(1);
        if self.index == 0 {
            let known = |endpoint: &id::Endpoint| engines.iter().any(|c| c.endpoint == *endpoint);
            self.sequences.retain(|endpoint, _| known(endpoint));
        }
        engines.get(self.index).cloned()
    }

    fn read(&mut self, engine: &Candidate) {
        let client = &self.core.engine;
        let Ok(load) = client.load(&engine.address) else {
            return;
        };
        let endpoint = engine.endpoint.clone();
        observe(&self.core, &Observation::Load { endpoint, load });
        let seen = self.sequences.get(&engine.endpoint).copied();
        let events = client.cache_events(&engine.address, seen.unwrap_or(0));
        for cache in events.unwrap_or_default() {
            self.sequences
                .insert(engine.endpoint.clone(), cache.sequence);
            let endpoint = engine.endpoint.clone();
            observe(&self.core, &Observation::Cache { endpoint, cache });
        }
    }
}
