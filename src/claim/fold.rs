//! The index of one claim stream, folded from its records by offset.
//!
//! Every daemon that reads the same records gets the same index; the order of the log alone
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
    /// Where a key stands.
    pub enum State {
        /// A request holds it and may be running.
        Open,
        /// The request that held it ended; the ending stands at this offset.
        Ended(id::Offset),
        /// The request that held it ended with an unknown result, or its answer is gone.
        Unknown,
    }

    /// What the index remembers of a key.
    pub struct Slot {
        /// The request whose claim came first.
        pub request: id::Request,
        /// Digest of its pipeline and body.
        pub mark: DigestHash,
        /// Number of its executor in the table of executors.
        pub executor: u32,
        /// When the key was issued, in milliseconds since the Unix epoch.
        pub issued_ms: u64,
        /// Whoever reads from this offset on learns of this state.
        pub support: id::Offset,
        /// Whether the claim is known to be the first; an earlier one may be trimmed unread.
        pub is_first: bool,
        /// Where it stands.
        pub state: State,
    }

    /// What the index knows of a key.
    pub enum Lookup {
        /// It is unclaimed.
        Absent,
        /// Its claim may have been trimmed before it was read.
        Unread,
        /// It was claimed.
        Held(Slot),
    }

    /// What an entry was about.
    pub enum EntryKind {
        /// A claim.
        Claim,
        /// A release.
        Release,
        /// An outcome.
        Outcome,
        /// A bar.
        Bar,
        /// A key that was carried forward.
        Carried,
        /// The end of a pass that carried keys forward.
        Covered,
    }

    /// An entry that stands in the log.
    pub struct EntryId {
        /// The request.
        pub request: id::Request,
        /// What it was about.
        pub kind: EntryKind,
    }
}

/// The index of one claim stream.
#[derive(Debug, Default)]
pub struct Fold {
    slots: IndexMap<KeyHash, Slot>,
    /// Requests that gave their claim back, with the issue time of their key.
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

    /// Says whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the name of an executor.
    pub fn executor(&self, number: u32) -> Option<&id::Daemon> {
        self.executors.get_index(number as usize)
    }

    /// Returns what is known of a key.
    pub fn find(&self, place: KeyHash, issued_ms: u64) -> Lookup {
        let is_unread = self.may_be_unread(issued_ms);
        if let Some(slot) = self.slots.get(&place) {
            let is_sure = slot.is_first || slot.state != State::Open || !is_unread;
            return if is_sure {
                Lookup::Held(*slot)
            } else {
                Lookup::Unread
            };
        }
        if is_unread {
            return Lookup::Unread;
        }
        let expired = mutation::is_active(Mutation::TrustExpiredWindow);
        if issued_ms <= self.forgotten_ms && self.forgotten_ms > 0 && !expired {
            return Lookup::Unread;
        }
        Lookup::Absent
    }

    /// Returns the earliest time of issue of a key that is remembered, in milliseconds since the
    /// Unix epoch; a key without one may be as old.
    pub fn oldest_ms(&self) -> u64 {
        self.forgotten_ms + 1
    }

    /// Says whether a key of that time of issue may have claims that were trimmed unread.
    fn may_be_unread(&self, issued_ms: u64) -> bool {
        issued_ms < self.complete_from_ms && !mutation::is_active(Mutation::TrustTrimmed)
    }

    /// Says whether a request gave its claim back.
    pub fn is_released(&self, request: id::Request) -> bool {
        self.released.contains_key(&request)
    }

    /// Folds a page that was read from the position on, and returns the groups in it, each with
    /// the offset after it.
    /// Records below the position were folded before and are passed over.
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

    /// Records were trimmed before they were read: only keys issued later are complete, and
    /// what was open may have ended.
    fn skip_trimmed(&mut self, page: &platform::Page) {
        let at = page
            .records
            .iter()
            .find_map(|r| record::decode(&r.body))
            .map_or(u64::MAX, |g| g.at_ms);
        let skew = record::duration_millis(window::MAX_CLOCK_SKEW);
        self.complete_from_ms = self.complete_from_ms.max(at.saturating_add(2 * skew));
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

    /// A key without time of issue counts from its claim on, and may have older ones.
    fn apply_claim(&mut self, claim: &Claim, at_ms: u64, offset: id::Offset) {
        let forgets = mutation::is_active(Mutation::ForgetRelease);
        if self.released.contains_key(&claim.request) && !forgets {
            return;
        }
        let executor = self.number_of(&claim.executor);
        let place = record::key_hash(&claim.workspace, &claim.key);
        let (issued_ms, oldest_ms) = match claim.issued_ms {
            0 => (at_ms, self.oldest_ms()),
            issued_ms => (issued_ms, issued_ms),
        };
        let is_first = !self.may_be_unread(oldest_ms);
        self.slots.entry(place).or_insert(Slot {
            request: claim.request,
            mark: record::digest_hash(&claim.digest),
            executor,
            issued_ms,
            support: offset,
            is_first,
            state: State::Open,
        });
    }

    /// A release counts for the claim of the same request, before or after it in the log,
    /// unless an outcome of that request came first.
    fn apply_release(&mut self, release: &Release) {
        let place = record::key_hash(&release.workspace, &release.key);
        let any = mutation::is_active(Mutation::DropReleaseRule);
        if let Some(slot) = self.slots.get(&place) {
            let own = slot.request == release.request;
            if own && slot.state != State::Open && !any {
                return;
            }
            if own || any {
                self.slots.swap_remove(&place);
            }
        }
        self.released.insert(release.request, release.issued_ms);
    }

    fn apply_outcome(&mut self, outcome: &Outcome, offset: id::Offset) {
        if self.released.contains_key(&outcome.request) {
            return;
        }
        let place = record::key_hash(&outcome.workspace, &outcome.key);
        let state = state_of(&outcome.ending, offset);
        // Only a request that held the key has an outcome: if its claim is not here, it was
        // trimmed unread, and another claim that stands here was not the first.
        let is_known = |slot: &Slot| slot.request == outcome.request || slot.is_first;
        match self.slots.get_mut(&place) {
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
                self.slots.insert(place, slot);
            }
        }
    }

    /// A bar ends a key that has not ended, whoever holds it. Its writer could not know the
    /// holder, nor whether that one gave its claim back.
    fn apply_bar(&mut self, bar: &Bar, offset: id::Offset) {
        let place = record::key_hash(&bar.workspace, &bar.key);
        let slot = self.slots.entry(place).or_insert(Slot {
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

    /// A carried entry counts only when every record after the state that it repeats was
    /// read; it never changes a state, so that the order of claims and outcomes still decides.
    fn apply_carried(&mut self, carried: &Carried, offset: id::Offset) {
        let (Some(place), Some(mark)) =
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
        let fresh = Slot {
            request: carried.request,
            mark,
            executor,
            issued_ms: carried.issued_ms,
            support: carried.position,
            is_first: true,
            state,
        };
        let slot = self.slots.entry(place).or_insert(fresh);
        if slot.request != carried.request && self.contiguous_from > 0 {
            // A late claim hid the holder, whose own claim was trimmed before it was read.
            *slot = fresh;
        }
        if slot.request == carried.request && carried.position > slot.support {
            slot.support = carried.position;
            if let (State::Ended(_), State::Ended(_)) = (slot.state, state) {
                slot.state = state;
            }
        }
    }

    /// Returns keys whose supporting record stands below `below`, at most `limit` of them.
    pub fn keys_to_carry(&self, below: id::Offset, limit: usize) -> Vec<(KeyHash, Slot)> {
        self.slots
            .iter()
            .filter(|(_, slot)| slot.support < below)
            .take(limit)
            .map(|(place, slot)| (*place, *slot))
            .collect()
    }

    /// Forgets keys that were issued so long ago that every daemon refuses them.
    pub fn expire(&mut self, wall: SystemTime, window: Duration) {
        let horizon = window::horizon_ms(wall, window);
        self.slots.retain(|_, slot| slot.issued_ms > horizon);
        self.released.retain(|_, issued| *issued > horizon);
        self.forgotten_ms = self.forgotten_ms.max(horizon);
    }
}

/// Returns what an entry is about.
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
