//! Tests of the learnt latencies.

use super::*;

#[test]
fn quantile_empty_is_none() {
    assert_eq!(Histogram::default().quantile(0.5), None);
}

#[test]
fn quantile_known_samples_within_a_bucket() {
    let mut histogram = Histogram::default();
    for ms in 1..=100 {
        histogram.record(Duration::from_millis(ms));
    }
    let p50 = histogram.quantile(0.5).unwrap().as_secs_f64();
    assert!((0.050..=0.050 * BOUND_RATIO).contains(&p50), "{p50}");
    assert!((histogram.mean() - 0.0505).abs() < 1e-9);
}

#[test]
fn record_shift_is_relearnt() {
    let mut histogram = Histogram::default();
    for _ in 0..10_000 {
        histogram.record(Duration::from_millis(10));
    }
    for _ in 0..600 {
        histogram.record(Duration::from_millis(100));
    }
    assert!(histogram.quantile(0.5).unwrap() >= Duration::from_millis(100));
    assert!(histogram.mean() > 0.07);
}

#[test]
fn mean_first_sample_is_taken_whole() {
    let mut mean = Mean::default();
    mean.record(8.0, 0.1);
    assert_eq!(mean.get(), Some(8.0));
}
