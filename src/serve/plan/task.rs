//! What a planner is asked and what it wants done.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use super::{MAX_WAIT, MIN_WAIT, Number, Ticket};
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
        pub key: id::Name,
        /// The stages.
        pub needs: Vec<Need>,
        /// The service that runs the request itself.
        pub service: id::Pool,
        /// The rank; 0 is the most urgent.
        pub priority: u8,
        /// When an answer stops being of full use.
        pub target: Time,
        /// When nobody waits any longer.
        pub end: Time,
        /// The time in which a request of its route should be answered. A client that was refused
        /// and comes back has missed its target, and has as long again before it is given up.
        pub span: Duration,
        /// What its answer is worth beside others of its route; 1 on average.
        pub weight: f32,
        /// The digest of its content, under which crashes of endpoints are held against it.
        pub digest: id::Digest,
        /// The parts of the prompt, in order.
        pub parts: Vec<Part>,
        /// Tokens of the prompt and the most that are generated.
        pub tokens: Tokens,
        /// The availability zone of the caller.
        pub zone: id::Zone,
        /// Results that another planner had made for it.
        pub made: Vec<Given>,
    }

    /// A result that another planner had made.
    pub struct Given {
        /// The stage.
        pub stage: usize,
        /// The piece, numbered from 0.
        pub piece: usize,
        /// The result's handle.
        pub handle: Handle,
        /// The endpoint that holds it.
        pub maker: id::Endpoint,
        /// The endpoint's availability zone.
        pub zone: id::Zone,
        /// Its size, in bytes.
        pub bytes: u64,
        /// When the endpoint drops it.
        pub until: Time,
    }

    /// A part of a prompt that was sent to an engine, which has it cached.
    pub struct Use {
        /// The engine.
        pub endpoint: id::Endpoint,
        /// The part.
        pub part: id::Name,
        /// When it was sent last.
        pub at: Time,
    }
}

event! {
    /// One stage of a job.
    pub struct Need {
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
    pub struct Part {
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
    pub struct Entry {
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
    pub enum Outcome {
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
    pub enum Ending {
        /// The endpoint answered for each piece, in order.
        Answered(Vec<Outcome>),
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
        pub wait: Duration,
        /// Whether another planner is to be asked, since this one is leaving.
        pub is_moved: bool,
        /// What was made for a request that is moved.
        pub made: Vec<Given>,
    }
}

event! {
    /// What a planner wants done.
    pub enum Action {
        /// Call an endpoint of a stage.
        Call {
            /// The call, by which its end is told.
            call: Number,
            /// The endpoint.
            endpoint: id::Endpoint,
            /// Where it listens.
            address: SocketAddr,
            /// How long it may take before it is given up.
            patience: Duration,
            /// The pieces.
            entries: Vec<Entry>,
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

impl Ending {
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
            wait: wait.clamp(MIN_WAIT, MAX_WAIT),
            is_moved: false,
            made: Vec::new(),
        }
    }

    /// The planner itself is gone.
    pub fn gone() -> Self {
        Self {
            reason: "the planner is gone".into(),
            wait: MIN_WAIT,
            is_moved: false,
            made: Vec::new(),
        }
    }
}
