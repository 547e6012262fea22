//! Tests of a run, on a virtual clock and with a scripted policy.

use std::time::Duration;

use super::*;
use crate::claim::{Outcome, StageResult, Verdict};
use crate::endpoint::{Answer, Call, Error, Token, Usage};
use crate::pipeline::Stage;
use crate::policy::{Admission, Arrival, Attempt, Pick, Placement, Retry};

mod props;
mod relocations;
mod stages;
mod streams;

const MS: Duration = Duration::from_millis(1);
const DEADLINE: Time = Time::from_secs(3);

/// A policy whose decisions the test sets, and which counts calls in flight.
#[derive(Default)]
struct Script {
    placements: Vec<Placement>,
    is_hedging: bool,
    is_hopeless: bool,
    stops_retrying: bool,
    calls: u32,
    in_flight: i64,
    requests_ended: u32,
    abandoned: u32,
    versions: Vec<Option<id::Version>>,
}

impl Script {
    fn pick(&mut self) -> Pick {
        self.calls += 1;
        self.in_flight += 1;
        Pick {
            endpoint: format!("e{}", self.calls).into(),
            address: "127.0.0.1:1".into(),
            zone: "zagreb-a".into(),
            timeout: 1000 * MS,
            hedge_after: self.is_hedging.then_some(100 * MS),
        }
    }
}

impl Policy for Script {
    fn admit(&mut self, _: &Arrival, _: Time) -> Admission {
        Admission::Admit
    }
    fn place(&mut self, attempt: &Attempt, _: Time) -> Placement {
        self.versions.push(attempt.version.clone());
        match self.placements.pop() {
            Some(placement) => placement,
            None => Placement::Send(self.pick()),
        }
    }
    fn ready(&mut self, _: Time) -> Vec<Ticket> {
        Vec::new()
    }
    fn abandon(&mut self, _: &Ticket, _: Time) {
        self.abandoned += 1;
    }
    fn retry(&mut self, _: &Attempt, _: &Error, _: Time) -> Retry {
        if self.stops_retrying || self.calls > 8 {
            Retry::Stop
        } else {
            Retry::After(10 * MS)
        }
    }
    fn hedge(&mut self, attempt: &Attempt, _: Time) -> Option<Pick> {
        assert!(attempt.repeatable && !attempt.is_suspect);
        Some(self.pick())
    }
    fn is_hopeless(&self, attempt: &Attempt, now: Time) -> bool {
        self.is_hopeless || now >= attempt.deadline
    }
    fn observe(&mut self, observation: &Observation, _: Time) {
        match observation {
            Observation::CallEnded { .. } => self.in_flight -= 1,
            Observation::RequestEnded { .. } => self.requests_ended += 1,
            _ => {}
        }
    }
    fn next_wake(&self) -> Option<Time> {
        None
    }
}

/// Makes a plan: `e` is repeatable, `g` generates, `o` may not be repeated.
fn plan(stages: &str) -> Arc<Plan> {
    let stage = |(index, kind): (usize, char)| Stage {
        name: format!("{kind}{index}").into(),
        pool: "pool".into(),
        generates: kind == 'g',
        repeatable: kind != 'o',
        max_tokens: 8,
    };
    Arc::new(Plan {
        name: "order".into(),
        deadline: DEADLINE,
        priority: 4,
        stages: stages.chars().enumerate().map(stage).collect(),
    })
}

fn request() -> Request {
    Request {
        id: uuid::Uuid::from_u128(7),
        workspace: "poldmaa".into(),
        key: Some("key".into()),
        issued: None,
        digest: "digest".into(),
        body: "{}".into(),
        stream: true,
    }
}

struct Harness {
    run: Run,
    policy: Script,
    now: Time,
    actions: Vec<Action>,
}

impl Harness {
    fn new(stages: &str) -> Self {
        Self {
            run: Run::new(plan(stages), request(), DEADLINE),
            policy: Script::default(),
            now: Time::ZERO,
            actions: Vec::new(),
        }
    }

    fn started(stages: &str) -> Self {
        let mut harness = Self::new(stages);
        harness.step(Event::Start);
        harness
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        let actions = self.run.step(event, self.now, &mut self.policy);
        self.actions.extend(actions.clone());
        actions
    }

    fn wait(&mut self, by: Duration) -> Vec<Action> {
        self.now += by;
        self.step(Event::Wake)
    }

    fn calls(&self) -> Vec<Call> {
        let calls = self.actions.iter().filter_map(|a| match a {
            Action::Call(_, call) => Some((**call).clone()),
            _ => None,
        });
        calls.collect()
    }

    fn last(&self) -> Call {
        self.calls().pop().unwrap()
    }

    fn answer(&mut self, call: &Call) -> Vec<Action> {
        self.step(Event::Ended(call.attempt, Ok(answer_to(call))))
    }

    fn fail(&mut self, call: &Call, error: Error) -> Vec<Action> {
        self.step(Event::Ended(call.attempt, Err(error)))
    }

    fn token(&mut self, call: &Call, index: u32) -> Vec<Action> {
        self.step(Event::Token(call.attempt, token(index, "v1")))
    }

    fn finish(&self) -> Finish {
        let mut all = self.actions.iter().filter_map(|a| match a {
            Action::Finish(finish) => Some(finish.clone()),
            _ => None,
        });
        let finish = all.next().expect("no finish");
        assert!(all.next().is_none(), "two finishes");
        finish
    }

    fn settled(&self) -> Vec<Outcome> {
        let outcomes = self.actions.iter().filter_map(|a| match a {
            Action::Settle(outcome) => Some(outcome.clone()),
            _ => None,
        });
        outcomes.collect()
    }

    fn shown(&self) -> Vec<u32> {
        let tokens = self.actions.iter().filter_map(|a| match a {
            Action::Token(token) => Some(token.index),
            _ => None,
        });
        tokens.collect()
    }
}

fn answer_to(call: &Call) -> Answer {
    Answer {
        request: call.request,
        stage: call.stage.clone(),
        attempt: call.attempt,
        body: format!("\"{}\"", call.stage).into(),
        usage: Usage::default(),
        version: call.version.clone(),
    }
}

fn token(index: u32, version: &str) -> Token {
    Token {
        index,
        text: "t".into(),
        version: Some(version.into()),
    }
}

fn refused() -> Error {
    Error::Refused {
        step: "call",
        peer: "e".into(),
        reason: "full".into(),
        leaving: false,
    }
}

fn failed() -> Error {
    Error::Failed {
        step: "call",
        peer: "e".into(),
        reason: "no stock".into(),
    }
}

fn lost() -> Error {
    Error::Lost {
        step: "call",
        peer: "e".into(),
        reason: "reset".into(),
    }
}

fn is_not_run(finish: &Finish) -> bool {
    matches!(finish, Finish::NotRun { .. })
}

fn is_unknown(finish: &Finish) -> bool {
    matches!(finish, Finish::Unknown { .. })
}

fn is_failed(finish: &Finish) -> bool {
    matches!(finish, Finish::Failed { .. })
}
