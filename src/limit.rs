//! Limits: adaptive concurrency, bounded queues and fairness among workspaces.
//!
//! See [the design note](../docs/design/policy.md).

pub mod concurrency;
pub mod queue;
