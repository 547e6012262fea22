//! Prefix hashes compare prompts.

use super::*;

#[test]
fn hashes_share_common_prefix() {
    let common = "a".repeat(STEP_BYTES);
    let one = hashes(&format!("{common}{}", "b".repeat(STEP_BYTES)));
    let two = hashes(&format!("{common}{}", "c".repeat(STEP_BYTES)));
    assert_eq!(one.len(), 2);
    assert_eq!(one[0], two[0]);
    assert_ne!(one[1], two[1]);
}

#[test]
fn hashes_are_bounded() {
    let long = "x".repeat(STEP_BYTES * MAX_PREFIXES * 2);
    assert_eq!(hashes(&long).len(), MAX_PREFIXES);
}
