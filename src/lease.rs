//! Leases agreed through the log; the offset of the acquiring record is the fencing token.
//!
//! See [the design note](../docs/design/leases.md).

pub mod client;
pub mod fold;
pub mod record;

/// The stream of the log that holds the records of leases and upgrade plans.
pub const STREAM: &str = "control";

#[cfg(test)]
mod tests;
