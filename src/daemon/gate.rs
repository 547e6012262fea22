//! The gate at which all threads stop while the daemon imitates a paused process.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::clock::{Clock, Time};

/// Stops threads for a time; fault tests use it in place of stopping the process.
pub struct Gate {
    clock: Arc<dyn Clock>,
    until: Mutex<Time>,
}

impl Gate {
    /// Makes an open gate.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let until = Mutex::new(Time::ZERO);
        Self { clock, until }
    }

    /// Closes the gate for `duration`.
    pub fn pause(&self, duration: Duration) {
        let end = self.clock.now() + duration;
        let mut until = self.until.lock();
        *until = end.max(*until);
    }

    /// Returns how much longer the gate is closed.
    pub fn left(&self) -> Option<Duration> {
        let until = *self.until.lock();
        let left = until.checked_sub(self.clock.now())?;
        (!left.is_zero()).then_some(left)
    }

    /// Waits until the gate is open, on a thread that may block.
    pub fn pass(&self) {
        while let Some(left) = self.left() {
            std::thread::sleep(left);
        }
    }
}
