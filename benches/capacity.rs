//! Measures; filled in by the module that it belongs to.

fn main() {}
