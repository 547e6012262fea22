//! Whole-program tests.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod claims;
mod docs;
mod schema;
