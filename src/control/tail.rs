//! The thread that follows the configuration stream.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::handler::Pull;
use super::shared::Shared;
use crate::config::STREAM;
use crate::config::record;
use crate::peer::Topic;
use crate::timeline::Kind;

/// How long a read waits for records.
const WAIT: Duration = Duration::from_secs(5);
/// The least time between reads that find nothing, against a log that does not wait.
const IDLE: Duration = Duration::from_millis(50);
/// The mean wait after the first failed read; it doubles and is jittered.
const BACKOFF: Duration = Duration::from_millis(200);
/// The longest mean wait after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// How long a peer may take to answer with its state.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Peers that are asked in one go.
const PULLS: usize = 3;

/// Follows the stream until control stops.
pub(super) fn run(shared: &Shared) {
    let mut rng = ChaCha8Rng::seed_from_u64(shared.seed ^ 1);
    let mut backoff = BACKOFF;
    while !shared.is_stopped() {
        let is_read = read(shared);
        let is_lost = shared.tail.lock().is_lost();
        if is_lost || !is_read {
            pull(shared);
        }
        let wait = if is_read {
            backoff = BACKOFF;
            IDLE
        } else {
            let jittered = backoff.mul_f64(rng.random_range(0.5..1.5));
            backoff = (backoff * 2).min(MAX_BACKOFF);
            jittered
        };
        if rest(shared, wait) {
            return;
        }
    }
}

/// Waits, but no longer than until another daemon is known to be ahead.
fn rest(shared: &Shared, wait: Duration) -> bool {
    if let Ok(address) = shared.ahead.recv_timeout(wait)
        && !shared.tail.lock().is_fresh(shared.clock.now())
    {
        pull_from(shared, &address);
    }
    shared.is_stopped()
}

/// Reads a page; false when the log did not answer.
fn read(shared: &Shared) -> bool {
    let from = shared.tail.lock().from();
    let Ok(page) = shared.log.read(STREAM, from, WAIT) else {
        return false;
    };
    let before = shared.tail.lock().fold().revision();
    let steps = shared.tail.lock().absorb(&page, shared.clock.now());
    shared.folded(&steps);
    if shared.tail.lock().fold().revision() != before {
        shared.publish();
    }
    true
}

/// Asks the peers with the highest revision for their state.
fn pull(shared: &Shared) {
    let mut peers = shared.live();
    peers.retain(|p| p.daemon != shared.me);
    peers.sort_by_key(|p| std::cmp::Reverse(p.revision));
    let is_lost = shared.tail.lock().is_lost();
    let ours = shared.view.read().revision;
    for peer in peers.iter().take(PULLS) {
        if (is_lost || ours == 0 || peer.revision > ours) && pull_from(shared, &peer.address) {
            return;
        }
    }
}

/// Takes the state of the daemon at `address`; true when it was later than this one's.
fn pull_from(shared: &Shared, address: &str) -> bool {
    let Some(link) = &shared.link else {
        return false;
    };
    let next = shared.tail.lock().fold().next();
    let Ok(body) = serde_json::to_vec(&Pull { next }) else {
        return false;
    };
    let answer = link.ask(address, Topic::Config, &body, PULL_TIMEOUT);
    let Some(answer) = answer.ok().filter(|a| !a.is_empty()) else {
        return false;
    };
    let adopted = record::checkpoint(&answer).and_then(|c| shared.tail.lock().adopt(&c));
    match adopted {
        Ok(()) => {
            shared.publish();
            let what = format!("took the configuration of the daemon at {address}");
            shared.record(Kind::Config, None, what);
            true
        }
        Err(error) => {
            shared.record(Kind::Config, None, format!("{error}, from {address}"));
            false
        }
    }
}
