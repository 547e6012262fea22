//! Budgets and backoff of retries and hedges.
//!
//! See [the design note](../docs/design/policy.md).

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The longest delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// The most uses that are saved up.
const MAX_USES: f64 = 10.0;

/// A budget that grows with calls, so that an outage does not multiply load.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Uses that are left.
    uses: f64,
}

impl Budget {
    /// Makes a budget that holds `start` uses.
    pub fn new(start: f64) -> Self {
        Self {
            uses: start.min(MAX_USES),
        }
    }

    /// Adds `ratio` uses for a call that was made.
    pub fn earn(&mut self, ratio: f64) {
        self.uses = (self.uses + ratio).min(MAX_USES);
    }

    /// Returns whether a use is left.
    pub fn is_available(&self) -> bool {
        self.uses >= 1.0
    }

    /// Takes one use; returns whether one was left.
    pub fn spend(&mut self) -> bool {
        let allowed = self.is_available();
        if allowed {
            self.uses -= 1.0;
        }
        allowed
    }
}

/// A delay with full jitter before retry number `retry`, counted from 0.
pub fn backoff(base: Duration, retry: u32, rng: &mut ChaCha8Rng) -> Duration {
    let max_delay = base.saturating_mul(1 << retry.min(16)).min(MAX_BACKOFF);
    max_delay.mul_f64(rng.random_range(0.0..=1.0))
}

#[cfg(test)]
mod tests;
