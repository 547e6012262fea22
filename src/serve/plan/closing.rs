//! What the planner does about endpoints that have closed themselves: their requests are refused at
//! once rather than held.

use std::time::Duration;

use super::request::Request;
use super::{JobId, MAX_RETRY_AFTER, Planner, Refusal, Stage};
use crate::clock::Time;
use crate::id;

impl Planner {
    /// Records that a stage endpoint takes nothing from this daemon until then, or in its life if it is
    /// leaving.
    pub fn close(&mut self, endpoint: &id::Endpoint, until: Option<Time>) {
        self.stage_endpoints.close(endpoint, until);
    }

    /// Returns how long a request cannot be worked on, since endpoints that it needs have closed
    /// themselves.
    pub(super) fn closed_for(&self, request: &Request, now: Time) -> Option<Duration> {
        let job = &request.job;
        let engines = self.engines.closed_for(job);
        let stages = job.stages.iter().enumerate();
        let outline = request.outline(&self.stage_endpoints);
        let stages = stages.filter(|(index, _)| outline.stages[*index].queued > 0);
        let closed =
            |(_, stage): (usize, &Stage)| self.stage_endpoints.closed_for(&stage.service, now);
        let closed = stages.filter_map(closed).chain(engines);
        // Others start in the place of endpoints that leave.
        let remaining = closed.map(|remaining| remaining.unwrap_or(MAX_RETRY_AFTER));
        remaining.max()
    }

    /// Refuses requests that wait for endpoints which stay closed beyond their deadline.
    pub(super) fn refuse_closed(&mut self, now: Time) {
        let has_closed = self.stage_endpoints.has_closed(now);
        let may_be_closed = |request: &Request| {
            !request.is_granted && (has_closed || !request.job.closures.is_empty())
        };
        let waiting = self.requests.iter();
        let waiting = waiting.filter(|(_, request)| may_be_closed(request));
        let closed = waiting.filter_map(|(job_id, request)| {
            let remaining = self.closed_for(request, now)?;
            (now + remaining > request.job.deadline).then_some((*job_id, remaining))
        });
        let closed: Vec<(JobId, Duration)> = closed.collect();
        for (job_id, remaining) in closed {
            let Some(request) = self.requests.get(&job_id) else {
                continue;
            };
            let refusal = Refusal::closed(&request.job.request, remaining);
            self.refuse_with(job_id, refusal);
        }
    }
}
