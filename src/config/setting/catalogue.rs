//! The table of all settings.

use super::Setting;

mod fleet;
mod traffic;

pub use fleet::*;
pub use traffic::*;

/// Every setting, in the same order at every daemon.
pub const CATALOGUE: &[&Setting] = &[
    &REQUEST_TIMEOUT,
    &PIPELINE_PRIORITY,
    &ADMISSION_SHARE,
    &PRIORITY_STEP,
    &HEDGE_QUANTILE,
    &HEDGE_BUDGET,
    &RETRY_BUDGET,
    &RETRY_BACKOFF,
    &QUEUE_BOUND,
    &SOJOURN_TARGET,
    &MAX_IN_FLIGHT,
    &WAITING_TARGET,
    &WORKSPACE_WEIGHT,
    &LINK_SHARE,
    &EJECTION_ERRORS,
    &EJECTION_TIME,
    &EJECTION_CAP,
    &SLOW_FACTOR,
    &SLOW_START,
    &QUARANTINE_TIME,
    &QUARANTINE_DEATHS,
    &MODEL_VERSION,
    &UPGRADE_START,
    &UPGRADE_END,
    &UPGRADE_BATCH,
    &UPGRADE_FLOOR,
    &UPGRADE_ERRORS,
    &UPGRADE_ROLLBACK,
    &WEIGHT_RATE,
    &ROLE_SHARES,
    &ROLE_HYSTERESIS,
    &ROLE_PERIOD,
    &DRAIN_TIME,
    &ORDER_TIMEOUT,
    &LEASE_TIME,
    &APPEND_BUDGET,
];
