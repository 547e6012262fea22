//! The fold of the control stream: who holds each lease, and the plans made under it.
//!
//! It compares records with each other and looks at no clock. Whether a lease is still valid is
//! the concern of its holder and successors, each by its own clock.

use indexmap::IndexMap;

use super::record::{Acquire, Body, Plan, Record, Renew};
use crate::{id, platform};

/// Leases that are remembered at most.
const MAX_LEASES: usize = 1_024;
/// Plans that are remembered at most.
const MAX_PLANS: usize = 4_096;

event! {
    /// A lease as the log has it.
    pub struct Lease {
        /// The daemon that acquired it last; none after a release.
        pub holder: Option<id::Daemon>,
        /// The offset of the record that acquired it.
        pub fence: id::Fence,
        /// The offset of the last accepted record on it.
        pub last_offset: id::Offset,
        /// Milliseconds that others must wait after they read the last record.
        pub duration_ms: u64,
    }

    /// What a record did.
    pub struct Step {
        /// Its offset.
        pub offset: id::Offset,
        /// The record, if it could be read.
        pub record: Option<Record>,
        /// Whether it was accepted.
        pub is_accepted: bool,
    }
}

/// The folded control stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fold {
    first_offset: id::Offset,
    next_offset: id::Offset,
    leases: IndexMap<id::Name, Lease>,
    /// The last record on a lease whose acquiring record is older than `first`.
    uncertain: IndexMap<id::Name, id::Offset>,
    plans: IndexMap<(id::Name, id::Pool), Plan>,
}

impl Fold {
    /// Makes the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// The offset of the next record to fold.
    pub fn next_offset(&self) -> id::Offset {
        self.next_offset
    }

    /// A lease, if a record of it was folded.
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// All leases.
    pub fn leases(&self) -> impl Iterator<Item = (&id::Name, &Lease)> {
        self.leases.iter()
    }

    /// The plan of a pool under a lease.
    pub fn plan(&self, lease: &str, pool: &str) -> Option<&Plan> {
        self.plans.get(&(lease.into(), pool.into()))
    }

    /// All plans.
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values()
    }

    /// Folds a page; starts anew at the first retained record when records are missing.
    pub fn apply_page(&mut self, page: &platform::Page) -> Vec<Step> {
        if page.first > self.next_offset {
            *self = Self {
                first_offset: page.first,
                next_offset: page.first,
                ..Self::default()
            };
        }
        let mut steps = Vec::new();
        for record in &page.records {
            if record.offset == self.next_offset {
                self.next_offset += 1;
                steps.push(self.apply(record));
            }
        }
        steps
    }

    fn apply(&mut self, record: &platform::Record) -> Step {
        let decoded: Option<Record> = serde_json::from_slice(&record.body).ok();
        let is_accepted = decoded
            .as_ref()
            .is_some_and(|r| self.accept(r, record.offset));
        if let Some(decoded) = &decoded {
            self.note_uncertain(decoded.body.lease(), record.offset);
        }
        Step {
            offset: record.offset,
            record: decoded,
            is_accepted,
        }
    }

    fn accept(&mut self, record: &Record, offset: id::Offset) -> bool {
        match &record.body {
            Body::Acquire(acquire) => self.acquire(acquire, &record.daemon, offset),
            Body::Renew(renew) => self.renew(renew, &record.daemon, offset),
            Body::Release(release) => match self.leases.get_mut(release.lease.as_str()) {
                Some(lease) if lease.is_held_by(&record.daemon, release.fence) => {
                    lease.holder = None;
                    lease.last_offset = offset;
                    true
                }
                _ => false,
            },
            Body::Plan(plan) => self.accept_plan(plan, &record.daemon),
        }
    }

    /// Whether the state of a lease rests on records that were read, and not on a renewal alone.
    fn is_certain(&self, name: &str) -> bool {
        self.first_offset == 0
            || self
                .leases
                .get(name)
                .is_some_and(|l| l.fence >= self.first_offset)
    }

    /// Notes a record on a lease that is not known for sure: it may have been accepted.
    fn note_uncertain(&mut self, name: &str, offset: id::Offset) {
        if self.is_certain(name) {
            self.uncertain.shift_remove(name);
        } else if self.uncertain.len() < MAX_LEASES {
            self.uncertain.insert(name.into(), offset);
        }
    }

    fn acquire(&mut self, acquire: &Acquire, daemon: &str, offset: id::Offset) -> bool {
        // Who began to read after `base` cannot know what was written to the lease in between;
        // the next renewal tells it the holder.
        let is_known = acquire.base >= self.first_offset;
        let name = acquire.lease.as_str();
        let lease = self.leases.get(name).map(|l| l.last_offset);
        let last = lease.max(self.uncertain.get(name).copied());
        let is_unchanged = last.is_none_or(|last| last < acquire.base);
        let is_full = lease.is_none() && self.leases.len() >= MAX_LEASES;
        if !is_known || !is_unchanged || acquire.base > offset || is_full {
            return false;
        }
        let lease = Lease {
            holder: Some(daemon.into()),
            fence: offset,
            last_offset: offset,
            duration_ms: acquire.duration_ms,
        };
        self.leases.insert(acquire.lease.as_str().into(), lease);
        true
    }

    fn renew(&mut self, renew: &Renew, daemon: &str, offset: id::Offset) -> bool {
        if renew.fence > offset {
            return false;
        }
        let name = renew.lease.as_str();
        let known = self.leases.get(name).map(|l| l.fence);
        // Only a holder renews, and a later token is the later holder's.
        if !self.is_certain(name) && known.is_none_or(|known| known < renew.fence) {
            let lease = Lease {
                holder: Some(daemon.into()),
                fence: renew.fence,
                last_offset: offset,
                duration_ms: renew.duration_ms,
            };
            self.leases.insert(name.into(), lease);
            return true;
        }
        match self.leases.get_mut(name) {
            Some(lease) if lease.is_held_by(daemon, renew.fence) => {
                lease.last_offset = offset;
                lease.duration_ms = renew.duration_ms;
                true
            }
            _ => false,
        }
    }

    fn accept_plan(&mut self, plan: &Plan, daemon: &str) -> bool {
        let lease = self.leases.get(plan.lease.as_str());
        if !lease.is_some_and(|l| l.is_held_by(daemon, plan.fence)) {
            return false;
        }
        let key = (plan.lease.as_str().into(), plan.pool.as_str().into());
        if self.plans.len() >= MAX_PLANS && !self.plans.contains_key(&key) {
            return false;
        }
        self.plans.insert(key, plan.clone());
        true
    }
}

impl Lease {
    /// Says whether `daemon` holds the lease with this fencing token.
    pub fn is_held_by(&self, daemon: &str, fence: id::Fence) -> bool {
        self.holder.as_deref() == Some(daemon) && self.fence == fence
    }
}
