//! Orders to engines: reconciliation, nightly upgrades and role changes.
//!
//! The daemon that holds the lease of a zone controls its engines. Orders are absolute and carry
//! the fencing token. See [the design note](../docs/design/orders.md).

use std::time::Duration;

use crate::clock::Time;
use crate::{endpoint, id};

pub mod reconcile;
pub mod role;
pub mod upgrade;

event! {
    /// An engine as its controller knows it.
    pub struct Engine {
        /// The engine.
        pub endpoint: id::Endpoint,
        /// Its address and port.
        pub address: String,
        /// What it last reported; none when it does not answer.
        pub state: Option<endpoint::State>,
        /// Its load as last reported.
        pub load: Option<endpoint::Load>,
        /// When state and load were read.
        pub read_at: Option<Time>,
        /// Whether it refuses an order with an old fencing token.
        pub checks_fencing: bool,
        /// Whether the platform takes it away.
        pub is_leaving: bool,
    }
}

impl Engine {
    /// Says whether it answers and serves a version.
    pub fn is_healthy(&self) -> bool {
        let has_version = self.state.as_ref().is_some_and(|s| !s.versions.is_empty());
        has_version && self.load.is_some() && !self.is_leaving
    }

    /// Says whether it serves `version` and nothing else.
    pub fn serves(&self, version: &str) -> bool {
        let state = self.state.as_ref();
        state.is_some_and(|s| s.versions.len() == 1 && &*s.versions[0] == version)
    }

    /// Says whether it is loading `version`.
    pub fn is_loading(&self, version: &str) -> bool {
        let state = self.state.as_ref();
        state.is_some_and(|s| s.loading.iter().any(|v| &**v == version))
    }

    /// Says whether no call runs or waits on it, as far as it reported.
    pub fn is_idle(&self) -> bool {
        let load = self.load.as_ref();
        load.is_some_and(|l| l.running == 0 && l.waiting == 0)
    }
}

/// How often the state of an engine is read back that is not as desired.
pub const POLL_INTERVAL: Duration = Duration::from_secs(10);
/// How often the state of an engine is read back that is as desired.
pub const SETTLED_POLL_INTERVAL: Duration = Duration::from_secs(30);
/// How often the state of an engine is read back that is out of service.
pub const OUT_OF_SERVICE_POLL_INTERVAL: Duration = Duration::from_secs(2);

#[cfg(test)]
mod tests;
