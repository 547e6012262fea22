//! Requests that wait although their stages are done, or are refused: for content that ends engines, and
//! for the limits of engines.

use std::time::Duration;

use super::request::Request;
use super::{Action, JobId, Planner, Refusal};
use crate::clock::Time;
use crate::serve::cold;
use crate::serve::rate::MIN_RATE;

/// The most requests with a part that may end engines which run at once and have not shown that it does not.
const MAX_TRIALS: usize = 2;
/// The longest wait that is told: many requests may wait for a rate of almost nothing.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

impl Planner {
    pub(super) fn refuse_with(&mut self, job_id: JobId, refusal: Refusal) {
        if let Some(request) = self.requests.shift_remove(&job_id) {
            self.free(request.held_results());
            self.actions.push(Action::Refuse(job_id, refusal));
        }
    }

    /// Returns for how long the content of a request is refused, if it is. Prompts may have many parts, so it is looked
    /// at only if something was refused since it was last.
    pub(super) fn refused_for(&mut self, job_id: JobId, now: Time) -> Option<Duration> {
        let refusals = self.quarantine.refusals();
        let request = self.requests.get_mut(&job_id)?;
        if request.checked_refusals.replace(refusals) == Some(refusals) {
            return None;
        }
        self.quarantine.refusal(&request.job.suspects(), now)
    }

    /// Refuses requests that wait for their stages although no endpoint will get them.
    pub(super) fn refuse_quarantined(&mut self, now: Time) {
        self.quarantine.update(now);
        let refusals = Some(self.quarantine.refusals());
        let waiting = self.requests.iter();
        let unchecked = waiting
            .filter(|(_, request)| !request.is_granted && request.checked_refusals != refusals);
        let unchecked: Vec<JobId> = unchecked.map(|(job_id, _)| *job_id).collect();
        for job_id in unchecked {
            if let Some(remaining) = self.refused_for(job_id, now) {
                self.refuse_with(job_id, Refusal::quarantined(remaining));
            }
        }
    }

    /// Returns whether a request has to wait until others have shown whether a part that they share ends
    /// engines: few of them run at once, so that they do not take all engines along meanwhile.
    pub(super) fn is_held(&self, job_id: JobId, now: Time) -> bool {
        let Some(request) = self.requests.get(&job_id) else {
            return false;
        };
        let trials = self.quarantine.trials(&request.job.suspects());
        trials.iter().any(|part| {
            let on_trial = self.requests.values().filter(|other| other.is_trial(now));
            let has_part = |other: &&Request| {
                let mut parts = other.job.prompt_parts.iter();
                parts.any(|other| other.id == *part)
            };
            on_trial.filter(has_part).count() >= MAX_TRIALS
        })
    }

    /// Grants requests that waited for others with the same parts, or for a limit.
    pub(super) fn advance_held(&mut self, now: Time) {
        let is_waiting = |request: &Request| !request.is_granted && request.is_ready();
        let held = self.requests.iter();
        let held = held.filter(|(_, request)| is_waiting(request));
        let mut held: Vec<(u8, Time, JobId)> = held
            .map(|(job_id, Request { job, .. })| (job.priority, job.target, *job_id))
            .collect();
        held.sort_unstable();
        for (_, _, job_id) in held {
            self.advance(job_id, now);
        }
    }

    /// Refuses a request that would wait too long for the limits of its engines, or since they are cold.
    pub(super) fn limit_refusal(&self, request: &Request, now: Time) -> Option<Refusal> {
        let job = &request.job;
        let rate = self.engines.total_limit(job, now)?;
        let is_ahead = |other: &&Request| !other.is_granted && other.job.service == job.service;
        let ahead = self.requests.values().filter(is_ahead).count();
        let seconds = (ahead + 1) as f64 / rate.max(MIN_RATE);
        let wait = Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()));
        let cold_time = self.engines.cold_time(job, now);
        let wait = cold_time.map_or(wait, |cold_time| wait.min(cold_time));
        let left = job.deadline.saturating_sub(now);
        let reason = match cold_time {
            Some(_) => cold::REFUSAL,
            None => "its endpoints have limited their rate",
        };
        (wait > job.target_latency.min(left)).then(|| Refusal::new(reason, wait))
    }
}
