//! The controller of one zone: reads its engines, plans and sends orders.

use std::thread;

use indexmap::IndexMap;

use super::shared::{EngineAccess, Shared};
use super::snapshot::{Pools, Snapshot};
use super::{ZoneStatus, zone};
use crate::clock::Time;
use crate::endpoint::{Load, State};
use crate::id;
use crate::lease::record::{self, Body, Phase, Plan};
use crate::member::Evidence;
use crate::order::Engine;
use crate::order::reconcile::{Action, Authority, Reconciler, Spec};
use crate::order::role::Rebalancer;
use crate::order::upgrade::{Goal, Step, Upgrade};
use crate::timeline::Kind;

/// Engines that are read or ordered in parallel.
const MAX_PARALLEL_ACTIONS: usize = 8;
/// Engines that are read or ordered in one tick.
const MAX_ACTIONS_PER_TICK: usize = 32;
/// Alarms that are kept for operators, the latest ones.
const MAX_ALARMS: usize = 16;
/// Ticks between repeats of the draining reports of a zone.
const REPEAT_REPORTS_TICKS: u64 = 120;

/// The result of a read or an order.
struct Outcome {
    endpoint: id::Endpoint,
    is_order: bool,
    state: Option<State>,
    load: Option<Load>,
}

/// The controller of one zone.
pub(super) struct Controller {
    zone: id::Zone,
    authority: Authority,
    reconciler: Reconciler,
    upgrades: IndexMap<id::Pool, Upgrade>,
    roles: IndexMap<id::Pool, Rebalancer>,
    loads: IndexMap<id::Endpoint, Load>,
    specs: IndexMap<id::Endpoint, Spec>,
    alarms: Vec<String>,
    ticks: u64,
}

impl Controller {
    pub fn new(zone: id::Zone, authority: Authority, shared: &Shared) -> Self {
        let what = format!("controls {zone} with token {}", authority.fence);
        shared.record(Kind::Lease, None, what);
        let timeout = Snapshot::new(shared, &zone).order_timeout();
        Self {
            zone,
            authority,
            reconciler: Reconciler::new(timeout),
            upgrades: IndexMap::new(),
            roles: IndexMap::new(),
            loads: IndexMap::new(),
            specs: IndexMap::new(),
            alarms: Vec::new(),
            ticks: 0,
        }
    }

    pub fn authority(&self) -> Authority {
        self.authority
    }

    /// Returns the status of the zone, for operators.
    pub fn status(&self, now: Time) -> ZoneStatus {
        let upgrades = self
            .upgrades
            .iter()
            .map(|(pool, upgrade)| super::UpgradeStatus {
                pool: pool.clone(),
                target: upgrade.goal().target.clone(),
                phase: upgrade.phase().to_string(),
                out_of_service: upgrade.out_of_service(),
            });
        ZoneStatus {
            fence: self.authority.fence,
            engines: self.reconciler.statuses(self.authority, now),
            upgrades: upgrades.collect(),
            alarms: self.alarms.clone(),
        }
    }

    /// Runs one round of planning, reads and orders; the lease must be valid.
    pub fn tick(&mut self, shared: &Shared, engine_access: &EngineAccess, now: Time) {
        self.ticks += 1;
        let snapshot = Snapshot::new(shared, &self.zone);
        let pools = snapshot.pools(shared);
        self.reconciler.retain(|e| {
            pools
                .values()
                .any(|p| p.iter().any(|engine| engine.endpoint == *e))
        });
        let pools = self.with_last_reads(pools);
        for (pool, engines) in &pools {
            self.plan_upgrade(shared, engine_access, &snapshot, pool, engines, now);
            self.return_engines(shared, pool, engines, now);
            self.rebalance_roles(&snapshot, pool, engines, now);
        }
        self.update_specs(&pools);
        let actions = self.reconciler.tick(self.authority, now);
        let outcomes = perform(
            shared,
            engine_access,
            &self.zone,
            snapshot.order_timeout(),
            actions,
        );
        self.apply_outcomes(outcomes, shared.clock.now());
    }

    /// Adds the last state and load of each engine.
    fn with_last_reads(&self, mut pools: Pools) -> Pools {
        for engine in pools.values_mut().flatten() {
            let read = self.reconciler.state(&engine.endpoint).cloned();
            (engine.state, engine.read_at) = read.unzip();
            engine.load = self.loads.get(&engine.endpoint).cloned();
        }
        pools
    }

    fn plan_upgrade(
        &mut self,
        shared: &Shared,
        engine_access: &EngineAccess,
        snapshot: &Snapshot,
        pool: &id::Pool,
        engines: &[Engine],
        now: Time,
    ) {
        let target = snapshot.target(pool);
        let is_read = engines.iter().all(|e| e.state.is_some());
        if target.is_empty() || engines.is_empty() {
            self.upgrades.shift_remove(pool);
            return;
        }
        let current = self.upgrades.get(pool);
        let is_current = current.is_some_and(|u| u.goal().target == target);
        let is_finished = current.is_some_and(|u| u.phase() == Phase::Finished);
        let is_served = engines.iter().all(|e| e.serves(&target));
        let is_new = !is_current || (is_finished && !is_served);
        if is_new && is_read && !is_served && snapshot.window().is_open() {
            self.start_upgrade(shared, pool, &target, engines, is_finished);
        }
        let Some(limits) =
            snapshot.upgrade_limits(shared, engine_access, pool, &target, engines.len())
        else {
            self.alarm(shared, pool, &format!("the weight store has no {target}"));
            return;
        };
        let Some(upgrade) = self.upgrades.get_mut(pool) else {
            return;
        };
        let steps = upgrade.tick(engines, &limits, &snapshot.window(), now);
        for step in steps {
            self.apply_step(shared, pool, step);
        }
        if self.ticks.is_multiple_of(REPEAT_REPORTS_TICKS) {
            self.repeat_draining_reports(shared, pool, engines);
        }
    }

    /// Returns engines to service that a failed controller left draining.
    fn return_engines(&self, shared: &Shared, pool: &id::Pool, engines: &[Engine], now: Time) {
        let upgrade = self.upgrades.get(pool);
        let draining = shared.endpoints.lock().draining(now);
        let is_abandoned = |e: &&Engine| {
            let is_out = upgrade.is_some_and(|upgrade| upgrade.is_out_of_service(&e.endpoint));
            e.is_healthy() && !is_out && draining.contains(&e.endpoint)
        };
        for engine in engines.iter().filter(is_abandoned) {
            shared.report(&engine.endpoint, Evidence::Returned);
        }
    }

    /// Starts an upgrade, or resumes the one recorded in the log.
    fn start_upgrade(
        &mut self,
        shared: &Shared,
        pool: &id::Pool,
        target: &id::Version,
        engines: &[Engine],
        is_finished: bool,
    ) {
        let lease = super::leases::lease_name(&self.zone);
        let plan = shared.leases.lock().fold.plan(&lease, pool).cloned();
        let resumed = plan.filter(|p| *p.target == **target && !is_finished);
        let (goal, phase) = match resumed {
            Some(plan) => {
                let goal = Goal {
                    target: target.clone(),
                    previous: plan.previous.into(),
                };
                (goal, plan.phase)
            }
            None => {
                let goal = Goal {
                    target: target.clone(),
                    previous: most_common_version(engines, target),
                };
                (goal, Phase::Running)
            }
        };
        // A finished plan restarts when engines do not serve its target.
        let phase = if phase == Phase::Finished {
            Phase::Running
        } else {
            phase
        };
        self.upgrades
            .insert(pool.clone(), Upgrade::new(goal, phase));
        let reason = format!("upgrade to {target}");
        self.apply_step(shared, pool, Step::Record(phase, reason));
    }

    fn apply_step(&mut self, shared: &Shared, pool: &id::Pool, step: Step) {
        match step {
            Step::Drain(endpoint) => shared.report(&endpoint, Evidence::Draining),
            Step::Return(endpoint) => shared.report(&endpoint, Evidence::Returned),
            Step::Order(endpoint, version) => {
                let spec = self.specs.entry(endpoint).or_insert(Spec {
                    versions: Vec::new(),
                    role: None,
                });
                spec.versions = vec![version];
            }
            Step::Record(phase, reason) => self.record_plan(shared, pool, phase, reason),
            Step::Alarm(reason) => self.alarm(shared, pool, &reason),
        }
    }

    /// Records an alarm, unless it repeats the last one.
    fn alarm(&mut self, shared: &Shared, pool: &id::Pool, reason: &str) {
        let alarm = format!("{}, {pool}: {reason}", self.zone);
        if self.alarms.last() == Some(&alarm) {
            return;
        }
        shared.record(Kind::Order, None, format!("alarm: {alarm}"));
        if self.alarms.len() >= MAX_ALARMS {
            self.alarms.remove(0);
        }
        self.alarms.push(alarm);
    }

    fn record_plan(&self, shared: &Shared, pool: &id::Pool, phase: Phase, reason: String) {
        let Some(upgrade) = self.upgrades.get(pool) else {
            return;
        };
        let plan = Plan {
            lease: super::leases::lease_name(&self.zone).to_string(),
            fence: self.authority.fence,
            pool: pool.to_string(),
            target: upgrade.goal().target.to_string(),
            previous: upgrade.goal().previous.to_string(),
            phase,
            reason,
        };
        let what = format!("{pool} in {}: {phase}, {}", self.zone, plan.reason);
        shared.record(Kind::Order, None, what);
        zone::append(shared, &record::record(&shared.me, Body::Plan(plan)));
    }

    /// Repeats the draining reports, which expire if their controller fails.
    fn repeat_draining_reports(&self, shared: &Shared, pool: &id::Pool, engines: &[Engine]) {
        let Some(upgrade) = self.upgrades.get(pool) else {
            return;
        };
        for engine in engines
            .iter()
            .filter(|e| upgrade.is_out_of_service(&e.endpoint))
        {
            shared.report(&engine.endpoint, Evidence::Draining);
        }
    }

    /// Changes one role at most, none during an upgrade of the pool.
    fn rebalance_roles(
        &mut self,
        snapshot: &Snapshot,
        pool: &id::Pool,
        engines: &[Engine],
        now: Time,
    ) {
        let phase = self.upgrades.get(pool).map(Upgrade::phase);
        if phase.is_some_and(|phase| phase != Phase::Finished) {
            return;
        }
        let roles = self.roles.entry(pool.clone()).or_default();
        let change = roles.tick(
            engines,
            &snapshot.shares(pool),
            snapshot.role_limits(pool),
            now,
        );
        if let Some(change) = change {
            let spec = self.specs.entry(change.endpoint).or_insert(Spec {
                versions: Vec::new(),
                role: None,
            });
            spec.role = Some(change.role);
        }
    }

    fn update_specs(&mut self, pools: &Pools) {
        let is_present = |e: &id::Endpoint| {
            let mut engines = pools.values().flatten();
            engines.any(|engine| engine.endpoint == *e)
        };
        self.specs.retain(|endpoint, _| is_present(endpoint));
        self.loads.retain(|endpoint, _| is_present(endpoint));
        for (pool, engines) in pools {
            let upgrade = self.upgrades.get(pool);
            for engine in engines {
                let mut spec = self.specs.get(&engine.endpoint).cloned().unwrap_or(Spec {
                    versions: Vec::new(),
                    role: None,
                });
                // An upgraded engine keeps its version, even after late orders of a predecessor.
                if let Some(upgrade) = upgrade
                    && engine.serves(upgrade.version())
                {
                    spec.versions = vec![upgrade.version().clone()];
                }
                let is_out = upgrade.is_some_and(|u| u.is_out_of_service(&engine.endpoint));
                self.reconciler.set_out_of_service(&engine.endpoint, is_out);
                self.specs.insert(engine.endpoint.clone(), spec.clone());
                self.reconciler.set_spec(
                    &engine.endpoint,
                    &engine.address,
                    engine.checks_fencing,
                    spec,
                );
            }
        }
    }

    fn apply_outcomes(&mut self, outcomes: Vec<Outcome>, now: Time) {
        for outcome in outcomes {
            if outcome.is_order {
                self.reconciler.on_order_ended(&outcome.endpoint, now);
                continue;
            }
            match outcome.load {
                Some(load) => {
                    self.loads.insert(outcome.endpoint.clone(), load);
                }
                None => {
                    self.loads.shift_remove(&outcome.endpoint);
                }
            }
            self.reconciler
                .on_state_read(&outcome.endpoint, outcome.state, now);
        }
    }
}

/// Returns the version that most engines serve, other than the target.
fn most_common_version(engines: &[Engine], target: &id::Version) -> id::Version {
    let mut counts: IndexMap<&id::Version, usize> = IndexMap::new();
    let states = engines.iter().filter_map(|e| e.state.as_ref());
    for version in states.flat_map(|s| &s.versions).filter(|v| *v != target) {
        *counts.entry(version).or_insert(0) += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, n)| *n);
    most.map_or_else(|| "".into(), |(version, _)| version.clone())
}

/// Reads and orders several engines in parallel.
fn perform(
    shared: &Shared,
    engine_access: &EngineAccess,
    zone: &id::Zone,
    timeout: std::time::Duration,
    actions: Vec<Action>,
) -> Vec<Outcome> {
    let actions: Vec<Action> = actions.into_iter().take(MAX_ACTIONS_PER_TICK).collect();
    let mut outcomes = Vec::new();
    for group in actions.chunks(MAX_PARALLEL_ACTIONS) {
        let done = thread::scope(|scope| {
            let spawn = |action| {
                scope.spawn(move || perform_one(shared, engine_access, zone, timeout, action))
            };
            let threads: Vec<_> = group.iter().map(spawn).collect();
            let joined = threads.into_iter().filter_map(|t| t.join().ok());
            joined.collect::<Vec<Outcome>>()
        });
        outcomes.extend(done);
    }
    outcomes
}

fn perform_one(
    shared: &Shared,
    engine_access: &EngineAccess,
    zone: &id::Zone,
    timeout: std::time::Duration,
    action: &Action,
) -> Outcome {
    match action {
        Action::ReadState { endpoint, address } => Outcome {
            endpoint: endpoint.clone(),
            is_order: false,
            state: engine_access.engine.state(address).ok(),
            load: engine_access.engine.load(address).ok(),
        },
        Action::SendOrder {
            endpoint,
            address,
            order,
        } => {
            // A pause may have outlasted the lease: the fence is checked right before the order.
            let now = shared.clock.now();
            if zone::fence(shared, zone, timeout, now) == Some(order.fence) {
                let result = engine_access.engine.order(address, order);
                let what = format!("{order:?}: {result:?}");
                shared.record(Kind::Order, Some(endpoint.clone()), what);
            }
            Outcome {
                endpoint: endpoint.clone(),
                is_order: true,
                state: None,
                load: None,
            }
        }
    }
}
