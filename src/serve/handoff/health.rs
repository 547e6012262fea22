//! Tells whether this daemon can write to the log, so that others may have to.

use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::{Clock, Time};

/// The time after which a call is slow. One from another region takes up to 60 ms, and a daemon with a CPU quota may be
/// throttled meanwhile.
const SLOW_CALL: Duration = Duration::from_millis(120);
/// How long a log is doubted after a call that failed or was slow, unless one succeeds in time.
const DOUBT_TIME: Duration = Duration::from_secs(1);

/// What the calls of a daemon show of its log.
#[derive(Debug, Default)]
pub struct Doubt {
    /// The calls under way that are slow.
    slow_calls: usize,
    /// When the last call failed, or was slow; none if one has succeeded in time since.
    failed_at: Option<Time>,
}

impl Doubt {
    /// Records that a call under way is slow.
    pub fn begin_slow(&mut self) {
        self.slow_calls += 1;
    }

    /// Records that a slow call has ended, or was given up.
    pub fn end_slow(&mut self, now: Time) {
        self.slow_calls = self.slow_calls.saturating_sub(1);
        self.failed_at = Some(now);
    }

    /// Records that a call failed.
    pub fn fail(&mut self, now: Time) {
        self.failed_at = Some(now);
    }

    /// Records that a call succeeded in time.
    pub fn succeed(&mut self) {
        self.failed_at = None;
    }

    /// Returns whether what is written now may not get to the log.
    pub fn is_doubtful(&self, now: Time) -> bool {
        let has_failed = |failed_at| now.saturating_sub(failed_at) < DOUBT_TIME;
        self.slow_calls > 0 || self.failed_at.is_some_and(has_failed)
    }
}

/// Watches the calls of a daemon that write to its log.
pub struct Health {
    doubt: RefCell<Doubt>,
    woken: Notify,
    clock: Rc<dyn Clock>,
}

impl Health {
    /// Makes the health of a log that has not been used.
    pub fn new(clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            doubt: RefCell::default(),
            woken: Notify::new(),
            clock,
        })
    }

    /// Makes a call that writes to the log.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn watch<T, E>(&self, call: impl Future<Output = Result<T, E>>) -> Result<T, E> {
        let mut call = pin!(call);
        if let Ok(result) = timeout(SLOW_CALL, &mut call).await {
            match &result {
                Ok(_) => self.doubt.borrow_mut().succeed(),
                Err(_) => self.doubt.borrow_mut().fail(self.clock.now()),
            }
            self.wake();
            return result;
        }
        let _slow = SlowCall::begin(self);
        call.await
    }

    /// Returns whether what is written now may not get to the log.
    pub fn is_doubtful(&self) -> bool {
        self.doubt.borrow().is_doubtful(self.clock.now())
    }

    /// Wakes whoever waits for something to do about a log in doubt.
    pub fn wake(&self) {
        self.woken.notify_one();
    }

    /// Waits until there may be something to do.
    pub async fn woken(&self) {
        self.woken.notified().await;
    }
}

/// A slow call, which may be dropped before its end.
struct SlowCall<'a>(&'a Health);

impl<'a> SlowCall<'a> {
    fn begin(health: &'a Health) -> Self {
        health.doubt.borrow_mut().begin_slow();
        health.wake();
        Self(health)
    }
}

impl Drop for SlowCall<'_> {
    fn drop(&mut self) {
        let now = self.0.clock.now();
        self.0.doubt.borrow_mut().end_slow(now);
    }
}
