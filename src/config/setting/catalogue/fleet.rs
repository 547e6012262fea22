//! Settings of upgrades, roles, leases and the log.

use crate::config::setting::{Preset, Setting};

/// The model version that a pool shall serve; empty leaves its engines as they are.
pub const MODEL_VERSION: Setting = Setting {
    name: "model-version",
    unit: "version",
    preset: Preset::Text(""),
    min: 0.0,
    max: 0.0,
    since: 1,
    meaning: "The model version that a pool shall serve; empty leaves its engines as they are.",
};

/// When the nightly upgrade begins.
pub const UPGRADE_START: Setting = Setting {
    name: "upgrade-start",
    unit: "minutes after midnight UTC",
    preset: Preset::Count(60),
    min: 0.0,
    max: 1_439.0,
    since: 1,
    meaning: "When the nightly upgrade begins.",
};

/// When the nightly upgrade must be finished.
pub const UPGRADE_END: Setting = Setting {
    name: "upgrade-end",
    unit: "minutes after midnight UTC",
    preset: Preset::Count(300),
    min: 0.0,
    max: 1_439.0,
    since: 1,
    meaning: "When the nightly upgrade must be finished.",
};

/// The most engines of a pool and zone that are out of service at once.
pub const UPGRADE_BATCH: Setting = Setting {
    name: "upgrade-batch",
    unit: "engines",
    preset: Preset::Count(8),
    min: 1.0,
    max: 512.0,
    since: 1,
    meaning: "The most engines of a pool and zone that are out of service at once.",
};

/// The share of engines that stays in service during an upgrade.
pub const UPGRADE_FLOOR: Setting = Setting {
    name: "upgrade-floor",
    unit: "share of the pool and zone",
    preset: Preset::Ratio(0.75),
    min: 0.0,
    max: 1.0,
    since: 1,
    meaning: "The share of engines that stays in service during an upgrade.",
};

/// The share of upgraded engines that may be unhealthy before the upgrade pauses.
pub const UPGRADE_ERRORS: Setting = Setting {
    name: "upgrade-errors",
    unit: "share of batches",
    preset: Preset::Ratio(0.2),
    min: 0.0,
    max: 1.0,
    since: 1,
    meaning: "The share of upgraded engines that may be unhealthy before the upgrade pauses.",
};

/// Whether an upgrade with too many unhealthy engines is rolled back instead of paused.
pub const UPGRADE_ROLLBACK: Setting = Setting {
    name: "upgrade-rollback",
    unit: "true or false",
    preset: Preset::Flag(false),
    min: 0.0,
    max: 0.0,
    since: 1,
    meaning: "Whether an upgrade with too many unhealthy engines is rolled back instead of paused.",
};

/// Bytes a second that upgrades may read from the weight store.
pub const WEIGHT_RATE: Setting = Setting {
    name: "weight-rate",
    unit: "bytes/s",
    preset: Preset::Count(1_000_000_000),
    min: 1_000.0,
    max: 1_000_000_000_000.0,
    since: 1,
    meaning: "Bytes a second that upgrades may read from the weight store.",
};

/// Roles of a pool's engines with their share of it, as `prefill=40`.
pub const ROLE_SHARES: Setting = Setting {
    name: "role-shares",
    unit: "role=percent",
    preset: Preset::Names(&[]),
    min: 0.0,
    max: 0.0,
    since: 1,
    meaning: "Roles of a pool's engines with their share of it, as `prefill=40`.",
};

/// How far a role's share must be off before an engine changes its role.
pub const ROLE_HYSTERESIS: Setting = Setting {
    name: "role-hysteresis",
    unit: "share",
    preset: Preset::Ratio(0.15),
    min: 0.0,
    max: 1.0,
    since: 1,
    meaning: "How far a role's share must be off before an engine changes its role.",
};

/// The least time between two role changes of an engine.
pub const ROLE_PERIOD: Setting = Setting {
    name: "role-period",
    unit: "ms",
    preset: Preset::Milliseconds(300_000),
    min: 1_000.0,
    max: 86_400_000.0,
    since: 1,
    meaning: "The least time between two role changes of an engine.",
};

/// How long an engine or daemon may finish its requests before it stops.
pub const DRAIN_TIME: Setting = Setting {
    name: "drain-time",
    unit: "ms",
    preset: Preset::Milliseconds(30_000),
    min: 0.0,
    max: 3_600_000.0,
    since: 1,
    meaning: "How long an engine or daemon may finish its requests before it stops.",
};

/// How long one order to an engine may take.
pub const ORDER_TIMEOUT: Setting = Setting {
    name: "order-timeout",
    unit: "ms",
    preset: Preset::Milliseconds(5_000),
    min: 100.0,
    max: 600_000.0,
    since: 1,
    meaning: "How long one order to an engine may take.",
};

/// How long a lease is valid after it was requested.
pub const LEASE_TIME: Setting = Setting {
    name: "lease-time",
    unit: "ms",
    preset: Preset::Milliseconds(15_000),
    min: 1_000.0,
    max: 600_000.0,
    since: 1,
    meaning: "How long a lease is valid after it was requested.",
};

/// Appends a second to the log that the whole fleet may make.
pub const APPEND_BUDGET: Setting = Setting {
    name: "append-budget",
    unit: "appends/s",
    preset: Preset::Count(300),
    min: 10.0,
    max: 100_000.0,
    since: 1,
    meaning: "Appends a second to the log that the whole fleet may make.",
};
