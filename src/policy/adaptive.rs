//! The adaptive policy: composed of routing, limits, retries and deadlines that learn.
//!
//! See [the design note](../../docs/design/policy.md).

use indexmap::{IndexMap, IndexSet};
use rand_chacha::ChaCha8Rng;

use super::deadline::Forecast;
use super::knobs::Sheet;
use super::{Admission, Arrival, Attempt, Observation, Pick, Placement, Policy, Retry, Ticket};
use crate::clock::Time;
use crate::limit::concurrency::Limit;
use crate::limit::queue::Queue;
use crate::policy::latency::Mean;
use crate::retry::Budget;
use crate::route::affinity::Index;
use crate::route::table::{Members, Table};
use crate::route::zone::{Board, Load};
use crate::route::{Kind, link};
use crate::{endpoint, id};

mod admission;
mod builder;
mod learning;
mod placing;
mod retrying;
mod spilling;

pub use builder::Builder;

token! {
    /// A mechanism that a bench can leave out to see what it earns.
    pub enum Mechanism {
        /// Comparing endpoints by score; one is drawn by chance otherwise.
        Score,
        /// Prefix affinity.
        Affinity,
        /// Preferring the own region; all endpoints count as near otherwise.
        Region,
        /// Ejection of failing and slow endpoints.
        Ejection,
        /// Slow start of newcomers.
        SlowStart,
        /// The concurrency limit and its queue.
        Limit,
        /// Fairness among workspaces.
        Fairness,
        /// Refusal at the door of what is not predicted to finish.
        Admission,
        /// Stopping requests that can no longer finish.
        Hopeless,
        /// Timeouts learnt from the distribution; the remaining time otherwise.
        Timeout,
        /// Hedges.
        Hedge,
        /// The retry budget; retries are unlimited otherwise.
        RetryBudget,
        /// Retries.
        Retry,
        /// The budget of the regional link.
        LinkBudget,
        /// Calls over the link when what is near is slow or full.
        Spill,
        /// Moving a request's whole remainder to another region.
        Move,
    }
}

/// Retries that a pool may make before it has earned any.
const RETRIES: f64 = 10.0;

/// What is kept of one pool.
#[derive(Debug)]
struct Pool {
    kind: Kind,
    limit: Limit,
    queue: Queue,
    /// Calls in flight.
    in_flight: u32,
    /// Waiting stages that were told to ask again and did not yet.
    reserved: u32,
    /// Mean latency in seconds.
    latency: Mean,
    /// Mean cost in tokens.
    cost: Mean,
    /// Tokens of admitted requests that still have to pass.
    pending: u64,
    /// The same by workspace, for those that have any.
    by_workspace: IndexMap<id::Workspace, u64>,
    retries: Budget,
    affinity: Index,
    /// When the median latency was computed.
    refreshed: Time,
    /// Whether its endpoints report load.
    has_reports: bool,
}

/// An admitted request.
#[derive(Debug)]
struct Admitted {
    workspace: id::Workspace,
    cost: u64,
    /// Pools that it still has to pass; none where a stage ended.
    pools: Vec<Option<id::Pool>>,
}

/// A call in flight.
#[derive(Debug)]
struct Flight {
    endpoint: id::Endpoint,
    pool: id::Pool,
    /// Whether a cache hit was expected.
    is_hit: bool,
    has_prefixes: bool,
    is_suspect: bool,
    /// Whether it does not count against the pool's limit.
    is_far: bool,
}

/// A call's key.
type Key = (id::Request, id::Attempt);

/// The adaptive policy of one daemon.
#[derive(Debug)]
pub struct Adaptive {
    table: Table,
    pools: IndexMap<id::Pool, Pool>,
    kinds: IndexMap<id::Pool, Kind>,
    sheet: Sheet,
    weights: IndexMap<id::Workspace, f64>,
    /// Load of the pools in other availability zones.
    board: Board,
    forecast: Forecast,
    admitted: IndexMap<id::Request, Admitted>,
    flights: IndexMap<Key, Flight>,
    reserved: IndexMap<Key, id::Pool>,
    /// Waiting stages that cannot be served in time, until they ask again.
    shed: IndexMap<Key, &'static str>,
    /// Stages to be told of at the next call of `ready`.
    told: Vec<Ticket>,
    /// Hedges of all pools.
    hedges: Budget,
    link: link::Budget,
    /// The whole link in bytes a second.
    bandwidth: f64,
    off: IndexSet<Mechanism>,
    rng: ChaCha8Rng,
}

impl Adaptive {
    /// Starts building a policy.
    pub fn builder(zone: impl Into<id::Zone>, region: impl Into<id::Region>) -> Builder {
        Builder::new(zone.into(), region.into())
    }

    fn is_on(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }

    fn weight(&self, workspace: &str) -> f64 {
        let given = self.weights.get(workspace).copied().unwrap_or(1.0);
        given * self.sheet.workspace(workspace).weight
    }

    fn pool(&mut self, name: &id::Pool) -> &mut Pool {
        if !self.pools.contains_key(name) {
            let kind = self.kinds.get(name).copied().unwrap_or(Kind::Service);
            let width = self.table.members(name).map_or(1, Members::width);
            let knobs = self.sheet.pool(name);
            let pool = Pool::new(kind, width, knobs.max_in_flight);
            self.pools.insert(name.clone(), pool);
        }
        &mut self.pools[name]
    }

    /// Bytes that calls of this daemon were expected to send over the regional link.
    pub fn link_bytes(&self) -> u64 {
        self.link.spent()
    }
}

impl Pool {
    fn new(kind: Kind, width: usize, per_endpoint: u32) -> Self {
        let mut limit = Limit::default();
        limit.resize(width, per_endpoint);
        Self {
            kind,
            limit,
            queue: Queue::default(),
            in_flight: 0,
            reserved: 0,
            latency: Mean::default(),
            cost: Mean::default(),
            pending: 0,
            by_workspace: IndexMap::new(),
            retries: Budget::new(RETRIES),
            affinity: Index::default(),
            refreshed: Time::ZERO,
            has_reports: false,
        }
    }

    fn is_full(&self) -> bool {
        self.in_flight + self.reserved >= self.limit.get()
    }
}

impl Policy for Adaptive {
    fn admit(&mut self, arrival: &Arrival, now: Time) -> Admission {
        self.admit_request(arrival, now)
    }

    fn place(&mut self, ask: &Attempt, now: Time) -> Placement {
        self.place_stage(ask, now)
    }

    fn ready(&mut self, now: Time) -> Vec<Ticket> {
        self.ready_tickets(now)
    }

    fn abandon(&mut self, ticket: &Ticket, _now: Time) {
        self.abandon_ticket(ticket);
    }

    fn retry(&mut self, ask: &Attempt, error: &endpoint::Error, now: Time) -> Retry {
        self.retry_stage(ask, error, now)
    }

    fn hedge(&mut self, ask: &Attempt, now: Time) -> Option<Pick> {
        self.hedge_stage(ask, now)
    }

    fn is_hopeless(&self, ask: &Attempt, now: Time) -> bool {
        if !self.is_on(Mechanism::Hopeless) {
            return now >= ask.deadline;
        }
        now + self.forecast.least(&ask.pipeline, ask.index) >= ask.deadline
    }

    fn observe(&mut self, observation: &Observation, now: Time) {
        self.learn(observation, now);
    }

    fn zone_loads(&self, now: Time) -> Vec<Load> {
        self.table.digests(now)
    }

    fn next_wake(&self) -> Option<Time> {
        if !self.told.is_empty() {
            return Some(Time::ZERO);
        }
        self.pools
            .values()
            .filter_map(|p| p.queue.next_expiry())
            .min()
    }
}

#[cfg(test)]
mod tests;
