//! Carries keys forward in compact form before the records that tell of them are trimmed.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexSet;

use super::super::fold::{EntryId, EntryKind, Slot, State};
use super::super::record::{self, Carried, Covered, Ending, Entry, Group, KeyHash};
use super::{Action, Now, Stream};
use crate::id;

/// Keys that are carried at a time.
const BATCH_KEYS: usize = 256;
/// Parts of the retention after which a new pass begins.
const PASSES_PER_RETENTION: u32 = 8;

/// A pass over the keys whose records will be trimmed.
#[derive(Debug, Default)]
pub(super) struct Pass {
    /// Ends of runs of records with the time of their first, some for each retention.
    samples: VecDeque<(id::Offset, u64)>,
    /// The pass covers records below this offset; none while no pass runs.
    below: Option<id::Offset>,
    /// Entries of the pass repeat states at or after this offset.
    starts_at: id::Offset,
    /// Records below this offset were covered by an earlier pass.
    covered_below: id::Offset,
    /// Requests whose keys were carried and not read back yet.
    unread: IndexSet<id::Request>,
    /// Keys whose answers are being read for the pass.
    fetching: Vec<(KeyHash, Slot)>,
}

impl Pass {
    /// Remembers when a record was written; records of about the same time share a sample.
    pub(super) fn add_sample(&mut self, next: id::Offset, group: &Group, retention: Duration) {
        let step = record::duration_millis(retention / (4 * PASSES_PER_RETENTION)).max(1);
        match self.samples.back_mut() {
            Some((end, at)) if group.at_ms < *at + step => *end = next,
            _ => self.samples.push_back((next, group.at_ms)),
        }
    }

    /// Learns that an entry stands in the log.
    pub(super) fn on_entry_read(&mut self, seen: EntryId) {
        if seen.kind == EntryKind::Carried {
            self.unread.swap_remove(&seen.request);
        }
    }

    /// Says whether entries of the pass are still to be read back.
    pub(super) fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Returns the end of the records that are older than this, and forgets their samples.
    fn take_older_than(&mut self, age_ms: u64, now_ms: u64) -> id::Offset {
        let mut below = 0;
        while let Some((end, at)) = self.samples.front() {
            if now_ms.saturating_sub(*at) < age_ms {
                break;
            }
            below = *end;
            self.samples.pop_front();
        }
        below
    }
}

impl Stream {
    /// Begins, continues or ends a pass; only the preferred writer makes them.
    pub(super) fn carry(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.is_writer || !self.is_ready || self.is_outage(now.mono) {
            return;
        }
        if self.pass.below.is_none() {
            let age = record::duration_millis(self.retention / 2);
            let below = self
                .pass
                .take_older_than(age, record::unix_millis(now.wall));
            if below <= self.pass.covered_below {
                return;
            }
            self.pass.below = Some(below);
            self.pass.starts_at = self.fold.next_offset();
        }
        let is_busy = self.pass.has_unread() || !self.pass.fetching.is_empty();
        if let Some(below) = self.pass.below
            && !is_busy
        {
            self.carry_batch(below, out);
        }
    }

    fn carry_batch(&mut self, below: id::Offset, out: &mut Vec<Action>) {
        let keys = self.fold.keys_to_carry(below, BATCH_KEYS);
        if keys.is_empty() {
            self.end_pass(below);
            return;
        }
        for (place, slot) in keys {
            match slot.state {
                State::Ended(offset) => {
                    self.pass.fetching.push((place, slot));
                    self.fetch(offset, out);
                }
                State::Open => self.push_carried(place, slot, None),
                State::Unknown => self.push_carried(place, slot, Some(Ending::Unknown)),
            }
        }
    }

    /// Records that the pass is done, unless records were trimmed unread meanwhile.
    fn end_pass(&mut self, below: id::Offset) {
        self.pass.below = None;
        if self.pass.starts_at < self.fold.contiguous_from() {
            return;
        }
        let covered = Covered {
            below,
            position: self.pass.starts_at,
            since_ms: self.fold.complete_from_ms(),
        };
        self.writer.push(
            id::Request::nil(),
            EntryKind::Covered,
            Entry::Covered(covered),
        );
        self.pass.covered_below = below;
    }

    /// An answer could not be read now; its key is carried by a later batch.
    pub(super) fn carry_failed(&mut self, offset: id::Offset) {
        let is_there = |slot: &Slot| slot.state != State::Ended(offset);
        self.pass.fetching.retain(|(_, slot)| is_there(slot));
    }

    /// Continues with the answers that were read; one that was trimmed is carried as unknown.
    pub(super) fn carry_fetched(&mut self, offset: id::Offset, group: Option<&Group>) {
        let is_here = |slot: &Slot| slot.state == State::Ended(offset);
        let (here, rest) = std::mem::take(&mut self.pass.fetching)
            .into_iter()
            .partition(|(_, slot)| is_here(slot));
        self.pass.fetching = rest;
        let here: Vec<(KeyHash, Slot)> = here;
        for (place, slot) in here {
            let ending = group
                .and_then(|g| record::find_ending(g, slot.request))
                .unwrap_or(Ending::Unknown);
            self.push_carried(place, slot, Some(ending));
        }
    }

    fn push_carried(&mut self, place: KeyHash, slot: Slot, ending: Option<Ending>) {
        let executor = match ending {
            None => self.fold.executor(slot.executor).map(ToString::to_string),
            Some(_) => None,
        };
        let entry = Entry::Carried(Carried {
            place: record::hex(place),
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
