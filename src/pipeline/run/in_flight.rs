//! What is in progress for the current stage.

use crate::clock::Time;
use crate::{id, policy};

/// A call that was sent and has not ended.
#[derive(Clone, Debug)]
pub(super) struct InFlightCall {
    pub attempt: id::Attempt,
    pub pick: policy::Pick,
    pub sent_at: Time,
    /// When the call times out.
    pub expires_at: Time,
    /// When a hedged attempt may be sent.
    pub hedge_at: Option<Time>,
    /// Whether this call is the hedged attempt.
    pub is_hedge: bool,
}

impl InFlightCall {
    pub fn next_wake(&self) -> Time {
        self.hedge_at
            .map_or(self.expires_at, |at| at.min(self.expires_at))
    }
}

/// A stage that waits in its pool's queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub attempt: id::Attempt,
    /// When to check whether it can still finish in time.
    pub check_at: Time,
}

/// A remainder that runs at another daemon.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relocation {
    /// The first attempt number that the other daemon may use.
    pub attempt: id::Attempt,
    /// Whether it contains a non-repeatable stage.
    pub has_non_repeatable: bool,
}
