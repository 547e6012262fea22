//! Health of one endpoint as this daemon sees it: a circuit breaker with probing.

use std::time::Duration;

use crate::clock::Time;

/// Longest ejection, as a multiple of the first.
const MAX_EJECTION_FACTOR: u32 = 16;

token! {
    /// The state of an endpoint's circuit breaker.
    pub enum State {
        /// Calls pass.
        Closed,
        /// Ejected: no call passes until the time given.
        Open {
            /// When one call may probe it.
            until: Time,
        },
        /// One call probes it.
        Probing,
    }
}

/// The circuit breaker of one endpoint.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    /// Consecutive failures.
    failures: u32,
    /// Consecutive ejections.
    ejections: u32,
}

impl Default for Breaker {
    fn default() -> Self {
        Self {
            state: State::Closed,
            failures: 0,
            ejections: 0,
        }
    }
}

impl Breaker {
    /// Returns whether the endpoint is ejected, which includes probing.
    pub fn is_ejected(&self) -> bool {
        self.state != State::Closed
    }

    /// Returns whether an ejected endpoint may get one probing call.
    pub fn is_probe_due(&self, now: Time) -> bool {
        matches!(self.state, State::Open { until } if until <= now)
    }

    /// Consecutive failures so far.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records that a call is sent, as the probe if one is due.
    pub fn begin(&mut self, now: Time) {
        if self.is_probe_due(now) {
            self.state = State::Probing;
        }
    }

    /// Records a success; returns whether it was the probe, which ends the ejection.
    pub fn succeed(&mut self) -> bool {
        self.failures = 0;
        let has_recovered = self.state == State::Probing;
        if has_recovered {
            self.state = State::Closed;
            self.ejections = 0;
        }
        has_recovered
    }

    /// Records a failure; a failed probe ejects again.
    pub fn fail(&mut self, base: Duration, now: Time) {
        self.failures = self.failures.saturating_add(1);
        if self.state == State::Probing {
            self.eject(base, now);
        }
    }

    /// Records that a call ended without a result; a probe is due again.
    pub fn cancel(&mut self, now: Time) {
        if self.state == State::Probing {
            self.state = State::Open { until: now };
        }
    }

    /// Ends an ejection without a probe.
    pub fn close(&mut self) {
        self.state = State::Closed;
    }

    /// Ejects the endpoint, for longer after each consecutive ejection.
    pub fn eject(&mut self, base: Duration, now: Time) {
        let factor = (1 << self.ejections.min(8)).min(MAX_EJECTION_FACTOR);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.state = State::Open {
            until: now + base * factor,
        };
    }
}

#[cfg(test)]
mod tests;
