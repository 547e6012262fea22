//! Membership of daemons and endpoints.
//!
//! The platform's list lags, so that daemons probe each other and tell each other what they
//! learn of endpoints. See [the design note](../docs/design/membership.md).

use crate::id;

pub mod endpoint;
pub mod fake;
pub mod swim;
pub mod wire;

token! {
    /// How a daemon stands; of one incarnation the later status wins.
    pub enum Status {
        /// It answers, or nothing says otherwise.
        Alive,
        /// A probe failed; it has time to refute.
        Suspect,
        /// It said that it is shutting down.
        Leaving,
        /// It did not refute in time.
        Dead,
    }

    /// What is held against an endpoint.
    pub enum Evidence {
        /// It refused work because it is leaving.
        Leaving,
        /// Connections to it fail before a byte is sent.
        Unreachable,
        /// Its controller takes it out of service for an order.
        Draining,
        /// Its controller brings it back into service.
        Returned,
    }
}

value! {
    /// A daemon as gossip describes it.
    pub struct Member {
        /// The daemon.
        pub daemon: id::Daemon,
        /// Address and port, over UDP for probes and over TCP for calls.
        pub address: String,
        /// Its availability zone.
        pub zone: id::Zone,
        /// Raised by the daemon itself to refute a suspicion.
        pub incarnation: u32,
        /// How it stands.
        pub status: Status,
    }

    /// What a daemon holds against an endpoint.
    pub struct EndpointReport {
        /// The endpoint, by the id of its VM; a new VM at the same address has no mark.
        pub endpoint: id::Endpoint,
        /// What is held against it.
        pub evidence: Evidence,
        /// The daemon that saw it.
        pub reporter: id::Daemon,
        /// Number of the report at its reporter, so that a repeated report is told from a new one.
        pub sequence: u32,
    }
}

impl Member {
    /// Says whether this description replaces another of the same daemon.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}

#[cfg(test)]
mod tests;
