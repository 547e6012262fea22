//! How far a daemon has followed the platform's store, and how far its region's planner has.
//!
//! Calls to the store are priced, and most of them say that nothing has changed. The planner says so
//! to the others at each ping, so that they read the store only when there is something to read, or
//! when the planner cannot vouch. See [the design note](../../docs/design/fleet.md).

use std::cell::RefCell;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;

/// How old the planner's knowledge may be that replaces a read of one's own. Its reads wait a second;
/// a planner that is cut off without a sign holds up changes by this much, of the 2.5 s within which
/// they have to be in force.
const FRESH: Duration = Duration::from_millis(1_400);

token! {
    /// What is followed in the store.
    pub enum Topic {
        /// The configuration.
        Catalog,
        /// The endpoints.
        Endpoints,
    }

    /// How far a topic is known.
    pub struct Mark {
        /// The offset after the last record that changed something.
        pub change: u64,
        /// Everything that was written before this time is known.
        pub at: Time,
    }
}

/// The marks of a daemon and of its planner.
#[derive(Default)]
pub struct Board {
    own: RefCell<IndexMap<Topic, Mark>>,
    vouched: RefCell<IndexMap<Topic, Mark>>,
}

impl Board {
    /// The daemon itself has read the store this far.
    pub fn read(&self, topic: Topic, mark: Mark) {
        self.own.borrow_mut().insert(topic, mark);
    }

    /// The daemon itself cannot read the store: it vouches for nothing until it can.
    pub fn lost(&self, topic: Topic) {
        self.own.borrow_mut().swap_remove(&topic);
    }

    /// The planner has read the store this far, and can say nothing of topics that are left out.
    pub fn vouch(&self, marks: impl IntoIterator<Item = (Topic, Mark)>) {
        *self.vouched.borrow_mut() = marks.into_iter().collect();
    }

    /// Returns how far the daemon itself has read, with the age of each mark.
    pub fn ages(&self, now: Time) -> Vec<(Topic, u64, Duration)> {
        let own = self.own.borrow();
        let age = |mark: &Mark| now.saturating_sub(mark.at);
        own.iter()
            .map(|(topic, mark)| (*topic, mark.change, age(mark)))
            .collect()
    }

    /// Returns the planner's mark while it is fresh.
    pub fn vouched(&self, topic: Topic, now: Time) -> Option<Mark> {
        let mark = self.vouched.borrow().get(&topic).copied()?;
        (now.saturating_sub(mark.at) <= FRESH).then_some(mark)
    }
}

#[cfg(test)]
mod tests;
