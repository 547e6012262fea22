//! Retries and hedges under budgets.
//!
//! See [the design note](../docs/design/policy.md).

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The longest delay before a retry.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// The most that a budget saves up, in uses.
const SAVED: f64 = 10.0;

/// A budget that grows with calls, so that an outage does not multiply load.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    /// The most that is saved up.
    cap: f64,
}

impl Budget {
    /// Makes a budget that holds `start` uses.
    pub fn new(start: f64) -> Self {
        Self {
            tokens: start.min(SAVED),
            cap: SAVED,
        }
    }

    /// Makes a full budget that saves up at most `cap` uses.
    pub fn capped(cap: f64) -> Self {
        Self { tokens: cap, cap }
    }

    /// A call was made: the budget grows by `ratio`.
    pub fn earn(&mut self, ratio: f64) {
        self.tokens = (self.tokens + ratio).min(self.cap);
    }

    /// Whether one use is left.
    pub fn has_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one use; false when none is left.
    pub fn spend(&mut self) -> bool {
        let allowed = self.has_one();
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

/// A delay with full jitter before retry number `attempt`, counted from 0.
pub fn backoff(base: Duration, attempt: u32, rng: &mut ChaCha8Rng) -> Duration {
    let most = base.saturating_mul(1 << attempt.min(16)).min(MAX_DELAY);
    most.mul_f64(rng.random_range(0.0..=1.0))
}

#[cfg(test)]
mod tests;
