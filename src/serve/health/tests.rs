//! Tests of the module above.
