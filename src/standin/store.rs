//! The rate-limited weight store that stand-in engines load from.

use std::time::Duration;

use parking_lot::Mutex;

use crate::clock::Time;
use crate::id;
use crate::platform::Manifest;
use crate::platform::memory::Weights;

/// A store that serves its readers one after the other, at its rate.
#[derive(Debug, Default)]
pub struct Store {
    weights: Weights,
    manifests: Vec<Manifest>,
    busy_until: Mutex<Time>,
}

impl Store {
    /// Makes a store that has `manifests`.
    pub fn new(manifests: Vec<Manifest>) -> Self {
        Self {
            weights: Weights::new(manifests.clone()),
            manifests,
            busy_until: Mutex::new(Time::ZERO),
        }
    }

    /// Returns the service that lists the versions.
    pub fn weights(&self) -> &Weights {
        &self.weights
    }

    /// Says whether the store has a version.
    pub fn has(&self, version: &str) -> bool {
        self.manifests.iter().any(|m| *m.version == *version)
    }

    /// Reserves the reading of a version and returns when it ends.
    pub fn reserve(&self, version: &id::Version, now: Time) -> Time {
        let found = self.manifests.iter().find(|m| m.version == *version);
        let micros = found.map_or(0, |m| m.bytes.saturating_mul(1_000_000) / m.rate.max(1));
        let mut busy = self.busy_until.lock();
        *busy = (*busy).max(now) + Duration::from_micros(micros);
        *busy
    }
}
