//! A stage endpoint with one call at a time and bounded room for results.

use indexmap::IndexMap;

use super::pace::Pace;
use crate::clock::Time;
use crate::serve::catalog::Batch;
use crate::serve::plan::{Handle, PieceOutcome};

event! {
    /// The pieces that a stage endpoint has computed.
    pub struct Computed {
        /// When the call ends.
        pub end: Time,
        /// The outcome of each piece.
        pub outcomes: Vec<PieceOutcome>,
    }
}

struct Held {
    bytes: u64,
    expires_at: Time,
}

/// The state of one stage endpoint.
pub struct StageEndpoint {
    name: String,
    batch: Batch,
    /// The pace of its VM.
    pub pace: Pace,
    next_handle: u64,
    held: IndexMap<Handle, Held>,
}

impl StageEndpoint {
    /// Makes an endpoint that holds nothing.
    pub fn new(name: &str, batch: Batch) -> Self {
        Self {
            name: name.to_owned(),
            batch,
            pace: Pace::new(name, None),
            next_handle: 0,
            held: IndexMap::new(),
        }
    }

    /// Begins a call of pieces with results of these sizes, in bytes.
    pub fn call(&mut self, sizes: &[u64], now: Time) -> Computed {
        self.held.retain(|_, held| now < held.expires_at);
        let mut used: u64 = self.held.values().map(|held| held.bytes).sum();
        let computed = u32::try_from(sizes.len()).unwrap_or(u32::MAX);
        let usual = self.batch.call_time + self.batch.piece_time * computed;
        let end = self.pace.end(now, usual);
        let mut outcomes = Vec::new();
        for bytes in sizes.iter().copied() {
            if used + bytes > self.batch.capacity_bytes {
                outcomes.push(PieceOutcome::NoRoom);
                continue;
            }
            used += bytes;
            self.next_handle += 1;
            let handle: Handle = format!("{}/{}", self.name, self.next_handle).into();
            let expires_at = end + self.batch.retention;
            self.held.insert(handle.clone(), Held { bytes, expires_at });
            outcomes.push(PieceOutcome::Handle(handle));
        }
        Computed { end, outcomes }
    }

    /// Drops results.
    pub fn free(&mut self, handles: &[Handle]) {
        for handle in handles {
            self.held.swap_remove(handle);
        }
    }
}
