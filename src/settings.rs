//! Settings of one daemon, generated from [the schema](../schema/settings.json).

pub use crate::generated::settings::*;
