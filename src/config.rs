//! Configuration: fleet-wide defaults and exceptions, folded from the log by every daemon alike.
//!
//! [`fold::Fold`] alone decides which changes are accepted; the other modules pass it records or
//! read its [`View`]. See [the design note](../docs/design/config.md).

pub mod duty;
pub mod edit;
pub mod fold;
pub mod record;
pub mod setting;
pub mod tail;
pub mod view;

pub use view::{Context, View};

/// The stream of the log that holds configuration.
pub const STREAM: &str = "config";

#[cfg(test)]
mod tests;
