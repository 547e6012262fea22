//! The choice among the endpoints of a pool.
//!
//! It is the better of two random ones by score: sampling keeps daemons that see the same late
//! report from all choosing the same endpoint.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::affinity::Index;
use super::entry::Entry;
use super::table::{Members, Table};
use crate::clock::Time;
use crate::policy::Attempt;

/// Random tries at finding an eligible endpoint before all are searched.
const SAMPLE_TRIES: usize = 6;
/// Latency assumed for an endpoint of which nothing is known.
const DEFAULT_LATENCY_SECONDS: f64 = 0.05;
/// Factor on the score of an endpoint in another availability zone: when most daemons keep to
/// their zone, fewer share an endpoint and each knows more of its load.
const OTHER_ZONE_FACTOR: f64 = 1.3;
/// Share of the remaining time that a failure costs a call that may be repeated.
const REPEATABLE_LOSS_SHARE: f64 = 0.3;
/// Delay added for an endpoint in another availability zone.
const OTHER_ZONE_DELAY_SECONDS: f64 = 0.003;

/// The input of a choice.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The attempt.
    pub attempt: &'a Attempt,
    /// Prefix affinity, if it is used.
    pub affinity: Option<&'a Index>,
    /// Duration of the slow start of new endpoints.
    pub slow_start: Duration,
    /// Whether ejected endpoints are eligible, because no others are.
    pub allows_ejected: bool,
    /// Whether two random endpoints are compared; otherwise one is taken.
    pub compares: bool,
}

/// An endpoint that was chosen.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// The endpoint.
    pub entry: &'a Entry,
    /// Estimated seconds until an answer, with penalties for other zones and failures.
    pub score: f64,
}

impl Table {
    fn is_eligible(
        &self,
        entry: &Entry,
        members: &Members,
        criteria: &Criteria<'_>,
        now: Time,
    ) -> bool {
        let attempt = criteria.attempt;
        let name = &entry.candidate.endpoint;
        if entry.candidate.leaving || entry.has_suspect {
            return false;
        }
        if attempt.exclude.contains(name) {
            return false;
        }
        if entry.breaker.is_ejected() && !criteria.allows_ejected && !entry.may_probe(attempt, now)
        {
            return false;
        }
        if members.has_versions && entry.lacks_model() == Some(true) {
            return false;
        }
        attempt
            .version
            .as_ref()
            .is_none_or(|v| entry.has_version(v))
    }

    /// Computes [`Choice::score`].
    fn score(&self, entry: &Entry, members: &Members, criteria: &Criteria<'_>, now: Time) -> f64 {
        let peers = members.median.unwrap_or(DEFAULT_LATENCY_SECONDS);
        let latency = entry.expected_latency(peers, now);
        let mut work = entry.load(now) + 1.0;
        if let Some(index) = criteria.affinity {
            let share = index.share(&entry.candidate.endpoint, &criteria.attempt.prefixes);
            work -= share * index.saving();
        }
        let (factor, delay) = if entry.candidate.zone == self.zone {
            (1.0, 0.0)
        } else {
            (OTHER_ZONE_FACTOR, OTHER_ZONE_DELAY_SECONDS)
        };
        let wait =
            work * latency * factor / entry.slow_start_share(criteria.slow_start, now) + delay;
        wait + entry.failure_risk(now) * failure_cost(criteria.attempt, now)
    }

    fn scored<'a>(
        &self,
        entry: &'a Entry,
        members: &Members,
        criteria: &Criteria<'_>,
        now: Time,
    ) -> Choice<'a> {
        let score = self.score(entry, members, criteria, now);
        Choice { entry, score }
    }

    /// Chooses an endpoint in the local region.
    pub fn choose(
        &self,
        criteria: &Criteria<'_>,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Option<Choice<'_>> {
        let members = self.members(&criteria.attempt.pool)?;
        let mut best = Best::default();
        let lists = [&members.zone, &members.region];
        for list in lists {
            let samples = if criteria.compares { 2 } else { 1 };
            for _ in 0..samples {
                let found = self.sample(list, members, criteria, now, rng);
                best.consider(found.map(|e| self.scored(e, members, criteria, now)));
            }
            if !criteria.compares && best.choice.is_some() {
                break;
            }
        }
        if let Some(index) = criteria.affinity {
            for name in index.holders(&criteria.attempt.prefixes) {
                let found = self.get(name).filter(|e| {
                    (self.is_single_region || e.candidate.region == self.region)
                        && self.is_eligible(e, members, criteria, now)
                });
                best.consider(found.map(|e| self.scored(e, members, criteria, now)));
            }
        }
        best.choice
    }

    /// Chooses an endpoint in another region.
    pub fn choose_far(
        &self,
        criteria: &Criteria<'_>,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Option<Choice<'_>> {
        let members = self.members(&criteria.attempt.pool)?;
        let mut best = Best::default();
        for _ in 0..2 {
            let found = self.sample(&members.far, members, criteria, now, rng);
            best.consider(found.map(|e| self.scored(e, members, criteria, now)));
        }
        best.choice
    }

    /// A random eligible endpoint of a list, or the first eligible one if the tries find none.
    fn sample(
        &self,
        list: &[usize],
        members: &Members,
        criteria: &Criteria<'_>,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Option<&Entry> {
        if list.is_empty() {
            return None;
        }
        for _ in 0..SAMPLE_TRIES {
            let index = rng.random_range(0..list.len());
            let entry = self.entry(list[index])?;
            if self.is_eligible(entry, members, criteria, now) {
                return Some(entry);
            }
        }
        list.iter()
            .filter_map(|i| self.entry(*i))
            .find(|e| self.is_eligible(e, members, criteria, now))
    }
}

/// Seconds that a failed call costs: all that is left if it may not be repeated.
fn failure_cost(attempt: &Attempt, now: Time) -> f64 {
    let remaining = attempt.deadline.saturating_sub(now).as_secs_f64();
    if attempt.repeatable {
        remaining * REPEATABLE_LOSS_SHARE
    } else {
        remaining
    }
}

#[derive(Default)]
struct Best<'a> {
    choice: Option<Choice<'a>>,
}

impl<'a> Best<'a> {
    fn consider(&mut self, found: Option<Choice<'a>>) {
        let Some(found) = found else {
            return;
        };
        if self.choice.is_none_or(|c| found.score < c.score) {
            self.choice = Some(found);
        }
    }
}
