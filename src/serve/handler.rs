//! One request: whether it is served, which endpoints it is sent to, and what the client is told.
//!
//! A status that promises that the request has not run is only given when no endpoint can have
//! begun to run it. Whatever may have run is never sent again, unless its route allows it.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sha2::{Digest, Sha256};
use slog::info;
use tokio::time::timeout;

use super::Node;
use super::catalog::Route;
use super::health::Verdict;
use super::http::{Field, RequestHead, Sink};
use super::plan::{Job, Stage};
use super::protocol::RequestMeta;
use super::response::ResponseWriter;
use crate::clock::Time;
use crate::id;

mod answer;
mod attempt;
mod check;
mod event;

use event::EventBuffer;

/// The longest answer of a plain service, in bytes; it is held until it is whole.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Endpoints that may turn one request down before it is refused.
const MAX_REFUSALS: u32 = 5;
/// When a client is asked to come back where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The share of its target after which a request that may be repeated is sent to another endpoint.
const ANSWER_TIMEOUT_SHARE: f64 = 0.6;
/// The least time that an endpoint has before another one is asked.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// How long before a client's deadline it is told that there is no answer: the way back and a busy
/// daemon take that long.
const RESPONSE_MARGIN: Duration = Duration::from_millis(60);
/// Bytes of a digest that are kept: enough to tell the contents of some minutes apart.
const DIGEST_BYTES: usize = 12;
/// The time that a request without a deadline has.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// One request of a client.
pub struct RequestHandler {
    node: Rc<Node>,
    head: RequestHead,
    body: Bytes,
    arrived_at: Time,
    /// Whether it has to go on when the client leaves.
    outlives_client: Rc<Cell<bool>>,
    /// Whether an endpoint may have run it.
    may_have_run: Cell<bool>,
    log_fields: RefCell<LogFields>,
}

/// What the log tells of a request.
#[derive(Default)]
struct LogFields {
    id: String,
    route: Option<id::Name>,
    endpoint: Option<id::Endpoint>,
    sent: u32,
    refusals: u32,
    is_done: bool,
}

/// What a request needs to be sent on.
struct AcceptedRequest {
    route: Route,
    meta: RequestMeta,
    service: id::Pool,
    workspace: Option<id::Workspace>,
    priority: u8,
    target_time: Time,
    deadline: Time,
    is_staged: bool,
}

/// How serving a request ended.
enum Outcome {
    /// The endpoint's answer, whole.
    Response(u16, Vec<Field>, Bytes),
    /// The endpoint's answer was sent as it came.
    Streamed,
    /// The answer ends in the middle.
    Truncated(&'static str),
    /// A failure of our own.
    Failure(Failure),
}

/// A failure of our own.
struct Failure {
    status: u16,
    retry_after: Option<Duration>,
    reason: Cow<'static, str>,
}

/// How one attempt at an endpoint ended.
enum AttemptOutcome {
    Done(Outcome),
    /// It did not run; with `again`, its inputs are gone.
    Refused {
        verdict: Verdict,
        inputs_lost: bool,
    },
    /// It may have run and has no answer.
    Lost {
        verdict: Verdict,
        reason: &'static str,
    },
    /// It ran and failed; the answer is the endpoint's.
    Failed(Outcome),
}

fn failure(status: u16, reason: &'static str) -> Failure {
    let wait = matches!(status, 429 | 503).then_some(DEFAULT_RETRY_AFTER);
    Failure {
        status,
        retry_after: wait,
        reason: reason.into(),
    }
}

impl RequestHandler {
    /// Takes in a request that was read whole.
    pub fn new(
        node: Rc<Node>,
        head: RequestHead,
        body: Bytes,
        arrived_at: Time,
        outlives_client: Rc<Cell<bool>>,
    ) -> Self {
        node.active_requests.set(node.active_requests.get() + 1);
        Self {
            node,
            head,
            body,
            arrived_at,
            outlives_client,
            may_have_run: Cell::new(false),
            log_fields: RefCell::default(),
        }
    }

    /// Serves it; returns the connection when it can carry another request.
    pub async fn serve(self, mut client: ResponseWriter) -> Option<Sink> {
        self.node.wait_configured().await;
        let done = match self.check() {
            Ok(plan) => self.serve_in_time(&plan, &mut client).await,
            Err(failure) => Outcome::Failure(failure),
        };
        self.log_outcome(&done);
        match done {
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

    fn log_outcome(&self, done: &Outcome) {
        let (status, reason) = match done {
            Outcome::Response(status, ..) => (*status, "answered"),
            Outcome::Streamed => (200, "answered"),
            Outcome::Truncated(reason) => (0, *reason),
            Outcome::Failure(failure) => (failure.status, &*failure.reason),
        };
        self.log(status, reason);
    }

    fn log(&self, status: u16, reason: &str) {
        let mut note = self.log_fields.borrow_mut();
        note.is_done = true;
        let took = self.node.clock.now().saturating_sub(self.arrived_at);
        let kind = match status {
            0 => "request.broken",
            200..=299 => "request.answered",
            503 => "request.refused",
            _ => "request.failed",
        };
        self.node.meter.count(kind);
        self.node.meter.time("request", took);
        let age = self.node.config_age().map(|age| age.as_millis() as u64);
        info!(self.node.log, "request";
            "id" => &*note.id, "route" => note.route.as_deref(), "status" => status,
            "reason" => reason, "endpoint" => note.endpoint.as_deref(), "sent" => note.sent,
            "turned" => note.refusals, "ms" => took.as_millis() as u64,
            "config" => self.node.catalog().version, "config_age_ms" => age,
            "may_have_run" => self.may_have_run.get());
    }

    fn job(&self, plan: &AcceptedRequest) -> Job {
        let pieces = |stage: usize| plan.meta.piece_counts.get(stage).copied().unwrap_or(0);
        let stages = plan.route.stages.iter().enumerate();
        let needs = stages.map(|(index, stage)| Stage {
            service: stage.service.clone(),
            after: stage.after.clone(),
            bytes: stage.bytes,
            pieces: pieces(index),
        });
        Job {
            request: plan.meta.id.clone(),
            piece_key: plan.meta.piece_key.clone().unwrap_or_else(|| "".into()),
            stages: needs.collect(),
            service: plan.service.clone(),
            priority: plan.priority,
            target: plan.target_time,
            deadline: plan.deadline,
            target_latency: plan.route.target_latency,
            weight: self.node.weight(&plan.route.name, plan.meta.tokens),
            digest: self.digest(plan),
            prompt_parts: plan.meta.prompt_parts.clone(),
            tokens: plan.meta.tokens,
            zone: self.node.options.zone.clone(),
            transferred_results: Vec::new(),
        }
    }

    /// Returns the digest of what a client would send again with another id.
    fn digest(&self, plan: &AcceptedRequest) -> id::Digest {
        let mut digest = Sha256::new();
        let workspace = plan.workspace.as_deref().unwrap_or_default();
        for part in [&self.head.method, &self.head.target, workspace] {
            digest.update(part.as_bytes());
            digest.update([0]);
        }
        digest.update(&self.body);
        hex::encode(&digest.finalize()[..DIGEST_BYTES]).into()
    }

    /// Serves it within its time.
    async fn serve_in_time(&self, plan: &AcceptedRequest, client: &mut ResponseWriter) -> Outcome {
        let left = plan.deadline.saturating_sub(self.node.clock.now());
        let begun = Cell::new(false);
        let served = {
            let mut serving = pin!(self.run_attempts(plan, client, &begun));
            let early = left.saturating_sub(RESPONSE_MARGIN);
            let served = tokio::select! {
                biased;
                served = timeout(early, &mut serving) => served.ok(),
                () = self.node.final_response.notified() => None,
            };
            match served {
                // A stream that has begun may still be whole in time.
                None if begun.get() => timeout(left.saturating_sub(early), serving).await.ok(),
                served => served,
            }
        };
        served.unwrap_or_else(|| {
            if begun.get() {
                return Outcome::Truncated("the time is over");
            }
            let status = if self.may_have_run.get() { 504 } else { 503 };
            Outcome::Failure(failure(status, "the time is over"))
        })
    }

    async fn run_attempts(
        &self,
        plan: &AcceptedRequest,
        client: &mut ResponseWriter,
        begun: &Cell<bool>,
    ) -> Outcome {
        let node = &self.node;
        node.earn_retry(&plan.service);
        let desk = if plan.is_staged {
            &node.staged_planner
        } else {
            &node.plain_planner
        };
        let placed = desk.plan(self.job(plan)).await;
        let mut seat = match placed {
            Ok(seat) => seat,
            Err(refusal) => return Outcome::Failure(planner_refusal(&refusal)),
        };
        let mut events = EventBuffer::default();
        loop {
            let tried = self.attempt(plan, &*seat, client, &mut events, begun).await;
            let (again, otherwise) = match tried {
                AttemptOutcome::Done(done) => return done,
                AttemptOutcome::Refused {
                    verdict,
                    inputs_lost: again,
                } => {
                    seat.ended(verdict);
                    self.may_have_run.set(client.has_started());
                    self.log_fields.borrow_mut().refusals += 1;
                    if self.log_fields.borrow().refusals >= MAX_REFUSALS {
                        return self.final_outcome(client, "turned down again and again");
                    }
                    (again, "turned down")
                }
                AttemptOutcome::Lost { verdict, reason } => {
                    seat.ended(verdict);
                    if !self.may_repeat(plan) {
                        return self.final_outcome(client, reason);
                    }
                    (false, reason)
                }
                AttemptOutcome::Failed(done) => {
                    seat.ended(Verdict::Bad);
                    if !self.may_repeat(plan) {
                        return done;
                    }
                    (false, "the endpoint failed")
                }
            };
            if !node.spend_retry(&plan.service) {
                return self.final_outcome(client, otherwise);
            }
            let retried = match seat.retry(again).await {
                Ok(()) => Ok(seat),
                // The planner has left meanwhile, and another one goes on.
                Err(refusal) if refusal.is_transferred => {
                    let made = refusal.transferred_results;
                    let job = Job {
                        transferred_results: made,
                        ..self.job(plan)
                    };
                    desk.plan(job).await
                }
                Err(refusal) => Err(refusal),
            };
            seat = match retried {
                Ok(seat) => seat,
                Err(_) if self.may_have_run.get() => return self.final_outcome(client, otherwise),
                Err(refusal) => return Outcome::Failure(planner_refusal(&refusal)),
            };
        }
    }

    /// Returns whether a request that may have run can be sent once more.
    fn may_repeat(&self, plan: &AcceptedRequest) -> bool {
        plan.route.kind.is_repeatable() && self.log_fields.borrow().sent < plan.route.max_attempts
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
        self.node
            .active_requests
            .set(self.node.active_requests.get().saturating_sub(1));
        if !self.log_fields.borrow().is_done {
            self.log(0, "the client left");
        }
    }
}

fn lost(reason: &'static str) -> AttemptOutcome {
    AttemptOutcome::Lost {
        verdict: Verdict::Lost,
        reason,
    }
}

fn planner_refusal(refusal: &super::plan::Refusal) -> Failure {
    Failure {
        status: 503,
        retry_after: Some(refusal.retry_after),
        reason: refusal.reason.clone(),
    }
}
