//! One call at a stand-in endpoint, from its arrival to the last line of its answer.

use std::time::Duration;

use super::batch::{Slot, Stop};
use super::{Core, refuse};
use crate::endpoint::wire::{Line, Problem};
use crate::endpoint::{Answer, Call, Token, Usage};
use crate::id;
use crate::pipeline::prefix;
use crate::standin::server::{Began, Exchange, Stream};
use crate::standin::text;

/// Bytes of text that count as one token of a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens in the answer of an endpoint that does not generate.
const PLAIN_TOKENS: u32 = 4;

/// How a call that began ended.
enum End {
    Answered,
    Cancelled,
    Crashed,
    Cut,
}

impl End {
    fn name(&self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Cancelled => "cancelled",
            Self::Crashed => "crashed",
            Self::Cut => "cut",
        }
    }

    fn of(stop: Stop) -> Self {
        match stop {
            Stop::Dead => Self::Crashed,
            _ => Self::Cancelled,
        }
    }
}

struct Run<'a> {
    core: &'a Core,
    call: Call,
    input: text::Input,
    version: Option<id::Version>,
    tokens: Vec<Token>,
    usage: Usage,
}

/// Serves one call.
pub(super) fn serve(core: &Core, mut exchange: Exchange) {
    let Ok(call) = exchange.json::<Call>() else {
        return refuse(exchange, 400, "the call cannot be read");
    };
    match Run::prepare(core, call) {
        Ok(run) => run.enter(exchange),
        Err(reason) => refuse(exchange, 409, reason),
    }
}

impl<'a> Run<'a> {
    fn prepare(core: &'a Core, mut call: Call) -> Result<Self, &'static str> {
        let now = core.commons.clock.now();
        let version = core.model.choose(call.version.as_ref(), now)?;
        let mut input = text::Input::read(&call.input);
        if !core.profile.generates {
            input.tokens = Some(PLAIN_TOKENS);
            call.max_tokens = PLAIN_TOKENS;
        }
        let tokens = text::tokens(&input, &call, version.as_deref());
        if !text::is_resumable(&tokens, &call, version.as_deref()) {
            return Err("the call cannot be resumed from these tokens");
        }
        Ok(Self {
            core,
            call,
            input,
            version,
            tokens,
            usage: Usage::default(),
        })
    }

    fn enter(mut self, exchange: Exchange) {
        let batch = &self.core.batch;
        let deadline = self.core.commons.clock.now() + self.call.remaining;
        let call = (self.call.request, self.call.attempt);
        match batch.enter(call, self.call.priority, deadline) {
            Ok(slot) => self.begin(&slot, exchange),
            Err(Stop::Refused(reason)) => refuse(exchange, 503, reason),
            Err(Stop::Leaving) => {
                let problem = Problem {
                    reason: "the endpoint is leaving".into(),
                    leaving: true,
                };
                exchange.problem(503, Began::No, &problem);
            }
            Err(Stop::Cancelled | Stop::Dead) => exchange.cut(),
        }
    }

    fn begin(&mut self, slot: &Slot<'_>, exchange: Exchange) {
        let journal = &self.core.commons.journal;
        let began = journal.begin(&self.core.id, &self.call, &self.input);
        if self.input.poison {
            self.core.crash();
        }
        let end = match self.prefill(slot) {
            Ok(()) => self.answer(slot, exchange),
            Err(stop) => {
                exchange.cut();
                End::of(stop)
            }
        };
        journal.end(began, end.name(), &self.usage);
    }

    fn prefill(&mut self, slot: &Slot<'_>) -> Result<(), Stop> {
        let profile = &self.core.profile;
        let mut time = profile.base;
        if profile.generates {
            let uncached = self.uncached();
            self.usage.prefill_tokens = uncached as u64;
            time += profile.prefill_time * u32::try_from(uncached).unwrap_or(u32::MAX);
        }
        self.work(slot, time)
    }

    /// Returns the prompt tokens that are not in the prefix cache, and puts them there.
    fn uncached(&self) -> usize {
        let now = self.core.commons.clock.now();
        let hashes = prefix::hashes(&self.call.input);
        let mut prefixes = self.core.prefixes.lock();
        let held = prefixes.held(&hashes);
        prefixes.take(&hashes, 1, now);
        let bytes = self
            .call
            .input
            .len()
            .saturating_sub(held * prefix::STEP_BYTES);
        bytes / BYTES_PER_TOKEN + self.call.resume.len()
    }

    fn work(&mut self, slot: &Slot<'_>, time: Duration) -> Result<(), Stop> {
        let spent = slot.work(time)?;
        self.usage.engine_time += spent;
        Ok(())
    }

    fn answer(&mut self, slot: &Slot<'_>, exchange: Exchange) -> End {
        let Ok(mut stream) = exchange.stream() else {
            return End::Cut;
        };
        if self.core.profile.generates
            && let Err(end) = self.generate(slot, &mut stream)
        {
            return end;
        }
        let answer = Line::Answer(self.whole());
        match stream.line(&answer).and_then(|()| stream.finish()) {
            Ok(()) => End::Answered,
            Err(_) => End::Cut,
        }
    }

    fn generate(&mut self, slot: &Slot<'_>, stream: &mut Stream) -> Result<(), End> {
        let time = self.core.profile.token_time;
        let rest = self.tokens.split_off(self.call.resume.len());
        for token in rest {
            self.work(slot, time).map_err(End::of)?;
            self.usage.tokens += 1;
            let line = Line::Token(token.clone());
            self.tokens.push(token);
            stream.line(&line).map_err(|_| End::Cut)?;
        }
        Ok(())
    }

    fn whole(&self) -> Answer {
        let version = self.version.as_deref();
        Answer {
            request: self.call.request,
            stage: self.call.stage.clone(),
            attempt: self.call.attempt,
            body: text::body(&self.input, &self.call, version, &self.tokens),
            usage: self.usage.clone(),
            version: self.version.clone(),
        }
    }
}
