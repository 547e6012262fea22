//! What control shows to the other modules and to operators.

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
        /// How it stands.
        pub status: member::Status,
        /// The revision of its configuration, as last heard.
        pub revision: id::Revision,
    }

    /// How the control plane of this daemon stands.
    pub struct Status {
        /// The revision of the configuration.
        pub revision: id::Revision,
        /// Digest of the accepted changes; differs only between diverged daemons.
        pub chain: id::Digest,
        /// Whether the log was read to its end a short while ago.
        pub is_fresh: bool,
        /// Whether records are missing, so that a checkpoint or peer is awaited.
        #[serde(rename = "is-lost")]
        pub has_gap: bool,
        /// Whether the log was reset.
        pub is_regressed: bool,
        /// The level that this daemon cannot read, if it met one.
        pub halted: Option<u32>,
        /// The revision at which others accepted other changes, if any.
        pub diverged: Option<id::Revision>,
        /// How much this daemon distrusts its judgement of others; 0 is healthy.
        pub health: u32,
    }
}

event! {
    /// A lease as this daemon knows it.
    pub struct Lease {
        /// The lease.
        pub name: id::Name,
        /// The daemon that acquired it last, if it was not released.
        pub holder: Option<id::Daemon>,
        /// Its fencing token.
        pub fence: id::Fence,
        /// Whether this daemon holds it validly.
        pub is_ours: bool,
    }

    /// How the upgrade of a pool stands.
    pub struct UpgradeStatus {
        /// The pool.
        pub pool: id::Pool,
        /// The version that its engines shall serve.
        pub target: id::Version,
        /// The phase.
        pub phase: String,
        /// Engines that are out of service for it.
        pub out_of_service: usize,
    }

    /// What the controller of a zone shows to operators.
    pub struct ZoneStatus {
        /// The fencing token of its orders.
        pub fence: id::Fence,
        /// The engines, with those that ignore fencing.
        pub engines: Vec<reconcile::Status>,
        /// The upgrades.
        pub upgrades: Vec<UpgradeStatus>,
        /// What operators should look at, oldest first.
        pub alarms: Vec<String>,
    }
}
