//! The state machine of one request: events and the time go in, actions come out.
//!
//! See [the architecture](../../docs/ARCHITECTURE.md) and
//! [the design note](../../docs/design/run.md).

use std::sync::Arc;

use indexmap::IndexMap;

use super::{Action, Event, Finish, Plan, Remainder, Remote, Request};
use crate::clock::Time;
use crate::ledger::AttemptUsage;
use crate::policy::{Observation, Policy, Ticket};
use crate::{claim, endpoint, id};

mod answer;
mod build;
mod claiming;
mod finish;
mod in_flight;
mod place;
mod relocate;
mod stream;

use in_flight::{InFlightCall, Relocation, Waiting};
use stream::Stream;

/// How long a non-repeatable call continues after its caller was answered `unknown`, so that a
/// resend gets its result.
pub const LINGER_TIMEOUT: Time = Time::from_secs(5);
/// How often a queued stage checks whether it can still finish in time.
pub const WAIT_CHECK_INTERVAL: Time = Time::from_millis(25);
/// Attempt numbers reserved for each remainder that runs at another daemon.
pub const ATTEMPTS_PER_RELOCATION: id::Attempt = 1 << 16;

/// State of the claim of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimState {
    /// Every stage is repeatable, so no claim is needed.
    Unneeded,
    /// The verdict is awaited.
    Pending,
    /// This run may proceed, and settles the claim.
    Granted,
    /// This run may proceed; another daemon settles the claim.
    Delegated,
    /// The claim was refused or settled.
    Closed,
}

impl ClaimState {
    fn permits(self) -> bool {
        matches!(self, Self::Granted | Self::Delegated)
    }
}

/// Side effect of non-repeatable stages that have no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SideEffect {
    /// None may have run.
    None,
    /// One ran and failed.
    Failed,
    /// One may have run; the outcome is unknown.
    Doubtful,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    /// The caller was answered.
    Replied,
}

/// Counts of dropped input and of repeated attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answers and tokens of attempts that were given up.
    pub late: u32,
    /// Answers and tokens of another request, stage, attempt or model version.
    pub crossed: u32,
    /// Duplicate tokens.
    pub doubled: u32,
    /// Attempts after a failed one.
    pub retries: u32,
    /// Hedged attempts beside a slow one.
    pub hedges: u32,
    /// Generations that resumed on another engine.
    pub resumes: u32,
}

/// One request in progress.
#[derive(Debug)]
pub struct Run {
    plan: Arc<Plan>,
    request: Request,
    deadline: Time,
    stage_results: Vec<claim::StageResult>,
    claim: ClaimState,
    side_effect: SideEffect,
    phase: Phase,
    /// Whether a repeatable stage may have run.
    has_repeatable_run: bool,
    is_suspect: bool,
    attempts: id::Attempt,
    in_flight: Vec<InFlightCall>,
    relocation: Option<Relocation>,
    relocations: u32,
    waiting: Option<Waiting>,
    retry_at: Option<Time>,
    linger_until: Option<Time>,
    exclude: Vec<id::Endpoint>,
    stream: Stream,
    input: Option<id::Name>,
    regions: Arc<IndexMap<id::Zone, id::Region>>,
    region: Option<id::Region>,
    finish: Option<Finish>,
    tally: Tally,
    usages: Vec<AttemptUsage>,
    actions: Vec<Action>,
}

impl Run {
    /// Creates the run of a request whose complete answer is due at `deadline`.
    pub fn new(plan: Arc<Plan>, request: Request, deadline: Time) -> Self {
        let claim = if plan.is_repeatable() {
            ClaimState::Unneeded
        } else {
            ClaimState::Pending
        };
        Self {
            plan,
            request,
            deadline,
            stage_results: Vec::new(),
            claim,
            side_effect: SideEffect::None,
            phase: Phase::Running,
            has_repeatable_run: false,
            is_suspect: false,
            attempts: 0,
            in_flight: Vec::new(),
            relocation: None,
            relocations: 0,
            waiting: None,
            retry_at: None,
            linger_until: None,
            exclude: Vec::new(),
            stream: Stream::default(),
            input: None,
            regions: Arc::default(),
            region: None,
            finish: None,
            tally: Tally::default(),
            usages: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Creates the run of a remainder that another daemon sent.
    pub fn from_remainder(
        plan: Arc<Plan>,
        remainder: &Remainder,
        digest: id::Digest,
        now: Time,
    ) -> Self {
        let request = Request {
            id: remainder.request,
            workspace: remainder.workspace.clone(),
            key: remainder.key.clone(),
            issued: None,
            digest,
            body: remainder.body.clone(),
            stream: remainder.stream,
        };
        let mut run = Self::new(plan, request, now + remainder.remaining);
        run.stage_results.clone_from(&remainder.stage_results);
        run.attempts = remainder.attempt;
        if run.claim == ClaimState::Pending {
            run.claim = if remainder.granted {
                ClaimState::Delegated
            } else {
                ClaimState::Closed
            };
        }
        run
    }

    /// Marks the request's content as suspected of crashing endpoints: it is never hedged.
    #[must_use]
    pub fn with_suspect(mut self, suspect: bool) -> Self {
        self.is_suspect = suspect;
        self
    }

    /// Sets the region of each availability zone, so that stages run near each other.
    #[must_use]
    pub fn with_regions(mut self, regions: Arc<IndexMap<id::Zone, id::Region>>) -> Self {
        self.regions = regions;
        self
    }

    /// Applies an event and returns the actions to carry out, in order.
    pub fn step(&mut self, event: Event, now: Time, policy: &mut dyn Policy) -> Vec<Action> {
        match self.phase {
            Phase::Running => self.on_event(event, now, policy),
            Phase::Replied => self.on_event_after_reply(event, now, policy),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when `Wake` is due, if nothing happens before.
    pub fn next_wake(&self) -> Option<Time> {
        if self.phase == Phase::Replied {
            return self.linger_until;
        }
        let in_flight = self.in_flight.iter().map(InFlightCall::next_wake);
        in_flight
            .chain(self.retry_at)
            .chain(self.waiting.map(|w| w.check_at))
            .chain([self.deadline])
            .min()
    }

    /// Returns whether the run expects no more events.
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Replied
            && self.claim != ClaimState::Pending
            && self.in_flight.is_empty()
            && self.relocation.is_none()
    }

    /// Returns the request.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Returns the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns when the complete answer is due.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns the counts so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Takes the usage recorded since the last call, for the ledger.
    pub fn take_usages(&mut self) -> Vec<AttemptUsage> {
        std::mem::take(&mut self.usages)
    }

    /// Returns the result of a remainder, for the daemon that sent it; none while it runs.
    pub fn remote(&self, usage: endpoint::Usage) -> Option<Remote> {
        self.finish.clone().map(|finish| Remote {
            finish,
            stage_results: self.stage_results.clone(),
            doubtful: self.side_effect == SideEffect::Doubtful,
            usage,
        })
    }

    fn on_event(&mut self, event: Event, now: Time, policy: &mut dyn Policy) {
        match event {
            Event::Start => self.on_start(now, policy),
            Event::Claimed(verdict) => self.on_claimed(verdict, now, policy),
            Event::Ready(attempt) => self.on_ready(attempt, now, policy),
            Event::Token(attempt, token) => self.on_token(attempt, token, now, policy),
            Event::Ended(attempt, result) => self.on_ended(attempt, result, now, policy),
            Event::RelocationEnded(attempt, remote) => {
                self.on_relocation_ended(attempt, remote, now, policy)
            }
            Event::RelocationFailed(attempt, error) => {
                self.on_relocation_failed(attempt, &error, now, policy)
            }
            Event::Wake => self.on_wake(now, policy),
            Event::CallerDisconnected => self.on_caller_disconnected(now, policy),
        }
    }

    fn on_start(&mut self, now: Time, policy: &mut dyn Policy) {
        if self.claim == ClaimState::Pending {
            self.actions.push(Action::Claim(self.new_claim(now)));
        } else {
            self.advance(now, policy);
        }
    }

    fn on_ready(&mut self, attempt: id::Attempt, now: Time, policy: &mut dyn Policy) {
        if self.waiting.is_some_and(|w| w.attempt == attempt) {
            self.waiting = None;
            self.place(attempt, now, policy);
        }
    }

    fn on_wake(&mut self, now: Time, policy: &mut dyn Policy) {
        if now >= self.deadline {
            self.give_up("the deadline passed", None, now, policy);
            return;
        }
        self.expire_calls(now, policy);
        if self.phase == Phase::Running {
            self.hedge(now, policy);
        }
        if self.phase == Phase::Running {
            self.check_waiting(now, policy);
        }
        if self.phase == Phase::Running && self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
            self.advance(now, policy);
        }
    }

    /// Cancels the request unless a non-repeatable stage was sent, which then runs to its end so
    /// that a resend gets its result.
    fn on_caller_disconnected(&mut self, now: Time, policy: &mut dyn Policy) {
        if !self.has_begun_non_repeatable() {
            self.give_up("the caller disconnected", None, now, policy);
        }
    }

    /// Returns whether a non-repeatable stage was sent or has a result.
    fn has_begun_non_repeatable(&self) -> bool {
        self.is_non_repeatable_running()
            || self.count_non_repeatable_done() > 0
            || self.side_effect != SideEffect::None
    }

    /// Returns whether a non-repeatable stage is in progress.
    fn is_non_repeatable_running(&self) -> bool {
        let has_call = !self.in_flight.is_empty() && !self.stage().is_some_and(|s| s.repeatable);
        has_call
            || self
                .relocation
                .as_ref()
                .is_some_and(|r| r.has_non_repeatable)
    }

    fn on_event_after_reply(&mut self, event: Event, now: Time, policy: &mut dyn Policy) {
        match event {
            Event::Claimed(verdict) => self.on_late_claim(&verdict),
            Event::Token(..) => self.tally.late += 1,
            Event::Ended(attempt, result) => self.on_late_end(attempt, result, now, policy),
            Event::RelocationEnded(attempt, remote) => self.on_late_relocation_end(attempt, remote),
            Event::RelocationFailed(attempt, _) => self.on_late_relocation_failure(attempt),
            Event::Wake => self.on_late_wake(now, policy),
            Event::Start | Event::Ready(_) | Event::CallerDisconnected => {}
        }
    }

    fn on_late_wake(&mut self, now: Time, policy: &mut dyn Policy) {
        if self.linger_until.is_none_or(|at| now < at) {
            return;
        }
        self.linger_until = None;
        self.side_effect = SideEffect::Doubtful;
        self.cancel_all(now, policy);
        self.settle(claim::Outcome::Unknown);
    }

    fn abandon_wait(&mut self, now: Time, policy: &mut dyn Policy) {
        if let Some(waiting) = self.waiting.take() {
            let ticket = Ticket {
                request: self.request.id,
                attempt: waiting.attempt,
            };
            policy.abandon(&ticket, now);
        }
    }

    fn report_end(&mut self, attained: bool, now: Time, policy: &mut dyn Policy) {
        let ended = Observation::RequestEnded {
            request: self.request.id,
            attained,
        };
        policy.observe(&ended, now);
    }
}

#[cfg(test)]
mod tests;
