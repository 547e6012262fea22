//! Decides where the stages of requests run, in which order, and which endpoint gets each request.
//!
//! One daemon of a region plans for all of them, so that a call to a stage's endpoint gathers pieces
//! of many requests and the endpoint never waits while there are any. Planning does no I/O: events
//! and the time go in, actions come out. Two planners at once do no harm, because a piece may be
//! made again; they only fill calls less well. See [the design note](../../docs/design/fleet.md).

use std::time::Duration;

use indexmap::IndexMap;

use super::catalog::Catalog;
use super::health::Verdict;
use super::registry::{Endpoint, Registry};
use crate::clock::Time;
use crate::id;
use crate::quarantine::table::{Event, Limit, Status as Standing, Table};

mod engine;
mod forecast;
mod outcome;
mod request;
mod stage_endpoint;
mod stage_endpoints;
mod types;

pub use types::{
    Action, CachedPart, CallOutcome, Grant, Handle, Input, Job, PieceOutcome, PieceRequest,
    PromptPart, Refusal, Stage, Tokens, TransferredResult,
};

use engine::Engines;
use request::{Made, Place, Work};
use stage_endpoints::{Call, Makers};

/// A request that is being planned.
pub type Ticket = u64;
/// A call to an endpoint of a stage.
pub type CallId = u64;

/// When content is refused: two planners that learn apart let four endpoints crash, one more than the
/// operators' rule counts from. Clients come back with it for about a minute.
const CRASHES: Limit = Limit {
    endpoints: 2,
    refusal: Duration::from_secs(120),
};
/// Times that a job's inputs may vanish before it is given up.
const MAX_RESTARTS: u32 = 2;
/// Times that one piece may fail at endpoints before its request is given up.
const MAX_TRIES: u32 = 4;
/// How much later than its target a request may be expected to end when it is let in. Beyond it, a
/// refusal at once lets the client come back when there is room.
const TOLERANCE: f64 = 0.0;
/// Spans after which a request that has begun is given up: until then its results are kept, but they
/// take room that requests on time need.
const LATE_SPANS: f64 = 2.0;
/// The least time for which a refused client is asked to wait.
const MIN_WAIT: Duration = Duration::from_millis(250);
/// The longest time for which a refused client is asked to wait.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// The planner of one region.
pub struct Planner {
    region: Vec<id::Zone>,
    works: IndexMap<Ticket, Work>,
    makers: Makers,
    engines: Engines,
    calls: IndexMap<CallId, Call>,
    next_call: CallId,
    actions: Vec<Action>,
    /// Content that crashes the endpoints that run it.
    crashes: Table,
    is_informed: bool,
}

impl Planner {
    /// Makes a planner for the endpoints of these availability zones.
    pub fn new(region: Vec<id::Zone>) -> Self {
        let mut crashes = Table::default();
        crashes.set_limit(CRASHES);
        Self {
            region,
            works: IndexMap::new(),
            makers: Makers::default(),
            engines: Engines::default(),
            calls: IndexMap::new(),
            next_call: 0,
            actions: Vec::new(),
            crashes,
            is_informed: false,
        }
    }

    /// Takes in which endpoints there are and how they are made.
    pub fn sync(&mut self, fleet: &Registry, catalog: &Catalog, now: Time) {
        let here = |endpoint: &&Endpoint| self.region.contains(&endpoint.zone);
        let endpoints: Vec<&Endpoint> = fleet.available().filter(here).collect();
        self.is_informed = catalog.version > 0 && fleet.available().next().is_some();
        self.makers.sync(&endpoints, catalog);
        self.engines.sync(&endpoints, catalog);
        self.dispatch_all(now);
    }

    /// Returns the number of requests that are planned now.
    pub fn len(&self) -> usize {
        self.works.len()
    }

    /// Returns whether no request is planned.
    pub fn is_empty(&self) -> bool {
        self.works.is_empty()
    }

    /// Takes what is to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Another daemon plans from now on: it takes over what is not granted, each request as soon as
    /// no call works on it any more. Endpoints would meet calls of two planners otherwise.
    pub fn resign(&mut self) {
        for work in self.works.values_mut().filter(|work| !work.is_granted) {
            work.is_moving = true;
        }
        self.hand_over_all(|work| work.is_moving && !work.is_granted && !work.is_running());
    }

    /// The daemon stops now: what is not granted goes to another planner.
    pub fn transfer_all(&mut self) {
        self.hand_over_all(|work| !work.is_granted);
    }

    fn hand_over_all(&mut self, which: impl Fn(&Work) -> bool) {
        let chosen = self.works.iter().filter(|(_, work)| which(work));
        let chosen: Vec<Ticket> = chosen.map(|(ticket, _)| *ticket).collect();
        for ticket in chosen {
            self.hand_over(ticket);
        }
    }

    fn hand_over(&mut self, ticket: Ticket) {
        let Some(work) = self.works.shift_remove(&ticket) else {
            return;
        };
        let mut refusal = Refusal::new("the planner is leaving", MIN_WAIT);
        refusal.is_transferred = true;
        refusal.transferred_results = work.give(|made| self.makers.holds_until(made));
        self.actions.push(Action::Refuse(ticket, refusal));
    }

    /// Takes in what daemons have sent to engines while another one planned.
    pub fn record_cached(&mut self, uses: &[CachedPart]) {
        self.engines.recall(uses);
    }

    /// Returns whether it knows of endpoints and how they are made.
    pub fn is_synced(&self) -> bool {
        self.is_informed
    }

    /// A request has come.
    pub fn submit(&mut self, ticket: Ticket, job: Job, now: Time) {
        let mut work = Work::new(job, now);
        let given = work.adopt();
        self.makers.adopt(&given);
        work.home = work.home.or_else(|| self.engines.home(&work.job, now));
        if let Some(refusal) = self.judge(&work, now) {
            self.actions.push(Action::Refuse(ticket, refusal));
            return;
        }
        self.works.insert(ticket, work);
        self.advance(ticket, now);
        self.dispatch_all(now);
    }

    /// The request is over, or its client has left: what is held for it is freed.
    pub fn remove(&mut self, ticket: Ticket, now: Time) {
        let Some(work) = self.works.shift_remove(&ticket) else {
            return;
        };
        if let Some(lease) = &work.lease {
            self.engines.release(lease);
        }
        self.free(work.held());
        self.dispatch_all(now);
    }

    /// The endpoint has begun to answer: it has fetched its inputs and read the prompt.
    pub fn started(&mut self, ticket: Ticket, is_final: bool, now: Time) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        if let Some(lease) = &mut work.lease
            && let Some(took) = self.engines.started(lease, now)
        {
            self.makers.note_answer(took);
        }
        if is_final {
            let held = work.take_held();
            self.free(held);
            self.dispatch_all(now);
        }
    }

    /// The endpoint that was granted ended a request so; the ticket stays until `leave`.
    pub fn ended(&mut self, ticket: Ticket, verdict: Verdict, now: Time) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        let Some(lease) = work.lease.take() else {
            return;
        };
        self.engines.end(&lease, verdict, now);
        let endpoint = (verdict == Verdict::Crashed).then(|| lease.engine.clone());
        if endpoint.is_some() || verdict == Verdict::Good {
            let digest = work.job.digest.clone();
            let at = now;
            self.crashes.apply(
                &Event {
                    digest,
                    endpoint,
                    at,
                },
                now,
            );
        }
        work.tried.push(lease.engine);
    }

    /// The endpoint did not run the request: another one is chosen. With `again`, the inputs are
    /// gone and are made anew.
    pub fn retry(&mut self, ticket: Ticket, again: bool, now: Time) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        work.is_granted = false;
        if again {
            work.restarts += 1;
            if work.restarts > MAX_RESTARTS {
                return self.refuse(ticket, "inputs vanished again and again", now);
            }
            let held = work.reset();
            self.free(held);
        }
        self.advance(ticket, now);
        self.dispatch_all(now);
    }

    /// Gives up requests whose time is over, and calls that take too long.
    pub fn tick(&mut self, now: Time) {
        for number in self.makers.overdue(&self.calls, now) {
            let Some(call) = self.calls.get_mut(&number) else {
                continue;
            };
            call.is_overdue = true;
            self.makers.pass_over(number, call, now);
            for piece in &call.pieces {
                let work = self.works.get_mut(&piece.ticket);
                if let Some(work) = work.filter(|work| work.round == piece.round) {
                    let place = work.place(piece.at);
                    place.running = place.running.saturating_sub(1);
                }
            }
        }
        self.makers.expire(now);
        let over: Vec<(Ticket, &'static str)> = self
            .works
            .iter()
            .filter_map(|(ticket, work)| Some((*ticket, work.hopeless(&self.makers, now)?)))
            .collect();
        for (ticket, reason) in over {
            self.refuse(ticket, reason, now);
        }
        self.dispatch_all(now);
    }

    fn refuse(&mut self, ticket: Ticket, reason: &'static str, now: Time) {
        let Some(work) = self.works.shift_remove(&ticket) else {
            return;
        };
        let queued = forecast::forecast(
            &Work::new(work.job.clone(), now),
            &self.works,
            &self.makers,
            now,
        );
        let wait = queued.map_or(MAX_WAIT, |forecast| forecast.wait);
        self.free(work.held());
        let refusal = Refusal::new(reason, wait);
        self.actions.push(Action::Refuse(ticket, refusal));
    }

    fn free(&mut self, results: Vec<Made>) {
        self.actions.extend(self.makers.free(results));
    }

    /// Grants a request whose stages are all done.
    fn advance(&mut self, ticket: Ticket, now: Time) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        if work.is_moving && !work.is_granted && !work.is_ready() && !work.is_running() {
            return self.hand_over(ticket);
        }
        let spent = work.take_spent();
        if work.lease.is_none() && !work.is_granted && work.is_ready() {
            match self.engines.choose(work, now) {
                Some(lease) => {
                    let grant = Grant {
                        endpoint: lease.engine.clone(),
                        address: lease.address,
                        inputs: work.inputs(),
                    };
                    work.lease = Some(lease);
                    work.is_granted = true;
                    self.actions.push(Action::Grant(ticket, grant));
                }
                None => self.refuse(ticket, "no endpoint has room", now),
            }
        }
        self.free(spent);
    }

    /// Sends calls to all endpoints that can take one.
    fn dispatch_all(&mut self, now: Time) {
        let queue = forecast::queue(&self.works, &self.makers, now);
        for (pool, waiting) in queue {
            self.dispatch(&pool, waiting, now);
        }
    }

    fn dispatch(&mut self, pool: &id::Pool, mut waiting: Vec<forecast::Waiting>, now: Time) {
        while !waiting.is_empty() {
            let Some(batch) = self.makers.pick(pool, &waiting, now) else {
                return;
            };
            let number = self.next_call;
            self.next_call += 1;
            let taken: Vec<forecast::Waiting> = batch
                .indexes
                .iter()
                .map(|index| waiting[*index].clone())
                .collect();
            let entries = taken.iter().map(|one| self.entry(one, now)).collect();
            let pieces = taken.iter().map(|one| one.piece.clone()).collect();
            for one in &taken {
                if let Some(work) = self.works.get_mut(&one.piece.ticket) {
                    work.place(one.piece.at).running += 1;
                    work.has_begun = true;
                    // Its other results are best made beside the first ones.
                    work.home.get_or_insert_with(|| batch.zone.clone());
                }
            }
            let begun = self.makers.begin(number, &batch, pieces, entries, now);
            if let Some((call, action)) = begun {
                self.calls.insert(number, call);
                self.actions.push(action);
            }
            let mut index = 0;
            waiting.retain(|_| {
                index += 1;
                !batch.indexes.contains(&(index - 1))
            });
        }
    }

    fn entry(&self, one: &forecast::Waiting, now: Time) -> PieceRequest {
        let work = &self.works[&one.piece.ticket];
        let Place { stage, piece } = one.piece.at;
        let after = &work.job.stages[stage].after;
        let source = if after.is_empty() {
            Input::Key(work.job.piece_key.clone())
        } else {
            Input::Handles(work.results_of(after))
        };
        PieceRequest {
            request: work.job.request.clone(),
            stage,
            piece,
            remaining: work.job.deadline.saturating_sub(now),
            source,
        }
    }

    /// Decides whether a request is let in.
    fn judge(&self, work: &Work, now: Time) -> Option<Refusal> {
        if let Standing::Refused(until) = self.crashes.status(&work.job.digest, now) {
            let reason = "its content crashes the endpoints that run it";
            return Some(Refusal::new(reason, until.saturating_sub(now)));
        }
        if work.has_begun {
            // Another planner has let it in.
            return None;
        }
        let forecast = forecast::forecast(work, &self.works, &self.makers, now)?;
        let span = work.job.target_latency.mul_f64(1.0 + TOLERANCE);
        let left = work.job.deadline.saturating_sub(now);
        if forecast.total <= span.min(left) {
            return None;
        }
        let reason = format!(
            "the stages are expected to end too late: {} ms of {} ms, {} ms of them in queues",
            forecast.total.as_millis(),
            span.min(left).as_millis(),
            forecast.wait.as_millis()
        );
        Some(Refusal::new(reason, forecast.wait))
    }
}

#[cfg(test)]
mod tests;
