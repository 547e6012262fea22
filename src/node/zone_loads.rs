//! Tells daemons of other availability zones how the pools of this one are loaded.
//!
//! Each daemon tells a few others every two seconds, chosen at random, so that the cost does not grow
//! with the fleet. See [the design note](../../docs/design/policy.md).

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::control::Control;
use crate::daemon::Daemon;
use crate::id;
use crate::peer::{Handler, Link, Topic};
use crate::policy::Observation;
use crate::route::zone::Load;

/// How often zone loads are sent.
const EVERY: Duration = Duration::from_secs(2);
/// How often the thread looks whether it should stop.
const LOOK: Duration = Duration::from_millis(50);
/// Daemons that are told each time.
const FANOUT: usize = 2;
/// How long a daemon may take to hear it.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Tells others.
pub struct Teller {
    pub(super) daemon: Arc<Daemon>,
    pub(super) control: Arc<Control>,
    pub(super) zone: id::Zone,
    pub(super) rng: ChaCha8Rng,
}

impl Teller {
    /// Makes a teller whose choices follow from `seed`.
    pub fn new(daemon: Arc<Daemon>, control: Arc<Control>, zone: &str, seed: u64) -> Self {
        Self {
            daemon,
            control,
            zone: zone.into(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sends zone loads until `stop` is set.
    pub fn run(mut self, stop: &AtomicBool) {
        let mut waited = Duration::ZERO;
        while !stop.load(Ordering::Acquire) {
            std::thread::sleep(LOOK);
            waited += LOOK;
            if waited >= EVERY {
                waited = Duration::ZERO;
                self.tell();
            }
        }
    }

    fn tell(&mut self) {
        let loads = self.daemon.zone_loads();
        let Ok(body) = serde_json::to_vec(&loads) else {
            return;
        };
        let live = self.control.live();
        let elsewhere: Vec<&str> = live
            .iter()
            .filter(|peer| peer.zone != self.zone)
            .map(|peer| peer.address.as_str())
            .collect();
        for address in elsewhere.sample(&mut self.rng, FANOUT) {
            // A daemon that does not hear it hears the next one.
            drop(
                self.daemon
                    .net()
                    .ask(address, Topic::Digest, &body, TIMEOUT),
            );
        }
    }
}

/// Hears others.
pub struct Listener {
    daemon: Weak<Daemon>,
}

impl Listener {
    /// Passes zone loads on to the policy of `daemon`.
    pub fn new(daemon: &Arc<Daemon>) -> Self {
        Self {
            daemon: Arc::downgrade(daemon),
        }
    }
}

impl Handler for Listener {
    fn handle(&self, _from: &id::Daemon, body: &[u8]) -> Result<Vec<u8>, String> {
        let loads: Vec<Load> = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        if let Some(daemon) = self.daemon.upgrade() {
            for load in loads {
                daemon.observe(&Observation::ZoneLoad(load));
            }
        }
        Ok(Vec::new())
    }
}
