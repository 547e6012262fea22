//! The adaptive policy: composed of routing, limits, retries and deadlines that learn.
//!
//! See [the design note](../../docs/design/policy.md).

use indexmap::{IndexMap, IndexSet};
use rand_chacha::ChaCha8Rng;

use super::deadline::Forecast;
use super::knobs::Resolver;
use super::{Admission, Arrival, Attempt, Observation, Pick, Placement, Policy, Retry, Ticket};
use crate::clock::Time;
use crate::limit::concurrency::Limit;
use crate::limit::queue::Queue;
use crate::policy::latency::Mean;
use crate::retry::Budget;
use crate::route::affinity::Index;
use crate::route::table::{Members, Table};
use crate::route::zone::{Load, Loads};
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
    /// A mechanism that a benchmark can turn off to measure its effect.
    pub enum Mechanism {
        /// Comparison of endpoints by score; a random choice otherwise.
        Score,
        /// Prefix affinity.
        Affinity,
        /// Preference for the daemon's own region; all regions count as one otherwise.
        Region,
        /// Ejection of failing and slow endpoints.
        Ejection,
        /// Slow start of new endpoints.
        SlowStart,
        /// The concurrency limit and its queue.
        Limit,
        /// Fairness among workspaces.
        Fairness,
        /// Refusal of requests that are not predicted to finish in time.
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
        /// Calls to another region when the local one is slow or full.
        Spill,
        /// Relocation of a request's remainder to another region.
        Move,
    }
}

/// Retries in the budget of a new pool.
const INITIAL_RETRIES: f64 = 10.0;

/// The state of one pool.
#[derive(Debug)]
struct Pool {
    kind: Kind,
    limit: Limit,
    queue: Queue,
    /// Calls in flight.
    in_flight: u32,
    /// Slots of attempts that `ready` returned and that are not placed yet.
    reserved: u32,
    /// Mean latency in seconds.
    latency: Mean,
    /// Mean cost in tokens.
    cost: Mean,
    /// Tokens of admitted requests whose stage has not ended here.
    pending_tokens: u64,
    /// The same by workspace, without zeros.
    pending_by_workspace: IndexMap<id::Workspace, u64>,
    retry_budget: Budget,
    affinity: Index,
    /// When the median latency was last computed.
    median_updated: Time,
    /// Whether its endpoints report load.
    has_reports: bool,
}

/// An admitted request.
#[derive(Debug)]
struct Admitted {
    workspace: id::Workspace,
    cost: u64,
    /// The pool of each stage; `None` once the stage ended.
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
    /// Whether the call does not count against the pool's limit.
    is_outside_limit: bool,
}

/// Identifies an attempt.
type Key = (id::Request, id::Attempt);

/// The adaptive policy of one daemon.
#[derive(Debug)]
pub struct Adaptive {
    table: Table,
    pools: IndexMap<id::Pool, Pool>,
    kinds: IndexMap<id::Pool, Kind>,
    knobs: Resolver,
    weights: IndexMap<id::Workspace, f64>,
    /// Load of the pools in other availability zones.
    zone_loads: Loads,
    forecast: Forecast,
    admitted: IndexMap<id::Request, Admitted>,
    flights: IndexMap<Key, Flight>,
    reserved: IndexMap<Key, id::Pool>,
    /// Why attempts shed from a queue are refused when they are placed again.
    shed: IndexMap<Key, &'static str>,
    /// Evicted attempts, which the next call of `ready` returns.
    evicted: Vec<Ticket>,
    /// Shared by all pools.
    hedge_budget: Budget,
    link_budget: link::Budget,
    /// In bytes a second.
    link_bandwidth: f64,
    disabled: IndexSet<Mechanism>,
    rng: ChaCha8Rng,
}

impl Adaptive {
    /// Starts building a policy.
    pub fn builder(zone: impl Into<id::Zone>, region: impl Into<id::Region>) -> Builder {
        Builder::new(zone.into(), region.into())
    }

    fn is_on(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }

    fn weight(&self, workspace: &str) -> f64 {
        let configured = self.weights.get(workspace).copied().unwrap_or(1.0);
        configured * self.knobs.workspace(workspace).weight
    }

    fn pool(&mut self, name: &id::Pool) -> &mut Pool {
        if !self.pools.contains_key(name) {
            let kind = self.kinds.get(name).copied().unwrap_or(Kind::Service);
            let endpoints = self.table.members(name).map_or(1, Members::target_count);
            let knobs = self.knobs.pool(name);
            let pool = Pool::new(kind, endpoints, knobs.max_in_flight);
            self.pools.insert(name.clone(), pool);
        }
        &mut self.pools[name]
    }

    /// Bytes that calls of this daemon were expected to send over the regional link.
    pub fn link_bytes(&self) -> u64 {
        self.link_budget.spent()
    }
}

impl Pool {
    fn new(kind: Kind, endpoints: usize, per_endpoint: u32) -> Self {
        let mut limit = Limit::default();
        limit.resize(endpoints, per_endpoint);
        Self {
            kind,
            limit,
            queue: Queue::default(),
            in_flight: 0,
            reserved: 0,
            latency: Mean::default(),
            cost: Mean::default(),
            pending_tokens: 0,
            pending_by_workspace: IndexMap::new(),
            retry_budget: Budget::new(INITIAL_RETRIES),
            affinity: Index::default(),
            median_updated: Time::ZERO,
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

    fn place(&mut self, attempt: &Attempt, now: Time) -> Placement {
        self.place_stage(attempt, now)
    }

    fn ready(&mut self, now: Time) -> Vec<Ticket> {
        self.ready_tickets(now)
    }

    fn abandon(&mut self, ticket: &Ticket, _now: Time) {
        self.abandon_ticket(ticket);
    }

    fn retry(&mut self, attempt: &Attempt, error: &endpoint::Error, now: Time) -> Retry {
        self.retry_stage(attempt, error, now)
    }

    fn hedge(&mut self, attempt: &Attempt, now: Time) -> Option<Pick> {
        self.hedge_stage(attempt, now)
    }

    fn is_hopeless(&self, attempt: &Attempt, now: Time) -> bool {
        if !self.is_on(Mechanism::Hopeless) {
            return now >= attempt.deadline;
        }
        now + self.forecast.min_time(&attempt.pipeline, attempt.index) >= attempt.deadline
    }

    fn observe(&mut self, observation: &Observation, now: Time) {
        self.learn(observation, now);
    }

    fn zone_loads(&self, now: Time) -> Vec<Load> {
        self.table.zone_loads(now)
    }

    fn next_wake(&self) -> Option<Time> {
        if !self.evicted.is_empty() {
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
