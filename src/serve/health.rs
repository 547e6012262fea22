//! How an endpoint has answered of late, as the weight of choosing it.

use std::time::Duration;

use crate::clock::Time;
use crate::route::health::Breaker;

/// The time in which the weight of a past failure halves; long enough to see a few requests.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// The share of a new observation in the mean of speeds and failures.
const SHARE: f64 = 0.25;
/// The first ejection after a lost connection; endpoints restart within seconds.
const EJECTION: Duration = Duration::from_millis(500);
/// Failures in a row, of calls that did reach the endpoint, that eject it.
const FAILURES: u32 = 4;

token! {
    /// How one call to an endpoint ended.
    pub enum Verdict {
        /// It answered as it should.
        Good,
        /// It answered with a failure of its own.
        Bad,
        /// It rejected the call before it ran.
        Refused,
        /// The connection could not be made, or stayed silent.
        Lost,
        /// The connection broke while the endpoint ran the call.
        Crashed,
        /// It ended for a reason that says nothing of the endpoint.
        Unknown,
    }
}

/// The record of one endpoint.
#[derive(Clone, Debug)]
pub struct Record {
    breaker: Breaker,
    failing: f64,
    slowness: f64,
    at: Time,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            breaker: Breaker::default(),
            failing: 0.0,
            slowness: 1.0,
            at: Time::ZERO,
        }
    }
}

impl Record {
    fn decay(&mut self, now: Time) {
        let lives = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let keep = 0.5_f64.powf(lives);
        self.failing *= keep;
        self.slowness = 1.0 + (self.slowness - 1.0) * keep;
        self.at = now;
    }

    /// Returns whether a call may be sent now.
    pub fn is_open(&self, now: Time) -> bool {
        !self.breaker.is_ejected() || self.breaker.is_probe_due(now)
    }

    /// Returns the share of calls that fail, from 0 to 1.
    pub fn failing(&self, now: Time) -> f64 {
        let mut copy = self.clone();
        copy.decay(now);
        copy.failing
    }

    /// Returns the time of calls as a multiple of what was expected.
    pub fn slowness(&self, now: Time) -> f64 {
        let mut copy = self.clone();
        copy.decay(now);
        copy.slowness
    }

    /// A call is sent.
    pub fn begin(&mut self, now: Time) {
        self.breaker.begin(now);
    }

    /// A call took `ratio` times as long as expected.
    pub fn took(&mut self, ratio: f64, now: Time) {
        self.decay(now);
        let share = if ratio > self.slowness {
            2.0 * SHARE
        } else {
            SHARE
        };
        self.slowness += share * (ratio.clamp(0.2, 20.0) - self.slowness);
    }

    /// A call ended; true when the endpoint was ejected by it.
    pub fn end(&mut self, verdict: Verdict, now: Time) -> bool {
        self.decay(now);
        match verdict {
            Verdict::Good => {
                self.failing *= 1.0 - SHARE;
                self.breaker.succeed();
                false
            }
            Verdict::Bad | Verdict::Lost | Verdict::Crashed => {
                self.failing += SHARE * (1.0 - self.failing);
                self.breaker.fail(EJECTION, now);
                let eject = verdict != Verdict::Bad || self.breaker.failures() >= FAILURES;
                let eject = eject && !self.breaker.is_ejected();
                if eject {
                    self.breaker.eject(EJECTION, now);
                }
                eject
            }
            Verdict::Refused | Verdict::Unknown => {
                self.breaker.cancel(now);
                false
            }
        }
    }
}

#[cfg(test)]
mod tests;
