//! Histories of claims, checked; see [the design note](../../docs/design/claims.md).

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[allow(dead_code)]
#[path = "claims/history.rs"]
mod history;
#[path = "claims/naive.rs"]
mod naive;

use history::script::{Append, DAEMONS, KEYS, Run, Step, What};
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

fn what() -> impl Strategy<Value = What> {
    let span = |most: u64| (0..most).prop_map(Duration::from_millis);
    let append = prop_oneof![
        Just(Append::Refused),
        Just(Append::LostBefore),
        Just(Append::LostAfter),
        Just(Append::Late),
    ];
    let run = prop_oneof![
        Just(Run::Refused),
        Just(Run::LostAfter),
        Just(Run::LostBefore),
        Just(Run::Partial),
    ];
    prop_oneof![
        8 => (0..KEYS, 0..DAEMONS, prop::bool::weighted(0.1)).prop_map(
            |(key, daemon, other_body)| What::Send { key, daemon, other_body }
        ),
        1 => (0..DAEMONS).prop_map(What::Crash),
        1 => (0..DAEMONS, span(400_000)).prop_map(|(d, time)| What::Pause(d, time)),
        1 => span(5_000).prop_map(What::Outage),
        1 => span(1_000).prop_map(What::StaleReads),
        2 => append.prop_map(What::Append),
        2 => run.prop_map(What::Run),
        1 => (0..DAEMONS, span(4_000)).prop_map(|(d, time)| What::Cut(d, time)),
        1 => (0..DAEMONS, span(20_000)).prop_map(|(d, time)| What::Missing(d, time)),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let after = prop_oneof![8 => 0..600_u64, 1 => 0..200_000_u64];
    (after, what()).prop_map(|(ms, what)| Step {
        after: Duration::from_millis(ms),
        what,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn histories_shrinking(script in prop::collection::vec(step(), 1..20), seed in 0..1_000_u64) {
        let options = Options { seed, ..Options::default() };
        let truth = history::play(&script, options);
        prop_assert_eq!(history::check::check(&truth), Ok(()));
    }
}
