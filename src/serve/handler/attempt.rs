//! One attempt to run a request at the granted endpoint.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use slog::info;
use tokio::time::timeout;

use super::event::EventBuffer;
use super::{
    ANSWER_TIMEOUT_SHARE, AcceptedRequest, AttemptOutcome, MIN_ANSWER_TIMEOUT, RequestHandler,
    Unanswered, lost,
};
use crate::id;
use crate::quarantine::evidence::Life;
use crate::serve::cold;
use crate::serve::dialer::{self, CLOSE_TIME, Finding, Target};
use crate::serve::dispatcher::PlannedRequest;
use crate::serve::ending::{Ending, Sent};
use crate::serve::exchange;
use crate::serve::health::Verdict;
use crate::serve::http::Framing;
use crate::serve::origin::Origin;
use crate::serve::protocol::ForwardMeta;
use crate::serve::residency::Residency;
use crate::serve::response::ResponseWriter;

impl RequestHandler {
    /// Sends the request to the granted endpoint and passes its response on.
    pub(super) async fn attempt(
        &self,
        request: &AcceptedRequest,
        planned: &dyn PlannedRequest,
        client: &mut ResponseWriter,
        events: &mut EventBuffer,
        has_started: &Cell<bool>,
    ) -> AttemptOutcome {
        let id = planned.grant().endpoint.clone();
        self.log_fields.borrow_mut().endpoint = Some(id.clone());
        if self.node.is_closed(&id) {
            return AttemptOutcome::Withheld;
        }
        let release = self.granted_release(request, planned);
        if release.is_err() {
            self.log_other_release(request, planned);
            return AttemptOutcome::Withheld;
        }
        let residency = self.residency(request);
        if !self.node.is_allowed(&residency, &id) {
            self.log_withheld(&id);
            return AttemptOutcome::Withheld;
        }
        let target = Target {
            endpoint: id.clone(),
            address: self.address(planned),
            residency: residency.clone(),
        };
        let not_run = |verdict| AttemptOutcome::NotRun {
            verdict,
            inputs_lost: false,
        };
        let connection = match self.node.dialer.connect(&target).await {
            Ok(connection) => connection,
            Err(error) => {
                info!(self.node.log, "endpoint not reached";
                    "id" => &*request.meta.id, "endpoint" => &*id, "error" => %error);
                return match error {
                    dialer::Error::Unreached { .. } => not_run(Verdict::Lost),
                    dialer::Error::Closed { .. } => not_run(Verdict::Unknown),
                    dialer::Error::Isolated { .. } => {
                        planned.ended(Verdict::Unknown);
                        let reason = "no endpoint can be reached";
                        AttemptOutcome::Done(self.final_outcome(client, reason))
                    }
                };
            }
        };
        if self.node.is_evacuated(&id) {
            // Connecting over other VMs may take seconds.
            return AttemptOutcome::Withheld;
        }
        let current = self.residency(request);
        // A VM that passes the connection on was chosen by the earlier regions.
        let may_pass = !connection.is_detour() || current.covers(&residency);
        if !may_pass || !self.node.is_allowed(&current, &id) {
            self.log_withheld(&id);
            return AttemptOutcome::Withheld;
        }
        if self.granted_release(request, planned) != release {
            // Another life of the endpoint was listed while this connected.
            self.log_other_release(request, planned);
            return AttemptOutcome::Withheld;
        }
        if !self.may_send_if_cold(planned) {
            self.node.meter.count("request.regrant");
            return AttemptOutcome::Withheld;
        }
        self.log_fields.borrow_mut().is_detour = connection.is_detour();
        let meta = self.forward_meta(request, planned, events);
        self.log_fields.borrow_mut().fetch_from = meta.fetch_from;
        let fields = self.node.protocol.forward_fields(&self.head, &meta);
        let (method, target) = (&self.head.method, &self.head.target);
        let body = self.body.borrow().clone();
        let head = exchange::request_head(method, target, &fields, body.len(), false);
        let sending = async move {
            let segments: Vec<&[u8]> = body.segments().collect();
            exchange::send(connection, &head, &segments).await
        };
        let unanswered = self.unanswered_at(request, &id);
        self.sent.set(Some(Sent {
            born: unanswered.life.born,
            at: unanswered.sent_at,
        }));
        self.unanswered.replace(Some(unanswered));
        self.may_have_run.set(true);
        self.set_sent_release(request, release.unwrap_or_default());
        self.log_fields.borrow_mut().sent += 1;
        self.outlives_client
            .set(!request.route.kind.is_stream() && !request.route.kind.is_repeatable());
        let received = match self.answer_timeout(request) {
            Some(answer_timeout) => timeout(answer_timeout, sending).await,
            None => Ok(sending.await),
        };
        let outcome = match received {
            Ok(Ok(mut response)) => {
                self.node.quarantine().heard(&id, self.node.clock.now());
                if self.head.is_head() {
                    response.expect_no_body();
                }
                self.handle_response(request, planned, client, events, has_started, response)
                    .await
            }
            Ok(Err(error)) => {
                info!(self.node.log, "no answer from endpoint";
                    "id" => &*request.meta.id, "endpoint" => &*id, "error" => %error);
                AttemptOutcome::Lost {
                    verdict: Verdict::Dropped,
                    reason: "the connection to the endpoint was lost",
                }
            }
            Err(_) => {
                self.record_unanswered();
                lost("the endpoint did not answer in time")
            }
        };
        self.unanswered.take();
        outcome
    }

    /// Fixes the release that the stream is recorded with. It is announced now, so that the first event need not
    /// wait for the log.
    fn set_sent_release(&self, request: &AcceptedRequest, release: Option<id::Release>) {
        self.sent_release.replace(release.clone());
        if let Some(release) = release.filter(|_| request.route.kind.is_repeatable()) {
            let service = request.service.clone();
            self.node.origins.announce(&Origin { service, release });
        }
    }

    fn log_other_release(&self, request: &AcceptedRequest, planned: &dyn PlannedRequest) {
        let grant = planned.grant();
        info!(self.node.log, "endpoint of another release granted";
            "id" => &*request.meta.id, "endpoint" => &*grant.endpoint,
            "release" => grant.release.as_deref());
    }

    /// Returns the software version that the granted endpoint is known to have; an error if the stream may not
    /// run there. Grant and own entry may be of two lives of the endpoint, and a planner of an earlier release
    /// of the daemon does not heed what began the stream.
    fn granted_release(
        &self,
        request: &AcceptedRequest,
        planned: &dyn PlannedRequest,
    ) -> Result<Option<id::Release>, ()> {
        if !request.route.kind.is_stream() {
            return Ok(None);
        }
        let grant = planned.grant();
        let registry = self.node.registry.borrow();
        let listed = registry.get(&grant.endpoint);
        let listed = listed.map(|endpoint| &endpoint.release);
        let known = match (grant.release.as_ref(), listed) {
            (Some(granted), Some(listed)) if granted != listed => return Err(()),
            (granted, listed) => granted.or(listed).cloned(),
        };
        let began_at = self.release.borrow();
        if began_at.is_some() && *began_at != known {
            return Err(());
        }
        Ok(known)
    }

    /// Finds out whether the endpoint is at fault for a lost connection; returns what is known of it. What
    /// nobody can tell now, its entry in the list of endpoints will.
    pub(super) async fn examine(
        &self,
        request: &AcceptedRequest,
        planned: &dyn PlannedRequest,
        verdict: Verdict,
    ) -> Verdict {
        let target = Target {
            endpoint: planned.grant().endpoint.clone(),
            address: self.address(planned),
            // Nothing of the request is sent.
            residency: Residency::default(),
        };
        let is_broken = matches!(verdict, Verdict::Crashed | Verdict::Dropped);
        let delay = if is_broken {
            CLOSE_TIME
        } else {
            Duration::ZERO
        };
        if is_broken {
            let unanswered = self.unanswered_at(request, &target.endpoint);
            self.unanswered.replace(Some(unanswered));
        }
        let finding = self.node.dialer.examine(&target, delay).await;
        if finding == Finding::Unknown {
            self.record_unanswered();
        }
        self.unanswered.take();
        match finding {
            Finding::Ended => verdict,
            Finding::Alive => Verdict::Lost,
            Finding::Cut | Finding::Unknown => Verdict::Unknown,
        }
    }

    /// Prepares to find out whether an answer that ends with its connection is [whole](crate::serve::ending); none if
    /// its end shows that, or another VM finds out.
    pub(super) fn expect_end(
        &self,
        planned: &dyn PlannedRequest,
        response: &exchange::Response,
    ) -> Option<Ending> {
        let is_told = response.framing != Framing::Close || response.is_detour();
        let sent = self.sent.get().filter(|_| !is_told)?;
        let target = Target {
            endpoint: planned.grant().endpoint.clone(),
            address: self.address(planned),
            // Nothing of the request is sent.
            residency: Residency::default(),
        };
        Some(self.node.expect_end(&target, sent))
    }

    /// Returns whether an answer that has ended is whole, as far as its end tells.
    pub(super) async fn confirms_end(
        &self,
        ending: Option<&Ending>,
        response: &exchange::Response,
    ) -> bool {
        match ending {
            // A reset may come behind a close.
            Some(ending) => self.node.confirms_end(ending).await && !response.is_cut_short(),
            None => true,
        }
    }

    /// Records how long the endpoint ran the request, which has ended well.
    pub(super) fn record_run_time(&self, request: &AcceptedRequest) {
        if let Some(sent) = self.sent.get() {
            let took = self.node.clock.now().saturating_sub(sent.at);
            self.node.record_run_time(&request.route.name, took);
        }
    }

    /// Returns where the granted endpoint listens, as this daemon lists it; one that is new may be known to the
    /// planner only.
    fn address(&self, planned: &dyn PlannedRequest) -> SocketAddr {
        let grant = planned.grant();
        let registry = self.node.registry.borrow();
        let listed = registry.get(&grant.endpoint);
        listed.map_or(grant.address, |endpoint| endpoint.address)
    }

    /// Returns whether the planner that counts for all daemons has granted the endpoint just now, if it is cold.
    fn may_send_if_cold(&self, planned: &dyn PlannedRequest) -> bool {
        let cold = self.node.limits().cold();
        if !cold.is_used() {
            return true;
        }
        let now = self.node.clock.now();
        let granted_after = planned.granted_after();
        !cold.is_cold(&planned.grant().endpoint, now)
            || granted_after.is_some_and(|at| now < at + cold::MAX_GRANT_AGE)
    }

    fn unanswered_at(&self, request: &AcceptedRequest, id: &id::Endpoint) -> Unanswered {
        let registry = self.node.registry.borrow();
        Unanswered {
            suspects: self.suspects(request),
            life: Life {
                endpoint: id.clone(),
                born: registry.get(id).map_or(0, |endpoint| endpoint.born),
                service: request.service.clone(),
            },
            sent_at: self.node.clock.now(),
        }
    }

    fn forward_meta(
        &self,
        request: &AcceptedRequest,
        planned: &dyn PlannedRequest,
        events: &EventBuffer,
    ) -> ForwardMeta {
        ForwardMeta {
            endpoint: planned.grant().endpoint.clone(),
            remaining: request.deadline.saturating_sub(self.node.clock.now()),
            workspace: request.workspace.clone(),
            priority: request.is_staged.then_some(request.priority),
            inputs: planned.grant().inputs.clone(),
            fetch_from: self.fetch_source(request, planned),
            last_event_id: events.last_id().map(str::to_owned),
        }
    }

    /// Returns how long to wait for a response, if another endpoint may be tried.
    fn answer_timeout(&self, request: &AcceptedRequest) -> Option<Duration> {
        let answer_timeout = request
            .route
            .target_latency
            .mul_f64(ANSWER_TIMEOUT_SHARE)
            .max(MIN_ANSWER_TIMEOUT);
        self.may_repeat(request).then_some(answer_timeout)
    }
}
