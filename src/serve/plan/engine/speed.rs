//! How long engines of a service take to the first byte, learned from their answers.

use std::time::Duration;

/// The time to the first byte without reading the prompt, until it is learned.
const INITIAL_BASE_MS: f64 = 40.0;
/// The time to read a thousand prompt tokens, until it is learned.
const INITIAL_READ_MS_PER_K: f64 = 20.0;
/// The limits of the learned time to read a thousand prompt tokens.
const READ_MS_PER_K_RANGE: (f64, f64) = (1.0, 500.0);
/// The weight of a new sample, from 0 to 1.
const LEARNING_RATE: f64 = 0.05;
/// The most that one sample counts, as a multiple of the expected time: a request at a failing engine
/// may take any time.
const MAX_SAMPLE_RATIO: f64 = 2.0;

/// The time to the first byte as a linear function of the prompt tokens that are read. It follows the
/// samples by normalized least mean squares, so it adapts when models are replaced.
#[derive(Clone, Debug)]
pub struct Speed {
    base_ms: f64,
    read_ms_per_k: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            base_ms: INITIAL_BASE_MS,
            read_ms_per_k: INITIAL_READ_MS_PER_K,
        }
    }
}

impl Speed {
    /// Returns the time to read some prompt tokens.
    pub fn read_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(self.read_ms_per_k * tokens as f64 / 1e6)
    }

    /// Returns the time to the first byte besides reading the prompt and waiting for others.
    pub fn base(&self) -> Duration {
        Duration::from_secs_f64(self.base_ms / 1000.0)
    }

    /// Records a request that found an engine with no other prompt to read.
    pub fn record(&mut self, tokens: u64, took: Duration) {
        let thousands = tokens as f64 / 1000.0;
        let expected = self.base_ms + self.read_ms_per_k * thousands;
        let took = (took.as_secs_f64() * 1000.0).min(expected * MAX_SAMPLE_RATIO);
        let step = LEARNING_RATE * (took - expected) / (1.0 + thousands * thousands);
        self.base_ms = (self.base_ms + step).max(1.0);
        let (least, most) = READ_MS_PER_K_RANGE;
        self.read_ms_per_k = (self.read_ms_per_k + step * thousands).clamp(least, most);
    }
}

#[cfg(test)]
mod tests;
