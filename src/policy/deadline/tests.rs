//! Tests of deadlines over stages.

use super::*;

fn forecast(stages: &[u64]) -> Forecast {
    let mut forecast = Forecast::default();
    for (index, ms) in stages.iter().enumerate() {
        for _ in 0..100 {
            forecast.record(&"p".into(), index, Duration::from_millis(*ms));
        }
    }
    forecast
}

#[test]
fn allowance_unknown_pipeline_is_everything() {
    let left = Duration::from_secs(3);
    assert_eq!(Forecast::default().allowance("p", 0, left), left);
}

#[test]
fn allowance_keeps_time_for_later_stages() {
    let forecast = forecast(&[10, 20, 500]);
    let left = forecast.allowance("p", 1, Duration::from_millis(800));
    assert!(left <= Duration::from_millis(300));
    // The histogram's buckets are a quarter wide.
    assert!(left >= Duration::from_millis(300 - 125));
}

#[test]
fn allowance_last_stage_takes_the_slack() {
    let forecast = forecast(&[10, 20, 500]);
    let left = Duration::from_millis(800);
    assert_eq!(forecast.allowance("p", 2, left), left);
}

#[test]
fn min_time_shift_is_relearnt() {
    let mut forecast = forecast(&[100]);
    for _ in 0..2000 {
        forecast.record(&"p".into(), 0, Duration::from_millis(10));
    }
    assert!(forecast.min_time("p", 0) < Duration::from_millis(20));
}
