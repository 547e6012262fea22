//! The clock interface: state machines are given the time, so that tests control it.

use std::time::{Duration, Instant, SystemTime};

/// Monotonic time since the process started.
pub type Time = Duration;

/// A source of time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, which a pause of the process does not stop.
    fn now(&self) -> Time;
    /// Returns the wall-clock time, which may be set and is only compared with a stated tolerance.
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

/// A clock that also counts the time in which the VM was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Boot {
    start: Duration,
}

impl Boot {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self { start: boot_time() }
    }
}

impl Default for Boot {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Boot {
    fn now(&self) -> Time {
        boot_time().saturating_sub(self.start)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
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
