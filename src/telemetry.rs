//! Logs through slog, and metrics through cadence to a StatsD server.
//!
//! See [the page on configuration](../docs/CONFIGURATION.md).

use std::net::{SocketAddr, UdpSocket};

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricSink, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed,
};
use slog::{Drain, Level, LevelFilter, Logger, o};
use snafu::{ResultExt, Snafu};

use crate::settings::{Logging, LoggingFormat, LoggingLevel};

/// The prefix of every metric's name.
const METRIC_PREFIX: &str = "cyclamenrill";
/// The most metrics queued for the socket; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 4_096;
/// The most log lines queued for output; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Why telemetry cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The socket for metrics cannot be opened.
    #[snafu(display("opening a socket for metrics to {peer}: {source}"))]
    Socket {
        /// The StatsD server.
        peer: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The sink for metrics cannot be created.
    #[snafu(display("sending metrics to {peer}: {source}"))]
    Sink {
        /// The StatsD server.
        peer: SocketAddr,
        /// The error of the library.
        source: cadence::MetricError,
    },
}

fn level(level: LoggingLevel) -> Level {
    match level {
        LoggingLevel::Debug => Level::Debug,
        LoggingLevel::Info => Level::Info,
        LoggingLevel::Warning => Level::Warning,
        LoggingLevel::Error => Level::Error,
    }
}

/// Writes log lines on a separate thread, not on those that serve requests.
fn async_drain<D>(drain: D, filter: Level) -> slog_async::Async
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    slog_async::Async::new(LevelFilter::new(drain, filter).fuse())
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
}

/// Returns the logger of a process whose platform collects JSON lines from standard output; each
/// line carries `name`.
pub fn stdout_json_logger(name: &str) -> Logger {
    let format = slog_json::Json::default(std::io::stdout());
    let drain = async_drain(format.ignore_res(), Level::Info);
    Logger::root(drain.ignore_res(), o!("daemon" => name.to_owned()))
}

/// Returns a logger that writes to standard error; each line carries `name`.
pub fn logger(logging: &Logging, name: &str) -> Logger {
    let filter = level(logging.level);
    let drain = match logging.format {
        LoggingFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let format = slog_term::FullFormat::new(decorator).build();
            async_drain(format.ignore_res(), filter)
        }
        LoggingFormat::Json => {
            let format = slog_json::Json::default(std::io::stderr());
            async_drain(format.ignore_res(), filter)
        }
    };
    Logger::root(drain.ignore_res(), o!("daemon" => name.to_owned()))
}

/// Returns a logger that discards everything, for tests and embedded use.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Sends metrics of a daemon.
///
/// A failing StatsD server never slows the daemon: metrics are queued and then dropped.
pub struct Meter {
    client: StatsdClient,
}

impl Meter {
    /// Returns a meter that sends to `peer`, if any.
    ///
    /// # Errors
    ///
    /// When no socket can be opened.
    pub fn new(peer: Option<SocketAddr>, daemon: &str) -> Result<Self, Error> {
        let client = match peer {
            Some(peer) => client(udp_sink(peer)?, daemon),
            None => client(NopMetricSink, daemon),
        };
        Ok(Self { client })
    }

    /// Sends metrics to `sink`, for tests.
    pub fn with_sink(
        sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    ) -> Self {
        Self {
            client: client(sink, "test"),
        }
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, by: u64) {
        drop(self.client.count(name, by));
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        drop(self.client.gauge(name, value));
    }

    /// Records a duration.
    pub fn time(&self, name: &str, duration: std::time::Duration) {
        drop(self.client.time(name, duration));
    }
}

fn client(
    sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    daemon: &str,
) -> StatsdClient {
    StatsdClient::builder(METRIC_PREFIX, sink)
        .with_tag("daemon", daemon)
        .build()
}

fn udp_sink(peer: SocketAddr) -> Result<QueuingMetricSink, Error> {
    let unspecified: SocketAddr = match peer {
        SocketAddr::V4(_) => (std::net::Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (std::net::Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(unspecified).context(SocketSnafu { peer })?;
    socket.set_nonblocking(true).context(SocketSnafu { peer })?;
    let sink = BufferedUdpMetricSink::from(peer, socket).context(SinkSnafu { peer })?;
    Ok(QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS))
}

#[cfg(test)]
mod tests;
