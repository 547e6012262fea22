//! The thread that follows the control stream: leases and upgrade plans.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::shared::Shared;
use crate::clock::Time;
use crate::config::{Context, setting};
use crate::lease::STREAM;
use crate::lease::client::{Client, Timing};
use crate::lease::fold::{Fold, Step};
use crate::timeline::Kind;
use crate::{id, platform};

/// Time that a read waits for new records.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between reads, for a log that does not wait.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Mean wait after the first failed read; it doubles and is jittered.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the mean wait after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Maximum age of the last complete read to acquire a lease.
const MAX_READ_AGE: Duration = Duration::from_secs(6);

/// The folded control stream and a client of each lease.
pub(super) struct Leases {
    pub fold: Fold,
    pub clients: IndexMap<id::Zone, Client>,
    caught_up_at: Option<Time>,
}

/// Returns the name of the lease of a zone.
pub(super) fn lease_name(zone: &str) -> id::Name {
    format!("zone/{zone}").into()
}

impl Leases {
    pub fn new(zones: impl Iterator<Item = id::Zone>, me: &id::Daemon) -> Self {
        let timing = Timing::new(Duration::from_secs(15));
        let client = |zone: id::Zone| {
            let client = Client::new(lease_name(&zone), me.clone(), timing);
            (zone, client)
        };
        Self {
            fold: Fold::new(),
            clients: zones.map(client).collect(),
            caught_up_at: None,
        }
    }

    /// Returns whether the last complete read is recent.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.caught_up_at
            .is_some_and(|at| now.saturating_sub(at) <= MAX_READ_AGE)
    }

    fn apply_page(&mut self, page: &platform::Page, now: Time) -> Vec<Step> {
        let steps = self.fold.apply_page(page);
        for step in &steps {
            for client in self.clients.values_mut() {
                client.on_folded(step, now);
            }
        }
        if self.fold.next_offset() >= page.end {
            self.caught_up_at = Some(now);
        }
        steps
    }
}

/// Follows the stream until control stops.
pub(super) fn run(shared: &Shared) {
    let mut rng = ChaCha8Rng::seed_from_u64(shared.seed ^ 3);
    let mut backoff = INITIAL_BACKOFF;
    while !shared.is_stopped() {
        let from = shared.leases.lock().fold.next_offset();
        let wait = match shared.log.read(STREAM, from, READ_TIMEOUT) {
            Ok(page) => {
                apply(shared, &page);
                backoff = INITIAL_BACKOFF;
                MIN_READ_INTERVAL
            }
            Err(_) => {
                let jittered = backoff.mul_f64(rng.random_range(0.5..1.5));
                backoff = (backoff * 2).min(MAX_BACKOFF);
                jittered
            }
        };
        if shared.sleep(wait) {
            return;
        }
    }
}

fn apply(shared: &Shared, page: &platform::Page) {
    let now = shared.clock.now();
    let duration = shared
        .view
        .read()
        .duration(&setting::LEASE_TIME, &Context::default());
    let mut leases = shared.leases.lock();
    for client in leases.clients.values_mut() {
        client.set_timing(Timing::new(duration));
    }
    let steps = leases.apply_page(page, now);
    drop(leases);
    for step in steps {
        let Some(record) = step.record.filter(|_| step.is_accepted) else {
            continue;
        };
        if let crate::lease::record::Body::Acquire(acquire) = record.body {
            let what = format!("{} has {} at {}", record.daemon, acquire.lease, step.offset);
            shared.record(Kind::Lease, None, what);
        }
    }
}
