//! Records of the claim streams: JSON groups of entries, generated from
//! [the schema](../../schema/claim.json).

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sha2::{Digest, Sha256};

use super::StageResult;
use crate::id;

pub use crate::generated::claim::{
    Bar, Carried, Claim, Covered, Ending, Entry, Group, Outcome, Part, Release,
};

/// A hash of a workspace and a key, truncated to 16 bytes.
pub type KeyHash = u128;
/// A hash of the digest of pipeline and body.
pub type DigestHash = u128;

/// The prefix of the names of claim streams.
pub const STREAM_PREFIX: &str = "claims-";

/// Returns the name of a stream.
pub fn stream_name(number: u32) -> String {
    format!("{STREAM_PREFIX}{number}")
}

/// Returns the number of the stream of a key.
///
/// It depends only on the key and the number of streams: two daemons that disagreed on it would
/// both find the key unclaimed.
pub fn stream_of(hash: KeyHash, streams: u32) -> u32 {
    let number = hash % u128::from(streams.max(1));
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

/// Formats a hash in hexadecimal.
pub fn hex(hash: u128) -> String {
    format!("{hash:032x}")
}

/// Parses a hash in hexadecimal.
pub fn unhex(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok()
}

/// Converts a time to milliseconds since the Unix epoch.
pub fn unix_millis(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    duration_millis(since)
}

/// Converts a duration to milliseconds.
pub fn duration_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Encodes a group; none when it cannot be written as JSON.
pub fn encode(group: &Group) -> Option<Vec<u8>> {
    serde_json::to_vec(group).ok()
}

/// Decodes a group; none when the record is not one.
pub fn decode(body: &[u8]) -> Option<Group> {
    serde_json::from_slice(body).ok()
}

/// Returns the ending of an outcome; none when it is a release.
///
/// Bodies of more than `max_bytes` are dropped, so that a record stays within the bounds of the
/// log: a resend then learns that the key ran, but not what it answered.
pub fn ending(outcome: &super::Outcome, max_bytes: usize) -> Option<Ending> {
    let ending = match outcome {
        super::Outcome::Answered(body) => Ending::Answered(body.to_string()),
        super::Outcome::Partial(results) => Ending::Partial(results.iter().map(to_part).collect()),
        super::Outcome::Unknown => Ending::Unknown,
        super::Outcome::Released => return None,
    };
    Some(if body_bytes(&ending) > max_bytes {
        Ending::Unknown
    } else {
        ending
    })
}

fn to_part(result: &StageResult) -> Part {
    Part {
        stage: result.stage.to_string(),
        body: result.body.to_string(),
    }
}

/// Returns the verdict for a later request with the key.
pub fn verdict(ending: &Ending) -> super::Verdict {
    match ending {
        Ending::Answered(body) => super::Verdict::Answered(body.as_str().into()),
        Ending::Partial(parts) => super::Verdict::Resume(parts.iter().map(to_result).collect()),
        Ending::Unknown => super::Verdict::Unknown,
    }
}

fn to_result(part: &Part) -> StageResult {
    StageResult {
        stage: part.stage.as_str().into(),
        body: part.body.as_str().into(),
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

/// Returns the size of the bodies in an ending, in bytes.
pub fn body_bytes(ending: &Ending) -> usize {
    match ending {
        Ending::Answered(body) => body.len(),
        Ending::Partial(parts) => parts.iter().map(|p| p.body.len()).sum(),
        Ending::Unknown => 0,
    }
}
