//! Tests of orders, upgrades and role changes with fake engines.

mod reconcile;
mod role;
mod upgrade;

use std::time::Duration;

use crate::clock::Time;
use crate::endpoint::{Load, Order, State};
use crate::id;

const SECOND: Time = Duration::from_secs(1);

/// An engine whose loads take `load_time`.
#[derive(Clone, Debug)]
struct FakeEngine {
    checks_fencing: bool,
    fence: Option<id::Fence>,
    versions: Vec<id::Version>,
    role: Option<id::Name>,
    loading: Option<(Vec<id::Version>, Time)>,
    load_time: Duration,
    running: u32,
    fails_loads: bool,
    applied_fences: Vec<id::Fence>,
}

impl FakeEngine {
    fn new(version: &str, checks_fencing: bool, load_time: Duration) -> Self {
        Self {
            checks_fencing,
            fence: None,
            versions: vec![version.into()],
            role: None,
            loading: None,
            load_time,
            running: 0,
            fails_loads: false,
            applied_fences: Vec::new(),
        }
    }

    /// Applies an order; returns whether it was accepted.
    fn apply(&mut self, order: &Order, now: Time) -> bool {
        if self.checks_fencing {
            if self.fence.is_some_and(|seen| order.fence < seen) {
                return false;
            }
            self.fence = Some(order.fence);
        }
        self.applied_fences.push(order.fence);
        if order.role.is_some() {
            self.role.clone_from(&order.role);
        }
        let is_same = self.versions == order.versions && self.loading.is_none();
        if !is_same {
            self.versions.clear();
            self.loading = Some((order.versions.clone(), now + self.load_time));
        }
        true
    }

    fn state(&mut self, now: Time) -> State {
        if let Some((versions, _)) = self.loading.take_if(|(_, at)| now >= *at)
            && !self.fails_loads
        {
            self.versions = versions;
        }
        let loading = self.loading.as_ref().map(|(v, _)| v.clone());
        State {
            fence: self.fence,
            versions: self.versions.clone(),
            loading: loading.unwrap_or_default(),
            role: self.role.clone(),
        }
    }

    fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: 0,
            cache_free: 1.0,
            versions: self.versions.clone(),
            role: self.role.clone(),
        }
    }
}
