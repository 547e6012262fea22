//! Code generated from the schemas in `schema/` by `schema/generate.sh`.

#[allow(
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

#[allow(
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
pub mod claim_capnp;

#[allow(
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
pub mod config;

#[allow(
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
pub mod control;

#[allow(
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
pub mod member_capnp;

#[allow(
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
pub mod settings;

#[allow(
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
pub mod quarantine;

#[allow(
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
pub mod quarantine_capnp;

#[allow(
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
pub mod peer_capnp;
