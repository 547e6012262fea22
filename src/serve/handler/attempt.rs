//! One attempt at the endpoint that was granted.

use std::cell::Cell;
use std::time::Duration;

use slog::info;
use tokio::time::timeout;

use super::event::EventBuffer;
use super::{
    ANSWER_TIMEOUT_SHARE, AcceptedRequest, AttemptOutcome, MIN_ANSWER_TIMEOUT, RequestHandler, lost,
};
use crate::serve::dispatcher::PlannedRequest;
use crate::serve::exchange;
use crate::serve::health::Verdict;
use crate::serve::protocol::ForwardMeta;
use crate::serve::response::ResponseWriter;

impl RequestHandler {
    /// Sends it to the endpoint that was granted.
    pub(super) async fn attempt(
        &self,
        plan: &AcceptedRequest,
        seat: &dyn PlannedRequest,
        client: &mut ResponseWriter,
        events: &mut EventBuffer,
        begun: &Cell<bool>,
    ) -> AttemptOutcome {
        let id = seat.grant().endpoint.clone();
        self.log_fields.borrow_mut().endpoint = Some(id.clone());
        let address = seat.grant().address;
        let turned = |verdict| AttemptOutcome::Refused {
            verdict,
            inputs_lost: false,
        };
        if self.node.is_leaving(&id) {
            return turned(Verdict::Unknown);
        }
        let channel = match exchange::connect(address).await {
            Ok(channel) => channel,
            Err(error) => {
                info!(self.node.log, "endpoint not reached";
                    "id" => &*plan.meta.id, "endpoint" => &*id, "error" => %error);
                return turned(Verdict::Lost);
            }
        };
        let order = self.forward_meta(plan, seat, events);
        let fields = self.node.protocol.forward_fields(&self.head, &order);
        let (method, target) = (&self.head.method, &self.head.target);
        let head = exchange::request_head(method, target, &fields, self.body.len(), false);
        let sending = exchange::send(channel, &head, &self.body);
        self.may_have_run.set(true);
        self.log_fields.borrow_mut().sent += 1;
        self.outlives_client
            .set(!plan.route.kind.is_stream() && !plan.route.kind.is_repeatable());
        let opened = match self.answer_timeout(plan) {
            Some(patience) => timeout(patience, sending).await,
            None => Ok(sending.await),
        };
        match opened {
            Ok(Ok(open)) => {
                self.handle_response(plan, seat, client, events, begun, open)
                    .await
            }
            Ok(Err(error)) => {
                info!(self.node.log, "no answer";
                    "id" => &*plan.meta.id, "endpoint" => &*id, "error" => %error);
                AttemptOutcome::Lost {
                    verdict: Verdict::Crashed,
                    reason: "the connection to the endpoint was lost",
                }
            }
            Err(_) => lost("the endpoint did not answer in time"),
        }
    }

    fn forward_meta(
        &self,
        plan: &AcceptedRequest,
        seat: &dyn PlannedRequest,
        events: &EventBuffer,
    ) -> ForwardMeta {
        ForwardMeta {
            endpoint: seat.grant().endpoint.clone(),
            remaining: plan.deadline.saturating_sub(self.node.clock.now()),
            workspace: plan.workspace.clone(),
            priority: plan.is_staged.then_some(plan.priority),
            inputs: seat.grant().inputs.clone(),
            last_event_id: events
                .last_id()
                .or(plan.meta.last_event_id.as_deref())
                .map(str::to_owned),
        }
    }

    /// Returns how long an endpoint may stay silent, where another one may be asked instead.
    fn answer_timeout(&self, plan: &AcceptedRequest) -> Option<Duration> {
        let patience = plan
            .route
            .target_latency
            .mul_f64(ANSWER_TIMEOUT_SHARE)
            .max(MIN_ANSWER_TIMEOUT);
        self.may_repeat(plan).then_some(patience)
    }
}
