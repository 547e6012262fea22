//! A naive desk: one process, one map, no faults. The real one is compared with it.

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

/// A desk that remembers every key in memory.
#[derive(Debug, Default)]
pub struct Memory {
    entries: Mutex<IndexMap<(id::Workspace, id::Key), Entry>>,
}

/// Returns what a later request is told; none after a release, which leaves nothing to tell.
fn verdict(outcome: &Outcome) -> Option<Verdict> {
    Some(match outcome {
        Outcome::Answered(body) => Verdict::Answered(body.clone()),
        Outcome::Partial(parts) => Verdict::Resume(parts.clone()),
        Outcome::Unknown => Verdict::Unknown,
        Outcome::Released => return None,
    })
}

impl Coordinator for Memory {
    fn claim(&self, ask: Claim, reply: flume::Sender<Verdict>) {
        let mut entries = self.entries.lock();
        let at = (ask.workspace.clone(), ask.key.clone());
        let Some(entry) = entries.get_mut(&at) else {
            entries.insert(
                at,
                Entry {
                    request: ask.request,
                    digest: ask.digest,
                    outcome: None,
                    waiters: Vec::new(),
                },
            );
            drop(reply.send(Verdict::Granted));
            return;
        };
        if entry.digest != ask.digest {
            drop(reply.send(Verdict::Conflict));
            return;
        }
        match entry.outcome.as_ref().and_then(verdict) {
            Some(verdict) => drop(reply.send(verdict)),
            None => entry.waiters.push((ask.request, reply)),
        }
    }

    /// A release passes the key on to the request that waited longest.
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
