//! Which daemon writes checkpoints and expiries, and when.
//!
//! Any daemon may; all rank the live daemons alike, and a later rank waits longer, so that
//! usually one writes. A second write is harmless, because both are idempotent.

use std::time::Duration;

use sha2::{Digest, Sha256};

use super::fold::Fold;
use super::record::{Body, Error, Expire, Record, Scope, VERSION};
use crate::id;

/// Share of the retention after which a checkpoint is written again.
const CHECKPOINT_SHARE: u32 = 4;
/// How long a daemon that saw no checkpoint waits before it writes one.
const FIRST: Duration = Duration::from_secs(60);
/// How much longer each rank waits before it writes in the place of those before it.
pub const RANK_DELAY: Duration = Duration::from_secs(3);
/// The longest that a rank waits.
pub const MAX_DELAY: Duration = Duration::from_secs(60);
/// Length of the terms in which the same daemon has the first rank, in revisions.
const TERM: u64 = 64;

/// Returns how long this daemon waits before it takes on a duty: nothing for the first rank.
pub fn delay(duty: &str, revision: id::Revision, me: &str, live: &[id::Daemon]) -> Duration {
    let weight = |name: &str| {
        let mut hash = Sha256::new();
        hash.update(duty);
        hash.update((revision / TERM).to_be_bytes());
        hash.update(name);
        hash.finalize()
    };
    let mine = weight(me);
    let before = live.iter().filter(|d| weight(d) > mine).count();
    let rank = u32::try_from(before).unwrap_or(u32::MAX);
    RANK_DELAY.saturating_mul(rank).min(MAX_DELAY)
}

/// Says when the next checkpoint is due for the first rank, in milliseconds of the wall clock.
pub fn checkpoint_due(written_ms: Option<u64>, started_ms: u64, retention: Duration) -> u64 {
    let (from, wait) = match written_ms {
        Some(at) => (at, retention / CHECKPOINT_SHARE),
        None => (started_ms, FIRST),
    };
    from.saturating_add(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
}

/// Makes the record of a checkpoint.
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

/// Makes the records that end the exceptions whose time has come.
///
pub fn expiry_records(fold: &Fold, now_ms: u64, me: &str) -> Vec<Record> {
    let due = fold
        .entries()
        .filter(|e| e.expires_ms.is_some_and(|at| at <= now_ms));
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
