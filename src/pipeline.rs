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
        /// Name of the stage.
        pub name: id::Stage,
        /// Pool that runs it.
        pub pool: id::Pool,
        /// Whether its endpoints generate tokens.
        pub generates: bool,
        /// Whether it may run more than once.
        pub repeatable: bool,
        /// Limit of generated tokens.
        pub max_tokens: u32,
    }

    /// The stages that a request runs through.
    pub struct Plan {
        /// Name of the pipeline.
        pub name: id::Pipeline,
        /// Time limit from arrival to the complete answer.
        pub deadline: Duration,
        /// Priority, from 0 (highest) to 7 (lowest).
        pub priority: u8,
        /// The stages, in order.
        pub stages: Vec<Stage>,
    }

    /// A request of a caller.
    pub struct Request {
        /// Id assigned on arrival.
        pub id: id::Request,
        /// The workspace of the caller's key.
        pub workspace: id::Workspace,
        /// The idempotency key.
        pub key: Option<id::Key>,
        /// When the caller issued the key.
        pub issued: Option<std::time::SystemTime>,
        /// Digest of pipeline and body, equal for every resend.
        pub digest: id::Digest,
        /// Body, as JSON text.
        pub body: id::Name,
        /// Whether the caller gets tokens as they are generated.
        pub stream: bool,
    }

    /// An input of the state machine.
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
        /// A remainder was not sent, or the connection to the other daemon broke.
        RelocationFailed(id::Attempt, peer::Error),
        /// The time returned by `next_wake` was reached.
        Wake,
        /// The caller disconnected.
        CallerDisconnected,
    }

    /// An output, for the daemon to carry out.
    pub enum Action {
        /// Claim the right to run stages that may not be repeated.
        Claim(claim::Claim),
        /// Record the outcome of a granted claim.
        Settle(claim::Outcome),
        /// Send a call to an endpoint.
        Call(policy::Pick, Box<endpoint::Call>),
        /// Cancel a call in flight.
        Cancel(policy::Pick, id::Attempt),
        /// Send the remainder to a daemon of this region.
        Relocate(id::Region, Box<Remainder>),
        /// Cancel a remainder at another daemon, by its first attempt.
        CancelRelocation(id::Attempt),
        /// Send a token to the caller.
        Token(endpoint::Token),
        /// Answer the caller; only `Settle` and cancellations may follow.
        Finish(Finish),
        /// An endpoint crashed while it ran this request's content.
        Blame(id::Digest, id::Endpoint),
    }
}

impl Plan {
    /// Returns the index of the stage that streams its tokens: the last that generates.
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
    /// Remaining stages of a request, sent to a daemon nearer to the endpoints.
    pub struct Remainder {
        /// Id of the request.
        pub request: id::Request,
        /// Workspace of the caller.
        pub workspace: id::Workspace,
        /// Name of the pipeline.
        pub pipeline: id::Pipeline,
        /// The caller's idempotency key.
        pub key: Option<id::Key>,
        /// The first attempt number that the other daemon may use.
        pub attempt: id::Attempt,
        /// The caller's body, as JSON text.
        pub body: id::Name,
        /// Results so far, in order; the stage after them runs next.
        #[serde(rename = "parts")]
        pub stage_results: Vec<claim::StageResult>,
        /// Time left until the deadline.
        pub remaining: Duration,
        /// Whether the claim was granted, as non-repeatable stages need.
        pub granted: bool,
        /// Whether to send tokens back as they are generated.
        pub stream: bool,
    }

    /// Result of a remainder at another daemon.
    pub struct Remote {
        /// Response to the caller.
        pub finish: Finish,
        /// All results so far, in order.
        #[serde(rename = "parts")]
        pub stage_results: Vec<claim::StageResult>,
        /// Whether a non-repeatable stage may have run without a result.
        pub doubtful: bool,
        /// Resources used.
        pub usage: endpoint::Usage,
    }

    /// Response to the caller.
    pub enum Finish {
        /// Complete answer, as JSON text.
        Answer(id::Name),
        /// No stage ran; the request is safe to resend.
        NotRun {
            /// Why it did not run.
            reason: String,
            /// Delay before a resend.
            retry_after: Option<Duration>,
        },
        /// The request may have run; the same key does not run it again.
        Unknown {
            /// Why it is unknown.
            reason: String,
        },
        /// The request ran and failed.
        Failed {
            /// Why it failed.
            reason: String,
            /// Delay before a resend; none when a non-repeatable stage ran.
            retry_after: Option<Duration>,
        },
        /// The key was used with another body.
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
