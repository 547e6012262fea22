//! Aliases for the ids that the modules share.
//!
//! Names are shared strings because one name is used in many tables.

use std::sync::Arc;

/// A name that is cheap to clone.
pub type Name = Arc<str>;
/// A request of a caller; the daemon that accepted it chose the id.
pub type Request = uuid::Uuid;
/// An idempotency key that a caller chose.
pub type Key = Name;
/// One attempt at running a stage of a request; unique within the request.
pub type Attempt = u32;
/// A daemon process; a replaced VM is a new daemon.
pub type Daemon = Name;
/// An endpoint VM; a new VM at the same address is a new endpoint.
pub type Endpoint = Name;
/// A workspace.
pub type Workspace = Name;
/// A pipeline.
pub type Pipeline = Name;
/// A stage, unique within its pipeline.
pub type Stage = Name;
/// A pool of endpoints.
pub type Pool = Name;
/// An availability zone.
pub type Zone = Name;
/// A region.
pub type Region = Name;
/// A model version.
pub type Version = Name;
/// A version of an endpoint's software; versions have no order.
pub type Release = Name;
/// How often the platform's log has gone back to a copy; offsets of different epochs are unrelated.
pub type Epoch = u64;
/// A position in a stream of the platform's log.
pub type Offset = u64;
/// A revision of the configuration: one past the offset of the last accepted change.
pub type Revision = u64;
/// A fencing token: the offset of the record that acquired the lease.
pub type Fence = u64;
/// A SHA-256 digest in lower-case hexadecimal.
pub type Digest = Name;
