//! Code generated from the schemas in `schema/` by `schema/generate.sh`.

#![allow(
    dead_code,
    missing_docs,
    clippy::all,
    clippy::pedantic,
    unused_qualifications,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls
)]

pub mod claim;
pub mod claim_capnp;
pub mod config;
pub mod control;
pub mod member_capnp;
pub mod peer_capnp;
pub mod plan_capnp;
pub mod quarantine;
pub mod quarantine_capnp;
pub mod settings;
