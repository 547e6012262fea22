//! Tests of the membership of daemons and endpoints.

mod endpoint;
mod swim;
mod wire;
