//! Deadlines of stages: the remaining time of a request is split by learnt latencies.
//!
//! A stage may use all the time that later stages are not expected to need, so that it gets the
//! slack of the earlier ones. See [the design note](../../docs/design/policy.md).

use std::time::Duration;

use indexmap::IndexMap;

use super::latency::Histogram;
use crate::id;

/// Standard deviations that a prediction adds to the mean.
const DEVIATIONS: f64 = 1.0;
/// Quantile of the stages' latencies; a request with less time left is hopeless.
const OPTIMISTIC_QUANTILE: f64 = 0.05;
/// Weight of samples that a stage's distribution needs before it is used.
const MIN_WEIGHT: f32 = 8.0;

/// Learnt latencies of each stage of each pipeline.
#[derive(Debug, Default)]
pub struct Forecast {
    pipelines: IndexMap<id::Pipeline, Vec<Histogram>>,
}

impl Forecast {
    /// Adds the latency of a stage.
    pub fn record(&mut self, pipeline: &id::Pipeline, index: usize, latency: Duration) {
        let stages = self.pipelines.entry(pipeline.clone()).or_default();
        if stages.len() <= index {
            stages.resize_with(index + 1, Histogram::default);
        }
        stages[index].record(latency);
    }

    fn stages(&self, pipeline: &str, first: usize) -> &[Histogram] {
        let stages = self.pipelines.get(pipeline).map_or(&[][..], Vec::as_slice);
        stages.get(first..).unwrap_or(&[])
    }

    /// Returns the latency of a stage at quantile `q`; `None` while it has too few samples.
    pub fn quantile(&self, pipeline: &str, index: usize, q: f64) -> Option<Duration> {
        let stage = self.stages(pipeline, index).first()?;
        (stage.weight() >= MIN_WEIGHT)
            .then(|| stage.quantile(q))
            .flatten()
    }

    /// Returns the likely time of the stages from `first` on: mean plus one deviation of their sum.
    pub fn likely_time(&self, pipeline: &str, first: usize) -> Duration {
        let stages = self.stages(pipeline, first);
        let mean: f64 = stages.iter().map(Histogram::mean).sum();
        let variance: f64 = stages.iter().map(Histogram::variance).sum();
        Duration::from_secs_f64(mean + DEVIATIONS * variance.sqrt())
    }

    /// Returns the mean time of the stages from `first` on.
    pub fn mean_time(&self, pipeline: &str, first: usize) -> Duration {
        let mean = self
            .stages(pipeline, first)
            .iter()
            .map(Histogram::mean)
            .sum();
        Duration::from_secs_f64(mean)
    }

    /// Returns the least time that the stages from `first` on can be expected to take.
    pub fn min_time(&self, pipeline: &str, first: usize) -> Duration {
        self.stages(pipeline, first)
            .iter()
            .filter(|s| s.weight() >= MIN_WEIGHT)
            .filter_map(|s| s.quantile(OPTIMISTIC_QUANTILE))
            .sum()
    }

    /// Returns how long stage `index` may take if `remaining` is left for it and all later stages.
    pub fn allowance(&self, pipeline: &str, index: usize, remaining: Duration) -> Duration {
        remaining.saturating_sub(self.min_time(pipeline, index + 1))
    }
}

#[cfg(test)]
mod tests;
