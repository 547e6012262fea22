//! The table of endpoints that may be chosen, and the choice among them.
//!
//! The choice is by power of two choices over a score: random sampling keeps daemons that see
//! the same late report from all choosing the same endpoint.

use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::affinity::Index;
use super::entry::Entry;
use crate::clock::Time;
use crate::policy::{Ask, Candidate};
use crate::{endpoint, id};

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

/// The endpoints of one pool, as indices into the table, by distance.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// In the own availability zone.
    pub zone: Vec<usize>,
    /// In other availability zones of the own region.
    pub region: Vec<usize>,
    /// In other regions.
    pub far: Vec<usize>,
    /// Whether any of them reported versions, so that one without lacks the model.
    has_versions: bool,
    /// The median of their mean latencies in seconds.
    pub median: Option<f64>,
}

impl Members {
    /// Those of the own region.
    pub fn near(&self) -> impl Iterator<Item = usize> + '_ {
        self.zone.iter().chain(&self.region).copied()
    }

    /// All.
    pub fn all(&self) -> impl Iterator<Item = usize> + '_ {
        self.near().chain(self.far.iter().copied())
    }

    /// How many calls may be spread over: those near, or the far ones when there are none.
    pub fn width(&self) -> usize {
        match self.zone.len() + self.region.len() {
            0 => self.far.len(),
            near => near,
        }
    }
}

/// What a choice is made by.
#[derive(Clone, Copy, Debug)]
pub struct Rule<'a> {
    /// The stage.
    pub ask: &'a Ask,
    /// Prefix affinity, when it is used.
    pub affinity: Option<&'a Index>,
    /// How long newcomers start slowly.
    pub slow_start: Duration,
    /// Whether ejected endpoints are taken as well, because no other is left.
    pub takes_ejected: bool,
    /// Whether two choices are compared; one is taken otherwise.
    pub compares: bool,
}

/// All known endpoints.
#[derive(Debug)]
pub struct Table {
    zone: id::Zone,
    region: id::Region,
    /// Whether all regions count as the own one.
    is_flat: bool,
    entries: IndexMap<id::Endpoint, Entry>,
    pools: IndexMap<id::Pool, Members>,
}

impl Table {
    /// Makes an empty table of a daemon in `zone`; a flat one counts all regions as its own.
    pub fn new(zone: id::Zone, region: id::Region, is_flat: bool) -> Self {
        Self {
            zone,
            region,
            is_flat,
            entries: IndexMap::new(),
            pools: IndexMap::new(),
        }
    }

    /// Replaces the list of endpoints, keeping what was learnt of those that stay; returns the
    /// endpoints that are gone. A leaving endpoint stays leaving whatever a late list says.
    pub fn replace(&mut self, list: &[Candidate], now: Time) -> Vec<id::Endpoint> {
        let is_first = self.entries.is_empty();
        let mut old = std::mem::take(&mut self.entries);
        for candidate in list {
            let joined = (!is_first).then_some(now);
            let entry = match old.swap_remove(&candidate.endpoint) {
                Some(mut entry) => {
                    let leaving = entry.candidate.leaving || candidate.leaving;
                    entry.candidate = candidate.clone();
                    entry.candidate.leaving = leaving;
                    entry
                }
                None => Entry::new(candidate.clone(), joined),
            };
            self.entries.insert(candidate.endpoint.clone(), entry);
        }
        self.index();
        old.into_keys().collect()
    }

    fn index(&mut self) {
        let mut pools: IndexMap<id::Pool, Members> = IndexMap::new();
        for (index, entry) in self.entries.values().enumerate() {
            let candidate = &entry.candidate;
            let members = pools.entry(candidate.pool.clone()).or_default();
            members.has_versions |= entry.lacks_model() == Some(false);
            if candidate.zone == self.zone {
                members.zone.push(index);
            } else if self.is_flat || candidate.region == self.region {
                members.region.push(index);
            } else {
                members.far.push(index);
            }
        }
        for (name, members) in &mut pools {
            members.median = self.pools.get(name).and_then(|m| m.median);
        }
        self.pools = pools;
    }

    /// The endpoints of a pool.
    pub fn members(&self, pool: &str) -> Option<&Members> {
        self.pools.get(pool)
    }

    /// The names of the pools.
    pub fn pools(&self) -> impl Iterator<Item = &id::Pool> {
        self.pools.keys()
    }

    /// An endpoint by its index.
    pub fn entry(&self, index: usize) -> Option<&Entry> {
        self.entries.get_index(index).map(|(_, e)| e)
    }

    /// An endpoint by its name.
    pub fn get(&self, endpoint: &str) -> Option<&Entry> {
        self.entries.get(endpoint)
    }

    /// An endpoint by its name, to be changed.
    pub fn get_mut(&mut self, endpoint: &str) -> Option<&mut Entry> {
        self.entries.get_mut(endpoint)
    }

    /// Learns a report of load.
    pub fn report(&mut self, endpoint: &str, load: &endpoint::Load, now: Time) {
        let Some(entry) = self.entries.get_mut(endpoint) else {
            return;
        };
        entry.report(load, now);
        if !load.versions.is_empty()
            && let Some(members) = self.pools.get_mut(&entry.candidate.pool)
        {
            members.has_versions = true;
        }
    }

    /// Calls that wait and that are busy at the median endpoint of a pool, by fresh reports of
    /// those that this daemon calls. The median keeps one straggler from closing a pool.
    pub fn pressure(&self, pool: &str, now: Time) -> Option<(f64, f64)> {
        let members = self.pools.get(pool)?;
        let has_near = members.near().next().is_some();
        let mut reports: Vec<(f64, f64)> = members
            .all()
            .take(if has_near {
                members.width()
            } else {
                usize::MAX
            })
            .filter_map(|i| self.entry(i))
            .filter(|e| !e.breaker.is_ejected())
            .filter_map(|e| e.reported(now))
            .collect();
        reports.sort_by(|a, b| a.0.total_cmp(&b.0));
        reports.get(reports.len() / 2).copied()
    }

    /// Computes the median of the mean latencies of a pool again.
    pub fn refresh(&mut self, pool: &str) {
        let Some(members) = self.pools.get(pool) else {
            return;
        };
        let mut known: Vec<f64> = members
            .all()
            .filter_map(|i| self.entry(i))
            .filter(|e| !e.breaker.is_ejected())
            .filter_map(|e| e.latency.get())
            .collect();
        known.sort_by(f64::total_cmp);
        let median = known.get(known.len().saturating_sub(1) / 2).copied();
        if let Some(members) = self.pools.get_mut(pool) {
            members.median = median;
        }
    }

    /// Whether one more endpoint of a pool may be ejected when `share` of it may be.
    pub fn may_eject(&self, pool: &str, share: f64) -> bool {
        let Some(members) = self.pools.get(pool) else {
            return false;
        };
        let (mut usable, mut ejected) = (0usize, 0usize);
        for entry in members.all().filter_map(|i| self.entry(i)) {
            usable += usize::from(!entry.candidate.leaving);
            ejected += usize::from(!entry.candidate.leaving && entry.breaker.is_ejected());
        }
        let most = (usable as f64 * share) as usize;
        ejected < most
    }

    /// Readmits an endpoint of a pool that was ejected for being slow, so that a failing one can
    /// take its place; false when there is none or the cap allows no ejection at all.
    pub fn readmit_slow(&mut self, pool: &str, share: f64) -> bool {
        let Some(members) = self.pools.get(pool) else {
            return false;
        };
        let usable = members.all().filter_map(|i| self.entry(i));
        let usable = usable.filter(|e| !e.candidate.leaving).count();
        if usable as f64 * share < 1.0 {
            return false;
        }
        let slow = members.all().find(|i| {
            self.entry(*i)
                .is_some_and(|e| e.is_slow && e.breaker.is_ejected() && !e.candidate.leaving)
        });
        let Some((_, entry)) = slow.and_then(|i| self.entries.get_index_mut(i)) else {
            return false;
        };
        entry.breaker.close();
        entry.is_slow = false;
        true
    }

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

    /// Chooses an endpoint in the own region.
    pub fn choose(&self, rule: &Rule<'_>, now: Time, rng: &mut ChaCha8Rng) -> Option<&Entry> {
        let members = self.pools.get(&rule.ask.pool)?;
        let mut best = Best::default();
        let lists = [&members.zone, &members.region];
        for list in lists {
            let wanted = if rule.compares { 2 } else { 1 };
            for _ in 0..wanted {
                let found = self.sample(list, members, rule, now, rng);
                best.offer(found.map(|e| (self.score(e, members, rule, now), e)));
            }
            if !rule.compares && best.entry.is_some() {
                break;
            }
        }
        if let Some(index) = rule.affinity {
            for name in index.holders(&rule.ask.prefixes) {
                let found = self.get(name).filter(|e| {
                    (self.is_flat || e.candidate.region == self.region)
                        && self.is_eligible(e, members, rule, now)
                });
                best.offer(found.map(|e| (self.score(e, members, rule, now), e)));
            }
        }
        best.entry
    }

    /// Chooses an endpoint in another region.
    pub fn choose_far(&self, rule: &Rule<'_>, now: Time, rng: &mut ChaCha8Rng) -> Option<&Entry> {
        let members = self.pools.get(&rule.ask.pool)?;
        let mut best = Best::default();
        for _ in 0..2 {
            let found = self.sample(&members.far, members, rule, now, rng);
            best.offer(found.map(|e| (self.score(e, members, rule, now), e)));
        }
        best.entry
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
fn loss(ask: &Ask, now: Time) -> f64 {
    let left = ask.deadline.saturating_sub(now).as_secs_f64();
    if ask.repeatable {
        left * REPEAT_LOSS
    } else {
        left
    }
}

#[derive(Default)]
struct Best<'a> {
    score: f64,
    entry: Option<&'a Entry>,
}

impl<'a> Best<'a> {
    fn offer(&mut self, found: Option<(f64, &'a Entry)>) {
        let Some((score, entry)) = found else {
            return;
        };
        if self.entry.is_none() || score < self.score {
            self.score = score;
            self.entry = Some(entry);
        }
    }
}
