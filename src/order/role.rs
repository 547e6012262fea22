//! Role changes: engines follow the load among the stages, with hysteresis.

use std::time::Duration;

use indexmap::IndexMap;

use super::Engine;
use crate::clock::Time;
use crate::id;

event! {
    /// When an engine may change its role.
    #[derive(Copy)]
    pub struct Limits {
        /// How far the shares must be off before an engine changes.
        pub hysteresis: f64,
        /// The least time between two changes in the pool.
        pub min_interval: Duration,
    }

    /// A change of role.
    pub struct Change {
        /// The engine.
        pub endpoint: id::Endpoint,
        /// Its address and port.
        pub address: String,
        /// The role to play.
        pub role: id::Name,
    }
}

/// The share of a pool's engines that each role shall have, from 0 to 1.
pub type Shares = IndexMap<id::Name, f64>;

/// Reads shares as operators write them, such as `prefill=40`.
pub fn parse_shares(names: &[id::Name]) -> Shares {
    let parsed = names.iter().filter_map(|text| {
        let (role, percent) = text.split_once('=')?;
        let percent: f64 = percent.trim().parse().ok()?;
        (percent >= 0.0).then(|| (role.trim().into(), percent / 100.0))
    });
    parsed.collect()
}

/// The roles of one pool in one zone.
#[derive(Clone, Debug, Default)]
pub struct Rebalancer {
    changed_at: Option<Time>,
    smoothed_calls: IndexMap<id::Name, f64>,
}

/// Weight of the newest reading of the load.
const SMOOTHING: f64 = 0.1;

impl Rebalancer {
    /// Starts with no load known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on at most one change; `shares` of operators go before the load.
    pub fn tick(
        &mut self,
        units: &[Engine],
        shares: &Shares,
        rule: Limits,
        now: Time,
    ) -> Option<Change> {
        let counts = count(units);
        self.update_load(units, &counts);
        if counts.len() < 2 && shares.len() < 2 {
            return None;
        }
        if self
            .changed_at
            .is_some_and(|at| now < at + rule.min_interval)
        {
            return None;
        }
        let wanted = if shares.is_empty() {
            self.demanded_shares(&counts)
        } else {
            shares.clone()
        };
        let change = choose(units, &counts, &wanted, rule.hysteresis)?;
        self.changed_at = Some(now);
        Some(change)
    }

    /// Smooths the calls that run and wait at each role.
    fn update_load(&mut self, units: &[Engine], counts: &IndexMap<id::Name, usize>) {
        for role in counts.keys() {
            let calls: u32 = units
                .iter()
                .filter(|u| role_of(u) == Some(role))
                .filter_map(|u| u.load.as_ref())
                .map(|l| l.running + l.waiting)
                .sum();
            let calls = f64::from(calls);
            let smooth = self.smoothed_calls.entry(role.clone()).or_insert(calls);
            *smooth += SMOOTHING * (calls - *smooth);
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
        let smooth = self.smoothed_calls.iter();
        smooth.map(|(r, calls)| (r.clone(), share(calls))).collect()
    }
}

fn role_of(unit: &Engine) -> Option<&id::Name> {
    unit.state.as_ref().and_then(|s| s.role.as_ref())
}

fn count(units: &[Engine]) -> IndexMap<id::Name, usize> {
    let mut counts = IndexMap::new();
    for role in units.iter().filter(|u| u.is_healthy()).filter_map(role_of) {
        *counts.entry(role.clone()).or_insert(0) += 1;
    }
    counts
}

/// Moves the least loaded engine from the role that has most too many to the one most short.
fn choose(
    units: &[Engine],
    counts: &IndexMap<id::Name, usize>,
    wanted: &Shares,
    hysteresis: f64,
) -> Option<Change> {
    let all = counts.values().sum::<usize>() as f64;
    let have = |role: &id::Name| counts.get(role).copied().unwrap_or(0) as f64;
    let short = |role: &id::Name, share: f64| share * all - have(role);
    let (to, lack) = wanted
        .iter()
        .map(|(role, share)| (role, short(role, *share)))
        .max_by(|a, b| a.1.total_cmp(&b.1))?;
    let (from, lacking) = counts
        .keys()
        .map(|role| (role, short(role, wanted.get(role).copied().unwrap_or(0.0))))
        .min_by(|a, b| a.1.total_cmp(&b.1))?;
    // A change helps only when it brings both sides closer, and by more than the hysteresis.
    let gap = lack.min(-lacking);
    let is_last = counts.get(from) == Some(&1) && wanted.get(from).is_some_and(|s| *s > 0.0);
    if from == to || gap < 1.0 || gap / all < hysteresis || is_last {
        return None;
    }
    let calls = |u: &Engine| u.load.as_ref().map_or(0, |l| l.running + l.waiting);
    let unit = units
        .iter()
        .filter(|u| u.is_healthy() && role_of(u) == Some(from))
        .min_by_key(|u| calls(u))?;
    Some(Change {
        endpoint: unit.endpoint.clone(),
        address: unit.address.clone(),
        role: to.clone(),
    })
}
