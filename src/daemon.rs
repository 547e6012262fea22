//! One daemon: connects callers, the policy, endpoints and peers.
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
mod dependencies;
mod drive;
mod gate;
pub(crate) mod pool;
mod subset;
mod watch;

pub use self::core::PipelineConfig;
pub use dependencies::Dependencies;
pub use drive::RECONNECT_GRACE;

use self::core::{Core, Counts, Site};
use gate::Gate;
use pool::ThreadPool;
use watch::Watch;

/// Interval at which a daemon that shuts down checks whether its requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Threads for calls per request in progress: a hedge and a cancel may run beside a call.
const THREADS_PER_REQUEST: usize = 3;

/// Why a daemon cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A port cannot be opened, or a thread cannot be started.
    #[snafu(display("opening {step} at {peer}: {source}"))]
    Open {
        /// The port or threads.
        step: &'static str,
        /// The address.
        peer: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The settings are inconsistent.
    #[snafu(display("settings: {reason}"))]
    Settings {
        /// What is wrong.
        reason: String,
    },
}

/// Refuses requests whose content crashes endpoints.
pub trait Quarantine: Send + Sync {
    /// Returns the quarantine status of content.
    fn status(&self, digest: &id::Digest, now: Time) -> quarantine::Status;
    /// Records that an endpoint crashed while it ran the content.
    fn blame(&self, digest: &id::Digest, endpoint: &id::Endpoint, now: Time);
    /// Records that the content was answered completely.
    fn clear(&self, digest: &id::Digest, now: Time);
}

/// Observes the outcomes of calls, to report endpoints to the other daemons.
pub trait CallObserver: Send + Sync {
    /// Records the end of a call that this daemon sent; `error` is none when it was answered.
    fn call_ended(&self, endpoint: &id::Endpoint, error: Option<&endpoint::Error>);
}

/// Current status of a daemon.
#[derive(Clone, Debug)]
pub struct Status {
    /// Whether the load balancer may send callers here.
    pub ready: bool,
    /// Time since the clock started.
    pub uptime: Time,
    /// Requests in progress.
    pub requests: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Threads that run calls or are idle.
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
    pub fn start(settings: &Settings, dependencies: Dependencies) -> Result<Self, Error> {
        let roster = dependencies.roster.clone().unwrap_or_else(|| {
            let url = &settings.platform.roster_url;
            Arc::new(platform::http::Roster::new(url))
        });
        let seed = dependencies.seed;
        let (core, net) = build(settings, dependencies)?;
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

    /// Returns the recorder of the timeline.
    pub fn recorder(&self) -> &Arc<Recorder> {
        &self.core.recorder
    }

    /// Passes an observation of the control plane to the policy.
    pub fn observe(&self, observation: &policy::Observation) {
        let now = self.core.clock.now();
        self.core.policy.lock().observe(observation, now);
    }

    /// Returns the load of the local pools, for daemons of other zones.
    pub fn zone_loads(&self) -> Vec<route::zone::Load> {
        let now = self.core.clock.now();
        self.core.policy.lock().zone_loads(now)
    }

    /// Sets the configuration of a pipeline for requests that arrive from now on.
    pub fn set_pipeline_config(&self, pipeline: id::Pipeline, config: PipelineConfig) {
        self.core.set_pipeline_config(pipeline, config);
    }

    /// Returns the plan of a pipeline with its configuration applied.
    pub fn plan(&self, pipeline: &str) -> Option<Arc<Plan>> {
        self.core.plan(pipeline)
    }

    /// Returns the current status.
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

    /// Returns the report of answers and spending.
    pub fn report(&self) -> Report {
        self.core.ledger.lock().report()
    }

    /// Stops all threads for `duration`, as if the process had been paused.
    pub fn pause(&self, duration: Duration) {
        self.core.gate.pause(duration);
    }

    /// Refuses new work, finishes requests in progress, makes claims durable, and stops.
    ///
    /// Returns whether all of this was done within `timeout`.
    pub fn shutdown(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let remaining = || deadline.saturating_duration_since(Instant::now());
        let record = |what: &str| self.core.recorder.record(Kind::Daemon, None, None, what);
        record("draining");
        self.core.is_draining.store(true, Ordering::SeqCst);
        // Until the port closes, new requests end as `not-run`, and the readiness check fails.
        let is_idle = self.drain(deadline);
        let is_closed = self.net.drain(remaining()) & self.entry_server.close(remaining());
        let is_flushed = self.core.coordinator.flush(remaining());
        self.watch.lock().stop();
        self.entry_server.stop();
        self.net.stop();
        record("stopped");
        is_closed && is_idle && is_flushed
    }

    fn drain(&self, deadline: Instant) -> bool {
        while self.core.active.load(Ordering::SeqCst) > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(DRAIN_POLL_INTERVAL);
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

fn build(settings: &Settings, dependencies: Dependencies) -> Result<(Arc<Core>, Arc<Net>), Error> {
    let site = site(settings)?;
    let clock = dependencies.clock_or_system();
    let engine = dependencies.engine.unwrap_or_else(|| {
        let max = u64::from(settings.bounds.max_answer_bytes);
        Arc::new(endpoint::http::Client::new(max))
    });
    let recorder = dependencies
        .recorder
        .unwrap_or_else(|| Arc::new(Recorder::new(site.daemon.clone(), clock.clone())));
    let net = match dependencies.net {
        Some(net) => net,
        None => open_net(settings, &site.daemon, &recorder, dependencies.seed)?,
    };
    let coordinator = dependencies
        .coordinator
        .unwrap_or_else(|| Arc::new(claim::memory::Memory::default()));
    let policy: Box<dyn Policy> = dependencies
        .policy
        .unwrap_or_else(|| Box::new(policy::naive::Naive::new(dependencies.seed)));
    let max_threads = site.max_requests * THREADS_PER_REQUEST;
    let core = Arc::new_cyclic(|this| Core {
        this: this.clone(),
        site,
        engine,
        coordinator,
        link: net.clone(),
        recorder,
        quarantine: dependencies.quarantine,
        call_observer: dependencies.call_observer,
        policy: Mutex::new(policy),
        ledger: Mutex::default(),
        transcripts: Arc::default(),
        pool: ThreadPool::new(max_threads),
        gate: Gate::new(clock.clone()),
        clock,
        counts: Counts::default(),
        configured_plans: Mutex::default(),
        peers: Mutex::default(),
        requests: Mutex::default(),
        active: 0.into(),
        is_draining: false.into(),
        has_endpoints: false.into(),
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
