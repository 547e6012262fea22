//! Sends the counters of the daemon as metrics.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use indexmap::IndexMap;

use crate::daemon::Daemon;
use crate::operate::Report;
use crate::telemetry::Meter;

/// The interval at which metrics are sent.
const SEND_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between checks of `stop`.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Totals as last sent; a metric carries the increase since.
#[derive(Default)]
struct Totals {
    sent: IndexMap<String, u64>,
}

impl Totals {
    fn send_increase(&mut self, meter: &Meter, name: String, total: u64) {
        let last = self.sent.get(&name).copied().unwrap_or(0);
        if total > last {
            meter.count(&name, total - last);
            self.sent.insert(name, total);
        }
    }

    fn send_report(&mut self, meter: &Meter, report: &Report) {
        for a in &report.pipelines {
            let counts = [
                ("ended", a.requests),
                ("attained", a.attained),
                ("late", a.late),
                ("not-run", a.not_run),
                ("unknown", a.unknown),
                ("failed", a.failed),
            ];
            for (counter, total) in counts {
                self.send_increase(meter, format!("pipeline.{}.{counter}", a.pipeline), total);
            }
        }
        for cost in &report.stages {
            let stage = cost.name.replace('/', ".");
            let counts = [
                ("calls", cost.calls),
                ("tokens", cost.tokens),
                ("link-bytes", cost.link_bytes),
                ("wasted-tokens", cost.wasted_tokens),
            ];
            for (counter, total) in counts {
                self.send_increase(meter, format!("stage.{stage}.{counter}"), total);
            }
        }
    }
}

/// Sends metrics until `stop` is set.
pub fn run(meter: &Meter, daemon: &Daemon, stop: &AtomicBool) {
    let mut totals = Totals::default();
    let mut since_sent = SEND_INTERVAL;
    while !stop.load(Ordering::Acquire) {
        if since_sent >= SEND_INTERVAL {
            since_sent = Duration::ZERO;
            let status = daemon.status();
            meter.gauge("requests", status.requests as u64);
            meter.gauge("connections", status.connections as u64);
            for (name, total) in status.counts {
                totals.send_increase(meter, name.to_owned(), total);
            }
            totals.send_report(meter, &daemon.report());
        }
        std::thread::sleep(STOP_POLL_INTERVAL);
        since_sent += STOP_POLL_INTERVAL;
    }
}
