//! The list of VMs and the weight store in memory.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::no_effect;
use crate::clock::{Clock, Time};
use crate::platform::{Manifest, Result, Vm};

#[derive(Debug, Default)]
struct Lists {
    lag: Duration,
    outage: bool,
    /// Each list and when readers see it.
    versions: VecDeque<(Time, Vec<Vm>)>,
}

/// A list of VMs in memory, which lags.
pub struct Roster {
    clock: Arc<dyn Clock>,
    state: Mutex<Lists>,
}

impl Roster {
    /// Makes an empty list that shows each change after `lag`.
    pub fn new(clock: Arc<dyn Clock>, lag: Duration) -> Self {
        let state = Lists {
            lag,
            ..Lists::default()
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Replaces the list; readers see it after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        self.change(|list| *list = vms);
    }

    /// Changes the newest list; readers see it after the lag.
    pub fn change(&self, edit: impl FnOnce(&mut Vec<Vm>)) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let newest = state.versions.back();
        let mut vms = newest.map(|(_, v)| v.clone()).unwrap_or_default();
        edit(&mut vms);
        let due = now + state.lag;
        state.versions.push_back((due, vms));
    }

    /// Shows the newest list at once, as if it had stood for long.
    pub fn skip_lag(&self) {
        let now = self.clock.now();
        for (due, _) in &mut self.state.lock().versions {
            *due = (*due).min(now);
        }
    }

    /// Changes the lag of later changes.
    pub fn set_lag(&self, lag: Duration) {
        self.state.lock().lag = lag;
    }

    /// Makes every read fail, or work again.
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
        let seen = state.versions.front().filter(|(due, _)| *due <= now);
        Ok(seen.map(|(_, v)| v.clone()).unwrap_or_default())
    }
}

/// A weight store in memory.
#[derive(Debug, Default)]
pub struct Weights {
    manifests: Mutex<Vec<Manifest>>,
    outage: Mutex<bool>,
}

impl Weights {
    /// Makes a store that has `manifests`.
    pub fn new(manifests: Vec<Manifest>) -> Self {
        Self {
            manifests: Mutex::new(manifests),
            outage: Mutex::new(false),
        }
    }

    /// Replaces what the store has.
    pub fn set(&self, manifests: Vec<Manifest>) {
        *self.manifests.lock() = manifests;
    }

    /// Makes every read fail, or work again.
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
