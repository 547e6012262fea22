//! A thin program around the library.

fn main() {}
