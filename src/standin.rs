//! Stand-ins of the platform and of endpoints, for tests, the demo and trials on one machine.
//!
//! See [the endpoints' protocol](../docs/ENDPOINTS.md) and [the platform's](../docs/PLATFORM.md).

pub mod command;
pub mod control;
pub mod deployment;
pub mod fault;
pub mod fleet;
pub mod journal;
pub mod link;
pub mod node;
pub mod platform;
pub mod profile;
pub mod relay;
pub mod server;
pub mod store;
pub mod text;
