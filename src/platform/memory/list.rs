//! The in-memory list of VMs and weight store.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::no_effect;
use crate::clock::{Clock, Time};
use crate::platform::{Manifest, Result, Vm};

#[derive(Debug, Default)]
struct State {
    lag: Duration,
    outage: bool,
    /// Each version, with the time when it becomes visible.
    versions: VecDeque<(Time, Vec<Vm>)>,
}

/// An in-memory list of VMs, which lags behind.
pub struct Roster {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

impl Roster {
    /// Makes an empty list, whose changes become visible after `lag`.
    pub fn new(clock: Arc<dyn Clock>, lag: Duration) -> Self {
        let state = State {
            lag,
            ..State::default()
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Replaces the list; the change becomes visible after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        self.change(|list| *list = vms);
    }

    /// Changes the newest list; the change becomes visible after the lag.
    pub fn change(&self, edit: impl FnOnce(&mut Vec<Vm>)) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let newest = state.versions.back();
        let mut vms = newest.map(|(_, v)| v.clone()).unwrap_or_default();
        edit(&mut vms);
        let visible_at = now + state.lag;
        state.versions.push_back((visible_at, vms));
    }

    /// Makes all changes so far visible at once.
    pub fn skip_lag(&self) {
        let now = self.clock.now();
        for (visible_at, _) in &mut self.state.lock().versions {
            *visible_at = (*visible_at).min(now);
        }
    }

    /// Sets the lag of later changes.
    pub fn set_lag(&self, lag: Duration) {
        self.state.lock().lag = lag;
    }

    /// Sets whether every read fails.
    pub fn set_outage(&self, outage: bool) {
        self.state.lock().outage = outage;
    }
}

impl crate::platform::Roster for Roster {
    fn list(&self) -> Result<Vec<Vm>> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if state.outage {
            return Err(no_effect("list", "the list is down"));
        }
        while state.versions.len() > 1 && state.versions[1].0 <= now {
            state.versions.pop_front();
        }
        let visible = state
            .versions
            .front()
            .filter(|(visible_at, _)| *visible_at <= now);
        Ok(visible.map(|(_, v)| v.clone()).unwrap_or_default())
    }
}

/// An in-memory weight store.
#[derive(Debug, Default)]
pub struct Weights {
    manifests: Mutex<Vec<Manifest>>,
    outage: Mutex<bool>,
}

impl Weights {
    /// Makes a store with `manifests`.
    pub fn new(manifests: Vec<Manifest>) -> Self {
        Self {
            manifests: Mutex::new(manifests),
            outage: Mutex::new(false),
        }
    }

    /// Replaces the manifests.
    pub fn set(&self, manifests: Vec<Manifest>) {
        *self.manifests.lock() = manifests;
    }

    /// Sets whether every read fails.
    pub fn set_outage(&self, outage: bool) {
        *self.outage.lock() = outage;
    }
}

impl crate::platform::Weights for Weights {
    fn manifests(&self) -> Result<Vec<Manifest>> {
        if *self.outage.lock() {
            return Err(no_effect("manifests", "the weight store is down"));
        }
        Ok(self.manifests.lock().clone())
    }
}
