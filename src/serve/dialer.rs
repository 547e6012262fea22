//! Connects to endpoints: directly, or by way of another VM where the own link is at fault.
//!
//! The other VM only passes bytes on. What is sent, how often, and what it means for the client stays with
//! the daemon that has the request. See [the design note](../../docs/design/links.md).

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared, select_ok};
use indexmap::IndexMap;
use rand::seq::IteratorRandom;
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::task::spawn_local;

use super::carrier::{Carrier, Carriers};
use super::exchange::{self, CONNECT_TIMEOUT, Connection};
use super::link::Link;
use super::registry::Endpoint;
use super::residency::Residency;
use super::tunnel;
use crate::clock::{Clock, Time};
use crate::id;

/// The most daemons that are asked to pass one connection on.
const MAX_CARRIERS: usize = 4;
/// The endpoints that are tried to find out whether the own link is at fault.
const CHECKED_ENDPOINTS: usize = 4;
/// How long after its connections an endpoint that ends stops listening.
pub const CLOSE_TIME: Duration = Duration::from_millis(30);
/// How long what was found of an endpoint holds: all its connections break at once.
const FINDING_VALIDITY: Duration = Duration::from_millis(200);
/// How often a link that is down is probed. Each probe costs an endpoint a connection.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How long after the VM reached an endpoint last, itself or over another VM, it counts as isolated.
const ISOLATION_TIME: Duration = Duration::from_secs(2);

/// Why an endpoint was not reached; nothing was sent to it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// Neither this VM nor another one that reaches endpoints reaches this one.
    #[snafu(display("{source}; other VMs do not reach it either"))]
    Unreached {
        /// What went wrong at the direct connection.
        source: exchange::Error,
    },
    /// This VM reaches no endpoint, and no other one passes connections on for it.
    #[snafu(display("{endpoint} at {peer}: neither this VM nor another one reaches endpoints"))]
    Isolated {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// Its address.
        peer: SocketAddr,
    },
    /// The endpoint takes nothing from the VM that would pass the connection on.
    #[snafu(display("{endpoint} at {peer}: closed for the daemon {carrier}"))]
    Closed {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// Its address.
        peer: SocketAddr,
        /// The other VM.
        carrier: id::Daemon,
    },
}

impl Error {
    /// Returns whether the endpoint is not at fault.
    pub fn is_own_fault(&self) -> bool {
        !matches!(self, Self::Unreached { .. })
    }
}

/// An endpoint to connect to.
#[derive(Clone, Debug)]
pub struct Target {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// The regions in which what is sent to it may be.
    pub residency: Residency,
}

/// How an attempt to connect by way of other VMs ended.
enum Detour {
    Connected(Connection),
    /// A VM that reaches endpoints does not reach this one.
    Unreached,
    Closed(id::Daemon),
    /// No other VM reaches any endpoint.
    Unavailable,
}

/// Why a connection to an endpoint was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The endpoint takes connections of this VM.
    Alive,
    /// It takes those of other VMs only: the own link is at fault.
    Cut,
    /// It takes none.
    Ended,
    /// No VM that could tell reaches any endpoint.
    Unknown,
}

type Check = Shared<LocalBoxFuture<'static, bool>>;
type Examination = Shared<LocalBoxFuture<'static, Finding>>;

/// Connects to endpoints for one daemon.
pub struct Dialer {
    link: RefCell<Link>,
    carriers: RefCell<Carriers>,
    endpoints: RefCell<IndexMap<id::Endpoint, SocketAddr>>,
    check: RefCell<Option<(Time, Check)>>,
    examinations: RefCell<IndexMap<id::Endpoint, (Time, Examination)>>,
    /// When an endpoint was reached last, directly or over another VM.
    reached_at: Cell<Time>,
    clock: Rc<dyn Clock>,
    log: Logger,
}

impl Dialer {
    /// Makes the dialer of a daemon in a region, and starts to probe its link whenever that is down.
    pub fn start(region: id::Region, clock: Rc<dyn Clock>, log: Logger) -> Rc<Self> {
        let dialer = Rc::new(Self {
            link: RefCell::default(),
            carriers: RefCell::new(Carriers::new(region)),
            endpoints: RefCell::default(),
            check: RefCell::default(),
            examinations: RefCell::default(),
            reached_at: Cell::new(clock.now()),
            clock,
            log,
        });
        let probing = Rc::downgrade(&dialer);
        spawn_local(async move {
            while let Some(dialer) = probing.upgrade() {
                if dialer.is_down() {
                    dialer.probe().await;
                }
                drop(dialer);
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        });
        dialer
    }

    /// Records the listed endpoints.
    pub fn observe<'a>(&self, endpoints: impl Iterator<Item = &'a Endpoint>) {
        let endpoints = endpoints.map(|endpoint| (endpoint.id.clone(), endpoint.address));
        self.endpoints.replace(endpoints.collect());
    }

    /// Records a daemon that passes connections on, or removes one that has left for good.
    pub fn apply_carrier(&self, name: &id::Daemon, carrier: Option<Carrier>) {
        self.carriers.borrow_mut().apply(name, carrier);
    }

    /// Returns whether this VM reaches no endpoint by itself.
    pub fn is_down(&self) -> bool {
        self.link.borrow().is_down()
    }

    /// Returns whether this VM has reached no endpoint for a while, in no way.
    pub fn is_isolated(&self) -> bool {
        self.is_down() && self.clock.now() >= self.reached_at.get() + ISOLATION_TIME
    }

    /// Returns whether an endpoint is to be reached directly, as far as is known.
    pub fn is_direct(&self, endpoint: &str) -> bool {
        self.link.borrow().is_direct(endpoint, self.clock.now())
    }

    /// Connects to an endpoint, by way of another VM if need be.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint was not reached. Nothing was sent to it then.
    pub async fn connect(self: &Rc<Self>, target: &Target) -> Result<Connection, Error> {
        let began = self.clock.now();
        let mut failure = None;
        if self.is_direct(&target.endpoint) {
            match self.dial(target, CONNECT_TIMEOUT).await {
                Ok(connection) => return Ok(connection),
                Err(error) => failure = Some(error),
            }
        }
        let detour = self.detour(target).await;
        match (detour, failure) {
            (Detour::Connected(connection), failure) => {
                if failure.is_some() {
                    // Whether other endpoints are reached matters for streams under way.
                    let dialer = self.clone();
                    spawn_local(async move { dialer.check(began).await });
                }
                Ok(connection)
            }
            (Detour::Closed(carrier), _) => ClosedSnafu {
                endpoint: &*target.endpoint,
                peer: target.address,
                carrier,
            }
            .fail(),
            (Detour::Unreached, Some(failure)) => Err(failure).context(UnreachedSnafu),
            (Detour::Unavailable, Some(failure)) if !failure.is_silent() => {
                self.judge(target, failure, began).await
            }
            // The SYN packet may have been lost, or the link is up again.
            _ => match self.dial(target, CONNECT_TIMEOUT * 2).await {
                Ok(connection) => Ok(connection),
                Err(failure) => self.judge(target, failure, began).await,
            },
        }
    }

    /// Tells whether the endpoint or the own link is at fault, when no other VM can tell.
    async fn judge(
        self: &Rc<Self>,
        target: &Target,
        failure: exchange::Error,
        began: Time,
    ) -> Result<Connection, Error> {
        if self.check(began).await {
            return Err(failure).context(UnreachedSnafu);
        }
        IsolatedSnafu {
            endpoint: &*target.endpoint,
            peer: target.address,
        }
        .fail()
    }

    /// Connects to an endpoint directly, for another daemon too.
    pub async fn dial(
        &self,
        target: &Target,
        time: Duration,
    ) -> Result<Connection, exchange::Error> {
        let connection = exchange::connect_once(target.address, time).await?;
        let now = self.clock.now();
        self.reached_at.set(now);
        self.link.borrow_mut().reached(&target.endpoint, now);
        Ok(connection)
    }

    /// Has other daemons pass a connection on.
    async fn detour(&self, target: &Target) -> Detour {
        let mut asked = Vec::new();
        while asked.len() < MAX_CARRIERS {
            let (residency, now) = (&target.residency, self.clock.now());
            let carrier = self.carriers.borrow().choose(&asked, residency, now);
            let Some(carrier) = carrier else {
                break;
            };
            asked.push(carrier.name.clone());
            let opened = tunnel::open(&carrier, target).await;
            let now = self.clock.now();
            let name = &carrier.name;
            let result = match opened {
                Ok(connection) => {
                    self.reached_at.set(now);
                    self.link.borrow_mut().detoured(&target.endpoint, now);
                    Detour::Connected(connection)
                }
                Err(tunnel::Error::Unreached { .. }) => Detour::Unreached,
                Err(tunnel::Error::Closed { .. }) => Detour::Closed(name.clone()),
                Err(error) => {
                    info!(self.log, "connection not passed on";
                        "daemon" => &**name, "endpoint" => &*target.endpoint, "error" => %error);
                    self.carriers.borrow_mut().failed(name, now);
                    continue;
                }
            };
            self.carriers.borrow_mut().succeeded(name);
            return result;
        }
        Detour::Unavailable
    }

    /// Returns whether this VM reaches any endpoint by itself, after a connection to one that began at
    /// `since` has failed.
    pub async fn check(self: &Rc<Self>, since: Time) -> bool {
        if self.is_down() {
            return false;
        }
        if self.link.borrow().was_reached_since(since) {
            return true;
        }
        let checking = {
            let mut check = self.check.borrow_mut();
            let is_recent =
                |(began, running): &&(Time, Check)| *began >= since || running.peek().is_none();
            match check.as_ref().filter(is_recent) {
                Some((_, running)) => running.clone(),
                None => {
                    let running = self.clone().check_link().boxed_local().shared();
                    check.replace((self.clock.now(), running.clone()));
                    running
                }
            }
        };
        checking.await
    }

    async fn check_link(self: Rc<Self>) -> bool {
        let targets = self.choose_endpoints(CHECKED_ENDPOINTS);
        if targets.is_empty() {
            return true;
        }
        let dials = targets.iter();
        let dials = dials.map(|target| self.dial(target, CONNECT_TIMEOUT).boxed_local());
        let is_up = select_ok(dials).await.is_ok();
        if !is_up && self.link.borrow_mut().failed() {
            let endpoints: Vec<&str> = targets.iter().map(|target| &*target.endpoint).collect();
            warn!(self.log, "link down"; "endpoints" => endpoints.join(","));
        }
        is_up
    }

    /// Finds out why a connection to an endpoint was lost, some time after that.
    pub async fn examine(self: &Rc<Self>, target: &Target, delay: Duration) -> Finding {
        let now = self.clock.now();
        let examination = {
            let mut known = self.examinations.borrow_mut();
            known.retain(|_, (began, _)| now < *began + FINDING_VALIDITY);
            let begin = || {
                let (dialer, target) = (self.clone(), target.clone());
                let examination = async move { dialer.find_fault(&target, delay).await };
                (now, examination.boxed_local().shared())
            };
            let entry = known.entry(target.endpoint.clone());
            entry.or_insert_with(begin).1.clone()
        };
        examination.await
    }

    async fn find_fault(self: &Rc<Self>, target: &Target, delay: Duration) -> Finding {
        tokio::time::sleep(delay).await;
        let began = self.clock.now();
        let is_direct = self.is_direct(&target.endpoint);
        if is_direct && self.dial(target, CONNECT_TIMEOUT).await.is_ok() {
            return Finding::Alive;
        }
        let finding = match self.detour(target).await {
            Detour::Connected(_) | Detour::Closed(_) => Finding::Cut,
            Detour::Unreached => Finding::Ended,
            Detour::Unavailable if self.check(began).await => Finding::Ended,
            Detour::Unavailable => Finding::Unknown,
        };
        info!(self.log, "connection examined";
            "endpoint" => &*target.endpoint, "finding" => ?finding);
        finding
    }

    fn choose_endpoints(&self, count: usize) -> Vec<Target> {
        let endpoints = self.endpoints.borrow();
        let target = |(endpoint, address): (&id::Endpoint, &SocketAddr)| Target {
            endpoint: endpoint.clone(),
            address: *address,
            residency: Residency::default(),
        };
        let chosen = endpoints.iter().sample(&mut rand::rng(), count);
        chosen.into_iter().map(target).collect()
    }

    async fn probe(&self) {
        let Some(target) = self.choose_endpoints(1).pop() else {
            return;
        };
        let is_reached = self.dial(&target, CONNECT_TIMEOUT).await.is_ok();
        if self.link.borrow_mut().probed(is_reached) {
            info!(self.log, "link up"; "endpoint" => &*target.endpoint);
        }
    }
}

#[cfg(test)]
mod tests;
