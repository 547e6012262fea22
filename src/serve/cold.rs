//! Endpoints that are cold: how many requests one planner may send there.
//!
//! A cold endpoint bears few requests a second from all daemons together, so one planner counts for all: that
//! of the endpoint's region, once most daemons of the region have it plan. See
//! [the design note](../../docs/design/cold-endpoints.md).

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use slog::{Logger, info, warn};

use super::catalog::{Catalog, ColdStart};
use super::rate::Rate;
use super::registry::Endpoint;
use crate::clock::Time;
use crate::id;

mod mandate;

use mandate::Mandate;

/// Why requests are refused that would wait too long for cold endpoints.
pub const REFUSAL: &str = "its endpoints are cold";
/// The longest time from a grant to its request: the planner of another region is asked twice a second
/// whether it lives, which bounds how old a grant can be.
pub const MAX_GRANT_AGE: Duration = Duration::from_millis(750);
/// The time in which the requests of a pace are granted: the bound is on one second, and requests that were
/// granted up to `MAX_GRANT_AGE` before may arrive in it.
const WINDOW: Duration = Duration::from_millis(1_750);
/// How many planners may grant requests in one window: one, and the one that takes over from it.
const MAX_PLANNERS: f64 = 2.0;
/// How long after an endpoint becomes cold its entry says so at the latest: endpoints register about every
/// 1.2 s, and the operators state 2 s.
const ENTRY_DELAY: Duration = Duration::from_secs(2);
/// The longest time for which one entry is believed to say that its endpoint is cold; it is written anew
/// within seconds.
const MAX_COLD_TIME: Duration = Duration::from_secs(60);
/// The most grants that are remembered of an endpoint that has just become cold.
const MAX_SPENT: usize = 1_000;

event! {
    /// The operators' bound on the requests that a cold endpoint gets in a second: its rate times `overshoot`,
    /// and `slack` in addition.
    pub struct Bound {
        /// The factor.
        pub overshoot: f64,
        /// Requests in addition.
        pub slack: f64,
    }
}

impl Default for Bound {
    /// The rate itself, for operators who state no bound.
    fn default() -> Self {
        Self {
            overshoot: 1.0,
            slack: 0.0,
        }
    }
}

/// How many requests one planner may grant to a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Pace {
    most: usize,
    window: Duration,
}

impl Pace {
    /// Returns the pace at which `MAX_PLANNERS` together keep a bound. No planner exceeds the rate by itself,
    /// since the endpoint may end above it.
    fn new(rate: Rate, bound: &Bound) -> Self {
        let rate = if rate.is_finite() { rate.max(0.0) } else { 0.0 };
        let allowed = rate * bound.overshoot.max(0.0) + bound.slack.max(0.0);
        let most = (allowed / MAX_PLANNERS).min(rate.max(1.0)).floor();
        let seconds = most / rate.max(f64::MIN_POSITIVE);
        let window = Duration::from_secs_f64(seconds.min(MAX_COLD_TIME.as_secs_f64()));
        Self {
            most: most as usize,
            window: window.max(WINDOW),
        }
    }

    fn rate(self) -> Rate {
        self.most as f64 / self.window.as_secs_f64()
    }
}

/// One life of an endpoint of a service whose endpoints start cold.
struct Life {
    service: id::Pool,
    born: u64,
    seq: u64,
    cold_until: Time,
    /// An entry that was read earlier and says that the endpoint is warm may be from before it became cold.
    confirmed_from: Time,
    /// Whether the last log line says that it is cold.
    is_logged_cold: bool,
}

/// How the endpoints of a service start.
struct Start {
    start: ColdStart,
    /// Whether each daemon plans its requests alone while no endpoint is cold.
    is_plain: bool,
}

#[derive(Default)]
struct State {
    bound: Bound,
    services: IndexMap<id::Pool, Start>,
    lives: IndexMap<id::Endpoint, Life>,
    /// When requests were granted, by endpoint; it outlasts the endpoint's life.
    granted: IndexMap<id::Endpoint, VecDeque<Time>>,
    /// Whether endpoints were listed under a configuration; those of the first listing are no new ones.
    is_listed: bool,
    mandate: Mandate,
    is_logged_planner: bool,
}

/// The cold endpoints that one daemon knows of, and what it has granted there.
pub struct Tracker {
    state: RefCell<State>,
    log: Logger,
}

impl Tracker {
    /// Makes a tracker without endpoints.
    pub fn new(log: Logger) -> Self {
        Self {
            state: RefCell::default(),
            log,
        }
    }

    /// Sets the operators' bound.
    pub fn set_bound(&self, bound: Bound) {
        self.state.borrow_mut().bound = bound;
    }

    /// Records the listed endpoints, which may have become cold when their zone was taken back from an
    /// evacuation.
    pub fn observe<'a>(
        &self,
        catalog: &Catalog,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        taken_back_at: &dyn Fn(&id::Zone) -> Option<Time>,
        now: Time,
    ) {
        let state = &mut *self.state.borrow_mut();
        let services = catalog.services.iter();
        let services = services.filter_map(|(name, service)| {
            let start = service.cold_start.clone()?;
            let is_plain = service.engine.is_none() && service.batch.is_none();
            Some((name.clone(), Start { start, is_plain }))
        });
        state.services = services.collect();
        let mut before = std::mem::take(&mut state.lives);
        let mut has_endpoints = false;
        for endpoint in endpoints {
            has_endpoints = true;
            let Some(Start { start, is_plain }) = state.services.get(&endpoint.service) else {
                continue;
            };
            let duration = start.duration.min(MAX_COLD_TIME);
            let known = before.swap_remove(&endpoint.id);
            let was_warm = known.as_ref().is_some_and(|life| now >= life.cold_until);
            let known =
                known.filter(|life| life.born == endpoint.born && life.service == endpoint.service);
            let mut life = match known {
                Some(life) => self.update(life, endpoint, now),
                // Endpoints that this daemon lists when it starts may be warm for long.
                None if !state.is_listed => self.begin(endpoint, Duration::ZERO, now),
                None => self.begin(endpoint, duration, now),
            };
            if let Some(at) = taken_back_at(&endpoint.zone)
                && now < at + ENTRY_DELAY
            {
                life.cold_until = life.cold_until.max(at + ENTRY_DELAY + duration);
                life.confirmed_from = at + ENTRY_DELAY;
            }
            if *is_plain && was_warm && now < life.cold_until {
                // Other daemons send their own requests there until they have read the entry, too.
                let most = Pace::new(start.rate, &state.bound).most;
                let spent = std::iter::repeat_n(now, most.min(MAX_SPENT)).collect();
                state.granted.insert(endpoint.id.clone(), spent);
            }
            self.log_change(&endpoint.id, &mut life, now);
            state.lives.insert(endpoint.id.clone(), life);
        }
        state.is_listed |= has_endpoints && catalog.version > 0;
        let State { lives, granted, .. } = state;
        let is_recent =
            |times: &VecDeque<Time>| times.back().is_some_and(|last| now < *last + MAX_COLD_TIME);
        granted.retain(|id, times| lives.contains_key(id) || is_recent(times));
    }

    /// Returns how long an entry says that its endpoint is cold.
    fn remaining(&self, endpoint: &Endpoint) -> Duration {
        if endpoint.cold_remaining > MAX_COLD_TIME {
            warn!(self.log, "endpoint says that it stays cold for too long";
                "endpoint" => &*endpoint.id,
                "remaining_ms" => endpoint.cold_remaining.as_millis() as u64);
        }
        endpoint.cold_remaining.min(MAX_COLD_TIME)
    }

    /// Begins a life that is cold for some time at least, unless a later entry says that it is warm.
    fn begin(&self, endpoint: &Endpoint, least: Duration, now: Time) -> Life {
        Life {
            service: endpoint.service.clone(),
            born: endpoint.born,
            seq: endpoint.seq,
            cold_until: now + self.remaining(endpoint).max(least),
            confirmed_from: Time::ZERO,
            is_logged_cold: false,
        }
    }

    fn update(&self, mut life: Life, endpoint: &Endpoint, now: Time) -> Life {
        if life.seq == endpoint.seq {
            return life;
        }
        life.seq = endpoint.seq;
        let remaining = self.remaining(endpoint);
        if !remaining.is_zero() {
            life.cold_until = now + remaining;
        } else if now >= life.confirmed_from {
            life.cold_until = life.cold_until.min(now);
        }
        life
    }

    fn log_change(&self, id: &id::Endpoint, life: &mut Life, now: Time) {
        let is_cold = now < life.cold_until;
        if is_cold == life.is_logged_cold {
            return;
        }
        life.is_logged_cold = is_cold;
        if is_cold {
            let remaining = life.cold_until.saturating_sub(now);
            info!(self.log, "endpoint cold"; "endpoint" => &**id,
                "remaining_ms" => remaining.as_millis() as u64);
        } else {
            info!(self.log, "endpoint warm"; "endpoint" => &**id);
        }
    }

    /// Records whether this daemon ranks first in its region, which has that many daemons.
    pub fn set_rank(&self, is_first: bool, daemons: usize, now: Time) {
        let state = &mut *self.state.borrow_mut();
        state.mandate.set_rank(is_first, daemons, now);
        let is_planner = state.mandate.holds(now);
        if is_planner != state.is_logged_planner {
            state.is_logged_planner = is_planner;
            info!(self.log, "cold endpoints planned in this daemon"; "planned" => is_planner);
        }
    }

    /// Records that another daemon of the region has this one plan.
    pub fn follow(&self, daemon: &id::Daemon, now: Time) {
        self.state.borrow_mut().mandate.follow(daemon, now);
    }

    /// Returns whether any service's endpoints start cold.
    pub fn is_used(&self) -> bool {
        !self.state.borrow().services.is_empty()
    }

    /// Returns how long an endpoint is cold.
    pub fn remaining_time(&self, endpoint: &str, now: Time) -> Duration {
        let state = self.state.borrow();
        let life = state.lives.get(endpoint);
        life.map_or(Duration::ZERO, |life| life.cold_until.saturating_sub(now))
    }

    /// Returns whether an endpoint is cold.
    pub fn is_cold(&self, endpoint: &str, now: Time) -> bool {
        !self.remaining_time(endpoint, now).is_zero()
    }

    /// Returns whether an endpoint of a service is cold, so that one planner has to count for all daemons.
    pub fn covers(&self, service: &id::Pool, now: Time) -> bool {
        let state = self.state.borrow();
        let mut lives = state.lives.values();
        lives.any(|life| life.service == *service && now < life.cold_until)
    }

    /// Returns the rate at which a cold endpoint gets requests from this daemon's planner; none if it is warm.
    pub fn rate(&self, endpoint: &str, now: Time) -> Option<Rate> {
        let is_cold = self.is_cold(endpoint, now);
        let pace = self.state.borrow().pace(endpoint, now);
        is_cold.then(|| pace.map_or(0.0, Pace::rate))
    }

    /// Returns how long an endpoint gets no request from this daemon's planner since it is cold.
    pub fn wait(&self, endpoint: &str, now: Time) -> Duration {
        let remaining = self.remaining_time(endpoint, now);
        if remaining.is_zero() {
            return Duration::ZERO;
        }
        let state = self.state.borrow();
        let Some(Pace { most, window }) = state.pace(endpoint, now) else {
            return remaining;
        };
        let granted = state.granted.get(endpoint).map_or(0, VecDeque::len);
        let Some(index) = granted.checked_sub(most) else {
            return Duration::ZERO;
        };
        let earliest = state
            .granted
            .get(endpoint)
            .and_then(|times| times.get(index));
        let free = earliest.map(|at| (*at + window).saturating_sub(now));
        free.map_or(remaining, |free| free.min(remaining))
    }

    /// Records that a request was granted to an endpoint, warm or not: it may become cold at any moment.
    pub fn granted(&self, endpoint: &id::Endpoint, now: Time) {
        let state = &mut *self.state.borrow_mut();
        let Some(pace) = state.share(endpoint) else {
            return;
        };
        let times = state.granted.entry(endpoint.clone()).or_default();
        times.push_back(now);
        let is_past = |times: &VecDeque<Time>| {
            let first = times.front();
            first.is_some_and(|first| times.len() > pace.most || now >= *first + pace.window)
        };
        while is_past(times) {
            times.pop_front();
        }
    }
}

impl State {
    /// Returns what one planner may grant to an endpoint while it is cold.
    fn share(&self, endpoint: &str) -> Option<Pace> {
        let service = &self.lives.get(endpoint)?.service;
        let start = &self.services.get(service)?.start;
        Some(Pace::new(start.rate, &self.bound))
    }

    /// Returns what this daemon's planner may grant to it now.
    fn pace(&self, endpoint: &str, now: Time) -> Option<Pace> {
        let pace = self.share(endpoint)?;
        (self.mandate.holds(now) && pace.most > 0).then_some(pace)
    }
}

#[cfg(test)]
mod tests;
