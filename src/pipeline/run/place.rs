//! Placing, hedging and cancelling calls.

use super::{Flight, Phase, Run, WAIT_CHECK, Waiting};
use crate::clock::Time;
use crate::endpoint::{Error, Usage};
use crate::ledger::Fate;
use crate::pipeline::Action;
use crate::policy::{End, Pick, Placement, Policy};
use crate::{id, policy};

impl Run {
    /// Goes on with the current stage, or answers when there is none.
    pub(super) fn advance(&mut self, now: Time, policy: &mut dyn Policy) {
        if self.phase != Phase::Running {
            return;
        }
        let Some(stage) = self.stage().cloned() else {
            self.answer(now, policy);
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

    pub(super) fn place(&mut self, attempt: id::Attempt, now: Time, policy: &mut dyn Policy) {
        let Some(stage) = self.stage().cloned() else {
            return;
        };
        let ask = self.ask(&stage, attempt);
        if now >= self.deadline || policy.is_hopeless(&ask, now) {
            self.give_up("it can no longer finish in time", None, now, policy);
            return;
        }
        match policy.place(&ask, now) {
            Placement::Send(pick) => self.launch(pick, attempt, false, now),
            Placement::Wait => {
                let check_at = now + WAIT_CHECK;
                self.waiting = Some(Waiting { attempt, check_at });
            }
            Placement::Relocate(region) => self.relocate(region, attempt, now, policy),
            Placement::Refuse {
                reason,
                retry_after,
            } => self.refused(reason, retry_after, now, policy),
        }
    }

    /// Generated tokens pin the version; when they are unseen, any version may start again.
    fn refused(
        &mut self,
        reason: &'static str,
        retry_after: Time,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        if self.stream.pinned().is_some() && !self.stream.shown {
            self.stream.restart();
            let attempt = self.next_attempt();
            self.place(attempt, now, policy);
            return;
        }
        self.give_up(reason, Some(retry_after), now, policy);
    }

    fn launch(&mut self, pick: Pick, attempt: id::Attempt, is_hedge: bool, now: Time) {
        let Some(stage) = self.stage().cloned() else {
            return;
        };
        let left = self.deadline.saturating_sub(now);
        // Nothing else can be tried for what may not be repeated, so it gets all the time left.
        let limit = if stage.repeatable {
            pick.timeout.min(left)
        } else {
            left
        };
        if !self.stream.tokens.is_empty() {
            self.tally.resumes += 1;
        }
        let call = self.call(&stage, attempt, limit);
        self.flights.push(Flight {
            attempt,
            sent: now,
            expires: now + limit,
            hedge_at: pick.hedge_after.map(|after| now + after),
            is_hedge,
            pick: pick.clone(),
        });
        self.actions.push(Action::Call(pick, Box::new(call)));
    }

    /// Makes a second attempt beside a slow one, when the policy allows it.
    pub(super) fn hedge(&mut self, now: Time, policy: &mut dyn Policy) {
        let Some(stage) = self.stage().cloned() else {
            return;
        };
        let [flight] = self.flights.as_mut_slice() else {
            return;
        };
        if flight.hedge_at.is_none_or(|at| now < at) {
            return;
        }
        flight.hedge_at = None;
        let slow = flight.pick.endpoint.clone();
        if !stage.repeatable || self.suspect || !self.stream.can_resume() {
            return;
        }
        let attempt = self.next_attempt();
        let mut ask = self.ask(&stage, attempt);
        ask.exclude.push(slow);
        if let Some(pick) = policy.hedge(&ask, now) {
            self.tally.hedges += 1;
            self.launch(pick, attempt, true, now);
        }
    }

    /// Gives up calls that ran out of time.
    pub(super) fn expire(&mut self, now: Time, policy: &mut dyn Policy) {
        while let Some(at) = self.flights.iter().position(|f| now >= f.expires) {
            let flight = self.flights.swap_remove(at);
            let error = Error::Timeout {
                step: "call",
                peer: flight.pick.endpoint.to_string(),
                limit: now.saturating_sub(flight.sent),
            };
            let cancel = Action::Cancel(flight.pick.clone(), flight.attempt);
            self.actions.push(cancel);
            self.fail(&flight, &error, now, policy);
            if self.phase != Phase::Running {
                return;
            }
        }
    }

    /// Ends the request when its waiting stage can no longer finish in time.
    pub(super) fn check_waiting(&mut self, now: Time, policy: &mut dyn Policy) {
        let Some(stage) = self.stage().cloned() else {
            return;
        };
        let Some(waiting) = self.waiting.filter(|w| now >= w.check_at) else {
            return;
        };
        let ask = self.ask(&stage, waiting.attempt);
        if policy.is_hopeless(&ask, now) {
            self.give_up("it can no longer finish in time", None, now, policy);
        } else if let Some(waiting) = &mut self.waiting {
            waiting.check_at = now + WAIT_CHECK;
        }
    }

    /// Cancels every call but the one at `at`, which produced something first.
    pub(super) fn keep_only(&mut self, at: usize, now: Time, policy: &mut dyn Policy) {
        if self.flights.len() == 1 {
            return;
        }
        let kept = self.flights.swap_remove(at);
        for flight in std::mem::take(&mut self.flights) {
            self.cancel(&flight, Fate::Hedged, now, policy);
        }
        self.flights.push(kept);
    }

    pub(super) fn cancel_all(&mut self, now: Time, policy: &mut dyn Policy) {
        for flight in std::mem::take(&mut self.flights) {
            self.cancel(&flight, Fate::Cancelled, now, policy);
        }
        if let Some(relocation) = self.relocation.take() {
            self.actions
                .push(Action::CancelRelocation(relocation.attempt));
        }
    }

    pub(super) fn cancel(
        &mut self,
        flight: &Flight,
        fate: Fate,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        let ended = self.ended(flight, End::Cancelled, now);
        policy.observe(&ended, now);
        if self.stage().is_some_and(|s| s.repeatable) {
            self.ran = true;
        }
        self.spend_time(flight, fate, now);
        let cancel = Action::Cancel(flight.pick.clone(), flight.attempt);
        self.actions.push(cancel);
    }

    /// Books the time of a call whose usage is not known.
    pub(super) fn spend_time(&mut self, flight: &Flight, fate: Fate, now: Time) {
        let usage = Usage {
            engine_time: now.saturating_sub(flight.sent),
            ..Usage::default()
        };
        self.spend(usage, fate);
    }

    /// Decides what to do after a failed attempt of a repeatable stage, or one that never ran.
    pub(super) fn retry(
        &mut self,
        attempt: id::Attempt,
        error: &Error,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        if !self.stream.can_resume() {
            if self.stream.shown {
                self.give_up(&error.to_string(), None, now, policy);
                return;
            }
            self.stream.restart();
        }
        let Some(stage) = self.stage().cloned() else {
            return;
        };
        let ask = self.ask(&stage, attempt);
        match policy.retry(&ask, error, now) {
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
