//! Leases: agreed through the log, with the offset of the acquiring record as fencing token.
//!
//! See [the design note](../docs/design/leases.md).

pub mod client;
pub mod fold;
pub mod record;

/// The stream of the log that holds leases and plans.
pub const STREAM: &str = "control";

#[cfg(test)]
mod tests;
