//! Deadlines over stages: the remaining time is split by learnt latencies.
//!
//! A stage may use all the time that the stages after it are not expected to need, so that it
//! inherits the slack of those before. See [the design note](../../docs/design/policy.md).

use std::time::Duration;

use indexmap::IndexMap;

use super::latency::Histogram;
use crate::id;

/// Standard deviations added to the mean when a need is predicted.
const DEVIATIONS: f64 = 1.0;
/// The quantile below which a request counts as hopeless.
const OPTIMISTIC: f64 = 0.05;
/// Samples before a stage's distribution is trusted.
const TRUSTED: f32 = 8.0;

/// Learnt latencies of each stage of each pipeline.
#[derive(Debug, Default)]
pub struct Forecast {
    pipelines: IndexMap<id::Pipeline, Vec<Histogram>>,
}

impl Forecast {
    /// Learns how long a stage took.
    pub fn record(&mut self, pipeline: &id::Pipeline, index: usize, latency: Duration) {
        let stages = self.pipelines.entry(pipeline.clone()).or_default();
        if stages.len() <= index {
            stages.resize_with(index + 1, Histogram::default);
        }
        stages[index].record(latency);
    }

    fn stages(&self, pipeline: &str, from: usize) -> &[Histogram] {
        let stages = self.pipelines.get(pipeline).map_or(&[][..], Vec::as_slice);
        stages.get(from..).unwrap_or(&[])
    }

    /// The latency of one stage at a quantile; none until it is trusted.
    pub fn quantile(&self, pipeline: &str, index: usize, q: f64) -> Option<Duration> {
        let stage = self.stages(pipeline, index).first()?;
        (stage.weight() >= TRUSTED)
            .then(|| stage.quantile(q))
            .flatten()
    }

    /// What the stages from `from` on are likely to need: mean and one deviation of their sum.
    pub fn need(&self, pipeline: &str, from: usize) -> Duration {
        let stages = self.stages(pipeline, from);
        let mean: f64 = stages.iter().map(Histogram::mean).sum();
        let variance: f64 = stages.iter().map(Histogram::variance).sum();
        Duration::from_secs_f64(mean + DEVIATIONS * variance.sqrt())
    }

    /// What the stages from `from` on need on average.
    pub fn mean(&self, pipeline: &str, from: usize) -> Duration {
        let mean = self
            .stages(pipeline, from)
            .iter()
            .map(Histogram::mean)
            .sum();
        Duration::from_secs_f64(mean)
    }

    /// The least that the stages from `from` on can be expected to need.
    pub fn least(&self, pipeline: &str, from: usize) -> Duration {
        self.stages(pipeline, from)
            .iter()
            .filter(|s| s.weight() >= TRUSTED)
            .filter_map(|s| s.quantile(OPTIMISTIC))
            .sum()
    }

    /// How long stage `index` may take when `remaining` is left for it and all after it.
    pub fn allowance(&self, pipeline: &str, index: usize, remaining: Duration) -> Duration {
        remaining.saturating_sub(self.least(pipeline, index + 1))
    }
}

#[cfg(test)]
mod tests;
