//! Running the remainder of a request at a daemon of another region.

use super::{ATTEMPTS_PER_RELOCATION, Relocation, Run, SideEffect};
use crate::clock::Time;
use crate::endpoint::Usage;
use crate::ledger::Disposition;
use crate::pipeline::{Action, Finish, Remainder, Remote};
use crate::policy::Policy;
use crate::{id, peer};

/// Maximum number of relocations of one request.
const MAX_RELOCATIONS: u32 = 3;
/// Delay before a retry after a relocation failed.
const RELOCATION_RETRY_DELAY: Time = Time::from_millis(50);

impl Run {
    pub(super) fn relocate(
        &mut self,
        region: id::Region,
        attempt: id::Attempt,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        let has_non_repeatable = self.has_non_repeatable_ahead();
        if self.stream.is_shown || self.relocations == MAX_RELOCATIONS {
            self.give_up("no endpoint can be reached", None, now, policy);
            return;
        }
        self.stream.restart();
        self.relocations += 1;
        self.attempts += ATTEMPTS_PER_RELOCATION;
        self.relocation = Some(Relocation {
            attempt,
            has_non_repeatable,
        });
        let remainder = Remainder {
            request: self.request.id,
            workspace: self.request.workspace.clone(),
            pipeline: self.plan.name.clone(),
            key: self.request.key.clone(),
            attempt,
            body: self.request.body.clone(),
            stage_results: self.stage_results.clone(),
            remaining: self.deadline.saturating_sub(now),
            granted: self.claim.permits(),
            stream: self.request.stream,
        };
        self.actions
            .push(Action::Relocate(region, Box::new(remainder)));
    }

    fn end_relocation(&mut self, attempt: id::Attempt) -> Option<Relocation> {
        self.relocation.take_if(|r| r.attempt == attempt)
    }

    pub(super) fn on_relocation_ended(
        &mut self,
        attempt: id::Attempt,
        remote: Remote,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        let Some(relocation) = self.end_relocation(attempt) else {
            self.tally.late += 1;
            return;
        };
        let finish = remote.finish.clone();
        self.merge_remote(relocation, remote);
        match finish {
            Finish::Answer(body) if self.stage().is_none() => {
                self.conclude(Finish::Answer(body), now, policy);
            }
            Finish::NotRun {
                reason,
                retry_after,
            }
            | Finish::Failed {
                reason,
                retry_after,
            } => self.give_up(&reason, retry_after, now, policy),
            Finish::Unknown { reason } => self.give_up(&reason, None, now, policy),
            Finish::Answer(_) | Finish::Conflict => {
                self.give_up("the other daemon's answer is incomplete", None, now, policy);
            }
        }
    }

    /// Adopts the results of a remainder, if they extend those sent along.
    fn merge_remote(&mut self, relocation: Relocation, remote: Remote) {
        let usage = Usage {
            link_bytes: remote.usage.link_bytes,
            ..Usage::default()
        };
        // The other daemon records the usage of its calls.
        self.record_usage(usage, Disposition::Won);
        let is_consistent = remote.stage_results.starts_with(&self.stage_results)
            && remote.stage_results.len() <= self.plan.stages.len();
        if !is_consistent {
            self.tally.crossed += 1;
        }
        if remote.stage_results.len() > self.stage_results.len() && is_consistent {
            self.stage_results = remote.stage_results;
            self.input = None;
        }
        let is_not_run = matches!(remote.finish, Finish::NotRun { .. });
        if !is_not_run {
            self.has_repeatable_run = true;
        }
        if !relocation.has_non_repeatable {
            return;
        }
        if remote.doubtful || !is_consistent {
            self.side_effect = SideEffect::Doubtful;
        } else if matches!(remote.finish, Finish::Failed { .. }) && self.has_non_repeatable_ahead()
        {
            self.side_effect = SideEffect::Failed;
        }
    }

    pub(super) fn on_relocation_failed(
        &mut self,
        attempt: id::Attempt,
        error: &peer::Error,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        let Some(relocation) = self.end_relocation(attempt) else {
            return;
        };
        let is_lost = matches!(error, peer::Error::Lost { .. });
        if is_lost && relocation.has_non_repeatable {
            self.side_effect = SideEffect::Doubtful;
        }
        if is_lost {
            self.has_repeatable_run = true;
        }
        if self.side_effect != SideEffect::None || self.stream.is_shown {
            self.give_up(&error.to_string(), None, now, policy);
            return;
        }
        self.stream.restart();
        self.retry_at = Some(now + RELOCATION_RETRY_DELAY);
    }

    /// Handles the end of a remainder that outlasted the response `unknown`.
    pub(super) fn on_late_relocation_end(&mut self, attempt: id::Attempt, remote: Remote) {
        let Some(relocation) = self.end_relocation(attempt) else {
            self.tally.late += 1;
            return;
        };
        self.linger_until = None;
        let has_run = !matches!(remote.finish, Finish::NotRun { .. });
        self.merge_remote(relocation, remote);
        if !has_run {
            self.side_effect = SideEffect::Doubtful;
        }
        let outcome = self.outcome();
        self.settle(outcome);
    }

    pub(super) fn on_late_relocation_failure(&mut self, attempt: id::Attempt) {
        if self.end_relocation(attempt).is_none() {
            return;
        }
        self.linger_until = None;
        self.side_effect = SideEffect::Doubtful;
        let outcome = self.outcome();
        self.settle(outcome);
    }
}
