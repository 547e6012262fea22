//! Tests of the metrics page.

use super::*;

#[test]
fn page_counts_and_latencies() {
    let meter = Meter::new("c");
    meter.count("request.answered");
    meter.count("request.answered");
    for millis in 1..=100 {
        meter.time("request", Duration::from_millis(millis));
    }
    let page = meter.render();
    for line in [
        "c.request.answered 2",
        "c.request.count 100",
        "c.request.p50 50",
        "c.request.max 100",
    ] {
        assert!(
            page.lines().any(|metric| metric == line),
            "{line} is missing in {page}"
        );
    }
}

#[test]
fn page_bounded() {
    let meter = Meter::new("c");
    for number in 0..1_000 {
        meter.count(&format!("n{number}"));
    }
    assert_eq!(meter.render().lines().count(), MAX_METRICS);
}
