//! Tests of the desk.
