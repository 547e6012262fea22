//! What came of a load: outcomes, rate, and latency from the intended start.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use super::call::{Outcome, Reply};

/// The longest latency that a histogram tells apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Significant decimal digits of a histogram.
const DIGITS: u8 = 3;

/// Latencies, in microseconds.
#[derive(Clone, Debug)]
pub struct Latency {
    histogram: Option<Histogram<u64>>,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            histogram: Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).ok(),
        }
    }
}

impl Latency {
    /// Adds one.
    pub fn add(&mut self, latency: Duration) {
        if let Some(histogram) = &mut self.histogram {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROS);
            histogram.saturating_record(micros.max(1));
        }
    }

    /// Returns the latency that `share` of all do not exceed, in milliseconds; 0 if there are none.
    pub fn millis_at(&self, share: f64) -> f64 {
        let histogram = self.histogram.as_ref().filter(|h| !h.is_empty());
        let micros = histogram.map_or(0, |h| h.value_at_quantile(share));
        Duration::from_micros(micros).as_secs_f64() * 1e3
    }

    /// Returns the usual quantiles.
    pub fn summary(&self) -> Summary {
        Summary {
            p50_ms: self.millis_at(0.5),
            p90_ms: self.millis_at(0.9),
            p99_ms: self.millis_at(0.99),
            max_ms: self.millis_at(1.0),
        }
    }
}

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Half do not exceed it.
    pub p50_ms: f64,
    /// 90 in 100 do not exceed it.
    pub p90_ms: f64,
    /// 99 in 100 do not exceed it.
    pub p99_ms: f64,
    /// None exceeds it.
    pub max_ms: f64,
}

/// One request.
#[derive(Debug)]
pub struct Sample {
    /// Time from the intended start to the end.
    pub latency: Duration,
    /// Whether that was within the timeout.
    pub in_time: bool,
    /// What came of it.
    pub reply: Reply,
}

/// What came of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests that were due.
    pub requests: u64,
    /// Requests a second, over the whole run.
    pub rate: f64,
    /// Answers.
    pub answered: u64,
    /// Answers within the timeout.
    pub attained: u64,
    /// Requests that were told `not-run`.
    pub not_run: u64,
    /// Requests that were told `unknown`.
    pub unknown: u64,
    /// Requests that were told `failed`.
    pub failed: u64,
    /// Requests whose connection broke or that got no whole answer.
    pub cut: u64,
    /// Requests of which no byte was sent.
    pub not_sent: u64,
    /// Latency of answers.
    pub latency: Summary,
    /// Time to the first token of streamed answers.
    pub first_token: Summary,
    /// Time between tokens of streamed answers.
    pub token_gap: Summary,
    /// Why there was no answer, and how often.
    pub reasons: IndexMap<String, u64>,
}

impl Report {
    /// Sums up samples of a run that took `elapsed`.
    pub fn of(samples: impl Iterator<Item = Sample>, elapsed: Duration) -> Self {
        let mut sum = Sum::default();
        for sample in samples {
            sum.add(&sample);
        }
        sum.report(elapsed)
    }

    /// Returns one JSON line.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

#[derive(Default)]
struct Sum {
    outcomes: IndexMap<Outcome, u64>,
    reasons: IndexMap<String, u64>,
    requests: u64,
    attained: u64,
    latency: Latency,
    first_token: Latency,
    token_gap: Latency,
}

impl Sum {
    fn add(&mut self, sample: &Sample) {
        self.requests += 1;
        let reply = &sample.reply;
        *self.outcomes.entry(reply.outcome).or_default() += 1;
        if reply.outcome == Outcome::Answered {
            self.attained += u64::from(sample.in_time);
            self.latency.add(sample.latency);
        }
        if let Some(reason) = reply.reason() {
            *self.reasons.entry(reason).or_default() += 1;
        }
        if let Some(first) = reply.first_token {
            self.first_token.add(first);
        }
        for gap in &reply.gaps {
            self.token_gap.add(*gap);
        }
    }

    fn report(&self, elapsed: Duration) -> Report {
        let count = |outcome| self.outcomes.get(&outcome).copied().unwrap_or(0);
        let requests = f64::from(u32::try_from(self.requests).unwrap_or(u32::MAX));
        Report {
            requests: self.requests,
            rate: requests / elapsed.as_secs_f64().max(f64::EPSILON),
            answered: count(Outcome::Answered),
            attained: self.attained,
            not_run: count(Outcome::NotRun),
            unknown: count(Outcome::Unknown),
            failed: count(Outcome::Failed),
            cut: count(Outcome::Cut),
            not_sent: count(Outcome::NotSent),
            latency: self.latency.summary(),
            first_token: self.first_token.summary(),
            token_gap: self.token_gap.summary(),
            reasons: self.reasons.clone(),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "p50 {:.1} ms, p90 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
            self.p50_ms, self.p90_ms, self.p99_ms, self.max_ms
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "requests    {} ({:.1} a second)",
            self.requests, self.rate
        )?;
        writeln!(
            f,
            "answered    {}, {} within the timeout",
            self.answered, self.attained
        )?;
        writeln!(
            f,
            "not run     {}, unknown {}, failed {}, cut {}, not sent {}",
            self.not_run, self.unknown, self.failed, self.cut, self.not_sent
        )?;
        writeln!(f, "latency     {}", self.latency)?;
        if self.first_token.max_ms > 0.0 {
            writeln!(f, "first token {}", self.first_token)?;
            writeln!(f, "token gap   {}", self.token_gap)?;
        }
        for (reason, count) in &self.reasons {
            writeln!(f, "{count:>6} x {reason}")?;
        }
        Ok(())
    }
}
