//! Role changes: engines move between roles with the load, subject to hysteresis.

use std::time::Duration;

use indexmap::IndexMap;

use super::Engine;
use crate::clock::Time;
use crate::id;

event! {
    /// Limits on role changes.
    #[derive(Copy)]
    pub struct Limits {
        /// Minimum deviation from the wanted shares, from 0 to 1.
        pub hysteresis: f64,
        /// Minimum time between two changes in the pool.
        pub min_interval: Duration,
    }

    /// A change of role.
    pub struct Change {
        /// The engine.
        pub endpoint: id::Endpoint,
        /// Its address and port.
        pub address: String,
        /// Role to take.
        pub role: id::Name,
    }
}

/// Wanted share of the pool's engines for each role, from 0 to 1.
pub type Shares = IndexMap<id::Name, f64>;

/// Parses shares in percent, such as `prefill=40`; invalid ones are skipped.
pub fn parse_shares(names: &[id::Name]) -> Shares {
    let parsed = names.iter().filter_map(|text| {
        let (role, percent) = text.split_once('=')?;
        let percent: f64 = percent.trim().parse().ok()?;
        (percent >= 0.0).then(|| (role.trim().into(), percent / 100.0))
    });
    parsed.collect()
}

/// Balances the roles of one pool in one zone.
#[derive(Clone, Debug, Default)]
pub struct Rebalancer {
    changed_at: Option<Time>,
    smoothed_calls: IndexMap<id::Name, f64>,
}

/// Weight of the latest load in the moving average.
const LOAD_ALPHA: f64 = 0.1;

impl Rebalancer {
    /// Creates a rebalancer without known load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns at most one change; `shares` of operators take precedence over the load.
    pub fn tick(
        &mut self,
        engines: &[Engine],
        shares: &Shares,
        limits: Limits,
        now: Time,
    ) -> Option<Change> {
        let counts = count_roles(engines);
        self.update_load(engines, &counts);
        if counts.len() < 2 && shares.len() < 2 {
            return None;
        }
        if self
            .changed_at
            .is_some_and(|at| now < at + limits.min_interval)
        {
            return None;
        }
        let wanted = if shares.is_empty() {
            self.demanded_shares(&counts)
        } else {
            shares.clone()
        };
        let change = choose(engines, &counts, &wanted, limits.hysteresis)?;
        self.changed_at = Some(now);
        Some(change)
    }

    /// Updates the average of the calls that run and wait at each role.
    fn update_load(&mut self, engines: &[Engine], counts: &IndexMap<id::Name, usize>) {
        for role in counts.keys() {
            let calls: u32 = engines
                .iter()
                .filter(|e| role_of(e) == Some(role))
                .filter_map(|e| e.load.as_ref())
                .map(|l| l.running + l.waiting)
                .sum();
            let calls = f64::from(calls);
            let smoothed = self.smoothed_calls.entry(role.clone()).or_insert(calls);
            *smoothed += LOAD_ALPHA * (calls - *smoothed);
        }
        self.smoothed_calls
            .retain(|role, _| counts.contains_key(role));
    }

    fn demanded_shares(&self, counts: &IndexMap<id::Name, usize>) -> Shares {
        let total: f64 = self.smoothed_calls.values().sum();
        if total < 1.0 {
            let all: usize = counts.values().sum();
            let share = |n: &usize| *n as f64 / all.max(1) as f64;
            return counts.iter().map(|(r, n)| (r.clone(), share(n))).collect();
        }
        let share = |calls: &f64| calls / total;
        let smoothed = self.smoothed_calls.iter();
        smoothed
            .map(|(r, calls)| (r.clone(), share(calls)))
            .collect()
    }
}

fn role_of(engine: &Engine) -> Option<&id::Name> {
    engine.state.as_ref().and_then(|s| s.role.as_ref())
}

fn count_roles(engines: &[Engine]) -> IndexMap<id::Name, usize> {
    let mut counts = IndexMap::new();
    for role in engines
        .iter()
        .filter(|e| e.is_healthy())
        .filter_map(role_of)
    {
        *counts.entry(role.clone()).or_insert(0) += 1;
    }
    counts
}

/// Moves the least loaded engine of the role with most surplus to the one with most deficit.
fn choose(
    engines: &[Engine],
    counts: &IndexMap<id::Name, usize>,
    wanted: &Shares,
    hysteresis: f64,
) -> Option<Change> {
    let all = counts.values().sum::<usize>() as f64;
    let count_of = |role: &id::Name| counts.get(role).copied().unwrap_or(0) as f64;
    let deficit = |role: &id::Name, share: f64| share * all - count_of(role);
    let (to, to_deficit) = wanted
        .iter()
        .map(|(role, share)| (role, deficit(role, *share)))
        .max_by(|a, b| a.1.total_cmp(&b.1))?;
    let (from, from_deficit) = counts
        .keys()
        .map(|role| {
            (
                role,
                deficit(role, wanted.get(role).copied().unwrap_or(0.0)),
            )
        })
        .min_by(|a, b| a.1.total_cmp(&b.1))?;
    // A change must bring both roles closer to their share, by more than the hysteresis.
    let gap = to_deficit.min(-from_deficit);
    let is_last = counts.get(from) == Some(&1) && wanted.get(from).is_some_and(|s| *s > 0.0);
    if from == to || gap < 1.0 || gap / all < hysteresis || is_last {
        return None;
    }
    let calls = |e: &Engine| e.load.as_ref().map_or(0, |l| l.running + l.waiting);
    let engine = engines
        .iter()
        .filter(|e| e.is_healthy() && role_of(e) == Some(from))
        .min_by_key(|e| calls(e))?;
    Some(Change {
        endpoint: engine.endpoint.clone(),
        address: engine.address.clone(),
        role: to.clone(),
    })
}
