//! Carries keys forward in compact form before the records of their state are trimmed.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexSet;

use super::super::fold::{EntryId, EntryKind, Slot, State};
use super::super::record::{self, Carried, Covered, Ending, Entry, Group, KeyHash};
use super::{Action, Now, Stream};
use crate::id;

/// The most keys in a batch.
const MAX_BATCH_KEYS: usize = 256;
/// Parts of the retention; write times are sampled four times in each.
const RETENTION_PARTS: u32 = 8;

/// A pass over the keys whose records are about to be trimmed.
#[derive(Debug, Default)]
pub(super) struct Pass {
    /// Offsets after runs of records, and the time of the first in milliseconds.
    samples: VecDeque<(id::Offset, u64)>,
    /// The pass covers records below this offset; none while no pass runs.
    below: Option<id::Offset>,
    /// Entries of the pass repeat states of the fold at or after this offset.
    fold_offset: id::Offset,
    /// Records below this offset were covered by an earlier pass.
    covered_below: id::Offset,
    /// Requests whose carried entries were not read back yet.
    unread: IndexSet<id::Request>,
    /// Keys whose endings are being fetched for the pass.
    fetching: Vec<(KeyHash, Slot)>,
}

impl Pass {
    /// Samples when a record was written; records of about the same time share a sample.
    pub(super) fn add_sample(&mut self, next: id::Offset, group: &Group, retention: Duration) {
        let step_ms = record::duration_millis(retention / (4 * RETENTION_PARTS)).max(1);
        match self.samples.back_mut() {
            Some((end, first_ms)) if group.at_ms < *first_ms + step_ms => *end = next,
            _ => self.samples.push_back((next, group.at_ms)),
        }
    }

    /// Notes that an entry was read back.
    pub(super) fn on_entry_read(&mut self, entry: EntryId) {
        if entry.kind == EntryKind::Carried {
            self.unread.swap_remove(&entry.request);
        }
    }

    /// Returns whether entries of the pass are still to be read back.
    pub(super) fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Returns the offset after the records of at least this age, and removes their samples.
    fn take_older_than(&mut self, age_ms: u64, now_ms: u64) -> id::Offset {
        let mut below = 0;
        while let Some((end, first_ms)) = self.samples.front() {
            if now_ms.saturating_sub(*first_ms) < age_ms {
                break;
            }
            below = *end;
            self.samples.pop_front();
        }
        below
    }
}

impl Stream {
    /// Starts, continues or ends a pass; only the preferred writer makes passes.
    pub(super) fn carry(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.is_writer || !self.is_ready || self.is_outage(now.mono) {
            return;
        }
        if self.pass.below.is_none() {
            let age_ms = record::duration_millis(self.retention / 2);
            let below = self
                .pass
                .take_older_than(age_ms, record::unix_millis(now.wall));
            if below <= self.pass.covered_below {
                return;
            }
            self.pass.below = Some(below);
            self.pass.fold_offset = self.fold.next_offset();
        }
        let is_busy = self.pass.has_unread() || !self.pass.fetching.is_empty();
        if let Some(below) = self.pass.below
            && !is_busy
        {
            self.carry_batch(below, out);
        }
    }

    fn carry_batch(&mut self, below: id::Offset, out: &mut Vec<Action>) {
        let keys = self.fold.keys_to_carry(below, MAX_BATCH_KEYS);
        if keys.is_empty() {
            self.end_pass(below);
            return;
        }
        for (hash, slot) in keys {
            match slot.state {
                State::Ended(offset) => {
                    self.pass.fetching.push((hash, slot));
                    self.fetch(offset, out);
                }
                State::Open => self.push_carried(hash, slot, None),
                State::Unknown => self.push_carried(hash, slot, Some(Ending::Unknown)),
            }
        }
    }

    /// Queues an entry that marks the pass as complete, unless records were trimmed unread during
    /// the pass.
    fn end_pass(&mut self, below: id::Offset) {
        self.pass.below = None;
        if self.pass.fold_offset < self.fold.contiguous_from() {
            return;
        }
        let covered = Covered {
            below,
            position: self.pass.fold_offset,
            since_ms: self.fold.complete_from_ms(),
        };
        self.writer.push(
            id::Request::nil(),
            EntryKind::Covered,
            Entry::Covered(covered),
        );
        self.pass.covered_below = below;
    }

    /// Drops the keys whose ending could not be fetched; a later batch carries them.
    pub(super) fn carry_failed(&mut self, offset: id::Offset) {
        let is_elsewhere = |slot: &Slot| slot.state != State::Ended(offset);
        self.pass.fetching.retain(|(_, slot)| is_elsewhere(slot));
    }

    /// Carries the keys whose ending was fetched; one that was trimmed is carried as unknown.
    pub(super) fn carry_fetched(&mut self, offset: id::Offset, group: Option<&Group>) {
        let is_fetched = |slot: &Slot| slot.state == State::Ended(offset);
        let (fetched, rest) = std::mem::take(&mut self.pass.fetching)
            .into_iter()
            .partition(|(_, slot)| is_fetched(slot));
        self.pass.fetching = rest;
        let fetched: Vec<(KeyHash, Slot)> = fetched;
        for (hash, slot) in fetched {
            let ending = group
                .and_then(|g| record::find_ending(g, slot.request))
                .unwrap_or(Ending::Unknown);
            self.push_carried(hash, slot, Some(ending));
        }
    }

    fn push_carried(&mut self, hash: KeyHash, slot: Slot, ending: Option<Ending>) {
        let executor = match ending {
            None => self.fold.executor(slot.executor).map(ToString::to_string),
            Some(_) => None,
        };
        let entry = Entry::Carried(Carried {
            place: record::hex(hash),
            mark: record::hex(slot.mark),
            request: slot.request,
            executor,
            issued_ms: slot.issued_ms,
            ending,
            position: self.fold.next_offset(),
        });
        self.pass.unread.insert(slot.request);
        self.writer.push(slot.request, EntryKind::Carried, entry);
    }
}
