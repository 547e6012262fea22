//! Serves clients on one event loop: has the stages of a request run, forwards it to an endpoint,
//! and passes the response back.
//!
//! See [the design note](../docs/design/fleet.md).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use slog::{Logger, info, warn};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::{Clock, Time};
use crate::id;

pub mod budget;
pub mod carrier;
pub mod catalog;
pub mod closure;
pub mod cold;
pub mod connection;
pub mod dialer;
pub mod dispatcher;
pub mod drain;
mod ending;
pub mod evacuation;
pub mod exchange;
pub mod handler;
pub mod handoff;
pub mod health;
pub mod http;
pub mod intake;
pub mod link;
pub mod meter;
pub mod origin;
pub mod pace;
pub mod plan;
pub mod progress;
pub mod protocol;
pub mod quarantine;
pub mod rate;
pub mod ready;
pub mod region;
pub mod registry;
pub mod residency;
pub mod response;
pub mod tunnel;
mod witness;

use budget::Budget;
use catalog::Catalog;
use closure::Closures;
use dialer::Dialer;
use dispatcher::{Dispatcher, RequestPlanner};
use drain::{Drain, RunTime};
use evacuation::Evacuation;
use handoff::{Load, Receipt};
use meter::Meter;
use origin::{Origin, Origins};
use plan::Tokens;
use protocol::Protocol;
use quarantine::Quarantine;
use rate::Limits;
use registry::{Endpoint, Entry, Registry};
use residency::{Places, Residency};
use witness::Witnesses;

/// How often a stopping daemon checks for active requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long after a daemon's start requests wait for its configuration, which takes a fraction of a
/// second to read. When all daemons start at once, no other one can serve them.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_secs(1);

/// A shorter time may pass before a first attempt arrives, so it does not show an earlier attempt.
const MIN_TIME_SPENT: Duration = Duration::from_millis(50);
/// The cost of a generated token relative to one of the prompt; the users count ten.
const OUTPUT_TOKEN_WEIGHT: f32 = 10.0;
/// The smoothing factor of a route's mean request size.
const SIZE_SMOOTHING: f32 = 0.02;

event! {
    /// A result of reading the platform's store.
    pub enum Update {
        /// A version of the configuration.
        Catalog(Box<Catalog>),
        /// The full list of endpoints.
        Listing(Vec<Endpoint>),
        /// All configuration changes acknowledged before this time have been read.
        Confirmed(Time),
        /// A read of the endpoints' entries succeeded.
        ReadSucceeded,
        /// A read of the store failed.
        ReadFailed,
        /// The store answers in this epoch; in a later one than before, it went back to a copy.
        Epoch(id::Epoch),
        /// The full list of zones that operators evacuate.
        Evacuated(Vec<id::Zone>),
        /// Operators evacuate a zone, or take it back.
        Evacuation(evacuation::Change),
    }
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// The availability zone of the daemon.
    pub zone: id::Zone,
    /// The region of each availability zone.
    pub places: Places,
    /// The configuration's age up to which API keys are accepted; a revocation may be missing
    /// later.
    pub max_key_age: Duration,
    /// The configuration's age up to which the daemon is ready.
    pub max_ready_age: Duration,
}

/// What a daemon has learned of content and of endpoints, shared by its planners and what uses them.
#[derive(Clone)]
pub struct Knowledge {
    /// The content that ends endpoints.
    pub quarantine: Rc<Quarantine>,
    /// The limits that endpoints have named.
    pub limits: Rc<Limits>,
    /// The retries that this daemon keeps, and others lend it.
    pub budget: Rc<Budget>,
}

impl Knowledge {
    /// Makes the knowledge of a daemon that has just started.
    pub fn new(daemon: &id::Daemon, log: &Logger) -> Self {
        Self {
            quarantine: Quarantine::new(daemon, log.clone()),
            limits: Rc::new(Limits::new(log.clone())),
            budget: Rc::new(Budget::new(daemon.clone())),
        }
    }
}

/// The state of one daemon that serves clients.
pub struct Node {
    options: Options,
    catalog: RefCell<Rc<Catalog>>,
    registry: RefCell<Registry>,
    config_as_of: Cell<Option<Time>>,
    epoch: Cell<Option<id::Epoch>>,
    dispatchers: Vec<Rc<Dispatcher>>,
    plain_planner: Rc<dyn RequestPlanner>,
    staged_planner: Rc<dyn RequestPlanner>,
    origins: Rc<Origins>,
    closures: Rc<Closures>,
    knowledge: Knowledge,
    dialer: Rc<Dialer>,
    witnesses: Witnesses,
    protocol: Rc<dyn Protocol>,
    clock: Rc<dyn Clock>,
    intake: Rc<intake::Pool>,
    meter: Rc<Meter>,
    log: Logger,
    drain: Cell<Option<Drain>>,
    drain_begun: Notify,
    active_requests: Cell<usize>,
    /// The connections of other daemons with a request under way.
    carried_requests: Cell<usize>,
    final_response: Notify,
    started: Time,
    config_confirmed: Notify,
    reconfigured: Notify,
    /// Whether the configuration limits where requests may be.
    names_regions: Cell<bool>,
    retries: Rc<dyn budget::Source>,
    route_stats: RefCell<IndexMap<id::Name, RouteStats>>,
}

/// Statistics of the requests of one route.
#[derive(Default)]
struct RouteStats {
    /// The longest time that a client had left.
    max_remaining: Duration,
    /// The mean size of a request, in weighted tokens.
    mean_size: Option<f32>,
    run_time: RunTime,
}

/// What a node is built from.
pub struct Dependencies {
    /// The settings.
    pub options: Options,
    /// The planners of this daemon.
    pub dispatchers: Vec<Rc<Dispatcher>>,
    /// Plans requests without stages.
    pub plain_planner: Rc<dyn RequestPlanner>,
    /// Plans requests with stages or a prompt.
    pub staged_planner: Rc<dyn RequestPlanner>,
    /// Where it takes retries from.
    pub retries: Rc<dyn budget::Source>,
    /// What began each stream.
    pub origins: Rc<Origins>,
    /// The endpoints that take nothing from this daemon, as its dispatchers learn of them, too.
    pub closures: Rc<Closures>,
    /// What its planners know, too.
    pub knowledge: Knowledge,
    /// Connects to endpoints, for its dispatchers, too.
    pub dialer: Rc<Dialer>,
    /// The protocol of clients and endpoints.
    pub protocol: Rc<dyn Protocol>,
    /// The clock, which a suspension of the VM does not stop.
    pub clock: Rc<dyn Clock>,
    /// What clients make the daemon hold.
    pub intake: Rc<intake::Pool>,
    /// The metrics.
    pub meter: Rc<Meter>,
    /// The logger.
    pub log: Logger,
}

impl Node {
    /// Makes a node without a configuration or endpoints.
    pub fn new(dependencies: Dependencies) -> Rc<Self> {
        let started = dependencies.clock.now();
        let zones = dependencies.options.places.keys().cloned().collect();
        Rc::new(Self {
            catalog: RefCell::default(),
            registry: RefCell::new(Registry::new(zones)),
            options: dependencies.options,
            config_as_of: Cell::new(None),
            epoch: Cell::new(None),
            dispatchers: dependencies.dispatchers,
            plain_planner: dependencies.plain_planner,
            staged_planner: dependencies.staged_planner,
            origins: dependencies.origins,
            closures: dependencies.closures,
            knowledge: dependencies.knowledge,
            dialer: dependencies.dialer,
            witnesses: Witnesses::default(),
            protocol: dependencies.protocol,
            clock: dependencies.clock,
            intake: dependencies.intake,
            meter: dependencies.meter,
            log: dependencies.log,
            drain: Cell::new(None),
            drain_begun: Notify::new(),
            active_requests: Cell::new(0),
            carried_requests: Cell::new(0),
            final_response: Notify::new(),
            started,
            config_confirmed: Notify::new(),
            reconfigured: Notify::new(),
            names_regions: Cell::new(false),
            retries: dependencies.retries,
            route_stats: RefCell::default(),
        })
    }

    /// Applies a result of reading the store.
    pub fn apply_update(&self, update: Update) {
        let now = self.clock.now();
        match update {
            Update::Catalog(catalog) => self.configure(*catalog),
            Update::Listing(endpoints) => {
                info!(self.log, "endpoints listed"; "count" => endpoints.len());
                self.registry.borrow_mut().replace(endpoints, now);
                self.sync();
            }
            Update::Confirmed(as_of) => {
                let latest = self
                    .config_as_of
                    .get()
                    .map_or(as_of, |previous| previous.max(as_of));
                self.config_as_of.set(Some(latest));
                self.config_confirmed.notify_waiters();
                self.update_evacuation(Evacuation::expire);
            }
            Update::ReadSucceeded => {
                self.registry.borrow_mut().read_succeeded(now);
                let expired = self.registry.borrow_mut().expire(now);
                if !expired.is_empty() {
                    info!(self.log, "endpoints expired"; "endpoints" => ?expired);
                    self.sync();
                }
                self.origins.confirm();
                let registry = self.registry.borrow();
                self.knowledge.quarantine.observe(&registry, now);
            }
            Update::ReadFailed => self.registry.borrow_mut().read_failed(now),
            Update::Epoch(epoch) => self.enter_epoch(epoch, now),
            Update::Evacuated(zones) => {
                self.update_evacuation(|evacuation, now| evacuation.replace(zones, now));
            }
            Update::Evacuation(change) => {
                self.update_evacuation(|evacuation, now| evacuation.apply(change, now));
            }
        }
    }

    /// Prepares for a store that lacks what was written last.
    fn enter_epoch(&self, epoch: id::Epoch, now: Time) {
        let previous = self.epoch.get();
        if previous.is_some_and(|previous| epoch <= previous) {
            return;
        }
        self.epoch.set(Some(epoch));
        let Some(previous) = previous else {
            return self.origins.set_epoch(epoch);
        };
        warn!(self.log, "store went back to a copy"; "epoch" => epoch, "before" => previous);
        self.registry.borrow_mut().log_went_back(now);
        self.origins.log_went_back(epoch);
        self.knowledge.quarantine.log_went_back(now);
    }

    /// Writes to the log what another daemon cannot write, and keeps it until that is done.
    async fn keep(&self, load: &Load) -> Receipt {
        self.meter.count("handoff.kept");
        let now = self.clock.now();
        handoff::keep(&self.origins, &self.knowledge.quarantine, load, now).await
    }

    /// Applies a change of an endpoint's entry; returns whether it changes the known endpoints:
    /// after an outage a removal does so later.
    pub fn apply_entry(&self, entry: &Entry) -> bool {
        let now = self.clock.now();
        let is_removal = matches!(entry, Entry::Removed(_));
        let is_change = self.registry.borrow_mut().apply(entry.clone(), now);
        if is_change {
            info!(self.log, "endpoint changed"; "entry" => ?entry);
            self.sync();
        }
        is_change || is_removal
    }

    fn configure(&self, catalog: Catalog) {
        let previous_version = self.catalog.borrow().version;
        if catalog.version <= previous_version {
            // The store may return an older record; the version never goes back.
            return;
        }
        info!(self.log, "configuration";
            "version" => catalog.version, "before" => previous_version,
            "routes" => catalog.routes.len());
        for region in residency::unknown_regions(&catalog, &self.options.places) {
            warn!(self.log, "region of the configuration unknown";
                "region" => &**region, "version" => catalog.version);
            self.meter.count("config.unknown_region");
        }
        let (longest, largest) = (catalog.limits.body_bytes, self.intake.bound().largest());
        if longest > largest {
            warn!(self.log, "no room for the longest body"; "bytes" => longest, "room" => largest);
        }
        let names_regions = residency::names_regions(&catalog);
        self.names_regions.set(names_regions);
        *self.catalog.borrow_mut() = Rc::new(catalog);
        self.sync();
        if names_regions {
            self.reconfigured.notify_waiters();
        }
    }

    /// Waits for the first configuration, while the daemon starts.
    async fn wait_configured(&self) {
        while self.config_age().is_none() {
            let waited = self.clock.now().saturating_sub(self.started);
            let configured = self.config_confirmed.notified();
            let remaining = FIRST_CONFIG_TIMEOUT.saturating_sub(waited);
            if remaining.is_zero() || timeout(remaining, configured).await.is_err() {
                return;
            }
        }
    }

    fn sync(&self) {
        let catalog = self.catalog();
        let registry = self.registry.borrow();
        let origin = |endpoint: &Endpoint| Origin {
            service: endpoint.service.clone(),
            release: endpoint.release.clone(),
        };
        self.origins.observe(registry.all().map(origin));
        self.closures.observe(registry.all());
        self.dialer.observe(registry.targets());
        self.knowledge.limits.observe(registry.all());
        let now = self.clock.now();
        let cold = self.knowledge.limits.cold();
        let taken_back_at = |zone: &id::Zone| registry.taken_back_at(zone);
        cold.observe(&catalog, registry.all(), &taken_back_at, now);
        self.knowledge.quarantine.observe(&registry, now);
        for dispatcher in &self.dispatchers {
            dispatcher.update_planner(|planner, now| planner.sync(&registry, &catalog, now));
        }
    }

    /// Returns what is known of content that ends endpoints.
    pub fn quarantine(&self) -> &Quarantine {
        &self.knowledge.quarantine
    }

    /// Returns the retries that this daemon keeps, and others lend it.
    pub fn budget(&self) -> &Budget {
        &self.knowledge.budget
    }

    /// Returns the limits that endpoints have named.
    pub fn limits(&self) -> &Limits {
        &self.knowledge.limits
    }

    /// Returns the current configuration.
    pub fn catalog(&self) -> Rc<Catalog> {
        self.catalog.borrow().clone()
    }

    /// Returns whether an endpoint must get no request, as its entry, its own answers or operators say.
    fn is_closed(&self, id: &str) -> bool {
        let closure = self.closures.get(id, self.clock.now());
        closure.is_some() || self.registry.borrow().is_leaving(id) || self.is_evacuated(id)
    }

    /// Returns whether an endpoint may be asked about itself: one that leaves may, but not one that wants nothing for
    /// a time, or whose requests are counted.
    fn may_ask(&self, id: &id::Endpoint) -> bool {
        let now = self.clock.now();
        let closure = self.closures.get(id, now);
        let wants_nothing = closure.is_some_and(|closure| closure.remaining.is_some());
        let limits = self.limits();
        let is_counted = limits.get(id).is_some() || limits.cold().is_cold(id, now);
        !wants_nothing && !is_counted && !self.is_evacuated(id)
    }

    /// Returns whether an endpoint may get a request, by the region that it lists.
    fn is_allowed(&self, residency: &Residency, id: &str) -> bool {
        let registry = self.registry.borrow();
        let listed = registry.get(id);
        !residency.is_limited()
            || listed.is_some_and(|endpoint| residency.allows_zone(&endpoint.zone))
    }

    /// Returns how much time a client had spent before this request. Clients of a route have the
    /// same timeout, so one with less time remaining was refused before.
    fn time_spent(&self, route: &id::Name, remaining: Option<Duration>) -> Duration {
        let Some(remaining) = remaining else {
            return Duration::ZERO;
        };
        let mut stats = self.route_stats.borrow_mut();
        let stats = stats.entry(route.clone()).or_default();
        stats.max_remaining = stats.max_remaining.max(remaining);
        let spent = stats.max_remaining.saturating_sub(remaining);
        if spent > MIN_TIME_SPENT {
            spent
        } else {
            Duration::ZERO
        }
    }

    /// Returns the weight of a request among those of its route, by its size.
    fn weight(&self, route: &id::Name, tokens: Tokens) -> f32 {
        let size = tokens.prompt as f32 + OUTPUT_TOKEN_WEIGHT * tokens.output as f32;
        if size <= 0.0 {
            return 1.0;
        }
        let mut stats = self.route_stats.borrow_mut();
        let stats = stats.entry(route.clone()).or_default();
        let mean = stats.mean_size.get_or_insert(size);
        *mean += SIZE_SMOOTHING * (size - *mean);
        0.3 + 0.7 * size / *mean
    }

    /// Returns the age of the configuration, or none before the first one.
    pub fn config_age(&self) -> Option<Duration> {
        let has_config = self.catalog.borrow().version > 0;
        let config_as_of = self.config_as_of.get().filter(|_| has_config)?;
        Some(self.clock.now().saturating_sub(config_as_of))
    }

    /// Returns whether the load balancer may send connections here.
    pub fn is_ready(&self) -> bool {
        let is_fresh = self
            .config_age()
            .is_some_and(|age| age <= self.options.max_ready_age);
        is_fresh
            && self.drain.get().is_none()
            && !self.dialer.is_isolated()
            && self.registry.borrow().available().next().is_some()
    }

    /// Begins to stop: the daemon is not ready any more, but still serves requests for `grace` at most.
    pub fn leave(&self, grace: Duration) {
        warn!(self.log, "stopping";
            "active" => self.active_requests.get(), "carried" => self.carried_requests.get());
        self.drain.set(Some(Drain::new(self.clock.now(), grace)));
        self.drain_begun.notify_waiters();
        self.staged_planner.stop_planning();
    }

    /// Returns the time at which the daemon began to stop, if it did.
    pub fn leaving_since(&self) -> Option<Time> {
        self.drain.get().map(|drain| drain.since())
    }

    /// Waits until the daemon begins to stop.
    async fn wait_drain(&self) -> Drain {
        loop {
            let begun = self.drain_begun.notified();
            if let Some(drain) = self.drain.get() {
                return drain;
            }
            begun.await;
        }
    }

    /// Returns the time within which endpoints run a request of a route, as far as is known.
    fn run_time(&self, route: &catalog::Route) -> Duration {
        let stats = self.route_stats.borrow();
        let run_time = stats
            .get(&route.name)
            .and_then(|stats| stats.run_time.bound());
        run_time.unwrap_or(route.target_latency)
    }

    /// Records how long an endpoint ran a request of a route.
    fn record_run_time(&self, route: &id::Name, took: Duration) {
        let mut stats = self.route_stats.borrow_mut();
        stats
            .entry(route.clone())
            .or_default()
            .run_time
            .record(took);
    }

    /// Waits until a daemon that has begun to stop has nothing left to do, or has to end.
    pub async fn finish(&self) {
        let drain = self.wait_drain().await;
        loop {
            let now = self.clock.now();
            let is_idle = self.active_requests.get() == 0
                && self.carried_requests.get() == 0
                && self
                    .dispatchers
                    .iter()
                    .all(|dispatcher| dispatcher.is_empty());
            if drain.may_end(now) && is_idle {
                return;
            }
            if drain.is_final(now) {
                self.final_response.notify_waiters();
            }
            if drain.is_over(now) {
                // Other daemons' waiting requests move to another planner.
                self.dispatchers.iter().for_each(|dispatcher| {
                    dispatcher.update_planner(|planner, _| planner.transfer_all())
                });
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
                return;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Returns the number of requests being served.
    pub fn active_requests(&self) -> usize {
        self.active_requests.get()
    }
}
