//! Token streams: each token is accepted once, in order, from one model version.

use super::Run;
use crate::clock::Time;
use crate::endpoint::{Error, Token};
use crate::id;
use crate::pipeline::Action;
use crate::policy::Policy;

/// Maximum wait for a token before a second engine may resume the generation.
pub const STALL_TIMEOUT: Time = Time::from_millis(400);

/// The tokens of the current stage.
#[derive(Debug, Default)]
pub(super) struct Stream {
    pub tokens: Vec<Token>,
    pub version: Option<id::Version>,
    /// Whether a token was sent to the caller.
    pub is_shown: bool,
}

impl Stream {
    /// Returns whether another engine can continue: without tokens, or from a known version.
    pub fn can_resume(&self) -> bool {
        self.tokens.is_empty() || self.version.is_some()
    }

    /// Drops the tokens, which the caller has not seen.
    pub fn restart(&mut self) {
        self.tokens.clear();
        self.version = None;
    }

    /// Returns the model version that further attempts must run; none without tokens.
    pub fn pinned(&self) -> Option<id::Version> {
        if self.tokens.is_empty() {
            None
        } else {
            self.version.clone()
        }
    }
}

impl Run {
    pub(super) fn on_token(
        &mut self,
        attempt: id::Attempt,
        token: Token,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        if self.relocation.is_some_and(|r| r.attempt == attempt) {
            self.accept_relocated_token(token);
            return;
        }
        let Some(index) = self.in_flight.iter().position(|c| c.attempt == attempt) else {
            self.tally.late += 1;
            return;
        };
        if !self.stage().is_some_and(|s| s.generates) {
            return;
        }
        if (token.index as usize) < self.stream.tokens.len() {
            self.tally.doubled += 1;
            return;
        }
        if let Some(fault) = self.find_fault(&token) {
            self.tally.crossed += 1;
            self.reject(index, fault, now, policy);
            return;
        }
        self.cancel_others(index, now, policy);
        self.accept_token(token);
        if let Some(call) = self.in_flight.first_mut() {
            let wait = call.pick.hedge_after.map(|after| after.min(STALL_TIMEOUT));
            call.hedge_at = wait.map(|w| now + w);
        }
    }

    fn find_fault(&self, token: &Token) -> Option<&'static str> {
        if token.index as usize > self.stream.tokens.len() {
            return Some("a token is missing");
        }
        match (&self.stream.pinned(), &token.version) {
            (Some(pinned), Some(version)) if pinned != version => {
                Some("another model version continued the generation")
            }
            _ => None,
        }
    }

    fn accept_token(&mut self, token: Token) {
        if token.version.is_some() {
            self.stream.version.clone_from(&token.version);
        }
        self.stream.tokens.push(token.clone());
        self.emit_if_streamed(token);
    }

    /// Accepts a token of a remainder, which sends only tokens meant for the caller.
    fn accept_relocated_token(&mut self, token: Token) {
        if (token.index as usize) < self.stream.tokens.len() {
            self.tally.doubled += 1;
        } else {
            self.stream.tokens.push(token.clone());
            self.emit(token);
        }
    }

    fn emit_if_streamed(&mut self, token: Token) {
        if self.request.stream && self.plan.streamed_stage() == Some(self.stage_results.len()) {
            self.emit(token);
        }
    }

    fn emit(&mut self, token: Token) {
        self.stream.is_shown = true;
        self.actions.push(Action::Token(token));
    }

    /// Cancels and fails a call whose tokens are unusable.
    fn reject(&mut self, index: usize, fault: &str, now: Time, policy: &mut dyn Policy) {
        let call = self.in_flight.swap_remove(index);
        let error = Error::Lost {
            step: "generation",
            peer: call.pick.endpoint.to_string(),
            reason: fault.into(),
        };
        let cancel = Action::Cancel(call.pick.clone(), call.attempt);
        self.actions.push(cancel);
        self.fail(&call, &error, now, policy);
    }
}
