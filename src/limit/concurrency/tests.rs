//! Tests of the concurrency limit.

use proptest::prelude::*;

use super::*;

fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

#[test]
fn adapt_to_load_idle_keeps_limit() {
    let mut limit = Limit::default();
    limit.adapt_to_load(0.0, 0.0, 1.0, 0, at(0));
    assert_eq!(limit.get(), 2);
}

#[test]
fn adapt_to_load_binding_without_waiting_grows() {
    let mut limit = Limit::default();
    limit.adapt_to_load(0.0, 4.0, 1.0, 2, at(0));
    assert_eq!(limit.get(), 3);
}

#[test]
fn adapt_to_load_twice_within_interval_counts_once() {
    let mut limit = Limit::default();
    limit.resize(10, 64);
    limit.adapt_to_load(4.0, 8.0, 1.0, 20, at(1000));
    let decreased = limit.fractional();
    limit.adapt_to_load(4.0, 8.0, 1.0, 20, at(1100));
    assert_eq!(limit.fractional(), decreased);
    limit.adapt_to_load(4.0, 8.0, 1.0, 20, at(1300));
    assert!(limit.fractional() < decreased);
}

#[test]
fn adapt_to_load_two_daemons_converge_to_equal_shares() {
    let (mut a, mut b) = (Limit::default(), Limit::default());
    a.resize(12, 64);
    b.resize(12, 64);
    b.adapt_to_latency(true, 9, at(0));
    while b.fractional() > 4.0 {
        b.last_change = None;
        b.adapt_to_latency(true, 9, at(0));
    }
    assert!(a.fractional() > 5.0 * b.fractional());
    // Twelve endpoints run four calls each; what is above waits.
    for round in 0..400 {
        let sum = a.fractional() + b.fractional();
        let waiting = ((sum - 48.0) / 12.0).max(0.0);
        let now = at(round * 300);
        a.adapt_to_load(waiting, 4.0 + waiting, 1.0, a.get(), now);
        b.adapt_to_load(waiting, 4.0 + waiting, 1.0, b.get(), now);
    }
    let ratio = a.fractional() / b.fractional();
    assert!(
        (0.5..2.0).contains(&ratio),
        "{} and {}",
        a.fractional(),
        b.fractional()
    );
    let sum = a.fractional() + b.fractional();
    assert!((48.0..72.0).contains(&sum), "{sum}");
}

#[test]
fn adapt_to_latency_congestion_forever_stays_at_one() {
    let mut limit = Limit::default();
    for second in 0..1000 {
        limit.adapt_to_latency(true, 9, Duration::from_secs(second));
    }
    assert_eq!(limit.get(), 1);
}

proptest! {
    #[test]
    fn limit_stays_within_bounds(
        steps in prop::collection::vec((0.0..20.0f64, 0u32..200, any::<bool>()), 0..300),
    ) {
        let mut limit = Limit::default();
        limit.resize(2, 3);
        for (n, (waiting, in_flight, reported)) in (0..).zip(steps) {
            if reported {
                limit.adapt_to_load(waiting, waiting + 4.0, 1.0, in_flight, at(n * 200));
            } else {
                limit.adapt_to_latency(waiting > 10.0, in_flight, at(n * 200));
            }
            prop_assert!((1..=6).contains(&limit.get()));
        }
    }
}
