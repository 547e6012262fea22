//! The window in which a key is remembered, and a key's time of issue.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::mutation::{self, Mutation};
use super::record;
use crate::id;

/// The largest difference between the wall clocks of callers and daemons.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

token! {
    /// How a time of issue compares with the window.
    pub enum Age {
        /// The key is remembered.
        Inside,
        /// The key may have been forgotten.
        Expired,
        /// The time of issue is in the future.
        Future,
    }
}

/// Returns when a key was issued: as the caller states it, else from the key if it is a UUIDv7.
pub fn issued(key: &id::Key, stated: Option<SystemTime>) -> Option<SystemTime> {
    stated.or_else(|| {
        let (seconds, nanos) = uuid::Uuid::try_parse(key).ok()?.get_timestamp()?.to_unix();
        Some(UNIX_EPOCH + Duration::new(seconds, nanos))
    })
}

/// Compares a time of issue with the window.
pub fn age(issued: SystemTime, wall: SystemTime, window: Duration) -> Age {
    if issued > wall + MAX_CLOCK_SKEW {
        return Age::Future;
    }
    let elapsed = wall.duration_since(issued).unwrap_or_default();
    if elapsed > window && !mutation::is_active(Mutation::TrustExpiredWindow) {
        return Age::Expired;
    }
    Age::Inside
}

/// Returns the time of issue, in milliseconds since the Unix epoch, up to which keys are
/// forgotten: two clock skews after they expire, when no daemon accepts them any more.
pub fn horizon_ms(wall: SystemTime, window: Duration) -> u64 {
    record::unix_millis(wall).saturating_sub(record::duration_millis(window + 2 * MAX_CLOCK_SKEW))
}
