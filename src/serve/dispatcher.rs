//! Carries out what a planner decides: calls endpoints of stages and tells requests their grants.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use indexmap::{IndexMap, IndexSet};
use slog::{Logger, debug, info, warn};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::exchange::{self, Connection};
use super::health::Verdict;
use super::meter::Meter;
use super::plan::{
    Action, CallId, CallOutcome, Grant, Handle, Job, JobId, PieceRequest, Planner, Refusal,
};
use super::protocol::{HttpRequest, Protocol};
use crate::clock::{Clock, Time};
use crate::id;

/// The longest answer to a call of a stage, in bytes; a handle takes some forty.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// How often deadlines and overdue calls are looked for.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a request waits for a planner that has just started and knows of no endpoint.
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);
/// Requests of one call that its log line names.
const MAX_LOGGED_IDS: usize = 32;
/// How long results are gathered before an endpoint is told to forget them.
const FREE_BATCH_TIME: Duration = Duration::from_millis(15);
/// How long a connection is kept without a call; endpoints close idle ones after seconds.
const MAX_IDLE_TIME: Duration = Duration::from_millis(900);
/// How long an endpoint may take to forget results.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Where requests are planned: in this daemon or in another one.
pub trait RequestPlanner {
    /// Plans a request; the seat stands for its place until it is dropped.
    fn plan(&self, job: Job) -> LocalBoxFuture<'_, Result<Box<dyn PlannedRequest>, Refusal>>;
    /// The daemon is about to stop: other daemons plan from now on.
    fn stop_planning(&self) {}
}

/// A planned request.
pub trait PlannedRequest {
    /// Returns which endpoint is to run the request.
    fn grant(&self) -> &Grant;
    /// The endpoint has begun to answer; with `is_final`, its inputs are not needed again.
    fn started(&self, is_final: bool);
    /// The endpoint has ended the request.
    fn ended(&self, verdict: Verdict);
    /// Asks for another endpoint; with `again`, the inputs are gone and made anew.
    fn retry(&mut self, again: bool) -> LocalBoxFuture<'_, Result<(), Refusal>>;
}

type GrantSender = oneshot::Sender<Result<Grant, Refusal>>;

/// The planner of this daemon, with its calls.
pub struct Dispatcher {
    planner: RefCell<Planner>,
    grant_senders: RefCell<IndexMap<JobId, GrantSender>>,
    next_id: Cell<JobId>,
    /// Results that are about to be given up, by endpoint.
    pending_frees: RefCell<IndexMap<id::Endpoint, Vec<Handle>>>,
    idle_connections: RefCell<IndexMap<id::Endpoint, IdleConnection>>,
    protocol: Rc<dyn Protocol>,
    clock: Rc<dyn Clock>,
    meter: Rc<Meter>,
    log: Logger,
}

impl Dispatcher {
    /// Starts to carry out what the planner decides.
    pub fn start(
        planner: Planner,
        protocol: Rc<dyn Protocol>,
        clock: Rc<dyn Clock>,
        meter: Rc<Meter>,
        log: Logger,
    ) -> Rc<Self> {
        let agent = Rc::new(Self {
            planner: RefCell::new(planner),
            grant_senders: RefCell::default(),
            next_id: Cell::new(0),
            pending_frees: RefCell::default(),
            idle_connections: RefCell::default(),
            protocol,
            clock,
            meter,
            log,
        });
        let ticking = Rc::downgrade(&agent);
        spawn_local(async move {
            while let Some(agent) = ticking.upgrade() {
                if !agent.planner.borrow().is_empty() {
                    agent.update_planner(Planner::tick);
                }
                drop(agent);
                tokio::time::sleep(TICK_INTERVAL).await;
            }
        });
        agent
    }

    /// Returns the number of requests that are planned here.
    pub fn len(&self) -> usize {
        self.planner.borrow().len()
    }

    /// Returns whether no request is planned here.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Gives the planner an event and carries out what follows from it.
    pub fn update_planner(self: &Rc<Self>, event: impl FnOnce(&mut Planner, Time)) {
        let actions = {
            let mut planner = self.planner.borrow_mut();
            event(&mut planner, self.clock.now());
            planner.take_actions()
        };
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Grant(job_id, grant) => self.send_grant(job_id, Ok(grant)),
            Action::Refuse(job_id, refusal) => self.send_grant(job_id, Err(refusal)),
            Action::Call {
                call,
                endpoint,
                address,
                timeout: patience,
                pieces: entries,
            } => {
                spawn_local(
                    self.clone()
                        .call(call, endpoint, address, patience, entries),
                );
            }
            Action::Free {
                endpoint,
                address,
                handles,
            } => self.schedule_free(endpoint, address, handles),
        }
    }

    /// Gathers results of one endpoint for a moment, and then gives them up in one call.
    fn schedule_free(
        self: &Rc<Self>,
        endpoint: id::Endpoint,
        address: SocketAddr,
        handles: Vec<Handle>,
    ) {
        let mut freed = self.pending_frees.borrow_mut();
        if let Some(gathered) = freed.get_mut(&endpoint) {
            gathered.extend(handles);
            return;
        }
        freed.insert(endpoint.clone(), handles);
        let agent = self.clone();
        spawn_local(async move {
            tokio::time::sleep(FREE_BATCH_TIME).await;
            let handles = agent
                .pending_frees
                .borrow_mut()
                .swap_remove(&endpoint)
                .unwrap_or_default();
            let message = agent.protocol.free_call(&endpoint, &handles);
            let sent = timeout(FREE_TIMEOUT, agent.post(&endpoint, address, &message)).await;
            if !matches!(sent, Ok(Ok(CallResult::Body(_)))) {
                debug!(agent.log, "results not freed";
                    "endpoint" => &*endpoint, "results" => handles.len());
            }
        });
    }

    fn send_grant(&self, job_id: JobId, result: Result<Grant, Refusal>) {
        if let Some(reply) = self.grant_senders.borrow_mut().swap_remove(&job_id) {
            // A request that has left meanwhile frees its place by itself.
            drop(reply.send(result));
        }
    }

    async fn call(
        self: Rc<Self>,
        number: CallId,
        endpoint: id::Endpoint,
        address: SocketAddr,
        patience: Duration,
        entries: Vec<PieceRequest>,
    ) {
        let message = self.protocol.stage_call(&endpoint, &entries);
        let began = self.clock.now();
        let posted = timeout(patience, self.post(&endpoint, address, &message)).await;
        let ending = match posted {
            Ok(Ok(CallResult::Body(body))) => {
                let outcomes = self.protocol.parse_outcomes(&body, entries.len());
                outcomes.map_or(CallOutcome::Lost, CallOutcome::Answered)
            }
            Ok(Ok(CallResult::Refused)) => CallOutcome::Refused,
            Ok(Err(error)) => {
                warn!(self.log, "stage call failed"; "endpoint" => &*endpoint, "error" => %error);
                CallOutcome::Lost
            }
            Err(_) => CallOutcome::Lost,
        };
        let took = self.clock.now().saturating_sub(began);
        self.meter.count(ending.name());
        self.meter.time("stage", took);
        info!(self.log, "stage call"; "ids" => ids(&entries),
            "endpoint" => &*endpoint, "pieces" => entries.len(), "stage" => entries[0].stage,
            "ms" => took.as_millis() as u64, "ending" => ending.name());
        self.update_planner(|planner, now| planner.call_ended(number, &ending, now));
    }

    fn expect_grant(&self, job_id: JobId) -> oneshot::Receiver<Result<Grant, Refusal>> {
        let (reply, received) = oneshot::channel();
        self.grant_senders.borrow_mut().insert(job_id, reply);
        received
    }

    /// Waits until the planner knows the endpoints, for as long as a daemon takes to learn them when
    /// it starts.
    async fn wait_synced(&self) {
        let start = self.clock.now();
        while !self.planner.borrow().is_synced()
            && self.clock.now().saturating_sub(start) < SYNC_TIMEOUT
        {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Plans a request in this daemon.
    pub async fn plan(self: &Rc<Self>, job: Job) -> Result<LocalRequest, Refusal> {
        self.wait_synced().await;
        let job_id = self.next_id.get();
        self.next_id.set(job_id + 1);
        let received = self.expect_grant(job_id);
        let mut place = LocalRequest {
            dispatcher: self.clone(),
            job_id,
            grant: Grant::default(),
        };
        self.update_planner(|planner, now| planner.submit(job_id, job, now));
        place.grant = received
            .await
            .unwrap_or_else(|_| Err(Refusal::planner_gone()))?;
        Ok(place)
    }
}

/// Returns the requests of a call for the log.
fn ids(entries: &[PieceRequest]) -> String {
    let ids: IndexSet<&str> = entries.iter().map(|entry| &*entry.request).collect();
    let ids: Vec<&str> = ids.into_iter().take(MAX_LOGGED_IDS).collect();
    ids.join(",")
}

/// How an endpoint took a call of our own.
enum CallResult {
    Body(bytes::Bytes),
    Refused,
}

impl Dispatcher {
    /// Makes a call that may be repeated: on a kept connection, and on a new one if that fails.
    async fn post(
        &self,
        endpoint: &id::Endpoint,
        address: SocketAddr,
        message: &HttpRequest,
    ) -> Result<CallResult, exchange::Error> {
        let kept = self.idle_connections.borrow_mut().swap_remove(endpoint);
        let now = self.clock.now();
        let fresh = |kept: &IdleConnection| {
            kept.address == address && now < kept.idle_since + MAX_IDLE_TIME
        };
        if let Some(mut kept) = kept.filter(fresh)
            && kept.connection.is_reusable()
            && let Ok(posted) = self
                .post_on(endpoint, address, kept.connection, message)
                .await
        {
            return Ok(posted);
        }
        let channel = exchange::connect(address).await?;
        self.post_on(endpoint, address, channel, message).await
    }

    async fn post_on(
        &self,
        endpoint: &id::Endpoint,
        address: SocketAddr,
        channel: Connection,
        message: &HttpRequest,
    ) -> Result<CallResult, exchange::Error> {
        let size = message.body.len();
        let head =
            exchange::request_head(message.method, message.target, &message.fields, size, true);
        let mut open = exchange::send(channel, &head, &message.body).await?;
        let status = open.head.status;
        let body = open.body(MAX_ANSWER_BYTES).await?;
        if let Some(channel) = open.into_connection() {
            let since = self.clock.now();
            let kept = IdleConnection {
                connection: channel,
                address,
                idle_since: since,
            };
            self.idle_connections
                .borrow_mut()
                .insert(endpoint.clone(), kept);
        }
        Ok(match body {
            Some(body) if status == 200 => CallResult::Body(body),
            _ => CallResult::Refused,
        })
    }
}

/// A connection that waits for the next call.
struct IdleConnection {
    connection: Connection,
    address: SocketAddr,
    idle_since: Time,
}

/// A request that is planned in this daemon.
pub struct LocalRequest {
    dispatcher: Rc<Dispatcher>,
    job_id: JobId,
    grant: Grant,
}

impl LocalRequest {
    /// Asks for another endpoint.
    pub async fn request_other_endpoint(&mut self, again: bool) -> Result<(), Refusal> {
        let received = self.dispatcher.expect_grant(self.job_id);
        let job_id = self.job_id;
        self.dispatcher
            .update_planner(|planner, now| planner.retry(job_id, again, now));
        self.grant = received
            .await
            .unwrap_or_else(|_| Err(Refusal::planner_gone()))?;
        Ok(())
    }
}

impl PlannedRequest for LocalRequest {
    fn grant(&self) -> &Grant {
        &self.grant
    }

    fn started(&self, is_final: bool) {
        let job_id = self.job_id;
        self.dispatcher
            .update_planner(|planner, now| planner.started(job_id, is_final, now));
    }

    fn ended(&self, verdict: Verdict) {
        let job_id = self.job_id;
        self.dispatcher
            .update_planner(|planner, now| planner.ended(job_id, verdict, now));
    }

    fn retry(&mut self, again: bool) -> LocalBoxFuture<'_, Result<(), Refusal>> {
        Box::pin(self.request_other_endpoint(again))
    }
}

impl Drop for LocalRequest {
    fn drop(&mut self) {
        let job_id = self.job_id;
        self.dispatcher
            .grant_senders
            .borrow_mut()
            .swap_remove(&job_id);
        self.dispatcher
            .update_planner(|planner, now| planner.remove(job_id, now));
    }
}

/// The planner of this daemon as a desk.
pub struct LocalPlanner(pub Rc<Dispatcher>);

impl RequestPlanner for LocalPlanner {
    fn plan(&self, job: Job) -> LocalBoxFuture<'_, Result<Box<dyn PlannedRequest>, Refusal>> {
        Box::pin(async move {
            let place = self.0.plan(job).await?;
            Ok(Box::new(place) as Box<dyn PlannedRequest>)
        })
    }
}
