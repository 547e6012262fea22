//! Deadlines of stages: the remaining time is split by learnt latencies.
//!
//! A stage may use all the time that later stages are not expected to need, so that it gets the
//! slack of the earlier ones. See [the design note](../../docs/design/policy.md).

use std::time::Duration;

use indexmap::IndexMap;

use super::latency::Histogram;
use crate::id;

/// Standard deviations that a prediction adds to the mean.
const LIKELY_TIME_DEVIATIONS: f64 = 1.0;
/// Quantile of the latencies below which a request counts as hopeless.
const OPTIMISTIC_QUANTILE: f64 = 0.05;
/// Weight of samples before a stage's distribution is used.
const MIN_SAMPLE_WEIGHT: f32 = 8.0;

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

    /// The latency of one stage at a quantile; `None` while samples are few.
    pub fn quantile(&self, pipeline: &str, index: usize, q: f64) -> Option<Duration> {
        let stage = self.stages(pipeline, index).first()?;
        (stage.weight() >= MIN_SAMPLE_WEIGHT)
            .then(|| stage.quantile(q))
            .flatten()
    }

    /// The likely time of the stages from `first` on: mean and one deviation of their sum.
    pub fn likely_time(&self, pipeline: &str, first: usize) -> Duration {
        let stages = self.stages(pipeline, first);
        let mean: f64 = stages.iter().map(Histogram::mean).sum();
        let variance: f64 = stages.iter().map(Histogram::variance).sum();
        Duration::from_secs_f64(mean + LIKELY_TIME_DEVIATIONS * variance.sqrt())
    }

    /// The mean time of the stages from `first` on.
    pub fn mean_time(&self, pipeline: &str, first: usize) -> Duration {
        let mean = self
            .stages(pipeline, first)
            .iter()
            .map(Histogram::mean)
            .sum();
        Duration::from_secs_f64(mean)
    }

    /// The least time that the stages from `first` on may be expected to take.
    pub fn min_time(&self, pipeline: &str, first: usize) -> Duration {
        self.stages(pipeline, first)
            .iter()
            .filter(|s| s.weight() >= MIN_SAMPLE_WEIGHT)
            .filter_map(|s| s.quantile(OPTIMISTIC_QUANTILE))
            .sum()
    }

    /// How long stage `index` may take when `remaining` is left for it and all after it.
    pub fn allowance(&self, pipeline: &str, index: usize, remaining: Duration) -> Duration {
        remaining.saturating_sub(self.min_time(pipeline, index + 1))
    }
}

#[cfg(test)]
mod tests;
