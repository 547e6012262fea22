//! The platform's services as the system sees them.
//!
//! What is agreed or kept goes through the log; nothing else is durable.
//! See [the architecture](../docs/ARCHITECTURE.md).

use std::time::Duration;

use snafu::Snafu;

use crate::id;

pub mod http;
pub mod memory;
pub mod wire;

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The call had no effect.
    #[snafu(display("{step} at {peer} had no effect: {reason}"))]
    NoEffect {
        /// What was being done.
        step: &'static str,
        /// The service.
        peer: String,
        /// What went wrong.
        reason: String,
    },
    /// The call may have had its effect: the answer was lost or late.
    #[snafu(display("{step} at {peer} may have had its effect: {reason}"))]
    Unknown {
        /// What was being done.
        step: &'static str,
        /// The service.
        peer: String,
        /// What went wrong.
        reason: String,
    },
}

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

value! {
    /// A record with its place in the stream.
    pub struct Record {
        /// Its offset, which never changes and is never given again.
        pub offset: id::Offset,
        /// Its bytes, as appended.
        pub body: Vec<u8>,
    }

    /// A run of records of one stream.
    pub struct Page {
        /// The lowest offset that is still retained.
        pub first: id::Offset,
        /// The offset that the next appended record will get, at the time of the read.
        pub end: id::Offset,
        /// Records in order of offset, without gaps among those retained.
        pub records: Vec<Record>,
    }
}

/// The append-only log service.
///
/// An append that answers `Unknown` may or may not stand in the stream; reading on tells.
pub trait Log: Send + Sync {
    /// Appends one record and returns its offset.
    fn append(&self, stream: &str, body: &[u8], timeout: Duration) -> Result<id::Offset>;
    /// Reads records from `from` on; waits up to `wait` when there are none yet.
    fn read(&self, stream: &str, from: id::Offset, wait: Duration) -> Result<Page>;
}

token! {
    /// What a VM is for.
    pub enum Role {
        /// A daemon of this system.
        Daemon,
        /// An endpoint that runs stages.
        Endpoint,
    }
}

value! {
    /// A VM on the platform's list.
    pub struct Vm {
        /// The id that the platform gave this VM; never used again.
        pub id: id::Name,
        /// What it is for.
        pub role: Role,
        /// Address and port: callers of an endpoint, or peers of a daemon.
        pub address: String,
        /// Its availability zone.
        pub zone: id::Zone,
        /// The pool of an endpoint.
        pub pool: Option<id::Pool>,
        /// Whether the VM is about to be taken away.
        pub leaving: bool,
    }
}

/// The lagging list of live and leaving VMs.
pub trait Roster: Send + Sync {
    /// Returns the list as the platform knows it, which may be seconds old.
    fn list(&self) -> Result<Vec<Vm>>;
}

value! {
    /// What the weight store knows of one version of a model.
    pub struct Manifest {
        /// The model.
        pub model: id::Name,
        /// The version.
        pub version: id::Version,
        /// Bytes that each engine loads.
        pub bytes: u64,
        /// Bytes a second that the store gives to all readers together.
        pub rate: u64,
    }
}

/// The rate-limited weight store.
pub trait Weights: Send + Sync {
    /// Returns the versions that the store has.
    fn manifests(&self) -> Result<Vec<Manifest>>;
}
