//! The endpoints of stage services: which one gets the next call, and which results it holds.

use std::rc::Rc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::forecast::QueuedPiece;
use super::request::{Piece, StoredResult};
use super::stage_endpoint::{Allocation, SLOW_FACTOR, StageEndpoint};
use super::{Action, CallId, CallOutcome, Handle, PieceOutcome, PieceRequest, TransferredResult};
use crate::clock::Time;
use crate::id;
use crate::serve::catalog::{self, Catalog};
use crate::serve::evacuation::Evacuation;
use crate::serve::health::Verdict;
use crate::serve::pace::Ratio;
use crate::serve::rate::Limits;
use crate::serve::registry::Endpoint;

/// A call is overdue after this multiple of its expected time, and its pieces are queued again. Piece
/// times vary with the stage, so a lower factor would repeat healthy calls.
const OVERDUE_FACTOR: f64 = 1.8;
/// Added to the time after which a call is overdue, for network delay and a busy daemon.
const OVERDUE_SLACK: Duration = Duration::from_millis(150);
/// The timeout of a call, as a multiple of its expected time.
const TIMEOUT_FACTOR: u32 = 8;
/// How long an endpoint that refused a call gets no other one.
const REFUSED_PAUSE: Duration = Duration::from_millis(60);
/// How long an endpoint that reported no room is assumed to be filled by results that this planner
/// does not know. Another planner may have requested them, and frees them within about a second.
const FOREIGN_RESULT_TIME: Duration = Duration::from_millis(700);
/// How long a piece with enough slack waits for an endpoint in its preferred zone: about half a call.
/// A result that crosses zones costs about a twentieth of a request.
const PREFERRED_ZONE_WAIT: Duration = Duration::from_millis(100);
/// The least slack with which a piece waits for its preferred zone: two calls, since the stages after
/// it may wait too.
const PREFERRED_ZONE_SLACK: Duration = Duration::from_millis(400);
/// Consecutive overdue calls after which an endpoint is considered down.
const MAX_OVERDUE_CALLS: u32 = 2;
/// How long requests are expected to wait for other prompts at engines until that is measured.
const INITIAL_ENGINE_WAIT: Duration = Duration::from_millis(50);
/// The weight of a new sample in the moving average of that wait.
const SMOOTHING: f64 = 0.1;

/// The share of its room above which an endpoint's results of begun answers are freed.
const SCARCE_ROOM_SHARE: f64 = 0.5;

/// A call that has not ended yet.
pub struct Call {
    pub endpoint: id::Endpoint,
    pub zone: id::Zone,
    pub pieces: Vec<Piece>,
    /// Whether it took too long, so that its pieces were queued again.
    pub is_overdue: bool,
    pub started_at: Time,
    /// Bytes that were known to be held at the endpoint when it began, with its own results.
    used_bytes: u64,
    /// Its duration at an endpoint in good health whose VM works as usual.
    pub usual: Duration,
    /// The same at the pace of the VM when it began.
    pub expected: Duration,
}

/// An endpoint and the pieces of its next call.
pub struct Assignment {
    endpoint: id::Endpoint,
    pub zone: id::Zone,
    /// The indexes of the pieces in the queue.
    pub indexes: Vec<usize>,
}

/// All endpoints of stage services.
pub struct StageEndpoints {
    limits: Rc<Limits>,
    services: IndexMap<id::Pool, catalog::Batch>,
    endpoints: IndexMap<id::Endpoint, StageEndpoint>,
    engine_wait: Duration,
}

impl StageEndpoints {
    /// Makes a list without endpoints.
    pub fn new(limits: Rc<Limits>) -> Self {
        Self {
            limits,
            services: IndexMap::new(),
            endpoints: IndexMap::new(),
            engine_wait: INITIAL_ENGINE_WAIT,
        }
    }

    /// Updates from when on the limits of endpoints allow a call.
    pub fn update_limits(&mut self, now: Time) {
        for (id, endpoint) in &mut self.endpoints {
            let wait = endpoint.bucket.wait(self.limits.get(id), now);
            let cold_wait = self.limits.cold().wait(id, now);
            endpoint.is_cold = self.limits.cold().is_cold(id, now);
            endpoint.limited_until = now + wait.max(cold_wait);
        }
    }

    /// Updates the endpoints and their configuration; returns those of which another life is listed than before.
    pub fn sync(&mut self, endpoints: &[&Endpoint], catalog: &Catalog) -> IndexSet<id::Endpoint> {
        let batches = catalog.services.iter();
        let batches =
            batches.filter_map(|(name, service)| Some((name.clone(), service.batch.clone()?)));
        self.services = batches.collect();
        let listed: IndexSet<&id::Endpoint> =
            endpoints.iter().map(|endpoint| &endpoint.id).collect();
        self.endpoints.retain(|id, _| listed.contains(id));
        let mut replaced = IndexSet::new();
        for endpoint in endpoints {
            if !self.services.contains_key(&endpoint.service) {
                continue;
            }
            let same = |known: &StageEndpoint| {
                known.born == endpoint.born
                    && known.address == endpoint.address
                    && known.service == endpoint.service
            };
            if !self.endpoints.get(&endpoint.id).is_some_and(same) {
                let before = self
                    .endpoints
                    .insert(endpoint.id.clone(), StageEndpoint::new(endpoint));
                if before.is_some_and(|before| before.born != endpoint.born) {
                    replaced.insert(endpoint.id.clone());
                }
            }
        }
        replaced
    }

    /// Records which zones are evacuated.
    pub fn evacuate(&mut self, evacuation: &Evacuation) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_evacuated = evacuation.covers(&endpoint.zone);
        }
    }

    /// Returns whether an endpoint is in an evacuated zone.
    pub fn is_evacuated(&self, id: &id::Endpoint) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|endpoint| endpoint.is_evacuated)
    }

    /// Returns the time of one call for some pieces of a service, or for as many of them as it takes.
    pub fn call_time(&self, service: &id::Pool, pieces: usize) -> Duration {
        let Some(batch) = self.services.get(service).filter(|_| pieces > 0) else {
            return Duration::ZERO;
        };
        batch.call_time + batch.piece_time * count(pieces.min(batch.max_pieces))
    }

    /// Returns the least time that a service needs for some pieces: that of the calls that one of its endpoints has to
    /// run, if they are shared out evenly.
    pub fn min_time(&self, service: &id::Pool, pieces: usize) -> Duration {
        let max_pieces = self.services.get(service).map(|batch| batch.max_pieces);
        let Some(max_pieces) = max_pieces.filter(|max_pieces| pieces > *max_pieces) else {
            return self.call_time(service, pieces);
        };
        let endpoints = self.endpoints.values();
        let endpoints = endpoints
            .filter(|endpoint| endpoint.service == *service && !endpoint.is_evacuated)
            .count()
            .max(1);
        let in_a_round = max_pieces.max(1) * endpoints;
        let rounds = pieces.div_ceil(in_a_round);
        let in_last = pieces - (rounds - 1) * in_a_round;
        self.call_time(service, max_pieces) * count(rounds - 1)
            + self.call_time(service, in_last.min(max_pieces))
    }

    /// Returns the time that some pieces of a service take, without the fixed time of calls.
    pub fn piece_time(&self, service: &id::Pool, pieces: usize) -> Duration {
        let piece_time = self.services.get(service).map(|batch| batch.piece_time);
        piece_time.unwrap_or_default() * count(pieces)
    }

    /// Returns how long requests wait for other prompts at their engines.
    pub fn engine_wait(&self) -> Duration {
        self.engine_wait
    }

    /// Records how long a request waited for other prompts at its engine.
    pub fn record_engine_wait(&mut self, wait: Duration) {
        self.engine_wait = self.engine_wait.mul_f64(1.0 - SMOOTHING) + wait.mul_f64(SMOOTHING);
    }

    /// Records that an endpoint takes nothing until then, or in its life if it is leaving.
    pub fn close(&mut self, id: &id::Endpoint, until: Option<Time>) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let until = until.unwrap_or(Time::MAX);
            endpoint.closed_until = until.max(endpoint.closed_until);
        }
    }

    /// Returns whether an endpoint is closed.
    pub fn has_closed(&self, now: Time) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|endpoint| now < endpoint.closed_until)
    }

    /// Returns how long all endpoints of a service in zones in use are closed, unless one is open; the time is none when
    /// all of them are leaving.
    pub fn closed_for(&self, service: &id::Pool, now: Time) -> Option<Option<Duration>> {
        let endpoints = self.endpoints.values();
        let endpoints =
            endpoints.filter(|endpoint| endpoint.service == *service && !endpoint.is_evacuated);
        let opens = endpoints.map(|endpoint| endpoint.closed_until).min()?;
        let remaining = (opens < Time::MAX).then(|| opens.saturating_sub(now));
        (opens > now).then_some(remaining)
    }

    /// Returns how long a piece waits behind others; none when no endpoint can take it.
    pub fn queue_time(&self, service: &id::Pool, ahead: usize, now: Time) -> Option<Duration> {
        let batch = self.services.get(service)?;
        let is_usable =
            |endpoint: &&StageEndpoint| endpoint.service == *service && endpoint.is_usable(now);
        let endpoints: Vec<&StageEndpoint> = self.endpoints.values().filter(is_usable).collect();
        let endpoint_count = count(endpoints.len());
        if endpoint_count == 0 {
            return None;
        }
        let full_call = batch.full_time();
        let speed = |(id, endpoint): (&id::Endpoint, &StageEndpoint)| {
            let limit = self.limits.get(id).unwrap_or(f64::MAX);
            let limit = limit.min(self.limits.cold().rate(id, now).unwrap_or(f64::MAX));
            // At its limit an endpoint is idle between calls.
            let busy = (limit * full_call.as_secs_f64()).min(1.0);
            busy / endpoint.slowness(batch, now)
        };
        let usable = self.endpoints.iter();
        let usable = usable.filter(|(_, endpoint)| is_usable(endpoint));
        let speed: f64 = usable.map(speed).sum();
        let left = |endpoint: &&StageEndpoint| {
            let running = match endpoint.running_call {
                Some(_) => endpoint.call_end.saturating_sub(now),
                None => Duration::ZERO,
            };
            running.max(endpoint.limited_until.saturating_sub(now))
        };
        let soonest = endpoints.iter().map(left).min().unwrap_or_default();
        let mean = endpoints.iter().map(left).sum::<Duration>() / endpoint_count;
        let calls = count(ahead / batch.max_pieces.max(1));
        let queued = batch.call_time * calls + batch.piece_time * count(ahead);
        let queued = queued.div_f64(speed.max(0.1));
        Some(if calls == 0 { soonest } else { mean + queued })
    }

    /// Returns the services with an endpoint that may get a call now.
    pub fn idle_services(&self, now: Time) -> IndexSet<id::Pool> {
        let idle = self.endpoints.values();
        let idle = idle.filter(|endpoint| endpoint.is_usable(now) && endpoint.is_idle(now));
        idle.map(|endpoint| endpoint.service.clone()).collect()
    }

    /// Chooses an idle endpoint and the pieces of its next call.
    pub fn assign(
        &self,
        service: &id::Pool,
        queue: &[QueuedPiece],
        now: Time,
    ) -> Option<Assignment> {
        let batch = self.services.get(service)?;
        let first = queue.first()?;
        let is_usable =
            |endpoint: &&StageEndpoint| endpoint.service == *service && endpoint.is_usable(now);
        let usable = self.endpoints.values().filter(is_usable);
        let has_fast = usable
            .into_iter()
            .any(|endpoint| endpoint.slowness(batch, now) < SLOW_FACTOR);
        let mut endpoints: Vec<(&id::Endpoint, &StageEndpoint)> = self.endpoints.iter().collect();
        endpoints.retain(|(_, endpoint)| is_usable(endpoint) && endpoint.is_idle(now));
        let rooms = self.rooms_soon(batch, service, now);
        endpoints.sort_by(|a, b| {
            let key = |(id, endpoint): &(&id::Endpoint, &StageEndpoint)| {
                // Only an answer tells that a limit has ended.
                let asked = if self.limits.is_unsure(id, now) {
                    0.5
                } else {
                    0.0
                };
                let preferred = first.preferred_zone.as_ref().unwrap_or(&endpoint.zone);
                let zone_cost = if endpoint.zone == *preferred {
                    0.0
                } else {
                    0.1
                };
                endpoint.slowness(batch, now) + endpoint.health.failure_rate(now) + zone_cost
                    - asked
            };
            key(a).total_cmp(&key(b))
        });
        endpoints.into_iter().find_map(|(id, endpoint)| {
            let should_wait = |queued: &QueuedPiece| {
                let room = queued.preferred_zone.as_ref();
                let room = room.and_then(|zone| rooms.get(zone));
                queued.slack >= PREFERRED_ZONE_SLACK
                    && room.is_some_and(|room| queued.piece.bytes <= *room)
            };
            let is_slow = has_fast && self.is_slow(id, endpoint, batch, now);
            let indexes = endpoint.select_pieces(batch, queue, is_slow, should_wait, now);
            (!indexes.is_empty()).then(|| Assignment {
                endpoint: id.clone(),
                zone: endpoint.zone.clone(),
                indexes,
            })
        })
    }

    /// Returns whether an endpoint is so slow that pieces without slack wait for another one. For one whose VM is
    /// slow at this moment, they do only if another one is expected to end a call earlier.
    fn is_slow(
        &self,
        id: &id::Endpoint,
        endpoint: &StageEndpoint,
        batch: &catalog::Batch,
        now: Time,
    ) -> bool {
        if endpoint.health.slowness(now) >= SLOW_FACTOR {
            return true;
        }
        if endpoint.slowness(batch, now) < SLOW_FACTOR {
            return false;
        }
        let usual = batch.full_time();
        let end = now + endpoint.duration(usual, now);
        let others = self.endpoints.iter();
        let mut others = others.filter(|(other, another)| {
            *other != id && another.service == endpoint.service && another.is_usable(now)
        });
        others.any(|(_, other)| {
            let start = other.available_at().max(now);
            start + other.duration(usual, start) < end
        })
    }

    /// Returns the most room for results at an endpoint of each zone that can take a piece soon.
    fn rooms_soon(
        &self,
        batch: &catalog::Batch,
        service: &id::Pool,
        now: Time,
    ) -> IndexMap<id::Zone, u64> {
        let can_take_soon = |endpoint: &&StageEndpoint| {
            endpoint.service == *service
                && endpoint.is_usable(now)
                && endpoint.available_at() <= now + PREFERRED_ZONE_WAIT
                && endpoint.slowness(batch, now) < SLOW_FACTOR
        };
        let mut rooms: IndexMap<id::Zone, u64> = IndexMap::new();
        for endpoint in self.endpoints.values().filter(can_take_soon) {
            if let Some(free) = batch.capacity_bytes.checked_sub(endpoint.used_bytes) {
                let room = rooms.entry(endpoint.zone.clone()).or_default();
                *room = free.max(*room);
            }
        }
        rooms
    }

    /// Starts a call.
    pub fn start_call(
        &mut self,
        call_id: CallId,
        assignment: &Assignment,
        pieces: Vec<Piece>,
        requests: Vec<PieceRequest>,
        now: Time,
    ) -> Option<(Call, Action)> {
        let endpoint = self.endpoints.get_mut(&assignment.endpoint)?;
        let batch = self.services.get(&endpoint.service)?;
        let base_time = batch.call_time + batch.piece_time * count(pieces.len());
        let expected = endpoint.duration(base_time, now);
        endpoint.running_call = Some(call_id);
        endpoint.bucket.take();
        self.limits.cold().granted(&assignment.endpoint, now);
        let limit = self.limits.get(&assignment.endpoint);
        let cold_wait = self.limits.cold().wait(&assignment.endpoint, now);
        endpoint.limited_until = now + endpoint.bucket.wait(limit, now).max(cold_wait);
        endpoint.call_end = now + expected;
        endpoint.health.call_started(now);
        endpoint.used_bytes += pieces.iter().map(|piece| piece.bytes).sum::<u64>();
        let action = Action::Call {
            call: call_id,
            endpoint: assignment.endpoint.clone(),
            address: endpoint.address,
            timeout: expected * TIMEOUT_FACTOR,
            pieces: requests,
        };
        let call = Call {
            endpoint: assignment.endpoint.clone(),
            zone: endpoint.zone.clone(),
            pieces,
            is_overdue: false,
            started_at: now,
            used_bytes: endpoint.used_bytes,
            usual: base_time,
            expected: endpoint.pace.duration(base_time, now),
        };
        Some((call, action))
    }

    /// Records how long work takes on the VM of an endpoint at this moment.
    pub fn record_pace(&mut self, id: &id::Endpoint, ratio: Ratio, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.pace.record(ratio, now);
        }
    }

    /// Records the end of a call.
    pub fn finish_call(&mut self, call_id: CallId, call: &Call, outcome: &CallOutcome, now: Time) {
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else {
            return;
        };
        if endpoint.running_call == Some(call_id) {
            endpoint.running_call = None;
        }
        let batch = self.services.get(&endpoint.service);
        let expires_at = now + batch.map_or(Duration::ZERO, |batch| batch.retention);
        let capacity = batch.map_or(0, |batch| batch.capacity_bytes);
        match outcome {
            CallOutcome::Answered(outcomes) => {
                endpoint.record_duration(call, now);
                endpoint.overdue_calls = 0;
                let has_success = outcomes.iter().any(|one| *one != PieceOutcome::Error);
                let verdict = if has_success {
                    Verdict::Good
                } else {
                    Verdict::Bad
                };
                endpoint.health.call_ended(verdict, now);
                for (piece, outcome) in call.pieces.iter().zip(outcomes) {
                    endpoint.record_outcome(piece, outcome, expires_at);
                }
                let without_room = call.pieces.iter().zip(outcomes);
                let without_room =
                    without_room.filter(|(_, outcome)| **outcome == PieceOutcome::NoRoom);
                let missing_bytes: u64 = without_room.map(|(piece, _)| piece.bytes).sum();
                if missing_bytes > 0 {
                    let known = call.used_bytes.saturating_sub(missing_bytes);
                    let bytes = capacity.saturating_sub(known);
                    let expires_at = now + FOREIGN_RESULT_TIME;
                    endpoint.foreign_results = Some(Allocation { bytes, expires_at });
                }
            }
            CallOutcome::Refused => {
                endpoint.health.call_ended(Verdict::Refused, now);
                endpoint.blocked_until = now + REFUSED_PAUSE;
                endpoint.release_pieces(&call.pieces);
            }
            CallOutcome::Lost => {
                endpoint.health.call_ended(Verdict::Lost, now);
                endpoint.release_pieces(&call.pieces);
            }
            CallOutcome::Cut => {
                endpoint.health.call_ended(Verdict::Unknown, now);
                endpoint.blocked_until = now + REFUSED_PAUSE;
                endpoint.release_pieces(&call.pieces);
            }
        }
    }

    /// Returns the calls that have become overdue.
    pub fn overdue_calls(&self, calls: &IndexMap<CallId, Call>, now: Time) -> Vec<CallId> {
        let is_overdue = |call: &Call| {
            let slowness = self.endpoints.get(&call.endpoint);
            let slowness = slowness.map_or(1.0, |endpoint| endpoint.health.slowness(now).max(1.0));
            let limit = call.expected.mul_f64(OVERDUE_FACTOR * slowness.min(3.0)) + OVERDUE_SLACK;
            !call.is_overdue && now > call.started_at + limit
        };
        let calls = calls.iter().filter(|(_, call)| is_overdue(call));
        calls.map(|(call_id, _)| *call_id).collect()
    }

    /// Lets the endpoint of an overdue call get another one, since the answer may be lost and the
    /// endpoint idle. An endpoint that never answers is ejected.
    pub fn stop_waiting(&mut self, call_id: CallId, call: &Call, now: Time) {
        let endpoint = self.endpoints.get_mut(&call.endpoint);
        let Some(endpoint) = endpoint.filter(|endpoint| endpoint.running_call == Some(call_id))
        else {
            return;
        };
        endpoint.running_call = None;
        endpoint.overdue_calls += 1;
        endpoint.record_duration(call, now);
        if endpoint.overdue_calls >= MAX_OVERDUE_CALLS {
            endpoint.health.call_ended(Verdict::Lost, now);
        }
    }

    /// Adds results that another planner has handed over.
    pub fn add_transferred(&mut self, results: &[TransferredResult]) {
        for result in results {
            let Some(endpoint) = self.endpoints.get_mut(&result.endpoint) else {
                continue;
            };
            let (bytes, expires_at) = (result.bytes, result.expires_at);
            if endpoint
                .results
                .insert(result.handle.clone(), Allocation { bytes, expires_at })
                .is_none()
            {
                endpoint.used_bytes += bytes;
            }
        }
    }

    /// Returns when an endpoint drops a result.
    pub fn expires_at(&self, result: &StoredResult) -> Time {
        let endpoint = self.endpoints.get(&result.endpoint);
        let allocation = endpoint.and_then(|endpoint| endpoint.results.get(&result.handle));
        allocation.map_or(Time::ZERO, |allocation| allocation.expires_at)
    }

    /// Removes results that endpoints have dropped.
    pub fn expire(&mut self, now: Time) {
        for endpoint in self.endpoints.values_mut() {
            let mut expired_bytes = 0;
            endpoint.results.retain(|_, allocation| {
                let keep = now < allocation.expires_at;
                expired_bytes += if keep { 0 } else { allocation.bytes };
                keep
            });
            endpoint.used_bytes = endpoint.used_bytes.saturating_sub(expired_bytes);
        }
    }

    /// Returns whether some endpoint runs out of room for results.
    pub fn is_room_scarce(&self) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|endpoint| self.is_scarce(endpoint))
    }

    /// Returns whether an endpoint runs out of room for results.
    pub fn is_room_scarce_at(&self, id: &id::Endpoint) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|endpoint| self.is_scarce(endpoint))
    }

    fn is_scarce(&self, endpoint: &StageEndpoint) -> bool {
        let batch = self.services.get(&endpoint.service);
        // Results in an evacuated zone can't be freed.
        let batch = batch.filter(|_| !endpoint.is_evacuated);
        batch.is_some_and(|batch| {
            endpoint.used_bytes as f64 > batch.capacity_bytes as f64 * SCARCE_ROOM_SHARE
        })
    }

    /// Frees results, and returns the actions that tell their endpoints.
    pub fn free(&mut self, results: Vec<StoredResult>) -> Vec<Action> {
        let mut by_endpoint: IndexMap<id::Endpoint, Vec<Handle>> = IndexMap::new();
        for result in results {
            let endpoint = self.endpoints.get_mut(&result.endpoint);
            let Some(endpoint) = endpoint else {
                continue;
            };
            let is_limited = self.limits.get(&result.endpoint).is_some();
            if endpoint.is_evacuated || endpoint.is_cold || is_limited {
                // Calls are scarce or not allowed, and results expire by themselves.
                continue;
            }
            if let Some(allocation) = endpoint.results.swap_remove(&result.handle) {
                endpoint.used_bytes = endpoint.used_bytes.saturating_sub(allocation.bytes);
                by_endpoint
                    .entry(result.endpoint)
                    .or_default()
                    .push(result.handle);
            }
        }
        let action = |(endpoint, handles): (id::Endpoint, Vec<Handle>)| {
            let address = self.endpoints.get(&endpoint)?.address;
            Some(Action::Free {
                endpoint,
                address,
                handles,
            })
        };
        by_endpoint.into_iter().filter_map(action).collect()
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
