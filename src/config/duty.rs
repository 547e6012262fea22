//! Which daemon writes checkpoints and expiries, and when.
//!
//! Any daemon may write them. All rank the live daemons alike, and a later rank waits longer, so
//! that usually one writes. A second write is harmless, because both records are idempotent.

use std::time::Duration;

use sha2::{Digest, Sha256};

use super::fold::Fold;
use super::record::{Body, Error, Expire, Record, Scope, VERSION};
use crate::id;

/// Checkpoints that are written during the retention of the log.
const CHECKPOINTS_PER_RETENTION: u32 = 4;
/// How long a daemon that saw no checkpoint waits before it writes one.
const FIRST_CHECKPOINT_DELAY: Duration = Duration::from_secs(60);
/// Delay of each rank after the first, so that it writes only if those before it did not.
pub const RANK_DELAY: Duration = Duration::from_secs(3);
/// Upper limit of the delay.
pub const MAX_DELAY: Duration = Duration::from_secs(60);
/// Revisions after which the daemons are ranked anew.
const REVISIONS_PER_RANKING: u64 = 64;

/// Returns how long this daemon waits before it performs a duty: zero for the first rank.
///
/// Ranks follow from rendezvous hashing.
pub fn delay(duty: &str, revision: id::Revision, me: &str, live: &[id::Daemon]) -> Duration {
    let weight = |name: &str| {
        let mut hash = Sha256::new();
        hash.update(duty);
        hash.update((revision / REVISIONS_PER_RANKING).to_be_bytes());
        hash.update(name);
        hash.finalize()
    };
    let own = weight(me);
    let before = live.iter().filter(|d| weight(d) > own).count();
    let rank = u32::try_from(before).unwrap_or(u32::MAX);
    RANK_DELAY.saturating_mul(rank).min(MAX_DELAY)
}

/// Returns when the first rank writes the next checkpoint, in milliseconds of the wall clock.
pub fn checkpoint_due(written_ms: Option<u64>, started_ms: u64, retention: Duration) -> u64 {
    let (base_ms, wait) = match written_ms {
        Some(written_ms) => (written_ms, retention / CHECKPOINTS_PER_RETENTION),
        None => (started_ms, FIRST_CHECKPOINT_DELAY),
    };
    base_ms.saturating_add(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
}

/// Makes the stream record of a checkpoint.
///
/// # Errors
///
/// Fails when the state cannot be encoded.
pub fn checkpoint_record(
    fold: &Fold,
    attempt: String,
    now_ms: u64,
    me: &str,
) -> Result<Record, Error> {
    let mut checkpoint = fold.checkpoint()?;
    checkpoint.written_ms = now_ms;
    Ok(Record {
        version: VERSION,
        attempt,
        author: me.into(),
        body: Body::Checkpoint(checkpoint),
    })
}

/// Makes the records that remove the expired exceptions.
pub fn expiry_records(fold: &Fold, now_ms: u64, me: &str) -> Vec<Record> {
    let due = fold
        .entries()
        .filter(|e| e.expires_ms.is_some_and(|expires_ms| expires_ms <= now_ms));
    due.filter_map(|entry| {
        let scope: Scope = entry.scope.clone()?;
        Some(Record {
            version: VERSION,
            attempt: uuid::Uuid::new_v4().to_string(),
            author: me.into(),
            body: Body::Expire(Expire {
                setting: entry.setting.clone(),
                scope,
                revision: entry.revision,
                now_ms,
            }),
        })
    })
    .collect()
}
