//! The limits of an upgrade: load rate, capacity floor and window.

use std::time::Duration;

use crate::clock::Time;
use crate::order::Engine;

/// How long daemons may still send to an engine after it was reported as draining.
const DRAIN_PROPAGATION: Duration = Duration::from_secs(3);
/// Multiple of the expected load time after which a load counts as failed.
const LOAD_TIME_FACTOR: u32 = 4;
/// Time that loading takes in addition to reading the weights.
const LOAD_MARGIN: Duration = Duration::from_secs(60);
/// Minutes per day.
const MINUTES_PER_DAY: u64 = 24 * 60;

event! {
    /// The limits of an upgrade.
    pub struct Limits {
        /// Maximum number of engines out of service at once.
        pub batch: usize,
        /// Engines of this pool and zone that the floor lets go out of service at once.
        pub max_out_of_service: usize,
        /// Whether the floor lets no engine of the whole pool go out of service.
        pub is_blocked_by_floor: bool,
        /// Share of upgraded engines that may be unhealthy, from 0 to 1.
        pub max_unhealthy_share: f64,
        /// Whether to roll back when too many engines are unhealthy.
        pub rollback: bool,
        /// How long an engine may take to finish its calls.
        pub drain_timeout: Duration,
        /// Size of the weights that an engine loads.
        pub weight_bytes: u64,
        /// Rate at which this pool and zone may read from the weight store.
        pub bytes_per_second: f64,
    }

    /// State of the nightly upgrade window.
    #[derive(Copy)]
    pub struct Window {
        /// Time until it ends; zero when it is closed.
        pub remaining: Duration,
    }

    /// Spaces loads to the read rate of the weight store.
    #[derive(Copy, Default)]
    pub struct Pacer {
        next_load_at: Time,
    }
}

impl Limits {
    /// Returns whether an engine that drains since `since` is ready for its order.
    pub fn is_drained(&self, engine: &Engine, since: Time, now: Time) -> bool {
        let age = now.saturating_sub(since);
        // Only a report read after the last daemon stopped sending counts.
        let is_read = engine
            .read_at
            .is_some_and(|at| at >= since + DRAIN_PROPAGATION);
        let is_idle = is_read && (engine.is_idle() || !engine.is_healthy());
        is_idle || age >= self.drain_timeout + DRAIN_PROPAGATION
    }

    /// Returns the minimum time between the starts of two loads.
    pub fn load_interval(&self) -> Duration {
        Duration::from_secs_f64(self.weight_bytes as f64 / self.bytes_per_second.max(1.0))
    }

    /// Returns how long an engine may load before it counts as failed.
    pub fn load_limit(&self) -> Duration {
        self.load_interval() * LOAD_TIME_FACTOR + LOAD_MARGIN
    }

    /// Estimates the time that `engines` need.
    pub fn estimate(&self, engines: usize) -> Duration {
        let each = self.drain_timeout + DRAIN_PROPAGATION + self.load_interval();
        let batch = self.batch.min(self.max_out_of_service).max(1);
        let batches = engines.div_ceil(batch);
        let by_batch = each * u32::try_from(batches).unwrap_or(u32::MAX);
        let by_rate = self.load_interval() * u32::try_from(engines).unwrap_or(u32::MAX);
        by_batch.max(by_rate)
    }
}

/// Returns how many engines of a pool the floor lets go out of service.
pub fn max_out_of_service(floor: f64, engines: usize) -> usize {
    engines - ((floor * engines as f64).ceil() as usize).min(engines)
}

/// Returns how many of the `pool_max` engines of a pool may go out of service in one zone.
///
/// Zones share them in proportion to their engines. A zone whose share is less than one takes all
/// while it is its turn and no engine of another zone is out, so that small pools keep the floor.
pub fn zone_max_out_of_service(
    pool_max: usize,
    zone_engines: usize,
    pool_engines: usize,
    is_turn: bool,
) -> usize {
    let share = pool_max * zone_engines / pool_engines.max(1);
    if share == 0 && is_turn {
        pool_max
    } else {
        share
    }
}

impl Pacer {
    /// Starts the next load; returns whether the rate allows it.
    pub fn try_start(&mut self, limits: &Limits, now: Time) -> bool {
        let is_due = now >= self.next_load_at;
        if is_due {
            self.next_load_at = now + limits.load_interval();
        }
        is_due
    }
}

impl Window {
    /// Creates the window from minutes after midnight; it may span midnight.
    pub fn new(start: u64, end: u64, minute: u64) -> Self {
        let length = (end + MINUTES_PER_DAY - start) % MINUTES_PER_DAY;
        let passed = (minute + MINUTES_PER_DAY - start) % MINUTES_PER_DAY;
        let remaining = length.saturating_sub(passed);
        Self {
            remaining: Duration::from_secs(remaining * 60),
        }
    }

    /// Returns whether engines may be taken out of service.
    pub fn is_open(&self) -> bool {
        !self.remaining.is_zero()
    }
}
