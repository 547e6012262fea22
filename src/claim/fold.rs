//! The fold of one claim stream: the state of its keys, folded from the records by offset.
//!
//! Every daemon that reads the same records gets the same state; the order of the log alone
//! decides. See [the design note](../../docs/design/claims.md).

use std::time::{Duration, SystemTime};

use indexmap::{IndexMap, IndexSet};

use super::mutation::{self, Mutation};
use super::record::{
    self, Bar, Carried, Claim, Covered, DigestHash, Entry, Group, KeyHash, Outcome, Release,
};
use super::window;
use crate::{id, platform};

token! {
    /// The state of a claimed key.
    pub enum State {
        /// The request that holds it may be running.
        Open,
        /// The request that held it ended; the record at this offset has the ending.
        Ended(id::Offset),
        /// The request that held it ended with an unknown result, or its answer is gone.
        Unknown,
    }

    /// What the fold remembers of a key.
    pub struct Slot {
        /// The request whose claim came first.
        pub request: id::Request,
        /// Hash of its digest.
        pub mark: DigestHash,
        /// Number of its executor in the table of executors; `u32::MAX` when unknown.
        pub executor: u32,
        /// When the key was issued, in milliseconds since the Unix epoch.
        pub issued_ms: u64,
        /// A reader that starts at this offset or below learns this state.
        pub support: id::Offset,
        /// Whether the claim is known to be the first; an earlier one may be trimmed unread.
        pub is_first: bool,
        /// Its state.
        pub state: State,
    }

    /// What the fold knows of a key.
    pub enum Lookup {
        /// It is unclaimed.
        Absent,
        /// Its claim may have been trimmed before it was read.
        Unread,
        /// It was claimed.
        Held(Slot),
    }

    /// The kind of an entry.
    pub enum EntryKind {
        /// A claim.
        Claim,
        /// A release.
        Release,
        /// An outcome.
        Outcome,
        /// A bar, which marks a key as unknown.
        Bar,
        /// A key that was carried forward.
        Carried,
        /// The end of a pass that carried keys forward.
        Covered,
    }

    /// Identifies an entry by its request and kind.
    pub struct EntryId {
        /// The request.
        pub request: id::Request,
        /// Its kind.
        pub kind: EntryKind,
    }
}

/// The fold of one claim stream.
#[derive(Debug, Default)]
pub struct Fold {
    slots: IndexMap<KeyHash, Slot>,
    /// Requests that released their claim, with the issue time of their key.
    released: IndexMap<id::Request, u64>,
    executors: IndexSet<id::Daemon>,
    next_offset: id::Offset,
    /// Keys issued before this may have claims that were trimmed unread.
    complete_from_ms: u64,
    /// The lowest offset read since the last gap.
    contiguous_from: id::Offset,
    /// Keys issued up to this are forgotten.
    forgotten_ms: u64,
}

impl Fold {
    /// Returns the offset that is read next.
    pub fn next_offset(&self) -> id::Offset {
        self.next_offset
    }

    /// Returns the lowest offset read since records were last trimmed unread.
    pub fn contiguous_from(&self) -> id::Offset {
        self.contiguous_from
    }

    /// Returns the time of issue, in milliseconds since the Unix epoch, from which on every
    /// claimed key is known.
    pub fn complete_from_ms(&self) -> u64 {
        self.complete_from_ms
    }

    /// Returns how many keys are remembered.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the name of an executor.
    pub fn executor(&self, number: u32) -> Option<&id::Daemon> {
        self.executors.get_index(number as usize)
    }

    /// Returns what is known of a key.
    pub fn find(&self, hash: KeyHash, issued_ms: u64) -> Lookup {
        let is_unread = self.may_be_unread(issued_ms);
        if let Some(slot) = self.slots.get(&hash) {
            let is_certain = slot.is_first || slot.state != State::Open || !is_unread;
            return if is_certain {
                Lookup::Held(*slot)
            } else {
                Lookup::Unread
            };
        }
        if is_unread {
            return Lookup::Unread;
        }
        let trusts_expired = mutation::is_active(Mutation::TrustExpiredWindow);
        if issued_ms <= self.forgotten_ms && self.forgotten_ms > 0 && !trusts_expired {
            return Lookup::Unread;
        }
        Lookup::Absent
    }

    /// Returns the earliest time of issue of a key that is remembered, in milliseconds since the
    /// Unix epoch; a key without one may be as old.
    pub fn oldest_ms(&self) -> u64 {
        self.forgotten_ms + 1
    }

    /// Returns whether a key issued at that time may have claims that were trimmed unread.
    fn may_be_unread(&self, issued_ms: u64) -> bool {
        issued_ms < self.complete_from_ms && !mutation::is_active(Mutation::TrustTrimmed)
    }

    /// Returns whether a request released its claim.
    pub fn is_released(&self, request: id::Request) -> bool {
        self.released.contains_key(&request)
    }

    /// Folds a page that was read from the next offset on, and returns the groups in it, each
    /// with the offset after it. Records that were folded before are skipped.
    pub fn apply_page(&mut self, page: &platform::Page) -> Vec<(id::Offset, Group)> {
        if page.first > self.next_offset {
            self.skip_trimmed(page);
        }
        let mut groups = Vec::new();
        for record in &page.records {
            if record.offset < self.next_offset {
                continue;
            }
            if let Some(group) = record::decode(&record.body) {
                self.apply_group(&group, record.offset);
                groups.push((record.offset + 1, group));
            }
            self.next_offset = record.offset + 1;
        }
        groups
    }

    /// Skips records that were trimmed unread: only keys issued later are known in full, and
    /// requests that held a key may have ended.
    fn skip_trimmed(&mut self, page: &platform::Page) {
        let first_ms = page
            .records
            .iter()
            .find_map(|r| record::decode(&r.body))
            .map_or(u64::MAX, |g| g.at_ms);
        let skew = record::duration_millis(window::MAX_CLOCK_SKEW);
        self.complete_from_ms = self.complete_from_ms.max(first_ms.saturating_add(2 * skew));
        self.slots.retain(|_, slot| slot.state != State::Open);
        self.next_offset = page.first;
        self.contiguous_from = page.first;
    }

    fn apply_group(&mut self, group: &Group, offset: id::Offset) {
        for entry in &group.entries {
            match entry {
                Entry::Claim(claim) => self.apply_claim(claim, group.at_ms, offset),
                Entry::Release(release) => self.apply_release(release),
                Entry::Outcome(outcome) => self.apply_outcome(outcome, offset),
                Entry::Bar(bar) => self.apply_bar(bar, offset),
                Entry::Carried(carried) => self.apply_carried(carried, offset),
                Entry::Covered(covered) => self.apply_covered(covered),
            }
        }
    }

    fn apply_covered(&mut self, covered: &Covered) {
        if covered.position >= self.contiguous_from && covered.below >= self.contiguous_from {
            self.complete_from_ms = self.complete_from_ms.min(covered.since_ms);
        }
    }

    fn number_of(&mut self, executor: &str) -> u32 {
        let (index, _) = self.executors.insert_full(executor.into());
        u32::try_from(index).unwrap_or(u32::MAX)
    }

    /// Counts a key without a time of issue as issued at its claim; it may have older claims.
    fn apply_claim(&mut self, claim: &Claim, at_ms: u64, offset: id::Offset) {
        let ignores_release = mutation::is_active(Mutation::ForgetRelease);
        if self.released.contains_key(&claim.request) && !ignores_release {
            return;
        }
        let executor = self.number_of(&claim.executor);
        let hash = record::key_hash(&claim.workspace, &claim.key);
        let (issued_ms, oldest_ms) = match claim.issued_ms {
            0 => (at_ms, self.oldest_ms()),
            issued_ms => (issued_ms, issued_ms),
        };
        let is_first = !self.may_be_unread(oldest_ms);
        self.slots.entry(hash).or_insert(Slot {
            request: claim.request,
            mark: record::digest_hash(&claim.digest),
            executor,
            issued_ms,
            support: offset,
            is_first,
            state: State::Open,
        });
    }

    /// Applies a release to the claim of the same request, before or after it in the log,
    /// unless an outcome of that request came first.
    fn apply_release(&mut self, release: &Release) {
        let hash = record::key_hash(&release.workspace, &release.key);
        let ignores_holder = mutation::is_active(Mutation::DropReleaseRule);
        if let Some(slot) = self.slots.get(&hash) {
            let is_own = slot.request == release.request;
            if is_own && slot.state != State::Open && !ignores_holder {
                return;
            }
            if is_own || ignores_holder {
                self.slots.swap_remove(&hash);
            }
        }
        self.released.insert(release.request, release.issued_ms);
    }

    fn apply_outcome(&mut self, outcome: &Outcome, offset: id::Offset) {
        if self.released.contains_key(&outcome.request) {
            return;
        }
        let hash = record::key_hash(&outcome.workspace, &outcome.key);
        let state = state_of(&outcome.ending, offset);
        // Only the request that holds the key has an outcome: if its claim is unknown here, it
        // was trimmed unread, and the claim that is known was not the first.
        let is_known = |slot: &Slot| slot.request == outcome.request || slot.is_first;
        match self.slots.get_mut(&hash) {
            Some(slot) if slot.request == outcome.request && slot.state == State::Open => {
                slot.state = state;
                slot.support = offset;
            }
            Some(slot) if is_known(slot) || state == State::Unknown => {}
            _ => {
                let slot = Slot {
                    request: outcome.request,
                    mark: record::digest_hash(&outcome.digest),
                    executor: u32::MAX,
                    issued_ms: outcome.issued_ms,
                    support: offset,
                    is_first: true,
                    state,
                };
                self.slots.insert(hash, slot);
            }
        }
    }

    /// Marks a key as unknown, unless its holder has ended. The writer of a bar knows neither
    /// the holder nor whether it released its claim.
    fn apply_bar(&mut self, bar: &Bar, offset: id::Offset) {
        let hash = record::key_hash(&bar.workspace, &bar.key);
        let slot = self.slots.entry(hash).or_insert(Slot {
            request: bar.request,
            mark: record::digest_hash(&bar.digest),
            executor: u32::MAX,
            issued_ms: bar.issued_ms,
            support: offset,
            is_first: true,
            state: State::Open,
        });
        if slot.state == State::Open {
            slot.state = State::Unknown;
            slot.support = offset;
        }
    }

    /// Applies a carried entry only if every record after the state that it repeats was read.
    /// It never changes a known state, so that the order of claims and outcomes still decides.
    fn apply_carried(&mut self, carried: &Carried, offset: id::Offset) {
        let (Some(hash), Some(mark)) =
            (record::unhex(&carried.place), record::unhex(&carried.mark))
        else {
            return;
        };
        if carried.position < self.contiguous_from || self.released.contains_key(&carried.request) {
            return;
        }
        let executor = carried
            .executor
            .as_deref()
            .map_or(u32::MAX, |name| self.number_of(name));
        let state = carried
            .ending
            .as_ref()
            .map_or(State::Open, |ending| state_of(ending, offset));
        let carried_slot = Slot {
            request: carried.request,
            mark,
            executor,
            issued_ms: carried.issued_ms,
            support: carried.position,
            is_first: true,
            state,
        };
        let slot = self.slots.entry(hash).or_insert(carried_slot);
        if slot.request != carried.request && self.contiguous_from > 0 {
            // A late claim took the place of the holder, whose own claim was trimmed unread.
            *slot = carried_slot;
        }
        if slot.request == carried.request && carried.position > slot.support {
            slot.support = carried.position;
            if let (State::Ended(_), State::Ended(_)) = (slot.state, state) {
                slot.state = state;
            }
        }
    }

    /// Returns keys whose state is lost to readers that start at `below`, at most `limit` of them.
    pub fn keys_to_carry(&self, below: id::Offset, limit: usize) -> Vec<(KeyHash, Slot)> {
        self.slots
            .iter()
            .filter(|(_, slot)| slot.support < below)
            .take(limit)
            .map(|(hash, slot)| (*hash, *slot))
            .collect()
    }

    /// Forgets keys that were issued so long ago that every daemon refuses them.
    pub fn expire(&mut self, wall: SystemTime, window: Duration) {
        let horizon_ms = window::horizon_ms(wall, window);
        self.slots.retain(|_, slot| slot.issued_ms > horizon_ms);
        self.released.retain(|_, issued_ms| *issued_ms > horizon_ms);
        self.forgotten_ms = self.forgotten_ms.max(horizon_ms);
    }
}

/// Returns the id of an entry.
pub fn entry_id(entry: &Entry) -> EntryId {
    let (request, kind) = match entry {
        Entry::Claim(claim) => (claim.request, EntryKind::Claim),
        Entry::Release(release) => (release.request, EntryKind::Release),
        Entry::Outcome(outcome) => (outcome.request, EntryKind::Outcome),
        Entry::Bar(bar) => (bar.request, EntryKind::Bar),
        Entry::Carried(carried) => (carried.request, EntryKind::Carried),
        Entry::Covered(_) => (id::Request::nil(), EntryKind::Covered),
    };
    EntryId { request, kind }
}

fn state_of(ending: &record::Ending, offset: id::Offset) -> State {
    match ending {
        record::Ending::Unknown => State::Unknown,
        _ => State::Ended(offset),
    }
}
