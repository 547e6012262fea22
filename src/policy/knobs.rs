//! The operators' knobs of the policy, their defaults and their limits.
//!
//! See [the operators' page](../../docs/operators/policy.md).

use std::time::Duration;

use snafu::Snafu;

use crate::id;

value! {
    /// The operators' settings of one pool, pipeline or workspace, exceptions applied.
    #[serde(default, deny_unknown_fields)]
    pub struct Knobs {
        /// Share of a contended pool relative to other workspaces, from 0.01 to 1,000.
        pub weight: f64,
        /// The most calls in flight per known endpoint, from 1 to 1,024.
        pub max_in_flight: u32,
        /// The most calls that wait in a pool's queue, from 0 to 100,000.
        pub max_queue: u32,
        /// The shortest wait above which a queue is standing, from 1 ms to 60 s.
        pub sojourn_target: Duration,
        /// Calls that may wait inside an endpoint before the concurrency limit falls, from 0 to 64.
        pub waiting_target: f64,
        /// Share of the remaining time that a priority-0 request may be predicted to take,
        /// from 0.1 to 1.
        pub admission_share: f64,
        /// How much that share falls with each step of priority, from 0 to 0.1.
        pub priority_step: f64,
        /// Retries per call over time, from 0 to 1.
        pub retry_ratio: f64,
        /// The first retry's longest delay, from 0 to 10 s.
        pub retry_base: Duration,
        /// Hedges per call over time, from 0 to 0.05.
        pub hedge_ratio: f64,
        /// The quantile of a stage's latency after which it is hedged, from 0.5 to 0.999.
        pub hedge_quantile: f64,
        /// Consecutive failures that eject an endpoint, from 1 to 100.
        pub eject_failures: u32,
        /// Multiple of the peers' median latency that ejects an endpoint, from 1.5 to 100.
        pub eject_outlier: f64,
        /// The most of a pool that may be ejected, from 0 to 0.9.
        pub eject_share: f64,
        /// How long the first ejection lasts, from 100 ms to 10 min.
        pub eject_time: Duration,
        /// How long a new endpoint takes to reach its full share, from 0 to 10 min.
        pub slow_start: Duration,
        /// Share of the regional link that one daemon may fill, from 0 to 1.
        pub link_share: f64,
    }

    /// What knobs apply to.
    #[derive(Eq, Hash)]
    pub enum Scope {
        /// Everything without an exception.
        Fleet,
        /// One workspace: its weight.
        Workspace(id::Workspace),
        /// One pipeline: its admission.
        Pipeline(id::Pipeline),
        /// One pool: all that concerns its endpoints.
        Pool(id::Pool),
    }
}

/// A knob outside its documented limits.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("knob {name} is {value}, not between {least} and {most}"))]
pub struct Error {
    /// The knob.
    name: &'static str,
    /// Its value; durations in seconds.
    value: f64,
    /// The least allowed.
    least: f64,
    /// The most allowed.
    most: f64,
}

impl Default for Knobs {
    fn default() -> Self {
        Self::DEFAULT
    }
}

impl Knobs {
    /// The built-in defaults.
    pub const DEFAULT: Self = Self {
        weight: 1.0,
        max_in_flight: 64,
        max_queue: 1024,
        sojourn_target: Duration::from_millis(250),
        waiting_target: 1.0,
        admission_share: 0.95,
        priority_step: 0.02,
        retry_ratio: 0.15,
        retry_base: Duration::from_millis(20),
        hedge_ratio: 0.03,
        hedge_quantile: 0.97,
        eject_failures: 3,
        eject_outlier: 3.0,
        eject_share: 0.34,
        eject_time: Duration::from_secs(2),
        slow_start: Duration::from_secs(2),
        link_share: 0.25,
    };

    /// Checks every knob against its documented limits.
    ///
    /// # Errors
    ///
    /// The first knob that is outside.
    pub fn check(&self) -> Result<(), Error> {
        let rows = [
            ("weight", self.weight, 0.01, 1000.0),
            ("max-in-flight", f64::from(self.max_in_flight), 1.0, 1024.0),
            ("max-queue", f64::from(self.max_queue), 0.0, 100_000.0),
            (
                "sojourn-target",
                self.sojourn_target.as_secs_f64(),
                0.001,
                60.0,
            ),
            ("waiting-target", self.waiting_target, 0.0, 64.0),
            ("admission-share", self.admission_share, 0.1, 1.0),
            ("priority-step", self.priority_step, 0.0, 0.1),
            ("retry-ratio", self.retry_ratio, 0.0, 1.0),
            ("retry-base", self.retry_base.as_secs_f64(), 0.0, 10.0),
            ("hedge-ratio", self.hedge_ratio, 0.0, 0.05),
            ("hedge-quantile", self.hedge_quantile, 0.5, 0.999),
            ("eject-failures", f64::from(self.eject_failures), 1.0, 100.0),
            ("eject-outlier", self.eject_outlier, 1.5, 100.0),
            ("eject-share", self.eject_share, 0.0, 0.9),
            ("eject-time", self.eject_time.as_secs_f64(), 0.1, 600.0),
            ("slow-start", self.slow_start.as_secs_f64(), 0.0, 600.0),
            ("link-share", self.link_share, 0.0, 1.0),
        ];
        for (name, value, least, most) in rows {
            if !(least..=most).contains(&value) {
                return Err(Error {
                    name,
                    value,
                    least,
                    most,
                });
            }
        }
        Ok(())
    }
}

/// Resolves knobs by scope: an exception, else the fleet-wide default.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Resolver {
    fleet: Knobs,
    workspaces: indexmap::IndexMap<id::Workspace, Knobs>,
    pipelines: indexmap::IndexMap<id::Pipeline, Knobs>,
    pools: indexmap::IndexMap<id::Pool, Knobs>,
}

impl Resolver {
    /// Sets the knobs of a scope.
    pub fn set(&mut self, scope: &Scope, knobs: Knobs) {
        match scope {
            Scope::Fleet => self.fleet = knobs,
            Scope::Workspace(name) => drop(self.workspaces.insert(name.clone(), knobs)),
            Scope::Pipeline(name) => drop(self.pipelines.insert(name.clone(), knobs)),
            Scope::Pool(name) => drop(self.pools.insert(name.clone(), knobs)),
        }
    }

    /// Removes the exception of a scope; the fleet's defaults stay.
    pub fn clear(&mut self, scope: &Scope) {
        match scope {
            Scope::Fleet => {}
            Scope::Workspace(name) => drop(self.workspaces.swap_remove(name)),
            Scope::Pipeline(name) => drop(self.pipelines.swap_remove(name)),
            Scope::Pool(name) => drop(self.pools.swap_remove(name)),
        }
    }

    /// The knobs of a workspace.
    pub fn workspace(&self, name: &str) -> &Knobs {
        self.workspaces.get(name).unwrap_or(&self.fleet)
    }

    /// The knobs of a pipeline.
    pub fn pipeline(&self, name: &str) -> &Knobs {
        self.pipelines.get(name).unwrap_or(&self.fleet)
    }

    /// The knobs of a pool.
    pub fn pool(&self, name: &str) -> &Knobs {
        self.pools.get(name).unwrap_or(&self.fleet)
    }
}

#[cfg(test)]
mod tests;
