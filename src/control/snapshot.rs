//! The state that a controller plans with: engines of the zone, settings and limits.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::shared::{EngineAccess, Shared};
use crate::config::{Context, View, setting};
use crate::id;
use crate::order::Engine;
use crate::order::role::{self, Shares};
use crate::order::upgrade::{Limits, Window, max_out_of_service, zone_max_out_of_service};
use crate::platform::Role;
use crate::settings::{Kind, Pool};

/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60_000;
/// An order may take at most the lease time divided by this.
const ORDER_LEASE_DIVISOR: u32 = 3;
/// Length of a zone's turn, when fewer engines may be out of service than there are zones.
const TURN_MINUTES: u64 = 10;
/// Minutes of a day.
const DAY_MINUTES: u64 = 24 * 60;

/// The engines of a zone by pool.
pub(super) type Pools = IndexMap<id::Pool, Vec<Engine>>;

/// The settings of a zone and the number of engines at one moment.
pub(super) struct Snapshot {
    view: Arc<View>,
    zone: id::Zone,
    region: Option<id::Region>,
    pools: IndexMap<id::Pool, Pool>,
    /// Minute of the day (UTC).
    minute: u64,
    fleet_engines: usize,
}

impl Snapshot {
    pub fn new(shared: &Shared, zone: &id::Zone) -> Self {
        let settings = &shared.settings;
        let engines = settings.pools.iter().filter(|p| p.kind == Kind::Engine);
        let pools: IndexMap<id::Pool, Pool> = engines
            .map(|p| (id::Pool::from(p.name.as_str()), p.clone()))
            .collect();
        let vms = shared.vms.lock();
        let is_engine = |vm: &&crate::platform::Vm| {
            let pool = vm.pool.as_ref();
            vm.role == Role::Endpoint && pool.is_some_and(|p| pools.contains_key(p))
        };
        let count = vms.iter().flatten().filter(is_engine).count();
        drop(vms);
        let region = settings.zones.iter().find(|z| *z.name == **zone);
        Self {
            view: Arc::clone(&shared.view.read()),
            zone: zone.clone(),
            region: region.map(|z| z.region.as_str().into()),
            pools,
            minute: shared.wall_ms() / MINUTE_MS % DAY_MINUTES,
            fleet_engines: count,
        }
    }

    fn context<'a>(&'a self, pool: &'a str) -> Context<'a> {
        Context {
            region: self.region.as_deref(),
            zone: Some(&self.zone),
            pool: Some(pool),
            ..Context::default()
        }
    }

    /// Returns the engines of the zone on the platform's list, without their state and load.
    pub fn pools(&self, shared: &Shared) -> Pools {
        let mut pools = Pools::new();
        for vm in shared.vms.lock().iter().flatten() {
            let settings = vm.pool.as_ref().and_then(|p| self.pools.get(p));
            let Some(settings) = settings.filter(|_| vm.zone == self.zone) else {
                continue;
            };
            let engines = pools.entry(settings.name.as_str().into()).or_default();
            engines.push(Engine {
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

    /// Returns the version that a pool must serve; empty when it is not managed.
    pub fn target(&self, pool: &str) -> id::Version {
        self.view.text(&setting::MODEL_VERSION, &self.context(pool))
    }

    /// Returns the timeout of an order, which must end well within the lease.
    pub fn order_timeout(&self) -> Duration {
        let duration = |setting| self.view.duration(setting, &Context::default());
        let lease = duration(&setting::LEASE_TIME);
        duration(&setting::ORDER_TIMEOUT).min(lease / ORDER_LEASE_DIVISOR)
    }

    pub fn window(&self) -> Window {
        let context = self.context("");
        let start = self.view.count(&setting::UPGRADE_START, &context);
        let end = self.view.count(&setting::UPGRADE_END, &context);
        Window::new(start, end, self.minute)
    }

    pub fn shares(&self, pool: &str) -> Shares {
        role::parse_shares(&self.view.names(&setting::ROLE_SHARES, &self.context(pool)))
    }

    pub fn role_limits(&self, pool: &str) -> role::Limits {
        let context = self.context(pool);
        role::Limits {
            hysteresis: self.view.ratio(&setting::ROLE_HYSTERESIS, &context),
            min_interval: self.view.duration(&setting::ROLE_PERIOD, &context),
        }
    }

    /// Returns the limits of an upgrade; none while the weight store does not list the target.
    ///
    /// The store's rate is divided among all engines of the fleet, so that the controllers of all
    /// zones together keep to it without communicating.
    pub fn upgrade_limits(
        &self,
        shared: &Shared,
        engine_access: &EngineAccess,
        pool: &str,
        target: &str,
        engines: usize,
    ) -> Option<Limits> {
        let model = self.pools.get(pool).and_then(|p| p.model.clone());
        let manifests = engine_access.manifests();
        let manifest = manifests
            .iter()
            .find(|m| &*m.version == target && model.as_deref().is_none_or(|n| n == &*m.model))?;
        let context = self.context(pool);
        let count = |setting| self.view.count(setting, &context);
        let rate = count(&setting::WEIGHT_RATE).min(manifest.rate) as f64;
        let share = engines as f64 / self.fleet_engines.max(1) as f64;
        let fleet_pool = self.fleet_pool(shared, pool);
        let max_out = max_out_of_service(
            self.view.ratio(&setting::UPGRADE_FLOOR, &context),
            fleet_pool.engines,
        );
        Some(Limits {
            max_out_of_service: zone_max_out_of_service(
                max_out,
                engines,
                fleet_pool.engines,
                fleet_pool.is_our_turn,
            ),
            is_blocked_by_floor: max_out == 0,
            batch: usize::try_from(count(&setting::UPGRADE_BATCH)).unwrap_or(usize::MAX),
            max_unhealthy_share: self.view.ratio(&setting::UPGRADE_ERRORS, &context),
            rollback: self.view.flag(&setting::UPGRADE_ROLLBACK, &context),
            drain_timeout: self.view.duration(&setting::DRAIN_TIME, &context),
            weight_bytes: manifest.bytes,
            bytes_per_second: rate * share,
        })
    }

    /// Counts the engines of a pool in all zones, and determines whether it is this zone's turn.
    ///
    /// Turns follow the wall clock. Clocks differ and loading weights may outlast a turn, so a zone
    /// also waits while an engine of another zone is leaving, which gossip spreads within seconds.
    fn fleet_pool(&self, shared: &Shared, pool: &str) -> FleetPool {
        let now = shared.clock.now();
        let mut candidates = shared.endpoints.lock().candidates(now);
        candidates.retain(|c| &*c.pool == pool);
        let mut zones: Vec<&id::Zone> = candidates.iter().map(|c| &c.zone).collect();
        zones.sort();
        zones.dedup();
        let turn = self.minute / TURN_MINUTES % zones.len().max(1) as u64;
        let is_ours = usize::try_from(turn).is_ok_and(|t| zones.get(t) == Some(&&self.zone));
        let is_out_elsewhere = candidates.iter().any(|c| c.leaving && c.zone != self.zone);
        FleetPool {
            engines: candidates.len(),
            is_our_turn: is_ours && !is_out_elsewhere,
        }
    }
}

/// A pool in all zones.
struct FleetPool {
    engines: usize,
    is_our_turn: bool,
}
