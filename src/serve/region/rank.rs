//! Ranks the daemons of a region: the first one plans. Every daemon computes the same order.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;
use crate::serve::carrier::Carrier;

/// How long an unreachable daemon is skipped the first time. All requests are planned again when
/// the planner changes, so a daemon that is lost repeatedly is skipped longer each time.
const BASE_BACKOFF: Duration = Duration::from_millis(1_500);
/// How often the backoff doubles at most.
const MAX_DOUBLINGS: u32 = 3;
/// How long after its backoff a daemon has to be reachable to reset it.
const BACKOFF_RESET_TIME: Duration = Duration::from_secs(15);

event! {
    /// A daemon of the region.
    pub struct Member {
        /// The name of its VM.
        pub name: id::Daemon,
        /// Where it listens for other daemons.
        pub address: SocketAddr,
        /// Where it listens for connections to pass on to endpoints; none if it passes none on.
        pub tunnel_address: Option<SocketAddr>,
        /// When its process started, in milliseconds since the Unix epoch.
        pub born: u64,
        /// Its CPU quota, in thousandths of a core; the largest one ranks first.
        pub cpu_millicores: u32,
    }
}

impl Member {
    /// Returns it as one that passes connections on, if it does.
    pub fn carrier(&self, region: &id::Region) -> Option<Carrier> {
        Some(Carrier {
            name: self.name.clone(),
            address: self.tunnel_address?,
            region: region.clone(),
            cpu_millicores: self.cpu_millicores,
        })
    }
}

/// The daemons of a region, with those that were unreachable or are about to stop.
#[derive(Default)]
pub struct Ranking {
    own: Option<Member>,
    members: IndexMap<id::Daemon, Member>,
    unreachable: IndexMap<id::Daemon, Unreachable>,
    leaving: IndexMap<id::Daemon, Leaving>,
    /// Whether the registered daemons are known.
    is_listed: bool,
}

/// The backoff of a daemon that did not answer.
struct Unreachable {
    /// When the daemon is no longer skipped.
    until: Time,
    /// How often it was lost before without a reset.
    repeats: u32,
}

/// A daemon's process that is about to stop.
struct Leaving {
    /// When the process started; one that is started later is not leaving.
    born: u64,
    /// When this became known.
    since: Time,
}

/// Returns a hash that orders daemons of equal CPU quota; it spreads planning over regions and
/// deployments.
fn rank(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    ("planner", name).hash(&mut hasher);
    hasher.finish()
}

impl Ranking {
    /// Makes a ranking that contains this daemon only.
    pub fn new(own: Member) -> Self {
        Self {
            members: IndexMap::from([(own.name.clone(), own.clone())]),
            own: Some(own),
            unreachable: IndexMap::new(),
            leaving: IndexMap::new(),
            is_listed: false,
        }
    }

    /// Returns whether a name is this daemon's.
    pub fn is_own(&self, name: &id::Daemon) -> bool {
        self.own.as_ref().is_some_and(|own| own.name == *name)
    }

    /// Returns the name of this daemon, if it is one of these.
    pub fn own_name(&self) -> Option<&id::Daemon> {
        self.own.as_ref().map(|own| &own.name)
    }

    /// Returns the number of registered daemons, whether they answer or not.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the registered daemons but this one, whether they answer or not.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        let others = self.members.values();
        others.filter(|member| !self.is_own(&member.name))
    }

    /// Records a daemon that has registered or changed, or removes one that has left for good.
    pub fn apply_member(&mut self, name: &id::Daemon, member: Option<Member>) {
        if self.is_own(name) {
            return;
        }
        match member {
            Some(member) => {
                let previous = self.members.get(name);
                if previous.is_none_or(|previous| previous.born < member.born) {
                    self.unreachable.swap_remove(name);
                    self.members.insert(name.clone(), member);
                }
            }
            None => {
                self.members.swap_remove(name);
            }
        }
    }

    /// Records that a daemon did not answer.
    pub fn set_unreachable(&mut self, member: &Member, now: Time) {
        let previous = self.unreachable.get(&member.name);
        let previous = previous.filter(|unreachable| now < unreachable.until + BACKOFF_RESET_TIME);
        let repeats = previous.map_or(0, |unreachable| {
            (unreachable.repeats + 1).min(MAX_DOUBLINGS)
        });
        let until = now + BASE_BACKOFF * (1 << repeats);
        self.unreachable
            .insert(member.name.clone(), Unreachable { until, repeats });
    }

    /// Records that a daemon is about to stop; it plans only if no other can.
    pub fn set_leaving(&mut self, member: &Member, now: Time) {
        let previous = self.leaving.get(&member.name);
        if previous.is_none_or(|previous| previous.born != member.born) {
            let born = member.born;
            self.leaving
                .insert(member.name.clone(), Leaving { born, since: now });
        }
    }

    /// Records that this daemon is about to stop.
    pub fn set_own_leaving(&mut self, now: Time) {
        if let Some(own) = self.own.clone() {
            self.set_leaving(&own, now);
        }
    }

    /// Records that all registered daemons are known.
    pub fn set_listed(&mut self) {
        self.is_listed = true;
    }

    /// Returns whether the registered daemons are known.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns the first daemon that is not skipped as unreachable; this one never is.
    pub fn first(&self, now: Time) -> Option<Member> {
        let is_reachable = |member: &&Member| {
            let unreachable = self.unreachable.get(&member.name);
            self.is_own(&member.name)
                || unreachable.is_none_or(|unreachable| now >= unreachable.until)
        };
        let order = |member: &&Member| {
            let leaving = self.leaving.get(&member.name);
            // Of several leaving daemons, the last to leave is preferred: it stops last.
            let leaving_since = leaving
                .filter(|leaving| leaving.born == member.born)
                .map(|leaving| Reverse(leaving.since));
            (
                leaving_since,
                Reverse(member.cpu_millicores),
                rank(&member.name),
            )
        };
        self.members
            .values()
            .filter(is_reachable)
            .min_by_key(order)
            .cloned()
    }
}

#[cfg(test)]
mod tests;
