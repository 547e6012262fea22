//! Limits that endpoints name in their answers: how many requests a second they take from all daemons
//! together, or that they fall over when all daemons together send more than they hold.
//!
//! The planner of a region alone grants its endpoints, so it counts for all daemons; they report what
//! answers name. See [the design note](../../docs/design/fleet.md).

use std::cell::RefCell;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use slog::{Logger, info};

use super::cold;
use super::registry::Endpoint;
use crate::clock::Time;
use crate::id;

/// The least rate at which an endpoint is used, in requests a second: only its answers tell that a limit
/// has ended.
pub const MIN_RATE: f64 = 0.1;
/// The requests that an endpoint which was idle gets at once, and for how long a rate adds to them: planners
/// look at what waits every 20 ms.
const BURST: f64 = 1.0;
const BURST_TIME: Duration = Duration::from_millis(100);
/// How long a limit is believed without asking: only an answer tells that it has ended.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// The most endpoints of which a limit is remembered.
const MAX_LIMITS: usize = 8_192;

/// A rate, in requests a second.
pub type Rate = f64;

event! {
    /// What an endpoint has named last.
    pub struct Report {
        /// The endpoint.
        pub endpoint: id::Endpoint,
        /// The limit; none when it named none.
        pub limit: Option<Rate>,
        /// How long ago.
        pub age: Duration,
    }
}

struct Known {
    limit: Option<Rate>,
    heard_at: Time,
}

/// One life of a listed endpoint.
struct Listed {
    service: id::Pool,
    born: u64,
}

#[derive(Default)]
struct State {
    known: IndexMap<id::Endpoint, Known>,
    /// The endpoints that fall over when they have to turn many requests away.
    brittle: IndexSet<id::Endpoint>,
    listed: IndexMap<id::Endpoint, Listed>,
}

/// The limits that one daemon knows of.
pub struct Limits {
    state: RefCell<State>,
    cold: cold::Tracker,
    log: Logger,
}

impl Limits {
    /// Makes the limits of a daemon that knows of none.
    pub fn new(log: Logger) -> Self {
        Self {
            state: RefCell::default(),
            cold: cold::Tracker::new(log.clone()),
            log,
        }
    }

    /// Returns the endpoints that are cold, which bear few requests although they name no limit.
    pub fn cold(&self) -> &cold::Tracker {
        &self.cold
    }

    /// Records the listed endpoints; one that has started again has named no limit yet.
    pub fn observe<'a>(&self, endpoints: impl Iterator<Item = &'a Endpoint>) {
        let state = &mut *self.state.borrow_mut();
        let listed = |endpoint: &Endpoint| Listed {
            service: endpoint.service.clone(),
            born: endpoint.born,
        };
        let listed: IndexMap<id::Endpoint, Listed> = endpoints
            .map(|endpoint| (endpoint.id.clone(), listed(endpoint)))
            .collect();
        let before = std::mem::replace(&mut state.listed, listed);
        let lives_on = |id: &id::Endpoint| {
            let born = |listed: &IndexMap<id::Endpoint, Listed>| Some(listed.get(id)?.born);
            let now = born(&state.listed);
            now.is_some() && born(&before).is_none_or(|before| Some(before) == now)
        };
        state.known.retain(|id, _| lives_on(id));
        state.brittle.retain(lives_on);
    }

    /// Records whether an answer of an endpoint says that it is brittle.
    pub fn record_brittle(&self, endpoint: &id::Endpoint, is_brittle: bool) {
        let brittle = &mut self.state.borrow_mut().brittle;
        let is_change = if is_brittle {
            brittle.insert(endpoint.clone())
        } else {
            brittle.swap_remove(endpoint)
        };
        if is_change {
            info!(self.log, "endpoint brittle"; "endpoint" => &**endpoint, "brittle" => is_brittle);
        }
        if brittle.len() > MAX_LIMITS {
            brittle.shift_remove_index(0);
        }
    }

    /// Returns whether an endpoint falls over when it has to turn many requests away.
    pub fn is_brittle(&self, endpoint: &str) -> bool {
        self.state.borrow().brittle.contains(endpoint)
    }

    /// Returns whether one planner has to count what an endpoint gets from all daemons.
    pub fn is_counted(&self, endpoint: &str) -> bool {
        self.is_brittle(endpoint) || self.get(endpoint).is_some()
    }

    /// Records what an answer of an endpoint names.
    pub fn record(&self, endpoint: &id::Endpoint, limit: Option<Rate>, now: Time) {
        let known = &mut self.state.borrow_mut().known;
        let before = known.get(endpoint).and_then(|known| known.limit);
        if limit.is_none() && !known.contains_key(endpoint) {
            return;
        }
        if limit != before {
            info!(self.log, "endpoint limit"; "endpoint" => &**endpoint,
                "limit" => limit, "before" => before);
        }
        let heard_at = now;
        known.insert(endpoint.clone(), Known { limit, heard_at });
        if known.len() > MAX_LIMITS {
            known.shift_remove_index(0);
        }
    }

    /// Adds what another daemon has heard, unless this one has heard something later.
    pub fn tell(&self, reports: &[Report], now: Time) {
        for report in reports {
            let heard_at = now.saturating_sub(report.age);
            let is_later = {
                let state = self.state.borrow();
                let known = state.known.get(&report.endpoint);
                known.is_none_or(|known| known.heard_at < heard_at)
            };
            if is_later {
                self.record(&report.endpoint, report.limit, heard_at);
            }
        }
    }

    /// Returns the limit of an endpoint.
    pub fn get(&self, endpoint: &str) -> Option<Rate> {
        let limit = self.state.borrow().known.get(endpoint)?.limit;
        limit.map(|limit| limit.max(MIN_RATE))
    }

    /// Returns whether an endpoint with a limit has not answered for a while, so that it is unknown whether
    /// the limit holds.
    pub fn is_unsure(&self, endpoint: &str, now: Time) -> bool {
        let state = self.state.borrow();
        let known = state.known.get(endpoint);
        let limited = known.filter(|known| known.limit.is_some());
        limited.is_some_and(|known| now >= known.heard_at + ASK_INTERVAL)
    }

    /// Returns whether an endpoint of a service has a limit or is brittle, so that one planner has to count
    /// for all daemons.
    pub fn covers(&self, service: &id::Pool) -> bool {
        let state = self.state.borrow();
        let limited = state.known.iter();
        let limited = limited.filter(|(_, known)| known.limit.is_some());
        let mut counted = limited.map(|(id, _)| id).chain(&state.brittle);
        counted.any(|id| {
            let listed = state.listed.get(id);
            listed.is_some_and(|listed| listed.service == *service)
        })
    }

    /// Returns what this daemon has heard, for a planner.
    pub fn reports(&self, now: Time) -> Vec<Report> {
        let state = self.state.borrow();
        let report = |(endpoint, known): (&id::Endpoint, &Known)| Report {
            endpoint: endpoint.clone(),
            limit: known.limit,
            age: now.saturating_sub(known.heard_at),
        };
        state.known.iter().map(report).collect()
    }
}

/// Counts what one endpoint gets. It begins empty, since another planner may just have sent something.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    tokens: f64,
    filled_at: Option<Time>,
}

impl Bucket {
    /// Returns how long the endpoint takes nothing, at this limit.
    pub fn wait(&mut self, limit: Option<Rate>, now: Time) -> Duration {
        let Some(rate) = limit else {
            *self = Self::default();
            return Duration::ZERO;
        };
        let filled_at = self.filled_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_sub(filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(BURST + rate * BURST_TIME.as_secs_f64());
        if self.tokens >= 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((1.0 - self.tokens) / rate)
    }

    /// Counts a request.
    pub fn take(&mut self) {
        if self.filled_at.is_some() {
            self.tokens -= 1.0;
        }
    }
}

#[cfg(test)]
mod tests;
