//! Tests of the StatsD lines that the meter sends.

use std::time::Duration;

use cadence::SpyMetricSink;

use super::Meter;

#[test]
fn meter_writes_statsd_lines() {
    let (received, sink) = SpyMetricSink::new();
    let meter = Meter::with_sink(sink);
    meter.count("request.answered", 2);
    meter.gauge("request.running", 7);
    meter.time("stage", Duration::from_millis(31));
    let lines: Vec<String> = received
        .try_iter()
        .map(|bytes| String::from_utf8(bytes).unwrap())
        .collect();
    assert_eq!(
        lines,
        [
            "cyclamenrill.request.answered:2|c|#daemon:test",
            "cyclamenrill.request.running:7|g|#daemon:test",
            "cyclamenrill.stage:31|ms|#daemon:test",
        ]
    );
}

#[test]
fn meter_without_server() {
    let meter = Meter::new(None, "entry-1").unwrap();
    meter.count("request.answered", 1);
}
