//! Handles one request: checks it, sends it to endpoints, and responds to the client.
//!
//! A status that promises that the request has not run is only sent when no endpoint can have
//! begun to run it. A request that may have run is only sent again if its route allows it.

use std::borrow::Cow;
use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use sha2::{Digest, Sha256};
use slog::info;
use tokio::time::timeout;

use super::Node;
use super::catalog::{Route, Workspace};
use super::ending::Sent;
use super::health::Verdict;
use super::http::{Body, Field, RequestHead, Sink};
use super::intake::{Room, Share};
use super::plan::{self, Job, Refusal, Stage};
use super::protocol::RequestMeta;
use super::residency::Residency;
use super::response::ResponseWriter;
use crate::clock::Time;
use crate::id;
use crate::quarantine::evidence::{Life, Suspects};

mod answer;
mod attempt;
mod check;
mod event;
mod place;

pub use check::Rejection;
use event::EventBuffer;

/// The longest response that is not streamed; it is buffered until it is complete.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// The longest event of a stream. An event is buffered until it is complete, and all streams of an endpoint may
/// have one without an end, on a VM of 160 MB.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// The number of attempts that did not run a request after which the request fails.
const MAX_NOT_RUN: u32 = 5;
/// The number of attempts that this daemon withheld after which the request fails: a planner that lags behind
/// may grant a few endpoints in turn, and one that grants the same again and again may not keep it forever.
const MAX_WITHHELD: u32 = 10;
/// The `Retry-After` of failures for which the planner gave none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The share of its target latency after which a repeatable request is sent to another endpoint.
const ANSWER_TIMEOUT_SHARE: f64 = 0.6;
/// The least time that an endpoint has to answer a repeatable request.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// How long before its deadline a client gets a timeout status: the way back and a busy daemon take
/// that long.
const RESPONSE_MARGIN: Duration = Duration::from_millis(60);
/// The `Retry-After` of a daemon that stops: clients find another one at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// How often a request that a stopping daemon can no longer send checks whether an endpoint still has it.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The length of a truncated digest: enough to distinguish the contents of some minutes.
const DIGEST_BYTES: usize = 12;
/// What one part of a prompt takes, with the copies of the planner and of what is blamed.
const PART_BYTES: usize = 128;
/// What one piece takes at the planner.
const PIECE_BYTES: usize = 64;
/// The timeout of a request without a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Handles a client's request.
pub struct RequestHandler {
    node: Rc<Node>,
    head: RequestHead,
    body: RefCell<Rc<Body>>,
    /// What the client makes the daemon hold.
    share: Rc<Share>,
    arrived_at: Time,
    /// Whether it continues when the client disconnects.
    outlives_client: Rc<Cell<bool>>,
    may_have_run: Cell<bool>,
    /// The software version that began the stream, once it is known.
    release: RefCell<Option<id::Release>>,
    /// The software version of the endpoint of the last attempt, as it was known when the request was sent.
    sent_release: RefCell<Option<id::Release>>,
    /// Whether an event of a stream was passed on.
    has_begun: Cell<bool>,
    /// What its endpoint is blamed for if it ends without an answer.
    unanswered: RefCell<Option<Unanswered>>,
    /// How the request was sent last.
    sent: Cell<Option<Sent>>,
    digest: OnceCell<id::Digest>,
    /// The regions for which it was planned last.
    planned_for: RefCell<Residency>,
    log_fields: RefCell<LogFields>,
}

#[derive(Default)]
struct LogFields {
    id: String,
    route: Option<id::Name>,
    endpoint: Option<id::Endpoint>,
    resumes: Option<id::Name>,
    /// The event after which the client wants its stream to go on.
    last_event: Option<String>,
    /// The engine from which the last endpoint was to fetch the beginning of the prompt.
    fetch_from: Option<SocketAddr>,
    /// How the endpoint delimited the body of its last response.
    framing: Option<&'static str>,
    /// The limit that the endpoint named in its last response, in requests a second.
    limit: Option<f64>,
    /// How long work took on the endpoint's VM at its last response, as a multiple of the usual time.
    pace: Option<f64>,
    /// Whether another VM passed the last attempt on.
    is_detour: bool,
    /// How long the request waited for its stages and a first endpoint.
    planned: Option<Duration>,
    /// How long it took to the first byte for the client.
    first_byte: Option<Duration>,
    sent: u32,
    not_run: u32,
    /// Whether it ended since the budget of retries had none left.
    is_over_budget: bool,
    is_logged: bool,
}

/// A request at an endpoint that has not answered it.
struct Unanswered {
    suspects: Suspects,
    life: Life,
    sent_at: Time,
}

/// A request that passed the checks.
struct AcceptedRequest {
    route: Route,
    meta: RequestMeta,
    service: id::Pool,
    workspace: Option<id::Workspace>,
    /// The workspace of its API key, also on a route that needs none.
    owner: Option<Workspace>,
    /// The regions in which it may be, as of a version of the configuration.
    residency: RefCell<(u64, Residency)>,
    priority: u8,
    target_time: Time,
    deadline: Time,
    /// Whether it has stages or is for an engine.
    is_staged: bool,
}

/// How handling a request ended.
enum Outcome {
    /// The endpoint's complete response.
    Response(u16, Vec<Field>, Body),
    /// The endpoint's response was streamed.
    Streamed,
    /// The response broke off.
    Truncated(&'static str),
    /// A failure of the daemon itself.
    Failure(Failure),
}

/// A failure of the daemon itself.
struct Failure {
    status: u16,
    retry_after: Option<Duration>,
    reason: Cow<'static, str>,
}

/// How one attempt at an endpoint ended.
enum AttemptOutcome {
    Done(Outcome),
    /// The request did not run: the endpoint refused it, is leaving or was not reached.
    NotRun {
        verdict: Verdict,
        inputs_lost: bool,
    },
    /// This daemon sent the endpoint nothing, since it may not get the request now.
    Withheld,
    /// The request may have run, and there is no response.
    Lost {
        verdict: Verdict,
        reason: &'static str,
    },
    /// The request ran and failed, with this response.
    Failed(Outcome),
}

fn failure(status: u16, reason: &'static str) -> Failure {
    let retry_after = matches!(status, 429 | 503).then_some(DEFAULT_RETRY_AFTER);
    Failure {
        status,
        retry_after,
        reason: reason.into(),
    }
}

impl RequestHandler {
    /// Makes the handler of a request.
    pub fn new(
        node: Rc<Node>,
        head: RequestHead,
        body: Body,
        share: Rc<Share>,
        arrived_at: Time,
        outlives_client: Rc<Cell<bool>>,
    ) -> Self {
        node.active_requests.set(node.active_requests.get() + 1);
        Self {
            node,
            head,
            body: RefCell::new(Rc::new(body)),
            share,
            arrived_at,
            outlives_client,
            may_have_run: Cell::new(false),
            release: RefCell::default(),
            sent_release: RefCell::default(),
            has_begun: Cell::new(false),
            unanswered: RefCell::default(),
            sent: Cell::default(),
            digest: OnceCell::new(),
            planned_for: RefCell::default(),
            log_fields: RefCell::default(),
        }
    }

    /// Serves the request; returns the connection when it can carry another one.
    pub async fn serve(self, mut client: ResponseWriter) -> Option<Sink> {
        self.node.wait_configured().await;
        let accepted = match self.accept() {
            Ok(request) => self.follow_origin(request).await,
            refused => refused,
        };
        let mut room = Room::new(self.share.clone());
        let accepted = match accepted {
            Ok(request) => take_room(&mut room, &request).await.map(|()| request),
            refused => refused,
        };
        let outcome = match accepted {
            Ok(request) => self.serve_in_time(&request, &mut client).await,
            Err(failure) => Outcome::Failure(failure),
        };
        self.log_outcome(&outcome);
        match outcome {
            Outcome::Response(status, fields, body) => {
                client.send_whole(status, &fields, &body).await
            }
            Outcome::Streamed => client.finish().await,
            Outcome::Truncated(_) => None,
            Outcome::Failure(failure) => {
                let fields = self
                    .node
                    .protocol
                    .failure_fields(&self.log_fields.borrow().id);
                client
                    .send_error(failure.status, &fields, failure.retry_after)
                    .await
            }
        }
    }

    fn log_outcome(&self, outcome: &Outcome) {
        let (status, reason) = match outcome {
            Outcome::Response(status, ..) => (*status, "answered"),
            Outcome::Streamed => (200, "answered"),
            Outcome::Truncated(reason) => (0, *reason),
            Outcome::Failure(failure) => (failure.status, &*failure.reason),
        };
        self.log(status, reason);
    }

    fn log(&self, status: u16, reason: &str) {
        let mut fields = self.log_fields.borrow_mut();
        fields.is_logged = true;
        let took = self.age();
        let kind = match status {
            0 => "request.broken",
            200..=299 => "request.answered",
            503 => "request.refused",
            _ => "request.failed",
        };
        self.node.meter.count(kind);
        self.node.meter.time("request", took);
        let age = self.node.config_age().map(|age| age.as_millis() as u64);
        let millis = |time: Option<Duration>| time.map(|time| time.as_millis() as u64);
        info!(self.node.log, "request";
            "id" => &*fields.id, "route" => fields.route.as_deref(), "status" => status,
            "reason" => reason, "endpoint" => fields.endpoint.as_deref(),
            "fetch_from" => fields.fetch_from.map(|source| source.to_string()),
            "framing" => fields.framing, "limit" => fields.limit, "pace" => fields.pace,
            "release" => self.release.borrow().as_deref(),
            "resumes" => fields.resumes.as_deref(), "last_event" => fields.last_event.as_deref(),
            "sent" => fields.sent, "detour" => fields.is_detour,
            "turned" => fields.not_run, "over_budget" => fields.is_over_budget, "ms" => took.as_millis() as u64,
            "planned_ms" => millis(fields.planned), "first_ms" => millis(fields.first_byte),
            "config" => self.node.catalog().version, "config_age_ms" => age,
            "may_have_run" => self.may_have_run.get());
    }

    /// Returns how long ago the request arrived.
    fn age(&self) -> Duration {
        self.node.clock.now().saturating_sub(self.arrived_at)
    }

    /// Returns the failure of a request whose content ends endpoints.
    fn check_quarantine(&self, request: &AcceptedRequest) -> Option<Failure> {
        let quarantine = self.node.quarantine();
        if !quarantine.has_refused() {
            return None;
        }
        let suspects = self.suspects(request);
        let remaining = quarantine.refusal(&suspects, self.node.clock.now())?;
        Some(planner_refusal(&Refusal::quarantined(remaining)))
    }

    /// Logs what the request shares with others, which may be why the endpoint ended under it.
    fn log_crash(&self, request: &AcceptedRequest, reason: &str) {
        let fields = self.log_fields.borrow();
        let parts = request.meta.prompt_parts.split_last();
        let shared = parts.map_or(&[][..], |(_, shared)| shared).iter();
        let shared: Vec<&str> = shared.map(|part| &*part.id).collect();
        info!(self.node.log, "endpoint ended under a request";
            "id" => &*fields.id, "endpoint" => fields.endpoint.as_deref(), "reason" => reason,
            "digest" => &*self.digest(request), "parts" => shared.join(","),
            "has_begun" => self.has_begun.get());
    }

    fn suspects(&self, request: &AcceptedRequest) -> Suspects {
        plan::suspects(&self.digest(request), &request.meta.prompt_parts)
    }

    /// Has the request blamed if the endpoint that has not answered it turns out to have ended.
    fn record_unanswered(&self) {
        if let Some(unanswered) = self.unanswered.take() {
            let Unanswered {
                suspects,
                life,
                sent_at,
            } = unanswered;
            let quarantine = self.node.quarantine();
            quarantine.unanswered(&suspects, life, sent_at);
        }
    }

    fn job(&self, request: &AcceptedRequest) -> Job {
        let pieces = |stage: usize| request.meta.piece_counts.get(stage).copied().unwrap_or(0);
        let stages = request.route.stages.iter().enumerate();
        let stages = stages.map(|(index, stage)| Stage {
            service: stage.service.clone(),
            after: stage.after.clone(),
            bytes: stage.bytes,
            pieces: pieces(index),
        });
        Job {
            request: request.meta.id.clone(),
            piece_key: request.meta.piece_key.clone().unwrap_or_else(|| "".into()),
            stages: stages.collect(),
            service: request.service.clone(),
            priority: request.priority,
            target: request.target_time,
            deadline: request.deadline,
            target_latency: request.route.target_latency,
            weight: self.node.weight(&request.route.name, request.meta.tokens),
            digest: self.digest(request),
            prompt_parts: request.meta.prompt_parts.clone(),
            tokens: request.meta.tokens,
            zone: self.node.options.zone.clone(),
            transferred_results: Vec::new(),
            release: self.release.borrow().clone(),
            closures: self.node.closures.all(self.node.clock.now()),
            residency: self.residency(request),
        }
    }

    /// Returns a digest of the request without its id, equal when a client sends it again.
    fn digest(&self, request: &AcceptedRequest) -> id::Digest {
        self.digest.get_or_init(|| self.hash(request)).clone()
    }

    fn hash(&self, request: &AcceptedRequest) -> id::Digest {
        let mut digest = Sha256::new();
        let workspace = request.workspace.as_deref().unwrap_or_default();
        for part in [&self.head.method, &self.head.target, workspace] {
            digest.update(part.as_bytes());
            digest.update([0]);
        }
        for segment in self.body.borrow().segments() {
            digest.update(segment);
        }
        hex::encode(&digest.finalize()[..DIGEST_BYTES]).into()
    }

    /// Serves the request until its deadline, or until the daemon stops.
    async fn serve_in_time(
        &self,
        request: &AcceptedRequest,
        client: &mut ResponseWriter,
    ) -> Outcome {
        let remaining = request.deadline.saturating_sub(self.node.clock.now());
        let has_started = Cell::new(false);
        let served = {
            let mut serving = pin!(self.run_attempts(request, client, &has_started));
            let answer_time = remaining.saturating_sub(RESPONSE_MARGIN);
            let served = tokio::select! {
                biased;
                served = timeout(answer_time, &mut serving) => served.ok(),
                () = self.node.final_response.notified() => None,
                () = self.misses_stop(request, &has_started) => {
                    return Outcome::Failure(stopping());
                }
            };
            match served {
                // A response that has started may still be complete in time.
                None if has_started.get() => {
                    timeout(remaining.saturating_sub(answer_time), serving)
                        .await
                        .ok()
                }
                served => served,
            }
        };
        served.unwrap_or_else(|| {
            if has_started.get() {
                return Outcome::Truncated("no time left");
            }
            let status = if self.may_have_run.get() { 504 } else { 503 };
            Outcome::Failure(failure(status, "no time left"))
        })
    }

    /// Completes when the daemon stops too soon to have the request run, and no endpoint has it.
    async fn misses_stop(&self, request: &AcceptedRequest, has_started: &Cell<bool>) {
        let drain = self.node.wait_drain().await;
        loop {
            let last_send = drain.last_send(self.node.run_time(&request.route));
            let remaining = last_send.saturating_sub(self.node.clock.now());
            if has_started.get() {
                std::future::pending().await
            } else if !remaining.is_zero() {
                tokio::time::sleep(remaining).await;
            } else if self.may_have_run.get() {
                tokio::time::sleep(STOP_POLL_INTERVAL).await;
            } else {
                return;
            }
        }
    }

    /// Returns whether the daemon stops before another attempt could end.
    fn is_past_last_send(&self, request: &AcceptedRequest) -> bool {
        let run_time = self.node.run_time(&request.route);
        let drain = self.node.drain.get();
        drain.is_some_and(|drain| self.node.clock.now() >= drain.last_send(run_time))
    }

    async fn run_attempts(
        &self,
        request: &AcceptedRequest,
        client: &mut ResponseWriter,
        has_started: &Cell<bool>,
    ) -> Outcome {
        let node = &self.node;
        node.retries.record_request(&request.service);
        // The planner of the region counts for all daemons.
        let limits = node.limits();
        let cold = limits.cold();
        let is_counted = limits.covers(&request.service)
            || (cold.is_used() && cold.covers(&request.service, node.clock.now()));
        let mut planner = if request.is_staged || is_counted {
            &node.staged_planner
        } else {
            &node.plain_planner
        };
        if let Some(failure) = self.check_quarantine(request) {
            return Outcome::Failure(failure);
        }
        let mut planned = self.plan(request, planner, Vec::new()).await;
        if !request.is_staged
            && planned.as_ref().is_err_and(|refusal| !refusal.is_final)
            && is_counted
        {
            // Endpoints without a limit need no planner.
            let alone = self.plan(request, &node.plain_planner, Vec::new()).await;
            if alone.is_ok() {
                planner = &node.plain_planner;
                planned = alone;
            }
        }
        let mut planned = match planned {
            Ok(planned) => planned,
            Err(refusal) => return Outcome::Failure(planner_refusal(&refusal)),
        };
        self.log_fields.borrow_mut().planned = Some(self.age());
        let mut events = EventBuffer::after(request.meta.last_event_id.clone());
        let mut withheld = 0;
        let mut has_retry = false;
        loop {
            // What was granted may have been found to end endpoints meanwhile.
            if let Some(failure) = self.check_quarantine(request) {
                planned.ended(Verdict::Unknown);
                if self.may_have_run.get() {
                    return self.final_outcome(client, "its content ends endpoints");
                }
                return Outcome::Failure(failure);
            }
            let may_have_run = self.may_have_run.get();
            let sent = self.log_fields.borrow().sent;
            let attempted = self
                .attempt(request, &*planned, client, &mut events, has_started)
                .await;
            // What no endpoint saw is no load.
            has_retry &= self.log_fields.borrow().sent == sent;
            let (inputs_lost, reason) = match attempted {
                AttemptOutcome::Done(outcome) => return outcome,
                AttemptOutcome::Withheld => {
                    planned.ended(Verdict::Unknown);
                    withheld += 1;
                    let reason = "no granted endpoint may get the request";
                    if withheld >= MAX_WITHHELD {
                        return self.final_outcome(client, reason);
                    }
                    (false, reason)
                }
                AttemptOutcome::NotRun {
                    verdict,
                    inputs_lost,
                } => {
                    planned.ended(verdict);
                    // It may still have run at an earlier endpoint.
                    self.may_have_run.set(may_have_run);
                    self.log_fields.borrow_mut().not_run += 1;
                    if self.log_fields.borrow().not_run >= MAX_NOT_RUN {
                        return self
                            .final_outcome(client, "too many endpoints did not run the request");
                    }
                    (inputs_lost, "the endpoint did not run the request")
                }
                AttemptOutcome::Lost { verdict, reason } => {
                    let verdict = self.examine(request, &*planned, verdict).await;
                    planned.ended(verdict);
                    if matches!(verdict, Verdict::Crashed | Verdict::Dropped) {
                        self.log_crash(request, reason);
                    }
                    if !self.may_repeat(request) {
                        return self.final_outcome(client, reason);
                    }
                    (false, reason)
                }
                AttemptOutcome::Failed(outcome) => {
                    planned.ended(Verdict::Bad);
                    if !self.may_repeat(request) {
                        return outcome;
                    }
                    (false, "the endpoint failed")
                }
            };
            let release = self.release.borrow().clone();
            if client.has_started() && release.is_none() {
                return self
                    .final_outcome(client, "the version that began the stream is not known");
            }
            if self.is_past_last_send(request) {
                return self.final_outcome(client, reason);
            }
            let is_first = self.log_fields.borrow().sent == 0;
            has_retry = has_retry || is_first || self.spend_retry(request).await;
            if !has_retry {
                return self.final_outcome(client, reason);
            }
            let retried = tokio::select! {
                biased;
                () = self.moved(request) => None,
                retried = planned.retry(inputs_lost, release) => Some(retried),
            };
            let retried = match retried {
                Some(Ok(())) => Ok(planned),
                // It may no longer be where it was planned: none of its results may go on.
                None => {
                    drop(planned);
                    self.plan(request, planner, Vec::new()).await
                }
                // The planner is stopping: another one continues with the results.
                Some(Err(refusal)) if refusal.is_transferred => {
                    self.plan(request, planner, refusal.transferred_results)
                        .await
                }
                Some(Err(refusal)) => Err(refusal),
            };
            planned = match retried {
                Ok(planned) => planned,
                Err(_) if self.may_have_run.get() => return self.final_outcome(client, reason),
                Err(refusal) => return Outcome::Failure(planner_refusal(&refusal)),
            };
        }
    }

    /// Takes a retry from the budget of the request's service; returns whether there was one.
    async fn spend_retry(&self, request: &AcceptedRequest) -> bool {
        let is_granted = self.node.retries.spend(&request.service).await;
        self.log_fields.borrow_mut().is_over_budget = !is_granted;
        let counter = if is_granted {
            "retry.granted"
        } else {
            "retry.over_budget"
        };
        self.node.meter.count(counter);
        is_granted
    }

    /// Returns whether the request may be sent again although it may have run.
    fn may_repeat(&self, request: &AcceptedRequest) -> bool {
        request.route.kind.is_repeatable()
            && self.log_fields.borrow().sent < request.route.max_attempts
    }

    fn final_outcome(&self, client: &ResponseWriter, reason: &'static str) -> Outcome {
        if client.has_started() {
            return Outcome::Truncated(reason);
        }
        let status = if self.may_have_run.get() { 502 } else { 503 };
        Outcome::Failure(failure(status, reason))
    }
}

impl Drop for RequestHandler {
    fn drop(&mut self) {
        self.record_unanswered();
        self.node
            .active_requests
            .set(self.node.active_requests.get().saturating_sub(1));
        if !self.log_fields.borrow().is_logged {
            self.log(0, "client disconnected");
        }
    }
}

/// Makes the failure of a request that has not run since the daemon stops.
fn stopping() -> Failure {
    Failure {
        status: 503,
        retry_after: Some(STOPPING_RETRY_AFTER),
        reason: "the daemon is stopping".into(),
    }
}

/// Takes room for what the head of a request makes the daemon hold until it ends.
async fn take_room(room: &mut Room, request: &AcceptedRequest) -> Result<(), Failure> {
    let AcceptedRequest { meta, route, .. } = request;
    let pieces: usize = meta.piece_counts.iter().take(route.stages.len()).sum();
    let bytes = meta.prompt_parts.len() * PART_BYTES + pieces * PIECE_BYTES;
    let taken = room.reserve(bytes).await;
    taken.map_err(|wait| Failure {
        status: 503,
        retry_after: Some(wait),
        reason: "no room for the parts of its prompt and its pieces".into(),
    })
}

fn lost(reason: &'static str) -> AttemptOutcome {
    AttemptOutcome::Lost {
        verdict: Verdict::Lost,
        reason,
    }
}

fn planner_refusal(refusal: &Refusal) -> Failure {
    Failure {
        status: 503,
        retry_after: Some(refusal.retry_after),
        reason: refusal.reason.clone(),
    }
}
