//! The choice among the endpoints of a pool.
//!
//! The choice is by power of two choices over a score: random sampling keeps daemons that see
//! the same late report from all choosing the same endpoint.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::affinity::Index;
use super::entry::Entry;
use super::table::{Members, Table};
use crate::clock::Time;
use crate::policy::Attempt;

/// Tries at finding an eligible endpoint by chance before all are looked at.
const TRIES: usize = 6;
/// Latency taken for an endpoint of which nothing is known, in seconds.
const UNKNOWN: f64 = 0.05;
/// Factor on the score of an endpoint in another availability zone: fewer daemons share an
/// endpoint when most keep to their zone, so that each knows more of its load.
const ZONE_FACTOR: f64 = 1.3;
/// Share of the remaining time that a failure costs where the call may be repeated.
const REPEAT_LOSS: f64 = 0.3;
/// Added for an endpoint in another availability zone of the region, in seconds.
const ZONE_DELAY: f64 = 0.003;

/// What a choice is made by.
#[derive(Clone, Copy, Debug)]
pub struct Rule<'a> {
    /// The stage.
    pub ask: &'a Attempt,
    /// Prefix affinity, when it is used.
    pub affinity: Option<&'a Index>,
    /// How long newcomers start slowly.
    pub slow_start: Duration,
    /// Whether ejected endpoints are taken as well, because no other is left.
    pub takes_ejected: bool,
    /// Whether two choices are compared; one is taken otherwise.
    pub compares: bool,
}

/// An endpoint that was chosen.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// The endpoint.
    pub entry: &'a Entry,
    /// Estimated seconds until an answer, plus what the choice costs others.
    pub score: f64,
}

impl Table {
    fn is_eligible(&self, entry: &Entry, members: &Members, rule: &Rule<'_>, now: Time) -> bool {
        let ask = rule.ask;
        let name = &entry.candidate.endpoint;
        if entry.candidate.leaving || entry.is_alone {
            return false;
        }
        if ask.exclude.contains(name) {
            return false;
        }
        if entry.breaker.is_ejected() && !rule.takes_ejected && !entry.may_probe(ask, now) {
            return false;
        }
        if members.has_versions && entry.lacks_model() == Some(true) {
            return false;
        }
        ask.version.as_ref().is_none_or(|v| entry.has_version(v))
    }

    /// Estimated seconds until an answer, plus what the choice costs others.
    fn score(&self, entry: &Entry, members: &Members, rule: &Rule<'_>, now: Time) -> f64 {
        let peers = members.median.unwrap_or(UNKNOWN);
        let latency = entry.latency_or(peers, now);
        let mut work = entry.load(now) + 1.0;
        if let Some(index) = rule.affinity {
            let share = index.share(&entry.candidate.endpoint, &rule.ask.prefixes);
            work -= share * index.worth();
        }
        let (factor, delay) = if entry.candidate.zone == self.zone {
            (1.0, 0.0)
        } else {
            (ZONE_FACTOR, ZONE_DELAY)
        };
        let wait = work * latency * factor / entry.share(rule.slow_start, now) + delay;
        wait + entry.risk(now) * loss(rule.ask, now)
    }

    fn scored<'a>(
        &self,
        entry: &'a Entry,
        members: &Members,
        rule: &Rule<'_>,
        now: Time,
    ) -> Choice<'a> {
        let score = self.score(entry, members, rule, now);
        Choice { entry, score }
    }

    /// Chooses an endpoint in the own region.
    pub fn choose(&self, rule: &Rule<'_>, now: Time, rng: &mut ChaCha8Rng) -> Option<Choice<'_>> {
        let members = self.members(&rule.ask.pool)?;
        let mut best = Best::default();
        let lists = [&members.zone, &members.region];
        for list in lists {
            let wanted = if rule.compares { 2 } else { 1 };
            for _ in 0..wanted {
                let found = self.sample(list, members, rule, now, rng);
                best.offer(found.map(|e| self.scored(e, members, rule, now)));
            }
            if !rule.compares && best.choice.is_some() {
                break;
            }
        }
        if let Some(index) = rule.affinity {
            for name in index.holders(&rule.ask.prefixes) {
                let found = self.get(name).filter(|e| {
                    (self.is_flat || e.candidate.region == self.region)
                        && self.is_eligible(e, members, rule, now)
                });
                best.offer(found.map(|e| self.scored(e, members, rule, now)));
            }
        }
        best.choice
    }

    /// Chooses an endpoint in another region.
    pub fn choose_far(
        &self,
        rule: &Rule<'_>,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Option<Choice<'_>> {
        let members = self.members(&rule.ask.pool)?;
        let mut best = Best::default();
        for _ in 0..2 {
            let found = self.sample(&members.far, members, rule, now, rng);
            best.offer(found.map(|e| self.scored(e, members, rule, now)));
        }
        best.choice
    }

    /// An eligible endpoint of a list by chance; any one when chance finds none.
    fn sample(
        &self,
        list: &[usize],
        members: &Members,
        rule: &Rule<'_>,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Option<&Entry> {
        if list.is_empty() {
            return None;
        }
        for _ in 0..TRIES {
            let at = rng.random_range(0..list.len());
            let entry = self.entry(list[at])?;
            if self.is_eligible(entry, members, rule, now) {
                return Some(entry);
            }
        }
        list.iter()
            .filter_map(|i| self.entry(*i))
            .find(|e| self.is_eligible(e, members, rule, now))
    }
}

/// Seconds that a failed call costs: all that is left where it may not be repeated.
fn loss(ask: &Attempt, now: Time) -> f64 {
    let left = ask.deadline.saturating_sub(now).as_secs_f64();
    if ask.repeatable {
        left * REPEAT_LOSS
    } else {
        left
    }
}

#[derive(Default)]
struct Best<'a> {
    choice: Option<Choice<'a>>,
}

impl<'a> Best<'a> {
    fn offer(&mut self, found: Option<Choice<'a>>) {
        let Some(found) = found else {
            return;
        };
        if self.choice.is_none_or(|c| found.score < c.score) {
            self.choice = Some(found);
        }
    }
}
