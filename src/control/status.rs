//! Status types for other modules and operators.

use crate::id;
use crate::member;
use crate::order::reconcile;

value! {
    /// A live daemon.
    pub struct Peer {
        /// The daemon.
        pub daemon: id::Daemon,
        /// Address and port for other daemons.
        pub address: String,
        /// Its availability zone.
        pub zone: id::Zone,
        /// Its membership status.
        pub status: member::Status,
        /// The last known revision of its configuration.
        pub revision: id::Revision,
    }

    /// Status of the control plane of this daemon.
    pub struct Status {
        /// The revision of the configuration.
        pub revision: id::Revision,
        /// Digest of the accepted changes; differs only between diverged daemons.
        pub chain: id::Digest,
        /// Whether the log was read to its end recently.
        pub is_fresh: bool,
        /// Whether records are missing, so that a checkpoint or a peer's state is needed.
        #[serde(rename = "is-lost")]
        pub has_gap: bool,
        /// Whether the log was reset.
        pub is_regressed: bool,
        /// The format level at which folding stopped, because this daemon does not support it.
        pub halted: Option<u32>,
        /// The revision at which other daemons accepted different changes, if any.
        pub diverged: Option<id::Revision>,
        /// The local health score of failure detection; 0 is healthy, and timeouts grow with it.
        pub health: u32,
    }
}

event! {
    /// The last known state of a lease.
    pub struct Lease {
        /// The lease.
        pub name: id::Name,
        /// The daemon that acquired it last; none after a release.
        pub holder: Option<id::Daemon>,
        /// Its fencing token.
        pub fence: id::Fence,
        /// Whether this daemon holds it and it has not expired.
        pub is_ours: bool,
    }

    /// Status of the upgrade of a pool.
    pub struct UpgradeStatus {
        /// The pool.
        pub pool: id::Pool,
        /// The version that its engines are upgraded to.
        pub target: id::Version,
        /// The phase.
        pub phase: String,
        /// Engines out of service for the upgrade.
        pub out_of_service: usize,
    }

    /// Status of a zone that this daemon controls.
    pub struct ZoneStatus {
        /// The fencing token of its orders.
        pub fence: id::Fence,
        /// The engines, including those that do not check fencing tokens.
        pub engines: Vec<reconcile::Status>,
        /// The upgrades.
        pub upgrades: Vec<UpgradeStatus>,
        /// Alarms for operators, oldest first.
        pub alarms: Vec<String>,
    }
}
