//! The thread that follows the configuration stream.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::pull;
use super::shared::Shared;
use crate::config::STREAM;

/// How long a read waits for records.
const WAIT: Duration = Duration::from_secs(5);
/// The least time between reads that find nothing, against a log that does not wait.
const IDLE: Duration = Duration::from_millis(50);
/// The mean wait after the first failed read; it doubles and is jittered.
const BACKOFF: Duration = Duration::from_millis(200);
/// The longest mean wait after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Follows the stream until control stops.
pub(super) fn run(shared: &Shared) {
    let mut rng = ChaCha8Rng::seed_from_u64(shared.seed ^ 1);
    let mut backoff = BACKOFF;
    while !shared.is_stopped() {
        let is_read = read(shared);
        let is_lost = shared.tail.lock().has_gap();
        if is_lost || !is_read {
            pull::from_best(shared);
        }
        let wait = if is_read {
            backoff = BACKOFF;
            IDLE
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

/// Reads a page; false when the log did not answer.
fn read(shared: &Shared) -> bool {
    let from = shared.tail.lock().read_offset();
    let Ok(page) = shared.log.read(STREAM, from, WAIT) else {
        return false;
    };
    let before = shared.tail.lock().fold().revision();
    let steps = shared.tail.lock().apply_page(&page, shared.clock.now());
    shared.folded(&steps);
    if shared.tail.lock().fold().revision() != before {
        shared.publish();
    }
    true
}
