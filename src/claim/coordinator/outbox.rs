//! Sends outcomes to the preferred writers in groups, and appends them here when those do not
//! answer.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::super::message::{Message, Reply, Settlement};
use super::lane::{self, Job};
use super::{REFRESH, Shared, WRITER_PATIENCE};
use crate::peer;

/// Outcomes in one message.
const BATCH: usize = 128;

/// Runs until the desk stops and nothing is left.
pub(super) fn run(shared: &Arc<Shared>, settles: &flume::Receiver<Settlement>) {
    loop {
        match settles.recv_timeout(REFRESH) {
            Ok(first) => {
                let more = settles.try_iter().take(BATCH - 1);
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
        let stream = shared.stream(&settle.claim);
        match shared.writer(stream) {
            Some(writer) => remote.entry(writer.address).or_default().push(settle),
            None => append_here(shared, settle),
        }
    }
    for (address, settles) in remote {
        if is_durable(shared, &address, &settles, WRITER_PATIENCE) {
            settles.iter().for_each(|s| shared.durable(s.claim.request));
            continue;
        }
        for settle in settles {
            shared.avoid(shared.stream(&settle.claim));
            append_here(shared, settle);
        }
    }
}

fn append_here(shared: &Arc<Shared>, settle: Settlement) {
    let stream = shared.stream(&settle.claim);
    let job = Job::Settle(Box::new(settle.claim), settle.outcome, None);
    lane::send(shared, stream, job);
}

fn is_durable(shared: &Shared, address: &str, settles: &[Settlement], timeout: Duration) -> bool {
    let Some(link) = &shared.link else {
        return false;
    };
    let body = Message::Settle(settles.to_vec()).encode();
    let answer = link.ask(address, peer::Topic::Claim, &body, timeout);
    let reply = answer.ok().and_then(|body| Reply::decode(&body).ok());
    matches!(reply, Some(Reply::Durable(true)))
}
