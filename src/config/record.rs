//! Records of the configuration stream and their encoding.
//!
//! The types are generated from [the schema](../../schema/config.json).

use serde::Deserialize;
use sha2::{Digest, Sha256};
use snafu::{ResultExt, Snafu};

pub use crate::generated::config::{
    Body, Cause, Change, Checkpoint, Clear, Decision, Entry, Expire, Level, Raise, Record, Refusal,
    Removal, Scope, Set, State, Value, Verdict,
};
use crate::id;

/// The highest record version that this daemon reads.
pub const VERSION: u32 = 1;
/// The largest size of a record other than a checkpoint.
pub const MAX_BYTES: usize = 65_536;

/// Why a record or checkpoint could not be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are not a record of the schema.
    #[snafu(display("{step}: {source}"))]
    Malformed {
        /// The operation that failed.
        step: &'static str,
        /// The error of the decoder.
        source: serde_json::Error,
    },
    /// The digest of a checkpoint is not that of its state.
    #[snafu(display("verify checkpoint through offset {next}: the digest differs"))]
    Digest {
        /// The offset of the first record that it does not cover.
        next: id::Offset,
    },
    /// The checkpoint needs a newer daemon.
    #[snafu(display("read checkpoint: level {level} is above {VERSION}"))]
    Newer {
        /// The level of its state.
        level: u32,
    },
    /// The checkpoint would move this daemon backwards.
    #[snafu(display("adopt checkpoint of revision {theirs}: this daemon is at {ours}"))]
    Backwards {
        /// The revision of the checkpoint.
        theirs: id::Revision,
        /// The revision of this daemon.
        ours: id::Revision,
    },
    /// The checkpoint and this daemon disagree on the accepted changes.
    #[snafu(display("adopt checkpoint of revision {revision}: other changes were accepted"))]
    Diverged {
        /// The revision at which they differ.
        revision: id::Revision,
    },
    /// The checkpoint names a setting that is not in the catalogue.
    #[snafu(display("read checkpoint: unknown setting {setting}"))]
    Unknown {
        /// The setting.
        setting: String,
    },
}

/// The fields that a record of any version has.
#[derive(Deserialize)]
struct Header {
    version: u32,
    attempt: String,
}

/// A decoded record, as a fleet of some level reads it.
pub enum Decoded {
    /// A record that the fleet reads.
    Readable(Box<Record>),
    /// Attempt and version of a record above the level; its body is not decoded.
    Unreadable(String, u32),
    /// Bytes that are not a record, with the reason.
    Malformed(String),
}

/// Decodes a record as every daemon of a fleet at `level` does.
pub fn decode(body: &[u8], level: u32) -> Decoded {
    let header: Header = match serde_json::from_slice(body) {
        Ok(header) => header,
        Err(e) => return Decoded::Malformed(e.to_string()),
    };
    if header.version > level {
        return Decoded::Unreadable(header.attempt, header.version);
    }
    match serde_json::from_slice(body) {
        Ok(record) => Decoded::Readable(Box::new(record)),
        Err(e) => Decoded::Malformed(e.to_string()),
    }
}

/// Encodes a record for the log.
///
/// # Errors
///
/// Fails when a ratio is not a finite number.
pub fn encode(record: &Record) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(record).context(MalformedSnafu {
        step: "encode record",
    })
}

/// Returns the digest of a folded state.
///
/// # Errors
///
/// Fails when the state cannot be encoded.
pub fn digest(state: &State) -> Result<String, Error> {
    let text = serde_json::to_vec(state).context(MalformedSnafu {
        step: "digest state",
    })?;
    Ok(hex::encode(Sha256::digest(text)))
}

/// Checks that the digest of a checkpoint is that of its state.
///
/// # Errors
///
/// Fails when it is not, or when the state needs a newer daemon.
pub fn verify(checkpoint: &Checkpoint) -> Result<(), Error> {
    let state = &checkpoint.state;
    if state.level > VERSION {
        return NewerSnafu { level: state.level }.fail();
    }
    if digest(state)? != checkpoint.digest {
        return DigestSnafu { next: state.next }.fail();
    }
    Ok(())
}

/// Decodes and verifies a checkpoint that a peer sent.
///
/// # Errors
///
/// Fails when it is malformed or its digest differs.
pub fn decode_checkpoint(body: &[u8]) -> Result<Checkpoint, Error> {
    let checkpoint: Checkpoint = serde_json::from_slice(body).context(MalformedSnafu {
        step: "decode checkpoint",
    })?;
    verify(&checkpoint)?;
    Ok(checkpoint)
}
