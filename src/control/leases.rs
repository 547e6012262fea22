//! The thread that follows the control stream.

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

/// How long a read waits for records.
const WAIT: Duration = Duration::from_secs(3);
/// The least time between reads that find nothing, against a log that does not wait.
const IDLE: Duration = Duration::from_millis(50);
/// The mean wait after the first failed read; it doubles and is jittered.
const BACKOFF: Duration = Duration::from_millis(200);
/// The longest mean wait after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// How old the last complete read may be for this daemon to try to acquire.
const FRESH: Duration = Duration::from_secs(6);

/// The control stream and this daemon's part in each lease.
pub(super) struct Leases {
    pub fold: Fold,
    pub clients: IndexMap<id::Zone, Client>,
    read: Option<Time>,
}

/// The name of the lease of a zone.
pub(super) fn name(zone: &str) -> id::Name {
    format!("zone/{zone}").into()
}

impl Leases {
    pub fn new(zones: impl Iterator<Item = id::Zone>, me: &id::Daemon) -> Self {
        let timing = Timing::new(Duration::from_secs(15));
        let client = |zone: id::Zone| {
            let client = Client::new(name(&zone), me.clone(), timing);
            (zone, client)
        };
        Self {
            fold: Fold::new(),
            clients: zones.map(client).collect(),
            read: None,
        }
    }

    pub fn is_fresh(&self, now: Time) -> bool {
        self.read.is_some_and(|at| now.saturating_sub(at) <= FRESH)
    }

    fn absorb(&mut self, page: &platform::Page, now: Time) -> Vec<Step> {
        let steps = self.fold.apply_page(page);
        for step in &steps {
            for client in self.clients.values_mut() {
                client.on_folded(step, now);
            }
        }
        if self.fold.next_offset() >= page.end {
            self.read = Some(now);
        }
        steps
    }
}

/// Follows the stream until control stops.
pub(super) fn run(shared: &Shared) {
    let mut rng = ChaCha8Rng::seed_from_u64(shared.seed ^ 3);
    let mut backoff = BACKOFF;
    while !shared.is_stopped() {
        let from = shared.leases.lock().fold.next_offset();
        let wait = match shared.log.read(STREAM, from, WAIT) {
            Ok(page) => {
                take(shared, &page);
                backoff = BACKOFF;
                IDLE
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

fn take(shared: &Shared, page: &platform::Page) {
    let now = shared.clock.now();
    let duration = shared
        .view
        .read()
        .duration(&setting::LEASE_TIME, &Context::default());
    let mut leases = shared.leases.lock();
    for client in leases.clients.values_mut() {
        client.set_timing(Timing::new(duration));
    }
    let steps = leases.absorb(page, now);
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
