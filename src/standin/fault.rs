//! The faults that a script can ask of the stand-ins. See [the demo](../../docs/DEMO.md).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;

/// How long a fault lasts when the script does not say.
pub const DEFAULT_LENGTH: Duration = Duration::from_secs(2);

token! {
    /// What goes wrong.
    pub enum Kind {
        /// The log refuses everything.
        LogOutage,
        /// Every call to the log takes long.
        LogSlow,
        /// Answers of the log are lost after the effect.
        LogLostAnswer,
        /// An endpoint dies; a new VM takes its address afterwards.
        EndpointCrash,
        /// An endpoint is many times slower.
        EndpointStraggler,
        /// An endpoint leaves the fleet; a new VM takes its place afterwards.
        EndpointLeaving,
        /// A daemon stands still and then goes on.
        DaemonPause,
        /// A daemon shuts down gracefully; a new one takes its place afterwards.
        DaemonStop,
        /// The regions cannot reach each other.
        LinkCut,
    }
}

/// A fault as a script asks for it; its names are those of the script interface.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: Kind,
    /// The endpoint, pool or daemon; drawn if none.
    pub target: Option<id::Name>,
    /// How long it lasts, in milliseconds.
    pub for_ms: Option<u64>,
}

impl Fault {
    /// Makes a fault of a drawn target.
    pub fn new(kind: Kind, length: Duration) -> Self {
        Self {
            kind,
            target: None,
            for_ms: u64::try_from(length.as_millis()).ok(),
        }
    }

    /// Sets the target.
    pub fn at(mut self, target: &str) -> Self {
        self.target = Some(target.into());
        self
    }

    /// Returns how long it lasts.
    pub fn length(&self) -> Duration {
        self.for_ms.map_or(DEFAULT_LENGTH, Duration::from_millis)
    }
}

#[cfg(test)]
mod tests;
