//! The state machine of one request: events and the time go in, actions come out.
//!
//! See [the architecture](../../docs/ARCHITECTURE.md) and
//! [the design note](../../docs/design/run.md).

use std::sync::Arc;

use indexmap::IndexMap;

use super::{Action, Event, Finish, Plan, Remainder, Remote, Request};
use crate::clock::Time;
use crate::ledger::Spend;
use crate::policy::{Observation, Policy, Ticket};
use crate::{claim, endpoint, id};

mod answer;
mod build;
mod claiming;
mod in_flight;
mod place;
mod relocate;
mod stream;
mod verdict;

use in_flight::{InFlightCall, Relocation, Waiting};
use stream::Stream;

/// How long a call that may not be repeated runs on after its caller was told `unknown`,
/// so that a resend gets its result.
pub const LINGER_TIMEOUT: Time = Time::from_secs(5);
/// How often a waiting stage checks whether it can still finish.
pub const WAIT_CHECK_INTERVAL: Time = Time::from_millis(25);
/// Attempt numbers set aside for a remainder that runs at another daemon.
pub const ATTEMPTS_PER_RELOCATION: id::Attempt = 1 << 16;

/// How the claim of a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimState {
    /// No stage needs one.
    Unneeded,
    /// It was asked for.
    Pending,
    /// This request may run, and says how it ended.
    Granted,
    /// This request may run; another daemon or request settles the claim.
    Delegated,
    /// It was refused, or settled.
    Closed,
}

impl ClaimState {
    fn permits(self) -> bool {
        matches!(self, Self::Granted | Self::Delegated)
    }
}

/// What became of the stages that may not be repeated, besides those with a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// None was sent without a result.
    Clean,
    /// One ran and failed.
    Failed,
    /// One may have run.
    Doubtful,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    Replied,
}

/// Counts of what was dropped or done again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answers and tokens of attempts that had been given up.
    pub late: u32,
    /// Answers that belong to another request, stage or attempt.
    pub crossed: u32,
    /// Tokens that had been received before.
    pub doubled: u32,
    /// Attempts after a failed one.
    pub retries: u32,
    /// Second attempts beside a slow one.
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
    effect: Effect,
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
    spends: Vec<Spend>,
    actions: Vec<Action>,
}

impl Run {
    /// Makes the run of a request whose whole answer is due at `deadline`.
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
            effect: Effect::Clean,
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
            spends: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Makes the run of the rest of a request that another daemon accepted.
    pub fn from_remainder(
        plan: Arc<Plan>,
        rest: &Remainder,
        digest: id::Digest,
        now: Time,
    ) -> Self {
        let request = Request {
            id: rest.request,
            workspace: rest.workspace.clone(),
            key: rest.key.clone(),
            issued: None,
            digest,
            body: rest.body.clone(),
            stream: rest.stream,
        };
        let mut run = Self::new(plan, request, now + rest.remaining);
        run.stage_results.clone_from(&rest.parts);
        run.attempts = rest.attempt;
        if run.claim == ClaimState::Pending {
            run.claim = if rest.granted {
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

    /// Gives the region of each availability zone, so that stages run near each other.
    #[must_use]
    pub fn with_regions(mut self, regions: Arc<IndexMap<id::Zone, id::Region>>) -> Self {
        self.regions = regions;
        self
    }

    /// Takes an event and returns what is to be done, in order.
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

    /// Says whether nothing can happen any more.
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

    /// Returns when the whole answer is due.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns the counts so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Returns what was spent since the last call, for the ledger.
    pub fn take_spends(&mut self) -> Vec<Spend> {
        std::mem::take(&mut self.spends)
    }

    /// Returns how a remainder ended, for the daemon that handed it over; none while it runs.
    pub fn remote(&self, usage: endpoint::Usage) -> Option<Remote> {
        self.finish.clone().map(|finish| Remote {
            finish,
            parts: self.stage_results.clone(),
            doubtful: self.effect == Effect::Doubtful,
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

    /// The caller went away: what may be repeated is cancelled, what may not runs to its end,
    /// so that a resend gets its result.
    fn on_caller_disconnected(&mut self, now: Time, policy: &mut dyn Policy) {
        if !self.has_begun_non_repeatable() {
            self.give_up("the caller went away", None, now, policy);
        }
    }

    /// Whether a stage that may not be repeated was sent or has a result.
    fn has_begun_non_repeatable(&self) -> bool {
        self.is_non_repeatable_running()
            || self.count_non_repeatable_done() > 0
            || self.effect != Effect::Clean
    }

    /// Whether a stage that may not be repeated is in progress.
    fn is_non_repeatable_running(&self) -> bool {
        let calls = !self.in_flight.is_empty() && !self.stage().is_some_and(|s| s.repeatable);
        calls
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
        self.effect = Effect::Doubtful;
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
        let left = Observation::RequestEnded {
            request: self.request.id,
            attained,
        };
        policy.observe(&left, now);
    }
}

#[cfg(test)]
mod tests;
