//! A coordinator without a claim log, which tests compare with the one over the log.

use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;

use super::{Claim, Coordinator, Outcome, Verdict};
use crate::id;

#[derive(Debug)]
struct Entry {
    request: id::Request,
    digest: id::Digest,
    outcome: Option<Outcome>,
    waiters: Vec<(id::Request, flume::Sender<Verdict>)>,
}

/// A coordinator that keeps every key in memory.
#[derive(Debug, Default)]
pub struct Memory {
    entries: Mutex<IndexMap<(id::Workspace, id::Key), Entry>>,
}

/// Returns the verdict for later requests with the key; none after a release, which frees it.
fn verdict(outcome: &Outcome) -> Option<Verdict> {
    Some(match outcome {
        Outcome::Answered(body) => Verdict::Answered(body.clone()),
        Outcome::Partial(results) => Verdict::Resume(results.clone()),
        Outcome::Unknown => Verdict::Unknown,
        Outcome::Released => return None,
    })
}

impl Coordinator for Memory {
    fn claim(&self, claim: Claim, reply: flume::Sender<Verdict>) {
        let mut entries = self.entries.lock();
        let key = (claim.workspace.clone(), claim.key.clone());
        let Some(entry) = entries.get_mut(&key) else {
            entries.insert(
                key,
                Entry {
                    request: claim.request,
                    digest: claim.digest,
                    outcome: None,
                    waiters: Vec::new(),
                },
            );
            drop(reply.send(Verdict::Granted));
            return;
        };
        if entry.digest != claim.digest {
            drop(reply.send(Verdict::Conflict));
            return;
        }
        match entry.outcome.as_ref().and_then(verdict) {
            Some(verdict) => drop(reply.send(verdict)),
            None => entry.waiters.push((claim.request, reply)),
        }
    }

    /// A release grants the key to the request that waited longest.
    fn settle(&self, request: id::Request, outcome: Outcome) {
        let mut entries = self.entries.lock();
        let Some(index) = entries.values().position(|e| e.request == request) else {
            return;
        };
        let entry = &mut entries[index];
        if let Some(verdict) = verdict(&outcome) {
            for (_, waiter) in entry.waiters.drain(..) {
                drop(waiter.send(verdict.clone()));
            }
            entry.outcome = Some(outcome);
        } else if entry.waiters.is_empty() {
            entries.swap_remove_index(index);
        } else {
            let (next, waiter) = entry.waiters.remove(0);
            entry.request = next;
            drop(waiter.send(Verdict::Granted));
        }
    }

    fn flush(&self, _timeout: Duration) -> bool {
        true
    }
}
