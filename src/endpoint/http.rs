//! Endpoints over HTTP. See [the protocol](../../docs/ENDPOINTS.md).
//!
//! Every error says truly whether the stage may have run: `NotSent` only when no byte of the
//! call was sent, `Refused` only when the endpoint says that it did not begin.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::wire::{BEGAN, Copied, Line, Problem, Target};
use super::{Answer, CacheEvent, Call, Error, Load, Order, Result, Sink, State, Token};
use crate::exchange::{self, Reply, Request};
use crate::id;

/// How long a call that runs no stage may take.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of an answer that are read at most, unless the client is told otherwise.
pub const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;

/// A client of all endpoints.
#[derive(Clone, Debug)]
pub struct Client {
    max_answer: u64,
}

impl Client {
    /// Makes a client that reads at most `max_answer` bytes of an answer.
    pub fn new(max_answer: u64) -> Self {
        Self { max_answer }
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new(MAX_ANSWER_BYTES)
    }
}

/// The place of a step, for errors.
#[derive(Clone, Copy)]
struct Place<'a> {
    step: &'static str,
    peer: &'a str,
    limit: Duration,
}

impl Place<'_> {
    fn lost(self, reason: impl Into<String>) -> Error {
        Error::Lost {
            step: self.step,
            peer: self.peer.to_owned(),
            reason: reason.into(),
        }
    }

    fn failed(self, reason: String) -> Error {
        Error::Failed {
            step: self.step,
            peer: self.peer.to_owned(),
            reason,
        }
    }

    fn failure(self, error: exchange::Error) -> Error {
        match error {
            exchange::Error::NotSent { reason } => Error::NotSent {
                step: self.step,
                peer: self.peer.to_owned(),
                reason,
            },
            exchange::Error::TimedOut => Error::Timeout {
                step: self.step,
                peer: self.peer.to_owned(),
                limit: self.limit,
            },
            exchange::Error::Broken { reason } => self.lost(reason),
        }
    }

    /// Explains a status other than 200.
    fn status(self, reply: Reply, max: u64) -> Error {
        let status = reply.status;
        let began = reply.header(BEGAN).map(str::to_owned);
        let problem = reply.json(max).unwrap_or(Problem {
            reason: format!("status {status}"),
            leaving: false,
        });
        match began.as_deref() {
            Some("no") => Error::Refused {
                step: self.step,
                peer: self.peer.to_owned(),
                reason: problem.reason,
                leaving: problem.leaving,
            },
            Some("yes") => self.failed(problem.reason),
            _ => self.lost(problem.reason),
        }
    }

    fn send(self, request: &Request<'_>, max: u64) -> Result<Reply> {
        let reply = request.send().map_err(|e| self.failure(e))?;
        if reply.status == 200 {
            Ok(reply)
        } else {
            Err(self.status(reply, max))
        }
    }

    fn json<T: DeserializeOwned>(self, request: &Request<'_>, max: u64) -> Result<T> {
        let reply = self.send(request, max)?;
        reply.json(max).map_err(|e| self.failure(e))
    }
}

fn encode(place: Place<'_>, body: &impl Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(body).map_err(|e| Error::NotSent {
        step: place.step,
        peer: place.peer.to_owned(),
        reason: e.to_string(),
    })
}

/// A call whose answer is being read.
struct Reading<'a> {
    place: Place<'a>,
    call: &'a Call,
    next: usize,
}

impl Reading<'_> {
    fn token(&mut self, token: Token, sink: Sink<'_>) -> Result<()> {
        if token.index as usize != self.next {
            let found = token.index;
            return Err(self
                .place
                .lost(format!("token {found} in place of {}", self.next)));
        }
        self.next += 1;
        sink(token)
    }

    fn answer(&self, answer: Answer) -> Result<Answer> {
        let is_mine = answer.request == self.call.request
            && answer.stage == self.call.stage
            && answer.attempt == self.call.attempt;
        if is_mine {
            Ok(answer)
        } else {
            Err(self.place.lost("the answer belongs to another call"))
        }
    }

    fn run(&mut self, mut reply: Reply, max: u64, sink: Sink<'_>) -> Result<Answer> {
        let mut left = max;
        loop {
            let line = reply.line(left).map_err(|e| self.place.failure(e))?;
            let Some(text) = line else {
                return Err(self.place.lost("the answer is cut off"));
            };
            left = left.saturating_sub(text.len() as u64);
            match serde_json::from_str(&text) {
                Ok(Line::Token(token)) => self.token(token, sink)?,
                Ok(Line::Answer(answer)) => return self.answer(answer),
                Ok(Line::Failed(problem)) => return Err(self.place.failed(problem.reason)),
                Err(error) => return Err(self.place.lost(error.to_string())),
            }
        }
    }
}

impl super::Service for Client {
    fn call(&self, address: &str, call: &Call, sink: Sink<'_>) -> Result<Answer> {
        let place = Place {
            step: "call",
            peer: address,
            limit: call.remaining,
        };
        let body = encode(place, call)?;
        let request = Request::post(format!("http://{address}/v1/calls"), call.remaining);
        let reply = place.send(&request.body(&body), self.max_answer)?;
        let mut reading = Reading {
            place,
            call,
            next: call.resume.len(),
        };
        reading.run(reply, self.max_answer, sink)
    }

    fn cancel(&self, address: &str, request: id::Request, attempt: id::Attempt) -> Result<()> {
        let place = control("cancel", address);
        let url = format!("http://{address}/v1/calls/{request}/{attempt}");
        let request = Request::delete(url, CONTROL_TIMEOUT);
        place.send(&request, self.max_answer).map(|_| ())
    }
}

fn control<'a>(step: &'static str, peer: &'a str) -> Place<'a> {
    Place {
        step,
        peer,
        limit: CONTROL_TIMEOUT,
    }
}

impl super::Engine for Client {
    fn load(&self, address: &str) -> Result<Load> {
        let request = Request::get(format!("http://{address}/v1/load"), CONTROL_TIMEOUT);
        control("load", address).json(&request, self.max_answer)
    }

    fn cache_events(&self, address: &str, sequence: u64) -> Result<Vec<CacheEvent>> {
        let url = format!("http://{address}/v1/cache?after={sequence}");
        let request = Request::get(url, CONTROL_TIMEOUT);
        control("cache", address).json(&request, self.max_answer)
    }

    fn order(&self, address: &str, order: &Order) -> Result<()> {
        let place = control("order", address);
        let body = encode(place, order)?;
        let request = Request::put(format!("http://{address}/v1/order"), CONTROL_TIMEOUT);
        let reply = place.send(&request.body(&body), self.max_answer);
        reply.map(|_| ())
    }

    fn state(&self, address: &str) -> Result<State> {
        let request = Request::get(format!("http://{address}/v1/state"), CONTROL_TIMEOUT);
        control("state", address).json(&request, self.max_answer)
    }

    fn copy_cache(&self, from: &str, to: &str, prefix: u64) -> Result<u64> {
        let place = control("copy cache", from);
        let target = Target {
            address: to.to_owned(),
        };
        let body = encode(place, &target)?;
        let url = format!("http://{from}/v1/cache/{prefix}/copy");
        let request = Request::post(url, CONTROL_TIMEOUT);
        let copied: Copied = place.json(&request.body(&body), self.max_answer)?;
        Ok(copied.bytes)
    }
}

#[cfg(test)]
mod tests;
