//! Serves clients on one event loop: from a client's connection over the stages of its request to
//! the endpoint that runs it, and back.
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
use crate::retry::Budget;

pub mod catalog;
pub mod connection;
pub mod dispatcher;
pub mod exchange;
pub mod handler;
pub mod health;
pub mod http;
pub mod meter;
pub mod plan;
pub mod progress;
pub mod protocol;
pub mod ready;
pub mod region;
pub mod registry;
pub mod response;

use catalog::Catalog;
use dispatcher::{Dispatcher, RequestPlanner};
use meter::Meter;
use plan::Tokens;
use protocol::Protocol;
use registry::{Endpoint, Entry, Registry};

/// How long a daemon that leaves goes on to take requests: the balancer sends new connections
/// elsewhere after two missed checks a second apart, and idle ones are closed after that.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3_500);
/// How long a daemon that leaves takes requests with stages, which may need several seconds; the
/// operators' rule covers what was sent in the first three.
const STAGED_ACCEPT_TIME: Duration = Duration::from_secs(3);
/// How long it takes other requests, which end within a second.
const PLAIN_ACCEPT_TIME: Duration = Duration::from_millis(5_500);
/// How long before it ends what has no answer yet is told so.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// How often it looks whether everything has been served.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long after its start a daemon lets requests wait for the first configuration, which takes a
/// fraction of a second to read. When all daemons start at once there is no other one to go to.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_secs(1);

/// Less time than this may have passed on the way of a first attempt.
const MIN_TIME_SPENT: Duration = Duration::from_millis(50);
/// What a generated token costs beside one of the prompt; the users count ten.
const OUTPUT_TOKEN_WEIGHT: f32 = 10.0;
/// The share of a request in the mean size of its route.
const SIZE_SMOOTHING: f32 = 0.02;

event! {
    /// Something that was read of the platform's store.
    pub enum Update {
        /// A version of the configuration.
        Catalog(Box<Catalog>),
        /// All endpoints at one moment.
        Listing(Vec<Endpoint>),
        /// Every change of the configuration that was acknowledged before this time is known.
        Confirmed(Time),
        /// Entries of endpoints were read without fault.
        ReadSucceeded,
        /// A read of the store failed.
        ReadFailed,
    }
}

/// The bounds within which a daemon serves.
#[derive(Clone, Debug)]
pub struct Options {
    /// The availability zone of the daemon.
    pub zone: id::Zone,
    /// How old the knowledge of keys may be when a request with a key is taken; older knowledge may
    /// lack that the key was taken away.
    pub max_key_age: Duration,
    /// How old the knowledge may be when the daemon takes itself out of rotation.
    pub max_ready_age: Duration,
    /// Repeats for each request of a service.
    pub retry_ratio: f64,
    /// Repeats that a service's budget saves up in this daemon.
    pub retry_budget_cap: f64,
}

/// What one daemon knows, and with what it serves.
pub struct Node {
    options: Options,
    catalog: RefCell<Rc<Catalog>>,
    registry: RefCell<Registry>,
    config_as_of: Cell<Option<Time>>,
    dispatchers: Vec<Rc<Dispatcher>>,
    plain_planner: Rc<dyn RequestPlanner>,
    staged_planner: Rc<dyn RequestPlanner>,
    protocol: Rc<dyn Protocol>,
    clock: Rc<dyn Clock>,
    meter: Rc<Meter>,
    log: Logger,
    leaving_since: Cell<Option<Time>>,
    active_requests: Cell<usize>,
    final_response: Notify,
    started: Time,
    config_confirmed: Notify,
    retry_budgets: RefCell<IndexMap<id::Pool, Budget>>,
    route_stats: RefCell<IndexMap<id::Name, RouteStats>>,
}

/// What requests of one route are usually like.
#[derive(Default)]
struct RouteStats {
    /// The longest time that a client waits.
    max_remaining: Duration,
    /// The mean size of a generation.
    mean_size: Option<f32>,
}

/// The parts from which a node is made.
pub struct Dependencies {
    /// The bounds.
    pub options: Options,
    /// The planners of this daemon, which are told of endpoints.
    pub dispatchers: Vec<Rc<Dispatcher>>,
    /// Where requests without stages are planned.
    pub plain_planner: Rc<dyn RequestPlanner>,
    /// Where requests with stages or a prompt are planned.
    pub staged_planner: Rc<dyn RequestPlanner>,
    /// What clients and endpoints speak.
    pub protocol: Rc<dyn Protocol>,
    /// The clock, which a suspension of the VM does not stop.
    pub clock: Rc<dyn Clock>,
    /// The metrics.
    pub meter: Rc<Meter>,
    /// The logger.
    pub log: Logger,
}

impl Node {
    /// Makes a node that knows nothing yet.
    pub fn new(parts: Dependencies) -> Rc<Self> {
        let started = parts.clock.now();
        Rc::new(Self {
            options: parts.options,
            catalog: RefCell::default(),
            registry: RefCell::default(),
            config_as_of: Cell::new(None),
            dispatchers: parts.dispatchers,
            plain_planner: parts.plain_planner,
            staged_planner: parts.staged_planner,
            protocol: parts.protocol,
            clock: parts.clock,
            meter: parts.meter,
            log: parts.log,
            leaving_since: Cell::new(None),
            active_requests: Cell::new(0),
            final_response: Notify::new(),
            started,
            config_confirmed: Notify::new(),
            retry_budgets: RefCell::default(),
            route_stats: RefCell::default(),
        })
    }

    /// Takes in what was read of the store.
    pub fn apply_update(&self, update: Update) {
        let now = self.clock.now();
        match update {
            Update::Catalog(catalog) => self.configure(*catalog),
            Update::Listing(endpoints) => {
                info!(self.log, "endpoints listed"; "count" => endpoints.len());
                self.registry.borrow_mut().replace(endpoints, now);
                self.sync();
            }
            Update::Confirmed(at) => {
                let latest = self.config_as_of.get().map_or(at, |before| before.max(at));
                self.config_as_of.set(Some(latest));
                self.config_confirmed.notify_waiters();
            }
            Update::ReadSucceeded => {
                self.registry.borrow_mut().read_succeeded(now);
                let gone = self.registry.borrow_mut().expire(now);
                if !gone.is_empty() {
                    info!(self.log, "endpoints expired"; "endpoints" => ?gone);
                    self.sync();
                }
            }
            Update::ReadFailed => self.registry.borrow_mut().read_failed(now),
        }
    }

    /// Takes in an endpoint's entry; returns whether it may change what is believed: a removal that
    /// is doubted does so later.
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
        let before = self.catalog.borrow().version;
        if catalog.version <= before {
            // The store may hand out what it held before; a version never goes back.
            return;
        }
        info!(self.log, "configuration";
            "version" => catalog.version, "before" => before, "routes" => catalog.routes.len());
        *self.catalog.borrow_mut() = Rc::new(catalog);
        self.sync();
    }

    /// Waits for the first configuration while the daemon starts.
    async fn wait_configured(&self) {
        while self.config_age().is_none() {
            let waited = self.clock.now().saturating_sub(self.started);
            let configured = self.config_confirmed.notified();
            let left = FIRST_CONFIG_TIMEOUT.saturating_sub(waited);
            if left.is_zero() || timeout(left, configured).await.is_err() {
                return;
            }
        }
    }

    fn sync(&self) {
        let catalog = self.catalog();
        let registry = self.registry.borrow();
        for agent in &self.dispatchers {
            agent.update_planner(|planner, now| planner.sync(&registry, &catalog, now));
        }
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Rc<Catalog> {
        self.catalog.borrow().clone()
    }

    fn is_leaving(&self, id: &str) -> bool {
        self.registry.borrow().is_leaving(id)
    }

    /// Returns how much of its time a client had used before this request. Clients of a route have
    /// the same patience, so one that has less of it left was refused before.
    fn time_spent(&self, route: &id::Name, remaining: Option<Duration>) -> Duration {
        let Some(remaining) = remaining else {
            return Duration::ZERO;
        };
        let mut usual = self.route_stats.borrow_mut();
        let usual = usual.entry(route.clone()).or_default();
        usual.max_remaining = usual.max_remaining.max(remaining);
        let spent = usual.max_remaining.saturating_sub(remaining);
        if spent > MIN_TIME_SPENT {
            spent
        } else {
            Duration::ZERO
        }
    }

    /// Returns what a request's answer is worth beside others of its route, by its size.
    fn weight(&self, route: &id::Name, tokens: Tokens) -> f32 {
        let size = tokens.prompt as f32 + OUTPUT_TOKEN_WEIGHT * tokens.output as f32;
        if size <= 0.0 {
            return 1.0;
        }
        let mut usual = self.route_stats.borrow_mut();
        let usual = usual.entry(route.clone()).or_default();
        let mean = usual.mean_size.get_or_insert(size);
        *mean += SIZE_SMOOTHING * (size - *mean);
        0.3 + 0.7 * size / *mean
    }

    /// A request came for a service: its budget of repeats grows.
    fn earn_retry(&self, service: &id::Pool) {
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.clone());
        let budget = budget.or_insert_with(|| Budget::capped(self.options.retry_budget_cap));
        budget.earn(self.options.retry_ratio);
    }

    /// Takes one repeat from the budget of a service; false when none is left.
    fn spend_retry(&self, service: &id::Pool) -> bool {
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.get_mut(service).is_some_and(Budget::spend)
    }

    /// Returns how old the knowledge of the configuration is; none when there is none.
    pub fn config_age(&self) -> Option<Duration> {
        let known = self.catalog.borrow().version > 0;
        let confirmed = self.config_as_of.get().filter(|_| known)?;
        Some(self.clock.now().saturating_sub(confirmed))
    }

    /// Returns whether the daemon takes new connections.
    pub fn is_ready(&self) -> bool {
        let fresh = self
            .config_age()
            .is_some_and(|age| age <= self.options.max_ready_age);
        fresh
            && self.leaving_since.get().is_none()
            && self.registry.borrow().available().next().is_some()
    }

    /// Takes the daemon out of rotation; what is open is still served.
    pub fn leave(&self) {
        warn!(self.log, "stopping"; "active" => self.active_requests.get());
        self.leaving_since.set(Some(self.clock.now()));
        self.staged_planner.stop_planning();
    }

    /// Returns since when the daemon is leaving.
    pub fn leaving_since(&self) -> Option<Time> {
        self.leaving_since.get()
    }

    /// Returns whether there is too little time left to take a request.
    fn is_closed_for(&self, is_staged: bool) -> bool {
        let left = self
            .leaving_since
            .get()
            .map(|since| self.clock.now().saturating_sub(since));
        let last = if is_staged {
            STAGED_ACCEPT_TIME
        } else {
            PLAIN_ACCEPT_TIME
        };
        left.is_some_and(|left| left > last)
    }

    /// Waits until everything that is open has been served, at most for `grace`.
    pub async fn finish(&self, grace: Duration) {
        let start = self.clock.now();
        loop {
            let waited = self.clock.now().saturating_sub(start);
            let is_idle = self.active_requests.get() == 0
                && self.dispatchers.iter().all(|one| one.is_empty());
            if waited >= MIN_DRAIN_TIME && is_idle {
                return;
            }
            if waited >= grace.saturating_sub(FINAL_RESPONSE_MARGIN) {
                self.final_response.notify_waiters();
            }
            if waited >= grace {
                // Other daemons' requests that wait here are planned elsewhere.
                self.dispatchers
                    .iter()
                    .for_each(|agent| agent.update_planner(|planner, _| planner.transfer_all()));
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
                return;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Returns the number of requests that are served now.
    pub fn active_requests(&self) -> usize {
        self.active_requests.get()
    }
}
