//! What a planner is asked and what it wants done.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use super::{CallId, MAX_WAIT, MIN_WAIT, Ticket};
use crate::clock::Time;
use crate::id;

/// A result that an endpoint holds, as the endpoint names it.
pub type Handle = id::Name;

event! {
    /// A request with the work that has to be done before it runs.
    pub struct Job {
        /// The request's id, under which its pieces are made.
        pub request: id::Name,
        /// What the pieces are made from.
        pub piece_key: id::Name,
        /// The stages.
        pub stages: Vec<Stage>,
        /// The service that runs the request itself.
        pub service: id::Pool,
        /// The rank; 0 is the most urgent.
        pub priority: u8,
        /// When an answer stops being of full use.
        pub target: Time,
        /// When nobody waits any longer.
        pub deadline: Time,
        /// The time in which a request of its route should be answered. A client that was refused
        /// and comes back has missed its target, and has as long again before it is given up.
        pub target_latency: Duration,
        /// What its answer is worth beside others of its route; 1 on average.
        pub weight: f32,
        /// The digest of its content, under which crashes of endpoints are held against it.
        pub digest: id::Digest,
        /// The parts of the prompt, in order.
        pub prompt_parts: Vec<PromptPart>,
        /// Tokens of the prompt and the most that are generated.
        pub tokens: Tokens,
        /// The availability zone of the caller.
        pub zone: id::Zone,
        /// Results that another planner had made for it.
        pub transferred_results: Vec<TransferredResult>,
    }

    /// A result that another planner had made.
    pub struct TransferredResult {
        /// The stage.
        pub stage: usize,
        /// The piece, numbered from 0.
        pub piece: usize,
        /// The result's handle.
        pub handle: Handle,
        /// The endpoint that holds it.
        pub endpoint: id::Endpoint,
        /// The endpoint's availability zone.
        pub zone: id::Zone,
        /// Its size, in bytes.
        pub bytes: u64,
        /// When the endpoint drops it.
        pub expires_at: Time,
    }

    /// A part of a prompt that was sent to an engine, which has it cached.
    pub struct CachedPart {
        /// The engine.
        pub endpoint: id::Endpoint,
        /// The part.
        pub part: id::Name,
        /// When it was sent last.
        pub sent_at: Time,
    }
}

event! {
    /// One stage of a job.
    pub struct Stage {
        /// The service.
        pub service: id::Pool,
        /// The stages whose results it needs.
        pub after: Vec<usize>,
        /// The size of one result, in bytes.
        pub bytes: u64,
        /// How many pieces it has; none when the stage is left out.
        pub pieces: usize,
    }
}

event! {
    /// A part of a prompt that other requests may share.
    pub struct PromptPart {
        /// The part's id.
        pub id: id::Name,
        /// Its tokens.
        pub tokens: u64,
    }
}

token! {
    /// The size of a generation.
    #[derive(Default)]
    pub struct Tokens {
        /// Tokens of the prompt.
        pub prompt: u64,
        /// The most tokens that are generated.
        pub output: u64,
    }
}

event! {
    /// One piece as an endpoint is asked for it.
    pub struct PieceRequest {
        /// The request.
        pub request: id::Name,
        /// The stage.
        pub stage: usize,
        /// The piece, numbered from 0.
        pub piece: usize,
        /// The time after which nobody needs it.
        pub remaining: Duration,
        /// What it is made from.
        pub source: Input,
    }

    /// What a piece is made from.
    pub enum Input {
        /// The key of the request.
        Key(id::Name),
        /// The results of all stages that it comes after.
        Handles(Vec<Handle>),
    }

    /// What became of one piece.
    pub enum PieceOutcome {
        /// The endpoint holds the result.
        Handle(Handle),
        /// It was too late for it.
        Late,
        /// One of its inputs is gone.
        Gone,
        /// The endpoint has no room for the result.
        Room,
        /// The endpoint failed.
        Error,
    }

    /// How a whole call ended.
    pub enum CallOutcome {
        /// The endpoint answered for each piece, in order.
        Answered(Vec<PieceOutcome>),
        /// The endpoint ran nothing: it was full, or is another one.
        Refused,
        /// The connection was lost, or the answer was none.
        Lost,
    }
}

event! {
    /// What an endpoint holds for a job, for the request that needs it.
    #[derive(Eq)]
    pub struct Grant {
        /// The endpoint that is to run the request.
        pub endpoint: id::Endpoint,
        /// Where it listens.
        pub address: SocketAddr,
        /// The results that it is to fetch, in the order of stages and pieces.
        pub inputs: Vec<Handle>,
    }

    /// Why a request is refused.
    pub struct Refusal {
        /// What was decisive, for the log.
        pub reason: Cow<'static, str>,
        /// When the client may come back.
        pub retry_after: Duration,
        /// Whether another planner is to be asked, since this one is leaving.
        pub is_transferred: bool,
        /// What was made for a request that is moved.
        pub transferred_results: Vec<TransferredResult>,
    }
}

event! {
    /// What a planner wants done.
    pub enum Action {
        /// Call an endpoint of a stage.
        Call {
            /// The call, by which its end is told.
            call: CallId,
            /// The endpoint.
            endpoint: id::Endpoint,
            /// Where it listens.
            address: SocketAddr,
            /// How long it may take before it is given up.
            timeout: Duration,
            /// The pieces.
            pieces: Vec<PieceRequest>,
        },
        /// Tell an endpoint that results are no longer needed.
        Free {
            /// The endpoint.
            endpoint: id::Endpoint,
            /// Where it listens.
            address: SocketAddr,
            /// The results.
            handles: Vec<Handle>,
        },
        /// Run the request.
        Grant(Ticket, Grant),
        /// Refuse the request: it has not run.
        Refuse(Ticket, Refusal),
    }
}

impl CallOutcome {
    /// Returns the name of the ending in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "stage.answered",
            Self::Refused => "stage.refused",
            Self::Lost => "stage.lost",
        }
    }
}

impl Default for Grant {
    /// The grant of a request that has none yet.
    fn default() -> Self {
        Self {
            endpoint: "".into(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            inputs: Vec::new(),
        }
    }
}

impl Refusal {
    /// Makes a refusal whose wait is within bounds.
    pub fn new(reason: impl Into<Cow<'static, str>>, wait: Duration) -> Self {
        Self {
            reason: reason.into(),
            retry_after: wait.clamp(MIN_WAIT, MAX_WAIT),
            is_transferred: false,
            transferred_results: Vec::new(),
        }
    }

    /// The planner itself is gone.
    pub fn planner_gone() -> Self {
        Self {
            reason: "the planner is gone".into(),
            retry_after: MIN_WAIT,
            is_transferred: false,
            transferred_results: Vec::new(),
        }
    }
}
