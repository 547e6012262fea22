//! The border of the policy: admission, choice of endpoint, retries and hedges.
//!
//! A policy does no I/O. See [the design note](../docs/design/policy.md).

use std::time::Duration;

use crate::clock::Time;
use crate::{endpoint, id, route};

pub mod adaptive;
pub mod deadline;
pub mod knobs;
pub mod latency;
pub mod naive;
pub mod placement;

event! {
    /// A request at the door.
    pub struct Arrival {
        /// The request.
        pub request: id::Request,
        /// Its workspace.
        pub workspace: id::Workspace,
        /// Its pipeline.
        pub pipeline: id::Pipeline,
        /// The pools of its stages, in order.
        pub pools: Vec<id::Pool>,
        /// When the whole answer is due.
        pub deadline: Time,
        /// 0 is the most important, 7 the least.
        pub priority: u8,
        /// Estimated cost in tokens.
        pub cost: u64,
    }

    /// Whether a request is let in.
    pub enum Admission {
        /// It is.
        Admit,
        /// It is not; nothing ran.
        Refuse {
            /// What stood in the way.
            reason: &'static str,
            /// When to send again.
            retry_after: Duration,
        },
    }

    /// A stage that needs an endpoint.
    pub struct Attempt {
        /// The request.
        pub request: id::Request,
        /// The attempt.
        pub id: id::Attempt,
        /// The workspace.
        pub workspace: id::Workspace,
        /// The pipeline.
        pub pipeline: id::Pipeline,
        /// Index of the stage in the pipeline.
        pub index: usize,
        /// The stage.
        pub stage: id::Stage,
        /// The pool that it runs on.
        pub pool: id::Pool,
        /// Pools of the stages after it.
        pub later_pools: Vec<id::Pool>,
        /// Whether it may run more than once.
        pub repeatable: bool,
        /// When the whole answer is due.
        pub deadline: Time,
        /// 0 is the most important, 7 the least.
        pub priority: u8,
        /// Estimated cost in tokens.
        pub cost: u64,
        /// Bytes of the input.
        pub input_bytes: u64,
        /// Hashes of growing prefixes of the prompt, shortest first.
        pub prefixes: Vec<u64>,
        /// Endpoints that must not be chosen, because they failed this stage already.
        pub exclude: Vec<id::Endpoint>,
        /// The region where the stage before ran.
        pub previous_region: Option<id::Region>,
        /// The model version that it must run on.
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
        /// How long to wait for the whole answer.
        pub timeout: Duration,
        /// When to try a second endpoint as well, if at all.
        pub hedge_after: Option<Duration>,
    }

    /// The decision on an `Ask`.
    pub enum Placement {
        /// The call is to be sent now, and counts as in flight.
        Send(Pick),
        /// It waits in the pool's queue until `Policy::ready` names it.
        Wait,
        /// The whole remainder of the request is to run at a daemon of this region.
        Relocate(id::Region),
        /// It cannot be placed in time.
        Refuse {
            /// What stood in the way.
            reason: &'static str,
            /// When to send again.
            retry_after: Duration,
        },
    }

    /// The decision after a failed attempt.
    pub enum Retry {
        /// Ask again after this long.
        After(Duration),
        /// Give up.
        Stop,
    }

    /// A stage that waited and may ask again now.
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
        /// Whether it is leaving: it gets nothing new.
        pub leaving: bool,
    }

    /// How a call ended.
    pub enum End {
        /// With a whole answer.
        Answered(endpoint::Usage),
        /// With a failure.
        Failed(endpoint::Error),
        /// It was cancelled by this side: a hedge lost, or the caller left.
        Cancelled,
    }

    /// What a policy learns from.
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
        /// The request left the daemon, with or without an answer.
        RequestEnded {
            /// The request.
            request: id::Request,
            /// Whether it was answered whole within its deadline.
            attained: bool,
        },
        /// A report of load.
        Load {
            /// The engine.
            endpoint: id::Endpoint,
            /// What it said.
            load: endpoint::Load,
        },
        /// A cache event.
        Cache {
            /// The engine.
            endpoint: id::Endpoint,
            /// What changed.
            cache: endpoint::Cache,
        },
        /// The endpoints that may be chosen, replacing the list before.
        Candidates(Vec<Candidate>),
        /// An endpoint is leaving.
        Leaving(id::Endpoint),
        /// The load of a pool in another availability zone.
        ZoneLoad(route::zone::Load),
        /// Knobs of a scope, exceptions applied; none takes the scope's exception back.
        Knobs(knobs::Scope, Option<Box<knobs::Knobs>>),
    }
}

/// Decides on admission, placement, retries and hedges.
pub trait Policy: Send {
    /// Decides whether a request is let in.
    fn admit(&mut self, arrival: &Arrival, now: Time) -> Admission;
    /// Chooses an endpoint for a stage; `Send` counts as in flight until `Observation::Ended`.
    fn place(&mut self, ask: &Attempt, now: Time) -> Placement;
    /// Returns waiting stages that may ask again; each is returned once.
    fn ready(&mut self, now: Time) -> Vec<Ticket>;
    /// Takes a waiting stage out of its queue.
    fn abandon(&mut self, ticket: &Ticket, now: Time);
    /// Decides what to do after a failed attempt.
    fn retry(&mut self, ask: &Attempt, error: &endpoint::Error, now: Time) -> Retry;
    /// Chooses a second endpoint for a slow call, if the budget allows.
    fn hedge(&mut self, ask: &Attempt, now: Time) -> Option<Pick>;
    /// Says whether a request can no longer finish in time.
    fn is_hopeless(&self, ask: &Attempt, now: Time) -> bool;
    /// Learns.
    fn observe(&mut self, observation: &Observation, now: Time);
    /// Digests of the load near, for daemons elsewhere.
    fn zone_loads(&self, _now: Time) -> Vec<route::zone::Load> {
        Vec::new()
    }
    /// When `ready` should be called next, if nothing happens before.
    fn next_wake(&self) -> Option<Time>;
}
