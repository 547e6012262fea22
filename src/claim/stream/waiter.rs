//! Requests that wait for their verdict.

use std::time::{Duration, SystemTime};

use super::super::fold::{EntryId, EntryKind, Lookup, Slot, State};
use super::super::mutation::{self, Mutation};
use super::super::record::{self, DigestHash, Ending, Entry, KeyHash};
use super::super::window::{self, Age};
use super::super::writer::{Receipt, Withdrawal};
use super::super::{Claim, Verdict};
use super::{Action, Fetch, GONE_GRACE, Now, Stream};
use crate::clock::Time;
use crate::id;

/// The longest time that a request waits for its claim, besides the half of what remains.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that is kept back from what remains, so that the verdict arrives in it.
pub const REPLY_MARGIN: Duration = Duration::from_millis(50);
/// When to send again a request that the log could not decide.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

token! {
    /// What a request waits for.
    pub(super) enum Phase {
        /// The index.
        Reading,
        /// Its claim to be read back.
        Claiming,
        /// The outcome of the request that holds the key.
        Joining,
        /// The record with the answer.
        Fetching,
        /// A recorded end of a key that nobody can decide any more.
        Barring,
    }
}

/// A request that waits.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) claim: Claim,
    executor: id::Daemon,
    key_hash: KeyHash,
    digest_hash: DigestHash,
    issued_ms: u64,
    phase: Phase,
    claim_deadline: Time,
    deadline: Time,
    /// Reads that had begun when the request asked.
    reads_before: u64,
    /// The index was read to its end after the request asked.
    is_fresh: bool,
    /// When the executor of the holder counts as gone, while it is missing.
    executor_gone_at: Option<Time>,
}

impl Waiter {
    fn new(claim: Claim, executor: id::Daemon, reads_before: u64, now: Now) -> Self {
        let margin = REPLY_MARGIN.min(claim.remaining / 10);
        Self {
            key_hash: record::key_hash(&claim.workspace, &claim.key),
            digest_hash: record::digest_hash(&claim.digest),
            issued_ms: issued_ms(&claim, now.wall),
            phase: Phase::Reading,
            claim_deadline: now.mono + CLAIM_TIMEOUT.min(claim.remaining / 2),
            deadline: now.mono + claim.remaining.saturating_sub(margin),
            reads_before,
            is_fresh: false,
            executor_gone_at: None,
            executor,
            claim,
        }
    }

    /// Returns when the request is refused unless it is decided before.
    fn phase_deadline(&self) -> Time {
        match self.phase {
            Phase::Reading | Phase::Claiming => self.claim_deadline,
            Phase::Joining | Phase::Fetching | Phase::Barring => self.deadline,
        }
    }

    pub(super) fn next_wake(&self) -> Time {
        let limit = self.phase_deadline();
        self.executor_gone_at.map_or(limit, |at| at.min(limit))
    }
}

/// Returns the time of issue of a key, or the present for a key without one.
pub(super) fn issued_ms(ask: &Claim, wall: SystemTime) -> u64 {
    record::unix_millis(window::issued(&ask.key, ask.issued).unwrap_or(wall))
}

fn not_run(reason: &str, retry_after: Option<Duration>) -> Verdict {
    Verdict::NotRun {
        reason: reason.into(),
        retry_after,
    }
}

impl Stream {
    pub(super) fn add_waiter(
        &mut self,
        ask: Claim,
        executor: id::Daemon,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let issued = window::issued(&ask.key, ask.issued).unwrap_or(now.wall);
        let refusal = match window::age(issued, now.wall, self.window) {
            Age::Inside => None,
            Age::Expired => Some("the key is older than the window in which it is remembered"),
            Age::Future => Some("the key claims to be issued in the future"),
        };
        if let Some(reason) = refusal {
            out.push(Action::Decide(ask.request, not_run(reason, None), false));
            return;
        }
        let request = ask.request;
        let wait = Waiter::new(ask, executor, self.read_state.started, now);
        self.waiters.insert(request, wait);
    }

    /// Looks at every waiting request again.
    pub(super) fn review_waiters(&mut self, now: Now, out: &mut Vec<Action>) {
        for (request, mut wait) in std::mem::take(&mut self.waiters) {
            let verdict = self.evaluate(&mut wait, now, out);
            match verdict.or_else(|| self.time_out(&wait, now)) {
                Some(verdict) => self.decide(&wait, verdict, out),
                None => {
                    self.waiters.insert(request, wait);
                }
            }
        }
    }

    /// Gives a verdict, and says whether a claim may come to stand although the request does
    /// not run. Only the daemon that would have run it may release such a claim, because it
    /// may have been granted the claim by another daemon meanwhile.
    fn decide(&mut self, wait: &Waiter, verdict: Verdict, out: &mut Vec<Action>) {
        let request = wait.claim.request;
        let is_unread = match self.writer.withdraw(request) {
            Withdrawal::NotAppended => false,
            Withdrawal::Resolved => matches!(wait.phase, Phase::Claiming | Phase::Barring),
            Withdrawal::InDoubt => true,
        };
        let is_open = matches!(verdict, Verdict::NotRun { .. } | Verdict::Conflict);
        let stands = is_open && is_unread;
        out.push(Action::Decide(request, verdict, stands));
    }

    /// A waiting request's own claim was folded: the index says what became of it.
    pub(super) fn on_entry_read(&mut self, seen: EntryId) {
        if let Some(wait) = self.waiters.get_mut(&seen.request)
            && seen.kind == EntryKind::Claim
            && wait.phase == Phase::Claiming
        {
            wait.phase = Phase::Reading;
        }
    }

    /// The read with this number reached the end of the stream.
    pub(super) fn mark_fresh(&mut self, count: u64) {
        for wait in self.waiters.values_mut() {
            wait.is_fresh |= count > wait.reads_before;
        }
    }

    fn evaluate(&mut self, wait: &mut Waiter, now: Now, out: &mut Vec<Action>) -> Option<Verdict> {
        if !self.is_ready {
            return None;
        }
        let is_dated = window::issued(&wait.claim.key, wait.claim.issued).is_some();
        let issued_ms = if is_dated {
            wait.issued_ms
        } else {
            self.fold.oldest_ms()
        };
        match self.fold.find(wait.key_hash, issued_ms) {
            Lookup::Held(slot) => self.evaluate_held(wait, slot, now, out),
            Lookup::Absent if self.fold.is_released(wait.claim.request) => {
                Some(not_run("the request gave its claim back", None))
            }
            Lookup::Absent if self.fold.len() >= self.max_keys && wait.phase == Phase::Reading => {
                Some(not_run("too many keys are remembered", Some(RETRY_AFTER)))
            }
            Lookup::Absent => {
                self.queue_claim(wait, now);
                None
            }
            Lookup::Unread => {
                self.queue_bar(wait);
                None
            }
        }
    }

    fn queue_claim(&mut self, wait: &mut Waiter, now: Now) {
        wait.executor_gone_at = None;
        if wait.phase == Phase::Claiming {
            return;
        }
        if self.is_outage(now.mono) {
            wait.phase = Phase::Reading;
            return;
        }
        wait.phase = Phase::Claiming;
        let is_dated = window::issued(&wait.claim.key, wait.claim.issued).is_some();
        let entry = Entry::Claim(record::Claim {
            workspace: wait.claim.workspace.to_string(),
            key: wait.claim.key.to_string(),
            digest: wait.claim.digest.to_string(),
            request: wait.claim.request,
            executor: wait.executor.to_string(),
            issued_ms: if is_dated { wait.issued_ms } else { 0 },
        });
        self.writer
            .push(wait.claim.request, EntryKind::Claim, entry);
    }

    /// Ends a key whose claim may have been trimmed unread, so that it stays unknown to all.
    fn queue_bar(&mut self, wait: &mut Waiter) {
        if wait.phase == Phase::Barring {
            return;
        }
        wait.phase = Phase::Barring;
        let entry = Entry::Bar(record::Bar {
            workspace: wait.claim.workspace.to_string(),
            key: wait.claim.key.to_string(),
            digest: wait.claim.digest.to_string(),
            request: wait.claim.request,
            issued_ms: wait.issued_ms,
        });
        self.writer.push(wait.claim.request, EntryKind::Bar, entry);
    }

    fn evaluate_held(
        &mut self,
        wait: &mut Waiter,
        slot: Slot,
        now: Now,
        out: &mut Vec<Action>,
    ) -> Option<Verdict> {
        let any = mutation::is_active(Mutation::IgnoreAttemptId);
        let own = slot.request == wait.claim.request || any;
        if !own && slot.mark != wait.digest_hash {
            // An open claim may have been released where the index has not been read yet.
            let is_certain = wait.is_fresh || slot.state != State::Open;
            return is_certain.then_some(Verdict::Conflict);
        }
        match slot.state {
            State::Open if own => Some(Verdict::Granted),
            State::Open => {
                self.join(wait, slot, now);
                None
            }
            State::Ended(offset) => self.evaluate_ended(wait, slot.request, offset, out),
            State::Unknown => Some(Verdict::Unknown),
        }
    }

    /// Waits for the outcome of the holder, and records that nobody knows it once the holder's
    /// executor is gone; until that record stands, the holder may still give its claim back.
    fn join(&mut self, wait: &mut Waiter, slot: Slot, now: Now) {
        if wait.phase == Phase::Barring {
            return;
        }
        wait.phase = Phase::Joining;
        let lives = self
            .fold
            .executor(slot.executor)
            .is_some_and(|name| self.members.contains(name));
        if lives || self.members.is_empty() {
            wait.executor_gone_at = None;
            return;
        }
        let gone_at = *wait.executor_gone_at.get_or_insert(now.mono + GONE_GRACE);
        if now.mono >= gone_at {
            wait.executor_gone_at = None;
            wait.phase = Phase::Barring;
            self.push_outcome(&wait.claim, slot.request, Ending::Unknown, now);
        }
    }

    fn evaluate_ended(
        &mut self,
        wait: &mut Waiter,
        holder: id::Request,
        offset: id::Offset,
        out: &mut Vec<Action>,
    ) -> Option<Verdict> {
        if let Some(ending) = self.cached_endings.get(&holder) {
            return Some(record::verdict(ending));
        }
        wait.phase = Phase::Fetching;
        self.fetch(offset, out);
        None
    }

    pub(super) fn fetch(&mut self, offset: id::Offset, out: &mut Vec<Action>) {
        if self.fetching.insert(offset) {
            out.push(Action::Fetch(offset));
        }
    }

    pub(super) fn fetched(
        &mut self,
        offset: id::Offset,
        fetch: &Fetch,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        self.fetching.swap_remove(&offset);
        let group = match fetch {
            Fetch::Failed => {
                self.carry_failed(offset);
                return self.note_log_result(false, now.mono);
            }
            Fetch::Trimmed => None,
            Fetch::Record(body) => record::decode(body),
        };
        for (request, wait) in std::mem::take(&mut self.waiters) {
            let found = self.fold.find(wait.key_hash, wait.issued_ms);
            let holder = match found {
                Lookup::Held(slot) if slot.state == State::Ended(offset) => slot.request,
                _ => {
                    self.waiters.insert(request, wait);
                    continue;
                }
            };
            let ending = group.as_ref().and_then(|g| record::find_ending(g, holder));
            // A trimmed answer is known to have been given, and no longer known.
            let verdict = ending.as_ref().map_or(Verdict::Unknown, record::verdict);
            out.push(Action::Decide(request, verdict, false));
        }
        self.carry_fetched(offset, group.as_ref());
    }

    fn time_out(&self, wait: &Waiter, now: Now) -> Option<Verdict> {
        let early = self.is_outage(now.mono) && wait.phase == Phase::Reading;
        if now.mono < wait.phase_deadline() && !early {
            return None;
        }
        let retry = Some(RETRY_AFTER);
        let reason = match wait.phase {
            Phase::Joining => "an earlier request with the key still runs",
            Phase::Fetching => "the answer of the earlier request could not be read in time",
            Phase::Reading | Phase::Claiming | Phase::Barring => {
                "the log did not decide the claim in time"
            }
        };
        Some(not_run(reason, retry))
    }

    /// The fault that the checks must catch: a claim that was appended counts as granted.
    pub(super) fn skip_read_back(&mut self, receipt: Receipt, out: &mut Vec<Action>) {
        if receipt != Receipt::Done || !mutation::is_active(Mutation::SkipReadBack) {
            return;
        }
        for (request, wait) in std::mem::take(&mut self.waiters) {
            if wait.phase == Phase::Claiming {
                out.push(Action::Decide(request, Verdict::Granted, false));
            } else {
                self.waiters.insert(request, wait);
            }
        }
    }
}
