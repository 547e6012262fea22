//! Blocks all threads while the daemon simulates a paused process.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::clock::{Clock, Time};

/// Blocks threads for a time; fault tests use it instead of stopping the process.
pub struct Gate {
    clock: Arc<dyn Clock>,
    closed_until: Mutex<Time>,
}

impl Gate {
    /// Creates an open gate.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let closed_until = Mutex::new(Time::ZERO);
        Self {
            clock,
            closed_until,
        }
    }

    /// Closes the gate for `duration`.
    pub fn pause(&self, duration: Duration) {
        let end = self.clock.now() + duration;
        let mut until = self.closed_until.lock();
        *until = end.max(*until);
    }

    /// Returns how much longer the gate is closed; none when it is open.
    pub fn remaining(&self) -> Option<Duration> {
        let until = *self.closed_until.lock();
        let remaining = until.checked_sub(self.clock.now())?;
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Blocks the thread until the gate is open.
    pub fn wait(&self) {
        while let Some(remaining) = self.remaining() {
            std::thread::sleep(remaining);
        }
    }
}
