//! Settings of one daemon; precedence: arguments, environment, file, defaults.
//!
//! The types are generated from [the schema](../schema/settings.json).
//! See [the page on configuration](../docs/CONFIGURATION.md).

pub mod check;
pub mod error;
pub mod load;
pub mod locate;
pub mod plan;

#[cfg(test)]
mod tests;

pub use crate::generated::settings::*;
pub use error::Error;
pub use load::{Override, load, parse};
pub use plan::plans;
