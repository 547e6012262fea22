//! Sends outcomes to the preferred writers in batches; without an answer, appends them locally.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::super::message::{Message, Reply, Settlement};
use super::lane::{self, Job};
use super::{REFRESH_INTERVAL, Shared, WRITER_TIMEOUT};
use crate::peer;

/// The most outcomes in one message.
const MAX_BATCH_OUTCOMES: usize = 128;

/// Runs until the coordinator stops and no outcome is left.
pub(super) fn run(shared: &Arc<Shared>, settlements: &flume::Receiver<Settlement>) {
    loop {
        match settlements.recv_timeout(REFRESH_INTERVAL) {
            Ok(first) => {
                let more = settlements.try_iter().take(MAX_BATCH_OUTCOMES - 1);
                deliver(shared, std::iter::once(first).chain(more).collect());
            }
            Err(flume::RecvTimeoutError::Timeout) if !shared.is_stopped() => {}
            Err(_) => return,
        }
    }
}

fn deliver(shared: &Arc<Shared>, settlements: Vec<Settlement>) {
    let mut remote: IndexMap<String, Vec<Settlement>> = IndexMap::new();
    for settlement in settlements {
        let stream = shared.stream_of(&settlement.claim);
        match shared.remote_writer(stream) {
            Some(writer) => remote.entry(writer.address).or_default().push(settlement),
            None => settle_locally(shared, settlement),
        }
    }
    for (address, settlements) in remote {
        if send_to_writer(shared, &address, &settlements, WRITER_TIMEOUT) {
            settlements
                .iter()
                .for_each(|s| shared.mark_durable(s.claim.request));
            continue;
        }
        for settlement in settlements {
            shared.avoid_writer(shared.stream_of(&settlement.claim));
            settle_locally(shared, settlement);
        }
    }
}

fn settle_locally(shared: &Arc<Shared>, settlement: Settlement) {
    let stream = shared.stream_of(&settlement.claim);
    let job = Job::Settle(Box::new(settlement.claim), settlement.outcome, None);
    lane::send(shared, stream, job);
}

fn send_to_writer(
    shared: &Shared,
    address: &str,
    settlements: &[Settlement],
    timeout: Duration,
) -> bool {
    let Some(link) = &shared.link else {
        return false;
    };
    let body = Message::Settle(settlements.to_vec()).encode();
    let answer = link.ask(address, peer::Topic::Claim, &body, timeout);
    let reply = answer.ok().and_then(|body| Reply::decode(&body).ok());
    matches!(reply, Some(Reply::Durable(true)))
}
