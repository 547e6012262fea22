//! Decides whether a request is served, for which workspace, and by when.

use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use super::{AcceptedRequest, DEFAULT_TIMEOUT, Failure, RequestHandler, failure, stopping};
use crate::id;
use crate::serve::catalog::{Catalog, Route};
use crate::serve::http::Field;
use crate::serve::protocol::RequestMeta;

/// What the daemon answers to a request whose body it does not read.
pub struct Rejection {
    /// The status.
    pub status: u16,
    /// The fields of the answer.
    pub fields: Vec<Field>,
    /// When the client may come back.
    pub retry_after: Option<Duration>,
}

impl RequestHandler {
    /// Checks the request's fields, route and API key, and sets its deadline.
    pub(super) fn accept(&self) -> Result<AcceptedRequest, Failure> {
        let node = &self.node;
        let meta = node
            .protocol
            .parse_request(&self.head)
            .map_err(|reason| failure(400, reason))?;
        self.log_fields.borrow_mut().id = meta.id.to_string();
        self.log_fields
            .borrow_mut()
            .resumes
            .clone_from(&meta.resumes);
        self.log_fields.borrow_mut().last_event = meta.last_event_id.clone();
        let catalog = node.catalog();
        let Some(age) = node.config_age() else {
            return Err(failure(503, "no configuration yet"));
        };
        let is_fresh = age <= node.options.max_key_age;
        let Some(route) = catalog.route(&meta.host, &meta.path) else {
            let reason = "no route";
            return Err(failure(if is_fresh { 404 } else { 503 }, reason));
        };
        self.log_fields.borrow_mut().route = Some(route.name.clone());
        let mut workspace = None;
        let mut priority = route.priority;
        if catalog.workspaces.is_some() && !route.is_public {
            if !is_fresh {
                return Err(failure(503, "the API keys may be out of date"));
            }
            let key = meta.api_key.as_deref().unwrap_or_default();
            let Some(workspace_entry) = catalog.workspace(key) else {
                return Err(failure(401, "unknown key"));
            };
            workspace = Some(workspace_entry.name.clone());
            priority = workspace_entry.priority.unwrap_or(priority);
        }
        self.build(meta, route.clone(), &catalog, workspace, priority)
    }

    /// Makes a resumed stream go on at the service and the software version that began it.
    pub(super) async fn follow_origin(
        &self,
        mut request: AcceptedRequest,
    ) -> Result<AcceptedRequest, Failure> {
        let meta = &request.meta;
        let is_resumed = meta.last_event_id.is_some() || meta.resumes.is_some();
        if !is_resumed || !request.route.kind.is_stream() {
            return Ok(request);
        }
        let origins = &self.node.origins;
        let Some(origin) = origins.find(meta.resumes.as_ref(), &request.service).await else {
            return Err(failure(
                503,
                "the version that began the stream is not known",
            ));
        };
        let services = request.route.split.iter().map(|share| &share.service);
        if !services
            .into_iter()
            .any(|service| *service == origin.service)
        {
            return Err(failure(503, "the route has left the service of the stream"));
        }
        self.release.replace(Some(origin.release));
        request.service = origin.service;
        Ok(request)
    }

    fn build(
        &self,
        meta: RequestMeta,
        route: Route,
        catalog: &Catalog,
        workspace: Option<id::Workspace>,
        priority: u8,
    ) -> Result<AcceptedRequest, Failure> {
        let mut hasher = DefaultHasher::new();
        // A resumed stream belongs to the service that its first attempt was given.
        meta.resumes.as_ref().unwrap_or(&meta.id).hash(&mut hasher);
        let service = route.service(hasher.finish()).cloned();
        let Some(service) = service else {
            return Err(failure(503, "the route has no service"));
        };
        let timeout = meta.remaining.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
        let spent = self.node.time_spent(&route.name, meta.remaining);
        let settings = catalog.services.get(&service);
        let is_engine = settings.is_some_and(|settings| settings.engine.is_some());
        let is_staged = is_engine || !route.stages.is_empty();
        let drain = self.node.drain.get();
        let now = self.node.clock.now();
        let run_time = self.node.run_time(&route);
        if drain.is_some_and(|drain| !drain.accepts(is_staged, run_time, now)) {
            return Err(stopping());
        }
        let key = meta.api_key.as_deref();
        let owner = key.and_then(|key| catalog.workspace(key)).cloned();
        let residency = self.residency_of(&route, owner.as_ref());
        Ok(AcceptedRequest {
            is_staged,
            owner,
            residency: RefCell::new((catalog.version, residency)),
            target_time: self.arrived_at + route.target_latency.saturating_sub(spent),
            deadline: self.arrived_at + timeout,
            route,
            meta,
            service,
            workspace,
            priority,
        })
    }
}
