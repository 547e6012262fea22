//! A whole daemon: requests, claims, policy, control and the operators' port, made from settings.
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
use crate::operate::fleet::{Fleet, Responder};
use crate::operate::port::Port;
use crate::peer::Topic;
use crate::policy::Observation;
use crate::quarantine::replica::{self, Replica};
use crate::settings::Settings;
use crate::telemetry::{self, Meter};

mod console;
mod knobs;
mod meter;
mod options;
mod parts;
pub mod program;
mod view;
mod zone_loads;

use console::Board;
pub use options::Options;
use parts::Parts;
use zone_loads::{Listener, Teller};

/// How often what control learned is passed on.
const TICK: Duration = Duration::from_millis(50);

/// Why a daemon does not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The door, the roster or the threads of the daemon.
    #[snafu(display("{source}"))]
    Daemon {
        /// What went wrong.
        source: daemon::Error,
    },
    /// Configuration and membership.
    #[snafu(display("{source}"))]
    Control {
        /// What went wrong.
        source: control::Error,
    },
    /// The port for other daemons.
    #[snafu(display("opening the port for other daemons at {peer}: {source}"))]
    Peers {
        /// The address.
        peer: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The coordinator of claims.
    #[snafu(display("{source}"))]
    Coordinator {
        /// What went wrong.
        source: coordinator::Error,
    },
    /// The quarantine.
    #[snafu(display("{source}"))]
    Quarantine {
        /// What went wrong.
        source: replica::Error,
    },
    /// The operators' port.
    #[snafu(display("{source}"))]
    Operators {
        /// What went wrong.
        source: operate::Error,
    },
    /// Metrics.
    #[snafu(display("{source}"))]
    Telemetry {
        /// What went wrong.
        source: telemetry::Error,
    },
    /// A thread.
    #[snafu(display("starting the thread {step}: {source}"))]
    Thread {
        /// The thread.
        step: &'static str,
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// A running daemon with all that belongs to it.
pub struct Node {
    daemon: Arc<Daemon>,
    control: Arc<Control>,
    port: Option<Port>,
    drains: flume::Receiver<()>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts a daemon with all that belongs to it.
    ///
    /// # Errors
    ///
    /// When a port cannot be opened or a thread cannot be started.
    pub fn start(options: Options) -> Result<Self, Error> {
        let seed = options.seed;
        let (parts, daemon) = Parts::make(options)?;
        let settings = parts.settings;
        let (drain, drains) = flume::bounded(1);
        let board = Arc::new(Board {
            settings: settings.clone(),
            daemon: daemon.clone(),
            control: parts.control.clone(),
            quarantine: parts.quarantine.clone(),
            recorder: parts.recorder,
            drain,
        });
        let responder = Responder::new(board.clone());
        parts.net.set_handler(Topic::Operate, Arc::new(responder));
        let fleet = Fleet::new(board.clone(), Some(parts.net));
        let address = &settings.daemon.operators_address;
        let key = &settings.daemon.operators_key;
        let port = Port::start(address, key, board, fleet).context(OperatorsSnafu)?;
        let mut node = Self {
            daemon,
            control: parts.control,
            port: Some(port),
            drains,
            stop: Arc::default(),
            threads: Vec::new(),
        };
        node.attend(&settings, &parts.quarantine)?;
        node.tell(&settings.daemon.availability_zone, seed)?;
        Ok(node)
    }

    /// Starts the threads that pass on configuration, endpoints and metrics.
    fn attend(&mut self, settings: &Arc<Settings>, quarantine: &Arc<Replica>) -> Result<(), Error> {
        let (sender, observations) = flume::unbounded();
        self.control.subscribe(sender);
        let daemon = self.daemon.clone();
        let quarantine = quarantine.clone();
        let mut feed = knobs::Feed::new(settings.clone());
        let control = self.control.clone();
        self.spawn("node-feed", move |stop| {
            while !stop.load(Ordering::Acquire) {
                feed.pass(&control.view(), &daemon, &quarantine);
                // The daemon reads the list by itself, and knows only a part of a large one.
                match observations.recv_timeout(TICK) {
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

    /// Starts the thread that tells other zones of the load here.
    fn tell(&mut self, zone: &str, seed: u64) -> Result<(), Error> {
        let listener = Listener::new(&self.daemon);
        self.daemon
            .net()
            .set_handler(Topic::Digest, Arc::new(listener));
        let teller = Teller::new(self.daemon.clone(), self.control.clone(), zone, seed);
        self.spawn("node-digests", move |stop| teller.run(stop))
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

    /// Receives a message when an operator asks for a shutdown.
    pub fn drains(&self) -> &flume::Receiver<()> {
        &self.drains
    }

    /// Finishes what is in progress, tells the other daemons, and stops.
    ///
    /// Returns false when something was left after `timeout`.
    pub fn shutdown(&mut self, timeout: Duration) -> bool {
        self.control.leave();
        let is_clean = self.daemon.shutdown(timeout);
        self.port = None;
        self.stop.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
        is_clean
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
    }
}

#[cfg(test)]
mod tests;
