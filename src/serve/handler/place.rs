//! The regions in which a request may be, as the configuration in force says at each step.

use std::net::SocketAddr;
use std::rc::Rc;

use slog::info;

use super::{AcceptedRequest, RequestHandler};
use crate::id;
use crate::serve::catalog::{Route, Workspace};
use crate::serve::dispatcher::{PlannedRequest, RequestPlanner};
use crate::serve::plan::{Job, Refusal, TransferredResult};
use crate::serve::residency::Residency;

impl RequestHandler {
    /// Returns the regions in which the request may be now. For a route or a workspace that the configuration
    /// no longer has, it is those with which the request was accepted.
    pub(super) fn residency(&self, request: &AcceptedRequest) -> Residency {
        let catalog = self.node.catalog();
        let (version, known) = request.residency.borrow().clone();
        let is_everywhere = !known.is_limited() && !self.node.names_regions.get();
        if is_everywhere || version == catalog.version {
            return known;
        }
        let mut routes = catalog.routes.iter();
        let route = routes.find(|route| route.name == request.route.name);
        let route = route.unwrap_or(&request.route);
        let owner = request.owner.as_ref().map(|owner| {
            let mut workspaces = catalog.workspaces.iter().flatten();
            let current = workspaces.find(|workspace| workspace.name == owner.name);
            current.unwrap_or(owner)
        });
        let residency = self.residency_of(route, owner);
        let known = (catalog.version, residency.clone());
        request.residency.replace(known);
        residency
    }

    /// Returns the regions in which requests of a route and a workspace may be.
    pub(super) fn residency_of(&self, route: &Route, owner: Option<&Workspace>) -> Residency {
        let places = &self.node.options.places;
        let owner = owner.map(|owner| &*owner.allowed_regions);
        Residency::new(places, &route.allowed_regions, owner.unwrap_or_default())
    }

    /// Plans the request for the regions in force, and anew whenever one of them is taken away meanwhile.
    /// Results that an earlier planner hands over go along if they are in an allowed region.
    pub(super) async fn plan(
        &self,
        request: &AcceptedRequest,
        planner: &Rc<dyn RequestPlanner>,
        mut results: Vec<TransferredResult>,
    ) -> Result<Box<dyn PlannedRequest>, Refusal> {
        loop {
            let residency = self.residency(request);
            self.check_residency(request, &residency)?;
            let mut transferred_results = std::mem::take(&mut results);
            transferred_results.retain(|result| residency.allows_zone(&result.zone));
            self.planned_for.replace(residency);
            let job = Job {
                transferred_results,
                ..self.job(request)
            };
            tokio::select! {
                biased;
                () = self.moved(request) => {}
                planned = planner.plan(job) => return planned,
            }
        }
    }

    fn check_residency(
        &self,
        request: &AcceptedRequest,
        residency: &Residency,
    ) -> Result<(), Refusal> {
        let registry = self.node.registry.borrow();
        let reason = residency.refusal_reason(&request.service, registry.available());
        let Some(reason) = reason else {
            return Ok(());
        };
        self.node.meter.count("residency.refused");
        Err(Refusal::misplaced(reason))
    }

    /// Waits until the request may no longer be in a region for which it was planned.
    pub(super) async fn moved(&self, request: &AcceptedRequest) {
        loop {
            let reconfigured = self.node.reconfigured.notified();
            let residency = self.residency(request);
            if !residency.covers(&self.planned_for.borrow()) {
                info!(self.node.log, "regions of a request changed"; "id" => &*request.meta.id);
                self.node.meter.count("residency.moved");
                return;
            }
            reconfigured.await;
        }
    }

    /// Returns the engine from which the granted one may fetch the beginning of the prompt.
    pub(super) fn fetch_source(
        &self,
        request: &AcceptedRequest,
        planned: &dyn PlannedRequest,
    ) -> Option<SocketAddr> {
        let source = planned.grant().fetch_from?;
        let residency = self.residency(request);
        let registry = self.node.registry.borrow();
        let mut at_source = registry.all().filter(|engine| engine.address == source);
        let is_allowed =
            !residency.is_limited() || at_source.any(|engine| residency.allows_zone(&engine.zone));
        is_allowed.then_some(source)
    }

    /// Logs that a granted endpoint gets nothing of the request, which may not be in its region.
    pub(super) fn log_withheld(&self, endpoint: &id::Endpoint) {
        info!(self.node.log, "request withheld from region";
            "id" => &*self.log_fields.borrow().id, "endpoint" => &**endpoint);
        self.node.meter.count("residency.withheld");
    }
}
