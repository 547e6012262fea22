//! Transcripts of recent requests, from which a caller can resume after its connection broke.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;

use super::Transcript;
use crate::clock::Time;
use crate::id;

/// How long a transcript is kept after its request started.
pub const RETENTION: Duration = Duration::from_secs(90);
/// The most transcripts that are kept.
const MAX_TRANSCRIPTS: usize = 16_384;
/// The most bytes of all transcripts together.
const MAX_TOTAL_BYTES: usize = 64 << 20;

struct Entry {
    transcript: Arc<Transcript>,
    added_at: Time,
}

#[derive(Default)]
struct State {
    entries: IndexMap<id::Request, Entry>,
}

/// The recent transcripts of one daemon.
#[derive(Default)]
pub struct Transcripts {
    state: Mutex<State>,
}

impl Transcripts {
    /// Adds a transcript and drops old ones.
    pub fn add(&self, transcript: Arc<Transcript>, now: Time) {
        let mut state = self.state.lock();
        state.trim(now);
        let request = transcript.request();
        let added_at = now;
        state.entries.insert(
            request,
            Entry {
                transcript,
                added_at,
            },
        );
    }

    /// Returns the transcript of a request if `workspace` owns it.
    pub fn get(&self, request: id::Request, workspace: &str) -> Option<Arc<Transcript>> {
        let state = self.state.lock();
        let found = &state.entries.get(&request)?.transcript;
        (**found.workspace() == *workspace).then(|| found.clone())
    }

    /// Drops old transcripts.
    pub fn trim(&self, now: Time) {
        self.state.lock().trim(now);
    }
}

impl State {
    fn trim(&mut self, now: Time) {
        let count = self.entries.len();
        let expired = self.entries.values();
        let expired = expired
            .take_while(|e| e.added_at + RETENTION <= now)
            .count();
        let surplus = (count + 1).saturating_sub(MAX_TRANSCRIPTS);
        let mut drop_count = expired.max(surplus);
        let mut bytes: usize = 0;
        for (index, entry) in self.entries.values().enumerate().rev() {
            bytes += entry.transcript.size();
            if bytes > MAX_TOTAL_BYTES {
                drop_count = drop_count.max(index + 1);
                break;
            }
        }
        self.entries.drain(..drop_count);
    }
}
