//! Claims: a request that may not be repeated runs only after its claim stands first in the log.
//!
//! See [the design note](../docs/design/claims.md).

use std::time::{Duration, SystemTime};

use crate::id;

pub mod coordinator;
pub mod fold;
pub mod in_doubt;
pub mod memory;
pub mod message;
pub mod mutation;
pub mod record;
pub mod router;
pub mod stream;
pub mod window;
pub mod writer;

event! {
    /// A request for the right to run.
    pub struct Claim {
        /// The workspace that chose the key.
        pub workspace: id::Workspace,
        /// The idempotency key.
        pub key: id::Key,
        /// Digest of pipeline and body; the same key with another digest is refused.
        pub digest: id::Digest,
        /// The request, which is the attempt id of the claim.
        pub request: id::Request,
        /// When the caller issued the key, if it said so.
        pub issued: Option<SystemTime>,
        /// How long the caller still waits.
        pub remaining: Duration,
    }

    /// The decision on a claim.
    pub enum Verdict {
        /// The request may run, and nobody else may.
        Granted,
        /// An earlier request with the key ran; this is its whole answer.
        Answered(id::Name),
        /// An earlier request with the key ran its stages that may not be repeated;
        /// the rest may run again from these results.
        Resume(Vec<StageResult>),
        /// The key was used with another body.
        Conflict,
        /// An earlier request with the key may have run, and nobody knows how it ended.
        Unknown,
        /// Nothing ran, and nothing will for this request.
        NotRun {
            /// What stood in the way.
            reason: String,
            /// When to send again; none when sending again does not help.
            retry_after: Option<Duration>,
        },
    }

    /// How a granted request ended.
    pub enum Outcome {
        /// The whole answer.
        Answered(id::Name),
        /// All stages that may not be repeated ran; a later one failed.
        Partial(Vec<StageResult>),
        /// A stage that may not be repeated may have run, without a result.
        Unknown,
        /// No stage that may not be repeated was sent; the key may be claimed again.
        Released,
    }
}

value! {
    /// The result of one stage.
    pub struct StageResult {
        /// The stage.
        pub stage: id::Stage,
        /// Its JSON text.
        pub body: id::Name,
    }
}

/// Decides claims for the requests of this daemon.
pub trait Coordinator: Send + Sync {
    /// Asks for the right to run; the verdict arrives on `reply` within the remaining time.
    fn claim(&self, ask: Claim, reply: flume::Sender<Verdict>);
    /// Records how a granted request ended; it is made durable in the background.
    fn settle(&self, request: id::Request, outcome: Outcome);
    /// Waits until every outcome is durable; false when `timeout` passed first.
    fn flush(&self, timeout: Duration) -> bool;
}

#[cfg(test)]
mod tests;
