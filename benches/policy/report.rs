//! What a run of the driver is measured by.

use std::time::Duration;

use cyclamenrill::clock::Time;
use indexmap::{IndexMap, IndexSet};

use super::deployment::{Arrival, LOAD};
use super::scenario::Name;

/// Where the goodput of steady load begins to be counted.
const WARM: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests that count.
    pub offered: u32,
    /// Of them, answered whole within their deadline.
    pub attained: u32,
    /// Refused at the door.
    pub refused: u32,
    pub latencies: Vec<Duration>,
    /// Generations answered in time between the warm-up and the end of load; the other plans do
    /// not pass the bottleneck.
    pub good: u32,
    pub calls: u32,
    pub hedges: u32,
    pub retries: u32,
    pub moves: u32,
    pub engine: Duration,
    pub wasted: Duration,
    pub prefill: u64,
    pub tokens: u64,
    pub link_bytes: u64,
    /// Invariants that did not hold.
    pub broken: Vec<&'static str>,
    /// Why requests were not answered, and how many.
    pub reasons: IndexMap<String, u32>,
    once: IndexSet<usize>,
    store: Vec<(Time, bool)>,
}

impl Outcome {
    fn is_counted(&self, arrival: &Arrival, scenario: Name) -> bool {
        // Without the store nothing that needs a claim can run, whatever the policy.
        let needs_store = scenario == Name::StoreDown && !arrival.plan.is_repeatable();
        arrival.counts && !needs_store
    }

    pub fn offered(&mut self, arrival: &Arrival, scenario: Name) {
        if self.is_counted(arrival, scenario) {
            self.offered += 1;
        }
    }

    pub fn finished(&mut self, arrival: &Arrival, scenario: Name, at: Time, in_time: bool) {
        if !in_time {
            return;
        }
        if self.is_counted(arrival, scenario) {
            self.attained += 1;
            self.latencies.push(at - arrival.at);
        }
        let generates = arrival.plan.stages.iter().any(|s| s.generates);
        if generates && at > WARM && at <= LOAD {
            self.good += 1;
        }
    }

    pub fn blame(&mut self, reason: &str) {
        let text: String = reason.chars().filter(|c| !c.is_ascii_digit()).collect();
        *self.reasons.entry(text).or_default() += 1;
    }

    pub fn store_down(&mut self, at: Time, is_up: bool) {
        self.store.push((at, is_up));
    }

    /// A stage that may not be repeated began for a request.
    pub fn ran_once(&mut self, request: usize) {
        if !self.once.insert(request) {
            self.broken
                .push("a stage that may not be repeated ran twice");
        }
    }

    pub fn attainment(&self) -> f64 {
        f64::from(self.attained) / f64::from(self.offered.max(1))
    }

    pub fn misses(&self) -> u32 {
        self.offered - self.attained
    }

    /// Generations answered in time a second.
    pub fn goodput(&self) -> f64 {
        f64::from(self.good) / (LOAD - WARM).as_secs_f64()
    }

    pub fn waste(&self) -> f64 {
        self.wasted.as_secs_f64() / self.engine.as_secs_f64().max(1e-9)
    }

    pub fn hedge_share(&self) -> f64 {
        f64::from(self.hedges) / f64::from(self.calls.max(1))
    }

    pub fn quantile(&mut self, q: f64) -> Duration {
        self.latencies.sort();
        let at = (self.latencies.len() as f64 * q) as usize;
        let at = at.min(self.latencies.len().saturating_sub(1));
        self.latencies.get(at).copied().unwrap_or_default()
    }

    pub fn json(&mut self) -> serde_json::Value {
        let (p50, p99) = (self.quantile(0.5), self.quantile(0.99));
        serde_json::json!({
            "offered": self.offered,
            "attainment": self.attainment(),
            "p50-ms": p50.as_millis() as u64,
            "p99-ms": p99.as_millis() as u64,
            "engine-s": self.engine.as_secs_f64(),
            "tokens": self.tokens,
            "prefill-tokens": self.prefill,
            "link-bytes": self.link_bytes,
            "wasted": self.waste(),
            "goodput": self.goodput(),
            "hedges": self.hedge_share(),
            "retries": self.retries,
            "refused": self.refused,
            "moves": self.moves,
            "broken": self.broken.len(),
        })
    }
}
