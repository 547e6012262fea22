//! The health of an endpoint from its recent calls, by which endpoints are chosen.

use std::time::Duration;

use crate::clock::Time;
use crate::route::health::Breaker;

/// The half-life of past failures and slow calls: long enough for a few requests.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// The half-life of past refusals: what asks again costs a retry.
const REFUSAL_HALF_LIFE: Duration = Duration::from_secs(8);
/// The weight of a refusal: endpoints that work as they should have room for what they are granted.
const REFUSAL_WEIGHT: f64 = 0.5;
/// The weight of a new sample in the moving averages of duration and failures.
const SMOOTHING: f64 = 0.25;
/// The length of a first ejection; endpoints restart within seconds.
const EJECTION_TIME: Duration = Duration::from_millis(500);
/// Consecutive failures of calls that reached the endpoint after which it is ejected.
const MAX_FAILURES: u32 = 4;

token! {
    /// How one call to an endpoint ended.
    pub enum Verdict {
        /// It answered as it should.
        Good,
        /// It answered with a failure of its own.
        Bad,
        /// It rejected the call before it ran.
        Refused,
        /// The connection failed, or no answer came in time.
        Lost,
        /// The connection broke after the answer had begun.
        Crashed,
        /// The connection broke before the answer had begun.
        Dropped,
        /// It ended for a reason that says nothing of the endpoint.
        Unknown,
    }
}

/// The health of one endpoint.
#[derive(Clone, Debug)]
pub struct Health {
    breaker: Breaker,
    failure_rate: f64,
    refusal_rate: f64,
    slowness: f64,
    updated_at: Time,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            breaker: Breaker::default(),
            failure_rate: 0.0,
            refusal_rate: 0.0,
            slowness: 1.0,
            updated_at: Time::ZERO,
        }
    }
}

impl Health {
    fn decay(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let factor = |half_life: Duration| 0.5_f64.powf(elapsed / half_life.as_secs_f64());
        self.refusal_rate *= factor(REFUSAL_HALF_LIFE);
        let factor = factor(HALF_LIFE);
        self.failure_rate *= factor;
        self.slowness = 1.0 + (self.slowness - 1.0) * factor;
        self.updated_at = now;
    }

    /// Returns whether a call may be sent now.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.breaker.is_ejected() || self.breaker.is_probe_due(now)
    }

    /// Returns the share of calls that fail, from 0 to 1.
    pub fn failure_rate(&self, now: Time) -> f64 {
        let mut copy = self.clone();
        copy.decay(now);
        copy.failure_rate
    }

    /// Returns the share of calls that it refuses, from 0 to 1.
    pub fn refusal_rate(&self, now: Time) -> f64 {
        let mut copy = self.clone();
        copy.decay(now);
        copy.refusal_rate
    }

    /// Returns the duration of calls as a multiple of the expected one.
    pub fn slowness(&self, now: Time) -> f64 {
        let mut copy = self.clone();
        copy.decay(now);
        copy.slowness
    }

    /// Records that a call is sent.
    pub fn call_started(&mut self, now: Time) {
        self.breaker.begin(now);
    }

    /// Records a call that took `ratio` times as long as expected.
    pub fn record_duration(&mut self, ratio: f64, now: Time) {
        self.decay(now);
        let weight = if ratio > self.slowness {
            2.0 * SMOOTHING
        } else {
            SMOOTHING
        };
        self.slowness += weight * (ratio.clamp(0.2, 20.0) - self.slowness);
    }

    /// Records the end of a call; returns whether it ejects the endpoint.
    pub fn call_ended(&mut self, verdict: Verdict, now: Time) -> bool {
        self.decay(now);
        match verdict {
            Verdict::Good => {
                self.failure_rate *= 1.0 - SMOOTHING;
                self.refusal_rate *= 1.0 - SMOOTHING;
                self.breaker.succeed();
                false
            }
            Verdict::Bad | Verdict::Lost | Verdict::Crashed | Verdict::Dropped => {
                self.failure_rate += SMOOTHING * (1.0 - self.failure_rate);
                self.breaker.fail(EJECTION_TIME, now);
                let eject = verdict != Verdict::Bad || self.breaker.failures() >= MAX_FAILURES;
                let eject = eject && !self.breaker.is_ejected();
                if eject {
                    self.breaker.eject(EJECTION_TIME, now);
                }
                eject
            }
            Verdict::Refused => {
                self.refusal_rate += REFUSAL_WEIGHT * (1.0 - self.refusal_rate);
                self.breaker.cancel(now);
                false
            }
            Verdict::Unknown => {
                self.breaker.cancel(now);
                false
            }
        }
    }
}

#[cfg(test)]
mod tests;
