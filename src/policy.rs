//! The interface of the policy: admission, choice of endpoint, retries and hedges.
//!
//! A policy does no I/O. See [the design note](../docs/design/policy.md).

use std::time::Duration;

use crate::clock::Time;
use crate::{endpoint, id, route};

pub mod adaptive;
pub mod deadline;
pub mod knobs;
pub mod kv_copy;
pub mod latency;
pub mod naive;

event! {
    /// A new request that awaits admission.
    pub struct Arrival {
        /// The request.
        pub request: id::Request,
        /// Its workspace.
        pub workspace: id::Workspace,
        /// Its pipeline.
        pub pipeline: id::Pipeline,
        /// The pools of its stages, in order.
        pub pools: Vec<id::Pool>,
        /// When the complete answer is due.
        pub deadline: Time,
        /// 0 is the most important, 7 the least.
        pub priority: u8,
        /// Estimated cost in tokens.
        pub cost: u64,
    }

    /// The decision on an [`Arrival`].
    pub enum Admission {
        /// The request runs.
        Admit,
        /// The request is refused; nothing ran.
        Refuse {
            /// Why it is refused.
            reason: &'static str,
            /// How long the caller should wait.
            retry_after: Duration,
        },
    }

    /// An attempt at a stage, which needs an endpoint.
    pub struct Attempt {
        /// The request.
        pub request: id::Request,
        /// Its number in the request.
        pub id: id::Attempt,
        /// The workspace.
        pub workspace: id::Workspace,
        /// The pipeline.
        pub pipeline: id::Pipeline,
        /// Index of the stage in the pipeline.
        pub index: usize,
        /// The stage.
        pub stage: id::Stage,
        /// The pool that the stage runs on.
        pub pool: id::Pool,
        /// Pools of the later stages.
        pub later_pools: Vec<id::Pool>,
        /// Whether the stage may run more than once.
        pub repeatable: bool,
        /// When the complete answer is due.
        pub deadline: Time,
        /// 0 is the most important, 7 the least.
        pub priority: u8,
        /// Estimated cost in tokens.
        pub cost: u64,
        /// Size of the input.
        pub input_bytes: u64,
        /// Hashes of growing prefixes of the prompt, shortest first.
        pub prefixes: Vec<u64>,
        /// Endpoints that must not be chosen, because they failed this stage already.
        pub exclude: Vec<id::Endpoint>,
        /// Where the previous stage ran.
        pub previous_region: Option<id::Region>,
        /// The model version that the stage must run on.
        pub version: Option<id::Version>,
        /// Whether it is suspected of crashing endpoints and must run alone.
        pub is_suspect: bool,
    }

    /// An endpoint chosen for a call.
    pub struct Pick {
        /// The endpoint.
        pub endpoint: id::Endpoint,
        /// Its address and port.
        pub address: String,
        /// Its availability zone.
        pub zone: id::Zone,
        /// Timeout of the call.
        pub timeout: Duration,
        /// How long to wait before a hedge, if there is one.
        pub hedge_after: Option<Duration>,
    }

    /// The decision on an [`Attempt`].
    pub enum Placement {
        /// The call is sent now and counts as in flight.
        Send(Pick),
        /// The attempt waits in the pool's queue until [`Policy::ready`] returns it.
        Wait,
        /// The remainder of the request runs at a daemon of this region.
        Relocate(id::Region),
        /// The attempt cannot be placed in time.
        Refuse {
            /// Why it is refused.
            reason: &'static str,
            /// How long the caller should wait.
            retry_after: Duration,
        },
    }

    /// The decision after a failed attempt.
    pub enum Retry {
        /// Place a new attempt after this delay.
        After(Duration),
        /// Give up.
        Stop,
    }

    /// Identifies an attempt that waits in a queue.
    pub struct Ticket {
        /// The request.
        pub request: id::Request,
        /// The attempt.
        pub attempt: id::Attempt,
    }

    /// An endpoint that may be chosen.
    pub struct Candidate {
        /// The endpoint.
        pub endpoint: id::Endpoint,
        /// Its address and port.
        pub address: String,
        /// Its pool.
        pub pool: id::Pool,
        /// Its availability zone.
        pub zone: id::Zone,
        /// The region of that zone.
        pub region: id::Region,
        /// Whether it is leaving and gets no new calls.
        pub leaving: bool,
    }

    /// How a call ended.
    pub enum End {
        /// With a complete answer.
        Answered(endpoint::Usage),
        /// With a failure.
        Failed(endpoint::Error),
        /// Cancelled by this daemon: a hedged pair has its answer, or the caller left.
        Cancelled,
    }

    /// An event that a policy learns from.
    pub enum Observation {
        /// A call ended; it no longer counts as in flight.
        CallEnded {
            /// The request.
            request: id::Request,
            /// The attempt.
            attempt: id::Attempt,
            /// The endpoint.
            endpoint: id::Endpoint,
            /// The pool.
            pool: id::Pool,
            /// The pipeline.
            pipeline: id::Pipeline,
            /// Index of the stage.
            index: usize,
            /// From sending to the end.
            latency: Duration,
            /// How it ended.
            end: End,
        },
        /// A request ended at this daemon, with or without an answer.
        RequestEnded {
            /// The request.
            request: id::Request,
            /// Whether it was answered completely within its deadline.
            attained: bool,
        },
        /// A load report.
        Load {
            /// The engine.
            endpoint: id::Endpoint,
            /// Its load.
            load: endpoint::Load,
        },
        /// A cache event.
        Cache {
            /// The engine.
            endpoint: id::Endpoint,
            /// What changed.
            cache: endpoint::CacheEvent,
        },
        /// The endpoints that may be chosen, replacing the previous list.
        Candidates(Vec<Candidate>),
        /// An endpoint is leaving.
        Leaving(id::Endpoint),
        /// The load of a pool in another availability zone.
        ZoneLoad(route::zone::Load),
        /// Knobs of a scope, exceptions applied; `None` removes the scope's exception.
        Knobs(knobs::Scope, Option<Box<knobs::Knobs>>),
    }
}

/// Decides on admission, placement, retries and hedges.
pub trait Policy: Send {
    /// Decides whether a request is admitted.
    fn admit(&mut self, arrival: &Arrival, now: Time) -> Admission;
    /// Chooses an endpoint; after `Send` the call is in flight until [`Observation::CallEnded`].
    fn place(&mut self, attempt: &Attempt, now: Time) -> Placement;
    /// Returns queued attempts to place again, each once.
    fn ready(&mut self, now: Time) -> Vec<Ticket>;
    /// Removes a queued attempt.
    fn abandon(&mut self, ticket: &Ticket, now: Time);
    /// Decides what to do after a failed attempt.
    fn retry(&mut self, attempt: &Attempt, error: &endpoint::Error, now: Time) -> Retry;
    /// Chooses a second endpoint for a slow call, if the budget allows.
    fn hedge(&mut self, attempt: &Attempt, now: Time) -> Option<Pick>;
    /// Returns whether a request can no longer finish in time.
    fn is_hopeless(&self, attempt: &Attempt, now: Time) -> bool;
    /// Learns from an observation.
    fn observe(&mut self, observation: &Observation, now: Time);
    /// Loads of the pools in this availability zone, for daemons of others.
    fn zone_loads(&self, _now: Time) -> Vec<route::zone::Load> {
        Vec::new()
    }
    /// When `ready` should be called next, if nothing happens before.
    fn next_wake(&self) -> Option<Time>;
}
