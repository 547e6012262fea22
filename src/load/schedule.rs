//! When requests start: a Poisson process, with bursts if wanted.

use std::time::Duration;

use rand::distr::Distribution;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp;

/// Periods in which the rate is higher.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Time from one burst to the next.
    pub every: Duration,
    /// How long each lasts.
    pub length: Duration,
    /// How many times the rate is.
    pub factor: f64,
}

/// A seeded Poisson process.
#[derive(Clone, Debug)]
pub struct Schedule {
    rate: f64,
    length: Duration,
    seed: u64,
    burst: Option<Burst>,
}

impl Schedule {
    /// Makes a process of `rate` arrivals a second that ends after `length`.
    pub fn new(rate: f64, length: Duration, seed: u64) -> Self {
        Self {
            rate,
            length,
            seed,
            burst: None,
        }
    }

    /// Adds bursts.
    pub fn burst(mut self, burst: Burst) -> Self {
        self.burst = Some(burst);
        self
    }

    fn factor(&self, at: Duration) -> f64 {
        let Some(burst) = self.burst else {
            return 1.0;
        };
        let phase = at.as_secs_f64() % burst.every.as_secs_f64();
        if phase < burst.length.as_secs_f64() {
            burst.factor
        } else {
            1.0
        }
    }

    /// Returns the arrivals in order, counted from the start.
    ///
    /// They are drawn at the highest rate and thinned to the rate of their moment.
    pub fn arrivals(&self) -> Vec<Duration> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let highest = self.burst.map_or(1.0, |b| b.factor.max(1.0));
        let Ok(gaps) = Exp::new(self.rate * highest) else {
            return Vec::new();
        };
        let mut arrivals = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_secs_f64(gaps.sample(&mut rng));
            if at >= self.length {
                return arrivals;
            }
            let keep: f64 = rng.random();
            if keep * highest < self.factor(at) {
                arrivals.push(at);
            }
        }
    }
}

#[cfg(test)]
mod tests;
