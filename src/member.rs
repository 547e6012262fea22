//! Membership of daemons and endpoints.
//!
//! The platform's list lags, so daemons probe each other and gossip reports on endpoints.
//! See [the design note](../docs/design/membership.md).

use crate::id;

pub mod endpoint;
pub mod fake;
pub mod swim;
pub mod wire;

token! {
    /// The status of a daemon; within one incarnation, a later one in this order wins.
    pub enum Status {
        /// It answers probes, or is not known to fail them.
        Alive,
        /// A probe failed; it has time to refute the suspicion.
        Suspect,
        /// It announced that it is shutting down.
        Leaving,
        /// It did not refute the suspicion in time.
        Dead,
    }

    /// What a daemon reports about an endpoint.
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
        /// Its status.
        pub status: Status,
    }

    /// A daemon's report on an endpoint.
    pub struct EndpointReport {
        /// The endpoint, by the id of its VM; a new VM at the same address has no reports.
        pub endpoint: id::Endpoint,
        /// What is reported.
        pub evidence: Evidence,
        /// The daemon that made the report.
        pub reporter: id::Daemon,
        /// Number of the report at its reporter, to recognize repeated ones.
        pub sequence: u32,
    }
}

impl Member {
    /// Returns whether this description replaces another of the same daemon.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}

#[cfg(test)]
mod tests;
