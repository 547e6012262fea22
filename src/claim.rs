//! Claims: a request that may not be repeated runs only after its claim is first in the log.
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
    /// A claim of an idempotency key by a request.
    pub struct Claim {
        /// The workspace that chose the key.
        pub workspace: id::Workspace,
        /// The idempotency key.
        pub key: id::Key,
        /// Digest of pipeline and body; the same key with another digest is refused.
        pub digest: id::Digest,
        /// The request; its id tells the claims of one key apart.
        pub request: id::Request,
        /// When the caller issued the key, if the caller states it.
        pub issued: Option<SystemTime>,
        /// How long the caller waits from now on.
        pub remaining: Duration,
    }

    /// The decision on a claim.
    pub enum Verdict {
        /// The request may run, and no other with the key may.
        Granted,
        /// An earlier request with the key ran and gave this answer.
        Answered(id::Name),
        /// An earlier request with the key ran its stages that may not be repeated;
        /// the rest may run again from these results.
        Resume(Vec<StageResult>),
        /// The key was used with another pipeline or body.
        Conflict,
        /// An earlier request with the key may have run; how it ended is unknown.
        Unknown,
        /// The request did not run and will not.
        NotRun {
            /// Why it did not run.
            reason: String,
            /// How long to wait before a retry; none when a retry does not help.
            retry_after: Option<Duration>,
        },
    }

    /// How a granted request ended.
    pub enum Outcome {
        /// With the complete answer.
        Answered(id::Name),
        /// All stages that may not be repeated ran; a later one failed.
        Partial(Vec<StageResult>),
        /// A stage that may not be repeated may have run, but its result is missing.
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
    /// Submits a claim; the verdict arrives on `reply` within the remaining time.
    fn claim(&self, claim: Claim, reply: flume::Sender<Verdict>);
    /// Records how a granted request ended; the record becomes durable in the background.
    fn settle(&self, request: id::Request, outcome: Outcome);
    /// Waits until every outcome is durable, and returns whether that was within `timeout`.
    fn flush(&self, timeout: Duration) -> bool;
}

#[cfg(test)]
mod tests;
