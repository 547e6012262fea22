//! Decides where the stages of requests run, in which order, and which endpoint gets each request.
//!
//! One daemon of a region plans for all of them, so that a call to a stage endpoint batches pieces of
//! many requests and the endpoint is never idle while pieces are queued. Planning does no I/O: events
//! and the time go in, actions come out. Two planners at once do no harm, because a piece may be
//! computed twice; they only batch less well. See [the design note](../../docs/design/fleet.md).

use std::rc::Rc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::Knowledge;
use super::catalog::Catalog;
use super::health::Verdict;
use super::pace::Ratio;
use super::quarantine::Quarantine;
use super::registry::{Endpoint, Registry};
use crate::clock::Time;
use crate::id;

mod closing;
mod emptied;
mod engine;
mod forecast;
mod hold;
mod outcome;
mod outline;
mod request;
mod room;
mod stage_endpoint;
mod stage_endpoints;
mod types;

pub use types::{
    Action, CachedPart, CallOutcome, Grant, Handle, Input, Job, PieceOutcome, PieceRequest,
    PromptPart, Refusal, Stage, Tokens, TransferredResult, suspects,
};

use engine::Engines;
use request::{PieceIndex, Request, StoredResult};
use stage_endpoints::{Call, StageEndpoints};

/// Identifies a request in this planner.
pub type JobId = u64;
/// Identifies a call to a stage endpoint.
pub type CallId = u64;

/// The most pieces that the stages of one request have, all together. Each takes some memory before it is known whether
/// the request can be served.
pub const MAX_PIECES: usize = 4_096;
/// The most prompt parts of all requests of a planner, for requests of more than a few.
const MAX_PLANNED_PARTS: usize = 256 * 1_024;
/// The number of parts up to which a request does not depend on those of others.
const FEW_PARTS: usize = 64;
/// How often the inputs of a request may be lost before it is refused.
const MAX_RESTARTS: u32 = 2;
/// How often a piece may fail at endpoints before its request is refused.
const MAX_PIECE_FAILURES: u32 = 4;
/// How much later than its target an admitted request may be expected to end, as a share of its
/// target latency. Others are refused at once, so that the client retries when there is room.
const ADMISSION_TOLERANCE: f64 = 0.0;
/// The multiple of its target latency after which a request that has started is refused. Until then
/// its results are kept, but they take room that requests on time need.
const GIVE_UP_FACTOR: f64 = 2.0;
/// The least delay after which a refused client may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// The longest delay after which a refused client may retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// The planner of one region.
pub struct Planner {
    zones: Vec<id::Zone>,
    requests: IndexMap<JobId, Request>,
    stage_endpoints: StageEndpoints,
    engines: Engines,
    /// The services whose endpoints are all in evacuated zones.
    emptied: IndexSet<id::Pool>,
    calls: IndexMap<CallId, Call>,
    next_call: CallId,
    actions: Vec<Action>,
    quarantine: Rc<Quarantine>,
    is_synced: bool,
}

impl Planner {
    /// Makes a planner for the endpoints in these availability zones, which refuses what its daemon's
    /// quarantine does and keeps the limits that it knows.
    pub fn new(zones: Vec<id::Zone>, knowledge: Knowledge) -> Self {
        let Knowledge {
            quarantine, limits, ..
        } = knowledge;
        Self {
            zones,
            requests: IndexMap::new(),
            stage_endpoints: StageEndpoints::new(limits.clone()),
            engines: Engines::new(limits),
            emptied: IndexSet::new(),
            calls: IndexMap::new(),
            next_call: 0,
            actions: Vec::new(),
            quarantine,
            is_synced: false,
        }
    }

    /// Makes a planner of one daemon alone. It leaves endpoints with a limit to planners of regions, which
    /// count for all daemons.
    pub fn alone(zones: Vec<id::Zone>, knowledge: Knowledge) -> Self {
        let mut planner = Self::new(zones, knowledge);
        planner.engines.leave_limited();
        planner
    }

    /// Updates the endpoints and the configuration of their services.
    pub fn sync(&mut self, registry: &Registry, catalog: &Catalog, now: Time) {
        let here = |endpoint: &&Endpoint| self.zones.contains(&endpoint.zone);
        let endpoints: Vec<&Endpoint> = registry.available().filter(here).collect();
        self.is_synced = catalog.version > 0 && registry.available().next().is_some();
        let replaced = self.stage_endpoints.sync(&endpoints, catalog);
        self.engines.sync(&endpoints, catalog);
        for request in self.requests.values_mut() {
            request.invalidate_outline();
            // Results do not outlive their maker, and the next life may give their handles to others.
            request.forget_results(&replaced);
        }
        self.evacuate(&endpoints, registry.evacuation());
        self.dispatch_all(now);
    }

    fn planned_parts(&self) -> usize {
        let requests = self.requests.values();
        requests.map(|request| request.job.prompt_parts.len()).sum()
    }

    /// Returns the number of requests in this planner.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether it leaves endpoints that one planner counts for to the planners of regions.
    pub fn leaves_limited(&self) -> bool {
        self.engines.leaves_limited()
    }

    /// Returns whether the planner has no requests.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the actions since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Hands over all requests without a grant to another daemon, which plans from now on: each as soon
    /// as no call runs for it, since endpoints would get calls of two planners otherwise.
    pub fn start_transfer(&mut self) {
        for request in self
            .requests
            .values_mut()
            .filter(|request| !request.is_granted)
        {
            request.is_transferring = true;
        }
        self.transfer_where(|request| {
            request.is_transferring && !request.is_granted && !request.is_running()
        });
    }

    /// Hands over all requests without a grant, since the daemon stops now.
    pub fn transfer_all(&mut self) {
        self.transfer_where(|request| !request.is_granted);
    }

    fn transfer_where(&mut self, predicate: impl Fn(&Request) -> bool) {
        let job_ids = self
            .requests
            .iter()
            .filter(|(_, request)| predicate(request));
        let job_ids: Vec<JobId> = job_ids.map(|(job_id, _)| *job_id).collect();
        for job_id in job_ids {
            self.transfer(job_id);
        }
    }

    fn transfer(&mut self, job_id: JobId) {
        let Some(request) = self.requests.shift_remove(&job_id) else {
            return;
        };
        let mut refusal = Refusal::new("the planner is leaving", MIN_RETRY_AFTER);
        refusal.is_transferred = true;
        refusal.transferred_results =
            request.transferable_results(|result| self.stage_endpoints.expires_at(result));
        self.actions.push(Action::Refuse(job_id, refusal));
    }

    /// Records the prompt parts that daemons sent to engines while another one planned.
    pub fn record_cached(&mut self, parts: &[CachedPart]) {
        self.engines.record_cached(parts);
    }

    /// Returns whether it knows endpoints and a configuration.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Admits or refuses a new request.
    pub fn submit(&mut self, job_id: JobId, job: Job, now: Time) {
        let mut zones = self.zones.iter();
        if !zones.any(|zone| job.residency.allows_zone(zone)) {
            let refusal = Refusal::new("it may not be in this region", MAX_RETRY_AFTER);
            return self.actions.push(Action::Refuse(job_id, refusal));
        }
        if job.pieces() > MAX_PIECES {
            // Daemons refuse such requests of their clients, but those of earlier versions do not.
            let refusal = Refusal::oversized();
            return self.actions.push(Action::Refuse(job_id, refusal));
        }
        if job.prompt_parts.len() > FEW_PARTS && self.planned_parts() > MAX_PLANNED_PARTS {
            let refusal = Refusal::new("no room for the parts of its prompt", MIN_RETRY_AFTER);
            return self.actions.push(Action::Refuse(job_id, refusal));
        }
        self.quarantine.update(now);
        let mut request = Request::new(job, now);
        let transferred = request.add_transferred();
        self.stage_endpoints.add_transferred(&transferred);
        request.preferred_zone = request
            .preferred_zone
            .or_else(|| self.engines.cached_zone(&request.job, now));
        request.set_engine_time(
            self.engines.least_time(&request.job, now),
            &self.stage_endpoints,
        );
        if let Some(refusal) = self.check_admission(&request, now) {
            self.actions.push(Action::Refuse(job_id, refusal));
            return;
        }
        self.requests.insert(job_id, request);
        self.advance(job_id, now);
        self.dispatch_all(now);
    }

    /// Removes a request that has ended or whose client has left, and frees its results.
    pub fn remove(&mut self, job_id: JobId, now: Time) {
        let Some(request) = self.requests.shift_remove(&job_id) else {
            return;
        };
        if let Some(reservation) = &request.reservation {
            self.engines.release(reservation, &request.job, now);
        }
        self.free(request.held_results());
        self.dispatch_all(now);
    }

    /// Records that the engine has begun to answer. With `is_final`, it needs its inputs no longer.
    pub fn started(&mut self, job_id: JobId, is_final: bool, now: Time) {
        let Some(request) = self.requests.get_mut(&job_id) else {
            return;
        };
        request.answer_began.get_or_insert(now);
        if let Some(reservation) = &mut request.reservation
            && let Some(took) = self.engines.prompt_read(reservation, &request.job, now)
        {
            let wait = took.saturating_sub(request.engine_time);
            self.stage_endpoints.record_engine_wait(wait);
        }
        if is_final {
            let held = request.release_results();
            self.free(held);
            self.dispatch_all(now);
        } else if self.reclaim_room() {
            self.dispatch_all(now);
        }
    }

    /// Records how long work takes on the VM of an endpoint at this moment, by one of its answers.
    pub fn record_pace(&mut self, endpoint: &id::Endpoint, ratio: Ratio, now: Time) {
        self.stage_endpoints.record_pace(endpoint, ratio, now);
        self.engines.record_pace(endpoint, ratio, now);
    }

    /// Records that an answer still goes on some time after it began.
    pub fn answering(&mut self, job_id: JobId, now: Time) {
        let Some(request) = self.requests.get_mut(&job_id) else {
            return;
        };
        if request.reservation.is_some() {
            request.is_watched = false;
            let Job { service, .. } = &request.job;
            self.quarantine
                .answering(&request.job.suspects(), service, now);
        }
    }

    /// Records how the granted engine ended a request, which stays here until `remove`.
    pub fn ended(&mut self, job_id: JobId, verdict: Verdict, now: Time) {
        let Some(request) = self.requests.get_mut(&job_id) else {
            return;
        };
        let Some(reservation) = request.reservation.take() else {
            return;
        };
        self.engines
            .finish(&reservation, &request.job, verdict, now);
        let (suspects, life) = (request.job.suspects(), reservation.life(&request.job));
        match verdict {
            Verdict::Crashed => self.quarantine.blame(&suspects, &life, true, now),
            Verdict::Dropped => self.quarantine.blame(&suspects, &life, false, now),
            Verdict::Good => {
                let began = request.answer_began.unwrap_or(now);
                self.quarantine.answered(suspects, life, began, now);
            }
            Verdict::Bad | Verdict::Refused | Verdict::Lost | Verdict::Unknown => {}
        }
        request.answer_began = None;
        request.is_watched = false;
        request.tried_engines.push(reservation.engine);
    }

    /// Chooses another engine for a request; with `inputs_lost`, after computing its inputs again.
    /// With a release, its stream has begun there and may go on at no other one.
    pub fn retry(
        &mut self,
        job_id: JobId,
        inputs_lost: bool,
        release: Option<id::Release>,
        now: Time,
    ) {
        let Some(request) = self.requests.get_mut(&job_id) else {
            return;
        };
        request.job.release = release.or(request.job.release.take());
        request.is_granted = false;
        if inputs_lost || request.has_freed_inputs() {
            request.restarts += u32::from(inputs_lost);
            if request.restarts > MAX_RESTARTS {
                return self.refuse(job_id, "its inputs were lost too often", now);
            }
            let held = request.reset();
            self.free(held);
        }
        self.advance(job_id, now);
        self.dispatch_all(now);
    }

    /// Refuses requests that cannot be answered in time, and repeats overdue calls.
    pub fn tick(&mut self, now: Time) {
        for call_id in self.stage_endpoints.overdue_calls(&self.calls, now) {
            let Some(call) = self.calls.get_mut(&call_id) else {
                continue;
            };
            call.is_overdue = true;
            self.stage_endpoints.stop_waiting(call_id, call, now);
            for piece in &call.pieces {
                let request = self.requests.get_mut(&piece.job_id);
                if let Some(request) = request.filter(|request| request.round == piece.round) {
                    let state = request.piece_mut(piece.index);
                    state.running = state.running.saturating_sub(1);
                }
            }
        }
        self.stage_endpoints.expire(now);
        self.refuse_quarantined(now);
        let hopeless: Vec<(JobId, &'static str)> = self
            .requests
            .iter()
            .filter_map(|(job_id, request)| {
                Some((*job_id, request.give_up_reason(&self.stage_endpoints, now)?))
            })
            .collect();
        for (job_id, reason) in hopeless {
            self.refuse(job_id, reason, now);
        }
        self.refuse_closed(now);
        self.refuse_emptied();
        self.advance_held(now);
        self.dispatch_all(now);
    }

    fn refuse(&mut self, job_id: JobId, reason: &'static str, now: Time) {
        let Some(request) = self.requests.shift_remove(&job_id) else {
            return;
        };
        let forecast = forecast::forecast(
            &Request::new(request.job.clone(), now),
            &self.requests,
            &self.stage_endpoints,
            now,
        );
        let wait = forecast.map_or(MAX_RETRY_AFTER, |forecast| forecast.wait);
        self.free(request.held_results());
        let refusal = Refusal::new(reason, wait);
        self.actions.push(Action::Refuse(job_id, refusal));
    }

    fn free(&mut self, results: Vec<StoredResult>) {
        self.actions.extend(self.stage_endpoints.free(results));
    }

    /// Grants a request whose stages are all done, or hands over one that is being transferred.
    fn advance(&mut self, job_id: JobId, now: Time) {
        let Some(request) = self.requests.get_mut(&job_id) else {
            return;
        };
        if request.is_transferring
            && !request.is_granted
            && !request.is_ready()
            && !request.is_running()
        {
            return self.transfer(job_id);
        }
        let is_granted = request.is_granted;
        if !is_granted && let Some(remaining) = self.refused_for(job_id, now) {
            return self.refuse_with(job_id, Refusal::quarantined(remaining));
        }
        let Some(request) = self.requests.get_mut(&job_id) else {
            return;
        };
        let spent = request.release_spent_results();
        let is_due = request.reservation.is_none() && !request.is_granted && request.is_ready();
        if is_due && !self.is_held(job_id, now) {
            self.grant(job_id, now);
        }
        self.free(spent);
    }

    fn grant(&mut self, job_id: JobId, now: Time) {
        let Some(request) = self.requests.get_mut(&job_id) else {
            return;
        };
        let Some(reservation) = self.engines.reserve(request, now) else {
            if self.engines.is_limited(request, now) {
                // It is granted when a limit allows it, or refused when that is too late.
                return;
            }
            return self.refuse(job_id, "no endpoint has room", now);
        };
        request.is_watched = self.quarantine.is_suspect(&request.job.suspects());
        let grant = Grant {
            endpoint: reservation.engine.clone(),
            address: reservation.address,
            release: Some(reservation.release.clone()),
            is_watched: request.is_watched,
            fetch_from: reservation.fetch_from,
            limit: self.engines.limit(&reservation.engine),
            inputs: request.inputs(),
        };
        request.reservation = Some(reservation);
        request.is_granted = true;
        self.actions.push(Action::Grant(job_id, grant));
    }

    /// Starts calls at all idle endpoints for which pieces are queued.
    fn dispatch_all(&mut self, now: Time) {
        self.reclaim_room();
        self.stage_endpoints.update_limits(now);
        let idle = self.stage_endpoints.idle_services(now);
        if idle.is_empty() {
            return;
        }
        let queue = forecast::queue(&self.requests, &idle, &self.stage_endpoints, now);
        for (service, pieces) in queue {
            self.dispatch(&service, pieces, now);
        }
    }

    fn dispatch(&mut self, service: &id::Pool, mut queue: Vec<forecast::QueuedPiece>, now: Time) {
        while !queue.is_empty() {
            let Some(assignment) = self.stage_endpoints.assign(service, &queue, now) else {
                return;
            };
            let call_id = self.next_call;
            self.next_call += 1;
            let assigned: Vec<forecast::QueuedPiece> = assignment
                .indexes
                .iter()
                .map(|index| queue[*index].clone())
                .collect();
            let requests = assigned
                .iter()
                .map(|queued| self.piece_request(queued, now))
                .collect();
            let pieces = assigned.iter().map(|queued| queued.piece.clone()).collect();
            for queued in &assigned {
                if let Some(request) = self.requests.get_mut(&queued.piece.job_id) {
                    request.piece_mut(queued.piece.index).running += 1;
                    request.has_started = true;
                    // Computing its other results in the same zone saves transfers.
                    request
                        .preferred_zone
                        .get_or_insert_with(|| assignment.zone.clone());
                }
            }
            let started =
                self.stage_endpoints
                    .start_call(call_id, &assignment, pieces, requests, now);
            if let Some((call, action)) = started {
                self.calls.insert(call_id, call);
                self.actions.push(action);
            }
            let mut is_queued = vec![true; queue.len()];
            for index in assignment.indexes {
                is_queued[index] = false;
            }
            let mut is_queued = is_queued.into_iter();
            queue.retain(|_| is_queued.next().unwrap_or(true));
        }
    }

    fn piece_request(&self, queued: &forecast::QueuedPiece, now: Time) -> PieceRequest {
        let request = &self.requests[&queued.piece.job_id];
        let PieceIndex { stage, piece } = queued.piece.index;
        let after = &request.job.stages[stage].after;
        let source = if after.is_empty() {
            Input::Key(request.job.piece_key.clone())
        } else {
            Input::Handles(request.results_of(after))
        };
        PieceRequest {
            request: request.job.request.clone(),
            stage,
            piece,
            remaining: request.job.deadline.saturating_sub(now),
            source,
            residency: request.job.residency.clone(),
        }
    }

    /// Returns why a request is not admitted, if so.
    fn check_admission(&self, request: &Request, now: Time) -> Option<Refusal> {
        if let Some(remaining) = self.quarantine.refusal(&request.job.suspects(), now) {
            return Some(Refusal::quarantined(remaining));
        }
        if self.needs_emptied(request) {
            return Some(Refusal::emptied());
        }
        if request.job.release.is_some() && !self.engines.has_engine(&request.job) {
            let reason = "no endpoint has the software version of its stream";
            return Some(Refusal::new(reason, MIN_RETRY_AFTER));
        }
        if let Some(remaining) = self.closed_for(request, now) {
            return Some(Refusal::closed(&request.job.request, remaining));
        }
        if let Some(refusal) = self.limit_refusal(request, now) {
            return Some(refusal);
        }
        if request.has_started {
            // Another planner has admitted it.
            return None;
        }
        let forecast = forecast::forecast(request, &self.requests, &self.stage_endpoints, now)?;
        let limit = request.span().mul_f64(1.0 + ADMISSION_TOLERANCE);
        let left = request.job.deadline.saturating_sub(now);
        if forecast.total <= limit.min(left) {
            return None;
        }
        let reason = format!(
            "the stages are expected to end too late: {} ms of {} ms, {} ms of them in queues",
            forecast.total.as_millis(),
            limit.min(left).as_millis(),
            forecast.wait.as_millis()
        );
        Some(Refusal::new(reason, forecast.wait))
    }
}

#[cfg(test)]
mod tests;
