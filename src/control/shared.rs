//! The state that the threads of control share.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};

use super::budget::{Budget, Class};
use super::leases::Leases;
use super::traffic::Traffic;
use super::{APPEND_TIMEOUT, Peer, ZoneStatus};
use crate::clock::{Clock, Time};
use crate::config::edit::{Action, Appended, Edit, Outcome};
use crate::config::fold::Step;
use crate::config::record::{self, Record, Verdict};
use crate::config::tail::Tail;
use crate::config::{Context, STREAM, View, setting};
use crate::member::endpoint::{Effect, List, Regions};
use crate::member::swim::{self, ConfigVersion, Swim};
use crate::member::{EndpointReport, Evidence, Member, Status};
use crate::policy::Observation;
use crate::settings::Settings;
use crate::timeline::{Kind, Recorder};
use crate::{endpoint, id, peer, platform};

/// How long the list of the weight store is cached.
const MANIFEST_TTL: Duration = Duration::from_secs(30);

/// The engines and the weight store, for the controllers of zones.
pub(super) struct EngineAccess {
    pub engine: Arc<dyn endpoint::Engine>,
    weights: Arc<dyn platform::Weights>,
    clock: Arc<dyn Clock>,
    cached: Mutex<(Option<Time>, Vec<platform::Manifest>)>,
}

impl EngineAccess {
    pub fn new(
        engine: Arc<dyn endpoint::Engine>,
        weights: Arc<dyn platform::Weights>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            engine,
            weights,
            clock,
            cached: Mutex::new((None, Vec::new())),
        }
    }

    /// Returns the cached manifests of the weight store.
    pub fn manifests(&self) -> Vec<platform::Manifest> {
        let now = self.clock.now();
        let mut cached = self.cached.lock();
        if cached.0.is_none_or(|at| now >= at + MANIFEST_TTL) {
            cached.0 = Some(now);
            if let Ok(manifests) = self.weights.manifests() {
                cached.1 = manifests;
            }
        }
        cached.1.clone()
    }
}

/// The settings and dependencies of control.
pub(super) struct Dependencies {
    pub settings: Arc<Settings>,
    pub log: Arc<dyn platform::Log>,
    pub roster: Arc<dyn platform::Roster>,
    pub link: Option<Arc<dyn peer::Link>>,
    pub engine_access: Option<EngineAccess>,
    pub recorder: Arc<Recorder>,
    pub clock: Arc<dyn Clock>,
    pub seed: u64,
    /// Address and port of the UDP socket.
    pub address: String,
}

/// The state of control, each part behind its own lock; no two locks are held at once.
pub(super) struct Shared {
    pub me: id::Daemon,
    pub settings: Arc<Settings>,
    pub log: Arc<dyn platform::Log>,
    pub roster: Arc<dyn platform::Roster>,
    pub link: Option<Arc<dyn peer::Link>>,
    pub engine_access: Option<EngineAccess>,
    pub leases: Mutex<Leases>,
    pub zone_statuses: Mutex<IndexMap<id::Zone, ZoneStatus>>,
    pub recorder: Arc<Recorder>,
    pub clock: Arc<dyn Clock>,
    pub seed: u64,
    pub started_ms: u64,
    pub tail: Mutex<Tail>,
    pub view: RwLock<Arc<View>>,
    pub swim: Mutex<Swim>,
    pub endpoints: Mutex<List>,
    pub vms: Mutex<Option<Vec<platform::Vm>>>,
    pub subscribers: Mutex<Vec<flume::Sender<Observation>>>,
    pub budget: Budget,
    pub traffic: Traffic,
    /// Daemons with a newer configuration, and its revision.
    pub newer_configs: flume::Receiver<(String, id::Revision)>,
    newer_config_sender: flume::Sender<(String, id::Revision)>,
    pub outbox: flume::Receiver<Vec<swim::Action>>,
    outbox_sender: flume::Sender<Vec<swim::Action>>,
    waiters: Mutex<IndexMap<String, flume::Sender<Verdict>>>,
    stopped: flume::Receiver<()>,
    stop: Mutex<Option<flume::Sender<()>>>,
}

fn regions(settings: &Settings) -> Regions {
    settings
        .zones
        .iter()
        .map(|z| (z.name.as_str().into(), z.region.as_str().into()))
        .collect()
}

fn wall_ms(clock: &dyn Clock) -> u64 {
    let wall = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
}

impl Shared {
    /// Returns milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        wall_ms(self.clock.as_ref())
    }

    pub fn new(dependencies: Dependencies) -> Self {
        let daemon = &dependencies.settings.daemon;
        let me: id::Daemon = daemon.name.as_str().into();
        let member = Member {
            daemon: me.clone(),
            address: dependencies.address,
            zone: daemon.availability_zone.as_str().into(),
            incarnation: 0,
            status: Status::Alive,
        };
        let (stop, stopped) = flume::bounded(0);
        let (newer_config_sender, newer_configs) = flume::bounded(1);
        let (outbox_sender, outbox) = flume::unbounded();
        let zones = dependencies.settings.zones.iter();
        let leases = Leases::new(zones.map(|z| z.name.as_str().into()), &me);
        Self {
            leases: Mutex::new(leases),
            zone_statuses: Mutex::new(IndexMap::new()),
            engine_access: dependencies.engine_access,
            endpoints: Mutex::new(List::new(regions(&dependencies.settings))),
            swim: Mutex::new(Swim::new(member, dependencies.seed)),
            started_ms: wall_ms(dependencies.clock.as_ref()),
            me,
            settings: dependencies.settings,
            log: dependencies.log,
            roster: dependencies.roster,
            link: dependencies.link,
            recorder: dependencies.recorder,
            clock: dependencies.clock,
            seed: dependencies.seed,
            tail: Mutex::new(Tail::new()),
            view: RwLock::new(Arc::new(View::default())),
            vms: Mutex::new(None),
            subscribers: Mutex::new(Vec::new()),
            budget: Budget::new(),
            traffic: Traffic::default(),
            newer_configs,
            newer_config_sender,
            outbox,
            outbox_sender,
            waiters: Mutex::new(IndexMap::new()),
            stopped,
            stop: Mutex::new(Some(stop)),
        }
    }

    /// Sleeps; returns whether control is stopping.
    pub fn sleep(&self, time: Duration) -> bool {
        let result = self.stopped.recv_timeout(time);
        result != Err(flume::RecvTimeoutError::Timeout)
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped.is_disconnected()
    }

    pub fn stop(&self) {
        drop(self.stop.lock().take());
    }

    pub fn record(&self, kind: Kind, endpoint: Option<id::Endpoint>, what: impl Into<String>) {
        self.recorder.record(kind, None, endpoint, what);
    }

    pub fn live(&self) -> Vec<Peer> {
        let revision = self.view.read().revision;
        let swim = self.swim.lock();
        let me = (swim.me(), revision);
        let others = swim.live().map(|(m, c)| (m, c.revision));
        std::iter::once(me)
            .chain(others)
            .map(|(m, revision)| Peer {
                daemon: m.daemon.clone(),
                address: m.address.clone(),
                zone: m.zone.clone(),
                status: m.status,
                revision,
            })
            .collect()
    }

    /// Publishes the folded configuration, here and to the other daemons.
    pub fn publish(&self) {
        let (view, fingerprint) = {
            let tail = self.tail.lock();
            (tail.fold().view(), tail.fold().fingerprint())
        };
        let config = ConfigVersion {
            revision: view.revision,
            fingerprint,
        };
        let fleet_rate = view.count(&setting::APPEND_BUDGET, &Context::default());
        *self.view.write() = Arc::new(view);
        let mut swim = self.swim.lock();
        swim.set_config_version(config);
        let daemons = swim.live().count() + 1;
        drop(swim);
        self.budget.set_share(fleet_rate, daemons);
    }

    /// Requests a pull from the daemon at `address`, unless another one is pending.
    pub fn request_pull(&self, address: String, revision: id::Revision) {
        drop(self.newer_config_sender.try_send((address, revision)));
    }

    /// Appends to the configuration stream, within the budget.
    pub fn append(&self, class: Class, record: &Record) -> Appended {
        let Ok(body) = record::encode(record) else {
            return Appended::NoEffect;
        };
        if self.budget.take(class, self.clock.now()).is_err() {
            return Appended::NoEffect;
        }
        match self.log.append(STREAM, &body, APPEND_TIMEOUT) {
            Ok(_) => Appended::Done,
            Err(error) => {
                self.budget.on_refused(self.clock.now());
                match error {
                    platform::Error::NoEffect { .. } => Appended::NoEffect,
                    platform::Error::Unknown { .. } => Appended::Unknown,
                }
            }
        }
    }

    pub fn edit(&self, record: Record, timeout: Duration) -> Outcome {
        let attempt = record.attempt.clone();
        let now = self.clock.now();
        let mut edit = Edit::new(record, now, now + timeout);
        let (sender, verdicts) = flume::bounded(1);
        self.waiters.lock().insert(attempt.clone(), sender);
        if let Some(verdict) = self.tail.lock().fold().verdict(&attempt) {
            edit.decided(verdict);
        }
        let outcome = loop {
            match edit.poll(self.clock.now()) {
                Action::Finish(outcome) => break outcome,
                Action::Append => {
                    let result = self.append(Class::Control, edit.record());
                    edit.appended(&result, self.clock.now());
                }
                Action::Wait(until) => {
                    let remaining = until.saturating_sub(self.clock.now());
                    if let Ok(verdict) = verdicts.recv_timeout(remaining) {
                        edit.decided(&verdict);
                    }
                }
            }
        };
        self.waiters.lock().shift_remove(&attempt);
        outcome
    }

    /// Answers waiting edits and records folded steps for operators.
    pub fn on_folded(&self, steps: &[Step]) {
        for step in steps {
            match step {
                Step::Decided { attempt, verdict } => {
                    let attempt = attempt.as_deref().unwrap_or("none");
                    self.answer_waiter(attempt, verdict);
                    self.record(Kind::Config, None, format!("{attempt}: {verdict:?}"));
                }
                Step::Repeated { attempt, verdict } => self.answer_waiter(attempt, verdict),
                Step::Diverged(revision) => {
                    let what = format!("a checkpoint differs at revision {revision}");
                    self.record(Kind::Config, None, what);
                }
                Step::Halted(level) => {
                    self.record(Kind::Config, None, format!("halted before level {level}"));
                }
                _ => {}
            }
        }
    }

    fn answer_waiter(&self, attempt: &str, verdict: &Verdict) {
        if let Some(waiter) = self.waiters.lock().get(attempt) {
            drop(waiter.try_send(verdict.clone()));
        }
    }

    pub fn report(&self, endpoint: &id::Endpoint, evidence: Evidence) {
        let report = self.swim.lock().report(endpoint.clone(), evidence);
        self.apply_report(&report);
    }

    /// Applies a report of this daemon or another.
    pub fn apply_report(&self, report: &EndpointReport) {
        let now = self.clock.now();
        let effect = self.endpoints.lock().apply_report(report, now);
        if effect == Effect::Excluded {
            let what = format!("{:?} by {}", report.evidence, report.reporter);
            self.record(Kind::Member, Some(report.endpoint.clone()), what);
            self.notify(&Observation::Leaving(report.endpoint.clone()));
        }
    }

    pub fn notify(&self, observation: &Observation) {
        self.subscribers
            .lock()
            .retain(|s| s.send(observation.clone()).is_ok());
    }

    /// Passes actions to the thread that owns the socket.
    pub fn send(&self, actions: Vec<swim::Action>) {
        drop(self.outbox_sender.send(actions));
    }

    pub fn leave(&self) {
        let actions = self.swim.lock().leave();
        self.send(actions);
        self.record(Kind::Member, None, "leaving");
    }
}
