//! The HTTP API for callers: accepts requests and sends answers and tokens back.
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
    /// A request that passed the checks of its headers and body.
    pub struct Submission {
        /// The request.
        pub request: Request,
        /// The plan of its pipeline.
        pub plan: Arc<Plan>,
        /// The caller's timeout, at most the plan's deadline.
        pub timeout: Duration,
    }
}

/// The daemon that runs the requests.
pub trait Host: Send + Sync {
    /// Returns whether the balancer may route callers to this daemon.
    fn is_ready(&self) -> bool;
    /// Returns the plan of the pipeline with this name.
    fn plan(&self, name: &str) -> Option<Arc<Plan>>;
    /// Starts a request; an error tells why it was not started, and that nothing ran.
    ///
    /// It is called on a server thread, whose runtime then drives the request.
    fn submit(&self, submission: Submission) -> Result<Arc<Transcript>, Finish>;
    /// Returns how much longer the process simulates a pause; used by fault tests.
    fn pause_left(&self) -> Option<Duration>;
}

/// Waits while the host simulates a paused process.
pub(crate) async fn wait_while_paused(host: &dyn Host) {
    while let Some(left) = host.pause_left() {
        tokio::time::sleep(left).await;
    }
}

#[cfg(test)]
mod tests;
