//! Threads that watch the platform and the endpoints, and wake waiting stages.

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
use super::known::Known;
use crate::id;
use crate::platform::{Role, Roster, Vm};
use crate::policy::{Candidate, Observation};

/// Time between two readings of the list of VMs, before jitter.
const LIST_EVERY: Duration = Duration::from_millis(500);
/// Time between two readings of an engine's load and cache events.
///
/// It bounds what a daemon sends and receives for control where there are thousands of engines.
const READ_EVERY: Duration = Duration::from_millis(125);
/// Daemons of each region through which its endpoints are called.
const RELAYS: usize = 3;
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
        let engines = Arc::new(Mutex::new(Vec::new()));
        let poller = Poller {
            core: core.clone(),
            roster,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: engines.clone(),
            known: Known::new(core.site.daemon.clone(), core.site.zone.clone()),
        };
        let reader = Reader {
            core: core.clone(),
            engines,
            sequences: IndexMap::new(),
            next: 0,
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

/// Sleeps in short naps, so that a stop is heard.
fn rest(length: Duration, stop: &AtomicBool) {
    let mut left = length;
    while !left.is_zero() && !stop.load(Ordering::Acquire) {
        let nap = left.min(WAKE_EVERY);
        std::thread::sleep(nap);
        left -= nap;
    }
}

/// Reads the list of VMs; nothing slow may hold it, because it says who is leaving.
struct Poller {
    core: Arc<Core>,
    roster: Arc<dyn Roster>,
    rng: ChaCha8Rng,
    /// The engines whose load is read.
    engines: Arc<Mutex<Vec<Candidate>>>,
    known: Known,
}

impl Poller {
    fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Acquire) {
            self.core.gate.pass();
            // An old list is better than none: the platform may be down for long.
            if let Ok(vms) = self.roster.list() {
                self.take(&vms);
                // A list that lags may be empty at first; a daemon without endpoints serves nobody.
                if vms.iter().any(|vm| vm.role == Role::Endpoint) {
                    self.core.listed.store(true, Ordering::Release);
                }
            }
            self.core.transcripts.trim(self.core.clock.now());
            rest(LIST_EVERY.mul_f64(self.rng.random_range(0.8..1.2)), stop);
        }
    }

    fn take(&mut self, vms: &[Vm]) {
        *self.core.peers.lock() = self.peers(vms);
        let all = self.candidates(vms);
        let candidates = self.known.cut(vms, all);
        let near = |c: &&Candidate| {
            !c.leaving && c.region == self.core.site.region && self.core.generates(&c.pool)
        };
        *self.engines.lock() = candidates.iter().filter(near).cloned().collect();
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

/// Keeps a few daemons of each region, by rendezvous hashing.
///
/// Each connection for stages holds the window of its compression; a fleet of hundreds of daemons
/// that all know each other would hold hundreds of them.
pub(super) fn relays(daemon: &str, mut peers: Vec<Peer>) -> Vec<Peer> {
    peers.sort_by_cached_key(|peer| (peer.region.clone(), weight(daemon, &peer.address)));
    let mut kept: Vec<Peer> = Vec::new();
    for peer in peers {
        let last = kept.len().checked_sub(RELAYS).map(|at| &kept[at]);
        if last.is_none_or(|last| last.region != peer.region) {
            kept.push(peer);
        }
    }
    kept
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

/// Reads load and cache events of the region's engines, in turn.
struct Reader {
    core: Arc<Core>,
    engines: Arc<Mutex<Vec<Candidate>>>,
    /// The last cache event of each engine.
    sequences: IndexMap<id::Endpoint, u64>,
    /// The engine whose turn it is.
    next: usize,
}

impl Reader {
    fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Acquire) {
            self.core.gate.pass();
            if let Some(engine) = self.turn() {
                self.read(&engine);
            }
            rest(READ_EVERY, stop);
        }
    }

    fn turn(&mut self) -> Option<Candidate> {
        let engines = self.engines.lock();
        self.next = (self.next + 1) % engines.len().max(1);
        if self.next == 0 {
            let known = |endpoint: &id::Endpoint| engines.iter().any(|c| c.endpoint == *endpoint);
            self.sequences.retain(|endpoint, _| known(endpoint));
        }
        engines.get(self.next).cloned()
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
