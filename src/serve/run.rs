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

use event::Events;

/// The longest answer of a plain service, in bytes; it is held until it is whole.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Endpoints that may turn one request down before it is refused.
const MAX_TURNS: u32 = 5;
/// When a client is asked to come back where nothing better is known.
const WAIT: Duration = Duration::from_millis(500);
/// The share of its target after which a request that may be repeated is sent to another endpoint.
const PATIENCE: f64 = 0.6;
/// The least time that an endpoint has before another one is asked.
const MIN_PATIENCE: Duration = Duration::from_millis(150);
/// How long before a client's deadline it is told that there is no answer: the way back and a busy
/// daemon take that long.
const LAST_WORD: Duration = Duration::from_millis(60);
/// Bytes of a digest that are kept: enough to tell the contents of some minutes apart.
const DIGEST_BYTES: usize = 12;
/// The time that a request without a deadline has.
const NO_DEADLINE: Duration = Duration::from_secs(60);

/// One request of a client.
pub struct Run {
    node: Rc<Node>,
    head: RequestHead,
    body: Bytes,
    arrived: Time,
    /// Whether it has to go on when the client leaves.
    stays: Rc<Cell<bool>>,
    /// Whether an endpoint may have run it.
    may_have_run: Cell<bool>,
    note: RefCell<Note>,
}

/// What the log tells of a request.
#[derive(Default)]
struct Note {
    id: String,
    route: Option<id::Name>,
    endpoint: Option<id::Endpoint>,
    sent: u32,
    turned: u32,
    is_done: bool,
}

/// What a request needs to be sent on.
struct Plan {
    route: Route,
    ask: RequestMeta,
    service: id::Pool,
    workspace: Option<id::Workspace>,
    priority: u8,
    target: Time,
    end: Time,
    is_staged: bool,
}

/// How serving a request ended.
enum Done {
    /// The endpoint's answer, whole.
    Whole(u16, Vec<Field>, Bytes),
    /// The endpoint's answer was sent as it came.
    Sent,
    /// The answer ends in the middle.
    Broken(&'static str),
    /// A failure of our own.
    Fail(Failure),
}

/// A failure of our own.
struct Failure {
    status: u16,
    wait: Option<Duration>,
    reason: Cow<'static, str>,
}

/// How one attempt at an endpoint ended.
enum Tried {
    Done(Done),
    /// It did not run; with `again`, its inputs are gone.
    Turned {
        verdict: Verdict,
        again: bool,
    },
    /// It may have run and has no answer.
    Lost {
        verdict: Verdict,
        reason: &'static str,
    },
    /// It ran and failed; the answer is the endpoint's.
    Failed(Done),
}

fn failure(status: u16, reason: &'static str) -> Failure {
    let wait = matches!(status, 429 | 503).then_some(WAIT);
    Failure {
        status,
        wait,
        reason: reason.into(),
    }
}

impl Run {
    /// Takes in a request that was read whole.
    pub fn new(
        node: Rc<Node>,
        head: RequestHead,
        body: Bytes,
        arrived: Time,
        stays: Rc<Cell<bool>>,
    ) -> Self {
        node.active.set(node.active.get() + 1);
        Self {
            node,
            head,
            body,
            arrived,
            stays,
            may_have_run: Cell::new(false),
            note: RefCell::default(),
        }
    }

    /// Serves it; returns the connection when it can carry another request.
    pub async fn serve(self, mut client: ResponseWriter) -> Option<Sink> {
        self.node.configured().await;
        let done = match self.check() {
            Ok(plan) => self.within(&plan, &mut client).await,
            Err(failure) => Done::Fail(failure),
        };
        self.tell(&done);
        match done {
            Done::Whole(status, fields, body) => client.whole(status, &fields, &body).await,
            Done::Sent => client.end().await,
            Done::Broken(_) => None,
            Done::Fail(failure) => {
                let fields = self.node.protocol.failure_fields(&self.note.borrow().id);
                client.fail(failure.status, &fields, failure.wait).await
            }
        }
    }

    fn tell(&self, done: &Done) {
        let (status, reason) = match done {
            Done::Whole(status, ..) => (*status, "answered"),
            Done::Sent => (200, "answered"),
            Done::Broken(reason) => (0, *reason),
            Done::Fail(failure) => (failure.status, &*failure.reason),
        };
        self.log(status, reason);
    }

    fn log(&self, status: u16, reason: &str) {
        let mut note = self.note.borrow_mut();
        note.is_done = true;
        let took = self.node.clock.now().saturating_sub(self.arrived);
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
            "turned" => note.turned, "ms" => took.as_millis() as u64,
            "config" => self.node.catalog().version, "config_age_ms" => age,
            "may_have_run" => self.may_have_run.get());
    }

    fn job(&self, plan: &Plan) -> Job {
        let pieces = |stage: usize| plan.ask.piece_counts.get(stage).copied().unwrap_or(0);
        let stages = plan.route.stages.iter().enumerate();
        let needs = stages.map(|(index, stage)| Stage {
            service: stage.service.clone(),
            after: stage.after.clone(),
            bytes: stage.bytes,
            pieces: pieces(index),
        });
        Job {
            request: plan.ask.id.clone(),
            piece_key: plan.ask.piece_key.clone().unwrap_or_else(|| "".into()),
            stages: needs.collect(),
            service: plan.service.clone(),
            priority: plan.priority,
            target: plan.target,
            deadline: plan.end,
            target_latency: plan.route.target_latency,
            weight: self.node.weigh(&plan.route.name, plan.ask.tokens),
            digest: self.digest(plan),
            prompt_parts: plan.ask.prompt_parts.clone(),
            tokens: plan.ask.tokens,
            zone: self.node.options.zone.clone(),
            transferred_results: Vec::new(),
        }
    }

    /// Returns the digest of what a client would send again with another id.
    fn digest(&self, plan: &Plan) -> id::Digest {
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
    async fn within(&self, plan: &Plan, client: &mut ResponseWriter) -> Done {
        let left = plan.end.saturating_sub(self.node.clock.now());
        let begun = Cell::new(false);
        let served = {
            let mut serving = pin!(self.attempts(plan, client, &begun));
            let early = left.saturating_sub(LAST_WORD);
            let served = tokio::select! {
                biased;
                served = timeout(early, &mut serving) => served.ok(),
                () = self.node.last_call.notified() => None,
            };
            match served {
                // A stream that has begun may still be whole in time.
                None if begun.get() => timeout(left.saturating_sub(early), serving).await.ok(),
                served => served,
            }
        };
        served.unwrap_or_else(|| {
            if begun.get() {
                return Done::Broken("the time is over");
            }
            let status = if self.may_have_run.get() { 504 } else { 503 };
            Done::Fail(failure(status, "the time is over"))
        })
    }

    async fn attempts(&self, plan: &Plan, client: &mut ResponseWriter, begun: &Cell<bool>) -> Done {
        let node = &self.node;
        node.earn(&plan.service);
        let desk = if plan.is_staged {
            &node.staged
        } else {
            &node.plain
        };
        let placed = desk.plan(self.job(plan)).await;
        let mut seat = match placed {
            Ok(seat) => seat,
            Err(refusal) => return Done::Fail(refused(&refusal)),
        };
        let mut events = Events::default();
        loop {
            let tried = self.attempt(plan, &*seat, client, &mut events, begun).await;
            let (again, otherwise) = match tried {
                Tried::Done(done) => return done,
                Tried::Turned { verdict, again } => {
                    seat.ended(verdict);
                    self.may_have_run.set(client.has_begun());
                    self.note.borrow_mut().turned += 1;
                    if self.note.borrow().turned >= MAX_TURNS {
                        return self.give_up(client, "turned down again and again");
                    }
                    (again, "turned down")
                }
                Tried::Lost { verdict, reason } => {
                    seat.ended(verdict);
                    if !self.may_repeat(plan) {
                        return self.give_up(client, reason);
                    }
                    (false, reason)
                }
                Tried::Failed(done) => {
                    seat.ended(Verdict::Bad);
                    if !self.may_repeat(plan) {
                        return done;
                    }
                    (false, "the endpoint failed")
                }
            };
            if !node.spend(&plan.service) {
                return self.give_up(client, otherwise);
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
                Err(_) if self.may_have_run.get() => return self.give_up(client, otherwise),
                Err(refusal) => return Done::Fail(refused(&refusal)),
            };
        }
    }

    /// Returns whether a request that may have run can be sent once more.
    fn may_repeat(&self, plan: &Plan) -> bool {
        plan.route.kind.is_repeatable() && self.note.borrow().sent < plan.route.max_attempts
    }

    fn give_up(&self, client: &ResponseWriter, reason: &'static str) -> Done {
        if client.has_begun() {
            return Done::Broken(reason);
        }
        let status = if self.may_have_run.get() { 502 } else { 503 };
        Done::Fail(failure(status, reason))
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.node
            .active
            .set(self.node.active.get().saturating_sub(1));
        if !self.note.borrow().is_done {
            self.log(0, "the client left");
        }
    }
}

fn lost(reason: &'static str) -> Tried {
    Tried::Lost {
        verdict: Verdict::Lost,
        reason,
    }
}

fn refused(refusal: &super::plan::Refusal) -> Failure {
    Failure {
        status: 503,
        wait: Some(refusal.retry_after),
        reason: refusal.reason.clone(),
    }
}
