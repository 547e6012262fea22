//! Tests of the arrival process.

use std::time::Duration;

use super::{Burst, Schedule};

const LENGTH: Duration = Duration::from_secs(100);

#[test]
fn arrivals_follow_rate_and_seed() {
    let schedule = Schedule::new(50.0, LENGTH, 7);
    let arrivals = schedule.arrivals();
    // Five standard deviations of a Poisson count of 5,000.
    assert!(arrivals.len().abs_diff(5_000) < 354, "{}", arrivals.len());
    assert!(arrivals.is_sorted());
    assert_eq!(arrivals, schedule.arrivals());
    assert_ne!(arrivals, Schedule::new(50.0, LENGTH, 8).arrivals());
}

#[test]
fn arrivals_burst_is_denser() {
    let burst = Burst {
        every: Duration::from_secs(10),
        length: Duration::from_secs(1),
        factor: 5.0,
    };
    let arrivals = Schedule::new(50.0, LENGTH, 7).burst(burst).arrivals();
    let is_burst = |at: &&Duration| at.as_secs().is_multiple_of(10);
    let inside = arrivals.iter().filter(is_burst).count();
    let outside = arrivals.len() - inside;
    // 2,500 and 4,500 are expected; the bounds are five standard deviations.
    assert!(inside.abs_diff(2_500) < 250, "{inside}");
    assert!(outside.abs_diff(4_500) < 336, "{outside}");
}
