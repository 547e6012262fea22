//! Adaptive concurrency of one pool at one daemon: additive increase, multiplicative decrease.

use std::time::Duration;

use crate::clock::Time;

/// The first limit per endpoint.
const START: f64 = 2.0;
/// What is left of the limit after a sign of congestion without reports.
const DECREASE: f64 = 0.85;
/// The least time between two changes: a change shows in the reports only after their lag.
const PAUSE: Duration = Duration::from_millis(300);
/// Share of the excess of waiting calls that one decrease takes away.
const GAIN: f64 = 0.5;
/// The least that is left of the limit after one decrease.
const MAX_DECREASE: f64 = 0.6;
/// The most that the limit grows at a time, for each endpoint. It does not depend on the limit,
/// so that daemons come to equal shares.
const INCREASE: f64 = 0.15;
/// The least share of that growth, which keeps the shares moving near the target.
const MIN_SHARE: f64 = 0.25;

/// How many calls of a pool may be in flight from this daemon.
#[derive(Clone, Debug)]
pub struct Limit {
    limit: f64,
    changed: Option<Time>,
    max: f64,
    endpoints: f64,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            limit: START,
            changed: None,
            max: f64::INFINITY,
            endpoints: 1.0,
        }
    }
}

impl Limit {
    /// Adapts to the number of endpoints and the most calls that each may get.
    pub fn resize(&mut self, endpoints: usize, per_endpoint: u32) {
        let endpoints = endpoints.max(1) as f64;
        let max = endpoints * f64::from(per_endpoint);
        if self.changed.is_none() {
            self.limit = self.limit.max(endpoints * START);
        }
        self.max = max;
        self.endpoints = endpoints;
        self.limit = self.limit.clamp(1.0, max);
    }

    /// The limit in calls, at least 1.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// The limit before rounding, in calls.
    pub fn level(&self) -> f64 {
        self.limit
    }

    /// Whether the limit holds calls back while `in_flight` run.
    pub fn is_binding(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 >= self.limit
    }

    /// Follows reports of load: the mean calls `waiting` per endpoint are led to `target`.
    ///
    /// The rise is additive and the fall multiplicative, so that daemons come to equal shares.
    pub fn follow(&mut self, waiting: f64, busy: f64, target: f64, in_flight: u32, now: Time) {
        if self.changed.is_some_and(|at| now < at + PAUSE) {
            return;
        }
        let excess = waiting - target;
        if excess > 0.0 {
            let factor = 1.0 - GAIN * excess / busy.max(1.0);
            self.limit = (self.limit * factor.max(MAX_DECREASE)).max(1.0);
            self.changed = Some(now);
        } else if self.is_binding(in_flight) {
            let step = (self.endpoints * INCREASE).max(1.0);
            let share = (-excess / target.max(1e-6)).clamp(MIN_SHARE, 1.0);
            self.limit = (self.limit + step * share).min(self.max);
            self.changed = Some(now);
        }
    }

    /// Without reports of load: a call ended, with or without signs of congestion.
    pub fn sample(&mut self, is_congested: bool, in_flight: u32, now: Time) {
        if !is_congested {
            if self.is_binding(in_flight) {
                self.limit = (self.limit + 1.0 / self.limit).min(self.max);
            }
        } else if self.changed.is_none_or(|at| now >= at + PAUSE) {
            self.changed = Some(now);
            self.limit = (self.limit * DECREASE).max(1.0);
        }
    }
}

#[cfg(test)]
mod tests;
