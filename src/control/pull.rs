//! Pulls configuration from other daemons, when the log is slow or no longer has it.

use std::time::Duration;

use flume::RecvTimeoutError;

use super::handler::Pull;
use super::shared::Shared;
use crate::config::record;
use crate::peer::Topic;
use crate::timeline::Kind;

/// Wait for the log to deliver a revision, before it is pulled from a peer.
const LOG_GRACE: Duration = Duration::from_millis(700);
/// Interval between checks whether control has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a peer's answer with its state.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Peers that are asked until one has a newer state.
const MAX_PULLS: usize = 3;

/// Pulls revisions that other daemons are known to have, until control stops.
pub(super) fn run(shared: &Shared) {
    while !shared.is_stopped() {
        match shared.newer_configs.recv_timeout(STOP_POLL_INTERVAL) {
            Ok((address, revision)) => {
                if shared.sleep(LOG_GRACE) {
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

/// Pulls the state of a peer with one of the highest revisions.
pub(super) fn pull_from_newest(shared: &Shared) {
    let mut peers = shared.live();
    peers.retain(|p| p.daemon != shared.me);
    peers.sort_by_key(|p| std::cmp::Reverse(p.revision));
    let has_gap = shared.tail.lock().has_gap();
    let ours = shared.view.read().revision;
    for peer in peers.iter().take(MAX_PULLS) {
        if (has_gap || ours == 0 || peer.revision > ours) && pull_from(shared, &peer.address) {
            return;
        }
    }
}

/// Pulls the state of the daemon at `address`; returns whether it was newer.
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
    let result = record::decode_checkpoint(&answer).and_then(|c| shared.tail.lock().adopt(&c));
    match result {
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
