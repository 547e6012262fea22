//! The input and output of a planner.

use std::borrow::Cow;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use super::{CallId, JobId, MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use crate::clock::Time;
use crate::id;
use crate::quarantine::evidence::Suspects;
use crate::serve::closure::Closure;
use crate::serve::rate::Rate;
use crate::serve::residency::Residency;

/// The longest time that a client is told while endpoints are closed; others may start meanwhile.
const MAX_CLOSED_RETRY_AFTER: Duration = Duration::from_secs(30);
/// The share of the time for which endpoints are closed over which clients return after it.
const CLOSED_SPREAD: f64 = 0.25;

/// The name by which an endpoint identifies a result that it holds.
pub type Handle = id::Name;

event! {
    /// A request with the stages that have to be done before it runs.
    pub struct Job {
        /// The request's id, which is sent with its pieces.
        pub request: id::Name,
        /// The key that its pieces are computed from.
        pub piece_key: id::Name,
        /// The stages.
        pub stages: Vec<Stage>,
        /// The service that runs the request itself.
        pub service: id::Pool,
        /// The priority; 0 is the most urgent.
        pub priority: u8,
        /// When its answer begins to lose value.
        pub target: Time,
        /// When the client stops waiting.
        pub deadline: Time,
        /// The time in which a request of its route should be answered. A client that retries after a
        /// refusal has missed its target, and gets this time again before it is refused for good.
        pub target_latency: Duration,
        /// The value of its answer relative to others of its route; 1 on average.
        pub weight: f32,
        /// The digest of its content, by which crashes of endpoints are counted.
        pub digest: id::Digest,
        /// The parts of the prompt, in order; the last one is not shared.
        pub prompt_parts: Vec<PromptPart>,
        /// The tokens of the prompt and of the longest answer.
        pub tokens: Tokens,
        /// The availability zone of the daemon that serves the client.
        pub zone: id::Zone,
        /// Results that an earlier planner hands over.
        pub transferred_results: Vec<TransferredResult>,
        /// The software version that began its stream, at which alone it may go on.
        pub release: Option<id::Release>,
        /// Endpoints that take nothing from the daemon that serves the client.
        pub closures: Vec<Closure>,
        /// The regions in which it may be.
        pub residency: Residency,
    }

    /// A result that one planner hands over to another.
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
        /// When the endpoint drops it by itself.
        pub expires_at: Time,
    }

    /// A prompt part that was sent to an engine, which should have it cached.
    pub struct CachedPart {
        /// The engine.
        pub endpoint: id::Endpoint,
        /// The part.
        pub part: id::Name,
        /// When it was sent last.
        pub sent_at: Time,
    }
}

impl Job {
    /// Returns the number of pieces of all its stages.
    pub fn pieces(&self) -> usize {
        let pieces = self.stages.iter().map(|stage| stage.pieces);
        pieces.fold(0, usize::saturating_add)
    }

    /// Returns what it can be blamed by when its endpoint ends.
    pub fn suspects(&self) -> Suspects {
        suspects(&self.digest, &self.prompt_parts)
    }
}

/// Returns what a request can be blamed by; the last part of its prompt is its own.
pub fn suspects(content: &id::Digest, prompt_parts: &[PromptPart]) -> Suspects {
    let shared = prompt_parts.split_last();
    let shared = shared.map_or(&[][..], |(_, shared)| shared);
    Suspects {
        content: content.clone(),
        parts: shared.iter().map(|part| part.id.clone()).collect(),
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
        /// The number of its pieces; 0 when the stage is skipped.
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
    /// One piece of a call to a stage endpoint.
    pub struct PieceRequest {
        /// The request.
        pub request: id::Name,
        /// The stage.
        pub stage: usize,
        /// The piece, numbered from 0.
        pub piece: usize,
        /// The time after which its result is useless.
        pub remaining: Duration,
        /// What it is computed from.
        pub source: Input,
        /// The regions in which the request may be.
        pub residency: Residency,
    }

    /// What a piece is computed from.
    pub enum Input {
        /// The key of the request.
        Key(id::Name),
        /// The results of all stages that it comes after.
        Handles(Vec<Handle>),
    }

    /// The outcome of one piece.
    pub enum PieceOutcome {
        /// The endpoint holds the result.
        Handle(Handle),
        /// Its time had run out.
        Late,
        /// One of its inputs was lost.
        InputLost,
        /// The endpoint has no room for the result.
        NoRoom,
        /// The endpoint failed.
        Error,
    }

    /// The outcome of a call.
    pub enum CallOutcome {
        /// The endpoint answered with the outcome of each piece, in order.
        Answered(Vec<PieceOutcome>),
        /// The endpoint ran nothing: it was full, or is not the intended one.
        Refused,
        /// The connection was lost, the call timed out, or the answer was invalid.
        Lost,
        /// The link of the calling VM was lost, which says nothing of the endpoint.
        Cut,
    }
}

event! {
    /// The engine for a request, and the inputs that it needs.
    pub struct Grant {
        /// The endpoint that is to run the request.
        pub endpoint: id::Endpoint,
        /// Where it listens.
        pub address: SocketAddr,
        /// The version of the endpoint's software; none from a planner that does not tell.
        pub release: Option<id::Release>,
        /// Whether the planner wants to know that the answer goes on.
        pub is_watched: bool,
        /// The limit of the endpoint as the planner knows it, in requests a second.
        pub limit: Option<Rate>,
        /// The engine from which it is to fetch the beginning of the prompt.
        pub fetch_from: Option<SocketAddr>,
        /// The results that it is to fetch, in the order of stages and pieces.
        pub inputs: Vec<Handle>,
    }

    /// Why a request is refused.
    pub struct Refusal {
        /// The reason, for the log.
        pub reason: Cow<'static, str>,
        /// The time after which the client may retry.
        pub retry_after: Duration,
        /// Whether another planner has to be asked, since this one is leaving.
        pub is_transferred: bool,
        /// The results that the other planner gets.
        pub transferred_results: Vec<TransferredResult>,
        /// Whether no other region may serve it either.
        pub is_final: bool,
    }
}

event! {
    /// What the dispatcher has to do for the planner.
    pub enum Action {
        /// Call an endpoint of a stage.
        Call {
            /// The id of the call.
            call: CallId,
            /// The endpoint.
            endpoint: id::Endpoint,
            /// Where it listens.
            address: SocketAddr,
            /// The timeout.
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
        Grant(JobId, Grant),
        /// Refuse the request, which has not run.
        Refuse(JobId, Refusal),
    }
}

impl CallOutcome {
    /// Returns its name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "stage.answered",
            Self::Refused => "stage.refused",
            Self::Lost => "stage.lost",
            Self::Cut => "stage.cut",
        }
    }
}

impl Default for Grant {
    /// Makes the placeholder of a request without a grant.
    fn default() -> Self {
        Self {
            endpoint: "".into(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            release: None,
            is_watched: false,
            limit: None,
            fetch_from: None,
            inputs: Vec::new(),
        }
    }
}

impl Refusal {
    /// Makes a refusal; the delay is clamped.
    pub fn new(reason: impl Into<Cow<'static, str>>, retry_after: Duration) -> Self {
        Self {
            reason: reason.into(),
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            is_transferred: false,
            transferred_results: Vec::new(),
            is_final: false,
        }
    }

    /// Makes the refusal of a request all of whose endpoints of some service are in evacuated zones.
    pub fn emptied() -> Self {
        Self::new("its endpoints are in evacuated zones", MAX_RETRY_AFTER)
    }

    /// Makes the refusal of a request whose endpoints are closed for a known time. Clients are spread over
    /// a quarter of it, so that they don't return together.
    pub fn closed(request: &str, remaining: Duration) -> Self {
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        let spread = f64::from(u8::try_from(hasher.finish() % 256).unwrap_or_default()) / 255.0;
        Self {
            reason: "no endpoint takes requests now".into(),
            retry_after: remaining
                .clamp(MIN_RETRY_AFTER, MAX_CLOSED_RETRY_AFTER)
                .mul_f64(1.0 + CLOSED_SPREAD * spread),
            is_transferred: false,
            transferred_results: Vec::new(),
            is_final: false,
        }
    }

    /// Makes the refusal of content that ends the endpoints that run it.
    pub fn quarantined(remaining: Duration) -> Self {
        let mut refusal = Self::new("its content ends the endpoints that run it", remaining);
        refusal.is_final = true;
        refusal
    }

    /// Makes the refusal of a request of more pieces than any planner takes.
    pub fn oversized() -> Self {
        let mut refusal = Self::new("its stages have too many pieces", MAX_RETRY_AFTER);
        refusal.is_final = true;
        refusal
    }

    /// Makes the refusal of a request that no region may serve, which only a new configuration or new
    /// endpoints change.
    pub fn misplaced(reason: String) -> Self {
        let mut refusal = Self::new(reason, MAX_RETRY_AFTER);
        refusal.is_final = true;
        refusal
    }

    /// Makes the refusal of a planner that has ended.
    pub fn planner_gone() -> Self {
        Self {
            reason: "the planner is gone".into(),
            retry_after: MIN_RETRY_AFTER,
            is_transferred: false,
            transferred_results: Vec::new(),
            is_final: false,
        }
    }
}
