//! The prompts that an engine has been sent and has not read yet.

use std::time::Duration;

use crate::clock::Time;

/// How long an engine needs for the prompts that it has not read, of which it reads one after another.
#[derive(Default)]
pub struct ReadQueue {
    count: u32,
    /// The time that all of them take.
    time: Duration,
    /// When it began to read the first of them.
    first_since: Time,
}

impl ReadQueue {
    /// Returns whether all prompts are read.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns how long the engine still needs. The prompt that it reads now counts as read for the time
    /// that has passed, but at most as an average one: the engine may have become slow.
    pub fn wait(&self, now: Time) -> Duration {
        let Some(average) = self.time.checked_div(self.count) else {
            return Duration::ZERO;
        };
        let elapsed = now.saturating_sub(self.first_since);
        self.time.saturating_sub(elapsed.min(average))
    }

    /// Adds a prompt that takes this time.
    pub fn push(&mut self, time: Duration, now: Time) {
        if self.count == 0 {
            self.first_since = now;
        }
        self.count += 1;
        self.time += time;
    }

    /// Removes a prompt that was read, or that is not going to be read.
    pub fn remove(&mut self, time: Duration, now: Time) {
        self.count = self.count.saturating_sub(1);
        self.time = if self.count == 0 {
            Duration::ZERO
        } else {
            self.time.saturating_sub(time)
        };
        self.first_since = now;
    }
}
