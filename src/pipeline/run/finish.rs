//! The end of a run: its response and the outcome of its claim.

use super::{ClaimState, LINGER_TIMEOUT, Phase, Run, SideEffect};
use crate::claim::Outcome;
use crate::clock::Time;
use crate::pipeline::{Action, Finish};
use crate::policy::Policy;

/// The `retry_after` of a response when the policy gives none.
const DEFAULT_RETRY_AFTER: Time = Time::from_secs(1);

pub(super) fn not_run(reason: impl Into<String>, retry_after: Option<Time>) -> Finish {
    Finish::NotRun {
        reason: reason.into(),
        retry_after,
    }
}

/// Returns the response for a key whose earlier request may have run.
pub(super) fn earlier_unknown() -> Finish {
    Finish::Unknown {
        reason: "an earlier request with this key may have run".into(),
    }
}

impl Run {
    pub(super) fn finish_answered(&mut self, now: Time, policy: &mut dyn Policy) {
        let body = self.stage_results.last().map(|r| r.body.clone());
        self.conclude(Finish::Answer(body.unwrap_or_default()), now, policy);
    }

    /// Ends the request without an answer.
    pub(super) fn give_up(
        &mut self,
        reason: &str,
        retry_after: Option<Time>,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        let finish = self.finish_without_answer(reason, retry_after);
        self.conclude(finish, now, policy);
    }

    /// Returns the response without an answer, which says whether the request may have run.
    fn finish_without_answer(&self, reason: &str, retry_after: Option<Time>) -> Finish {
        let reason = reason.to_owned();
        if self.side_effect == SideEffect::Doubtful || self.is_non_repeatable_running() {
            return Finish::Unknown { reason };
        }
        let retry_after = retry_after.or(Some(DEFAULT_RETRY_AFTER));
        if self.side_effect == SideEffect::Failed || self.count_non_repeatable_done() > 0 {
            return Finish::Failed {
                reason,
                retry_after: None,
            };
        }
        if self.has_run() {
            return Finish::Failed {
                reason,
                retry_after,
            };
        }
        not_run(reason, retry_after)
    }

    /// Returns whether any stage may have run.
    fn has_run(&self) -> bool {
        let is_active = !self.in_flight.is_empty() || self.relocation.is_some();
        self.has_repeatable_run || is_active || !self.stage_results.is_empty()
    }

    /// Answers the caller; a non-repeatable stage in progress may continue.
    pub(super) fn conclude(&mut self, finish: Finish, now: Time, policy: &mut dyn Policy) {
        if self.phase == Phase::Replied {
            return;
        }
        self.abandon_wait(now, policy);
        self.retry_at = None;
        let is_running = self.is_non_repeatable_running();
        let attained = matches!(finish, Finish::Answer(_)) && now <= self.deadline;
        self.phase = Phase::Replied;
        self.finish = Some(finish.clone());
        self.actions.push(Action::Finish(finish));
        self.report_end(attained, now, policy);
        if is_running && self.claim == ClaimState::Granted {
            self.linger_until = Some(now + LINGER_TIMEOUT);
            return;
        }
        if is_running {
            self.side_effect = SideEffect::Doubtful;
        }
        self.cancel_all(now, policy);
        let outcome = self.outcome();
        self.settle(outcome);
    }

    /// Returns the outcome to record for the claim.
    pub(super) fn outcome(&self) -> Outcome {
        if self.side_effect != SideEffect::None {
            return Outcome::Unknown;
        }
        if self.stage_results.len() == self.plan.stages.len() {
            let body = self.stage_results.last().map(|r| r.body.clone());
            return Outcome::Answered(body.unwrap_or_default());
        }
        if self.count_non_repeatable_done() == 0 {
            return Outcome::Released;
        }
        if self.has_non_repeatable_ahead() {
            // Two resends could both run the remaining stages.
            return Outcome::Unknown;
        }
        Outcome::Partial(self.stage_results.clone())
    }

    pub(super) fn settle(&mut self, outcome: Outcome) {
        if self.claim == ClaimState::Granted {
            self.claim = ClaimState::Closed;
            self.actions.push(Action::Settle(outcome));
        }
    }
}
