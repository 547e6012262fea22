//! Reads of the stream, and the handling of their pages.

use std::time::Duration;

use indexmap::IndexMap;

use super::super::fold::{self, EntryId, EntryKind};
use super::super::record::{self, Ending, Entry, Group};
use super::{
    Action, IDLE_READ_INTERVAL, LONG_POLL, MAX_CACHED_BYTES, MAX_CACHED_ENDINGS, Now,
    OUTAGE_READ_BACKOFF, READ_BACKOFF, Stream,
};
use crate::clock::Time;
use crate::{id, platform};

/// The read in flight, and when the next one is due.
#[derive(Debug, Default)]
pub(super) struct ReadState {
    pub(super) in_flight: bool,
    /// Reads started so far.
    pub(super) started: u64,
    /// Whether the read in flight started after the append in doubt.
    pub(super) resolves_append: bool,
    pub(super) not_before: Time,
    pub(super) idle_read_at: Time,
}

impl Stream {
    pub(super) fn read(&mut self, page: Option<&platform::Page>, now: Now, out: &mut Vec<Action>) {
        let resolves_append = std::mem::take(&mut self.read_state.resolves_append);
        self.read_state.in_flight = false;
        let Some(page) = page else {
            self.note_log_result(false, now.mono);
            let backoff = if self.is_outage(now.mono) {
                OUTAGE_READ_BACKOFF
            } else {
                READ_BACKOFF
            };
            self.read_state.not_before = now.mono + backoff;
            return;
        };
        self.writer.reset_backoff();
        if !self.writer.is_failing() {
            self.note_log_result(true, now.mono);
        }
        if page.first > self.fold.next_offset() {
            // Carried entries may be anywhere up to the end.
            self.is_ready = false;
        }
        self.read_state.not_before = now.mono;
        self.read_state.idle_read_at = now.mono + IDLE_READ_INTERVAL;
        for (next, group) in self.fold.apply_page(page) {
            self.pass.add_sample(next, &group, self.retention);
            self.apply_group(group, out);
        }
        if self.fold.next_offset() >= page.end {
            self.is_ready = true;
            self.mark_fresh(self.read_state.started);
            if resolves_append {
                self.writer.on_caught_up();
            }
        }
    }

    fn apply_group(&mut self, group: Group, out: &mut Vec<Action>) {
        for entry in group.entries {
            let id = fold::entry_id(&entry);
            self.writer.on_entry_read(id);
            self.on_entry_read(id);
            self.pass.on_entry_read(id);
            report_durable(id, out);
            if let Entry::Outcome(outcome) = entry {
                self.cache_ending(outcome.request, outcome.ending);
            }
        }
    }

    /// Caches an ending with bodies, and drops the oldest ones above the bounds.
    fn cache_ending(&mut self, request: id::Request, ending: Ending) {
        if ending == Ending::Unknown || self.cached_endings.contains_key(&request) {
            return;
        }
        self.cached_endings.insert(request, ending);
        let bytes = |endings: &IndexMap<id::Request, Ending>| -> usize {
            endings.values().map(record::body_bytes).sum()
        };
        while self.cached_endings.len() > MAX_CACHED_ENDINGS
            || (self.cached_endings.len() > 1 && bytes(&self.cached_endings) > MAX_CACHED_BYTES)
        {
            self.cached_endings.shift_remove_index(0);
        }
    }

    /// Starts the next read, if one is due and none is in flight.
    pub(super) fn start_read(&mut self, now: Now, out: &mut Vec<Action>) {
        let is_due = now.mono >= self.read_state.not_before;
        if self.read_state.in_flight || !is_due || !self.wants_read(now.mono) {
            return;
        }
        let has_in_doubt = self.writer.has_in_doubt();
        let wait = if has_in_doubt || !self.is_ready || self.waiters.is_empty() {
            Duration::ZERO
        } else {
            LONG_POLL
        };
        self.read_state.in_flight = true;
        self.read_state.started += 1;
        self.read_state.resolves_append = has_in_doubt;
        out.push(Action::Read(self.fold.next_offset(), wait));
    }

    /// Returns whether something waits for the next records.
    pub(super) fn needs_records(&self) -> bool {
        let is_failing = self.failing_since.is_some();
        !self.waiters.is_empty()
            || self.writer.has_in_doubt()
            || self.pass.has_unread()
            || is_failing
    }

    fn wants_read(&self, now: Time) -> bool {
        let is_idle_read_due = self.is_writer && now >= self.read_state.idle_read_at;
        self.needs_records() || is_idle_read_due
    }
}

/// Reports an outcome or release, which its daemon keeps until it is durable.
pub(super) fn report_durable(entry: EntryId, out: &mut Vec<Action>) {
    if matches!(entry.kind, EntryKind::Outcome | EntryKind::Release) {
        out.push(Action::Durable(entry.request));
    }
}
