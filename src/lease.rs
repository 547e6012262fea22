//! Leases agreed through the log; the offset of the acquiring record is the fencing token.
//!
//! See [the design note](../docs/design/leases.md).

pub mod client;
pub mod fold;
pub mod record;

/// Stream of the log that holds leases and plans.
pub const STREAM: &str = "control";

#[cfg(test)]
mod tests;
