//! Records of the claim streams: JSON groups of entries, generated from
//! [the schema](../../schema/claim.json).

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sha2::{Digest, Sha256};

use super::StageResult;
use crate::id;

pub use crate::generated::claim::{
    Bar, Carried, Claim, Covered, Ending, Entry, Group, Outcome, Part as Piece, Release,
};

/// A key of a workspace, hashed so that an index holds 16 bytes for it.
pub type KeyHash = u128;
/// A digest of pipeline and body, hashed likewise.
pub type DigestHash = u128;

/// What the name of every claim stream begins with.
pub const STREAM_PREFIX: &str = "claims-";

/// Returns the name of the stream with this number.
pub fn stream_name(number: u32) -> String {
    format!("{STREAM_PREFIX}{number}")
}

/// Returns the number of the stream of a key.
///
/// It depends on nothing but the key and the number of streams, because two daemons that
/// disagreed on it would both find the key unclaimed.
pub fn stream_of(place: KeyHash, streams: u32) -> u32 {
    let number = place % u128::from(streams.max(1));
    u32::try_from(number).unwrap_or_default()
}

/// Hashes a workspace and a key.
pub fn key_hash(workspace: &str, key: &str) -> KeyHash {
    let mut hash = Sha256::new();
    hash.update(workspace.len().to_le_bytes());
    hash.update(workspace);
    hash.update(key);
    truncate(&hash.finalize())
}

/// Hashes a digest.
pub fn digest_hash(digest: &str) -> DigestHash {
    truncate(&Sha256::digest(digest))
}

fn truncate(hash: &[u8]) -> u128 {
    hash.iter()
        .take(16)
        .fold(0, |sum, byte| (sum << 8) | u128::from(*byte))
}

/// Writes a hash in hexadecimal.
pub fn hex(hash: u128) -> String {
    format!("{hash:032x}")
}

/// Reads a hash in hexadecimal.
pub fn unhex(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok()
}

/// Returns milliseconds since the Unix epoch.
pub fn unix_millis(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    duration_millis(since)
}

/// Returns the milliseconds of a span.
pub fn duration_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Encodes a group; none when it cannot be written as JSON.
pub fn encode(group: &Group) -> Option<Vec<u8>> {
    serde_json::to_vec(group).ok()
}

/// Decodes a group; none when the record is not ours.
pub fn decode(body: &[u8]) -> Option<Group> {
    serde_json::from_slice(body).ok()
}

/// Turns the outcome of a request into its ending; none when it is a release.
///
/// An answer above `limit` bytes is not kept, so that one record stays within the log's bounds:
/// a resend then learns that the key ran, and not what it answered.
pub fn ending(outcome: &super::Outcome, limit: usize) -> Option<Ending> {
    let ending = match outcome {
        super::Outcome::Answered(body) => Ending::Answered(body.to_string()),
        super::Outcome::Partial(parts) => Ending::Partial(parts.iter().map(to_part).collect()),
        super::Outcome::Unknown => Ending::Unknown,
        super::Outcome::Released => return None,
    };
    Some(if body_bytes(&ending) > limit {
        Ending::Unknown
    } else {
        ending
    })
}

fn to_part(part: &StageResult) -> Piece {
    Piece {
        stage: part.stage.to_string(),
        body: part.body.to_string(),
    }
}

/// Returns what a later request with the key is told of an ending.
pub fn verdict(ending: &Ending) -> super::Verdict {
    match ending {
        Ending::Answered(body) => super::Verdict::Answered(body.as_str().into()),
        Ending::Partial(pieces) => {
            super::Verdict::Resume(pieces.iter().map(to_stage_result).collect())
        }
        Ending::Unknown => super::Verdict::Unknown,
    }
}

fn to_stage_result(piece: &Piece) -> StageResult {
    StageResult {
        stage: piece.stage.as_str().into(),
        body: piece.body.as_str().into(),
    }
}

/// Finds the ending of `request` among the entries of a group.
pub fn find_ending(group: &Group, request: id::Request) -> Option<Ending> {
    group.entries.iter().find_map(|entry| match entry {
        Entry::Outcome(o) if o.request == request => Some(o.ending.clone()),
        Entry::Carried(c) if c.request == request => c.ending.clone(),
        _ => None,
    })
}

/// Returns the bytes of the bodies in an ending.
pub fn body_bytes(ending: &Ending) -> usize {
    match ending {
        Ending::Answered(body) => body.len(),
        Ending::Partial(pieces) => pieces.iter().map(|p| p.body.len()).sum(),
        Ending::Unknown => 0,
    }
}
