//! The faults that the demo brings about while it sends load.

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::progress;
use super::site::Site;
use crate::standin::fault::{Fault, Kind};

/// How far a fault is moved from its place in the run, as a share of the run.
const JITTER: f64 = 0.04;

/// A fault and when it comes, as a share of the run.
struct Step {
    at: f64,
    kind: Kind,
    target: &'static str,
    length: Duration,
}

const fn step(at: f64, kind: Kind, target: &'static str, millis: u64) -> Step {
    Step {
        at,
        kind,
        target,
        length: Duration::from_millis(millis),
    }
}

const STEPS: [Step; 6] = [
    step(0.10, Kind::EndpointStraggler, "menu-model", 4_000),
    step(0.25, Kind::LogLostAnswer, "", 2_000),
    step(0.40, Kind::EndpointCrash, "rill-pisari", 2_000),
    step(0.50, Kind::EndpointCrash, "orders", 2_000),
    step(0.60, Kind::EndpointLeaving, "kalendar", 2_000),
    step(0.75, Kind::EndpointCrash, "menu-model", 2_000),
];

/// Starts the script of a run; none if there is no thread for it.
pub fn start(site: &Arc<Site>, length: Duration, seed: u64) -> Option<JoinHandle<()>> {
    let site = site.clone();
    let thread = thread::Builder::new().name("faults".into());
    thread.spawn(move || play(&site, length, seed)).ok()
}

fn play(site: &Site, length: Duration, seed: u64) {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa);
    for step in &STEPS {
        let share = step.at + rng.random_range(0.0..JITTER);
        let due = start + length.mul_f64(share);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let mut fault = Fault::new(step.kind, step.length);
        if !step.target.is_empty() {
            fault = fault.at(step.target);
        }
        progress(&format!("fault {:?} {}", step.kind, step.target));
        site.inject(fault);
    }
}
