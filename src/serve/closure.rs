//! Endpoints that have told this daemon to send them nothing: for a time, or since they are leaving.
//!
//! An endpoint's own answer is the earliest word of its leaving, and holds without the store. See
//! [the design note](../../docs/design/fleet.md).

use std::cell::RefCell;
use std::time::Duration;

use indexmap::IndexMap;
use slog::{Logger, info};

use super::protocol::ResponseMeta;
use super::registry::Endpoint;
use crate::clock::Time;
use crate::id;

/// The longest time for which an endpoint can close itself. After it, one request asks again; a larger
/// value would lose the endpoint to a mistake.
const MAX_CLOSED_TIME: Duration = Duration::from_secs(3_600);
/// The most endpoints that are remembered as leaving.
const MAX_LEAVING: usize = 8_192;

event! {
    /// An endpoint that takes nothing from a daemon.
    pub struct Closure {
        /// The endpoint.
        pub endpoint: id::Endpoint,
        /// For how long; none while it is leaving.
        pub remaining: Option<Duration>,
    }
}

/// The closures that one daemon was told of.
pub struct Closures {
    state: RefCell<State>,
    log: Logger,
}

#[derive(Default)]
struct State {
    closed_until: IndexMap<id::Endpoint, Time>,
    /// The start of each leaving endpoint's process.
    leaving: IndexMap<id::Endpoint, u64>,
    /// The start of the process of each listed endpoint.
    born: IndexMap<id::Endpoint, u64>,
}

impl Closures {
    /// Makes the closures of a daemon that has been told of none.
    pub fn new(log: Logger) -> Self {
        Self {
            state: RefCell::default(),
            log,
        }
    }

    /// Records the listed endpoints; one that has started again is not leaving any more.
    pub fn observe<'a>(&self, listed: impl Iterator<Item = &'a Endpoint>) {
        let state = &mut *self.state.borrow_mut();
        state.born = listed
            .map(|endpoint| (endpoint.id.clone(), endpoint.born))
            .collect();
        let born = &state.born;
        state
            .leaving
            .retain(|id, since| born.get(id).is_none_or(|born| born <= since));
    }

    /// Records what an endpoint's answer says; returns whether it has closed itself.
    pub fn record(&self, endpoint: &id::Endpoint, meta: &ResponseMeta, now: Time) -> bool {
        let state = &mut *self.state.borrow_mut();
        if meta.is_leaving && !state.leaving.contains_key(endpoint) {
            let born = state.born.get(endpoint).copied().unwrap_or_default();
            state.leaving.insert(endpoint.clone(), born);
            if state.leaving.len() > MAX_LEAVING {
                state.leaving.shift_remove_index(0);
            }
        }
        if let Some(time) = meta.retry_after {
            let until = now + time.min(MAX_CLOSED_TIME);
            let latest = state.closed_until.entry(endpoint.clone()).or_insert(until);
            *latest = until.max(*latest);
        }
        state.closed_until.retain(|_, until| now < *until);
        let is_closed = meta.is_leaving || meta.retry_after.is_some();
        if is_closed {
            info!(self.log, "endpoint closed"; "endpoint" => &**endpoint,
                "leaving" => meta.is_leaving,
                "seconds" => meta.retry_after.map(|time| time.as_secs()));
        }
        is_closed
    }

    /// Returns the closure of an endpoint, if it has closed itself.
    pub fn get(&self, endpoint: &str, now: Time) -> Option<Closure> {
        let state = self.state.borrow();
        let until = state.closed_until.get(endpoint).copied();
        let remaining = until
            .filter(|until| now < *until)
            .map(|until| until.saturating_sub(now));
        let is_leaving = state.leaving.contains_key(endpoint);
        (is_leaving || remaining.is_some()).then(|| Closure {
            endpoint: endpoint.into(),
            remaining: remaining.filter(|_| !is_leaving),
        })
    }

    /// Returns all closures.
    pub fn all(&self, now: Time) -> Vec<Closure> {
        let state = self.state.borrow();
        let closed = state.closed_until.keys();
        let closed = closed.filter(|id| !state.leaving.contains_key(*id));
        let endpoints = state.leaving.keys().chain(closed);
        endpoints.filter_map(|id| self.get(id, now)).collect()
    }
}

#[cfg(test)]
mod tests;
