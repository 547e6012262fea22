//! The fold of the control stream: the holder of each lease and the plans made under it.
//!
//! It compares records with each other and uses no clock. The holder and its successors decide by
//! their own clocks whether a lease is still valid.

use indexmap::IndexMap;

use super::record::{Acquire, Body, Plan, Record, Renew};
use crate::{id, platform};

/// Maximum number of leases.
const MAX_LEASES: usize = 1_024;
/// Maximum number of plans.
const MAX_PLANS: usize = 4_096;

event! {
    /// A lease, as recorded in the log.
    pub struct Lease {
        /// Daemon that acquired the lease last; none after a release.
        pub holder: Option<id::Daemon>,
        /// Offset of the acquiring record, which is the fencing token.
        pub fence: id::Fence,
        /// Offset of the last accepted record.
        pub last_offset: id::Offset,
        /// Milliseconds that successors must wait after they read the last record.
        pub duration_ms: u64,
    }

    /// Effect of a record.
    pub struct Step {
        /// Offset of the record.
        pub offset: id::Offset,
        /// Record, if it could be decoded.
        pub record: Option<Record>,
        /// Whether the record was accepted.
        pub is_accepted: bool,
    }
}

/// The folded control stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fold {
    first_offset: id::Offset,
    next_offset: id::Offset,
    leases: IndexMap<id::Name, Lease>,
    /// Last record on each lease whose acquiring record is older than `first_offset`.
    uncertain: IndexMap<id::Name, id::Offset>,
    plans: IndexMap<(id::Name, id::Pool), Plan>,
}

impl Fold {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> id::Offset {
        self.next_offset
    }

    /// Returns a lease, if a record of it was applied.
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// Returns all leases.
    pub fn leases(&self) -> impl Iterator<Item = (&id::Name, &Lease)> {
        self.leases.iter()
    }

    /// Returns the plan of a pool under a lease.
    pub fn plan(&self, lease: &str, pool: &str) -> Option<&Plan> {
        self.plans.get(&(lease.into(), pool.into()))
    }

    /// Returns all plans.
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values()
    }

    /// Applies a page; restarts from the first retained record when records are missing.
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

    /// Returns whether the acquiring record of a lease was read, and not just a renewal.
    fn is_certain(&self, name: &str) -> bool {
        self.first_offset == 0
            || self
                .leases
                .get(name)
                .is_some_and(|l| l.fence >= self.first_offset)
    }

    /// Notes a record on an uncertain lease: it may have been accepted.
    fn note_uncertain(&mut self, name: &str, offset: id::Offset) {
        if self.is_certain(name) {
            self.uncertain.shift_remove(name);
        } else if self.uncertain.len() < MAX_LEASES {
            self.uncertain.insert(name.into(), offset);
        }
    }

    fn acquire(&mut self, acquire: &Acquire, daemon: &str, offset: id::Offset) -> bool {
        // A fold that starts after `base` cannot know what was written to the lease in between;
        // it learns the holder from the next renewal.
        let is_base_read = acquire.base >= self.first_offset;
        let name = acquire.lease.as_str();
        let lease = self.leases.get(name).map(|l| l.last_offset);
        let last = lease.max(self.uncertain.get(name).copied());
        let is_unchanged = last.is_none_or(|last| last < acquire.base);
        let is_full = lease.is_none() && self.leases.len() >= MAX_LEASES;
        if !is_base_read || !is_unchanged || acquire.base > offset || is_full {
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
        // Only a holder renews, and a higher fencing token belongs to a later holder.
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
    /// Returns whether `daemon` holds the lease with this fencing token.
    pub fn is_held_by(&self, daemon: &str, fence: id::Fence) -> bool {
        self.holder.as_deref() == Some(daemon) && self.fence == fence
    }
}
