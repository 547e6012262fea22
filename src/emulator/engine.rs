//! An engine that reads prompts one after another and keeps their parts.

use std::time::Duration;

use indexmap::IndexSet;

use super::pace::Pace;
use crate::clock::Time;
use crate::id;
use crate::serve::plan::PromptPart;

event! {
    /// How fast an engine works.
    pub struct Speed {
        /// Prompt tokens that it reads in a millisecond.
        pub read_tokens_per_ms: f64,
        /// Prompt tokens that it fetches from another engine in a millisecond.
        pub fetch_tokens_per_ms: f64,
        /// The time to the first event besides reading the prompt.
        pub base: Duration,
        /// The time between two events of a stream.
        pub event: Duration,
    }
}

event! {
    /// The times of one request at an engine.
    pub struct Run {
        /// When its first event is sent.
        pub first_event: Time,
        /// When its last event is sent.
        pub end: Time,
    }
}

/// The state of one engine.
pub struct Engine {
    speed: Speed,
    /// The pace of its VM.
    pub pace: Pace,
    read_until: Time,
    kept: IndexSet<id::Name>,
}

impl Engine {
    /// Makes an engine that keeps nothing.
    pub fn new(speed: Speed) -> Self {
        Self {
            speed,
            pace: Pace::new("", None),
            read_until: Time::ZERO,
            kept: IndexSet::new(),
        }
    }

    /// Returns how many tokens of a prompt it keeps, from the first part on.
    pub fn kept_tokens(&self, parts: &[PromptPart]) -> u64 {
        let kept = parts.iter().take_while(|part| self.kept.contains(&part.id));
        kept.map(|part| part.tokens).sum()
    }

    /// Runs a request behind those that it has begun to read. It fetches the beginning of the prompt as
    /// far as another engine keeps it: that many tokens.
    pub fn run(&mut self, parts: &[PromptPart], fetchable: u64, events: u32, now: Time) -> Run {
        let prompt: u64 = parts.iter().map(|part| part.tokens).sum();
        let kept = self.kept_tokens(parts);
        let fetched = fetchable.saturating_sub(kept);
        let unread = prompt - kept - fetched;
        let millis = unread as f64 / self.speed.read_tokens_per_ms
            + fetched as f64 / self.speed.fetch_tokens_per_ms;
        let reading = Duration::from_secs_f64(millis / 1000.0);
        self.read_until = self.pace.end(self.read_until.max(now), reading);
        self.kept.extend(parts.iter().map(|part| part.id.clone()));
        let first_event = self.pace.end(self.read_until, self.speed.base);
        Run {
            first_event,
            end: first_event + self.speed.event * events.saturating_sub(1),
        }
    }
}
