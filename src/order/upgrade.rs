//! The nightly upgrade of one pool in one zone.
//!
//! Engines are drained, loaded and returned to service in batches, limited by the read rate of the
//! weight store and by a capacity floor. Progress is read back from the engines, so that another
//! daemon can resume with nothing but the plan in the log.

use std::time::Duration;

use indexmap::IndexMap;

use super::Engine;
use crate::clock::Time;
use crate::id;
use crate::lease::record::Phase;

mod limits;

pub use limits::{Limits, Pacer, Window, max_out_of_service, zone_max_out_of_service};

event! {
    /// Versions of an upgrade.
    pub struct Goal {
        /// Version to upgrade to.
        pub target: id::Version,
        /// Version to roll back to; empty when there is none.
        pub previous: id::Version,
    }

    /// An action for the controller to carry out.
    pub enum Step {
        /// Send the engine no new calls.
        Drain(id::Endpoint),
        /// Order the engine to serve only this version.
        Order(id::Endpoint, id::Version),
        /// Return the engine to service.
        Return(id::Endpoint),
        /// Append the plan to the log.
        Record(Phase, String),
        /// Alert the operators.
        Alarm(String),
    }
}

/// Progress of an engine that is out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Draining { since: Time },
    Loading { since: Time },
    Failed,
}

/// Why the upgrade misses its window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Alarm {
    /// The window closed first.
    WindowClosed,
    /// The window will close first.
    WindowTooShort,
    /// The capacity floor lets no engine go out of service.
    BlockedByFloor,
}

/// The upgrade of one pool in one zone.
#[derive(Clone, Debug)]
pub struct Upgrade {
    goal: Goal,
    phase: Phase,
    /// Engines that are out of service for the upgrade.
    progress: IndexMap<id::Endpoint, Progress>,
    pacer: Pacer,
    last_alarm: Option<Alarm>,
}

impl Upgrade {
    /// Creates an upgrade in the phase recorded in the log.
    pub fn new(goal: Goal, phase: Phase) -> Self {
        Self {
            goal,
            phase,
            progress: IndexMap::new(),
            pacer: Pacer::default(),
            last_alarm: None,
        }
    }

    /// Returns the versions of the upgrade.
    pub fn goal(&self) -> &Goal {
        &self.goal
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the version to load in the current phase.
    pub fn version(&self) -> &id::Version {
        match self.phase {
            Phase::RollingBack => &self.goal.previous,
            _ => &self.goal.target,
        }
    }

    /// Returns how many engines are out of service for the upgrade.
    pub fn out_of_service(&self) -> usize {
        self.progress.len()
    }

    /// Returns whether the engine is out of service for the upgrade.
    pub fn is_out_of_service(&self, endpoint: &str) -> bool {
        self.progress.contains_key(endpoint)
    }

    /// Resumes a paused upgrade.
    pub fn resume(&mut self, reason: &str) -> Vec<Step> {
        self.progress
            .retain(|_, progress| *progress != Progress::Failed);
        self.enter_phase(Phase::Running, reason)
    }

    fn enter_phase(&mut self, phase: Phase, reason: &str) -> Vec<Step> {
        self.phase = phase;
        vec![Step::Record(phase, reason.into())]
    }

    /// Advances the upgrade by the latest reports of the engines.
    pub fn tick(
        &mut self,
        engines: &[Engine],
        limits: &Limits,
        window: &Window,
        now: Time,
    ) -> Vec<Step> {
        let is_present = |id: &id::Endpoint| engines.iter().any(|e| e.endpoint == *id);
        self.progress.retain(|endpoint, _| is_present(endpoint));
        let mut steps = Vec::new();
        self.advance(engines, limits, now, &mut steps);
        if self.phase == Phase::Finished {
            return steps;
        }
        let pending: Vec<&Engine> = engines.iter().filter(|e| self.is_pending(e)).collect();
        if pending.is_empty() && self.progress.is_empty() {
            let reason = format!("all engines serve {}", self.version());
            steps.extend(self.enter_phase(Phase::Finished, &reason));
            return steps;
        }
        self.check_health(engines, limits, &mut steps);
        self.check_window(pending.len(), limits, window, &mut steps);
        if self.phase != Phase::Paused && window.is_open() {
            self.start_drains(engines, &pending, limits, now, &mut steps);
        }
        steps
    }

    fn is_pending(&self, engine: &Engine) -> bool {
        !engine.is_leaving
            && !engine.serves(self.version())
            && !self.is_out_of_service(&engine.endpoint)
    }

    /// Advances the engines that are out of service.
    fn advance(&mut self, engines: &[Engine], limits: &Limits, now: Time, steps: &mut Vec<Step>) {
        let version = self.version().clone();
        for engine in engines {
            let Some(progress) = self.progress.get(&engine.endpoint).copied() else {
                continue;
            };
            let next = match progress {
                Progress::Draining { since } if limits.is_drained(engine, since, now) => {
                    if !self.pacer.try_start(limits, now) {
                        continue;
                    }
                    steps.push(Step::Order(engine.endpoint.clone(), version.clone()));
                    Some(Progress::Loading { since: now })
                }
                Progress::Loading { .. } | Progress::Failed if engine.serves(&version) => {
                    if !engine.is_healthy() {
                        continue;
                    }
                    steps.push(Step::Return(engine.endpoint.clone()));
                    None
                }
                Progress::Loading { since } if now >= since + limits.load_limit() => {
                    Some(Progress::Failed)
                }
                same => Some(same),
            };
            match next {
                Some(progress) => {
                    self.progress.insert(engine.endpoint.clone(), progress);
                }
                None => {
                    self.progress.shift_remove(&engine.endpoint);
                }
            }
        }
    }

    /// Pauses or rolls back when too many upgraded engines are unhealthy.
    fn check_health(&mut self, engines: &[Engine], limits: &Limits, steps: &mut Vec<Step>) {
        if self.phase != Phase::Running {
            return;
        }
        let upgraded = engines.iter().filter(|e| e.serves(&self.goal.target));
        let (healthy, unhealthy): (Vec<&Engine>, Vec<&Engine>) =
            upgraded.partition(|e| e.is_healthy());
        let failed = self.progress.values().filter(|s| **s == Progress::Failed);
        let failing = failed.count() + unhealthy.len();
        let share = failing as f64 / (failing + healthy.len()).max(1) as f64;
        if failing == 0 || share <= limits.max_unhealthy_share {
            return;
        }
        let reason = format!("{failing} engines are not healthy on {}", self.goal.target);
        steps.push(Step::Alarm(reason.clone()));
        let can_roll_back = limits.rollback && !self.goal.previous.is_empty();
        if can_roll_back {
            // Engines that are loading or failed become pending again and are ordered back too.
            self.progress
                .retain(|_, progress| matches!(progress, Progress::Draining { .. }));
            steps.extend(self.enter_phase(Phase::RollingBack, &reason));
        } else {
            steps.extend(self.enter_phase(Phase::Paused, &reason));
        }
    }

    /// Alerts once for each reason why the upgrade will miss its window.
    fn check_window(
        &mut self,
        pending: usize,
        limits: &Limits,
        window: &Window,
        steps: &mut Vec<Step>,
    ) {
        let need = limits.estimate(pending + self.progress.len());
        let left = window.remaining;
        let (alarm, reason) = if !window.is_open() {
            let reason = format!("{pending} engines wait and the window is closed");
            (Alarm::WindowClosed, reason)
        } else if limits.is_blocked_by_floor {
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

    /// Drains the next engines, unhealthy ones first.
    fn start_drains(
        &mut self,
        engines: &[Engine],
        pending: &[&Engine],
        limits: &Limits,
        now: Time,
        steps: &mut Vec<Step>,
    ) {
        let mut pending = pending.to_vec();
        pending.sort_by_key(|e| e.is_healthy());
        let in_service = |e: &&Engine| e.is_healthy() && !self.is_out_of_service(&e.endpoint);
        let serving = engines.iter().filter(in_service).count();
        let mut out = engines.len() - serving;
        for engine in pending {
            if self.progress.len() >= limits.batch {
                return;
            }
            if engine.is_healthy() {
                if out >= limits.max_out_of_service {
                    return;
                }
                out += 1;
            }
            self.progress
                .insert(engine.endpoint.clone(), Progress::Draining { since: now });
            steps.push(Step::Drain(engine.endpoint.clone()));
        }
    }

    /// Estimates the time that the remaining engines need, for operators.
    pub fn estimate(&self, engines: &[Engine], limits: &Limits) -> Duration {
        let pending = engines.iter().filter(|e| self.is_pending(e)).count();
        limits.estimate(pending + self.progress.len())
    }
}
