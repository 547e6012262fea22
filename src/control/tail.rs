//! The thread that follows the configuration stream.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::pull;
use super::shared::Shared;
use crate::config::STREAM;

/// Time that a read waits for new records.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between reads, for a log that does not wait.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Mean wait after the first failed read; it doubles and is jittered.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the mean wait after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Follows the stream until control stops.
pub(super) fn run(shared: &Shared) {
    let mut rng = ChaCha8Rng::seed_from_u64(shared.seed ^ 1);
    let mut backoff = INITIAL_BACKOFF;
    while !shared.is_stopped() {
        let is_read = read(shared);
        let has_gap = shared.tail.lock().has_gap();
        if has_gap || !is_read {
            pull::pull_from_newest(shared);
        }
        let wait = if is_read {
            backoff = INITIAL_BACKOFF;
            MIN_READ_INTERVAL
        } else {
            let jittered = backoff.mul_f64(rng.random_range(0.5..1.5));
            backoff = (backoff * 2).min(MAX_BACKOFF);
            jittered
        };
        if shared.sleep(wait) {
            return;
        }
    }
}

/// Reads and folds a page; returns whether the log answered.
fn read(shared: &Shared) -> bool {
    let from = shared.tail.lock().read_offset();
    let Ok(page) = shared.log.read(STREAM, from, READ_TIMEOUT) else {
        return false;
    };
    let before = shared.tail.lock().fold().revision();
    let steps = shared.tail.lock().apply_page(&page, shared.clock.now());
    shared.on_folded(&steps);
    if shared.tail.lock().fold().revision() != before {
        shared.publish();
    }
    true
}
