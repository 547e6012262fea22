//! Requests that wait for a verdict.

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

/// The longest wait for the log to decide a claim; at most half of what remains.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Kept back from the remaining time for the verdict to arrive.
pub const REPLY_MARGIN: Duration = Duration::from_millis(50);
/// The delay before a retry after the log could not decide.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

token! {
    /// What a request waits for.
    pub(super) enum Phase {
        /// The stream to be read to its end.
        Reading,
        /// Its claim to be read back.
        Claiming,
        /// The outcome of the request that holds the key.
        Joining,
        /// The record with the ending of the earlier request.
        Fetching,
        /// A record that ends the key as unknown to be read back.
        Barring,
    }
}

/// A waiting request.
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
    /// Reads started before the claim arrived.
    reads_before: u64,
    /// Whether the stream was read to its end after the claim arrived.
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
        let deadline = self.phase_deadline();
        self.executor_gone_at
            .map_or(deadline, |gone_at| gone_at.min(deadline))
    }
}

/// Returns the time of issue of a key, or the present for a key without one.
pub(super) fn issued_ms(claim: &Claim, wall: SystemTime) -> u64 {
    record::unix_millis(window::issued(&claim.key, claim.issued).unwrap_or(wall))
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
        claim: Claim,
        executor: id::Daemon,
        now: Now,
        out: &mut Vec<Action>,
    ) {
        let issued = window::issued(&claim.key, claim.issued).unwrap_or(now.wall);
        let refusal = match window::age(issued, now.wall, self.window) {
            Age::Inside => None,
            Age::Expired => Some("the key is older than the window in which it is remembered"),
            Age::Future => Some("the key claims to be issued in the future"),
        };
        if let Some(reason) = refusal {
            out.push(Action::Decide(claim.request, not_run(reason, None), false));
            return;
        }
        let request = claim.request;
        let waiter = Waiter::new(claim, executor, self.read_state.started, now);
        self.waiters.insert(request, waiter);
    }

    /// Evaluates every waiting request again.
    pub(super) fn review_waiters(&mut self, now: Now, out: &mut Vec<Action>) {
        for (request, mut waiter) in std::mem::take(&mut self.waiters) {
            let verdict = self.evaluate(&mut waiter, now, out);
            match verdict.or_else(|| self.time_out(&waiter, now)) {
                Some(verdict) => self.decide(&waiter, verdict, out),
                None => {
                    self.waiters.insert(request, waiter);
                }
            }
        }
    }

    /// Sends a verdict, and whether the claim of a refused request is in doubt. Only its executor
    /// may release such a claim, because another daemon may have granted it meanwhile.
    fn decide(&mut self, waiter: &Waiter, verdict: Verdict, out: &mut Vec<Action>) {
        let request = waiter.claim.request;
        let may_be_appended = match self.writer.withdraw(request) {
            Withdrawal::NotAppended => false,
            Withdrawal::Resolved => matches!(waiter.phase, Phase::Claiming | Phase::Barring),
            Withdrawal::InDoubt => true,
        };
        let is_refused = matches!(verdict, Verdict::NotRun { .. } | Verdict::Conflict);
        let is_in_doubt = is_refused && may_be_appended;
        out.push(Action::Decide(request, verdict, is_in_doubt));
    }

    /// Evaluates a request again once its own claim was read.
    pub(super) fn on_entry_read(&mut self, entry: EntryId) {
        if let Some(waiter) = self.waiters.get_mut(&entry.request)
            && entry.kind == EntryKind::Claim
            && waiter.phase == Phase::Claiming
        {
            waiter.phase = Phase::Reading;
        }
    }

    /// Notes that the read with this number reached the end of the stream.
    pub(super) fn mark_fresh(&mut self, read: u64) {
        for waiter in self.waiters.values_mut() {
            waiter.is_fresh |= read > waiter.reads_before;
        }
    }

    fn evaluate(
        &mut self,
        waiter: &mut Waiter,
        now: Now,
        out: &mut Vec<Action>,
    ) -> Option<Verdict> {
        if !self.is_ready {
            return None;
        }
        let is_dated = window::issued(&waiter.claim.key, waiter.claim.issued).is_some();
        let issued_ms = if is_dated {
            waiter.issued_ms
        } else {
            self.fold.oldest_ms()
        };
        match self.fold.find(waiter.key_hash, issued_ms) {
            Lookup::Held(slot) => self.evaluate_held(waiter, slot, now, out),
            Lookup::Absent if self.fold.is_released(waiter.claim.request) => {
                Some(not_run("the request released its claim", None))
            }
            Lookup::Absent
                if self.fold.len() >= self.max_keys && waiter.phase == Phase::Reading =>
            {
                Some(not_run("too many keys are remembered", Some(RETRY_AFTER)))
            }
            Lookup::Absent => {
                self.queue_claim(waiter, now);
                None
            }
            Lookup::Unread => {
                self.queue_bar(waiter);
                None
            }
        }
    }

    fn queue_claim(&mut self, waiter: &mut Waiter, now: Now) {
        waiter.executor_gone_at = None;
        if waiter.phase == Phase::Claiming {
            return;
        }
        if self.is_outage(now.mono) {
            waiter.phase = Phase::Reading;
            return;
        }
        waiter.phase = Phase::Claiming;
        let is_dated = window::issued(&waiter.claim.key, waiter.claim.issued).is_some();
        let entry = Entry::Claim(record::Claim {
            workspace: waiter.claim.workspace.to_string(),
            key: waiter.claim.key.to_string(),
            digest: waiter.claim.digest.to_string(),
            request: waiter.claim.request,
            executor: waiter.executor.to_string(),
            issued_ms: if is_dated { waiter.issued_ms } else { 0 },
        });
        self.writer
            .push(waiter.claim.request, EntryKind::Claim, entry);
    }

    /// Ends a key whose claim may have been trimmed unread, so that all daemons find it unknown.
    fn queue_bar(&mut self, waiter: &mut Waiter) {
        if waiter.phase == Phase::Barring {
            return;
        }
        waiter.phase = Phase::Barring;
        let entry = Entry::Bar(record::Bar {
            workspace: waiter.claim.workspace.to_string(),
            key: waiter.claim.key.to_string(),
            digest: waiter.claim.digest.to_string(),
            request: waiter.claim.request,
            issued_ms: waiter.issued_ms,
        });
        self.writer
            .push(waiter.claim.request, EntryKind::Bar, entry);
    }

    fn evaluate_held(
        &mut self,
        waiter: &mut Waiter,
        slot: Slot,
        now: Now,
        out: &mut Vec<Action>,
    ) -> Option<Verdict> {
        let ignores_id = mutation::is_active(Mutation::IgnoreAttemptId);
        let is_own = slot.request == waiter.claim.request || ignores_id;
        if !is_own && slot.mark != waiter.digest_hash {
            // An open claim may have been released in records that were not read yet.
            let is_certain = waiter.is_fresh || slot.state != State::Open;
            return is_certain.then_some(Verdict::Conflict);
        }
        match slot.state {
            State::Open if is_own => Some(Verdict::Granted),
            State::Open => {
                self.join(waiter, slot, now);
                None
            }
            State::Ended(offset) => self.evaluate_ended(waiter, slot.request, offset, out),
            State::Unknown => Some(Verdict::Unknown),
        }
    }

    /// Waits for the outcome of the holder, and records it as unknown once the holder's executor
    /// is gone; until that record is appended, the holder may still release its claim.
    fn join(&mut self, waiter: &mut Waiter, slot: Slot, now: Now) {
        if waiter.phase == Phase::Barring {
            return;
        }
        waiter.phase = Phase::Joining;
        let is_live = self
            .fold
            .executor(slot.executor)
            .is_some_and(|executor| self.members.contains(executor));
        if is_live || self.members.is_empty() {
            waiter.executor_gone_at = None;
            return;
        }
        let gone_at = *waiter.executor_gone_at.get_or_insert(now.mono + GONE_GRACE);
        if now.mono >= gone_at {
            waiter.executor_gone_at = None;
            waiter.phase = Phase::Barring;
            self.push_outcome(&waiter.claim, slot.request, Ending::Unknown, now);
        }
    }

    fn evaluate_ended(
        &mut self,
        waiter: &mut Waiter,
        holder: id::Request,
        offset: id::Offset,
        out: &mut Vec<Action>,
    ) -> Option<Verdict> {
        if let Some(ending) = self.cached_endings.get(&holder) {
            return Some(record::verdict(ending));
        }
        waiter.phase = Phase::Fetching;
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
        for (request, waiter) in std::mem::take(&mut self.waiters) {
            let lookup = self.fold.find(waiter.key_hash, waiter.issued_ms);
            let holder = match lookup {
                Lookup::Held(slot) if slot.state == State::Ended(offset) => slot.request,
                _ => {
                    self.waiters.insert(request, waiter);
                    continue;
                }
            };
            let ending = group.as_ref().and_then(|g| record::find_ending(g, holder));
            // The request of a trimmed ending did run, but its answer is lost.
            let verdict = ending.as_ref().map_or(Verdict::Unknown, record::verdict);
            out.push(Action::Decide(request, verdict, false));
        }
        self.carry_fetched(offset, group.as_ref());
    }

    fn time_out(&self, waiter: &Waiter, now: Now) -> Option<Verdict> {
        let is_early = self.is_outage(now.mono) && waiter.phase == Phase::Reading;
        if now.mono < waiter.phase_deadline() && !is_early {
            return None;
        }
        let retry_after = Some(RETRY_AFTER);
        let reason = match waiter.phase {
            Phase::Joining => "an earlier request with the key still runs",
            Phase::Fetching => "the answer of the earlier request could not be read in time",
            Phase::Reading | Phase::Claiming | Phase::Barring => {
                "the log did not decide the claim in time"
            }
        };
        Some(not_run(reason, retry_after))
    }

    /// Injects a fault: an appended claim counts as granted.
    pub(super) fn skip_read_back(&mut self, receipt: Receipt, out: &mut Vec<Action>) {
        if receipt != Receipt::Done || !mutation::is_active(Mutation::SkipReadBack) {
            return;
        }
        for (request, waiter) in std::mem::take(&mut self.waiters) {
            if waiter.phase == Phase::Claiming {
                out.push(Action::Decide(request, Verdict::Granted, false));
            } else {
                self.waiters.insert(request, waiter);
            }
        }
    }
}
