//! The interface to the platform's services.
//!
//! The log is the only durable storage: what daemons agree on or keep is written to it.
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
    /// A record and its offset in the stream.
    pub struct Record {
        /// Its offset, which never changes and is never reused.
        pub offset: id::Offset,
        /// Its bytes, as appended.
        pub body: Vec<u8>,
    }

    /// Consecutive records of one stream.
    pub struct Page {
        /// The lowest offset that is still retained.
        pub first: id::Offset,
        /// The offset of the next record to be appended, as of the read.
        pub end: id::Offset,
        /// Records in order of offset, without gaps among the retained ones.
        pub records: Vec<Record>,
    }
}

/// The append-only log service.
///
/// After an append that returned `Unknown`, only reading on tells whether the record was appended.
pub trait Log: Send + Sync {
    /// Appends one record and returns its offset.
    fn append(&self, stream: &str, body: &[u8], timeout: Duration) -> Result<id::Offset>;
    /// Reads records from offset `from`; waits up to `wait` if there are none yet.
    fn read(&self, stream: &str, from: id::Offset, wait: Duration) -> Result<Page>;
}

token! {
    /// What a VM runs.
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
        /// The id that the platform gave this VM; never reused.
        pub id: id::Name,
        /// What it runs.
        pub role: Role,
        /// Address and port: of an endpoint for callers, of a daemon for peers.
        pub address: String,
        /// Its availability zone.
        pub zone: id::Zone,
        /// The pool of an endpoint.
        pub pool: Option<id::Pool>,
        /// Whether the platform is about to remove the VM.
        pub leaving: bool,
    }
}

/// The platform's list of live and leaving VMs, which lags behind the fleet.
pub trait Roster: Send + Sync {
    /// Returns the platform's list, which may be seconds old.
    fn list(&self) -> Result<Vec<Vm>>;
}

value! {
    /// The weight store's description of one version of a model.
    pub struct Manifest {
        /// The model.
        pub model: id::Name,
        /// The version.
        pub version: id::Version,
        /// Bytes that an engine loads.
        pub bytes: u64,
        /// Bytes per second that the store provides to all readers together.
        pub rate: u64,
    }
}

/// The rate-limited weight store.
pub trait Weights: Send + Sync {
    /// Returns the model versions in the store.
    fn manifests(&self) -> Result<Vec<Manifest>>;
}
