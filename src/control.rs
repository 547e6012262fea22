//! The control plane of one daemon: threads around configuration, membership, leases and orders.
//!
//! Nothing here stands in the way of a request: the log and the platform's list are read by
//! threads of their own, and what the others see is a snapshot.
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
mod scene;
mod shared;
mod status;
mod tail;
mod traffic;
mod zone;

pub use options::Options;
use shared::Shared;
pub use status::{Lease, Peer, Status, UpgradeStatus, ZoneStatus};

/// The longest that one append may take.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a wait for other daemons is looked at.
const LOOK: Duration = Duration::from_millis(100);

/// Why control does not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Something that it needs was not given.
    #[snafu(display("start control: no {what} was given"))]
    Missing {
        /// What is missing.
        what: &'static str,
    },
    /// The port for other daemons cannot be opened.
    #[snafu(display("{step} at {peer}: {source}"))]
    Port {
        /// What was being done.
        step: &'static str,
        /// The address.
        peer: String,
        /// What the system said.
        source: std::io::Error,
    },
}

/// Something that was not given, by name.
fn given<T: Clone>(what: &'static str, option: Option<&T>) -> Result<T, Error> {
    option.cloned().ok_or(Error::Missing { what })
}

fn open(given: Option<&UdpSocket>, address: &str) -> std::io::Result<UdpSocket> {
    let socket = match given {
        Some(socket) => socket.try_clone()?,
        None => UdpSocket::bind(address)?,
    };
    socket.set_read_timeout(Some(gossip::RECEIVE))?;
    Ok(socket)
}

fn parts(
    options: &Options,
    settings: Arc<Settings>,
    socket: &UdpSocket,
) -> Result<shared::Parts, Error> {
    let address = socket.local_addr().context(PortSnafu {
        step: "read the UDP port",
        peer: &settings.daemon.peers_address,
    })?;
    let clock = options.clock.clone();
    let clock = clock.unwrap_or_else(|| Arc::new(System::new()));
    let engines = options.engine.clone().zip(options.weights.clone());
    Ok(shared::Parts {
        tools: engines.map(|(e, w)| shared::Tools::new(e, w, Arc::clone(&clock))),
        address: address.to_string(),
        log: given("log", options.log.as_ref())?,
        roster: given("roster", options.roster.as_ref())?,
        recorder: given("recorder", options.recorder.as_ref())?,
        link: options.link.clone(),
        clock,
        seed: options.seed,
        settings,
    })
}

/// What a thread of control runs until it stops.
type Run = fn(&Shared);

fn spawn(shared: &Arc<Shared>, socket: UdpSocket) -> std::io::Result<()> {
    let runs: [(&str, Run); 6] = [
        ("control-tail", tail::run),
        ("control-pull", pull::run),
        ("control-roster", roster::run),
        ("control-duty", duty::run),
        ("control-leases", leases::run),
        ("control-zone", zone::run),
    ];
    for (name, run) in runs {
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
    /// Fails when something was not given, or when the UDP port cannot be opened.
    pub fn start(options: &Options) -> Result<Self, Error> {
        let settings = given("settings", options.settings.as_ref())?;
        let peer = settings.daemon.peers_address.clone();
        let socket = open(options.socket.as_deref(), &peer).context(PortSnafu {
            step: "open the UDP port",
            peer: &peer,
        })?;
        let parts = parts(options, settings, &socket)?;
        let shared = Arc::new(Shared::new(parts));
        spawn(&shared, socket).context(PortSnafu {
            step: "start a thread of control",
            peer: &peer,
        })?;
        Ok(Self { shared })
    }

    /// The configuration now; cheap, and never blocked by the log.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.shared.view.read())
    }

    /// The live daemons, this one included.
    pub fn live(&self) -> Vec<Peer> {
        self.shared.live()
    }

    /// The endpoints on the platform's list, with those that get nothing new marked.
    pub fn candidates(&self) -> Vec<Candidate> {
        let now = self.shared.clock.now();
        self.shared.endpoints.lock().candidates(now)
    }

    /// Sends the list of endpoints, and those that leave, to `sender` from now on.
    pub fn subscribe(&self, sender: flume::Sender<Observation>) {
        drop(sender.send(Observation::Candidates(self.candidates())));
        self.shared.subscribers.lock().push(sender);
    }

    /// The platform's list with the marks of this fleet, read from memory.
    pub fn roster(&self) -> Arc<dyn platform::Roster> {
        Arc::new(roster::Marked::new(Arc::clone(&self.shared)))
    }

    /// Reports what was seen of an endpoint to the whole fleet.
    pub fn report(&self, endpoint: &id::Endpoint, evidence: Evidence) {
        self.shared.report(endpoint, evidence);
    }

    /// Counts a connection to an endpoint, made or failed before a byte was sent.
    pub fn record_connection(&self, endpoint: &id::Endpoint, is_made: bool) {
        let is_due = self
            .shared
            .endpoints
            .lock()
            .record_connection(endpoint, is_made);
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
            if self.shared.sleep(LOOK) {
                return behind;
            }
        }
    }

    /// The values in force, with author, reason and expiry.
    pub fn entries(&self) -> Vec<Entry> {
        self.shared.tail.lock().fold().entries().cloned().collect()
    }

    /// Recent accepted changes, oldest first.
    pub fn history(&self) -> Vec<Change> {
        self.shared.tail.lock().fold().history().cloned().collect()
    }

    /// The leases that this daemon knows.
    pub fn leases(&self) -> Vec<Lease> {
        let now = self.shared.clock.now();
        let leases = self.shared.leases.lock();
        let is_ours = |name: &id::Name| {
            let mut clients = leases.clients.values();
            clients.any(|k| k.lease() == name && k.is_valid(now))
        };
        let lease = |(name, lease): (&id::Name, &lease::fold::Lease)| Lease {
            name: name.clone(),
            holder: lease.holder.clone(),
            fence: lease.fence,
            is_ours: is_ours(name),
        };
        leases.fold.leases().map(lease).collect()
    }

    /// The zones that this daemon controls.
    pub fn zone_statuses(&self) -> Vec<(id::Zone, ZoneStatus)> {
        let boards = self.shared.orders.lock();
        boards.iter().map(|(z, b)| (z.clone(), b.clone())).collect()
    }

    /// Counters since the start, by name.
    pub fn counts(&self) -> Vec<(&'static str, u64)> {
        self.shared.traffic.list()
    }

    /// How control stands, for operators.
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

    /// Answers the configuration questions of other daemons.
    pub fn config_handler(&self) -> Arc<dyn peer::Handler> {
        Arc::new(handler::Config::new(Arc::clone(&self.shared)))
    }

    /// Answers the membership questions of other daemons.
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
