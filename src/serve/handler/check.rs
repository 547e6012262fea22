//! Decides whether a request is served, for which workspace, and by when.

use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use slog::info;

use super::{AcceptedRequest, DEFAULT_TIMEOUT, Failure, RequestHandler, failure, stopping};
use crate::id;
use crate::serve::Node;
use crate::serve::catalog::{Catalog, Route, Workspace};
use crate::serve::http::{Field, RequestHead};
use crate::serve::plan::MAX_PIECES;
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

impl Node {
    /// Decides from the head of a request whether its body is read: what is refused anyway is refused before.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that is not served.
    pub async fn screen(&self, head: &RequestHead) -> Result<(), Rejection> {
        self.wait_configured().await;
        let meta = self.protocol.parse_request(head);
        let (id, checked) = match &meta {
            Err(reason) => ("", Err(failure(400, reason))),
            Ok(meta) => (&*meta.id, self.check_head(meta)),
        };
        checked.map_err(|failure| {
            info!(self.log, "request rejected before its body";
                "id" => id, "status" => failure.status, "reason" => &*failure.reason);
            self.meter.count("request.rejected_early");
            Rejection {
                status: failure.status,
                fields: self.protocol.failure_fields(id),
                retry_after: failure.retry_after,
            }
        })
    }

    fn check_head(&self, meta: &RequestMeta) -> Result<(), Failure> {
        let catalog = self.catalog();
        let route = self.find_route(&catalog, meta)?;
        self.find_workspace(&catalog, route, meta)?;
        check_pieces(route, meta)?;
        if self.is_stopping_before(route, is_staged(&catalog, route)) {
            return Err(stopping());
        }
        Ok(())
    }

    /// Returns the route of a request.
    fn find_route<'a>(
        &self,
        catalog: &'a Catalog,
        meta: &RequestMeta,
    ) -> Result<&'a Route, Failure> {
        let Some(age) = self.config_age() else {
            return Err(failure(503, "no configuration yet"));
        };
        let is_fresh = age <= self.options.max_key_age;
        let route = catalog.route(&meta.host, &meta.path);
        route.ok_or_else(|| failure(if is_fresh { 404 } else { 503 }, "no route"))
    }

    /// Returns the workspace of a request's API key; none if its route needs none.
    fn find_workspace<'a>(
        &self,
        catalog: &'a Catalog,
        route: &Route,
        meta: &RequestMeta,
    ) -> Result<Option<&'a Workspace>, Failure> {
        if catalog.workspaces.is_none() || route.is_public {
            return Ok(None);
        }
        let age = self.config_age();
        if age.is_none_or(|age| age > self.options.max_key_age) {
            return Err(failure(503, "the API keys may be out of date"));
        }
        let key = meta.api_key.as_deref().unwrap_or_default();
        let workspace = catalog.workspace(key);
        workspace
            .map(Some)
            .ok_or_else(|| failure(401, "unknown key"))
    }

    /// Returns whether the daemon stops before a request of a route could end.
    fn is_stopping_before(&self, route: &Route, is_staged: bool) -> bool {
        let drain = self.drain.get();
        let (run_time, now) = (self.run_time(route), self.clock.now());
        drain.is_some_and(|drain| !drain.accepts(is_staged, run_time, now))
    }
}

/// Checks that the stages of a request have no more pieces than a planner takes.
fn check_pieces(route: &Route, meta: &RequestMeta) -> Result<(), Failure> {
    let counts = meta.piece_counts.iter().take(route.stages.len());
    let pieces = counts.fold(0, |sum: usize, count| sum.saturating_add(*count));
    if pieces > MAX_PIECES {
        return Err(failure(400, "too many pieces"));
    }
    Ok(())
}

/// Returns whether requests of a route have stages, or may be for an engine.
fn is_staged(catalog: &Catalog, route: &Route) -> bool {
    let is_engine = |service| {
        let settings = catalog.services.get(service);
        settings.is_some_and(|settings| settings.engine.is_some())
    };
    let mut services = route.split.iter().map(|share| &share.service);
    !route.stages.is_empty() || services.any(is_engine)
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
        let route = node.find_route(&catalog, &meta)?;
        self.log_fields.borrow_mut().route = Some(route.name.clone());
        let entry = node.find_workspace(&catalog, route, &meta)?;
        check_pieces(route, &meta)?;
        let workspace = entry.map(|entry| entry.name.clone());
        let priority = entry.and_then(|entry| entry.priority);
        let priority = priority.unwrap_or(route.priority);
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
        if self.node.is_stopping_before(&route, is_staged) {
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
