//! A naive desk: one process, one map, no faults. The real one is compared with it.

use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;

use super::{Ask, Desk, Outcome, Verdict};
use crate::id;

#[derive(Debug)]
struct Entry {
    request: id::Request,
    digest: id::Digest,
    outcome: Option<Outcome>,
    waiters: Vec<flume::Sender<Verdict>>,
}

/// A desk that remembers every key in memory.
#[derive(Debug, Default)]
pub struct Naive {
    entries: Mutex<IndexMap<(id::Workspace, id::Key), Entry>>,
}

fn verdict(outcome: &Outcome) -> Verdict {
    match outcome {
        Outcome::Answered(body) => Verdict::Answered(body.clone()),
        Outcome::Partial(parts) => Verdict::Resume(parts.clone()),
        Outcome::Unknown => Verdict::Unknown,
        Outcome::Released => Verdict::NotRun {
            reason: "the request that held the key was released".into(),
            retry_after: Some(Duration::ZERO),
        },
    }
}

impl Desk for Naive {
    fn claim(&self, ask: Ask, reply: flume::Sender<Verdict>) {
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
        match &entry.outcome {
            Some(outcome) => drop(reply.send(verdict(outcome))),
            None => entry.waiters.push(reply),
        }
    }

    fn settle(&self, request: id::Request, outcome: Outcome) {
        let mut entries = self.entries.lock();
        let Some(index) = entries.values().position(|e| e.request == request) else {
            return;
        };
        for waiter in entries[index].waiters.drain(..) {
            drop(waiter.send(verdict(&outcome)));
        }
        if outcome == Outcome::Released {
            entries.swap_remove_index(index);
        } else {
            entries[index].outcome = Some(outcome);
        }
    }

    fn flush(&self, _timeout: Duration) -> bool {
        true
    }
}
