//! A whole daemon made from settings: requests, claims, policy, control, operators' port.
//!
//! See [the architecture](../docs/ARCHITECTURE.md).

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use snafu::{ResultExt, Snafu};

use crate::claim::coordinator;
use crate::control::{self, Control};
use crate::daemon::{self, Daemon};
use crate::operate;
use crate::operate::fleet::{Collector, Responder};
use crate::operate::port::Port;
use crate::peer::Topic;
use crate::policy::Observation;
use crate::quarantine::replica::{self, Replica};
use crate::settings::Settings;
use crate::telemetry::{self, Meter};

mod knobs;
mod meter;
mod operations;
mod options;
mod parts;
pub mod program;
mod view;
mod zone_loads;

use operations::NodeOperations;
pub use options::Options;
use parts::Parts;
use zone_loads::{Receiver, Sender};

/// The longest interval between checks for a new configuration.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a daemon does not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The callers' port, the roster or a thread of the daemon failed.
    #[snafu(display("{source}"))]
    Daemon {
        /// The cause.
        source: daemon::Error,
    },
    /// Configuration or membership failed to start.
    #[snafu(display("{source}"))]
    Control {
        /// The cause.
        source: control::Error,
    },
    /// The peers' port cannot be opened.
    #[snafu(display("opening the port for other daemons at {peer}: {source}"))]
    Peers {
        /// The address.
        peer: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The coordinator of claims failed to start.
    #[snafu(display("{source}"))]
    Coordinator {
        /// The cause.
        source: coordinator::Error,
    },
    /// The quarantine failed to start.
    #[snafu(display("{source}"))]
    Quarantine {
        /// The cause.
        source: replica::Error,
    },
    /// The operators' port cannot be opened.
    #[snafu(display("{source}"))]
    Operators {
        /// The cause.
        source: operate::Error,
    },
    /// Metrics cannot be sent.
    #[snafu(display("{source}"))]
    Telemetry {
        /// The cause.
        source: telemetry::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("starting the thread {step}: {source}"))]
    Thread {
        /// The name of the thread.
        step: &'static str,
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// A running daemon with all its parts.
pub struct Node {
    daemon: Arc<Daemon>,
    control: Arc<Control>,
    port: Option<Port>,
    drain_requests: flume::Receiver<()>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts a daemon with all its parts.
    ///
    /// # Errors
    ///
    /// When a port cannot be opened or a thread cannot be started.
    pub fn start(options: Options) -> Result<Self, Error> {
        let seed = options.seed;
        let (parts, daemon) = Parts::start(options)?;
        let settings = parts.settings;
        let (drain, drain_requests) = flume::bounded(1);
        let operations = Arc::new(NodeOperations {
            settings: settings.clone(),
            daemon: daemon.clone(),
            control: parts.control.clone(),
            quarantine: parts.quarantine.clone(),
            recorder: parts.recorder,
            drain,
        });
        let responder = Responder::new(operations.clone());
        parts.net.set_handler(Topic::Operate, Arc::new(responder));
        let collector = Collector::new(operations.clone(), Some(parts.net));
        let address = &settings.daemon.operators_address;
        let key = &settings.daemon.operators_key;
        let port = Port::start(address, key, operations, collector).context(OperatorsSnafu)?;
        let mut node = Self {
            daemon,
            control: parts.control,
            port: Some(port),
            drain_requests,
            stop: Arc::default(),
            threads: Vec::new(),
        };
        node.start_feeds(&settings, &parts.quarantine)?;
        node.start_zone_loads(&settings.daemon.availability_zone, seed)?;
        Ok(node)
    }

    /// Starts the threads for configuration, endpoints and metrics.
    fn start_feeds(
        &mut self,
        settings: &Arc<Settings>,
        quarantine: &Arc<Replica>,
    ) -> Result<(), Error> {
        let (sender, observations) = flume::unbounded();
        self.control.subscribe(sender);
        let daemon = self.daemon.clone();
        let quarantine = quarantine.clone();
        let mut feed = knobs::ConfigFeed::new(settings.clone());
        let control = self.control.clone();
        self.spawn("node-feed", move |stop| {
            while !stop.load(Ordering::Acquire) {
                feed.apply(&control.view(), &daemon, &quarantine);
                // The daemon reads the roster itself and uses only a subset of a large one.
                match observations.recv_timeout(CONFIG_POLL_INTERVAL) {
                    Ok(Observation::Candidates(_)) | Err(_) => {}
                    Ok(observation) => daemon.observe(&observation),
                }
            }
        })?;
        let peer = settings.daemon.statsd_address.as_deref();
        let peer: Option<SocketAddr> = peer.and_then(|address| address.parse().ok());
        let meter = Meter::new(peer, &settings.daemon.name).context(TelemetrySnafu)?;
        let daemon = self.daemon.clone();
        self.spawn("node-meter", move |stop| meter::run(&meter, &daemon, stop))
    }

    /// Starts exchanging loads with other availability zones.
    fn start_zone_loads(&mut self, zone: &str, seed: u64) -> Result<(), Error> {
        let receiver = Receiver::new(&self.daemon);
        self.daemon
            .net()
            .set_handler(Topic::Digest, Arc::new(receiver));
        let sender = Sender::new(self.daemon.clone(), self.control.clone(), zone, seed);
        self.spawn("node-digests", move |stop| sender.run(stop))
    }

    fn spawn(
        &mut self,
        step: &'static str,
        work: impl FnOnce(&AtomicBool) + Send + 'static,
    ) -> Result<(), Error> {
        let stop = self.stop.clone();
        let thread = std::thread::Builder::new()
            .name(step.to_owned())
            .spawn(move || work(&stop))
            .context(ThreadSnafu { step })?;
        self.threads.push(thread);
        Ok(())
    }

    /// Returns the daemon.
    pub fn daemon(&self) -> &Arc<Daemon> {
        &self.daemon
    }

    /// Returns the control plane.
    pub fn control(&self) -> &Arc<Control> {
        &self.control
    }

    /// Returns the address and port for operators.
    pub fn operators_address(&self) -> Option<SocketAddr> {
        self.port.as_ref().map(Port::address)
    }

    /// Returns the channel of operators' requests for a shutdown.
    pub fn drain_requests(&self) -> &flume::Receiver<()> {
        &self.drain_requests
    }

    /// Notifies the other daemons, finishes what is in progress and stops.
    ///
    /// Returns whether all work finished within `timeout`.
    pub fn shutdown(&mut self, timeout: Duration) -> bool {
        self.control.leave();
        let is_complete = self.daemon.shutdown(timeout);
        self.port = None;
        self.stop.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
        is_complete
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
    }
}

#[cfg(test)]
mod tests;
