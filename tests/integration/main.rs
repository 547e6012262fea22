//! Whole-program tests.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod callers;
mod claims;
mod demo;
mod docs;
mod policy;
mod regions;
mod rig;
mod schema;
mod shutdown;
