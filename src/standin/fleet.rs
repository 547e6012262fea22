//! All stand-ins of a deployment: the platform and every endpoint, with their faults.

use std::io;
use std::net::IpAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployment::{self, Deployment};
use super::fault::{Fault, Kind};
use super::node::{Commons, Node};
use super::platform::Platform;
use super::profile::Profile;
use super::store::Store;
use crate::platform::{Role, Vm};
use crate::settings::Pool;

/// How many times slower a straggler is.
const STRAGGLER: f64 = 20.0;
/// How long each call to a slow log takes.
const LOG_SLOW: Duration = Duration::from_millis(700);
/// Share of the appends whose answer is lost during a fault.
const LOST_ANSWERS: f64 = 0.5;
/// How long a leaving endpoint serves before it is gone.
const LEAVING: Duration = Duration::from_secs(5);
/// How often a crashed endpoint is looked for.
const WATCH: Duration = Duration::from_millis(100);

/// A place in the fleet, which one VM after the other fills.
struct Place {
    name: String,
    pool: Pool,
    zone: String,
    profile: Profile,
    generation: u32,
    node: Option<Arc<Node>>,
}

impl Place {
    /// The id of the VM that fills the place now; a replacement is a new endpoint.
    fn id(&self) -> String {
        match self.generation {
            0 => self.name.clone(),
            n => format!("{}.{n}", self.name),
        }
    }

    fn vm(&self, address: String) -> Vm {
        Vm {
            id: self.id().into(),
            role: Role::Endpoint,
            address,
            zone: self.zone.as_str().into(),
            pool: Some(self.pool.name.as_str().into()),
            leaving: false,
        }
    }

    fn is_at(&self, address: &str) -> bool {
        let node = self.node.as_ref();
        node.is_some_and(|n| n.address().to_string() == address)
    }

    fn is_target(&self, target: &str) -> bool {
        self.id() == target || self.name == target || self.pool.name == target
    }
}

/// The stand-ins of a deployment.
pub struct Fleet {
    /// The platform's services.
    pub platform: Platform,
    commons: Commons,
    host: IpAddr,
    regions: IndexMap<String, String>,
    places: Mutex<Vec<Place>>,
    rng: Mutex<ChaCha8Rng>,
}

impl Fleet {
    /// Starts the endpoints of a deployment, each on a free port of `host`.
    pub fn start(deployment: &Deployment, host: IpAddr, seed: u64) -> io::Result<Arc<Self>> {
        let commons = Commons {
            store: Arc::new(Store::new(deployment.manifests())),
            ..Commons::default()
        };
        let fleet = Arc::new(Self {
            platform: Platform::new(&commons.clock, commons.store.clone(), seed),
            commons,
            host,
            regions: regions(deployment),
            places: Mutex::new(places(deployment, seed)),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        });
        fleet.fill_all()?;
        let watched = Arc::downgrade(&fleet);
        thread::Builder::new()
            .name("watch endpoints".into())
            .spawn(move || {
                while let Some(fleet) = watched.upgrade() {
                    fleet.bury();
                    drop(fleet);
                    thread::sleep(WATCH);
                }
            })?;
        Ok(fleet)
    }

    /// Returns what the endpoints share: journal, store and clock.
    pub fn commons(&self) -> &Commons {
        &self.commons
    }

    /// Returns the ids of the endpoints of a pool that are alive.
    pub fn endpoints(&self, pool: &str) -> Vec<String> {
        let places = self.places.lock();
        let alive = places.iter().filter(|p| p.pool.name == pool);
        alive.filter(|p| p.node.is_some()).map(Place::id).collect()
    }

    /// Returns the region of the endpoint at an address; none if there is none.
    pub fn region_of(&self, address: &str) -> Option<String> {
        let places = self.places.lock();
        let place = places.iter().find(|p| p.is_at(address))?;
        self.regions.get(&place.zone).cloned()
    }

    fn fill_all(&self) -> io::Result<()> {
        let mut places = self.places.lock();
        let mut vms = Vec::new();
        for place in places.iter_mut() {
            vms.push(self.fill(place, &format!("{}:0", self.host))?);
        }
        self.platform.roster.change(|list| list.extend(vms));
        self.platform.roster.skip_lag();
        Ok(())
    }

    fn fill(&self, place: &mut Place, listen: &str) -> io::Result<Vm> {
        let node = Node::start(
            listen,
            &place.id(),
            place.profile.clone(),
            deployment::versions(&place.pool),
            self.commons.clone(),
        )?;
        let vm = place.vm(node.address().to_string());
        place.node = Some(Arc::new(node));
        Ok(vm)
    }

    /// Takes crashed endpoints off the list and replaces those that no fault holds down.
    fn bury(self: &Arc<Self>) {
        let mut places = self.places.lock();
        for place in places.iter_mut() {
            if place.node.as_ref().is_some_and(|n| n.is_dead()) {
                self.replace_later(place, super::fault::DEFAULT_LENGTH);
            }
        }
    }

    /// Empties a place, and fills it with a new VM at the same address after `delay`.
    fn replace_later(self: &Arc<Self>, place: &mut Place, delay: Duration) {
        let Some(node) = place.node.take() else {
            return;
        };
        let (id, address) = (place.id(), node.address().to_string());
        self.platform
            .roster
            .change(|list| list.retain(|vm| *vm.id != *id));
        place.generation += 1;
        let name = place.name.clone();
        self.later(delay, move |fleet| {
            drop(node);
            fleet.refill(&name, &address);
        });
    }

    fn refill(&self, name: &str, address: &str) {
        let mut places = self.places.lock();
        let Some(place) = places.iter_mut().find(|p| p.name == name) else {
            return;
        };
        // The old port may still be held for a moment; any other will do.
        let any = format!("{}:0", self.host);
        let filled = self.fill(place, address);
        if let Ok(vm) = filled.or_else(|_| self.fill(place, &any)) {
            self.platform.roster.change(|list| list.push(vm));
        }
    }

    /// Runs `work` after `delay`, if the fleet still stands.
    fn later(self: &Arc<Self>, delay: Duration, work: impl FnOnce(&Arc<Self>) + Send + 'static) {
        let fleet = Arc::downgrade(self);
        let spawned = thread::Builder::new().spawn(move || {
            thread::sleep(delay);
            if let Some(fleet) = fleet.upgrade() {
                work(&fleet);
            }
        });
        // Without a thread the fault lasts until the process ends.
        drop(spawned);
    }

    /// Brings about a fault of the platform or an endpoint; false if it is neither, or if there
    /// is no such endpoint.
    pub fn inject(self: &Arc<Self>, fault: &Fault) -> bool {
        let length = fault.length();
        match fault.kind {
            Kind::LogOutage => self.log_fault(length, |f| f.outage = true, |f| f.outage = false),
            Kind::LogSlow => self.log_fault(
                length,
                |f| f.latency = LOG_SLOW,
                |f| f.latency = Duration::ZERO,
            ),
            Kind::LogLostAnswer => {
                let log = &self.platform.log;
                log.inject(crate::platform::memory::Fault::LostAfter);
                self.log_fault(
                    length,
                    |f| f.lost_after = LOST_ANSWERS,
                    |f| f.lost_after = 0.0,
                )
            }
            Kind::EndpointCrash | Kind::EndpointStraggler | Kind::EndpointLeaving => {
                self.endpoint_fault(fault)
            }
            Kind::DaemonPause | Kind::DaemonStop | Kind::LinkCut => false,
        }
    }

    fn log_fault(
        self: &Arc<Self>,
        length: Duration,
        begin: impl FnOnce(&mut crate::platform::memory::Faults),
        end: impl FnOnce(&mut crate::platform::memory::Faults) + Send + 'static,
    ) -> bool {
        self.platform.log.change_faults(begin);
        self.later(length, move |fleet| fleet.platform.log.change_faults(end));
        true
    }

    fn endpoint_fault(self: &Arc<Self>, fault: &Fault) -> bool {
        let mut places = self.places.lock();
        let target = fault.target.as_deref();
        let fits = |p: &Place| p.node.is_some() && target.is_none_or(|t| p.is_target(t));
        let found: Vec<usize> = (0..places.len()).filter(|i| fits(&places[*i])).collect();
        let chosen = found.choose(&mut *self.rng.lock()).copied();
        let Some(place) = chosen.and_then(|i| places.get_mut(i)) else {
            return false;
        };
        let Some(node) = place.node.clone() else {
            return false;
        };
        match fault.kind {
            Kind::EndpointCrash => {
                node.crash();
                self.replace_later(place, fault.length());
            }
            Kind::EndpointStraggler => {
                node.slow_down(STRAGGLER);
                self.later(fault.length(), move |_| node.slow_down(1.0));
            }
            _ => self.leave(place, &node, fault.length()),
        }
        true
    }

    /// Marks an endpoint as leaving; it is gone when its calls had time to end.
    fn leave(self: &Arc<Self>, place: &mut Place, node: &Arc<Node>, length: Duration) {
        let id = place.id();
        node.leave();
        self.platform.roster.change(|list| {
            for vm in list.iter_mut().filter(|vm| *vm.id == *id) {
                vm.leaving = true;
            }
        });
        let name = place.name.clone();
        self.later(length.max(LEAVING), move |fleet| {
            let mut places = fleet.places.lock();
            if let Some(place) = places.iter_mut().find(|p| p.name == name && p.id() == id) {
                fleet.replace_later(place, Duration::ZERO);
            }
        });
    }
}

/// Returns the region of each availability zone.
fn regions(deployment: &Deployment) -> IndexMap<String, String> {
    let zones = deployment.settings.zones.iter();
    zones.map(|z| (z.name.clone(), z.region.clone())).collect()
}

fn places(deployment: &Deployment, seed: u64) -> Vec<Place> {
    let mut seeds = ChaCha8Rng::seed_from_u64(seed);
    let settings = &deployment.settings;
    let mut places = Vec::new();
    for (start, pool) in settings.pools.iter().enumerate() {
        let zones = settings.zones.iter().cycle().skip(start);
        for (number, zone) in (1..=deployment::endpoints(pool)).zip(zones) {
            places.push(Place {
                name: format!("{}-{number}", pool.name),
                pool: pool.clone(),
                zone: zone.name.clone(),
                profile: Profile::of(pool.kind)
                    .checks_fencing(pool.checks_fencing)
                    .seed(seeds.next_u64()),
                generation: 0,
                node: None,
            });
        }
    }
    places
}

#[cfg(test)]
mod tests;
