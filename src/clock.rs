//! The clock border: state machines are given the time, so that tests choose it.

use std::time::{Duration, Instant, SystemTime};

/// Monotonic time since the process started.
pub type Time = Duration;

/// A source of time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, which a pause of the process does not stop.
    fn now(&self) -> Time;
    /// Returns the wall clock, which may be set and is only compared with a stated tolerance.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: Instant,
}

impl System {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for System {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for System {
    fn now(&self) -> Time {
        self.start.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that a test advances by hand.
#[derive(Debug, Default)]
pub struct Manual {
    now: parking_lot::Mutex<Duration>,
}

impl Manual {
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.now.lock() += by;
    }
}

impl Clock for Manual {
    fn now(&self) -> Time {
        *self.now.lock()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}
