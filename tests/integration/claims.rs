//! Histories of claims, checked; see [the design note](../../docs/design/claims.md).

#[allow(dead_code)]
#[path = "claims/history.rs"]
mod history;

use history::world::Options;

/// Histories of one run of the tests; the bench runs many more.
const HISTORIES: u64 = 1_500;

#[test]
fn histories_seeded() {
    for seed in 0..HISTORIES {
        let options = Options {
            seed,
            ..Options::default()
        };
        history::run(options).unwrap();
    }
}
