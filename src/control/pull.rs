//! Configuration from other daemons, when the log is slow or does not have it any more.

use std::time::Duration;

use flume::RecvTimeoutError;

use super::handler::Pull;
use super::shared::Shared;
use crate::config::record;
use crate::peer::Topic;
use crate::timeline::Kind;

/// How long the log is given to bring a revision that another daemon has.
const GRACE: Duration = Duration::from_millis(700);
/// How often the thread looks whether control has stopped.
const LOOK: Duration = Duration::from_millis(500);
/// How long a peer may take to answer with its state.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Peers that are asked in one go.
const PULLS: usize = 3;

/// Pulls revisions that other daemons were seen to have, until control stops.
pub(super) fn run(shared: &Shared) {
    while !shared.is_stopped() {
        match shared.ahead.recv_timeout(LOOK) {
            Ok((address, revision)) => {
                if shared.sleep(GRACE) {
                    return;
                }
                if shared.view.read().revision < revision {
                    pull_from(shared, &address);
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Asks the peers with the highest revision for their state.
pub(super) fn from_best(shared: &Shared) {
    let mut peers = shared.live();
    peers.retain(|p| p.daemon != shared.me);
    peers.sort_by_key(|p| std::cmp::Reverse(p.revision));
    let is_lost = shared.tail.lock().has_gap();
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
    let next = shared.tail.lock().fold().next_offset();
    let Ok(body) = serde_json::to_vec(&Pull { next }) else {
        return false;
    };
    let answer = link.ask(address, Topic::Config, &body, PULL_TIMEOUT);
    let Some(answer) = answer.ok().filter(|a| !a.is_empty()) else {
        return false;
    };
    let adopted = record::decode_checkpoint(&answer).and_then(|c| shared.tail.lock().adopt(&c));
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
