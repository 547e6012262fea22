//! Endpoints over HTTP. See [the protocol](../../docs/ENDPOINTS.md).
//!
//! Errors are exact about whether the stage may have run: `NotSent` only when no byte of the call
//! was sent, `Refused` only when the endpoint reports that it did not start.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::wire::{BEGAN, Copied, Line, Problem, Target};
use super::{Answer, CacheEvent, Call, Error, Load, Order, Result, Sink, State, Token};
use crate::exchange::{self, Reply, Request};
use crate::id;

/// The timeout of requests that run no stage.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// The default limit on the bytes of an answer that a client reads.
pub const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;

/// A client of all endpoints.
#[derive(Clone, Debug)]
pub struct Client {
    max_answer_bytes: u64,
}

impl Client {
    /// Makes a client that reads at most `max_answer_bytes` of an answer.
    pub fn new(max_answer_bytes: u64) -> Self {
        Self { max_answer_bytes }
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new(MAX_ANSWER_BYTES)
    }
}

/// An operation, as errors report it.
#[derive(Clone, Copy)]
struct Operation<'a> {
    step: &'static str,
    peer: &'a str,
    limit: Duration,
}

impl Operation<'_> {
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

    fn exchange_error(self, error: exchange::Error) -> Error {
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

    /// Returns the error for a status other than 200.
    fn status_error(self, reply: Reply, max: u64) -> Error {
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
        let reply = request.send().map_err(|e| self.exchange_error(e))?;
        if reply.status == 200 {
            Ok(reply)
        } else {
            Err(self.status_error(reply, max))
        }
    }

    fn json<T: DeserializeOwned>(self, request: &Request<'_>, max: u64) -> Result<T> {
        let reply = self.send(request, max)?;
        reply.json(max).map_err(|e| self.exchange_error(e))
    }
}

fn encode(operation: Operation<'_>, body: &impl Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(body).map_err(|e| Error::NotSent {
        step: operation.step,
        peer: operation.peer.to_owned(),
        reason: e.to_string(),
    })
}

/// Reads and checks the streamed answer of a call.
struct AnswerReader<'a> {
    operation: Operation<'a>,
    call: &'a Call,
    next_index: usize,
}

impl AnswerReader<'_> {
    fn read_token(&mut self, token: Token, sink: Sink<'_>) -> Result<()> {
        if token.index as usize != self.next_index {
            let found = token.index;
            return Err(self
                .operation
                .lost(format!("token {found} instead of {}", self.next_index)));
        }
        self.next_index += 1;
        sink(token)
    }

    fn check_answer(&self, answer: Answer) -> Result<Answer> {
        let is_same_call = answer.request == self.call.request
            && answer.stage == self.call.stage
            && answer.attempt == self.call.attempt;
        if is_same_call {
            Ok(answer)
        } else {
            Err(self.operation.lost("the answer belongs to another call"))
        }
    }

    fn run(&mut self, mut reply: Reply, max: u64, sink: Sink<'_>) -> Result<Answer> {
        let mut bytes_left = max;
        loop {
            let line = reply
                .line(bytes_left)
                .map_err(|e| self.operation.exchange_error(e))?;
            let Some(text) = line else {
                return Err(self.operation.lost("the answer is truncated"));
            };
            bytes_left = bytes_left.saturating_sub(text.len() as u64);
            match serde_json::from_str(&text) {
                Ok(Line::Token(token)) => self.read_token(token, sink)?,
                Ok(Line::Answer(answer)) => return self.check_answer(answer),
                Ok(Line::Failed(problem)) => return Err(self.operation.failed(problem.reason)),
                Err(error) => return Err(self.operation.lost(error.to_string())),
            }
        }
    }
}

impl super::Service for Client {
    fn call(&self, address: &str, call: &Call, sink: Sink<'_>) -> Result<Answer> {
        let operation = Operation {
            step: "call",
            peer: address,
            limit: call.remaining,
        };
        let body = encode(operation, call)?;
        let request = Request::post(format!("http://{address}/v1/calls"), call.remaining);
        let reply = operation.send(&request.body(&body), self.max_answer_bytes)?;
        let mut reader = AnswerReader {
            operation,
            call,
            next_index: call.resume.len(),
        };
        reader.run(reply, self.max_answer_bytes, sink)
    }

    fn cancel(&self, address: &str, request: id::Request, attempt: id::Attempt) -> Result<()> {
        let operation = control_operation("cancel", address);
        let url = format!("http://{address}/v1/calls/{request}/{attempt}");
        let request = Request::delete(url, CONTROL_TIMEOUT);
        operation.send(&request, self.max_answer_bytes).map(|_| ())
    }
}

fn control_operation<'a>(step: &'static str, peer: &'a str) -> Operation<'a> {
    Operation {
        step,
        peer,
        limit: CONTROL_TIMEOUT,
    }
}

impl super::Engine for Client {
    fn load(&self, address: &str) -> Result<Load> {
        let request = Request::get(format!("http://{address}/v1/load"), CONTROL_TIMEOUT);
        control_operation("load", address).json(&request, self.max_answer_bytes)
    }

    fn cache_events(&self, address: &str, sequence: u64) -> Result<Vec<CacheEvent>> {
        let url = format!("http://{address}/v1/cache?after={sequence}");
        let request = Request::get(url, CONTROL_TIMEOUT);
        control_operation("cache", address).json(&request, self.max_answer_bytes)
    }

    fn order(&self, address: &str, order: &Order) -> Result<()> {
        let operation = control_operation("order", address);
        let body = encode(operation, order)?;
        let request = Request::put(format!("http://{address}/v1/order"), CONTROL_TIMEOUT);
        let reply = operation.send(&request.body(&body), self.max_answer_bytes);
        reply.map(|_| ())
    }

    fn state(&self, address: &str) -> Result<State> {
        let request = Request::get(format!("http://{address}/v1/state"), CONTROL_TIMEOUT);
        control_operation("state", address).json(&request, self.max_answer_bytes)
    }

    fn copy_cache(&self, from: &str, to: &str, prefix: u64) -> Result<u64> {
        let operation = control_operation("copy cache", from);
        let target = Target {
            address: to.to_owned(),
        };
        let body = encode(operation, &target)?;
        let url = format!("http://{from}/v1/cache/{prefix}/copy");
        let request = Request::post(url, CONTROL_TIMEOUT);
        let copied: Copied = operation.json(&request.body(&body), self.max_answer_bytes)?;
        Ok(copied.bytes)
    }
}

#[cfg(test)]
mod tests;
