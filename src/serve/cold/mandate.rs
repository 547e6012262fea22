//! Whether this daemon alone plans for its region.
//!
//! Several daemons may rank themselves first while some of them are cut off, slow or only starting. Each
//! daemon has one other plan for it at a time, so no two are followed by more than half of the region for long.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;

/// How long after its last ping a daemon counts as one that follows: a daemon that finds another planner has
/// not got an answer for 300 ms before, and busy daemons ping late.
const FOLLOW_TIME: Duration = Duration::from_millis(500);
/// How long a planner has to be followed by most daemons before it sends anything to cold endpoints. No three
/// planners send in one second: the first has sent up to `FOLLOW_TIME` after its followers left, and the
/// third is followed for this time after they left the second.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_500);

/// Which daemons have this one plan for them.
#[derive(Default)]
pub struct Mandate {
    followers: IndexMap<id::Daemon, Time>,
    /// Since when most daemons follow.
    since: Option<Time>,
    updated_at: Time,
}

impl Mandate {
    /// Records that another daemon has this one plan.
    pub fn follow(&mut self, daemon: &id::Daemon, now: Time) {
        self.followers.insert(daemon.clone(), now);
    }

    /// Records whether this daemon ranks first in its region, which has that many daemons.
    pub fn set_rank(&mut self, is_first: bool, daemons: usize, now: Time) {
        // A process that was suspended cannot tell who followed meanwhile.
        if now >= self.updated_at + FOLLOW_TIME {
            self.since = None;
        }
        self.updated_at = now;
        self.followers.retain(|_, at| now < *at + FOLLOW_TIME);
        let has_most = (self.followers.len() + 1) * 2 > daemons;
        self.since = (is_first && has_most).then(|| self.since.unwrap_or(now));
    }

    /// Returns whether this daemon may send requests to cold endpoints.
    pub fn holds(&self, now: Time) -> bool {
        let is_current = now < self.updated_at + FOLLOW_TIME;
        is_current && self.since.is_some_and(|since| now >= since + TAKEOVER_TIME)
    }
}
