//! Carries out a planner's actions: calls stage endpoints and delivers grants to requests.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use indexmap::{IndexMap, IndexSet};
use slog::{Logger, debug, info, warn};
use snafu::Snafu;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::closure::Closures;
use super::cold;
use super::dialer::{self, CLOSE_TIME, Dialer, Finding, Target};
use super::exchange::{self, Connection};
use super::health::Verdict;
use super::meter::Meter;
use super::pace::Ratio;
use super::plan::{
    Action, CallId, CallOutcome, Grant, Handle, Job, JobId, PieceRequest, Planner, Refusal,
};
use super::protocol::{HttpRequest, Protocol, ResponseMeta};
use super::rate::{Limits, Rate};
use super::residency::Residency;
use crate::clock::{Clock, Time};
use crate::id;

mod idle;

use idle::{Connections, Use};

/// The longest response to a stage call, in bytes; a handle takes about forty.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// How often the planner checks deadlines and overdue calls.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a request waits for a planner that has just started and knows no endpoints.
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);
/// The most requests of a call that its log line lists.
const MAX_LOGGED_IDS: usize = 32;
/// How long results of an endpoint are gathered before one call frees them.
const FREE_BATCH_TIME: Duration = Duration::from_millis(15);
const FREE_TIMEOUT: Duration = Duration::from_secs(1);
/// The pace from which a VM counts as slow in the metrics, as a multiple of the usual time.
const SLOW_PACE: Ratio = 1.6;

/// Plans requests, in this daemon or at another one.
pub trait RequestPlanner {
    /// Plans a request; dropping the result removes the request from the planner.
    fn plan(&self, job: Job) -> LocalBoxFuture<'_, Result<Box<dyn PlannedRequest>, Refusal>>;
    /// Leaves planning to other daemons, since this one is about to stop.
    fn stop_planning(&self) {}
}

/// A planned request.
pub trait PlannedRequest {
    /// Returns the endpoint that is to run the request, with its inputs.
    fn grant(&self) -> &Grant;
    /// Returns a time before which the planner did not make the grant; none if it does not count what cold
    /// endpoints get.
    fn granted_after(&self) -> Option<Time> {
        None
    }
    /// Records that the endpoint has begun to answer; with `is_final`, the inputs may be freed.
    fn started(&self, is_final: bool);
    /// Records that the answer still goes on some time after it began, if the grant asks for it.
    fn answering(&self);
    /// Records that the endpoint's answer names another limit than the grant does, or none.
    fn limited(&self, limit: Option<Rate>);
    /// Records how long work takes on the endpoint's VM at this moment; a planner elsewhere learns it with the
    /// next message.
    fn paced(&self, _: Ratio) {}
    /// Records how the request ended at the endpoint.
    fn ended(&self, verdict: Verdict);
    /// Gets a grant of another endpoint; with `inputs_lost`, the inputs are computed again. A stream that
    /// has begun goes on at the release that began it.
    fn retry(
        &mut self,
        inputs_lost: bool,
        release: Option<id::Release>,
    ) -> LocalBoxFuture<'_, Result<(), Refusal>>;
}

/// A grant and when the planner made it.
type Granted = Result<(Grant, Time), Refusal>;
type GrantSender = oneshot::Sender<Granted>;

/// A planner of this daemon, with its calls.
pub struct Dispatcher {
    planner: RefCell<Planner>,
    grant_senders: RefCell<IndexMap<JobId, GrantSender>>,
    next_id: Cell<JobId>,
    /// Results to free with the next call, by endpoint.
    pending_frees: RefCell<IndexMap<id::Endpoint, Vec<Handle>>>,
    connections: Connections,
    closures: Rc<Closures>,
    limits: Rc<Limits>,
    dialer: Rc<Dialer>,
    protocol: Rc<dyn Protocol>,
    clock: Rc<dyn Clock>,
    meter: Rc<Meter>,
    log: Logger,
}

/// What a dispatcher is built from, besides its planner.
#[derive(Clone)]
pub struct Dependencies {
    /// The endpoints that take nothing from this daemon.
    pub closures: Rc<Closures>,
    /// The limits that endpoints have named.
    pub limits: Rc<Limits>,
    /// Connects to endpoints.
    pub dialer: Rc<Dialer>,
    /// The protocol of endpoints.
    pub protocol: Rc<dyn Protocol>,
    /// The clock, which a suspension of the VM does not stop.
    pub clock: Rc<dyn Clock>,
    /// The metrics.
    pub meter: Rc<Meter>,
    /// The logger.
    pub log: Logger,
}

impl Dispatcher {
    /// Starts the planner's timer and returns its dispatcher.
    pub fn start(planner: Planner, dependencies: Dependencies) -> Rc<Self> {
        let Dependencies {
            closures,
            limits,
            dialer,
            protocol,
            clock,
            meter,
            log,
        } = dependencies;
        let dispatcher = Rc::new(Self {
            planner: RefCell::new(planner),
            grant_senders: RefCell::default(),
            next_id: Cell::new(0),
            pending_frees: RefCell::default(),
            connections: Connections::default(),
            closures,
            limits,
            dialer,
            protocol,
            clock,
            meter,
            log,
        });
        let ticking = Rc::downgrade(&dispatcher);
        spawn_local(async move {
            while let Some(dispatcher) = ticking.upgrade() {
                if !dispatcher.planner.borrow().is_empty() {
                    dispatcher.update_planner(Planner::tick);
                }
                drop(dispatcher);
                tokio::time::sleep(TICK_INTERVAL).await;
            }
        });
        dispatcher
    }

    /// Returns the number of requests at the planner.
    pub fn len(&self) -> usize {
        self.planner.borrow().len()
    }

    /// Returns whether the planner has no requests.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies an event to the planner and executes the actions that follow.
    pub fn update_planner(self: &Rc<Self>, event: impl FnOnce(&mut Planner, Time)) {
        let now = self.clock.now();
        let actions = {
            let mut planner = self.planner.borrow_mut();
            event(&mut planner, now);
            planner.take_actions()
        };
        for action in actions {
            self.execute(action, now);
        }
    }

    fn execute(self: &Rc<Self>, action: Action, now: Time) {
        match action {
            Action::Grant(job_id, grant) => self.send_grant(job_id, Ok((grant, now))),
            Action::Refuse(job_id, refusal) => {
                if refusal.reason == cold::REFUSAL {
                    self.meter.count("request.cold");
                }
                self.send_grant(job_id, Err(refusal));
            }
            Action::Call {
                call,
                endpoint,
                address,
                timeout: call_timeout,
                pieces,
            } => {
                spawn_local(
                    self.clone()
                        .call(call, endpoint, address, call_timeout, pieces),
                );
            }
            Action::Free {
                endpoint,
                address,
                handles,
            } => self.schedule_free(endpoint, address, handles),
        }
    }

    /// Gathers results of one endpoint for a moment, then frees them in one call.
    fn schedule_free(
        self: &Rc<Self>,
        endpoint: id::Endpoint,
        address: SocketAddr,
        handles: Vec<Handle>,
    ) {
        let mut pending = self.pending_frees.borrow_mut();
        if let Some(gathered) = pending.get_mut(&endpoint) {
            gathered.extend(handles);
            return;
        }
        pending.insert(endpoint.clone(), handles);
        let dispatcher = self.clone();
        spawn_local(async move {
            tokio::time::sleep(FREE_BATCH_TIME).await;
            let handles = dispatcher
                .pending_frees
                .borrow_mut()
                .swap_remove(&endpoint)
                .unwrap_or_default();
            let closure = dispatcher.closures.get(&endpoint, dispatcher.clock.now());
            let is_evacuated = dispatcher.planner.borrow().is_evacuated(&endpoint);
            let is_cold = dispatcher.is_cold(&endpoint);
            let is_limited = dispatcher.limits.get(&endpoint).is_some();
            if is_evacuated || is_cold || is_limited || closure.is_some() {
                // It frees them by itself after a while.
                return;
            }
            let request = dispatcher.protocol.free_call(&endpoint, &handles);
            let target = Target {
                endpoint: endpoint.clone(),
                address,
                // Names of results say nothing.
                residency: Residency::default(),
            };
            let sent = timeout(FREE_TIMEOUT, dispatcher.post(&target, &request, Use::Free)).await;
            if !matches!(sent, Ok(Ok(CallResult::Body(_)))) {
                debug!(dispatcher.log, "results not freed";
                    "endpoint" => &*endpoint, "results" => handles.len());
            }
        });
    }

    fn is_cold(&self, endpoint: &id::Endpoint) -> bool {
        let cold = self.limits.cold();
        cold.is_used() && cold.is_cold(endpoint, self.clock.now())
    }

    fn send_grant(&self, job_id: JobId, result: Granted) {
        if let Some(sender) = self.grant_senders.borrow_mut().swap_remove(&job_id) {
            // A request that has ended meanwhile removes itself from the planner.
            drop(sender.send(result));
        }
    }

    async fn call(
        self: Rc<Self>,
        call_id: CallId,
        endpoint: id::Endpoint,
        address: SocketAddr,
        call_timeout: Duration,
        pieces: Vec<PieceRequest>,
    ) {
        let request = self.protocol.stage_call(&endpoint, &pieces);
        let started_at = self.clock.now();
        let residencies = pieces.iter().map(|piece| &piece.residency);
        let target = Target {
            endpoint: endpoint.clone(),
            address,
            residency: residencies.fold(Residency::default(), Residency::and),
        };
        let result = timeout(call_timeout, self.post(&target, &request, Use::Call)).await;
        let outcome = match result {
            Ok(Ok(CallResult::Body(body))) => {
                let outcomes = self.protocol.parse_outcomes(&body, pieces.len());
                outcomes.map_or(CallOutcome::Lost, CallOutcome::Answered)
            }
            Ok(Ok(CallResult::Refused)) => CallOutcome::Refused,
            Ok(Err(error)) => {
                warn!(self.log, "stage call failed"; "endpoint" => &*endpoint, "error" => %error);
                match error {
                    CallError::Connect { source } if source.is_own_fault() => CallOutcome::Cut,
                    CallError::Connect { .. } => CallOutcome::Lost,
                    CallError::Exchange { .. } => {
                        self.examine(&endpoint, address, CLOSE_TIME).await
                    }
                }
            }
            Err(_) => self.examine(&endpoint, address, Duration::ZERO).await,
        };
        let took = self.clock.now().saturating_sub(started_at);
        self.meter.count(outcome.name());
        self.meter.time("stage", took);
        info!(self.log, "stage call"; "ids" => ids(&pieces),
            "endpoint" => &*endpoint, "pieces" => pieces.len(), "stage" => pieces[0].stage,
            "ms" => took.as_millis() as u64, "ending" => outcome.name());
        self.update_planner(|planner, now| planner.call_ended(call_id, &outcome, now));
    }

    /// Finds out whether the endpoint is at fault for a lost call.
    async fn examine(
        &self,
        endpoint: &id::Endpoint,
        address: SocketAddr,
        delay: Duration,
    ) -> CallOutcome {
        let target = Target {
            endpoint: endpoint.clone(),
            address,
            residency: Residency::default(),
        };
        match self.dialer.examine(&target, delay).await {
            Finding::Alive | Finding::Ended => CallOutcome::Lost,
            Finding::Cut | Finding::Unknown => CallOutcome::Cut,
        }
    }

    fn expect_grant(&self, job_id: JobId) -> oneshot::Receiver<Granted> {
        let (sender, grant_receiver) = oneshot::channel();
        self.grant_senders.borrow_mut().insert(job_id, sender);
        grant_receiver
    }

    /// Waits until the planner knows the endpoints, at most as long as a starting daemon needs.
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
        let grant_receiver = self.expect_grant(job_id);
        let mut request = LocalRequest {
            dispatcher: self.clone(),
            job_id,
            grant: Grant::default(),
            granted_at: Time::ZERO,
        };
        self.update_planner(|planner, now| planner.submit(job_id, job, now));
        (request.grant, request.granted_at) = grant_receiver
            .await
            .unwrap_or_else(|_| Err(Refusal::planner_gone()))?;
        Ok(request)
    }
}

/// Returns the ids of a call's requests for the log.
fn ids(pieces: &[PieceRequest]) -> String {
    let ids: IndexSet<&str> = pieces.iter().map(|piece| &*piece.request).collect();
    let ids: Vec<&str> = ids.into_iter().take(MAX_LOGGED_IDS).collect();
    ids.join(",")
}

/// Why there is no response to a call.
#[derive(Debug, Snafu)]
enum CallError {
    /// The endpoint was not reached.
    #[snafu(transparent)]
    Connect { source: dialer::Error },
    /// The connection was lost.
    #[snafu(transparent)]
    Exchange { source: exchange::Error },
}

/// An endpoint's response to a call.
enum CallResult {
    /// The body of a successful response.
    Body(bytes::Bytes),
    /// Any other response.
    Refused,
}

impl Dispatcher {
    /// Makes a call that may be repeated: on an idle connection, and on a new one if that fails.
    async fn post(
        self: &Rc<Self>,
        target: &Target,
        request: &HttpRequest,
        carries: Use,
    ) -> Result<CallResult, CallError> {
        let Target {
            endpoint, address, ..
        } = target;
        // A call that is lost on an idle connection may have arrived, and would count twice.
        let is_direct = self.dialer.is_direct(endpoint) && !self.is_cold(endpoint);
        let idle = self
            .connections
            .take(endpoint, *address, carries, self.clock.now());
        if is_direct && carries == Use::Call {
            self.prepare_connection(target.clone());
        }
        if let Some(connection) = idle.filter(|_| is_direct)
            && let Ok(result) = self.post_on(target, connection, request, carries).await
        {
            return Ok(result);
        }
        let connection = self.dialer.connect(target).await?;
        if self.planner.borrow().is_evacuated(endpoint) {
            // The first try, or connecting, took longer than the operators' record.
            return Ok(CallResult::Refused);
        }
        self.post_on(target, connection, request, carries).await
    }

    /// Connects to an endpoint for its next call, which begins as soon as this one has ended.
    fn prepare_connection(self: &Rc<Self>, target: Target) {
        let dispatcher = self.clone();
        spawn_local(async move {
            let Ok(connection) = dispatcher.dialer.connect(&target).await else {
                return;
            };
            if !connection.is_detour() {
                let now = dispatcher.clock.now();
                let (endpoint, address) = (&target.endpoint, target.address);
                dispatcher
                    .connections
                    .put(endpoint, address, Use::Call, connection, now);
            }
        });
    }

    async fn post_on(
        &self,
        target: &Target,
        connection: Connection,
        request: &HttpRequest,
        carries: Use,
    ) -> Result<CallResult, CallError> {
        let HttpRequest {
            method,
            target: path,
            fields,
            body,
        } = request;
        let keep_alive = carries == Use::Free;
        let head = exchange::request_head(method, path, fields, body.len(), keep_alive);
        let mut response = exchange::send(connection, &head, &[body]).await?;
        let status = response.head.status;
        let meta = self.protocol.parse_response(&response.head, "");
        self.record_state(&target.endpoint, &meta);
        let body = response.body(MAX_RESPONSE_BYTES).await?;
        if let Some(connection) = response.into_connection().filter(|_| keep_alive) {
            let (endpoint, now) = (&target.endpoint, self.clock.now());
            self.connections
                .put(endpoint, target.address, carries, connection, now);
        }
        Ok(match body {
            Some(body) if status == 200 => CallResult::Body(body),
            _ => CallResult::Refused,
        })
    }

    /// Records what a stage endpoint's answer says of itself, which binds the calls of this daemon.
    fn record_state(&self, endpoint: &id::Endpoint, meta: &ResponseMeta) {
        let now = self.clock.now();
        self.limits.record(endpoint, meta.limit, now);
        self.limits.record_brittle(endpoint, meta.is_brittle);
        if let Some(ratio) = meta.pace {
            self.record_pace(endpoint, ratio);
        }
        if !self.closures.record(endpoint, meta, now) {
            return;
        }
        let closure = self.closures.get(endpoint, now);
        let remaining = closure.and_then(|closure| closure.remaining);
        let until = remaining.map(|remaining| now + remaining);
        self.planner.borrow_mut().close(endpoint, until);
    }

    /// Records how long work takes on an endpoint's VM at this moment.
    fn record_pace(&self, endpoint: &id::Endpoint, ratio: Ratio) {
        if ratio >= SLOW_PACE {
            self.meter.count("pace.slow");
        }
        let now = self.clock.now();
        self.planner.borrow_mut().record_pace(endpoint, ratio, now);
    }
}

/// A request that is planned in this daemon.
pub struct LocalRequest {
    dispatcher: Rc<Dispatcher>,
    job_id: JobId,
    grant: Grant,
    granted_at: Time,
}

impl LocalRequest {
    /// Gets a grant of another endpoint.
    pub async fn request_other_endpoint(
        &mut self,
        inputs_lost: bool,
        release: Option<id::Release>,
    ) -> Result<(), Refusal> {
        let grant_receiver = self.dispatcher.expect_grant(self.job_id);
        let job_id = self.job_id;
        self.dispatcher
            .update_planner(|planner, now| planner.retry(job_id, inputs_lost, release, now));
        (self.grant, self.granted_at) = grant_receiver
            .await
            .unwrap_or_else(|_| Err(Refusal::planner_gone()))?;
        Ok(())
    }
}

impl PlannedRequest for LocalRequest {
    fn grant(&self) -> &Grant {
        &self.grant
    }

    fn granted_after(&self) -> Option<Time> {
        let leaves_limited = self.dispatcher.planner.borrow().leaves_limited();
        (!leaves_limited).then_some(self.granted_at)
    }

    fn started(&self, is_final: bool) {
        let job_id = self.job_id;
        self.dispatcher
            .update_planner(|planner, now| planner.started(job_id, is_final, now));
    }

    fn limited(&self, limit: Option<Rate>) {
        let now = self.dispatcher.clock.now();
        let endpoint = &self.grant.endpoint;
        self.dispatcher.limits.record(endpoint, limit, now);
    }

    fn paced(&self, ratio: Ratio) {
        let endpoint = &self.grant.endpoint;
        self.dispatcher.record_pace(endpoint, ratio);
    }

    fn answering(&self) {
        let job_id = self.job_id;
        self.dispatcher
            .update_planner(|planner, now| planner.answering(job_id, now));
    }

    fn ended(&self, verdict: Verdict) {
        let job_id = self.job_id;
        self.dispatcher
            .update_planner(|planner, now| planner.ended(job_id, verdict, now));
    }

    fn retry(
        &mut self,
        inputs_lost: bool,
        release: Option<id::Release>,
    ) -> LocalBoxFuture<'_, Result<(), Refusal>> {
        Box::pin(self.request_other_endpoint(inputs_lost, release))
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

/// Plans requests in this daemon.
pub struct LocalPlanner(pub Rc<Dispatcher>);

impl RequestPlanner for LocalPlanner {
    fn plan(&self, job: Job) -> LocalBoxFuture<'_, Result<Box<dyn PlannedRequest>, Refusal>> {
        Box::pin(async move {
            let request = self.0.plan(job).await?;
            Ok(Box::new(request) as Box<dyn PlannedRequest>)
        })
    }
}
