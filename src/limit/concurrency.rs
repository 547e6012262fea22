//! Adaptive concurrency of one pool at one daemon: additive increase, multiplicative decrease.

use std::time::Duration;

use crate::clock::Time;

/// The first limit per endpoint.
const START: f64 = 4.0;
/// What is left of the limit after a decrease.
const DECREASE: f64 = 0.85;
/// The least time between two decreases, so that one congestion counts once.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// How many calls of a pool may be in flight from this daemon.
#[derive(Clone, Debug)]
pub struct Limit {
    limit: f64,
    /// Whether no congestion was seen so far, so that the limit may double quickly.
    probing: bool,
    decreased: Option<Time>,
    max: f64,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            limit: START,
            probing: true,
            decreased: None,
            max: f64::INFINITY,
        }
    }
}

impl Limit {
    /// Adapts to the number of endpoints and the most calls that each may get.
    pub fn resize(&mut self, endpoints: usize, per_endpoint: u32) {
        let endpoints = endpoints.max(1) as f64;
        let max = endpoints * f64::from(per_endpoint);
        if self.probing {
            self.limit = self.limit.max(endpoints * START);
        }
        self.max = max;
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

    /// A call ended without congestion while `in_flight` calls ran.
    pub fn grow(&mut self, in_flight: u32) {
        if f64::from(in_flight) + 1.0 < self.limit {
            return;
        }
        let step = if self.probing { 1.0 } else { 1.0 / self.limit };
        self.limit = (self.limit + step).min(self.max);
    }

    /// Congestion was seen; `pause` is the time that a decrease takes to show.
    pub fn shrink(&mut self, pause: Duration, now: Time) {
        let pause = pause.max(MIN_PAUSE);
        if self.decreased.is_some_and(|at| now < at + pause) {
            return;
        }
        self.decreased = Some(now);
        self.probing = false;
        self.limit = (self.limit * DECREASE).max(1.0);
    }
}

#[cfg(test)]
mod tests;
