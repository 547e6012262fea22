//! Pipelines: the plan of a request, and the events and actions of its state machine.
//!
//! See [the architecture](../docs/ARCHITECTURE.md).

use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::{claim, endpoint, id, peer, policy};

pub mod input;
pub mod prefix;
pub mod run;

event! {
    /// One stage of a plan.
    pub struct Stage {
        /// The name of the stage.
        pub name: id::Stage,
        /// The pool whose endpoints run the stage.
        pub pool: id::Pool,
        /// Whether the endpoints are engines, which generate tokens.
        pub generates: bool,
        /// Whether the stage may run more than once.
        pub repeatable: bool,
        /// The limit of generated tokens.
        pub max_tokens: u32,
    }

    /// The stages that a request runs through.
    pub struct Plan {
        /// The name of the pipeline.
        pub name: id::Pipeline,
        /// The time limit from arrival to the complete answer.
        pub deadline: Duration,
        /// The priority, from 0 (highest) to 7 (lowest).
        pub priority: u8,
        /// The stages, in order.
        pub stages: Vec<Stage>,
    }

    /// A request of a caller.
    pub struct Request {
        /// The id assigned on arrival.
        pub id: id::Request,
        /// The workspace of the caller's key.
        pub workspace: id::Workspace,
        /// The idempotency key.
        pub key: Option<id::Key>,
        /// When the caller issued the key.
        pub issued: Option<std::time::SystemTime>,
        /// Digest of pipeline and body, equal for every resend of the request.
        pub digest: id::Digest,
        /// The body, as JSON text.
        pub body: id::Name,
        /// Whether the caller gets tokens as they are generated.
        pub stream: bool,
    }

    /// An input of the state machine of a request.
    pub enum Event {
        /// The request arrived.
        Start,
        /// The claim was decided.
        Claimed(claim::Verdict),
        /// A queued stage may be placed.
        Ready(id::Attempt),
        /// A token was generated.
        Token(id::Attempt, endpoint::Token),
        /// A call to an endpoint ended.
        Ended(id::Attempt, endpoint::Result<endpoint::Answer>),
        /// A remainder ended at the other daemon.
        RelocationEnded(id::Attempt, Remote),
        /// A remainder could not be sent, or the connection to the other daemon broke.
        RelocationFailed(id::Attempt, peer::Error),
        /// The time returned by `next_wake` was reached.
        Wake,
        /// The caller disconnected.
        CallerDisconnected,
    }

    /// An output of the state machine of a request, to be carried out by the daemon.
    pub enum Action {
        /// Request a claim, the right to run stages that may not be repeated.
        Claim(claim::Claim),
        /// Record the outcome of a granted claim.
        Settle(claim::Outcome),
        /// Send a call to an endpoint.
        Call(policy::Pick, Box<endpoint::Call>),
        /// Cancel a call in flight.
        Cancel(policy::Pick, id::Attempt),
        /// Send the remainder of the request to a daemon of this region.
        Relocate(id::Region, Box<Remainder>),
        /// Cancel a remainder at another daemon, identified by its first attempt.
        CancelRelocation(id::Attempt),
        /// Send a token to the caller.
        Token(endpoint::Token),
        /// Answer the caller; only `Settle`, `Cancel` and `CancelRelocation` may follow.
        Finish(Finish),
        /// An endpoint died while it ran this request's content.
        Blame(id::Digest, id::Endpoint),
    }
}

impl Plan {
    /// Returns the index of the stage whose tokens are streamed: the last that generates.
    pub fn streamed_stage(&self) -> Option<usize> {
        self.stages.iter().rposition(|s| s.generates)
    }

    /// Returns the pools of the stages from `index` on.
    pub fn pools_from(&self, index: usize) -> Vec<id::Pool> {
        let rest = self.stages.iter().skip(index);
        rest.map(|s| s.pool.clone()).collect()
    }

    /// Returns whether every stage may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.stages.iter().all(|s| s.repeatable)
    }
}

value! {
    /// The stages of a request that are left to run, sent to a daemon nearer to the endpoints.
    pub struct Remainder {
        /// The id of the request.
        pub request: id::Request,
        /// The workspace of the caller.
        pub workspace: id::Workspace,
        /// The name of the pipeline.
        pub pipeline: id::Pipeline,
        /// The caller's idempotency key.
        pub key: Option<id::Key>,
        /// The first attempt number that the other daemon may use.
        pub attempt: id::Attempt,
        /// The caller's body, as JSON text.
        pub body: id::Name,
        /// The results of the stages that have run, in order.
        #[serde(rename = "parts")]
        pub stage_results: Vec<claim::StageResult>,
        /// The time left until the deadline.
        pub remaining: Duration,
        /// Whether the claim was granted, so that non-repeatable stages may run.
        pub granted: bool,
        /// Whether to send tokens back as they are generated.
        pub stream: bool,
    }

    /// The result of a remainder that ran at another daemon.
    pub struct Remote {
        /// The response to the caller.
        pub finish: Finish,
        /// The results of all stages that have run, in order.
        #[serde(rename = "parts")]
        pub stage_results: Vec<claim::StageResult>,
        /// Whether a non-repeatable stage may have run without its result being known.
        pub doubtful: bool,
        /// The resources used.
        pub usage: endpoint::Usage,
    }

    /// The response to the caller.
    pub enum Finish {
        /// The complete answer, as JSON text.
        Answer(id::Name),
        /// No stage ran; the request is safe to resend.
        NotRun {
            /// Why it did not run.
            reason: String,
            /// How long to wait before a resend.
            retry_after: Option<Duration>,
        },
        /// The request may have run; a resend with the same key does not run it again.
        Unknown {
            /// Why the outcome is unknown.
            reason: String,
        },
        /// The request ran and failed.
        Failed {
            /// Why it failed.
            reason: String,
            /// How long to wait before a resend; none when a non-repeatable stage ran.
            retry_after: Option<Duration>,
        },
        /// The idempotency key was used before with another body.
        Conflict,
    }
}

/// Returns the digest of pipeline and body, by which a resend is recognised.
pub fn digest(pipeline: &str, body: &str) -> id::Digest {
    let mut hash = Sha256::new();
    hash.update(pipeline);
    hash.update([0]);
    hash.update(body);
    hex::encode(hash.finalize()).into()
}
