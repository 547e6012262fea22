//! Sends what the daemon counts as metrics.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use indexmap::IndexMap;

use crate::daemon::Daemon;
use crate::operate::Report;
use crate::telemetry::Meter;

/// How often metrics are sent.
const EVERY: Duration = Duration::from_secs(1);
/// How often the thread looks whether it should stop.
const LOOK: Duration = Duration::from_millis(50);

/// Totals as they were last sent; only differences are.
#[derive(Default)]
struct Totals {
    sent: IndexMap<String, u64>,
}

impl Totals {
    fn count(&mut self, meter: &Meter, name: String, total: u64) {
        let before = self.sent.get(&name).copied().unwrap_or(0);
        if total > before {
            meter.count(&name, total - before);
            self.sent.insert(name, total);
        }
    }

    fn report(&mut self, meter: &Meter, report: &Report) {
        for a in &report.pipelines {
            let counts = [
                ("ended", a.requests),
                ("attained", a.attained),
                ("late", a.late),
                ("not-run", a.not_run),
                ("unknown", a.unknown),
                ("failed", a.failed),
            ];
            for (what, total) in counts {
                self.count(meter, format!("pipeline.{}.{what}", a.pipeline), total);
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
            for (what, total) in counts {
                self.count(meter, format!("stage.{stage}.{what}"), total);
            }
        }
    }
}

/// Sends metrics until `stop` is set.
pub fn run(meter: &Meter, daemon: &Daemon, stop: &AtomicBool) {
    let mut totals = Totals::default();
    let mut waited = EVERY;
    while !stop.load(Ordering::Acquire) {
        if waited >= EVERY {
            waited = Duration::ZERO;
            let status = daemon.status();
            meter.gauge("requests", status.requests as u64);
            meter.gauge("connections", status.connections as u64);
            for (name, total) in status.counts {
                totals.count(meter, name.to_owned(), total);
            }
            totals.report(meter, &daemon.report());
        }
        std::thread::sleep(LOOK);
        waited += LOOK;
    }
}
