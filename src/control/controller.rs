//! The controller of one zone: reads its engines, plans and orders.

use std::thread;

use indexmap::IndexMap;

use super::scene::{Pools, Scene};
use super::shared::{Shared, Tools};
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

/// Engines that are read or ordered at the same time.
const PARALLEL: usize = 8;
/// Engines that are read or ordered in one turn.
const MAX_ACTIONS: usize = 32;
/// Alarms that are shown to operators.
const MAX_ALARMS: usize = 16;
/// How often the draining marks of a zone are repeated, in turns.
const REPEAT_MARKS: u64 = 120;

/// What an engine answered.
struct Answer {
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
    desires: IndexMap<id::Endpoint, Spec>,
    alarms: Vec<String>,
    turns: u64,
}

impl Controller {
    pub fn new(zone: id::Zone, authority: Authority, shared: &Shared) -> Self {
        let what = format!("controls {zone} with token {}", authority.fence);
        shared.record(Kind::Lease, None, what);
        let timeout = Scene::new(shared, &zone).order_timeout();
        Self {
            zone,
            authority,
            reconciler: Reconciler::new(timeout),
            upgrades: IndexMap::new(),
            roles: IndexMap::new(),
            loads: IndexMap::new(),
            desires: IndexMap::new(),
            alarms: Vec::new(),
            turns: 0,
        }
    }

    pub fn authority(&self) -> Authority {
        self.authority
    }

    /// What operators see of the zone.
    pub fn board(&self, now: Time) -> ZoneStatus {
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

    /// Takes a turn under a valid lease.
    pub fn turn(&mut self, shared: &Shared, tools: &Tools, now: Time) {
        self.turns += 1;
        let scene = Scene::new(shared, &self.zone);
        let pools = scene.pools(shared);
        self.reconciler
            .retain(|e| pools.values().any(|p| p.iter().any(|u| u.endpoint == *e)));
        let pools = self.fill(pools);
        for (pool, units) in &pools {
            self.plan(shared, tools, &scene, pool, units, now);
            self.bring_back(shared, pool, units, now);
            self.move_roles(&scene, pool, units, now);
        }
        self.desire(&pools);
        let actions = self.reconciler.tick(self.authority, now);
        let answers = perform(shared, tools, &self.zone, scene.order_timeout(), actions);
        self.learn(answers, shared.clock.now());
    }

    /// Adds what the engines reported.
    fn fill(&self, mut pools: Pools) -> Pools {
        for unit in pools.values_mut().flatten() {
            let read = self.reconciler.state(&unit.endpoint).cloned();
            (unit.state, unit.read_at) = read.unzip();
            unit.load = self.loads.get(&unit.endpoint).cloned();
        }
        pools
    }

    fn plan(
        &mut self,
        shared: &Shared,
        tools: &Tools,
        scene: &Scene,
        pool: &id::Pool,
        units: &[Engine],
        now: Time,
    ) {
        let target = scene.target(pool);
        let is_read = units.iter().all(|u| u.state.is_some());
        if target.is_empty() || units.is_empty() {
            self.upgrades.shift_remove(pool);
            return;
        }
        let current = self.upgrades.get(pool);
        let is_current = current.is_some_and(|u| u.goal().target == target);
        let is_over = current.is_some_and(|u| u.phase() == Phase::Finished);
        let is_served = units.iter().all(|u| u.serves(&target));
        let is_new = !is_current || (is_over && !is_served);
        if is_new && is_read && !is_served && scene.window().is_open() {
            self.begin(shared, pool, &target, units, is_over);
        }
        let Some(rule) = scene.rule(shared, tools, pool, &target, units.len()) else {
            self.alarm(shared, pool, &format!("the weight store has no {target}"));
            return;
        };
        let Some(upgrade) = self.upgrades.get_mut(pool) else {
            return;
        };
        let steps = upgrade.tick(units, &rule, &scene.window(), now);
        for step in steps {
            self.step(shared, pool, step);
        }
        if self.turns.is_multiple_of(REPEAT_MARKS) {
            self.repeat_marks(shared, pool, units);
        }
    }

    /// Brings back engines that a vanished controller took out of service.
    fn bring_back(&self, shared: &Shared, pool: &id::Pool, units: &[Engine], now: Time) {
        let upgrade = self.upgrades.get(pool);
        let draining = shared.endpoints.lock().draining(now);
        let is_left = |u: &&Engine| {
            let is_held = upgrade.is_some_and(|upgrade| upgrade.is_out_of_service(&u.endpoint));
            u.is_healthy() && !is_held && draining.contains(&u.endpoint)
        };
        for unit in units.iter().filter(is_left) {
            shared.report(&unit.endpoint, Evidence::Returned);
        }
    }

    /// Begins an upgrade, or takes up the one that the log has.
    fn begin(
        &mut self,
        shared: &Shared,
        pool: &id::Pool,
        target: &id::Version,
        units: &[Engine],
        is_over: bool,
    ) {
        let lease = super::leases::name(&self.zone);
        let plan = shared.leases.lock().fold.plan(&lease, pool).cloned();
        let resumed = plan.filter(|p| *p.target == **target && !is_over);
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
                    previous: most_common(units, target),
                };
                (goal, Phase::Running)
            }
        };
        // A finished plan with engines that do not serve its target starts again.
        let phase = if phase == Phase::Finished {
            Phase::Running
        } else {
            phase
        };
        self.upgrades
            .insert(pool.clone(), Upgrade::new(goal, phase));
        let reason = format!("upgrade to {target}");
        self.step(shared, pool, Step::Record(phase, reason));
    }

    fn step(&mut self, shared: &Shared, pool: &id::Pool, step: Step) {
        match step {
            Step::Drain(endpoint) => shared.report(&endpoint, Evidence::Draining),
            Step::Return(endpoint) => shared.report(&endpoint, Evidence::Returned),
            Step::Order(endpoint, version) => {
                let desire = self.desires.entry(endpoint).or_insert(Spec {
                    versions: Vec::new(),
                    role: None,
                });
                desire.versions = vec![version];
            }
            Step::Record(phase, reason) => self.write(shared, pool, phase, reason),
            Step::Alarm(reason) => self.alarm(shared, pool, &reason),
        }
    }

    /// Shows an alarm, once while it is the last.
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

    fn write(&self, shared: &Shared, pool: &id::Pool, phase: Phase, reason: String) {
        let Some(upgrade) = self.upgrades.get(pool) else {
            return;
        };
        let plan = Plan {
            lease: super::leases::name(&self.zone).to_string(),
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

    /// Marks lapse when their controller vanishes, so that it repeats them.
    fn repeat_marks(&self, shared: &Shared, pool: &id::Pool, units: &[Engine]) {
        let Some(upgrade) = self.upgrades.get(pool) else {
            return;
        };
        for unit in units
            .iter()
            .filter(|u| upgrade.is_out_of_service(&u.endpoint))
        {
            shared.report(&unit.endpoint, Evidence::Draining);
        }
    }

    /// Roles stand still while the pool is upgraded.
    fn move_roles(&mut self, scene: &Scene, pool: &id::Pool, units: &[Engine], now: Time) {
        let phase = self.upgrades.get(pool).map(Upgrade::phase);
        if phase.is_some_and(|phase| phase != Phase::Finished) {
            return;
        }
        let roles = self.roles.entry(pool.clone()).or_default();
        let change = roles.tick(units, &scene.shares(pool), scene.role_rule(pool), now);
        if let Some(change) = change {
            let desire = self.desires.entry(change.endpoint).or_insert(Spec {
                versions: Vec::new(),
                role: None,
            });
            desire.role = Some(change.role);
        }
    }

    fn desire(&mut self, pools: &Pools) {
        let is_present = |e: &id::Endpoint| {
            let mut units = pools.values().flatten();
            units.any(|u| u.endpoint == *e)
        };
        self.desires.retain(|endpoint, _| is_present(endpoint));
        self.loads.retain(|endpoint, _| is_present(endpoint));
        for (pool, units) in pools {
            let upgrade = self.upgrades.get(pool);
            for unit in units {
                let mut desire = self.desires.get(&unit.endpoint).cloned().unwrap_or(Spec {
                    versions: Vec::new(),
                    role: None,
                });
                // What was upgraded stays so, also against late orders of a predecessor.
                if let Some(upgrade) = upgrade
                    && unit.serves(upgrade.version())
                {
                    desire.versions = vec![upgrade.version().clone()];
                }
                let is_out = upgrade.is_some_and(|u| u.is_out_of_service(&unit.endpoint));
                self.reconciler.set_out_of_service(&unit.endpoint, is_out);
                self.desires.insert(unit.endpoint.clone(), desire.clone());
                self.reconciler.set_spec(
                    &unit.endpoint,
                    &unit.address,
                    unit.checks_fencing,
                    desire,
                );
            }
        }
    }

    fn learn(&mut self, answers: Vec<Answer>, now: Time) {
        for answer in answers {
            if answer.is_order {
                self.reconciler.on_order_ended(&answer.endpoint, now);
                continue;
            }
            match answer.load {
                Some(load) => {
                    self.loads.insert(answer.endpoint.clone(), load);
                }
                None => {
                    self.loads.shift_remove(&answer.endpoint);
                }
            }
            self.reconciler
                .on_state_read(&answer.endpoint, answer.state, now);
        }
    }
}

/// The version that most engines serve, other than the target.
fn most_common(units: &[Engine], target: &id::Version) -> id::Version {
    let mut counts: IndexMap<&id::Version, usize> = IndexMap::new();
    let states = units.iter().filter_map(|u| u.state.as_ref());
    for version in states.flat_map(|s| &s.versions).filter(|v| *v != target) {
        *counts.entry(version).or_insert(0) += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, n)| *n);
    most.map_or_else(|| "".into(), |(version, _)| version.clone())
}

/// Reads and orders several engines at a time.
fn perform(
    shared: &Shared,
    tools: &Tools,
    zone: &id::Zone,
    timeout: std::time::Duration,
    actions: Vec<Action>,
) -> Vec<Answer> {
    let actions: Vec<Action> = actions.into_iter().take(MAX_ACTIONS).collect();
    let mut answers = Vec::new();
    for group in actions.chunks(PARALLEL) {
        let done = thread::scope(|scope| {
            let spawn = |action| scope.spawn(move || act(shared, tools, zone, timeout, action));
            let threads: Vec<_> = group.iter().map(spawn).collect();
            let joined = threads.into_iter().filter_map(|t| t.join().ok());
            joined.collect::<Vec<Answer>>()
        });
        answers.extend(done);
    }
    answers
}

fn act(
    shared: &Shared,
    tools: &Tools,
    zone: &id::Zone,
    timeout: std::time::Duration,
    action: &Action,
) -> Answer {
    match action {
        Action::ReadState { endpoint, address } => Answer {
            endpoint: endpoint.clone(),
            is_order: false,
            state: tools.engine.state(address).ok(),
            load: tools.engine.load(address).ok(),
        },
        Action::SendOrder {
            endpoint,
            address,
            order,
        } => {
            // A pause may have outlasted the lease: it is looked at right before the order.
            let now = shared.clock.now();
            if zone::fence(shared, zone, timeout, now) == Some(order.fence) {
                let result = tools.engine.order(address, order);
                let what = format!("{order:?}: {result:?}");
                shared.record(Kind::Order, Some(endpoint.clone()), what);
            }
            Answer {
                endpoint: endpoint.clone(),
                is_order: true,
                state: None,
                load: None,
            }
        }
    }
}
