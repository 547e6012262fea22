//! The callers' door: HTTP in, requests out, answers and tokens back.
//!
//! See [the page for callers](../docs/CALLERS.md) and [the design note](../docs/design/entry.md).

use std::sync::Arc;
use std::time::Duration;

use crate::pipeline::{Finish, Plan, Request};

mod head;
mod key;
mod problem;
mod route;
mod server;
mod sse;
mod transcript;
mod transcripts;

pub use key::Keyring;
pub use server::{Bounds, Server, Shared};
pub use transcript::{Reader, Transcript};
pub use transcripts::Transcripts;

event! {
    /// A request that passed the checks at the door.
    pub struct Submission {
        /// What the caller asked for.
        pub request: Request,
        /// The pipeline that it asked for.
        pub plan: Arc<Plan>,
        /// The time that the caller allows; the plan's deadline when it allows more.
        pub timeout: Duration,
    }
}

/// The daemon behind the door.
pub trait Host: Send + Sync {
    /// Says whether the balancer may send callers here.
    fn is_ready(&self) -> bool;
    /// Returns the pipeline of this name.
    fn plan(&self, name: &str) -> Option<Arc<Plan>>;
    /// Starts a request; an error says why it is not started, and that nothing ran.
    ///
    /// It is called on a thread of the door, whose runtime then drives the request.
    fn submit(&self, submission: Submission) -> Result<Arc<Transcript>, Finish>;
    /// Returns how much longer the process imitates a pause; fault tests use it.
    fn pause_left(&self) -> Option<Duration>;
}

/// Waits while the host imitates a paused process.
pub(crate) async fn wait_for(host: &dyn Host) {
    while let Some(left) = host.pause_left() {
        tokio::time::sleep(left).await;
    }
}

#[cfg(test)]
mod tests;
