//! Settings of requests, calls and pools.

use std::time::Duration;

use crate::config::setting::{Preset, Setting};
use crate::policy::knobs::Knobs;

const fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// The longest that a request may take, unless its pipeline or caller says less.
pub const REQUEST_TIMEOUT: Setting = Setting {
    name: "request-timeout",
    unit: "ms",
    preset: Preset::Milliseconds(600_000),
    min: 50.0,
    max: 600_000.0,
    since: 1,
    meaning: "The longest that a request may take, unless its pipeline or caller says less.",
};

/// The priority of a pipeline under overload; 8 means the priority in the settings.
pub const PIPELINE_PRIORITY: Setting = Setting {
    name: "pipeline-priority",
    unit: "0 first to 7 last; 8 as in the settings",
    preset: Preset::Count(8),
    min: 0.0,
    max: 8.0,
    since: 1,
    meaning: "The priority of a pipeline under overload; 8 means the priority in the settings.",
};

/// The share of its time left that a request of priority 0 may be predicted to need; above it the request is refused at once.
pub const ADMISSION_SHARE: Setting = Setting {
    name: "admission-share",
    unit: "share of the time left",
    preset: Preset::Ratio(Knobs::DEFAULT.admission_share),
    min: 0.1,
    max: 1.0,
    since: 1,
    meaning: "The share of its time left that a request of priority 0 may be predicted to need; above it the request is refused at once.",
};

/// How much the admission share falls with each step of priority.
pub const PRIORITY_STEP: Setting = Setting {
    name: "priority-step",
    unit: "share",
    preset: Preset::Ratio(Knobs::DEFAULT.priority_step),
    min: 0.0,
    max: 0.1,
    since: 1,
    meaning: "How much the admission share falls with each step of priority.",
};

/// The quantile of past latencies after which a second endpoint is tried.
pub const HEDGE_QUANTILE: Setting = Setting {
    name: "hedge-quantile",
    unit: "share",
    preset: Preset::Ratio(Knobs::DEFAULT.hedge_quantile),
    min: 0.5,
    max: 0.999,
    since: 1,
    meaning: "The quantile of past latencies after which a second endpoint is tried.",
};

/// The share of calls that may be hedged; 0 turns hedging off.
pub const HEDGE_BUDGET: Setting = Setting {
    name: "hedge-budget",
    unit: "share of calls",
    preset: Preset::Ratio(Knobs::DEFAULT.hedge_ratio),
    min: 0.0,
    max: 0.05,
    since: 1,
    meaning: "The share of calls that may be hedged; 0 turns hedging off.",
};

/// The share of calls to a pool that may be retries.
pub const RETRY_BUDGET: Setting = Setting {
    name: "retry-budget",
    unit: "share of calls",
    preset: Preset::Ratio(Knobs::DEFAULT.retry_ratio),
    min: 0.0,
    max: 1.0,
    since: 1,
    meaning: "The share of calls to a pool that may be retries.",
};

/// The longest wait before the first retry; later ones wait longer.
pub const RETRY_BACKOFF: Setting = Setting {
    name: "retry-backoff",
    unit: "ms",
    preset: Preset::Milliseconds(millis(Knobs::DEFAULT.retry_base)),
    min: 0.0,
    max: 10_000.0,
    since: 1,
    meaning: "The longest wait before the first retry; later ones wait longer.",
};

/// The most stages that wait for a pool at one daemon.
pub const QUEUE_BOUND: Setting = Setting {
    name: "queue-bound",
    unit: "stages",
    preset: Preset::Count(Knobs::DEFAULT.max_queue as u64),
    min: 0.0,
    max: 100_000.0,
    since: 1,
    meaning: "The most stages that wait for a pool at one daemon.",
};

/// Waiting stages are refused when even the shortest wait of an interval is above this.
pub const SOJOURN_TARGET: Setting = Setting {
    name: "sojourn-target",
    unit: "ms",
    preset: Preset::Milliseconds(millis(Knobs::DEFAULT.sojourn_target)),
    min: 1.0,
    max: 60_000.0,
    since: 1,
    meaning: "Waiting stages are refused when even the shortest wait of an interval is above this.",
};

/// The most calls in flight for each known endpoint of a pool.
pub const MAX_IN_FLIGHT: Setting = Setting {
    name: "max-in-flight",
    unit: "calls",
    preset: Preset::Count(Knobs::DEFAULT.max_in_flight as u64),
    min: 1.0,
    max: 1_024.0,
    since: 1,
    meaning: "The most calls in flight for each known endpoint of a pool.",
};

/// Calls that may wait inside an endpoint before fewer are sent.
pub const WAITING_TARGET: Setting = Setting {
    name: "waiting-target",
    unit: "calls",
    preset: Preset::Ratio(Knobs::DEFAULT.waiting_target),
    min: 0.0,
    max: 64.0,
    since: 1,
    meaning: "Calls that may wait inside an endpoint before fewer are sent.",
};

/// The workspace's share of a contended pool, multiplied by the weight in the settings.
pub const WORKSPACE_WEIGHT: Setting = Setting {
    name: "workspace-weight",
    unit: "relative share",
    preset: Preset::Ratio(1.0),
    min: 0.01,
    max: 1_000.0,
    since: 1,
    meaning: "The workspace's share of a contended pool, multiplied by the weight in the settings.",
};

/// The share of the regional link that one daemon may fill.
pub const LINK_SHARE: Setting = Setting {
    name: "link-share",
    unit: "share of the link",
    preset: Preset::Ratio(Knobs::DEFAULT.link_share),
    min: 0.0,
    max: 1.0,
    since: 1,
    meaning: "The share of the regional link that one daemon may fill.",
};

/// Consecutive failures after which an endpoint is ejected.
pub const EJECTION_ERRORS: Setting = Setting {
    name: "ejection-errors",
    unit: "errors",
    preset: Preset::Count(Knobs::DEFAULT.eject_failures as u64),
    min: 1.0,
    max: 100.0,
    since: 1,
    meaning: "Consecutive failures after which an endpoint is ejected.",
};

/// How long an endpoint is ejected the first time.
pub const EJECTION_TIME: Setting = Setting {
    name: "ejection-time",
    unit: "ms",
    preset: Preset::Milliseconds(millis(Knobs::DEFAULT.eject_time)),
    min: 100.0,
    max: 600_000.0,
    since: 1,
    meaning: "How long an endpoint is ejected the first time.",
};

/// The largest share of a pool that may be ejected.
pub const EJECTION_CAP: Setting = Setting {
    name: "ejection-cap",
    unit: "share of the pool",
    preset: Preset::Ratio(Knobs::DEFAULT.eject_share),
    min: 0.0,
    max: 0.9,
    since: 1,
    meaning: "The largest share of a pool that may be ejected.",
};

/// How slow an endpoint must be, against its pool, to count as a straggler.
pub const SLOW_FACTOR: Setting = Setting {
    name: "slow-factor",
    unit: "times the pool's median",
    preset: Preset::Ratio(Knobs::DEFAULT.eject_outlier),
    min: 1.5,
    max: 100.0,
    since: 1,
    meaning: "How slow an endpoint must be, against its pool, to count as a straggler.",
};

/// How long a new endpoint takes to get its full share.
pub const SLOW_START: Setting = Setting {
    name: "slow-start",
    unit: "ms",
    preset: Preset::Milliseconds(millis(Knobs::DEFAULT.slow_start)),
    min: 0.0,
    max: 600_000.0,
    since: 1,
    meaning: "How long a new endpoint takes to get its full share.",
};

/// How long content that crashes endpoints is refused.
pub const QUARANTINE_TIME: Setting = Setting {
    name: "quarantine-time",
    unit: "ms",
    preset: Preset::Milliseconds(600_000),
    min: 1_000.0,
    max: 86_400_000.0,
    since: 1,
    meaning: "How long content that crashes endpoints is refused.",
};

/// How many endpoints must crash on the same content before it is refused.
pub const QUARANTINE_DEATHS: Setting = Setting {
    name: "quarantine-deaths",
    unit: "endpoints",
    preset: Preset::Count(2),
    min: 1.0,
    max: 4.0,
    since: 1,
    meaning: "How many endpoints must crash on the same content before it is refused.",
};
