//! Tests of the order of daemons.
