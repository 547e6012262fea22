//! Logs by slog on standard error, and metrics by cadence to a StatsD server.
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

/// What every metric's name starts with.
const PREFIX: &str = "cyclamenrill";
/// Metrics that wait for the socket before new ones are dropped.
const QUEUE: usize = 4_096;
/// Log lines that wait for standard error before new ones are dropped and counted.
const LINES: usize = 4_096;

/// Why telemetry cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The socket for metrics cannot be opened.
    #[snafu(display("opening a socket for metrics to {peer}: {source}"))]
    Socket {
        /// The StatsD server.
        peer: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The sink for metrics cannot be made.
    #[snafu(display("sending metrics to {peer}: {source}"))]
    Sink {
        /// The StatsD server.
        peer: SocketAddr,
        /// What the library said.
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

/// Moves the writing of log lines off the threads that serve requests.
fn queued<D>(drain: D, filter: Level) -> slog_async::Async
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    slog_async::Async::new(LevelFilter::new(drain, filter).fuse())
        .chan_size(LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
}

/// Makes the logger of a process whose platform collects JSON lines from standard output; `name`
/// stands on every line.
pub fn stdout_json_logger(name: &str) -> Logger {
    let format = slog_json::Json::default(std::io::stdout());
    let drain = queued(format.ignore_res(), Level::Info);
    Logger::root(drain.ignore_res(), o!("daemon" => name.to_owned()))
}

/// Makes the logger of a process; `name` stands on every line.
pub fn logger(logging: &Logging, name: &str) -> Logger {
    let filter = level(logging.level);
    let drain = match logging.format {
        LoggingFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let format = slog_term::FullFormat::new(decorator).build();
            queued(format.ignore_res(), filter)
        }
        LoggingFormat::Json => {
            let format = slog_json::Json::default(std::io::stderr());
            queued(format.ignore_res(), filter)
        }
    };
    Logger::root(drain.ignore_res(), o!("daemon" => name.to_owned()))
}

/// Returns a logger that drops everything, for tests and embedded use.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Counts and times what a daemon does.
///
/// A failing StatsD server never slows the daemon: metrics are queued and then dropped.
pub struct Meter {
    client: StatsdClient,
}

impl Meter {
    /// Sends metrics to `peer`, or nowhere.
    ///
    /// # Errors
    ///
    /// When no socket can be opened.
    pub fn new(peer: Option<SocketAddr>, daemon: &str) -> Result<Self, Error> {
        let client = match peer {
            Some(peer) => client(udp(peer)?, daemon),
            None => client(NopMetricSink, daemon),
        };
        Ok(Self { client })
    }

    /// Sends metrics into `sink`, for tests.
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

    /// Records how long something took.
    pub fn time(&self, name: &str, took: std::time::Duration) {
        drop(self.client.time(name, took));
    }
}

fn client(
    sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    daemon: &str,
) -> StatsdClient {
    StatsdClient::builder(PREFIX, sink)
        .with_tag("daemon", daemon)
        .build()
}

fn udp(peer: SocketAddr) -> Result<QueuingMetricSink, Error> {
    let any: SocketAddr = match peer {
        SocketAddr::V4(_) => (std::net::Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (std::net::Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any).context(SocketSnafu { peer })?;
    socket.set_nonblocking(true).context(SocketSnafu { peer })?;
    let sink = BufferedUdpMetricSink::from(peer, socket).context(SinkSnafu { peer })?;
    Ok(QueuingMetricSink::with_capacity(sink, QUEUE))
}

#[cfg(test)]
mod tests;
