//! Orders to engines: reconciliation, nightly upgrades and role changes.
//!
//! The daemon that holds the lease of a zone controls its engines. Each order states the whole
//! desired state and carries the fencing token. See [the design note](../docs/design/orders.md).

use std::time::Duration;

use crate::clock::Time;
use crate::{endpoint, id};

pub mod reconcile;
pub mod role;
pub mod upgrade;

event! {
    /// An engine as its controller knows it.
    pub struct Engine {
        /// Id of the engine.
        pub endpoint: id::Endpoint,
        /// Its address and port.
        pub address: String,
        /// Last reported state; none when it does not answer.
        pub state: Option<endpoint::State>,
        /// Last reported load.
        pub load: Option<endpoint::Load>,
        /// When state and load were read.
        pub read_at: Option<Time>,
        /// Whether it refuses orders with an old fencing token.
        pub checks_fencing: bool,
        /// Whether the platform is removing its VM.
        pub is_leaving: bool,
    }
}

impl Engine {
    /// Returns whether it answers, serves a version and stays.
    pub fn is_healthy(&self) -> bool {
        let has_version = self.state.as_ref().is_some_and(|s| !s.versions.is_empty());
        has_version && self.load.is_some() && !self.is_leaving
    }

    /// Returns whether it serves `version` and nothing else.
    pub fn serves(&self, version: &str) -> bool {
        let state = self.state.as_ref();
        state.is_some_and(|s| s.versions.len() == 1 && &*s.versions[0] == version)
    }

    /// Returns whether it is loading `version`.
    pub fn is_loading(&self, version: &str) -> bool {
        let state = self.state.as_ref();
        state.is_some_and(|s| s.loading.iter().any(|v| &**v == version))
    }

    /// Returns whether no call runs or waits, by its last report.
    pub fn is_idle(&self) -> bool {
        let load = self.load.as_ref();
        load.is_some_and(|l| l.running == 0 && l.waiting == 0)
    }
}

/// Poll interval of an engine that does not match its spec.
pub const POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Poll interval of an engine that matches its spec.
pub const SETTLED_POLL_INTERVAL: Duration = Duration::from_secs(30);
/// Poll interval of an engine that is out of service.
pub const OUT_OF_SERVICE_POLL_INTERVAL: Duration = Duration::from_secs(2);

#[cfg(test)]
mod tests;
