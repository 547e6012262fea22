//! Tests of the checks themselves: they must catch every fault injected into the decisions.

use super::mutation::{self, Mutation};

#[allow(dead_code)]
#[path = "../../tests/integration/claims/history.rs"]
mod history;

use history::world::Options;

/// Histories that are tried for each fault.
const SEEDS: u64 = 4_000;

/// Returns what the checks report of the first history in which they catch the fault.
fn caught(mutation: Option<Mutation>, retries_after_byte: bool) -> Option<String> {
    mutation::activate(mutation);
    let found = (0..SEEDS).find_map(|seed| {
        let options = Options {
            seed,
            retries_after_byte,
            ..Options::default()
        };
        history::run(options).err()
    });
    mutation::activate(None);
    found
}

#[test]
fn mutation_skip_read_back() {
    assert!(caught(Some(Mutation::SkipReadBack), false).is_some());
}

#[test]
fn mutation_drop_release_rule() {
    assert!(caught(Some(Mutation::DropReleaseRule), false).is_some());
}

#[test]
fn mutation_ignore_request_id() {
    assert!(caught(Some(Mutation::IgnoreAttemptId), false).is_some());
}

#[test]
fn mutation_trust_expired_window() {
    assert!(caught(Some(Mutation::TrustExpiredWindow), false).is_some());
}

#[test]
fn mutation_forget_release() {
    assert!(caught(Some(Mutation::ForgetRelease), false).is_some());
}

#[test]
fn mutation_trust_trimmed() {
    assert!(caught(Some(Mutation::TrustTrimmed), false).is_some());
}

#[test]
fn mutation_retry_after_byte() {
    assert!(caught(None, true).is_some());
}
