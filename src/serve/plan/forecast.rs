//! The queue order of pieces, and the expected end of a new request.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::JobId;
use super::request::{Piece, Request};
use super::stage_endpoints::StageEndpoints;
use crate::clock::Time;
use crate::id;

/// How much later a request is queued than one of the next higher priority with the same slack. It is
/// about the time of one call, so that the priority decides between requests of consecutive calls.
const PRIORITY_DELAY: Duration = Duration::from_millis(300);

/// How much later a request is queued, as a multiple of the time that its pieces take.
const COST_DELAY_FACTOR: f64 = 1.0;
/// The wait for a service without endpoints: longer than any deadline.
const NO_ENDPOINT_WAIT: Duration = Duration::from_secs(60);

token! {
    /// The place of a piece in the queue; the least comes first.
    pub struct QueueKey {
        /// Whether its request misses its target anyway.
        pub is_late: bool,
        /// The latest start that meets the target, shifted by priority, cost and progress.
        pub at: Time,
    }
}

/// A piece that waits for an endpoint.
#[derive(Clone)]
pub struct QueuedPiece {
    pub piece: Piece,
    pub key: QueueKey,
    /// How long it can wait and still meet its target.
    pub slack: Duration,
    /// The zone in which it should be computed, if it matters.
    pub preferred_zone: Option<id::Zone>,
}

/// The expected times of a request.
pub struct Forecast {
    /// The time from now to the first byte of its answer.
    pub total: Duration,
    /// How long its stages wait for endpoints.
    pub wait: Duration,
}

/// Returns how much later a request is queued because of its cost: under overload, serving cheap
/// requests first gives the most answers.
fn cost_delay(request: &Request, endpoints: &StageEndpoints) -> Duration {
    let work_time = request.outline(endpoints).work_time;
    work_time.mul_f64(COST_DELAY_FACTOR / f64::from(request.job.weight.clamp(0.25, 4.0)))
}

/// Returns the queue key and the slack of the pieces of a stage.
fn queue_key(
    request: &Request,
    stage: usize,
    endpoints: &StageEndpoints,
    now: Time,
) -> (QueueKey, Duration) {
    let remaining = request.critical_path(stage, endpoints);
    let latest_start = request.target().saturating_sub(remaining);
    let is_late = latest_start < now;
    let mut at = latest_start
        + PRIORITY_DELAY * u32::from(request.job.priority)
        + cost_delay(request, endpoints);
    if request.has_started {
        // Its finished results would be wasted, and take room.
        at = at.saturating_sub(PRIORITY_DELAY);
    }
    (QueueKey { is_late, at }, latest_start.saturating_sub(now))
}

/// Returns the queued pieces of some services, in their order.
pub fn queue(
    requests: &IndexMap<JobId, Request>,
    services: &IndexSet<id::Pool>,
    endpoints: &StageEndpoints,
    now: Time,
) -> IndexMap<id::Pool, Vec<QueuedPiece>> {
    let mut queue: IndexMap<id::Pool, Vec<QueuedPiece>> = IndexMap::new();
    let waiting = requests.iter();
    let waiting = waiting.filter(|(_, request)| !request.is_granted && !request.is_transferring);
    for (job_id, request) in waiting {
        let outline = request.outline(endpoints);
        for (stage, progress) in outline.stages.iter().enumerate() {
            let service = &request.job.stages[stage].service;
            if progress.queued == 0 || !progress.is_ready || !services.contains(service) {
                continue;
            }
            let (key, slack) = queue_key(request, stage, endpoints, now);
            let preferred_zone = request.stage_zone(stage);
            let pieces = request.queued_pieces(*job_id, stage);
            let pieces = pieces.map(|piece| QueuedPiece {
                key,
                slack,
                preferred_zone: preferred_zone.clone(),
                piece,
            });
            queue.entry(service.clone()).or_default().extend(pieces);
        }
    }
    for pieces in queue.values_mut() {
        pieces.sort_by_key(|queued| queued.key);
    }
    queue
}

/// Forecasts a new request from the pieces queued before it; none when it has no stages.
pub fn forecast(
    new: &Request,
    requests: &IndexMap<JobId, Request>,
    endpoints: &StageEndpoints,
    now: Time,
) -> Option<Forecast> {
    let mut ends: Vec<Duration> = Vec::new();
    let mut wait = Duration::ZERO;
    for (stage, job_stage) in new.job.stages.iter().enumerate() {
        let inputs = job_stage.after.iter().filter_map(|input| ends.get(*input));
        let begin = inputs.max().copied().unwrap_or_default();
        if job_stage.pieces == 0 {
            ends.push(begin);
            continue;
        }
        let (key, _) = queue_key(new, stage, endpoints, now);
        let ahead = count_ahead(requests, &job_stage.service, key, endpoints, now);
        let queued = endpoints
            .queue_time(&job_stage.service, ahead, now)
            .unwrap_or(NO_ENDPOINT_WAIT);
        // The queue shrinks while the stages before this one run.
        let queued = queued.saturating_sub(begin);
        wait = wait.max(queued);
        // Pieces that are queued before its own fill the same call.
        let filled = endpoints.call_time(&job_stage.service, job_stage.pieces + ahead);
        let own = endpoints.min_time(&job_stage.service, job_stage.pieces);
        let own = own.max(filled);
        ends.push(begin + queued + own);
    }
    let last = ends.iter().max().copied()?;
    let total = last + new.time_to_first_byte(endpoints);
    Some(Forecast { total, wait })
}

/// Returns the number of pieces of a service that are queued before a key, whether their inputs are
/// complete or not.
fn count_ahead(
    requests: &IndexMap<JobId, Request>,
    service: &id::Pool,
    limit: QueueKey,
    endpoints: &StageEndpoints,
    now: Time,
) -> usize {
    let mut count = 0;
    for request in requests.values().filter(|request| !request.is_granted) {
        let outline = request.outline(endpoints);
        for (stage, progress) in outline.stages.iter().enumerate() {
            let is_ahead = || queue_key(request, stage, endpoints, now).0 < limit;
            let is_same = request.job.stages[stage].service == *service;
            if is_same && progress.queued > 0 && is_ahead() {
                count += progress.queued;
            }
        }
    }
    count
}
