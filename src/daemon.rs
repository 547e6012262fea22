//! One daemon: the shell that joins callers, decisions, endpoints and peers.
//!
//! See [the architecture](../docs/ARCHITECTURE.md) and
//! [the operators' page on shutdown](../docs/operators/shutdown.md).

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};

use crate::clock::Time;
use crate::entry::{Bounds, Host, Keyring, Server, Shared};
use crate::operate::Report;
use crate::peer::{self, Net};
use crate::pipeline::Plan;
use crate::policy::Policy;
use crate::settings::{self, Settings};
use crate::timeline::{Kind, Recorder};
use crate::{claim, endpoint, id, platform, policy, quarantine, route};

mod call;
mod core;
mod drive;
mod gate;
mod known;
mod options;
pub(crate) mod pool;
mod watch;

pub use self::core::Limit;
pub use drive::RECONNECT;
pub use options::Options;

use self::core::{Core, Counts, Site};
use gate::Gate;
use pool::ThreadPool;
use watch::Watch;

/// How often a daemon that stops looks whether its requests have ended.
const DRAIN_CHECK: Duration = Duration::from_millis(5);
/// Threads for calls, by request in progress: a hedge and a cancel may run beside a call.
const THREADS_PER_REQUEST: usize = 3;

/// Why a daemon does not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A port cannot be opened.
    #[snafu(display("opening {step} at {peer}: {source}"))]
    Open {
        /// What was being opened.
        step: &'static str,
        /// The address.
        peer: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The settings do not fit together.
    #[snafu(display("settings: {reason}"))]
    Settings {
        /// What is wrong.
        reason: String,
    },
}

/// Keeps requests from the endpoints that they would crash.
pub trait Quarantine: Send + Sync {
    /// Says how the content stands.
    fn status(&self, digest: &id::Digest, now: Time) -> quarantine::Status;
    /// Learns that an endpoint died while it ran the content.
    fn blame(&self, digest: &id::Digest, endpoint: &id::Endpoint, now: Time);
    /// Learns that the content was answered whole.
    fn clear(&self, digest: &id::Digest, now: Time);
}

/// Learns what calls show of their endpoints, for the other daemons.
pub trait CallObserver: Send + Sync {
    /// Learns how a call that was sent from here ended; none when it was answered.
    fn call_ended(&self, endpoint: &id::Endpoint, error: Option<&endpoint::Error>);
}

/// What a daemon says of its work now.
#[derive(Clone, Debug)]
pub struct Status {
    /// Whether the balancer may send callers here.
    pub ready: bool,
    /// Time since the clock started.
    pub uptime: Time,
    /// Requests in progress.
    pub requests: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Threads that run calls, or wait for the next.
    pub threads: usize,
    /// Counters since the start, by name.
    pub counts: Vec<(&'static str, u64)>,
}

/// A running daemon.
pub struct Daemon {
    core: Arc<Core>,
    entry_server: Server,
    net: Arc<Net>,
    watch: Mutex<Watch>,
}

impl Daemon {
    /// Starts a daemon.
    pub fn start(settings: &Settings, ports: Options) -> Result<Self, Error> {
        let roster = ports.roster.clone().unwrap_or_else(|| {
            let url = &settings.platform.roster_url;
            Arc::new(platform::http::Roster::new(url))
        });
        let seed = ports.seed;
        let (core, net) = build(settings, ports)?;
        net.set_host(core.clone());
        let shared = Shared {
            host: core.clone(),
            keys: Keyring::new(&settings.workspaces),
            transcripts: core.transcripts.clone(),
            bounds: Bounds::from(&settings.bounds),
        };
        let peer = &settings.daemon.callers_address;
        let step = "callers' port";
        let entry_server = Server::open(peer, shared).context(OpenSnafu { step, peer })?;
        let step = "watching threads";
        let watch = Watch::start(&core, roster, seed).context(OpenSnafu { step, peer })?;
        core.recorder.record(Kind::Daemon, None, None, "started");
        Ok(Self {
            core,
            entry_server,
            net,
            watch: Mutex::new(watch),
        })
    }

    /// Returns the address and port for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.entry_server.address()
    }

    /// Returns the connections to other daemons.
    pub fn net(&self) -> &Arc<Net> {
        &self.net
    }

    /// Returns the recorder of the time line.
    pub fn recorder(&self) -> &Arc<Recorder> {
        &self.core.recorder
    }

    /// Lets the control plane tell the policy what it learned.
    pub fn observe(&self, observation: &policy::Observation) {
        let now = self.core.clock.now();
        self.core.policy.lock().observe(observation, now);
    }

    /// Returns how the pools near are loaded, for daemons elsewhere.
    pub fn zone_loads(&self) -> Vec<route::zone::Load> {
        let now = self.core.clock.now();
        self.core.policy.lock().zone_loads(now)
    }

    /// Puts a limit of a pipeline in force for requests that arrive from now on.
    pub fn set_limit(&self, pipeline: id::Pipeline, limit: Limit) {
        self.core.limit(pipeline, limit);
    }

    /// Returns the plan of a pipeline, limits applied.
    pub fn plan(&self, pipeline: &str) -> Option<Arc<Plan>> {
        self.core.plan(pipeline)
    }

    /// Returns what the daemon does now.
    pub fn status(&self) -> Status {
        Status {
            ready: self.core.is_ready(),
            uptime: self.core.clock.now(),
            requests: self.core.active.load(Ordering::Acquire),
            connections: self.entry_server.connections(),
            threads: self.core.pool.threads(),
            counts: self.core.counts.list(),
        }
    }

    /// Returns what was answered and spent.
    pub fn report(&self) -> Report {
        self.core.ledger.lock().report()
    }

    /// Stops all threads for `duration`, as if the process had been paused.
    pub fn pause(&self, duration: Duration) {
        self.core.gate.pause(duration);
    }

    /// Takes no new work, finishes what is in progress, makes claims durable, and stops.
    ///
    /// Returns false when something was left after `timeout`.
    pub fn shutdown(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        let left = || end.saturating_duration_since(Instant::now());
        let record = |what: &str| self.core.recorder.record(Kind::Daemon, None, None, what);
        record("draining");
        self.core.draining.store(true, Ordering::SeqCst);
        // Until then the door answers new requests with `not-run`, and the balancer with not ready.
        let ended = self.drain(end);
        let closed = self.net.drain(left()) & self.entry_server.close(left());
        let flushed = self.core.coordinator.flush(left());
        self.watch.lock().stop();
        self.entry_server.stop();
        self.net.stop();
        record("stopped");
        closed && ended && flushed
    }

    fn drain(&self, end: Instant) -> bool {
        while self.core.active.load(Ordering::SeqCst) > 0 {
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(DRAIN_CHECK);
        }
        true
    }
}

fn open_net(
    settings: &Settings,
    daemon: &id::Daemon,
    recorder: &Arc<Recorder>,
    seed: u64,
) -> Result<Arc<Net>, Error> {
    let peer = &settings.daemon.peers_address;
    let options = peer::Options {
        address: peer.clone(),
        daemon: daemon.clone(),
        recorder: recorder.clone(),
        seed,
    };
    let step = "peers' port";
    let net = Net::open(options).context(OpenSnafu { step, peer })?;
    Ok(Arc::new(net))
}

fn build(settings: &Settings, ports: Options) -> Result<(Arc<Core>, Arc<Net>), Error> {
    let site = site(settings)?;
    let clock = ports.clock_or_system();
    let engine = ports.engine.unwrap_or_else(|| {
        let max = u64::from(settings.bounds.max_answer_bytes);
        Arc::new(endpoint::http::Client::new(max))
    });
    let recorder = ports
        .recorder
        .unwrap_or_else(|| Arc::new(Recorder::new(site.daemon.clone(), clock.clone())));
    let net = match ports.net {
        Some(net) => net,
        None => open_net(settings, &site.daemon, &recorder, ports.seed)?,
    };
    let coordinator = ports
        .coordinator
        .unwrap_or_else(|| Arc::new(claim::memory::Memory::default()));
    let policy: Box<dyn Policy> = ports
        .policy
        .unwrap_or_else(|| Box::new(policy::naive::Naive::new(ports.seed)));
    let max_threads = site.max_requests * THREADS_PER_REQUEST;
    let core = Arc::new_cyclic(|this| Core {
        this: this.clone(),
        site,
        engine,
        coordinator,
        link: net.clone(),
        recorder,
        screen: ports.screen,
        witness: ports.witness,
        policy: Mutex::new(policy),
        ledger: Mutex::default(),
        transcripts: Arc::default(),
        pool: ThreadPool::new(max_threads),
        gate: Gate::new(clock.clone()),
        clock,
        counts: Counts::default(),
        limited: Mutex::default(),
        peers: Mutex::default(),
        requests: Mutex::default(),
        active: 0.into(),
        draining: false.into(),
        listed: false.into(),
    });
    Ok((core, net))
}

fn site(settings: &Settings) -> Result<Site, Error> {
    let zone = &settings.daemon.availability_zone;
    let Some(region) = settings::plan::region_of(settings, zone) else {
        let reason = format!("availability zone `{zone}` is not one of `zones`");
        return SettingsSnafu { reason }.fail();
    };
    let zones = settings.zones.iter();
    let regions = zones.map(|z| (z.name.as_str().into(), z.region.as_str().into()));
    let plans = settings::plans(settings).into_iter();
    Ok(Site {
        daemon: settings.daemon.name.as_str().into(),
        zone: zone.as_str().into(),
        region,
        regions: Arc::new(regions.collect()),
        plans: plans.map(|(name, plan)| (name, Arc::new(plan))).collect(),
        max_requests: settings.bounds.max_requests as usize,
    })
}

#[cfg(test)]
mod tests;
