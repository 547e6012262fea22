//! One daemon plans for its region: which one, and how the others reach it.
//!
//! All daemons rank the daemons of the region alike and use the first that answers. Two of them may
//! plan at once while views differ; that costs full calls, never a promise. See
//! [the design note](../../docs/design/fleet.md).

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use futures::future::LocalBoxFuture;
use indexmap::IndexMap;
use slog::{Logger, info};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

use super::dispatcher::{Dispatcher, LocalPlanner, PlannedRequest, RequestPlanner};
use super::plan::{Job, Refusal};
use super::progress::ReadProgress;
use crate::clock::Clock;
use crate::generated::plan_capnp::planner;
use crate::id;
use crate::peer::stream::{self, Coding, Count};

mod host;
mod rank;
mod record;
mod remote;
mod sent_parts;
mod wire;

pub use host::listen;
pub use rank::{Member, Ranking};
use sent_parts::SentParts;

/// How often the planner is asked whether it is alive.
const PING_INTERVAL: Duration = Duration::from_millis(100);
/// How often the planner of another region is asked: the link between regions is billed.
const REMOTE_PING_INTERVAL: Duration = Duration::from_millis(500);
/// How long it may take to answer before another one is used. A request has about a second of slack,
/// and a daemon on a quota stands still for a tenth of a second.
const PING_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection to a daemon of the region may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a request waits for the planner to be found: as long as it takes to notice that it is
/// lost and to reach the next one.
const PLANNER_WAIT_TIMEOUT: Duration = Duration::from_millis(500);
/// How often it looks.
const PLANNER_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Planners that may be lost with one request.
const MAX_LOST_PLANNERS: usize = 3;
/// Planners that may hand one request over; while all daemons are stopped in turn, each of them may.
const MAX_TRANSFERS: usize = 10;

/// A connection to the daemon that plans.
struct PlannerConnection {
    member: Member,
    client: planner::Client,
    rpc_task: JoinHandle<()>,
    /// Whether the daemon is held to be lost.
    is_lost: Cell<bool>,
    lost: Notify,
}

impl PlannerConnection {
    fn new(member: Member, client: planner::Client, running: JoinHandle<()>) -> Rc<Self> {
        Rc::new(Self {
            member,
            client,
            rpc_task: running,
            is_lost: Cell::new(false),
            lost: Notify::new(),
        })
    }

    /// Gives the daemon up: a frozen one never answers what it was asked.
    fn mark_lost(&self) {
        self.is_lost.set(true);
        self.lost.notify_waiters();
        self.rpc_task.abort();
    }

    /// Waits for an answer, or until the daemon is held to be lost.
    async fn wait_response<T>(
        &self,
        promise: impl Future<Output = capnp::Result<T>>,
    ) -> capnp::Result<T> {
        let lost = || capnp::Error::disconnected("the planner does not answer".into());
        if self.is_lost.get() {
            return Err(lost());
        }
        tokio::select! {
            biased;
            answer = promise => answer,
            () = self.lost.notified() => Err(lost()),
        }
    }
}

impl Drop for PlannerConnection {
    fn drop(&mut self) {
        self.rpc_task.abort();
    }
}

/// Plans requests at the daemon that plans for one region.
pub struct Region {
    /// The planner of this daemon, if it is of the region.
    local: Option<Rc<Dispatcher>>,
    /// Where the planner's knowledge of the store is noted.
    progress: Option<Rc<ReadProgress>>,
    ranking: RefCell<Ranking>,
    connection: RefCell<Option<Rc<PlannerConnection>>>,
    sent_parts: RefCell<SentParts>,
    /// Another daemon is looked for at once.
    wake: Notify,
    ping_interval: Duration,
    clock: Rc<dyn Clock>,
    log: Logger,
}

impl Region {
    /// Starts to look for the daemon that plans for this daemon's own region; until one answers,
    /// requests are planned here.
    pub fn own(
        own: Member,
        local: Rc<Dispatcher>,
        board: Rc<ReadProgress>,
        clock: Rc<dyn Clock>,
        log: Logger,
    ) -> Rc<Self> {
        Self::start(Ranking::new(own), Some((local, board)), clock, log)
    }

    /// Starts to look for the daemon that plans for another region.
    pub fn other(clock: Rc<dyn Clock>, log: Logger) -> Rc<Self> {
        Self::start(Ranking::default(), None, clock, log)
    }

    fn start(
        ranking: Ranking,
        here: Option<(Rc<Dispatcher>, Rc<ReadProgress>)>,
        clock: Rc<dyn Clock>,
        log: Logger,
    ) -> Rc<Self> {
        let ping_every = if here.is_some() {
            PING_INTERVAL
        } else {
            REMOTE_PING_INTERVAL
        };
        let (local, board) = here.unzip();
        let region = Rc::new(Self {
            local,
            progress: board,
            ranking: RefCell::new(ranking),
            connection: RefCell::new(None),
            sent_parts: RefCell::default(),
            wake: Notify::new(),
            ping_interval: ping_every,
            clock,
            log,
        });
        spawn_local(region.clone().maintain_connection());
        region
    }

    /// A daemon has registered or has changed; without one, it has left for good.
    pub fn apply_member(&self, name: &id::Daemon, member: Option<Member>) {
        self.ranking.borrow_mut().apply_member(name, member);
    }

    /// The daemon is about to stop; the others are told at their next ping.
    fn stop_planning(&self) {
        self.ranking.borrow_mut().set_own_leaving(self.clock.now());
        if let Some(local) = self.local.as_ref().filter(|_| !self.is_planner()) {
            local.update_planner(|planner, _| planner.start_transfer());
        }
    }

    /// Returns whether this daemon itself is the first that can plan.
    fn is_planner(&self) -> bool {
        let ranking = self.ranking.borrow();
        let first = ranking.first(self.clock.now());
        ranking.is_listed() && first.is_some_and(|first| ranking.is_own(&first.name))
    }

    /// Returns the line to the planner. While it is looked for, planning here would only disturb the
    /// calls of the one that plans, so that is done after a while at the earliest.
    async fn wait_connection(&self) -> Option<Rc<PlannerConnection>> {
        let start = self.clock.now();
        loop {
            let line = self.connection.borrow().clone();
            let waited = self.clock.now().saturating_sub(start);
            if line.is_some() || self.is_planner() || waited >= PLANNER_WAIT_TIMEOUT {
                return line;
            }
            tokio::time::sleep(PLANNER_POLL_INTERVAL).await;
        }
    }

    async fn maintain_connection(self: Rc<Self>) {
        loop {
            self.update_connection().await;
            drop(timeout(self.ping_interval, self.wake.notified()).await);
        }
    }

    /// Makes sure that the line leads to the first daemon that answers.
    async fn update_connection(&self) {
        let now = self.clock.now();
        let Some(wanted) = self.ranking.borrow().first(now) else {
            return;
        };
        let line = self.connection.borrow().clone();
        if let Some(line) = &line
            && line.member == wanted
        {
            return self.check_connection(line).await;
        }
        if self.is_planner() {
            if line.is_some() {
                info!(self.log, "planning here"; "reason" => "no better daemon answers");
                self.connection.replace(None);
                if let Some(local) = &self.local {
                    let uses = self.sent_parts.borrow().cached_parts(now);
                    local.update_planner(|planner, _| planner.record_cached(&uses));
                }
            }
            return;
        }
        if self.ranking.borrow().is_own(&wanted.name) {
            return;
        }
        match timeout(CONNECT_TIMEOUT, connect(wanted.address)).await {
            Ok(Ok((client, running))) => {
                let line = PlannerConnection::new(wanted.clone(), client, running);
                // A daemon that accepts may still be frozen or cut off beyond its kernel.
                if self.ping(&line).await {
                    info!(self.log, "planning elsewhere"; "daemon" => &*wanted.name);
                    self.send_cached_parts(&line);
                    self.connection.replace(Some(line));
                    if let Some(local) = &self.local {
                        local.update_planner(|planner, _| planner.start_transfer());
                    }
                }
            }
            _ => self.record_unreachable(&wanted, "no connection"),
        }
    }

    /// Tells a daemon that begins to plan what was sent to engines.
    fn send_cached_parts(&self, line: &PlannerConnection) {
        let uses = self.sent_parts.borrow().ages_by_endpoint(self.clock.now());
        if uses.is_empty() {
            return;
        }
        let mut request = line.client.recall_request();
        let count = u32::try_from(uses.len()).unwrap_or_default();
        wire::write_sent_parts(&uses, request.get().init_uses(count));
        let sent = request.send().promise;
        // It only saves work, so a failure is of no consequence; the next ping notices it.
        spawn_local(async move { drop(sent.await) });
    }

    /// Asks whether a daemon plans. One that is about to stop does, but others are preferred.
    async fn ping(&self, line: &PlannerConnection) -> bool {
        let asked = self.clock.now();
        let ping = line.client.ping_request().send().promise;
        let reason = match timeout(PING_TIMEOUT, ping).await {
            Ok(Ok(answer)) => match answer.get() {
                Ok(answer) => {
                    let marks = answer.get_marks();
                    let marks = marks.and_then(|marks| wire::read_watermarks(marks, asked));
                    if let (Some(board), Ok(marks)) = (&self.progress, marks) {
                        board.set_planner_watermarks(marks);
                    }
                    if answer.get_leaving() {
                        let now = self.clock.now();
                        self.ranking.borrow_mut().set_leaving(&line.member, now);
                        if self
                            .ranking
                            .borrow()
                            .first(now)
                            .is_some_and(|first| first != line.member)
                        {
                            self.wake.notify_one();
                        }
                    }
                    return true;
                }
                Err(_) => "its answer cannot be read",
            },
            Ok(Err(_)) => "the connection broke",
            Err(_) => "no answer",
        };
        self.record_unreachable(&line.member, reason);
        false
    }

    async fn check_connection(&self, line: &Rc<PlannerConnection>) {
        if !self.ping(line).await {
            self.connection.replace(None);
            line.mark_lost();
        }
    }

    fn record_unreachable(&self, member: &Member, reason: &str) {
        info!(self.log, "planner lost"; "daemon" => &*member.name, "reason" => reason);
        let now = self.clock.now();
        self.ranking.borrow_mut().set_unreachable(member, now);
    }

    async fn plan(&self, job: &Job) -> Result<Box<dyn PlannedRequest>, Refusal> {
        let mut job = Cow::Borrowed(job);
        let mut last = Refusal::planner_gone();
        let (mut lost, mut moves) = (0, 0);
        while lost < MAX_LOST_PLANNERS && moves < MAX_TRANSFERS {
            if self.local.is_none() && self.connection.borrow().is_none() {
                break;
            }
            let line = self.wait_connection().await;
            let planned = match (&line, &self.local) {
                (Some(line), _) => {
                    remote::RemoteRequest::plan(line.clone(), &job, &self.clock).await
                }
                (None, Some(local)) => Ok(LocalPlanner(local.clone()).plan((*job).clone()).await),
                (None, None) => break,
            };
            match planned {
                Ok(Err(refusal)) if refusal.is_transferred => {
                    job.to_mut()
                        .transferred_results
                        .clone_from(&refusal.transferred_results);
                    last = refusal;
                    moves += 1;
                    self.wait_next_planner(line).await;
                    continue;
                }
                Ok(Ok(seat)) => {
                    let (endpoint, now) = (&seat.grant().endpoint, self.clock.now());
                    self.sent_parts.borrow_mut().record(endpoint, &job, now);
                    return Ok(seat);
                }
                Ok(refused) => return refused,
                Err(error) => {
                    info!(self.log, "planner lost a request"; "error" => %error);
                    lost += 1;
                }
            }
            // The keeper finds another planner meanwhile.
            tokio::time::sleep(PING_INTERVAL).await;
        }
        Err(last)
    }

    /// The planner on this line hands its requests over: waits until there is a line to the one that
    /// plans from now on.
    async fn wait_next_planner(&self, from: Option<Rc<PlannerConnection>>) {
        self.wake.notify_one();
        let is_same = || {
            let line = self.connection.borrow();
            line.as_ref().map(Rc::as_ptr) == from.as_ref().map(Rc::as_ptr)
        };
        let start = self.clock.now();
        while is_same() && self.clock.now().saturating_sub(start) < PLANNER_WAIT_TIMEOUT {
            tokio::time::sleep(PLANNER_POLL_INTERVAL).await;
        }
    }
}

/// Plans requests in this daemon's region, and in another one what its own refuses: only the
/// request itself crosses the link between regions then, and none of its results.
pub struct Regions {
    own: Rc<Region>,
    others: IndexMap<id::Region, Rc<Region>>,
    name: id::Region,
}

impl Regions {
    /// Makes the desk of a daemon.
    pub fn new(
        name: id::Region,
        own: Rc<Region>,
        others: IndexMap<id::Region, Rc<Region>>,
    ) -> Rc<Self> {
        Rc::new(Self { own, others, name })
    }

    /// A daemon has registered or has changed; without one, it has left for good.
    pub fn apply_member(&self, name: &id::Daemon, member: Option<(id::Region, Member)>) {
        let of = member.as_ref().map(|(region, _)| region.clone());
        let member = member.map(|(_, member)| member);
        let all = std::iter::once((&self.name, &self.own)).chain(&self.others);
        for (region, desk) in all {
            let here = of.as_ref().is_some_and(|of| of == region);
            desk.apply_member(name, member.clone().filter(|_| here));
        }
    }

    /// All registered daemons were told of.
    pub fn set_listed(&self) {
        for region in std::iter::once(&self.own).chain(self.others.values()) {
            region.ranking.borrow_mut().set_listed();
        }
    }

    async fn plan(&self, job: Job) -> Result<Box<dyn PlannedRequest>, Refusal> {
        let refusal = match self.own.plan(&job).await {
            Ok(seat) => return Ok(seat),
            Err(refusal) => refusal,
        };
        for other in self.others.values() {
            if let Ok(seat) = other.plan(&job).await {
                return Ok(seat);
            }
        }
        Err(refusal)
    }
}

impl RequestPlanner for Regions {
    fn plan(&self, job: Job) -> LocalBoxFuture<'_, Result<Box<dyn PlannedRequest>, Refusal>> {
        Box::pin(self.plan(job))
    }

    fn stop_planning(&self) {
        self.own.stop_planning();
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<(planner::Client, JoinHandle<()>)> {
    let stream = TcpStream::connect(address).await?;
    let mut system = stream::open(stream, Coding::Plain, Count::default()).await?;
    let client = system.bootstrap(Side::Server);
    let running = spawn_local(async move { drop(system.await) });
    Ok((client, running))
}

#[cfg(test)]
mod tests;
