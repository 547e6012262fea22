//! What the planner does about evacuated zones: nothing new begins there, and what has nowhere else to go
//! is refused at once rather than held.

use indexmap::IndexSet;

use super::request::Request;
use super::{JobId, Planner, Refusal};
use crate::id;
use crate::serve::evacuation::Evacuation;
use crate::serve::registry::Endpoint;

impl Planner {
    /// Follows the evacuated zones of its endpoints.
    pub(super) fn evacuate(&mut self, endpoints: &[&Endpoint], evacuation: &Evacuation) {
        self.stage_endpoints.evacuate(evacuation);
        self.engines.evacuate(evacuation);
        let (emptied, used): (Vec<&Endpoint>, Vec<&Endpoint>) = endpoints
            .iter()
            .partition(|endpoint| evacuation.covers(&endpoint.zone));
        let used: IndexSet<&id::Pool> = used.iter().map(|endpoint| &endpoint.service).collect();
        let emptied = emptied.iter().map(|endpoint| &endpoint.service);
        let emptied = emptied.filter(|service| !used.contains(service));
        self.emptied = emptied.cloned().collect();
        self.refuse_emptied();
    }

    /// Refuses requests that wait for endpoints of emptied services.
    pub(super) fn refuse_emptied(&mut self) {
        if self.emptied.is_empty() {
            return;
        }
        let waiting = self.requests.iter();
        let waiting =
            waiting.filter(|(_, request)| !request.is_granted && self.needs_emptied(request));
        let waiting: Vec<JobId> = waiting.map(|(job_id, _)| *job_id).collect();
        for job_id in waiting {
            self.refuse_with(job_id, Refusal::emptied());
        }
    }

    /// Returns whether a request needs endpoints of a service that has them in evacuated zones only.
    pub(super) fn needs_emptied(&self, request: &Request) -> bool {
        let job = &request.job;
        let stages = job.stages.iter().enumerate();
        let outline = request.outline(&self.stage_endpoints);
        let mut needed = stages.filter(|(index, _)| outline.stages[*index].queued > 0);
        self.emptied.contains(&job.service)
            || needed.any(|(_, stage)| self.emptied.contains(&stage.service))
    }

    /// Returns whether a stage endpoint is in an evacuated zone.
    pub fn is_evacuated(&self, endpoint: &id::Endpoint) -> bool {
        self.stage_endpoints.is_evacuated(endpoint)
    }
}
