//! What a controller sees of its zone: engines, settings and the weight store's rate.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::shared::{Shared, Tools};
use crate::config::{Context, View, setting};
use crate::id;
use crate::order::Engine;
use crate::order::role::{self, Shares};
use crate::order::upgrade::{Limits, Window, max_out_of_service, zone_max_out_of_service};
use crate::platform::Role;
use crate::settings::{Kind, Pool};

/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60_000;
/// The share of a lease, as a divisor, that an order may take.
const LEASE_SHARE: u32 = 3;
/// Minutes of a zone's turn, when the floor spares fewer engines than there are zones.
const TURN_MINUTES: u64 = 10;
/// Minutes of a day.
const DAY: u64 = 24 * 60;

/// The engines of a zone by pool.
pub(super) type Pools = IndexMap<id::Pool, Vec<Engine>>;

/// The settings of a zone at one moment.
pub(super) struct Scene {
    view: Arc<View>,
    zone: id::Zone,
    region: Option<id::Region>,
    pools: IndexMap<id::Pool, Pool>,
    minute: u64,
    engines: usize,
}

impl Scene {
    pub fn new(shared: &Shared, zone: &id::Zone) -> Self {
        let settings = &shared.settings;
        let engines = settings.pools.iter().filter(|p| p.kind == Kind::Engine);
        let pools: IndexMap<id::Pool, Pool> = engines
            .map(|p| (id::Pool::from(p.name.as_str()), p.clone()))
            .collect();
        let listed = shared.listed.lock();
        let is_engine = |vm: &&crate::platform::Vm| {
            let pool = vm.pool.as_ref();
            vm.role == Role::Endpoint && pool.is_some_and(|p| pools.contains_key(p))
        };
        let count = listed.iter().flatten().filter(is_engine).count();
        drop(listed);
        let region = settings.zones.iter().find(|z| *z.name == **zone);
        Self {
            view: Arc::clone(&shared.view.read()),
            zone: zone.clone(),
            region: region.map(|z| z.region.as_str().into()),
            pools,
            minute: shared.wall_ms() / MINUTE_MS % DAY,
            engines: count,
        }
    }

    fn place<'a>(&'a self, pool: &'a str) -> Context<'a> {
        Context {
            region: self.region.as_deref(),
            zone: Some(&self.zone),
            pool: Some(pool),
            ..Context::default()
        }
    }

    /// The engines of the zone on the platform's list, without what they report.
    pub fn pools(&self, shared: &Shared) -> Pools {
        let mut pools = Pools::new();
        for vm in shared.listed.lock().iter().flatten() {
            let settings = vm.pool.as_ref().and_then(|p| self.pools.get(p));
            let Some(settings) = settings.filter(|_| vm.zone == self.zone) else {
                continue;
            };
            let units = pools.entry(settings.name.as_str().into()).or_default();
            units.push(Engine {
                endpoint: vm.id.clone(),
                address: vm.address.clone(),
                state: None,
                load: None,
                read_at: None,
                checks_fencing: settings.checks_fencing,
                is_leaving: vm.leaving,
            });
        }
        pools
    }

    /// The version that a pool shall serve; empty when it is left alone.
    pub fn target(&self, pool: &str) -> id::Version {
        self.view.text(&setting::MODEL_VERSION, &self.place(pool))
    }

    /// The longest that an order may be on its way: it must end well within the lease.
    pub fn order_timeout(&self) -> Duration {
        let duration = |setting| self.view.duration(setting, &Context::default());
        let lease = duration(&setting::LEASE_TIME);
        duration(&setting::ORDER_TIMEOUT).min(lease / LEASE_SHARE)
    }

    pub fn window(&self) -> Window {
        let place = self.place("");
        let start = self.view.count(&setting::UPGRADE_START, &place);
        let end = self.view.count(&setting::UPGRADE_END, &place);
        Window::new(start, end, self.minute)
    }

    pub fn shares(&self, pool: &str) -> Shares {
        role::parse_shares(&self.view.names(&setting::ROLE_SHARES, &self.place(pool)))
    }

    pub fn role_rule(&self, pool: &str) -> role::Limits {
        let place = self.place(pool);
        role::Limits {
            hysteresis: self.view.ratio(&setting::ROLE_HYSTERESIS, &place),
            min_interval: self.view.duration(&setting::ROLE_PERIOD, &place),
        }
    }

    /// The limits of an upgrade; none while the weight store does not say what the target is.
    ///
    /// The store's rate is shared among all engines of the fleet, so that the controllers of
    /// all zones keep to it without asking each other.
    pub fn rule(
        &self,
        shared: &Shared,
        tools: &Tools,
        pool: &str,
        target: &str,
        engines: usize,
    ) -> Option<Limits> {
        let model = self.pools.get(pool).and_then(|p| p.model.clone());
        let manifests = tools.manifests();
        let manifest = manifests
            .iter()
            .find(|m| &*m.version == target && model.as_deref().is_none_or(|n| n == &*m.model))?;
        let place = self.place(pool);
        let count = |setting| self.view.count(setting, &place);
        let allowed = count(&setting::WEIGHT_RATE).min(manifest.rate) as f64;
        let share = engines as f64 / self.engines.max(1) as f64;
        let crowd = self.crowd(shared, pool);
        let spare = max_out_of_service(
            self.view.ratio(&setting::UPGRADE_FLOOR, &place),
            crowd.engines,
        );
        Some(Limits {
            max_out_of_service: zone_max_out_of_service(
                spare,
                engines,
                crowd.engines,
                crowd.is_turn,
            ),
            is_blocked_by_floor: spare == 0,
            batch: usize::try_from(count(&setting::UPGRADE_BATCH)).unwrap_or(usize::MAX),
            max_unhealthy_share: self.view.ratio(&setting::UPGRADE_ERRORS, &place),
            rollback: self.view.flag(&setting::UPGRADE_ROLLBACK, &place),
            drain_timeout: self.view.duration(&setting::DRAIN_TIME, &place),
            weight_bytes: manifest.bytes,
            bytes_per_second: allowed * share,
        })
    }

    /// The engines of a pool in all zones, and whether it is this zone's turn to go alone.
    ///
    /// Turns go by the wall clock. Clocks differ and loads outlast a turn, so that a zone also
    /// waits while an engine of another zone is out, which gossip tells within seconds.
    fn crowd(&self, shared: &Shared, pool: &str) -> Crowd {
        let now = shared.clock.now();
        let mut candidates = shared.endpoints.lock().candidates(now);
        candidates.retain(|c| &*c.pool == pool);
        let mut zones: Vec<&id::Zone> = candidates.iter().map(|c| &c.zone).collect();
        zones.sort();
        zones.dedup();
        let turn = self.minute / TURN_MINUTES % zones.len().max(1) as u64;
        let is_ours = usize::try_from(turn).is_ok_and(|t| zones.get(t) == Some(&&self.zone));
        let is_out_elsewhere = candidates.iter().any(|c| c.leaving && c.zone != self.zone);
        Crowd {
            engines: candidates.len(),
            is_turn: is_ours && !is_out_elsewhere,
        }
    }
}

/// The engines of a pool in all zones.
struct Crowd {
    engines: usize,
    is_turn: bool,
}
