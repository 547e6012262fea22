//! Pipelines: what a request runs through, and the events and actions of its state machine.
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
        /// Its name.
        pub name: id::Stage,
        /// The pool that it runs on.
        pub pool: id::Pool,
        /// Whether its endpoints generate tokens.
        pub generates: bool,
        /// Whether it may run more than once.
        pub repeatable: bool,
        /// The most tokens to generate.
        pub max_tokens: u32,
    }

    /// The stages that a request runs through.
    pub struct Plan {
        /// The pipeline.
        pub name: id::Pipeline,
        /// Time from arrival to the whole answer.
        pub deadline: Duration,
        /// 0 is the most important, 7 the least.
        pub priority: u8,
        /// The stages, in order.
        pub stages: Vec<Stage>,
    }

    /// What a caller asked for.
    pub struct Request {
        /// The id given at the door.
        pub id: id::Request,
        /// The workspace of the caller's key.
        pub workspace: id::Workspace,
        /// The idempotency key.
        pub key: Option<id::Key>,
        /// When the caller issued the key.
        pub issued: Option<std::time::SystemTime>,
        /// Digest of pipeline and body, which does not change when the request is sent again.
        pub digest: id::Digest,
        /// JSON text.
        pub body: id::Name,
        /// Whether tokens are sent as they are generated.
        pub stream: bool,
    }

    /// What happens to a request.
    pub enum Event {
        /// It arrived.
        Start,
        /// Its claim was decided.
        Claimed(claim::Verdict),
        /// A stage that waited may be placed.
        Ready(id::Attempt),
        /// A token was generated.
        Token(id::Attempt, endpoint::Token),
        /// A call ended.
        Ended(id::Attempt, endpoint::Result<endpoint::Answer>),
        /// A remainder that ran at another daemon ended there.
        RelocationEnded(id::Attempt, Remote),
        /// A remainder was not sent, or the connection to the other daemon broke.
        RelocationFailed(id::Attempt, peer::Error),
        /// The time of `next_wake` came.
        Wake,
        /// The caller went away.
        CallerDisconnected,
    }

    /// What is to be done for a request.
    pub enum Action {
        /// Ask for the right to run.
        Claim(claim::Claim),
        /// Record how the granted request ended.
        Settle(claim::Outcome),
        /// Send a call.
        Call(policy::Pick, Box<endpoint::Call>),
        /// End a call that runs.
        Cancel(policy::Pick, id::Attempt),
        /// Run the rest of the request at a daemon of this region.
        Relocate(id::Region, Box<Remainder>),
        /// End a remainder that runs at another daemon, by its first attempt.
        CancelRelocation(id::Attempt),
        /// Send a token to the caller.
        Token(endpoint::Token),
        /// Answer the caller; nothing else follows but `Settle` and `Cancel`.
        Finish(Finish),
        /// An endpoint died while it ran this request's content.
        Blame(id::Digest, id::Endpoint),
    }
}

impl Plan {
    /// Returns the stage whose tokens the caller sees: the last that generates.
    pub fn streamed_stage(&self) -> Option<usize> {
        self.stages.iter().rposition(|s| s.generates)
    }

    /// Returns the pools of the stages from `index` on.
    pub fn pools_from(&self, index: usize) -> Vec<id::Pool> {
        let rest = self.stages.iter().skip(index);
        rest.map(|s| s.pool.clone()).collect()
    }

    /// Says whether every stage may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.stages.iter().all(|s| s.repeatable)
    }
}

value! {
    /// The rest of a request, handed to a daemon that is nearer to the endpoints.
    pub struct Remainder {
        /// The request.
        pub request: id::Request,
        /// Its workspace.
        pub workspace: id::Workspace,
        /// Its pipeline.
        pub pipeline: id::Pipeline,
        /// The caller's idempotency key.
        pub key: Option<id::Key>,
        /// The first attempt number that the other daemon may use.
        pub attempt: id::Attempt,
        /// The caller's body, as JSON text.
        pub body: id::Name,
        /// The results so far, in order; the next stage is the one after them.
        pub parts: Vec<claim::StageResult>,
        /// Time left until the deadline.
        pub remaining: Duration,
        /// Whether its claim was granted, so that it may run what may not be repeated.
        pub granted: bool,
        /// Whether tokens are to be sent back as they are generated.
        pub stream: bool,
    }

    /// How a remainder ended at another daemon.
    pub struct Remote {
        /// What the caller is to be told.
        pub finish: Finish,
        /// All results, in order, as far as they go.
        pub parts: Vec<claim::StageResult>,
        /// Whether a stage that may not be repeated may have run without a result.
        pub doubtful: bool,
        /// What it spent.
        pub usage: endpoint::Usage,
    }

    /// What the caller is told.
    pub enum Finish {
        /// The whole answer, as JSON text.
        Answer(id::Name),
        /// Nothing ran; it is safe to send again.
        NotRun {
            /// What stood in the way.
            reason: String,
            /// When to send again.
            retry_after: Option<Duration>,
        },
        /// It may have run; the same key will not run it again.
        Unknown {
            /// What is known.
            reason: String,
        },
        /// It ran and failed.
        Failed {
            /// Why.
            reason: String,
            /// When to send again; none when a stage that may not be repeated ran.
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
