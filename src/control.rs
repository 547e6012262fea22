//! The control plane of one daemon: threads around configuration, membership, leases and orders.
//!
//! No request waits for the control plane: its threads read the log and the platform's list, and
//! other modules read snapshots.
//! See [the design note](../docs/design/config.md).

use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use snafu::{ResultExt, Snafu};

use crate::clock::System;
use crate::config::record::{Change, Entry, Record};
use crate::config::{View, edit};
use crate::member::Evidence;
use crate::policy::{Candidate, Observation};
use crate::settings::Settings;
use crate::{id, lease, peer, platform};

pub mod budget;
mod controller;
mod duty;
mod gossip;
mod handler;
mod leases;
mod options;
mod pull;
mod roster;
mod shared;
mod snapshot;
mod status;
mod tail;
mod traffic;
mod zone;

pub use options::Options;
use shared::Shared;
pub use status::{Lease, Peer, Status, UpgradeStatus, ZoneStatus};

/// Timeout of one append to the log.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Poll interval while waiting for other daemons to reach a revision.
const AWAIT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why control cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A required option was not given.
    #[snafu(display("start control: no {what} was given"))]
    Missing {
        /// The option.
        what: &'static str,
    },
    /// The UDP port cannot be opened, or a thread not started.
    #[snafu(display("{step} at {peer}: {source}"))]
    Port {
        /// The step that failed.
        step: &'static str,
        /// The address.
        peer: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Returns a required option, or an error that names it.
fn require<T: Clone>(what: &'static str, option: Option<&T>) -> Result<T, Error> {
    option.cloned().ok_or(Error::Missing { what })
}

fn open(socket: Option<&UdpSocket>, address: &str) -> std::io::Result<UdpSocket> {
    let socket = match socket {
        Some(socket) => socket.try_clone()?,
        None => UdpSocket::bind(address)?,
    };
    socket.set_read_timeout(Some(gossip::RECEIVE_TIMEOUT))?;
    Ok(socket)
}

fn dependencies(
    options: &Options,
    settings: Arc<Settings>,
    socket: &UdpSocket,
) -> Result<shared::Dependencies, Error> {
    let address = socket.local_addr().context(PortSnafu {
        step: "read the UDP port",
        peer: &settings.daemon.peers_address,
    })?;
    let clock = options.clock.clone();
    let clock = clock.unwrap_or_else(|| Arc::new(System::new()));
    let engines = options.engine.clone().zip(options.weights.clone());
    Ok(shared::Dependencies {
        engine_access: engines.map(|(e, w)| shared::EngineAccess::new(e, w, Arc::clone(&clock))),
        address: address.to_string(),
        log: require("log", options.log.as_ref())?,
        roster: require("roster", options.roster.as_ref())?,
        recorder: require("recorder", options.recorder.as_ref())?,
        link: options.link.clone(),
        clock,
        seed: options.seed,
        settings,
    })
}

/// The main function of a control thread.
type Run = fn(&Shared);

fn spawn(shared: &Arc<Shared>, socket: UdpSocket) -> std::io::Result<()> {
    let threads: [(&str, Run); 6] = [
        ("control-tail", tail::run),
        ("control-pull", pull::run),
        ("control-roster", roster::run),
        ("control-duty", duty::run),
        ("control-leases", leases::run),
        ("control-zone", zone::run),
    ];
    for (name, run) in threads {
        let shared = Arc::clone(shared);
        thread::Builder::new()
            .name(name.into())
            .spawn(move || run(&shared))?;
    }
    let shared = Arc::clone(shared);
    thread::Builder::new()
        .name("control-gossip".into())
        .spawn(move || gossip::run(&shared, &socket))?;
    Ok(())
}

/// The control plane of one daemon.
pub struct Control {
    shared: Arc<Shared>,
}

impl Control {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Fails when a required option is missing, or when the UDP port cannot be opened.
    pub fn start(options: &Options) -> Result<Self, Error> {
        let settings = require("settings", options.settings.as_ref())?;
        let peer = settings.daemon.peers_address.clone();
        let socket = open(options.socket.as_deref(), &peer).context(PortSnafu {
            step: "open the UDP port",
            peer: &peer,
        })?;
        let dependencies = dependencies(options, settings, &socket)?;
        let shared = Arc::new(Shared::new(dependencies));
        spawn(&shared, socket).context(PortSnafu {
            step: "start a thread of control",
            peer: &peer,
        })?;
        Ok(Self { shared })
    }

    /// Returns the current configuration; cheap, and never blocked by the log.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.shared.view.read())
    }

    /// Returns the live daemons, including this one.
    pub fn live(&self) -> Vec<Peer> {
        self.shared.live()
    }

    /// Returns the endpoints on the platform's list; those that get no new calls are `leaving`.
    pub fn candidates(&self) -> Vec<Candidate> {
        let now = self.shared.clock.now();
        self.shared.endpoints.lock().candidates(now)
    }

    /// Sends `sender` the endpoints now and after each read of the list, and those that leave.
    pub fn subscribe(&self, sender: flume::Sender<Observation>) {
        drop(sender.send(Observation::Candidates(self.candidates())));
        self.shared.subscribers.lock().push(sender);
    }

    /// Returns the cached platform's list, in which reported endpoints are `leaving`.
    pub fn roster(&self) -> Arc<dyn platform::Roster> {
        Arc::new(roster::Cached::new(Arc::clone(&self.shared)))
    }

    /// Reports evidence about an endpoint to all daemons.
    pub fn report(&self, endpoint: &id::Endpoint, evidence: Evidence) {
        self.shared.report(endpoint, evidence);
    }

    /// Records a connection to an endpoint that was made, or that failed before a byte was sent.
    pub fn record_connection(&self, endpoint: &id::Endpoint, is_connected: bool) {
        let is_due = self
            .shared
            .endpoints
            .lock()
            .record_connection(endpoint, is_connected);
        if is_due {
            self.shared.report(endpoint, Evidence::Unreachable);
        }
    }

    /// Appends an edit and waits for its verdict.
    pub fn edit(&self, record: Record, timeout: Duration) -> edit::Outcome {
        self.shared.edit(record, timeout)
    }

    /// Waits until every live daemon has `revision`; returns those that do not in time.
    pub fn await_in_force(&self, revision: id::Revision, timeout: Duration) -> Vec<id::Daemon> {
        let deadline = self.shared.clock.now() + timeout;
        loop {
            self.shared.swim.lock().start_survey(revision);
            let mut behind = self.shared.swim.lock().behind(revision);
            if self.view().revision < revision {
                behind.push(self.shared.me.clone());
            }
            if behind.is_empty() || self.shared.clock.now() >= deadline {
                return behind;
            }
            if self.shared.sleep(AWAIT_POLL_INTERVAL) {
                return behind;
            }
        }
    }

    /// Returns the values in force, with author, reason and expiry.
    pub fn entries(&self) -> Vec<Entry> {
        self.shared.tail.lock().fold().entries().cloned().collect()
    }

    /// Returns recent accepted changes, oldest first.
    pub fn history(&self) -> Vec<Change> {
        self.shared.tail.lock().fold().history().cloned().collect()
    }

    /// Returns all known leases.
    pub fn leases(&self) -> Vec<Lease> {
        let now = self.shared.clock.now();
        let leases = self.shared.leases.lock();
        let is_ours = |name: &id::Name| {
            let mut clients = leases.clients.values();
            clients.any(|c| c.lease() == name && c.is_valid(now))
        };
        let lease = |(name, lease): (&id::Name, &lease::fold::Lease)| Lease {
            name: name.clone(),
            holder: lease.holder.clone(),
            fence: lease.fence,
            is_ours: is_ours(name),
        };
        leases.fold.leases().map(lease).collect()
    }

    /// Returns the status of the zones that this daemon controls.
    pub fn zone_statuses(&self) -> Vec<(id::Zone, ZoneStatus)> {
        let statuses = self.shared.zone_statuses.lock();
        statuses
            .iter()
            .map(|(z, s)| (z.clone(), s.clone()))
            .collect()
    }

    /// Returns counters since the start, by name.
    pub fn counts(&self) -> Vec<(&'static str, u64)> {
        self.shared.traffic.list()
    }

    /// Returns the status of control, for operators.
    pub fn status(&self) -> Status {
        let now = self.shared.clock.now();
        let health = self.shared.swim.lock().health_score();
        let tail = self.shared.tail.lock();
        Status {
            revision: tail.fold().revision(),
            chain: tail.fold().chain(),
            is_fresh: tail.is_fresh(now),
            has_gap: tail.has_gap(),
            is_regressed: tail.is_regressed(),
            halted: tail.fold().halted(),
            diverged: tail.diverged(),
            health,
        }
    }

    /// Returns the handler of configuration requests of other daemons.
    pub fn config_handler(&self) -> Arc<dyn peer::Handler> {
        Arc::new(handler::Config::new(Arc::clone(&self.shared)))
    }

    /// Returns the handler of membership requests from other daemons.
    pub fn member_handler(&self) -> Arc<dyn peer::Handler> {
        Arc::new(handler::Member::new(Arc::clone(&self.shared)))
    }

    /// Tells the other daemons that this one is shutting down.
    pub fn leave(&self) {
        self.shared.leave();
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.shared.stop();
    }
}

#[cfg(test)]
mod tests;
