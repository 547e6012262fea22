//! Settings of requests, calls and pools.

use crate::config::setting::{Preset, Setting};

/// The longest that a request may take, unless its pipeline or caller says less.
pub const REQUEST_TIMEOUT: Setting = Setting {
    name: "request-timeout",
    unit: "ms",
    preset: Preset::Milliseconds(3_000),
    min: 50.0,
    max: 600_000.0,
    since: 1,
    meaning: "The longest that a request may take, unless its pipeline or caller says less.",
};

/// The shortest timeout of one call to an endpoint.
pub const CALL_TIMEOUT_FLOOR: Setting = Setting {
    name: "call-timeout-floor",
    unit: "ms",
    preset: Preset::Milliseconds(50),
    min: 1.0,
    max: 60_000.0,
    since: 1,
    meaning: "The shortest timeout of one call to an endpoint.",
};

/// The quantile of past latencies after which a second endpoint is tried; 1 turns hedging off.
pub const HEDGE_QUANTILE: Setting = Setting {
    name: "hedge-quantile",
    unit: "share",
    preset: Preset::Ratio(0.95),
    min: 0.5,
    max: 1.0,
    since: 1,
    meaning: "The quantile of past latencies after which a second endpoint is tried; 1 turns hedging off.",
};

/// The share of calls that may be hedged.
pub const HEDGE_BUDGET: Setting = Setting {
    name: "hedge-budget",
    unit: "share of calls",
    preset: Preset::Ratio(0.05),
    min: 0.0,
    max: 0.5,
    since: 1,
    meaning: "The share of calls that may be hedged.",
};

/// The share of calls that may be retries.
pub const RETRY_BUDGET: Setting = Setting {
    name: "retry-budget",
    unit: "share of calls",
    preset: Preset::Ratio(0.1),
    min: 0.0,
    max: 1.0,
    since: 1,
    meaning: "The share of calls that may be retries.",
};

/// The most attempts at one stage.
pub const RETRY_ATTEMPTS: Setting = Setting {
    name: "retry-attempts",
    unit: "attempts",
    preset: Preset::Count(3),
    min: 1.0,
    max: 10.0,
    since: 1,
    meaning: "The most attempts at one stage.",
};

/// The mean wait before the first retry; it doubles and is jittered.
pub const RETRY_BACKOFF: Setting = Setting {
    name: "retry-backoff",
    unit: "ms",
    preset: Preset::Milliseconds(20),
    min: 0.0,
    max: 10_000.0,
    since: 1,
    meaning: "The mean wait before the first retry; it doubles and is jittered.",
};

/// The most stages that wait in the queue of a pool.
pub const QUEUE_BOUND: Setting = Setting {
    name: "queue-bound",
    unit: "stages",
    preset: Preset::Count(1_024),
    min: 1.0,
    max: 65_536.0,
    since: 1,
    meaning: "The most stages that wait in the queue of a pool.",
};

/// The time in the queue above which the newest work is refused.
pub const SOJOURN_TARGET: Setting = Setting {
    name: "sojourn-target",
    unit: "ms",
    preset: Preset::Milliseconds(100),
    min: 1.0,
    max: 60_000.0,
    since: 1,
    meaning: "The time in the queue above which the newest work is refused.",
};

/// The share of a workspace in a contended pool, relative to others.
pub const WORKSPACE_WEIGHT: Setting = Setting {
    name: "workspace-weight",
    unit: "relative share",
    preset: Preset::Ratio(1.0),
    min: 0.001,
    max: 1_000.0,
    since: 1,
    meaning: "The share of a workspace in a contended pool, relative to others.",
};

/// The cost that a workspace may have in flight beyond its share.
pub const WORKSPACE_BURST: Setting = Setting {
    name: "workspace-burst",
    unit: "tokens",
    preset: Preset::Count(1_000_000),
    min: 1.0,
    max: 100_000_000.0,
    since: 1,
    meaning: "The cost that a workspace may have in flight beyond its share.",
};

/// Pipelines in the order in which they are refused under overload.
pub const DEGRADATION_ORDER: Setting = Setting {
    name: "degradation-order",
    unit: "pipelines",
    preset: Preset::Names(&[]),
    min: 0.0,
    max: 0.0,
    since: 1,
    meaning: "Pipelines in the order in which they are refused under overload.",
};

/// The priority of a pipeline.
pub const PIPELINE_PRIORITY: Setting = Setting {
    name: "pipeline-priority",
    unit: "0 first to 7 last",
    preset: Preset::Count(4),
    min: 0.0,
    max: 7.0,
    since: 1,
    meaning: "The priority of a pipeline.",
};

/// Bytes a second over a regional link for requests with priority 0 to 3.
pub const LINK_BUDGET_INTERACTIVE: Setting = Setting {
    name: "link-budget-interactive",
    unit: "bytes/s",
    preset: Preset::Count(2_000_000),
    min: 0.0,
    max: 1_250_000_000.0,
    since: 1,
    meaning: "Bytes a second over a regional link for requests with priority 0 to 3.",
};

/// Bytes a second over a regional link for requests with priority 4 to 7.
pub const LINK_BUDGET_BATCH: Setting = Setting {
    name: "link-budget-batch",
    unit: "bytes/s",
    preset: Preset::Count(500_000),
    min: 0.0,
    max: 1_250_000_000.0,
    since: 1,
    meaning: "Bytes a second over a regional link for requests with priority 4 to 7.",
};

/// Bytes a second over a regional link for the system's own messages.
pub const LINK_BUDGET_CONTROL: Setting = Setting {
    name: "link-budget-control",
    unit: "bytes/s",
    preset: Preset::Count(250_000),
    min: 1_000.0,
    max: 125_000_000.0,
    since: 1,
    meaning: "Bytes a second over a regional link for the system's own messages.",
};

/// How long a request that crashes endpoints is refused.
pub const QUARANTINE_TIME: Setting = Setting {
    name: "quarantine-time",
    unit: "ms",
    preset: Preset::Milliseconds(600_000),
    min: 1_000.0,
    max: 86_400_000.0,
    since: 1,
    meaning: "How long a request that crashes endpoints is refused.",
};

/// Endpoints that must die running a request before it is refused.
pub const QUARANTINE_DEATHS: Setting = Setting {
    name: "quarantine-deaths",
    unit: "endpoints",
    preset: Preset::Count(2),
    min: 1.0,
    max: 10.0,
    since: 1,
    meaning: "Endpoints that must die running a request before it is refused.",
};

/// Consecutive errors after which an endpoint is ejected.
pub const EJECTION_ERRORS: Setting = Setting {
    name: "ejection-errors",
    unit: "errors",
    preset: Preset::Count(5),
    min: 1.0,
    max: 1_000.0,
    since: 1,
    meaning: "Consecutive errors after which an endpoint is ejected.",
};

/// How long an endpoint stays ejected the first time.
pub const EJECTION_TIME: Setting = Setting {
    name: "ejection-time",
    unit: "ms",
    preset: Preset::Milliseconds(10_000),
    min: 100.0,
    max: 3_600_000.0,
    since: 1,
    meaning: "How long an endpoint stays ejected the first time.",
};

/// The largest share of a pool that may be ejected.
pub const EJECTION_CAP: Setting = Setting {
    name: "ejection-cap",
    unit: "share of the pool",
    preset: Preset::Ratio(0.3),
    min: 0.0,
    max: 1.0,
    since: 1,
    meaning: "The largest share of a pool that may be ejected.",
};

/// The latency at which an endpoint counts as a straggler.
pub const SLOW_FACTOR: Setting = Setting {
    name: "slow-factor",
    unit: "times the pool's median",
    preset: Preset::Ratio(3.0),
    min: 1.1,
    max: 100.0,
    since: 1,
    meaning: "The latency at which an endpoint counts as a straggler.",
};

/// How long a new endpoint takes to reach its full share.
pub const SLOW_START: Setting = Setting {
    name: "slow-start",
    unit: "ms",
    preset: Preset::Milliseconds(10_000),
    min: 0.0,
    max: 3_600_000.0,
    since: 1,
    meaning: "How long a new endpoint takes to reach its full share.",
};

/// Endpoints of a pool that one daemon uses.
pub const SUBSET_SIZE: Setting = Setting {
    name: "subset-size",
    unit: "endpoints",
    preset: Preset::Count(64),
    min: 1.0,
    max: 4_096.0,
    since: 1,
    meaning: "Endpoints of a pool that one daemon uses.",
};

/// The worth of a cached prompt token against a queued one.
pub const PREFIX_WEIGHT: Setting = Setting {
    name: "prefix-weight",
    unit: "tokens per token",
    preset: Preset::Ratio(1.0),
    min: 0.0,
    max: 10.0,
    since: 1,
    meaning: "The worth of a cached prompt token against a queued one.",
};

/// The load up to which a zone keeps its own requests.
pub const LOCAL_PREFERENCE: Setting = Setting {
    name: "local-preference",
    unit: "share of load",
    preset: Preset::Ratio(0.8),
    min: 0.0,
    max: 1.0,
    since: 1,
    meaning: "The load up to which a zone keeps its own requests.",
};

/// Calls in flight to one endpoint from one daemon.
pub const MAX_IN_FLIGHT: Setting = Setting {
    name: "max-in-flight",
    unit: "calls",
    preset: Preset::Count(64),
    min: 1.0,
    max: 65_536.0,
    since: 1,
    meaning: "Calls in flight to one endpoint from one daemon.",
};
