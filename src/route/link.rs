//! The budget of the regional link at one daemon: a token bucket of bytes, shared by classes.
//!
//! Each daemon uses at most its share of the link, so that together they do not exceed it, without
//! coordination per request.

use std::time::Duration;

use crate::clock::Time;

/// Capacity of the bucket, as time at its rate.
const BUCKET_WINDOW: Duration = Duration::from_secs(1);

token! {
    /// What crosses the link, most important first.
    pub enum Class {
        /// Control traffic of the system.
        Control,
        /// Stages that may not be repeated.
        #[serde(rename = "once")]
        NonRepeatable,
        /// Other requests of priority 0 to 3.
        Interactive,
        /// Requests of priority 4 to 7.
        Bulk,
    }
}

impl Class {
    /// The class of a stage.
    pub fn of(repeatable: bool, priority: u8) -> Self {
        match (repeatable, priority) {
            (false, _) => Self::NonRepeatable,
            (true, 0..=3) => Self::Interactive,
            (true, _) => Self::Bulk,
        }
    }

    /// The share of the bucket that is kept for more important classes.
    fn reserve(self) -> f64 {
        match self {
            Self::Control => 0.0,
            Self::NonRepeatable => 0.05,
            Self::Interactive => 0.2,
            Self::Bulk => 0.4,
        }
    }
}

/// A token bucket of bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Bytes a second.
    rate: f64,
    /// Bytes left; may be below 0.
    level: f64,
    last_fill: Time,
    /// Bytes that were taken since the start.
    spent: u64,
}

impl Budget {
    /// Makes a full bucket that refills at `rate` bytes a second.
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            level: rate * BUCKET_WINDOW.as_secs_f64(),
            last_fill: Time::ZERO,
            spent: 0,
        }
    }

    /// Changes the rate, in bytes a second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    fn fill(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.last_fill).as_secs_f64();
        let capacity = self.rate * BUCKET_WINDOW.as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(capacity);
        self.last_fill = now;
    }

    /// Returns whether `bytes` of a class may cross the link now.
    pub fn allows(&mut self, class: Class, bytes: u64, now: Time) -> bool {
        self.fill(now);
        let reserve = class.reserve() * self.rate * BUCKET_WINDOW.as_secs_f64();
        self.level - bytes as f64 >= reserve
    }

    /// Takes `bytes`, even if fewer are left, because a call in progress is not stopped.
    pub fn spend(&mut self, bytes: u64, now: Time) {
        self.fill(now);
        self.level -= bytes as f64;
        self.spent += bytes;
    }

    /// Bytes that were taken since the start.
    pub fn spent(&self) -> u64 {
        self.spent
    }
}

#[cfg(test)]
mod tests;
