//! Answers: the first complete, matching one of a stage is accepted, others are dropped.

use super::{InFlightCall, Run, SideEffect};
use crate::claim;
use crate::clock::Time;
use crate::endpoint::{Answer, Error, Result, Usage};
use crate::id;
use crate::ledger::{AttemptUsage, Disposition};
use crate::pipeline::Action;
use crate::policy::{End, Policy};

impl Run {
    pub(super) fn on_ended(
        &mut self,
        attempt: id::Attempt,
        result: Result<Answer>,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        let Some(index) = self.in_flight.iter().position(|c| c.attempt == attempt) else {
            self.record_late_answer(result);
            return;
        };
        match result {
            Ok(answer) if self.matches(&answer, attempt) => {
                self.cancel_others(index, now, policy);
                self.accept(answer, now, policy);
            }
            Ok(_) => {
                self.tally.crossed += 1;
                let call = self.in_flight.swap_remove(index);
                let error = mismatch_error(&call);
                self.fail(&call, &error, now, policy);
            }
            Err(error) => {
                let call = self.in_flight.swap_remove(index);
                if error.is_possible_crash() {
                    let endpoint = call.pick.endpoint.clone();
                    let digest = self.request.digest.clone();
                    self.actions.push(Action::Blame(digest, endpoint));
                }
                self.fail(&call, &error, now, policy);
            }
        }
    }

    /// Returns whether an answer is the expected one.
    pub(super) fn matches(&self, answer: &Answer, attempt: id::Attempt) -> bool {
        let is_same_version = match (self.stream.pinned(), &answer.version) {
            (Some(pinned), Some(version)) => pinned == *version,
            _ => true,
        };
        let is_same_stage = self.stage().is_some_and(|s| s.name == answer.stage);
        is_same_stage
            && is_same_version
            && answer.request == self.request.id
            && answer.attempt == attempt
    }

    fn accept(&mut self, answer: Answer, now: Time, policy: &mut dyn Policy) {
        let Some(call) = self.in_flight.pop() else {
            return;
        };
        let ended = self.call_ended(&call, End::Answered(answer.usage.clone()), now);
        policy.observe(&ended, now);
        self.record_usage(answer.usage, Disposition::Won);
        if let Some(region) = self.regions.get(&call.pick.zone) {
            self.region = Some(region.clone());
        }
        self.push_result(answer.body);
        self.advance(now, policy);
    }

    pub(super) fn push_result(&mut self, body: id::Name) {
        let Some(stage) = self.stage() else {
            return;
        };
        let stage = stage.name.clone();
        self.stage_results.push(claim::StageResult { stage, body });
        self.enter_stage();
    }

    pub(super) fn fail(
        &mut self,
        call: &InFlightCall,
        error: &Error,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        let ended = self.call_ended(call, End::Failed(error.clone()), now);
        policy.observe(&ended, now);
        self.exclude.push(call.pick.endpoint.clone());
        let repeatable = self.stage().is_some_and(|s| s.repeatable);
        if !error.is_not_run() {
            let disposition = if call.is_hedge {
                Disposition::Hedged
            } else {
                Disposition::Retried
            };
            self.record_time(call, disposition, now);
            if repeatable {
                self.has_repeatable_run = true;
            } else {
                self.side_effect = side_effect_of(error);
                self.give_up(&error.to_string(), None, now, policy);
                return;
            }
        }
        if self.in_flight.is_empty() {
            self.retry(call.attempt, error, now, policy);
        }
    }

    /// Counts an answer to an attempt that was given up.
    pub(super) fn record_late_answer(&mut self, result: Result<Answer>) {
        let Ok(answer) = result else {
            return;
        };
        self.tally.late += 1;
        // The engine time was recorded when the attempt was given up.
        let usage = Usage {
            engine_time: Time::ZERO,
            ..answer.usage
        };
        let attempt_usage = AttemptUsage {
            stage: answer.stage,
            usage,
            disposition: Disposition::Late,
        };
        self.usages.push(attempt_usage);
    }

    pub(super) fn record_usage(&mut self, usage: Usage, disposition: Disposition) {
        let Some(stage) = self.stage() else {
            return;
        };
        let stage = stage.name.clone();
        self.usages.push(AttemptUsage {
            stage,
            usage,
            disposition,
        });
    }

    /// Handles the end of a call that outlasted the response `unknown`.
    pub(super) fn on_late_end(
        &mut self,
        attempt: id::Attempt,
        result: Result<Answer>,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        let Some(index) = self.in_flight.iter().position(|c| c.attempt == attempt) else {
            self.record_late_answer(result);
            return;
        };
        let call = self.in_flight.swap_remove(index);
        self.linger_until = None;
        let end = match &result {
            Ok(answer) => End::Answered(answer.usage.clone()),
            Err(error) => End::Failed(error.clone()),
        };
        let ended = self.call_ended(&call, end, now);
        policy.observe(&ended, now);
        match result {
            Ok(answer) if self.matches(&answer, attempt) => {
                self.record_usage(answer.usage, Disposition::Won);
                self.push_result(answer.body);
            }
            Ok(_) => {
                self.tally.crossed += 1;
                self.side_effect = SideEffect::Doubtful;
            }
            // The caller was told that the key will not run again, which stays true.
            Err(_) => self.side_effect = SideEffect::Doubtful,
        }
        let outcome = self.outcome();
        self.settle(outcome);
    }
}

fn mismatch_error(call: &InFlightCall) -> Error {
    Error::Lost {
        step: "answer check",
        peer: call.pick.endpoint.to_string(),
        reason: "the answer is for another request, stage, attempt or version".into(),
    }
}

fn side_effect_of(error: &Error) -> SideEffect {
    match error {
        Error::Failed { .. } => SideEffect::Failed,
        _ => SideEffect::Doubtful,
    }
}
