//! The journal in which stand-in endpoints note every call that they began or ended.
//!
//! It is the evidence of the demo: what ran is counted here and not at the daemons.
//! See [the demo](../../docs/DEMO.md).

use std::sync::Arc;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{endpoint, id};

token! {
    /// What happened to a call.
    pub enum Event {
        /// The endpoint began to run it.
        Began,
        /// The endpoint stopped running it.
        Ended,
    }
}

/// A line of the journal; its names are those of the script interface.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The stage.
    pub stage: id::Stage,
    /// The request.
    pub request: id::Request,
    /// The workspace of the caller.
    pub workspace: id::Workspace,
    /// The pipeline.
    pub pipeline: id::Pipeline,
    /// The caller's idempotency key.
    pub idempotency_key: Option<id::Key>,
    /// The attempt.
    pub attempt: id::Attempt,
    /// What happened.
    pub event: Event,
    /// How it ended: `answered`, `failed`, `cancelled`, `crashed` or `cut`.
    pub result: Option<id::Name>,
    /// The marker of the caller's body, which says whose request the input belongs to.
    pub marker: id::Name,
    /// Whether the input mixed the results of several requests.
    pub crossed: bool,
    /// Tokens generated in this call.
    pub tokens: u64,
    /// Microseconds that the endpoint worked on it.
    pub engine_us: u64,
}

/// A journal shared by the stand-ins of one process.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Journal {
    /// Notes that a call began, and returns the entry from which its end is made.
    pub fn begin(
        &self,
        endpoint: &id::Endpoint,
        call: &endpoint::Call,
        input: &super::text::Input,
    ) -> Entry {
        let entry = Entry {
            endpoint: endpoint.clone(),
            stage: call.stage.clone(),
            request: call.request,
            workspace: call.workspace.clone(),
            pipeline: call.pipeline.clone(),
            idempotency_key: call.key.clone(),
            attempt: call.attempt,
            event: Event::Began,
            result: None,
            marker: input.marker.clone(),
            crossed: input.crossed,
            tokens: 0,
            engine_us: 0,
        };
        self.entries.lock().push(entry.clone());
        entry
    }

    /// Notes how a call ended.
    pub fn end(&self, began: Entry, result: &str, usage: &endpoint::Usage) {
        let entry = Entry {
            event: Event::Ended,
            result: Some(result.into()),
            tokens: usage.tokens,
            engine_us: u64::try_from(usage.engine_time.as_micros()).unwrap_or(u64::MAX),
            ..began
        };
        self.entries.lock().push(entry);
    }

    /// Returns the entries after the first `skip`.
    pub fn since(&self, skip: usize) -> Vec<Entry> {
        let entries = self.entries.lock();
        entries.iter().skip(skip).cloned().collect()
    }

    /// Returns the entries after the first `skip` as JSON lines.
    pub fn to_json_lines(&self, skip: usize) -> String {
        let lines = self.since(skip).into_iter();
        let lines = lines.filter_map(|e| serde_json::to_string(&e).ok());
        lines.fold(String::new(), |text, line| text + &line + "\n")
    }

    /// Returns how many calls began and have not ended.
    pub fn running(&self) -> usize {
        let entries = self.entries.lock();
        let ended = entries.iter().filter(|e| e.event == Event::Ended).count();
        entries.len() - 2 * ended
    }
}

#[cfg(test)]
mod tests;
