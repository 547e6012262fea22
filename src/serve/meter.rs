//! Counters and latencies of a daemon, served as text on its metrics address.
//!
//! Metrics go through `cadence` as in the whole system; here its sink sums them up in the process,
//! because the platform fetches them instead of receiving datagrams. See
//! [the operators' page](../../docs/OPERATIONS.md).

use std::io;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cadence::{Counted, Gauged, MetricSink, StatsdClient, Timed};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::http;
use super::response::text_response;

/// The largest latency that is recorded, and as which longer ones are: no deadline is longer.
const MAX_LATENCY_MS: u64 = 60_000;
/// Significant digits of latencies; two keep a histogram at a few kilobytes.
const LATENCY_DIGITS: u8 = 2;
/// The most metrics; their names are fixed, so more would be a bug.
const MAX_METRICS: usize = 256;
/// The quantiles of latencies that are reported, with their names.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99)];
/// How long the head of a request may take to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest head of a request.
const MAX_HEAD_BYTES: usize = 8 * 1024;

#[derive(Default)]
struct Sums {
    /// Counters, and the values of gauges.
    counters: IndexMap<String, u64>,
    latencies: IndexMap<String, Histogram<u32>>,
}

impl Sums {
    /// Adds a metric in the format of StatsD: `name:value|type`.
    fn add(&mut self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        let value: u64 = value.parse().ok()?;
        let is_known = self.counters.contains_key(name) || self.latencies.contains_key(name);
        if !is_known && self.counters.len() + self.latencies.len() >= MAX_METRICS {
            return None;
        }
        if kind.starts_with('g') {
            self.counters.insert(name.to_owned(), value);
        } else if kind.starts_with("ms") {
            let latencies = &mut self.latencies;
            if !latencies.contains_key(name) {
                let empty = Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS).ok()?;
                latencies.insert(name.to_owned(), empty);
            }
            latencies.get_mut(name)?.saturating_record(value.max(1));
        } else {
            *self.counters.entry(name.to_owned()).or_default() += value;
        }
        Some(())
    }

    fn render(&self) -> String {
        let counters = self.counters.iter();
        let mut lines: Vec<String> = counters
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        for (name, latency) in &self.latencies {
            lines.push(format!("{name}.count {}", latency.len()));
            let quantile =
                |(label, at)| format!("{name}.{label} {}", latency.value_at_quantile(at));
            lines.extend(QUANTILES.map(quantile));
            lines.push(format!("{name}.max {}", latency.max()));
        }
        lines.push(String::new());
        lines.join("\n")
    }
}

/// The sink of metrics. It is unwind safe: a panic inside loses one metric at worst.
struct Sink(AssertUnwindSafe<Arc<Mutex<Sums>>>);

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let added = self.0.lock().add(metric);
        let refused = || io::Error::other("invalid metric, or too many metrics");
        added.map(|()| metric.len()).ok_or_else(refused)
    }
}

/// The metrics of one daemon.
pub struct Meter {
    client: StatsdClient,
    sums: Arc<Mutex<Sums>>,
}

impl Meter {
    /// Makes metrics whose names begin with `prefix`.
    pub fn new(prefix: &str) -> Rc<Self> {
        let sums = Arc::<Mutex<Sums>>::default();
        let client = StatsdClient::from_sink(prefix, Sink(AssertUnwindSafe(sums.clone())));
        Rc::new(Self { client, sums })
    }

    /// Counts an event.
    pub fn count(&self, name: &str) {
        // This only fails for a metric over the limit, which is then missing from the page.
        drop(self.client.count(name, 1));
    }

    /// Records the value that something has now.
    pub fn gauge(&self, name: &str, value: usize) {
        drop(self.client.gauge(name, value as u64));
    }

    /// Records how long something took.
    pub fn time(&self, name: &str, took: Duration) {
        let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        drop(self.client.time(name, millis));
    }

    /// Returns all metrics, one per line.
    pub fn render(&self) -> String {
        self.sums.lock().render()
    }
}

/// Serves the metrics over HTTP as long as the process runs.
pub async fn serve(listener: TcpListener, meter: Rc<Meter>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_connection(stream, meter.clone()));
        } else {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn serve_connection(stream: TcpStream, meter: Rc<Meter>) {
    let (mut source, mut sink) = http::split(stream);
    while let Ok(Ok(head)) = timeout(REQUEST_TIMEOUT, source.request_head(MAX_HEAD_BYTES)).await {
        let response = text_response(&meter.render(), head.keep_alive);
        if http::send(&mut sink, &response).await.is_err() || !head.keep_alive {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
