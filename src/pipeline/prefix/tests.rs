//! Tests of prefix hashes.

use super::*;

#[test]
fn hashes_share_common_prefix() {
    let common = "a".repeat(STEP_BYTES);
    let first = hashes(&format!("{common}{}", "b".repeat(STEP_BYTES)));
    let second = hashes(&format!("{common}{}", "c".repeat(STEP_BYTES)));
    assert_eq!(first.len(), 2);
    assert_eq!(first[0], second[0]);
    assert_ne!(first[1], second[1]);
}

#[test]
fn hashes_are_bounded() {
    let long = "x".repeat(STEP_BYTES * MAX_PREFIXES * 2);
    assert_eq!(hashes(&long).len(), MAX_PREFIXES);
}
