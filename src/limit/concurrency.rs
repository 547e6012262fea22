//! Adaptive concurrency of one pool at one daemon: additive increase, multiplicative decrease.

use std::time::Duration;

use crate::clock::Time;

/// The initial limit per endpoint.
const INITIAL_PER_ENDPOINT: f64 = 2.0;
/// Factor on the limit after a sign of congestion, where load is not reported.
const CONGESTION_DECREASE_FACTOR: f64 = 0.85;
/// The least time between two changes, because a change shows in reports only after their lag.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Share of the excess of waiting calls that one decrease removes.
const DECREASE_GAIN: f64 = 0.5;
/// The smallest factor of one decrease.
const MIN_DECREASE_FACTOR: f64 = 0.6;
/// The largest increase at a time, in calls per endpoint. It does not depend on the limit, so that
/// daemons converge to equal shares.
const MAX_INCREASE_PER_ENDPOINT: f64 = 0.15;
/// The smallest share of that increase, so that daemons keep converging near the target.
const MIN_INCREASE_SHARE: f64 = 0.25;

/// The most calls of a pool that this daemon may have in flight.
#[derive(Clone, Debug)]
pub struct Limit {
    limit: f64,
    last_change: Option<Time>,
    max: f64,
    endpoints: f64,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            limit: INITIAL_PER_ENDPOINT,
            last_change: None,
            max: f64::INFINITY,
            endpoints: 1.0,
        }
    }
}

impl Limit {
    /// Sets the number of endpoints and the most calls that each may get.
    pub fn resize(&mut self, endpoints: usize, per_endpoint: u32) {
        let endpoints = endpoints.max(1) as f64;
        let max = endpoints * f64::from(per_endpoint);
        if self.last_change.is_none() {
            self.limit = self.limit.max(endpoints * INITIAL_PER_ENDPOINT);
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
    pub fn fractional(&self) -> f64 {
        self.limit
    }

    /// Returns whether the limit holds calls back while `in_flight` run.
    pub fn is_binding(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 >= self.limit
    }

    /// Adapts to reported load, so that the calls `waiting` per endpoint approach `target`.
    ///
    /// The increase is additive and the decrease multiplicative, so that daemons converge to equal
    /// shares.
    pub fn adapt_to_load(
        &mut self,
        waiting: f64,
        busy: f64,
        target: f64,
        in_flight: u32,
        now: Time,
    ) {
        if self
            .last_change
            .is_some_and(|last| now < last + MIN_CHANGE_INTERVAL)
        {
            return;
        }
        let excess = waiting - target;
        if excess > 0.0 {
            let factor = 1.0 - DECREASE_GAIN * excess / busy.max(1.0);
            self.limit = (self.limit * factor.max(MIN_DECREASE_FACTOR)).max(1.0);
            self.last_change = Some(now);
        } else if self.is_binding(in_flight) {
            let step = (self.endpoints * MAX_INCREASE_PER_ENDPOINT).max(1.0);
            let share = (-excess / target.max(1e-6)).clamp(MIN_INCREASE_SHARE, 1.0);
            self.limit = (self.limit + step * share).min(self.max);
            self.last_change = Some(now);
        }
    }

    /// Adapts to the end of a call, where load is not reported.
    pub fn adapt_to_latency(&mut self, is_congested: bool, in_flight: u32, now: Time) {
        if !is_congested {
            if self.is_binding(in_flight) {
                self.limit = (self.limit + 1.0 / self.limit).min(self.max);
            }
        } else if self
            .last_change
            .is_none_or(|last| now >= last + MIN_CHANGE_INTERVAL)
        {
            self.last_change = Some(now);
            self.limit = (self.limit * CONGESTION_DECREASE_FACTOR).max(1.0);
        }
    }
}

#[cfg(test)]
mod tests;
