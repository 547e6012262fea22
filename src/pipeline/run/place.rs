//! Placing, hedging, retrying and cancelling calls.

use super::{InFlightCall, Phase, Run, WAIT_CHECK_INTERVAL, Waiting};
use crate::clock::Time;
use crate::endpoint::{Error, Usage};
use crate::ledger::Disposition;
use crate::pipeline::Action;
use crate::policy::{End, Pick, Placement, Policy};
use crate::{id, policy};

impl Run {
    /// Places the current stage, or answers when all have results.
    pub(super) fn advance(&mut self, now: Time, policy: &mut dyn Policy) {
        if self.phase != Phase::Running {
            return;
        }
        let Some(stage) = self.stage().cloned() else {
            self.finish_answered(now, policy);
            return;
        };
        if !stage.repeatable && !self.claim.permits() {
            self.give_up("its claim is not granted", None, now, policy);
            return;
        }
        let attempt = self.next_attempt();
        self.place(attempt, now, policy);
    }

    pub(super) fn next_attempt(&mut self) -> id::Attempt {
        self.attempts += 1;
        self.attempts
    }

    pub(super) fn place(&mut self, attempt_id: id::Attempt, now: Time, policy: &mut dyn Policy) {
        let Some(stage) = self.stage().cloned() else {
            return;
        };
        let attempt = self.policy_attempt(&stage, attempt_id);
        if now >= self.deadline || policy.is_hopeless(&attempt, now) {
            self.give_up("it can no longer finish in time", None, now, policy);
            return;
        }
        match policy.place(&attempt, now) {
            Placement::Send(pick) => self.send_call(pick, attempt_id, false, now),
            Placement::Wait => {
                let check_at = now + WAIT_CHECK_INTERVAL;
                self.waiting = Some(Waiting {
                    attempt: attempt_id,
                    check_at,
                });
            }
            Placement::Relocate(region) => self.relocate(region, attempt_id, now, policy),
            Placement::Refuse {
                reason,
                retry_after,
            } => self.on_refused(reason, retry_after, now, policy),
        }
    }

    /// Gives up, unless a generation is pinned to a model version and the caller has seen none of
    /// it: then it restarts on any version.
    fn on_refused(
        &mut self,
        reason: &'static str,
        retry_after: Time,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        if self.stream.pinned().is_some() && !self.stream.is_shown {
            self.stream.restart();
            let attempt = self.next_attempt();
            self.place(attempt, now, policy);
            return;
        }
        self.give_up(reason, Some(retry_after), now, policy);
    }

    fn send_call(&mut self, pick: Pick, attempt: id::Attempt, is_hedge: bool, now: Time) {
        let Some(stage) = self.stage().cloned() else {
            return;
        };
        let left = self.deadline.saturating_sub(now);
        // A non-repeatable call is not retried after a timeout, so it gets all the time left.
        let limit = if stage.repeatable {
            pick.timeout.min(left)
        } else {
            left
        };
        if !self.stream.tokens.is_empty() {
            self.tally.resumes += 1;
        }
        let call = self.call(&stage, attempt, limit);
        self.in_flight.push(InFlightCall {
            attempt,
            sent_at: now,
            expires_at: now + limit,
            hedge_at: pick.hedge_after.map(|after| now + after),
            is_hedge,
            pick: pick.clone(),
        });
        self.actions.push(Action::Call(pick, Box::new(call)));
    }

    /// Sends a hedged attempt beside a slow one, if the policy allows it.
    pub(super) fn hedge(&mut self, now: Time, policy: &mut dyn Policy) {
        let Some(stage) = self.stage().cloned() else {
            return;
        };
        let [call] = self.in_flight.as_mut_slice() else {
            return;
        };
        if call.hedge_at.is_none_or(|at| now < at) {
            return;
        }
        call.hedge_at = None;
        let slow = call.pick.endpoint.clone();
        if !stage.repeatable || self.is_suspect || !self.stream.can_resume() {
            return;
        }
        let attempt_id = self.next_attempt();
        let mut attempt = self.policy_attempt(&stage, attempt_id);
        attempt.exclude.push(slow);
        if let Some(pick) = policy.hedge(&attempt, now) {
            self.tally.hedges += 1;
            self.send_call(pick, attempt_id, true, now);
        }
    }

    /// Cancels the calls that timed out.
    pub(super) fn expire_calls(&mut self, now: Time, policy: &mut dyn Policy) {
        while let Some(index) = self.in_flight.iter().position(|c| now >= c.expires_at) {
            let call = self.in_flight.swap_remove(index);
            let error = Error::Timeout {
                step: "call",
                peer: call.pick.endpoint.to_string(),
                limit: now.saturating_sub(call.sent_at),
            };
            let cancel = Action::Cancel(call.pick.clone(), call.attempt);
            self.actions.push(cancel);
            self.fail(&call, &error, now, policy);
            if self.phase != Phase::Running {
                return;
            }
        }
    }

    /// Ends the request when its queued stage can no longer finish in time.
    pub(super) fn check_waiting(&mut self, now: Time, policy: &mut dyn Policy) {
        let Some(stage) = self.stage().cloned() else {
            return;
        };
        let Some(waiting) = self.waiting.filter(|w| now >= w.check_at) else {
            return;
        };
        let attempt = self.policy_attempt(&stage, waiting.attempt);
        if policy.is_hopeless(&attempt, now) {
            self.give_up("it can no longer finish in time", None, now, policy);
        } else if let Some(waiting) = &mut self.waiting {
            waiting.check_at = now + WAIT_CHECK_INTERVAL;
        }
    }

    /// Cancels every call but the one at `index`, which was the first to produce output.
    pub(super) fn cancel_others(&mut self, index: usize, now: Time, policy: &mut dyn Policy) {
        if self.in_flight.len() == 1 {
            return;
        }
        let winner = self.in_flight.swap_remove(index);
        for call in std::mem::take(&mut self.in_flight) {
            self.cancel(&call, Disposition::Hedged, now, policy);
        }
        self.in_flight.push(winner);
    }

    pub(super) fn cancel_all(&mut self, now: Time, policy: &mut dyn Policy) {
        for call in std::mem::take(&mut self.in_flight) {
            self.cancel(&call, Disposition::Cancelled, now, policy);
        }
        if let Some(relocation) = self.relocation.take() {
            self.actions
                .push(Action::CancelRelocation(relocation.attempt));
        }
    }

    pub(super) fn cancel(
        &mut self,
        call: &InFlightCall,
        disposition: Disposition,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        let ended = self.call_ended(call, End::Cancelled, now);
        policy.observe(&ended, now);
        if self.stage().is_some_and(|s| s.repeatable) {
            self.has_repeatable_run = true;
        }
        self.record_time(call, disposition, now);
        let cancel = Action::Cancel(call.pick.clone(), call.attempt);
        self.actions.push(cancel);
    }

    /// Records the elapsed time of a call whose usage is unknown.
    pub(super) fn record_time(&mut self, call: &InFlightCall, disposition: Disposition, now: Time) {
        let usage = Usage {
            engine_time: now.saturating_sub(call.sent_at),
            ..Usage::default()
        };
        self.record_usage(usage, disposition);
    }

    /// Retries or gives up after a failed attempt that was repeatable or never ran.
    pub(super) fn retry(
        &mut self,
        attempt_id: id::Attempt,
        error: &Error,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        if !self.stream.can_resume() {
            if self.stream.is_shown {
                self.give_up(&error.to_string(), None, now, policy);
                return;
            }
            self.stream.restart();
        }
        let Some(stage) = self.stage().cloned() else {
            return;
        };
        let attempt = self.policy_attempt(&stage, attempt_id);
        match policy.retry(&attempt, error, now) {
            policy::Retry::Stop => self.give_up(&error.to_string(), None, now, policy),
            policy::Retry::After(wait) => {
                self.tally.retries += 1;
                if wait.is_zero() {
                    self.advance(now, policy);
                } else {
                    self.retry_at = Some(now + wait);
                }
            }
        }
    }
}
