//! Decides which daemons are asked to write for one that cannot, and in which order.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;
use crate::serve::region::Member;

/// How long a daemon that did not answer is asked after all others. Daemons that were lost stay registered.
const FAILURE_TIME: Duration = Duration::from_secs(5);
/// How long a daemon that could not write either is asked only to keep what it gets.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// The most daemons that are tried in that time. More of them cannot write only when the log is away, and asking all
/// daemons would flood them.
const MAX_TRIED: usize = 8;

event! {
    /// A daemon that may be asked.
    pub struct Candidate {
        /// The daemon.
        pub member: Member,
        /// Whether this daemon has heard from it of late.
        pub is_heard: bool,
    }
}

/// The order in which daemons are asked.
#[derive(Debug, Default)]
pub struct Order {
    /// The daemon that was the last to write something.
    last_writer: Option<id::Daemon>,
    /// When daemons that answered could not write.
    idle: IndexMap<id::Daemon, Time>,
    /// When daemons did not answer.
    failures: IndexMap<id::Daemon, Time>,
}

fn is_recent(times: &IndexMap<id::Daemon, Time>, name: &str, length: Duration, now: Time) -> bool {
    times.get(name).is_some_and(|at| now < *at + length)
}

impl Order {
    /// Returns the daemons to ask until one can write: first the one that has done so last, then those that live. When
    /// those that were tried of late cannot write, only as many as have to keep it.
    pub fn choose(&self, mut candidates: Vec<Candidate>, holders: usize, now: Time) -> Vec<Member> {
        candidates.sort_by_key(|Candidate { member, is_heard }| {
            let name = &*member.name;
            let has_failed = is_recent(&self.failures, name, FAILURE_TIME, now);
            let is_idle = is_recent(&self.idle, name, IDLE_TIME, now);
            let is_last_writer = self.last_writer.as_deref() == Some(name);
            (has_failed, is_idle, !is_last_writer, !is_heard)
        });
        let idle = self.idle.values();
        let tried = idle.filter(|at| now < **at + IDLE_TIME).count();
        let count = holders + MAX_TRIED.saturating_sub(tried);
        let members = candidates.into_iter().take(count);
        members.map(|candidate| candidate.member).collect()
    }

    /// Records that a daemon has written what it was asked to.
    pub fn wrote(&mut self, name: &id::Daemon) {
        self.last_writer = Some(name.clone());
        self.idle.swap_remove(name);
        self.failures.swap_remove(name);
    }

    /// Records that a daemon keeps what it could not write yet.
    pub fn kept(&mut self, name: &id::Daemon, now: Time) {
        self.idle.retain(|_, at| now < *at + IDLE_TIME);
        self.idle.insert(name.clone(), now);
        self.failures.swap_remove(name);
    }

    /// Records that a daemon did not answer.
    pub fn failed(&mut self, name: &id::Daemon, now: Time) {
        self.failures.retain(|_, at| now < *at + FAILURE_TIME);
        self.failures.insert(name.clone(), now);
    }
}
