//! Cyclamenrill serves multi-stage model pipelines: it routes requests from callers to endpoints.
//!
//! Decisions are state machines that do no I/O; threads, sockets and channels form a shell
//! around them. See [the architecture](../docs/ARCHITECTURE.md).

// Unit tests share the checker of claim histories with the integration tests and the benches.
#[cfg(test)]
extern crate self as cyclamenrill;

#[macro_use]
mod derive;

pub mod claim;
pub mod clock;
pub mod config;
pub mod control;
pub mod daemon;
pub mod demo;
pub mod emulator;
pub mod endpoint;
pub mod entry;
pub mod exchange;
pub mod generated;
pub mod id;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod load;
pub mod member;
pub mod node;
pub mod operate;
pub mod order;
pub mod peer;
pub mod pipeline;
pub mod platform;
pub mod policy;
pub mod quarantine;
pub mod retry;
pub mod route;
pub mod serve;
pub mod settings;
pub mod standin;
pub mod telemetry;
pub mod timeline;
