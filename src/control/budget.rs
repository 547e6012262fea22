//! The share of the log's appends that this daemon may use.
//!
//! The log takes several hundred appends a second for the whole fleet. Claims go before control,
//! and control before the rest. See [the capacity page](../../docs/CAPACITY.md).

use std::time::Duration;

use parking_lot::Mutex;

use crate::clock::Time;

/// Appends that may be made at once after a quiet time.
const BURST: f64 = 10.0;
/// Appends a second that every daemon may make, however many there are.
const FLOOR: f64 = 0.5;
/// The smallest factor on the rate after refusals of the log.
const MIN_FACTOR: f64 = 0.05;
/// How much the factor grows in a second without refusals.
const RECOVERY: f64 = 0.05;

token! {
    /// What an append is for, the most important first.
    pub enum Class {
        /// Claims of requests.
        Claim,
        /// Leases, orders and operators' edits.
        Control,
        /// Checkpoints and expiries, which can wait.
        Rest,
    }
}

impl Class {
    /// Tokens that are left to the classes before.
    fn reserve(self) -> f64 {
        match self {
            Self::Claim => 0.0,
            Self::Control => BURST * 0.3,
            Self::Rest => BURST * 0.6,
        }
    }
}

#[derive(Debug)]
struct State {
    rate: f64,
    factor: f64,
    tokens: f64,
    at: Time,
}

/// A token bucket with reserves, which backs off when the log refuses.
#[derive(Debug)]
pub struct Budget {
    state: Mutex<State>,
}

impl Budget {
    /// Makes a full bucket with the least rate.
    pub fn new() -> Self {
        Self {
            state: Mutex::new(State {
                rate: FLOOR,
                factor: 1.0,
                tokens: BURST,
                at: Time::ZERO,
            }),
        }
    }

    /// Sets the appends a second of the fleet, and the live daemons that share them.
    pub fn share(&self, fleet: u64, daemons: usize) {
        self.state.lock().rate = (fleet as f64 / daemons.max(1) as f64).max(FLOOR);
    }

    /// Takes an append, or says how long to wait for one.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the class may try again.
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

    /// Learns that the log refused or lost an append: everybody but the claims slows down.
    pub fn refused(&self, now: Time) {
        let mut state = self.state.lock();
        state.refill(now);
        state.factor = (state.factor / 2.0).max(MIN_FACTOR);
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
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.factor = (self.factor + elapsed * RECOVERY).min(1.0);
        self.tokens = (self.tokens + elapsed * self.rate * self.factor).min(BURST);
    }
}
