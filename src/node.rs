//! A whole daemon: requests, claims, policy, control and the operators' port, made from settings.
//!
//! See [the architecture](../docs/ARCHITECTURE.md).

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use slog::Logger;
use snafu::{ResultExt, Snafu};

use crate::claim::desk::{self, Desk};
use crate::clock::{Clock, System};
use crate::control::{self, Control};
use crate::daemon::{self, Daemon, Ports};
use crate::operate::fleet::{Fleet, Responder};
use crate::operate::port::Port;
use crate::peer::{Net, Topic};
use crate::policy::adaptive::Adaptive;
use crate::settings::{Settings, plan};
use crate::telemetry::{self, Meter};
use crate::timeline::Recorder;
use crate::{endpoint, id, operate, peer, platform};

mod console;
mod knobs;
mod meter;
pub mod program;
mod view;

use console::Board;

/// How often what control learned is passed on.
const TICK: Duration = Duration::from_millis(50);

/// Numbers tried for the port for other daemons when the system picks it.
const PORT_ATTEMPTS: usize = 32;

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
    /// The desk of claims.
    #[snafu(display("{source}"))]
    Desk {
        /// What went wrong.
        source: desk::Error,
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

/// What a node is joined to.
pub struct Options {
    settings: Settings,
    clock: Arc<dyn Clock>,
    log: Arc<dyn platform::Log>,
    roster: Arc<dyn platform::Roster>,
    weights: Arc<dyn platform::Weights>,
    engine: Arc<dyn endpoint::Engine>,
    advertised: Option<SocketAddr>,
    logger: Logger,
    seed: u64,
}

impl Options {
    /// Takes everything from the settings.
    pub fn new(settings: Settings) -> Self {
        let max_answer = u64::from(settings.bounds.max_answer_bytes);
        Self {
            clock: Arc::new(System::new()),
            log: Arc::new(platform::http::Log::new(&settings.platform.log_url)),
            roster: Arc::new(platform::http::Roster::new(&settings.platform.roster_url)),
            weights: Arc::new(platform::http::Weights::new(&settings.platform.weights_url)),
            engine: Arc::new(endpoint::http::Client::new(max_answer)),
            advertised: None,
            logger: telemetry::silent(),
            seed: uuid::Uuid::new_v4().as_u64_pair().0,
            settings,
        }
    }

    /// Sets where log lines go.
    #[must_use]
    pub fn logger(mut self, logger: Logger) -> Self {
        self.logger = logger;
        self
    }

    /// Sets the address and port under which other daemons reach this one, if it is not the one
    /// that it listens on.
    #[must_use]
    pub fn advertised(mut self, address: SocketAddr) -> Self {
        self.advertised = Some(address);
        self
    }

    /// Sets the seed of all random choices.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the clock.
    #[must_use]
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the log service.
    #[must_use]
    pub fn log(mut self, log: Arc<dyn platform::Log>) -> Self {
        self.log = log;
        self
    }

    /// Sets the platform's list of VMs.
    #[must_use]
    pub fn roster(mut self, roster: Arc<dyn platform::Roster>) -> Self {
        self.roster = roster;
        self
    }

    /// Sets the weight store.
    #[must_use]
    pub fn weights(mut self, weights: Arc<dyn platform::Weights>) -> Self {
        self.weights = weights;
        self
    }

    /// Sets the client of the endpoints.
    #[must_use]
    pub fn engine(mut self, engine: Arc<dyn endpoint::Engine>) -> Self {
        self.engine = engine;
        self
    }
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
        let settings = Arc::new(options.settings);
        let recorder = Recorder::new(settings.daemon.name.as_str().into(), options.clock.clone());
        let recorder = Arc::new(recorder.with_logger(options.logger));
        let (net, socket) = ports(&settings, &recorder, options.seed)?;
        let reached = options.advertised.unwrap_or_else(|| net.address());
        let settings = Arc::new(at(&settings, reached));
        let control = control::Options::new()
            .settings(settings.clone())
            .log(options.log.clone())
            .roster(options.roster)
            .link(net.clone())
            .engines(options.engine.clone(), options.weights)
            .socket(Arc::new(socket))
            .recorder(recorder.clone())
            .clock(options.clock.clone())
            .seed(options.seed);
        let control = Arc::new(Control::start(&control).context(ControlSnafu)?);
        let desk = desk(
            &settings,
            options.log,
            &options.clock,
            &control,
            net.clone(),
        )?;
        let desk = Arc::new(desk);
        net.handle(Topic::Config, control.config_handler());
        net.handle(Topic::Member, control.member_handler());
        net.handle(Topic::Claim, desk.clone());
        let ports = Ports::new()
            .clock(options.clock.clone())
            .roster(control.roster())
            .engine(options.engine)
            .policy(Box::new(policy(&settings, options.seed)))
            .desk(desk)
            .net(net.clone())
            .recorder(recorder.clone())
            .seed(options.seed);
        let daemon = Arc::new(Daemon::start(&settings, ports).context(DaemonSnafu)?);
        let (drain, drains) = flume::bounded(1);
        let board = Arc::new(Board {
            settings: settings.clone(),
            daemon: daemon.clone(),
            control: control.clone(),
            recorder,
            drain,
        });
        net.handle(Topic::Operate, Arc::new(Responder::new(board.clone())));
        let fleet = Fleet::new(board.clone(), Some(net));
        let address = &settings.daemon.operators_address;
        let key = &settings.daemon.operators_key;
        let port = Port::start(address, key, board, fleet).context(OperatorsSnafu)?;
        let mut node = Self {
            daemon,
            control,
            port: Some(port),
            drains,
            stop: Arc::default(),
            threads: Vec::new(),
        };
        node.attend(&settings)?;
        Ok(node)
    }

    /// Starts the threads that pass on configuration, endpoints and metrics.
    fn attend(&mut self, settings: &Arc<Settings>) -> Result<(), Error> {
        let (sender, observations) = flume::unbounded();
        self.control.subscribe(sender);
        let daemon = self.daemon.clone();
        let mut feed = knobs::Feed::new(settings.clone());
        let control = self.control.clone();
        self.spawn("node-feed", move |stop| {
            while !stop.load(Ordering::Acquire) {
                feed.pass(&control.view(), &daemon);
                if let Ok(observation) = observations.recv_timeout(TICK) {
                    daemon.observe(&observation);
                }
            }
        })?;
        let peer = settings.daemon.statsd_address.as_deref();
        let peer: Option<SocketAddr> = peer.and_then(|address| address.parse().ok());
        let meter = Meter::new(peer, &settings.daemon.name).context(TelemetrySnafu)?;
        let daemon = self.daemon.clone();
        self.spawn("node-meter", move |stop| meter::run(&meter, &daemon, stop))
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

fn net(settings: &Settings, recorder: &Arc<Recorder>, seed: u64) -> Result<Arc<Net>, Error> {
    let address = &settings.daemon.peers_address;
    let net = Net::open(peer::Options {
        address: address.clone(),
        daemon: settings.daemon.name.as_str().into(),
        recorder: recorder.clone(),
        seed,
    });
    net.map(Arc::new).context(PeersSnafu { peer: address })
}

/// Opens the port for other daemons, over TCP and UDP.
///
/// When the system picks the number, one that is free over TCP may be taken over UDP.
fn ports(
    settings: &Settings,
    recorder: &Arc<Recorder>,
    seed: u64,
) -> Result<(Arc<Net>, UdpSocket), Error> {
    let peer = &settings.daemon.peers_address;
    let is_picked = peer.ends_with(":0");
    for _ in 0..PORT_ATTEMPTS {
        let net = net(settings, recorder, seed)?;
        match UdpSocket::bind(net.address()) {
            Ok(socket) => return Ok((net, socket)),
            Err(_) if is_picked => net.stop(),
            Err(source) => return Err(source).context(PeersSnafu { peer }),
        }
    }
    let source = std::io::ErrorKind::AddrInUse.into();
    Err(source).context(PeersSnafu { peer })
}

/// Names the port under which other daemons reach this one, over TCP and UDP.
fn at(settings: &Settings, reached: SocketAddr) -> Settings {
    let mut settings = settings.clone();
    settings.daemon.peers_address = reached.to_string();
    settings
}

fn desk(
    settings: &Settings,
    log: Arc<dyn platform::Log>,
    clock: &Arc<dyn Clock>,
    control: &Arc<Control>,
    link: Arc<dyn peer::Link>,
) -> Result<Desk, Error> {
    let view = view::Live::new(control.clone(), settings);
    let mut builder = Desk::builder(settings.daemon.name.as_str().into(), log)
        .claims(settings.claims.clone())
        .clock(clock.clone())
        .view(Arc::new(view))
        .accepts_undated(true);
    if let Some(region) = &settings.platform.region {
        builder = builder.near(region.as_str().into());
    }
    builder.link(link).start().context(DeskSnafu)
}

fn policy(settings: &Settings, seed: u64) -> Adaptive {
    let zone = settings.daemon.availability_zone.as_str();
    let region: Option<id::Region> = plan::region_of(settings, zone);
    let mut builder = Adaptive::builder(zone, region.unwrap_or_default()).seed(seed);
    for pool in &settings.pools {
        builder = builder.kind(pool.name.as_str(), knobs::kind(pool.kind));
    }
    for workspace in &settings.workspaces {
        builder = builder.weight(workspace.name.as_str(), workspace.weight);
    }
    builder.build()
}

#[cfg(test)]
mod tests;
