//! Sends the load of this availability zone's pools to daemons of other zones.
//!
//! Every two seconds, each daemon sends it to a few random others, so that its cost does not grow
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

/// The interval at which zone loads are sent.
const SEND_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between checks of `stop`.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The number of daemons that are sent the loads in each round.
const FANOUT: usize = 2;
/// The timeout of sending to one daemon.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends zone loads to other daemons.
pub struct Sender {
    pub(super) daemon: Arc<Daemon>,
    pub(super) control: Arc<Control>,
    pub(super) zone: id::Zone,
    pub(super) rng: ChaCha8Rng,
}

impl Sender {
    /// Returns a sender whose random choices follow from `seed`.
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
        let mut since_sent = Duration::ZERO;
        while !stop.load(Ordering::Acquire) {
            std::thread::sleep(STOP_POLL_INTERVAL);
            since_sent += STOP_POLL_INTERVAL;
            if since_sent >= SEND_INTERVAL {
                since_sent = Duration::ZERO;
                self.send();
            }
        }
    }

    fn send(&mut self) {
        let loads = self.daemon.zone_loads();
        let Ok(body) = serde_json::to_vec(&loads) else {
            return;
        };
        let live = self.control.live();
        let addresses: Vec<&str> = live
            .iter()
            .filter(|peer| peer.zone != self.zone)
            .map(|peer| peer.address.as_str())
            .collect();
        for address in addresses.sample(&mut self.rng, FANOUT) {
            // A daemon that misses this round receives a later one.
            drop(
                self.daemon
                    .net()
                    .ask(address, Topic::Digest, &body, SEND_TIMEOUT),
            );
        }
    }
}

/// Receives zone loads from other daemons.
pub struct Receiver {
    daemon: Weak<Daemon>,
}

impl Receiver {
    /// Passes zone loads to the policy of `daemon`.
    pub fn new(daemon: &Arc<Daemon>) -> Self {
        Self {
            daemon: Arc::downgrade(daemon),
        }
    }
}

impl Handler for Receiver {
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
