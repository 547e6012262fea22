//! Calls of the driver: to endpoints and back.

use std::time::Duration;

use cyclamenrill::clock::Time;
use cyclamenrill::endpoint::{self, Answer, Call, Error, Usage};
use cyclamenrill::pipeline::{Event, prefix};
use cyclamenrill::policy::Pick;
use rand::RngExt;

use super::super::server::{Health, PREFILL_SHARE};
use super::{Driver, LEAVING, RESTART, STALL, Sent, Step};

impl Driver<'_> {
    /// When bytes from one availability zone have arrived in another.
    pub(super) fn travel(&mut self, from: usize, to: usize, bytes: u64) -> Time {
        if self.region_of(from) != self.region_of(to) {
            let wire = usize::from(self.region_of(from) == self.deployment.zones[2].1);
            let left = self.wires[wire].send(bytes, self.now);
            return left + Duration::from_millis(10);
        }
        let delay = if from == to { 300 } else { 1500 };
        self.now + Duration::from_micros(delay)
    }

    pub(super) fn call(&mut self, index: usize, pick: Pick, call: Call) {
        let server = self.by_name[&pick.endpoint];
        let from = self.zone_of(self.runs[index].daemon);
        self.outcome.calls += 1;
        if self.servers[server]
            .left_at
            .is_some_and(|at| self.now > at + LEAVING)
        {
            self.outcome.broken.push("a call to an endpoint that left");
        }
        let at = self.travel(from, self.servers[server].zone, call.input.len() as u64);
        let number = self.sent.len();
        self.by_attempt.insert((index, call.attempt), number);
        self.sent.push(Sent {
            run: index,
            server,
            call,
            pick,
            started: None,
            spent: Duration::ZERO,
            ended: false,
            used: false,
        });
        self.push(at, Step::CallIn(number));
    }

    pub(super) fn call_in(&mut self, call: usize) {
        let server = self.sent[call].server;
        if self.sent[call].ended {
            return;
        }
        match self.servers[server].health {
            Health::Dead => self.reply(call, Err(refused(false, true))),
            Health::Leaving => self.reply(call, Err(refused(true, false))),
            Health::Failing if self.rng.random_range(0..2) == 0 => {
                self.reply(call, Err(failed("it fails")));
            }
            // It never answers.
            Health::Failing => {}
            Health::Well => {
                let priority = self.sent[call].call.priority;
                self.servers[server].enqueue(priority, call);
                self.start_next(server);
            }
        }
    }

    pub(super) fn start_next(&mut self, server: usize) {
        while let Some(call) = self.servers[server].next() {
            self.start(server, call);
        }
    }

    pub(super) fn start(&mut self, server: usize, call: usize) {
        let arrival = self.runs[self.sent[call].run].arrival;
        self.sent[call].started = Some(self.now);
        let stage = &self.sent[call].call.stage;
        let plan = &self.arrivals[arrival].plan;
        let at = plan.stages.iter().position(|s| s.name == *stage).unwrap();
        if !plan.stages[at].repeatable {
            self.outcome.ran_once(self.runs[self.sent[call].run].root);
        }
        let pool = &self.deployment.pools[self.servers[server].pool];
        let mut took = pool.service.mul_f64(self.arrivals[arrival].work[at]);
        if plan.stages[at].generates {
            let prefixes = prefix::hashes(&self.sent[call].call.input);
            let held = self.servers[server].prefill(&prefixes);
            took = took.mul_f64(1.0 - PREFILL_SHARE * held);
            let missed = (1.0 - held) * self.sent[call].call.input.len() as f64 / 4.0;
            self.outcome.prefill += missed as u64;
            self.outcome.tokens += 200;
        }
        if self.rng.random_range(0.0..1.0) < STALL.0 {
            took = took.mul_f64(STALL.1);
        }
        took = took.mul_f64(self.servers[server].slowness);
        if self.arrivals[arrival].is_poison {
            self.crash(server);
            return;
        }
        self.push(self.now + took, Step::Served(call));
    }

    /// A request crashes the endpoint: all its calls are lost.
    pub(super) fn crash(&mut self, server: usize) {
        self.servers[server].health = Health::Dead;
        let mut lost = std::mem::take(&mut self.servers[server].running);
        lost.extend(self.servers[server].waiting.drain(..).map(|(_, c)| c));
        for call in lost {
            self.account(call);
            self.reply(
                call,
                Err(Error::Lost {
                    step: "call",
                    peer: "endpoint".into(),
                    reason: "it died".into(),
                }),
            );
        }
        self.push(self.now + RESTART, Step::Restart(server));
    }

    pub(super) fn account(&mut self, call: usize) {
        if let Some(at) = self.sent[call].started.take() {
            self.sent[call].spent = self.now - at;
        }
    }

    pub(super) fn served(&mut self, call: usize) {
        let server = self.sent[call].server;
        if !self.servers[server].running.contains(&call) {
            return;
        }
        self.servers[server].take(call);
        let started = self.sent[call].started.unwrap_or(self.now);
        self.account(call);
        let pool = &self.deployment.pools[self.servers[server].pool];
        let text = &self.sent[call].call;
        let answer = Answer {
            request: text.request,
            stage: text.stage.clone(),
            attempt: text.attempt,
            body: format!("\"{}\"", "a".repeat(pool.answer_bytes)).into(),
            usage: Usage {
                engine_time: self.now - started,
                tokens: 200,
                ..Usage::default()
            },
            version: Some("v1".into()),
        };
        self.reply(call, Ok(answer));
        self.start_next(server);
    }

    pub(super) fn reply(&mut self, call: usize, result: endpoint::Result<Answer>) {
        let bytes = result.as_ref().map_or(128, |a| a.body.len() as u64);
        let from = self.servers[self.sent[call].server].zone;
        let to = self.zone_of(self.runs[self.sent[call].run].daemon);
        let at = self.travel(from, to, bytes);
        self.push(at, Step::AnswerIn(call, result));
    }

    pub(super) fn answer_in(&mut self, call: usize, result: endpoint::Result<Answer>) {
        if self.sent[call].ended {
            return;
        }
        self.sent[call].ended = true;
        self.sent[call].used = result.is_ok();
        let (run, attempt) = (self.sent[call].run, self.sent[call].call.attempt);
        self.event(run, Event::Ended(attempt, result));
    }

    pub(super) fn cancel_in(&mut self, call: usize) {
        if std::mem::replace(&mut self.sent[call].ended, true) {
            return;
        }
        let server = self.sent[call].server;
        if self.servers[server].take(call) {
            self.account(call);
        }
        self.start_next(server);
        // The endpoint answers a cancelled call, as `endpoint::Service::cancel` says.
        let run = self.sent[call].run;
        let error = Error::Lost {
            step: "call",
            peer: self.sent[call].pick.endpoint.to_string(),
            reason: "cancelled".into(),
        };
        self.event(run, Event::Ended(self.sent[call].call.attempt, Err(error)));
    }
}

fn refused(leaving: bool, dead: bool) -> Error {
    let (step, peer) = ("call", "endpoint".to_owned());
    if dead {
        Error::NotSent {
            step,
            peer,
            reason: "connection refused".into(),
        }
    } else {
        Error::Refused {
            step,
            peer,
            reason: "it leaves".into(),
            leaving,
        }
    }
}

fn failed(reason: &str) -> Error {
    Error::Failed {
        step: "call",
        peer: "endpoint".into(),
        reason: reason.into(),
    }
}
