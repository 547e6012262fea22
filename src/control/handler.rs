//! Handlers of requests from other daemons.

use std::sync::Arc;

use super::shared::Shared;
use crate::id;
use crate::member::wire;
use crate::peer::Handler;

/// The request of a daemon that joins.
pub(super) const JOIN: &[u8] = b"join";

value! {
    /// The request of a daemon whose configuration may be behind.
    pub struct Pull {
        /// The offset after the last record that it has folded.
        pub next: id::Offset,
    }
}

/// Answers with the folded configuration, in the form of a checkpoint record.
pub(super) struct Config {
    shared: Arc<Shared>,
}

impl Config {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl Handler for Config {
    fn handle(&self, from: &id::Daemon, body: &[u8]) -> Result<Vec<u8>, String> {
        let pull: Pull =
            serde_json::from_slice(body).map_err(|e| format!("pull by {from}: {e}"))?;
        let checkpoint = {
            let tail = self.shared.tail.lock();
            if tail.fold().next_offset() <= pull.next {
                return Ok(Vec::new());
            }
            tail.fold().checkpoint().map_err(|e| e.to_string())?
        };
        serde_json::to_vec(&checkpoint).map_err(|e| e.to_string())
    }
}

/// Answers with the membership and endpoint reports that this daemon knows.
pub(super) struct Member {
    shared: Arc<Shared>,
}

impl Member {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl Handler for Member {
    fn handle(&self, from: &id::Daemon, body: &[u8]) -> Result<Vec<u8>, String> {
        if body != JOIN {
            return Err(format!("expected a join request from {from}"));
        }
        let now = self.shared.clock.now();
        let mut packet = self.shared.swim.lock().snapshot();
        packet.reports = self.shared.endpoints.lock().active_reports(now);
        packet.stamp = self.shared.recorder.stamp();
        wire::encode(&packet).map_err(|e| e.to_string())
    }
}
