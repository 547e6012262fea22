//! Latency statistics in which older samples weigh less.

use std::time::Duration;

/// Buckets of a histogram.
const BUCKETS: usize = 64;
/// Upper bound of the first bucket.
const FIRST_BOUND: Duration = Duration::from_micros(100);
/// Ratio between the bounds of neighbouring buckets.
const BOUND_RATIO: f64 = 1.25;
/// Total weight at which all weights are halved, so that a shift is learnt in as many samples.
const MAX_TOTAL_WEIGHT: f32 = 256.0;

/// A histogram of latencies, with mean and variance.
#[derive(Clone, Debug)]
pub struct Histogram {
    weights: [f32; BUCKETS],
    total: f32,
    /// Weighted sum of the samples in seconds.
    sum: f64,
    /// Weighted sum of their squares in seconds squared.
    squares: f64,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            total: 0.0,
            sum: 0.0,
            squares: 0.0,
        }
    }
}

impl Histogram {
    /// Adds a sample.
    pub fn record(&mut self, latency: Duration) {
        if self.total >= MAX_TOTAL_WEIGHT {
            self.halve();
        }
        let seconds = latency.as_secs_f64();
        self.weights[bucket(latency)] += 1.0;
        self.total += 1.0;
        self.sum += seconds;
        self.squares += seconds * seconds;
    }

    fn halve(&mut self) {
        for weight in &mut self.weights {
            *weight *= 0.5;
        }
        self.total *= 0.5;
        self.sum *= 0.5;
        self.squares *= 0.5;
    }

    /// The total weight of the samples, at most 256.
    pub fn weight(&self) -> f32 {
        self.total
    }

    /// The mean in seconds; 0 before the first sample.
    pub fn mean(&self) -> f64 {
        if self.total > 0.0 {
            self.sum / f64::from(self.total)
        } else {
            0.0
        }
    }

    /// The variance in seconds squared.
    pub fn variance(&self) -> f64 {
        if self.total > 0.0 {
            let mean = self.mean();
            (self.squares / f64::from(self.total) - mean * mean).max(0.0)
        } else {
            0.0
        }
    }

    /// The upper bound of the bucket of quantile `q`; `None` before the first sample.
    pub fn quantile(&self, q: f64) -> Option<Duration> {
        if self.total <= 0.0 {
            return None;
        }
        let target = q * f64::from(self.total);
        let mut seen = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            seen += f64::from(*weight);
            if seen >= target {
                return Some(bound(index));
            }
        }
        Some(bound(BUCKETS - 1))
    }
}

fn bucket(latency: Duration) -> usize {
    let ratio = latency.as_secs_f64() / FIRST_BOUND.as_secs_f64();
    if ratio <= 1.0 {
        return 0;
    }
    let index = (ratio.ln() / BOUND_RATIO.ln()).ceil();
    (index as usize).min(BUCKETS - 1)
}

fn bound(index: usize) -> Duration {
    let exponent = i32::try_from(index).unwrap_or(i32::MAX);
    FIRST_BOUND.mul_f64(BOUND_RATIO.powi(exponent))
}

/// An exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    /// Adds a sample with weight `alpha`, or more while samples are few.
    pub fn record(&mut self, sample: f64, alpha: f64) {
        self.samples = self.samples.saturating_add(1);
        let alpha = alpha.max(1.0 / f64::from(self.samples));
        self.value += alpha * (sample - self.value);
    }

    /// The mean; `None` before the first sample.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    /// How many samples were added.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}

#[cfg(test)]
mod tests;
