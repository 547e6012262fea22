//! Which daemon plans for a region. Every daemon computes the same order from the same names.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;

/// How long a daemon that did not answer is passed over at first. All requests are planned anew when
/// the planner changes, so one that fails again and again is passed over longer each time.
const BASE_BACKOFF: Duration = Duration::from_millis(1_500);
/// The longest time, as a power of two of the first.
const MAX_DOUBLINGS: u32 = 3;
/// A daemon that was up for so long is trusted as at first.
const BACKOFF_RESET_TIME: Duration = Duration::from_secs(15);

event! {
    /// A daemon of the region.
    pub struct Member {
        /// The name of its VM.
        pub name: id::Daemon,
        /// Where it takes other daemons' connections.
        pub address: SocketAddr,
        /// When its process started, in milliseconds since the Unix epoch.
        pub born: u64,
        /// Its share of a processor, in thousandths of a core: planning needs the strongest.
        pub cpu_millicores: u32,
    }
}

/// The daemons of a region, and which of them did not answer of late.
#[derive(Default)]
pub struct Ranking {
    own: Option<Member>,
    members: IndexMap<id::Daemon, Member>,
    unreachable: IndexMap<id::Daemon, Unreachable>,
    /// Daemons that are about to stop.
    leaving: IndexMap<id::Daemon, Leaving>,
    /// Whether the registered daemons are known.
    is_listed: bool,
}

/// That a daemon did not answer.
struct Unreachable {
    /// Until when it is passed over.
    until: Time,
    /// How often it was lost before, without a longer time up.
    repeats: u32,
}

/// That a process is about to stop.
struct Leaving {
    /// When the process started: its successor is not leaving.
    born: u64,
    /// When it was heard of.
    since: Time,
}

/// A number that orders daemons; it spreads the duty over regions and deployments.
fn rank(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    ("planner", name).hash(&mut hasher);
    hasher.finish()
}

impl Ranking {
    /// Makes one that knows the daemon itself.
    pub fn new(own: Member) -> Self {
        Self {
            members: IndexMap::from([(own.name.clone(), own.clone())]),
            own: Some(own),
            unreachable: IndexMap::new(),
            leaving: IndexMap::new(),
            is_listed: false,
        }
    }

    /// Returns whether a name is the daemon's own.
    pub fn is_own(&self, name: &id::Daemon) -> bool {
        self.own.as_ref().is_some_and(|own| own.name == *name)
    }

    /// A daemon has registered or has changed; without one, it has left for good.
    pub fn apply_member(&mut self, name: &id::Daemon, member: Option<Member>) {
        if self.is_own(name) {
            return;
        }
        match member {
            Some(member) => {
                let before = self.members.get(name);
                if before.is_none_or(|before| before.born < member.born) {
                    self.unreachable.swap_remove(name);
                    self.members.insert(name.clone(), member);
                }
            }
            None => {
                self.members.swap_remove(name);
            }
        }
    }

    /// A daemon did not answer.
    pub fn set_unreachable(&mut self, member: &Member, now: Time) {
        let before = self.unreachable.get(&member.name);
        let before = before.filter(|loss| now < loss.until + BACKOFF_RESET_TIME);
        let again = before.map_or(0, |loss| (loss.repeats + 1).min(MAX_DOUBLINGS));
        let until = now + BASE_BACKOFF * (1 << again);
        self.unreachable.insert(
            member.name.clone(),
            Unreachable {
                until,
                repeats: again,
            },
        );
    }

    /// A daemon is about to stop; it plans only if no other can.
    pub fn set_leaving(&mut self, member: &Member, now: Time) {
        let before = self.leaving.get(&member.name);
        if before.is_none_or(|before| before.born != member.born) {
            let born = member.born;
            self.leaving
                .insert(member.name.clone(), Leaving { born, since: now });
        }
    }

    /// The daemon itself is about to stop.
    pub fn set_own_leaving(&mut self, now: Time) {
        if let Some(own) = self.own.clone() {
            self.set_leaving(&own, now);
        }
    }

    /// All registered daemons were told of.
    pub fn set_listed(&mut self) {
        self.is_listed = true;
    }

    /// Returns whether the registered daemons are known.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns the first daemon that is not known to be down; the daemon itself never is.
    pub fn first(&self, now: Time) -> Option<Member> {
        let up = |member: &&Member| {
            let loss = self.unreachable.get(&member.name);
            self.is_own(&member.name) || loss.is_none_or(|loss| now >= loss.until)
        };
        let order = |member: &&Member| {
            let leave = self.leaving.get(&member.name);
            // Of those that leave, the last one stays longest, and the others get to restart.
            let left = leave
                .filter(|leave| leave.born == member.born)
                .map(|leave| Reverse(leave.since));
            (left, Reverse(member.cpu_millicores), rank(&member.name))
        };
        self.members.values().filter(up).min_by_key(order).cloned()
    }
}

#[cfg(test)]
mod tests;
