//! Finds the daemon that plans for a region, and plans requests there.
//!
//! All daemons rank the daemons of the region alike and use the first that answers. Two of them may
//! plan at once while their views differ: calls are then less full, but no guarantee is broken. See
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

use super::Knowledge;
use super::budget;
use super::dialer::Dialer;
use super::dispatcher::{Dispatcher, LocalPlanner, PlannedRequest, RequestPlanner};
use super::plan::{Job, Refusal};
use super::progress::ReadProgress;
use crate::clock::{Clock, Time};
use crate::generated::plan_capnp::planner;
use crate::id;
use crate::peer::stream::{self, ByteCount, Coding};

mod helpers;
mod home;
mod host;
mod rank;
mod record;
mod remote;
mod sent_parts;
mod wire;

pub use home::Homes;
pub use host::listen;
pub use rank::{Member, Ranking};
use sent_parts::SentParts;

/// How often the planner of this daemon's region is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(100);
/// How often the planner of another region is pinged: the link between regions is billed.
const REMOTE_PING_INTERVAL: Duration = Duration::from_millis(500);
/// How long a planner may take to answer a ping before another one is used. A request has about a
/// second of slack, and a daemon with a CPU quota may be throttled for a tenth of a second.
const PING_TIMEOUT: Duration = Duration::from_millis(300);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a request waits for a planner: as long as it takes to notice that one is lost and to
/// reach the next one.
const PLANNER_WAIT_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a waiting request checks for a planner.
const PLANNER_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// The most planners that may be lost while they plan one request.
const MAX_LOST_PLANNERS: usize = 3;
/// The most times that one request is handed over: each planner does so while all daemons are
/// stopped in turn.
const MAX_TRANSFERS: usize = 10;

/// A connection to a planner at another daemon.
struct PlannerConnection {
    member: Member,
    client: planner::Client,
    rpc_task: JoinHandle<()>,
    /// When the last ping that was answered was sent.
    confirmed_at: Cell<Time>,
    /// Whether the planner pools the retries of its region.
    is_pooling: Cell<bool>,
    is_lost: Cell<bool>,
    lost: Notify,
}

impl PlannerConnection {
    fn new(member: Member, client: planner::Client, rpc_task: JoinHandle<()>) -> Rc<Self> {
        Rc::new(Self {
            member,
            client,
            rpc_task,
            confirmed_at: Cell::new(Time::ZERO),
            is_pooling: Cell::new(false),
            is_lost: Cell::new(false),
            lost: Notify::new(),
        })
    }

    /// Ends all waiting calls with an error: a frozen planner never answers them.
    fn mark_lost(&self) {
        self.is_lost.set(true);
        self.lost.notify_waiters();
        self.rpc_task.abort();
    }

    /// Waits for a response, or fails when the planner is considered lost.
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

/// Plans requests at the planner of one region.
pub struct Region {
    /// The planner of this daemon, if this is its region.
    local: Option<Rc<Dispatcher>>,
    /// The planner's watermarks, if this is its region.
    progress: Option<Rc<ReadProgress>>,
    ranking: RefCell<Ranking>,
    connection: RefCell<Option<Rc<PlannerConnection>>>,
    sent_parts: RefCell<SentParts>,
    knowledge: Knowledge,
    /// Triggers a check of the connection.
    wake: Notify,
    ping_interval: Duration,
    clock: Rc<dyn Clock>,
    log: Logger,
}

impl Region {
    /// Starts to look for the planner of this daemon's own region; until one answers, requests are
    /// planned here.
    pub fn own(
        own: Member,
        local: Rc<Dispatcher>,
        progress: Rc<ReadProgress>,
        knowledge: Knowledge,
        clock: Rc<dyn Clock>,
        log: Logger,
    ) -> Rc<Self> {
        let local_planner = Some((local, progress));
        Self::start(Ranking::new(own), local_planner, knowledge, clock, log)
    }

    /// Starts to look for the planner of another region.
    pub fn other(knowledge: Knowledge, clock: Rc<dyn Clock>, log: Logger) -> Rc<Self> {
        Self::start(Ranking::default(), None, knowledge, clock, log)
    }

    fn start(
        ranking: Ranking,
        local_planner: Option<(Rc<Dispatcher>, Rc<ReadProgress>)>,
        knowledge: Knowledge,
        clock: Rc<dyn Clock>,
        log: Logger,
    ) -> Rc<Self> {
        let ping_interval = if local_planner.is_some() {
            PING_INTERVAL
        } else {
            REMOTE_PING_INTERVAL
        };
        let (local, progress) = local_planner.unzip();
        let region = Rc::new(Self {
            local,
            progress,
            ranking: RefCell::new(ranking),
            connection: RefCell::new(None),
            sent_parts: RefCell::default(),
            knowledge,
            wake: Notify::new(),
            ping_interval,
            clock,
            log,
        });
        spawn_local(region.clone().maintain_connection());
        region
    }

    /// Records a daemon that has registered or changed, or removes one that has left for good.
    pub fn apply_member(&self, name: &id::Daemon, member: Option<Member>) {
        self.ranking.borrow_mut().apply_member(name, member);
    }

    /// Makes others plan, since this daemon is about to stop; they learn of it at their next ping.
    fn stop_planning(&self) {
        self.ranking.borrow_mut().set_own_leaving(self.clock.now());
        if let Some(local) = self.local.as_ref().filter(|_| !self.is_planner()) {
            local.update_planner(|planner, _| planner.start_transfer());
        }
    }

    /// Returns whether this daemon ranks first and so plans for the region.
    fn is_planner(&self) -> bool {
        let ranking = self.ranking.borrow();
        let first = ranking.first(self.clock.now());
        ranking.is_listed() && first.is_some_and(|first| ranking.is_own(&first.name))
    }

    /// Returns whether it is another region, of which no daemon can plan.
    fn is_deserted(&self) -> bool {
        let ranking = self.ranking.borrow();
        let is_connected = self.connection.borrow().is_some();
        self.local.is_none()
            && !is_connected
            && ranking.is_listed()
            && ranking.first(self.clock.now()).is_none()
    }

    /// Returns the connection to the planner, or none when this daemon plans. Waits while the
    /// planner is being found: planning here would interfere with its calls.
    async fn wait_connection(&self) -> Option<Rc<PlannerConnection>> {
        let start = self.clock.now();
        loop {
            let connection = self.connection.borrow().clone();
            let waited = self.clock.now().saturating_sub(start);
            let is_over = self.is_planner() || self.is_deserted();
            if connection.is_some() || is_over || waited >= PLANNER_WAIT_TIMEOUT {
                return connection;
            }
            tokio::time::sleep(PLANNER_POLL_INTERVAL).await;
        }
    }

    async fn maintain_connection(self: Rc<Self>) {
        loop {
            self.update_connection().await;
            self.keep_retries();
            drop(timeout(self.ping_interval, self.wake.notified()).await);
        }
    }

    /// Keeps the own share of the budgets of retries unless the planner pools it.
    fn keep_retries(&self) {
        if self.local.is_none() {
            return;
        }
        let now = self.clock.now();
        let budget = &self.knowledge.budget;
        if self.pooling_connection().is_none() {
            budget.keep(now);
        }
        budget.pool().fill(now);
    }

    /// Returns the connection to the planner if it pools the retries of the region.
    fn pooling_connection(&self) -> Option<Rc<PlannerConnection>> {
        let connection = self.connection.borrow().clone();
        connection.filter(|connection| connection.is_pooling.get())
    }

    /// Takes one retry from the budget of a service, at the planner if it pools them.
    async fn spend_retry(&self, service: &id::Pool) -> bool {
        for _ in 0..MAX_LOST_PLANNERS {
            let Some(connection) = self.pooling_connection() else {
                return self.knowledge.budget.spend(service, self.clock.now());
            };
            let mut request = connection.client.spend_request();
            request.get().set_service(&**service);
            let answer = connection.wait_response(request.send().promise).await;
            match answer.and_then(|answer| Ok(answer.get()?.get_is_granted())) {
                Ok(is_granted) => return is_granted,
                // It may have been granted, so this asks another planner only.
                Err(_) => self.wait_next_planner(Some(connection)).await,
            }
        }
        false
    }

    /// Connects to the first daemon in rank that answers.
    async fn update_connection(&self) {
        let now = self.clock.now();
        let cold = self.knowledge.limits.cold();
        if self.local.is_some() && cold.is_used() {
            let daemons = self.ranking.borrow().member_count();
            cold.set_rank(self.is_planner(), daemons, now);
        }
        let Some(wanted) = self.ranking.borrow().first(now) else {
            return;
        };
        let connection = self.connection.borrow().clone();
        if let Some(connection) = &connection
            && connection.member == wanted
        {
            return self.check_connection(connection).await;
        }
        if self.is_planner() {
            if connection.is_some() {
                info!(self.log, "planning in this daemon";
                    "reason" => "no daemon of higher rank answers");
                self.connection.replace(None);
                if let Some(local) = &self.local {
                    let parts = self.sent_parts.borrow().cached_parts(now);
                    local.update_planner(|planner, _| planner.record_cached(&parts));
                }
            }
            return;
        }
        if self.ranking.borrow().is_own(&wanted.name) {
            return;
        }
        match timeout(CONNECT_TIMEOUT, connect(wanted.address)).await {
            Ok(Ok((client, rpc_task))) => {
                let connection = PlannerConnection::new(wanted.clone(), client, rpc_task);
                // The kernel accepts connections for a daemon that is frozen or cut off, too.
                if self.ping(&connection).await {
                    info!(self.log, "planning at another daemon"; "daemon" => &*wanted.name);
                    self.inform_planner(&connection);
                    self.connection.replace(Some(connection));
                    if let Some(local) = &self.local {
                        local.update_planner(|planner, _| planner.start_transfer());
                    }
                }
            }
            _ => self.record_unreachable(&wanted, "no connection"),
        }
    }

    /// Sends a new planner the prompt parts that this daemon has sent to engines, what it refuses, and the
    /// limits of endpoints.
    fn inform_planner(&self, connection: &PlannerConnection) {
        let now = self.clock.now();
        let parts = self.sent_parts.borrow().ages_by_endpoint(now);
        let refused = self.knowledge.quarantine.refused_records(now);
        let limits = self.knowledge.limits.reports(now);
        if parts.is_empty() && refused.is_empty() && limits.is_empty() {
            return;
        }
        let mut request = connection.client.recall_request();
        let count = u32::try_from(parts.len()).unwrap_or_default();
        wire::write_sent_parts(&parts, request.get().init_uses(count));
        let count = u32::try_from(refused.len()).unwrap_or_default();
        wire::write_refused(&refused, request.get().init_refused(count));
        let count = u32::try_from(limits.len()).unwrap_or_default();
        wire::write_limits(&limits, request.get().init_limits(count));
        let sent = request.send().promise;
        // A failure only costs work, and the next ping detects it.
        spawn_local(async move { drop(sent.await) });
    }

    /// Tells the planner of this region that it plans for this daemon, if endpoints may be cold.
    fn follow(&self, connection: &PlannerConnection) {
        let ranking = self.ranking.borrow();
        let Some(own) = ranking.own_name() else {
            return;
        };
        if !self.knowledge.limits.cold().is_used() {
            return;
        }
        let mut request = connection.client.follow_request();
        request.get().set_daemon(own);
        let sent = request.send().promise;
        // A daemon of an earlier release refuses it, and the ping detects a failure.
        spawn_local(async move { drop(sent.await) });
    }

    /// Lends the planner of this region the own share of the budgets of retries.
    fn write_loan(&self, mut params: planner::ping_params::Builder<'_>) {
        let ranking = self.ranking.borrow();
        let Some(own) = ranking.own_name() else {
            return;
        };
        let budget = &self.knowledge.budget;
        budget.lent(self.clock.now());
        params.set_daemon(own);
        let loan = budget.take_loan();
        params.set_is_new(loan.is_new);
        let count = u32::try_from(loan.arrivals.len()).unwrap_or_default();
        wire::write_arrivals(&loan.arrivals, params.init_requests(count));
    }

    /// Pings a planner and records its watermarks; returns whether it answers. One that is about to
    /// stop still plans, but others are preferred.
    async fn ping(&self, connection: &PlannerConnection) -> bool {
        let sent_at = self.clock.now();
        self.follow(connection);
        let mut request = connection.client.ping_request();
        if connection.is_pooling.get() {
            self.write_loan(request.get());
        }
        let ping = request.send().promise;
        let reason = match timeout(PING_TIMEOUT, ping).await {
            Ok(Ok(answer)) => match answer.get() {
                Ok(answer) => {
                    connection.confirmed_at.set(sent_at);
                    connection.is_pooling.set(answer.get_is_pooling());
                    let lists = [answer.get_marks(), answer.get_more_marks()];
                    let watermarks = lists.into_iter().map(|list| {
                        list.and_then(|watermarks| wire::read_watermarks(watermarks, sent_at))
                    });
                    let watermarks: capnp::Result<Vec<_>> = watermarks.collect();
                    if let (Some(progress), Ok(watermarks)) = (&self.progress, watermarks) {
                        progress.set_planner_watermarks(watermarks.into_iter().flatten());
                    }
                    if answer.get_leaving() {
                        let now = self.clock.now();
                        self.ranking
                            .borrow_mut()
                            .set_leaving(&connection.member, now);
                        if self
                            .ranking
                            .borrow()
                            .first(now)
                            .is_some_and(|first| first != connection.member)
                        {
                            self.wake.notify_one();
                        }
                    }
                    return true;
                }
                Err(_) => "unreadable answer",
            },
            Ok(Err(_)) => "connection lost",
            Err(_) => "no answer",
        };
        self.record_unreachable(&connection.member, reason);
        false
    }

    async fn check_connection(&self, connection: &Rc<PlannerConnection>) {
        if !self.ping(connection).await {
            self.connection.replace(None);
            connection.mark_lost();
        }
    }

    fn record_unreachable(&self, member: &Member, reason: &str) {
        info!(self.log, "planner lost"; "daemon" => &*member.name, "reason" => reason);
        let now = self.clock.now();
        self.ranking.borrow_mut().set_unreachable(member, now);
        // Requests wait for the next one, and daemons that were lost stay registered.
        self.wake.notify_one();
    }

    /// Plans a request here. One that may be `only_here` waits while the planner of another region is found.
    async fn plan(&self, job: &Job, only_here: bool) -> Result<Box<dyn PlannedRequest>, Refusal> {
        let mut job = Cow::Borrowed(job);
        let mut last = Refusal::planner_gone();
        let (mut lost, mut transfers) = (0, 0);
        // A request for another region is better served by its own one than by the next planner there.
        let is_patient = self.local.is_some() || only_here;
        let max_lost = if is_patient { MAX_LOST_PLANNERS } else { 1 };
        while lost < max_lost && transfers < MAX_TRANSFERS {
            if !is_patient && self.connection.borrow().is_none() {
                break;
            }
            if self.is_deserted() {
                break;
            }
            let connection = self.wait_connection().await;
            let planned = match (&connection, &self.local) {
                (Some(connection), _) => {
                    remote::RemoteRequest::plan(connection.clone(), &job, &self.clock).await
                }
                (None, Some(local)) => Ok(LocalPlanner(local.clone()).plan((*job).clone()).await),
                (None, None) => {
                    lost += 1;
                    continue;
                }
            };
            match planned {
                Ok(Err(refusal)) if refusal.is_transferred => {
                    job.to_mut()
                        .transferred_results
                        .clone_from(&refusal.transferred_results);
                    last = refusal;
                    transfers += 1;
                    self.wait_next_planner(connection).await;
                    continue;
                }
                Ok(Ok(planned)) => {
                    let (endpoint, now) = (&planned.grant().endpoint, self.clock.now());
                    self.sent_parts.borrow_mut().record(endpoint, &job, now);
                    return Ok(planned);
                }
                Ok(refused) => return refused,
                Err(error) => {
                    info!(self.log, "planner lost a request"; "error" => %error);
                    lost += 1;
                    if lost == max_lost {
                        break;
                    }
                    if only_here {
                        // The planner of another region is pinged too rarely to notice by itself.
                        self.wait_next_planner(connection).await;
                        continue;
                    }
                }
            }
            // Meanwhile maintain_connection finds another planner.
            tokio::time::sleep(PING_INTERVAL).await;
        }
        Err(last)
    }

    /// Waits for a connection to another planner, since this one hands its requests over.
    async fn wait_next_planner(&self, from: Option<Rc<PlannerConnection>>) {
        self.wake.notify_one();
        let is_same = || {
            let connection = self.connection.borrow();
            connection.as_ref().map(Rc::as_ptr) == from.as_ref().map(Rc::as_ptr)
        };
        let start = self.clock.now();
        while is_same() && self.clock.now().saturating_sub(start) < PLANNER_WAIT_TIMEOUT {
            tokio::time::sleep(PLANNER_POLL_INTERVAL).await;
        }
    }
}

/// Plans requests in the region that keeps their prompt, or else in this daemon's, and refused ones in
/// another region: only the request itself crosses the link between regions, and none of its results.
pub struct Regions {
    own: Rc<Region>,
    others: IndexMap<id::Region, Rc<Region>>,
    name: id::Region,
    homes: Homes,
    dialer: Rc<Dialer>,
    /// Whether this VM had an entry when the daemons were listed, or before.
    is_registered: Cell<bool>,
}

impl Regions {
    /// Makes the planner of a daemon's requests.
    pub fn new(
        name: id::Region,
        own: Rc<Region>,
        others: IndexMap<id::Region, Rc<Region>>,
        homes: Homes,
        dialer: Rc<Dialer>,
    ) -> Rc<Self> {
        Rc::new(Self {
            own,
            others,
            name,
            homes,
            dialer,
            is_registered: Cell::new(false),
        })
    }

    /// Records a daemon that has registered or changed, or removes one that has left for good.
    pub fn apply_member(&self, name: &id::Daemon, member: Option<(id::Region, Member)>) {
        if self.own.ranking.borrow().is_own(name) {
            self.is_registered.set(true);
        } else {
            let carrier = member
                .as_ref()
                .and_then(|(region, member)| member.carrier(region));
            self.dialer.apply_carrier(name, carrier);
        }
        let member_region = member.as_ref().map(|(region, _)| region.clone());
        let member = member.map(|(_, member)| member);
        let all = std::iter::once((&self.name, &self.own)).chain(&self.others);
        for (region, region_planner) in all {
            let is_here = member_region
                .as_ref()
                .is_some_and(|member_region| member_region == region);
            region_planner.apply_member(name, member.clone().filter(|_| is_here));
        }
        self.count_daemons();
    }

    /// Records that all registered daemons are known.
    pub fn set_listed(&self) {
        let is_first = !self.own.ranking.borrow().is_listed();
        for region in self.all() {
            region.ranking.borrow_mut().set_listed();
        }
        self.count_daemons();
        if is_first && !self.is_registered.get() {
            self.own.knowledge.budget.set_new();
        }
    }

    /// Waits until all registered daemons are known, for a short time at most.
    pub async fn wait_listed(&self) {
        let start = self.own.clock.now();
        let waited = || self.own.clock.now().saturating_sub(start);
        while !self.own.ranking.borrow().is_listed() && waited() < PLANNER_WAIT_TIMEOUT {
            tokio::time::sleep(PLANNER_POLL_INTERVAL).await;
        }
    }

    fn all(&self) -> impl Iterator<Item = &Rc<Region>> {
        std::iter::once(&self.own).chain(self.others.values())
    }

    /// Has the budgets of retries divided among the daemons of all regions, once they are known.
    fn count_daemons(&self) {
        let is_listed = self.own.ranking.borrow().is_listed();
        let counts = self
            .all()
            .map(|region| region.ranking.borrow().member_count());
        let daemons = is_listed.then(|| counts.sum());
        self.own.knowledge.budget.pool().set_daemons(daemons);
    }

    async fn plan(&self, job: Job) -> Result<Box<dyn PlannedRequest>, Refusal> {
        let home = self.homes.region(&job.prompt_parts, &job.residency);
        let is_own_allowed = job.residency.allows(&self.name);
        let mut last = None;
        if let Some(home) = home.and_then(|home| self.others.get(home)) {
            match home.plan(&job, !is_own_allowed).await {
                Ok(planned) => return Ok(planned),
                Err(refusal) if refusal.is_final => return Err(refusal),
                Err(refusal) => last = Some(refusal),
            }
        }
        if is_own_allowed {
            match self.own.plan(&job, false).await {
                Ok(planned) => return Ok(planned),
                Err(refusal) if refusal.is_final => return Err(refusal),
                Err(refusal) => last = Some(refusal),
            }
        }
        let is_open =
            |name: &id::Region| home.is_none_or(|home| home != name) && job.residency.allows(name);
        for (_, other) in self.others.iter().filter(|(name, _)| is_open(name)) {
            match other.plan(&job, !is_own_allowed).await {
                Ok(planned) => return Ok(planned),
                Err(refusal) => drop(last.get_or_insert(refusal)),
            }
        }
        let nowhere = || Refusal::misplaced("no region may plan it".to_owned());
        Err(last.unwrap_or_else(nowhere))
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

impl budget::Source for Regions {
    fn record_request(&self, service: &id::Pool) {
        self.own.knowledge.budget.record_request(service);
    }

    fn spend<'a>(&'a self, service: &'a id::Pool) -> LocalBoxFuture<'a, bool> {
        Box::pin(self.own.spend_retry(service))
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<(planner::Client, JoinHandle<()>)> {
    let stream = TcpStream::connect(address).await?;
    let mut system = stream::open(stream, Coding::Plain, ByteCount::default()).await?;
    let client = system.bootstrap(Side::Server);
    let rpc_task = spawn_local(async move { drop(system.await) });
    Ok((client, rpc_task))
}

#[cfg(test)]
mod tests;
