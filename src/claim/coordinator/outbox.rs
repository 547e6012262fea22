//! Sends outcomes to the preferred writers in groups, and appends them here when those do not
//! answer.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::super::message::{Message, Reply, Settlement};
use super::lane::{self, Job};
use super::{REFRESH_INTERVAL, Shared, WRITER_TIMEOUT};
use crate::peer;

/// Outcomes in one message.
const MAX_BATCH: usize = 128;

/// Runs until the desk stops and nothing is left.
pub(super) fn run(shared: &Arc<Shared>, settles: &flume::Receiver<Settlement>) {
    loop {
        match settles.recv_timeout(REFRESH_INTERVAL) {
            Ok(first) => {
                let more = settles.try_iter().take(MAX_BATCH - 1);
                deliver(shared, std::iter::once(first).chain(more).collect());
            }
            Err(flume::RecvTimeoutError::Timeout) if !shared.is_stopped() => {}
            Err(_) => return,
        }
    }
}

fn deliver(shared: &Arc<Shared>, settles: Vec<Settlement>) {
    let mut remote: IndexMap<String, Vec<Settlement>> = IndexMap::new();
    for settle in settles {
        let stream = shared.stream_of(&settle.claim);
        match shared.remote_writer(stream) {
            Some(writer) => remote.entry(writer.address).or_default().push(settle),
            None => settle_locally(shared, settle),
        }
    }
    for (address, settles) in remote {
        if send_to_writer(shared, &address, &settles, WRITER_TIMEOUT) {
            settles
                .iter()
                .for_each(|s| shared.mark_durable(s.claim.request));
            continue;
        }
        for settle in settles {
            shared.avoid_writer(shared.stream_of(&settle.claim));
            settle_locally(shared, settle);
        }
    }
}

fn settle_locally(shared: &Arc<Shared>, settle: Settlement) {
    let stream = shared.stream_of(&settle.claim);
    let job = Job::Settle(Box::new(settle.claim), settle.outcome, None);
    lane::send(shared, stream, job);
}

fn send_to_writer(
    shared: &Shared,
    address: &str,
    settles: &[Settlement],
    timeout: Duration,
) -> bool {
    let Some(link) = &shared.link else {
        return false;
    };
    let body = Message::Settle(settles.to_vec()).encode();
    let answer = link.ask(address, peer::Topic::Claim, &body, timeout);
    let reply = answer.ok().and_then(|body| Reply::decode(&body).ok());
    matches!(reply, Some(Reply::Durable(true)))
}
