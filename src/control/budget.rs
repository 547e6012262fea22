//! Rate limit of this daemon's appends to the log.
//!
//! The log accepts several hundred appends a second from the whole fleet. Claims have priority over
//! control, and control over the rest. See [the capacity page](../../docs/CAPACITY.md).

use std::time::Duration;

use parking_lot::Mutex;

use crate::clock::Time;

/// Appends that may be made at once after an idle period.
const BURST_APPENDS: f64 = 10.0;
/// Rate that every daemon may use, however many share the budget.
const MIN_APPENDS_PER_SECOND: f64 = 0.5;
/// The smallest factor on the rate after the log refused appends.
const MIN_RATE_FACTOR: f64 = 0.05;
/// Growth of the factor in a second.
const RECOVERY_PER_SECOND: f64 = 0.05;

token! {
    /// The purpose of an append, in order of priority.
    pub enum Class {
        /// Claims of requests.
        Claim,
        /// Leases, upgrade plans and operators' edits.
        Control,
        /// Checkpoints and expiries, which can wait.
        #[serde(rename = "rest")]
        Background,
    }
}

impl Class {
    /// Returns the tokens reserved for classes of higher priority.
    fn reserve(self) -> f64 {
        match self {
            Self::Claim => 0.0,
            Self::Control => BURST_APPENDS * 0.3,
            Self::Background => BURST_APPENDS * 0.6,
        }
    }
}

#[derive(Debug)]
struct State {
    rate: f64,
    factor: f64,
    tokens: f64,
    refilled_at: Time,
}

/// A token bucket with a reserve for each class, which slows down when the log refuses appends.
#[derive(Debug)]
pub struct Budget {
    state: Mutex<State>,
}

impl Budget {
    /// Creates a full bucket with the minimum rate.
    pub fn new() -> Self {
        Self {
            state: Mutex::new(State {
                rate: MIN_APPENDS_PER_SECOND,
                factor: 1.0,
                tokens: BURST_APPENDS,
                refilled_at: Time::ZERO,
            }),
        }
    }

    /// Sets the rate of the fleet, and the live daemons that share it.
    pub fn set_share(&self, fleet_rate: u64, daemons: usize) {
        self.state.lock().rate =
            (fleet_rate as f64 / daemons.max(1) as f64).max(MIN_APPENDS_PER_SECOND);
    }

    /// Takes the token for one append.
    ///
    /// # Errors
    ///
    /// Returns the time after which the class may try again when no token is left for it.
    pub fn take(&self, class: Class, now: Time) -> Result<(), Duration> {
        let mut state = self.state.lock();
        state.refill(now);
        let needed = class.reserve() + 1.0 - state.tokens;
        if needed > 0.0 {
            let rate = state.rate * state.factor;
            return Err(Duration::from_secs_f64(needed / rate));
        }
        state.tokens -= 1.0;
        Ok(())
    }

    /// Halves the rate after the log refused or lost an append, and keeps the claims' reserve.
    pub fn on_refused(&self, now: Time) {
        let mut state = self.state.lock();
        state.refill(now);
        state.factor = (state.factor / 2.0).max(MIN_RATE_FACTOR);
        state.tokens = state.tokens.min(Class::Control.reserve());
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    fn refill(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.factor = (self.factor + elapsed * RECOVERY_PER_SECOND).min(1.0);
        self.tokens = (self.tokens + elapsed * self.rate * self.factor).min(BURST_APPENDS);
    }
}
