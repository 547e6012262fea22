//! The nightly upgrade of one pool in one zone.
//!
//! Engines go through draining, loading and back into service, in batches, under the weight
//! store's rate and a floor of capacity. What was done is read back from the engines, so that
//! another daemon resumes with the plan of the log and nothing else.

use std::time::Duration;

use indexmap::IndexMap;

use super::Engine;
use crate::clock::Time;
use crate::id;
use crate::lease::record::Phase;

mod limits;

pub use limits::{Limits, Pacer, Window, max_out_of_service, zone_max_out_of_service};

event! {
    /// What an upgrade is about.
    pub struct Goal {
        /// The version that the engines shall serve.
        pub target: id::Version,
        /// The version to go back to; empty when there is none.
        pub previous: id::Version,
    }

    /// What the shell shall do.
    pub enum Step {
        /// Give the engine nothing new.
        Drain(id::Endpoint),
        /// Order the engine to serve this version alone.
        Order(id::Endpoint, id::Version),
        /// The engine may get new work again.
        Return(id::Endpoint),
        /// Write the plan to the log.
        Record(Phase, String),
        /// Tell operators.
        Alarm(String),
    }
}

/// Where an engine is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Draining { since: Time },
    Loading { since: Time },
    Failed,
}

/// Why operators were last told that the window is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Alarm {
    /// It closed first.
    WindowClosed,
    /// It will close first.
    WindowTooShort,
    /// The floor lets no engine go out of service.
    BlockedByFloor,
}

/// The upgrade of one pool in one zone.
#[derive(Clone, Debug)]
pub struct Upgrade {
    goal: Goal,
    phase: Phase,
    stages: IndexMap<id::Endpoint, Stage>,
    pacer: Pacer,
    last_alarm: Option<Alarm>,
}

impl Upgrade {
    /// Starts or resumes an upgrade in the phase of the log.
    pub fn new(goal: Goal, phase: Phase) -> Self {
        Self {
            goal,
            phase,
            stages: IndexMap::new(),
            pacer: Pacer::default(),
            last_alarm: None,
        }
    }

    /// What it is about.
    pub fn goal(&self) -> &Goal {
        &self.goal
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The version that engines go to now.
    pub fn version(&self) -> &id::Version {
        match self.phase {
            Phase::RollingBack => &self.goal.previous,
            _ => &self.goal.target,
        }
    }

    /// Engines that are out of service for the upgrade.
    pub fn out_of_service(&self) -> usize {
        self.stages.len()
    }

    /// Says whether the engine is out of service for the upgrade.
    pub fn is_out_of_service(&self, endpoint: &str) -> bool {
        self.stages.contains_key(endpoint)
    }

    /// Lets a paused upgrade go on.
    pub fn resume(&mut self, reason: &str) -> Vec<Step> {
        self.stages.retain(|_, stage| *stage != Stage::Failed);
        self.enter_phase(Phase::Running, reason)
    }

    fn enter_phase(&mut self, phase: Phase, reason: &str) -> Vec<Step> {
        self.phase = phase;
        vec![Step::Record(phase, reason.into())]
    }

    /// Takes a turn with what the engines reported.
    pub fn tick(
        &mut self,
        units: &[Engine],
        rule: &Limits,
        window: &Window,
        now: Time,
    ) -> Vec<Step> {
        let is_present = |e: &id::Endpoint| units.iter().any(|u| u.endpoint == *e);
        self.stages.retain(|endpoint, _| is_present(endpoint));
        let mut steps = Vec::new();
        self.advance(units, rule, now, &mut steps);
        if self.phase == Phase::Finished {
            return steps;
        }
        let pending: Vec<&Engine> = units.iter().filter(|u| self.is_pending(u)).collect();
        if pending.is_empty() && self.stages.is_empty() {
            let reason = format!("all engines serve {}", self.version());
            steps.extend(self.enter_phase(Phase::Finished, &reason));
            return steps;
        }
        self.check_health(units, rule, &mut steps);
        self.check_window(pending.len(), rule, window, &mut steps);
        if self.phase != Phase::Paused && window.is_open() {
            self.start_drains(units, &pending, rule, now, &mut steps);
        }
        steps
    }

    fn is_pending(&self, unit: &Engine) -> bool {
        !unit.is_leaving && !unit.serves(self.version()) && !self.is_out_of_service(&unit.endpoint)
    }

    /// Moves the engines that are out of service.
    fn advance(&mut self, units: &[Engine], rule: &Limits, now: Time, steps: &mut Vec<Step>) {
        let version = self.version().clone();
        for unit in units {
            let Some(stage) = self.stages.get(&unit.endpoint).copied() else {
                continue;
            };
            let next = match stage {
                Stage::Draining { since } if rule.is_drained(unit, since, now) => {
                    if !self.pacer.try_start(rule, now) {
                        continue;
                    }
                    steps.push(Step::Order(unit.endpoint.clone(), version.clone()));
                    Some(Stage::Loading { since: now })
                }
                Stage::Loading { .. } | Stage::Failed if unit.serves(&version) => {
                    if !unit.is_healthy() {
                        continue;
                    }
                    steps.push(Step::Return(unit.endpoint.clone()));
                    None
                }
                Stage::Loading { since } if now >= since + rule.load_limit() => Some(Stage::Failed),
                same => Some(same),
            };
            match next {
                Some(stage) => {
                    self.stages.insert(unit.endpoint.clone(), stage);
                }
                None => {
                    self.stages.shift_remove(&unit.endpoint);
                }
            }
        }
    }

    /// Pauses or rolls back when too many upgraded engines are not healthy.
    fn check_health(&mut self, units: &[Engine], rule: &Limits, steps: &mut Vec<Step>) {
        if self.phase != Phase::Running {
            return;
        }
        let upgraded = units.iter().filter(|u| u.serves(&self.goal.target));
        let (well, ill): (Vec<&Engine>, Vec<&Engine>) = upgraded.partition(|u| u.is_healthy());
        let failed = self.stages.values().filter(|s| **s == Stage::Failed);
        let bad = failed.count() + ill.len();
        let share = bad as f64 / (bad + well.len()).max(1) as f64;
        if bad == 0 || share <= rule.max_unhealthy_share {
            return;
        }
        let reason = format!("{bad} engines are not healthy on {}", self.goal.target);
        steps.push(Step::Alarm(reason.clone()));
        let can_go_back = rule.rollback && !self.goal.previous.is_empty();
        if can_go_back {
            // Engines that have not loaded the target yet are ordered back as well.
            self.stages
                .retain(|_, stage| matches!(stage, Stage::Draining { .. }));
            steps.extend(self.enter_phase(Phase::RollingBack, &reason));
        } else {
            steps.extend(self.enter_phase(Phase::Paused, &reason));
        }
    }

    /// Raises an alarm once for each reason, well before the window ends.
    fn check_window(
        &mut self,
        pending: usize,
        rule: &Limits,
        window: &Window,
        steps: &mut Vec<Step>,
    ) {
        let need = rule.estimate(pending + self.stages.len());
        let left = window.remaining;
        let (alarm, reason) = if !window.is_open() {
            let reason = format!("{pending} engines wait and the window is closed");
            (Alarm::WindowClosed, reason)
        } else if rule.is_blocked_by_floor {
            let reason = "the floor lets no engine go out of service".to_owned();
            (Alarm::BlockedByFloor, reason)
        } else if need > left {
            let reason = format!("the upgrade needs {need:?} and the window ends in {left:?}");
            (Alarm::WindowTooShort, reason)
        } else {
            self.last_alarm = None;
            return;
        };
        if self.last_alarm != Some(alarm) {
            self.last_alarm = Some(alarm);
            steps.push(Step::Alarm(reason));
        }
    }

    /// Takes the next engines out of service, those that serve nothing first.
    fn start_drains(
        &mut self,
        units: &[Engine],
        pending: &[&Engine],
        rule: &Limits,
        now: Time,
        steps: &mut Vec<Step>,
    ) {
        let mut pending = pending.to_vec();
        pending.sort_by_key(|u| u.is_healthy());
        let in_service = |u: &&Engine| u.is_healthy() && !self.is_out_of_service(&u.endpoint);
        let serving = units.iter().filter(in_service).count();
        let mut out = units.len() - serving;
        for unit in pending {
            if self.stages.len() >= rule.batch {
                return;
            }
            if unit.is_healthy() {
                if out >= rule.max_out_of_service {
                    return;
                }
                out += 1;
            }
            self.stages
                .insert(unit.endpoint.clone(), Stage::Draining { since: now });
            steps.push(Step::Drain(unit.endpoint.clone()));
        }
    }

    /// The least time that the engines out of service still need, for operators.
    pub fn estimate(&self, units: &[Engine], rule: &Limits) -> Duration {
        let pending = units.iter().filter(|u| self.is_pending(u)).count();
        rule.estimate(pending + self.stages.len())
    }
}
