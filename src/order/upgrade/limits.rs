//! Rates, floors and windows of an upgrade.

use std::time::Duration;

use crate::clock::Time;
use crate::order::Engine;

/// How long daemons may still send to an engine after it was reported as draining.
const DRAIN_PROPAGATION: Duration = Duration::from_secs(3);
/// How many times the expected load time an engine may take before it counts as failed.
const LOAD_TIME_FACTOR: u32 = 4;
/// Time that loading takes besides reading the weights.
const LOAD_MARGIN: Duration = Duration::from_secs(60);
/// Minutes of a day.
const MINUTES_PER_DAY: u64 = 24 * 60;

event! {
    /// The limits of an upgrade.
    pub struct Limits {
        /// The most engines that are out of service at once.
        pub batch: usize,
        /// Engines of this pool and zone that may be out of service at once, by the floor.
        pub max_out_of_service: usize,
        /// Whether the floor lets no engine of the whole pool go out.
        pub is_blocked_by_floor: bool,
        /// The share of upgraded engines that may be unhealthy.
        pub max_unhealthy_share: f64,
        /// Whether failing health leads back to the version before.
        pub rollback: bool,
        /// How long an engine may take to finish its calls.
        pub drain_timeout: Duration,
        /// Bytes that an engine loads.
        pub weight_bytes: u64,
        /// Bytes a second that this pool and zone may read from the weight store.
        pub bytes_per_second: f64,
    }

    /// Where the time stands in the nightly window.
    #[derive(Copy)]
    pub struct Window {
        /// Time until it ends; zero when it is closed.
        pub remaining: Duration,
    }

    /// Paces the reads of the weight store.
    #[derive(Copy, Default)]
    pub struct Pacer {
        next_load_at: Time,
    }
}

impl Limits {
    /// Says whether an engine that is drained since `since` may be ordered.
    pub fn is_drained(&self, unit: &Engine, since: Time, now: Time) -> bool {
        let age = now.saturating_sub(since);
        // Only a report counts that was read after the last daemon stopped sending.
        let is_read = unit
            .read_at
            .is_some_and(|at| at >= since + DRAIN_PROPAGATION);
        let is_idle = is_read && (unit.is_idle() || !unit.is_healthy());
        is_idle || age >= self.drain_timeout + DRAIN_PROPAGATION
    }

    /// Time between the starts of two loads.
    pub fn load_interval(&self) -> Duration {
        Duration::from_secs_f64(self.weight_bytes as f64 / self.bytes_per_second.max(1.0))
    }

    /// How long an engine may load before it counts as failed.
    pub fn load_limit(&self) -> Duration {
        self.load_interval() * LOAD_TIME_FACTOR + LOAD_MARGIN
    }

    /// An estimate of the time that `engines` need.
    pub fn estimate(&self, engines: usize) -> Duration {
        let each = self.drain_timeout + DRAIN_PROPAGATION + self.load_interval();
        let width = self.batch.min(self.max_out_of_service).max(1);
        let batches = engines.div_ceil(width);
        let by_batch = each * u32::try_from(batches).unwrap_or(u32::MAX);
        let by_rate = self.load_interval() * u32::try_from(engines).unwrap_or(u32::MAX);
        by_batch.max(by_rate)
    }
}

/// Engines of a pool that the floor lets go out of service.
pub fn max_out_of_service(floor: f64, engines: usize) -> usize {
    engines - ((floor * engines as f64).ceil() as usize).min(engines)
}

/// Engines of one zone that may go out of service, of the `spare` ones of the whole pool.
///
/// Zones share them by their engines. A zone whose share is less than one takes all while it is
/// its turn and no engine of another zone is out, so that small pools keep the floor too.
pub fn zone_max_out_of_service(spare: usize, engines: usize, of: usize, is_turn: bool) -> usize {
    let share = spare * engines / of.max(1);
    if share == 0 && is_turn { spare } else { share }
}

impl Pacer {
    /// Takes the next load, if the weight store's rate allows it now.
    pub fn try_start(&mut self, rule: &Limits, now: Time) -> bool {
        let is_due = now >= self.next_load_at;
        if is_due {
            self.next_load_at = now + rule.load_interval();
        }
        is_due
    }
}

impl Window {
    /// Makes the window from minutes after midnight; it may pass midnight.
    pub fn new(start: u64, end: u64, minute: u64) -> Self {
        let length = (end + MINUTES_PER_DAY - start) % MINUTES_PER_DAY;
        let passed = (minute + MINUTES_PER_DAY - start) % MINUTES_PER_DAY;
        let left = length.saturating_sub(passed);
        Self {
            remaining: Duration::from_secs(left * 60),
        }
    }

    /// Whether engines may be taken out of service.
    pub fn is_open(&self) -> bool {
        !self.remaining.is_zero()
    }
}
