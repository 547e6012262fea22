//! The versions and the role of a stand-in engine, and the orders that change them.

use parking_lot::Mutex;

use crate::clock::Time;
use crate::endpoint::{Order, State};
use crate::id;
use crate::standin::store::Store;

struct Inner {
    checks_fencing: bool,
    fence: Option<id::Fence>,
    versions: Vec<id::Version>,
    loading: Vec<(id::Version, Time)>,
    role: Option<id::Name>,
}

impl Inner {
    fn settle(&mut self, now: Time) {
        let (ready, loading) = std::mem::take(&mut self.loading)
            .into_iter()
            .partition(|(_, due)| *due <= now);
        self.loading = loading;
        let ready: Vec<(id::Version, Time)> = ready;
        self.versions.extend(ready.into_iter().map(|(v, _)| v));
    }

    fn is_known(&self, version: &id::Version) -> bool {
        self.versions.contains(version) || self.loading.iter().any(|(v, _)| v == version)
    }
}

/// What an engine has loaded.
pub(super) struct Model(Mutex<Inner>);

impl Model {
    pub(super) fn new(versions: Vec<id::Version>, checks_fencing: bool) -> Self {
        Self(Mutex::new(Inner {
            checks_fencing,
            fence: None,
            versions,
            loading: Vec::new(),
            role: None,
        }))
    }

    /// Takes an order, unless it is old and this engine checks.
    pub(super) fn order(
        &self,
        order: &Order,
        store: &Store,
        now: Time,
    ) -> Result<(), &'static str> {
        let mut inner = self.0.lock();
        inner.settle(now);
        if inner.checks_fencing {
            if inner.fence.is_some_and(|f| order.fence < f) {
                return Err("the fencing token is old");
            }
            inner.fence = Some(order.fence);
        }
        inner.versions.retain(|v| order.versions.contains(v));
        inner.loading.retain(|(v, _)| order.versions.contains(v));
        for version in &order.versions {
            if !inner.is_known(version) {
                let due = store.reserve(version, now);
                inner.loading.push((version.clone(), due));
            }
        }
        if order.role.is_some() {
            inner.role.clone_from(&order.role);
        }
        Ok(())
    }

    pub(super) fn state(&self, now: Time) -> State {
        let mut inner = self.0.lock();
        inner.settle(now);
        State {
            fence: inner.fence,
            versions: inner.versions.clone(),
            loading: inner.loading.iter().map(|(v, _)| v.clone()).collect(),
            role: inner.role.clone(),
        }
    }

    /// Returns the version that answers a call which asks for `wanted`.
    pub(super) fn choose(
        &self,
        wanted: Option<&id::Version>,
        now: Time,
    ) -> Result<Option<id::Version>, &'static str> {
        let versions = self.state(now).versions;
        match wanted {
            None => Ok(versions.last().cloned()),
            Some(version) if versions.contains(version) => Ok(Some(version.clone())),
            Some(_) => Err("the version is not loaded"),
        }
    }
}
