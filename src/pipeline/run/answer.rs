//! Answers: the first complete one that matches wins, decided once; others are dropped.

use super::{Effect, Flight, Run};
use crate::claim;
use crate::clock::Time;
use crate::endpoint::{Answer, Error, Result, Usage};
use crate::id;
use crate::ledger::{Fate, Spend};
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
        let Some(at) = self.flights.iter().position(|f| f.attempt == attempt) else {
            self.drop_late(result);
            return;
        };
        match result {
            Ok(answer) if self.matches(&answer, attempt) => {
                self.keep_only(at, now, policy);
                self.accept(answer, now, policy);
            }
            Ok(_) => {
                self.tally.crossed += 1;
                let flight = self.flights.swap_remove(at);
                let error = crossed(&flight);
                self.fail(&flight, &error, now, policy);
            }
            Err(error) => {
                let flight = self.flights.swap_remove(at);
                if error.is_possible_crash() {
                    let endpoint = flight.pick.endpoint.clone();
                    let digest = self.request.digest.clone();
                    self.actions.push(Action::Blame(digest, endpoint));
                }
                self.fail(&flight, &error, now, policy);
            }
        }
    }

    /// Whether an answer is the one that was asked for.
    pub(super) fn matches(&self, answer: &Answer, attempt: id::Attempt) -> bool {
        let version = match (self.stream.pinned(), &answer.version) {
            (Some(pinned), Some(version)) => pinned == *version,
            _ => true,
        };
        let stage = self.stage().is_some_and(|s| s.name == answer.stage);
        stage && version && answer.request == self.request.id && answer.attempt == attempt
    }

    fn accept(&mut self, answer: Answer, now: Time, policy: &mut dyn Policy) {
        let Some(flight) = self.flights.pop() else {
            return;
        };
        let ended = self.ended(&flight, End::Answered(answer.usage.clone()), now);
        policy.observe(&ended, now);
        self.spend(answer.usage, Fate::Won);
        if let Some(region) = self.regions.get(&flight.pick.zone) {
            self.region = Some(region.clone());
        }
        self.push_part(answer.body);
        self.advance(now, policy);
    }

    pub(super) fn push_part(&mut self, body: id::Name) {
        let Some(stage) = self.stage() else {
            return;
        };
        let stage = stage.name.clone();
        self.parts.push(claim::StageResult { stage, body });
        self.enter_stage();
    }

    pub(super) fn fail(
        &mut self,
        flight: &Flight,
        error: &Error,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        let ended = self.ended(flight, End::Failed(error.clone()), now);
        policy.observe(&ended, now);
        self.exclude.push(flight.pick.endpoint.clone());
        let repeatable = self.stage().is_some_and(|s| s.repeatable);
        if !error.is_not_run() {
            let fate = if flight.is_hedge {
                Fate::Hedged
            } else {
                Fate::Retried
            };
            self.spend_time(flight, fate, now);
            if repeatable {
                self.ran = true;
            } else {
                self.effect = effect_of(error);
                self.give_up(&error.to_string(), None, now, policy);
                return;
            }
        }
        if self.flights.is_empty() {
            self.retry(flight.attempt, error, now, policy);
        }
    }

    /// Counts an answer that came after its attempt was given up.
    pub(super) fn drop_late(&mut self, result: Result<Answer>) {
        let Ok(answer) = result else {
            return;
        };
        self.tally.late += 1;
        // The time was booked when the attempt was given up.
        let usage = Usage {
            engine_time: Time::ZERO,
            ..answer.usage
        };
        let spend = Spend {
            stage: answer.stage,
            usage,
            fate: Fate::Late,
        };
        self.spends.push(spend);
    }

    pub(super) fn spend(&mut self, usage: Usage, fate: Fate) {
        let Some(stage) = self.stage() else {
            return;
        };
        let stage = stage.name.clone();
        self.spends.push(Spend { stage, usage, fate });
    }

    /// Takes the end of a call that ran on after the caller was told `unknown`.
    pub(super) fn on_late_end(
        &mut self,
        attempt: id::Attempt,
        result: Result<Answer>,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        let Some(at) = self.flights.iter().position(|f| f.attempt == attempt) else {
            self.drop_late(result);
            return;
        };
        let flight = self.flights.swap_remove(at);
        self.linger_until = None;
        let end = match &result {
            Ok(answer) => End::Answered(answer.usage.clone()),
            Err(error) => End::Failed(error.clone()),
        };
        let ended = self.ended(&flight, end, now);
        policy.observe(&ended, now);
        match result {
            Ok(answer) if self.matches(&answer, attempt) => {
                self.spend(answer.usage, Fate::Won);
                self.push_part(answer.body);
            }
            Ok(_) => {
                self.tally.crossed += 1;
                self.effect = Effect::Doubtful;
            }
            // The caller was told that the key will not run again, which stays true.
            Err(_) => self.effect = Effect::Doubtful,
        }
        let outcome = self.outcome();
        self.settle(outcome);
    }
}

fn crossed(flight: &Flight) -> Error {
    Error::Lost {
        step: "check of an answer",
        peer: flight.pick.endpoint.to_string(),
        reason: "it answers another request, stage, attempt or version".into(),
    }
}

fn effect_of(error: &Error) -> Effect {
    match error {
        Error::Failed { .. } => Effect::Failed,
        _ => Effect::Doubtful,
    }
}
