//! Health of one endpoint as this daemon sees it: a circuit breaker with probing.

use std::time::Duration;

use crate::clock::Time;

/// Longest ejection, as a multiple of the first.
const MAX_BACKOFF: u32 = 16;

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
    /// Whether it counts against the cap of ejected endpoints.
    pub fn is_ejected(&self) -> bool {
        self.state != State::Closed
    }

    /// Whether an ejected endpoint may get one probing call.
    pub fn is_probe_due(&self, now: Time) -> bool {
        matches!(self.state, State::Open { until } if until <= now)
    }

    /// Consecutive failures so far.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// A call is sent.
    pub fn begin(&mut self, now: Time) {
        if self.is_probe_due(now) {
            self.state = State::Probing;
        }
    }

    /// A call succeeded; true when the endpoint comes back by it.
    pub fn succeed(&mut self) -> bool {
        self.failures = 0;
        let is_back = self.state == State::Probing;
        if is_back {
            self.state = State::Closed;
            self.ejections = 0;
        }
        is_back
    }

    /// A call failed; a failed probe ejects again.
    pub fn fail(&mut self, base: Duration, now: Time) {
        self.failures = self.failures.saturating_add(1);
        if self.state == State::Probing {
            self.eject(base, now);
        }
    }

    /// The probing call ended without a verdict.
    pub fn cancel(&mut self, now: Time) {
        if self.state == State::Probing {
            self.state = State::Open { until: now };
        }
    }

    /// Closes the circuit without a probe.
    pub fn close(&mut self) {
        self.state = State::Closed;
    }

    /// Ejects the endpoint, longer each time in a row.
    pub fn eject(&mut self, base: Duration, now: Time) {
        let factor = (1 << self.ejections.min(8)).min(MAX_BACKOFF);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.state = State::Open {
            until: now + base * factor,
        };
    }
}

#[cfg(test)]
mod tests;
