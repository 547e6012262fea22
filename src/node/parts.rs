//! Creates the parts of a daemon and connects them.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use snafu::ResultExt;

use super::view::{CallReporter, LiveDaemons};
use super::{
    ControlSnafu, CoordinatorSnafu, DaemonSnafu, Error, Options, PeersSnafu, QuarantineSnafu, knobs,
};
use crate::claim::coordinator::Coordinator;
use crate::clock::Clock;
use crate::control::{self, Control};
use crate::daemon::{self, Daemon};
use crate::peer::{Net, Topic};
use crate::policy::adaptive::Adaptive;
use crate::quarantine::replica::{self, Replica};
use crate::settings::{Settings, plan};
use crate::timeline::Recorder;
use crate::{id, peer, platform};

/// The most ports picked by the system that are tried as the peers' port.
const MAX_PORT_ATTEMPTS: usize = 32;

/// The parts of a node besides the daemon.
pub struct Parts {
    /// The settings, with the advertised address of the peers' port.
    pub settings: Arc<Settings>,
    /// The recorder of the timeline.
    pub recorder: Arc<Recorder>,
    /// The connections to other daemons.
    pub net: Arc<Net>,
    /// Configuration, membership, leases and orders.
    pub control: Arc<Control>,
    /// The quarantine.
    pub quarantine: Arc<Replica>,
}

impl Parts {
    /// Creates the parts and starts the daemon with them.
    pub fn start(options: Options) -> Result<(Self, Arc<Daemon>), Error> {
        let daemon: id::Daemon = options.settings.daemon.name.as_str().into();
        let recorder = Recorder::new(daemon.clone(), options.clock.clone());
        let recorder = Arc::new(recorder.with_logger(options.logger.clone()));
        let (net, socket) = open_ports(&options.settings, &recorder, options.seed)?;
        let advertised = options.advertised.unwrap_or_else(|| net.address());
        let settings = Arc::new(with_peers_address(&options.settings, advertised));
        let control = control(&options, &settings, &recorder, &net, socket)?;
        let view = Arc::new(LiveDaemons::new(control.clone(), &settings));
        let (log, clock) = (options.log, options.clock);
        let replica_dependencies = replica::Dependencies {
            log: log.clone(),
            link: Some(net.clone()),
            view: view.clone(),
            clock: clock.clone(),
        };
        let quarantine =
            Arc::new(Replica::start(daemon, replica_dependencies).context(QuarantineSnafu)?);
        let coordinator = Arc::new(coordinator(&settings, log, &clock, view, net.clone())?);
        net.set_handler(Topic::Config, control.config_handler());
        net.set_handler(Topic::Member, control.member_handler());
        net.set_handler(Topic::Claim, coordinator.clone());
        net.set_handler(Topic::Quarantine, quarantine.clone());
        let dependencies = daemon::Dependencies::new()
            .clock(clock)
            .roster(control.roster())
            .engine(options.engine)
            .policy(Box::new(policy(&settings, options.seed)))
            .coordinator(coordinator)
            .quarantine(quarantine.clone())
            .call_observer(Arc::new(CallReporter::new(control.clone())))
            .net(net.clone())
            .recorder(recorder.clone())
            .seed(options.seed);
        let daemon = Arc::new(Daemon::start(&settings, dependencies).context(DaemonSnafu)?);
        let parts = Self {
            settings,
            recorder,
            net,
            control,
            quarantine,
        };
        Ok((parts, daemon))
    }
}

fn control(
    options: &Options,
    settings: &Arc<Settings>,
    recorder: &Arc<Recorder>,
    net: &Arc<Net>,
    socket: UdpSocket,
) -> Result<Arc<Control>, Error> {
    let options = control::Options::new()
        .settings(settings.clone())
        .log(options.log.clone())
        .roster(options.roster.clone())
        .link(net.clone())
        .engines(options.engine.clone(), options.weights.clone())
        .socket(Arc::new(socket))
        .recorder(recorder.clone())
        .clock(options.clock.clone())
        .seed(options.seed);
    Control::start(&options).map(Arc::new).context(ControlSnafu)
}

fn open_net(settings: &Settings, recorder: &Arc<Recorder>, seed: u64) -> Result<Arc<Net>, Error> {
    let address = &settings.daemon.peers_address;
    let net = Net::open(peer::Options {
        address: address.clone(),
        daemon: settings.daemon.name.as_str().into(),
        recorder: recorder.clone(),
        seed,
    });
    net.map(Arc::new).context(PeersSnafu { peer: address })
}

/// Opens the peers' port, over TCP and UDP.
///
/// A number that the system picks because it is free over TCP may be in use over UDP.
fn open_ports(
    settings: &Settings,
    recorder: &Arc<Recorder>,
    seed: u64,
) -> Result<(Arc<Net>, UdpSocket), Error> {
    let peer = &settings.daemon.peers_address;
    let is_picked = peer.ends_with(":0");
    for _ in 0..MAX_PORT_ATTEMPTS {
        let net = open_net(settings, recorder, seed)?;
        match UdpSocket::bind(net.address()) {
            Ok(socket) => return Ok((net, socket)),
            Err(_) if is_picked => net.stop(),
            Err(source) => return Err(source).context(PeersSnafu { peer }),
        }
    }
    let source = std::io::ErrorKind::AddrInUse.into();
    Err(source).context(PeersSnafu { peer })
}

/// Sets the address at which other daemons reach this one.
fn with_peers_address(settings: &Settings, advertised: SocketAddr) -> Settings {
    let mut settings = settings.clone();
    settings.daemon.peers_address = advertised.to_string();
    settings
}

fn coordinator(
    settings: &Settings,
    log: Arc<dyn platform::Log>,
    clock: &Arc<dyn Clock>,
    view: Arc<LiveDaemons>,
    link: Arc<dyn peer::Link>,
) -> Result<Coordinator, Error> {
    let mut builder = Coordinator::builder(settings.daemon.name.as_str().into(), log)
        .claims(settings.claims.clone())
        .clock(clock.clone())
        .view(view)
        .accepts_undated(true);
    if let Some(region) = &settings.platform.region {
        builder = builder.log_region(region.as_str().into());
    }
    builder.link(link).start().context(CoordinatorSnafu)
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
