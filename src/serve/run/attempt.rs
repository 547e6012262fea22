//! One attempt at the endpoint that was granted.

use std::cell::Cell;
use std::time::Duration;

use slog::info;
use tokio::time::timeout;

use super::event::Events;
use super::{MIN_PATIENCE, PATIENCE, Plan, Run, Tried, lost};
use crate::serve::dispatcher::PlannedRequest;
use crate::serve::exchange;
use crate::serve::health::Verdict;
use crate::serve::protocol::ForwardMeta;
use crate::serve::response::ResponseWriter;

impl Run {
    /// Sends it to the endpoint that was granted.
    pub(super) async fn attempt(
        &self,
        plan: &Plan,
        seat: &dyn PlannedRequest,
        client: &mut ResponseWriter,
        events: &mut Events,
        begun: &Cell<bool>,
    ) -> Tried {
        let id = seat.grant().endpoint.clone();
        self.note.borrow_mut().endpoint = Some(id.clone());
        let address = seat.grant().address;
        let turned = |verdict| Tried::Turned {
            verdict,
            again: false,
        };
        if self.node.is_leaving(&id) {
            return turned(Verdict::Unknown);
        }
        let channel = match exchange::connect(address).await {
            Ok(channel) => channel,
            Err(error) => {
                info!(self.node.log, "endpoint not reached";
                    "id" => &*plan.ask.id, "endpoint" => &*id, "error" => %error);
                return turned(Verdict::Lost);
            }
        };
        let order = self.order(plan, seat, events);
        let fields = self.node.protocol.forward_fields(&self.head, &order);
        let (method, target) = (&self.head.method, &self.head.target);
        let head = exchange::request_head(method, target, &fields, self.body.len(), false);
        let sending = exchange::send(channel, &head, &self.body);
        self.may_have_run.set(true);
        self.note.borrow_mut().sent += 1;
        self.stays
            .set(!plan.route.kind.is_stream() && !plan.route.kind.is_repeatable());
        let opened = match self.patience(plan) {
            Some(patience) => timeout(patience, sending).await,
            None => Ok(sending.await),
        };
        match opened {
            Ok(Ok(open)) => self.take(plan, seat, client, events, begun, open).await,
            Ok(Err(error)) => {
                info!(self.node.log, "no answer";
                    "id" => &*plan.ask.id, "endpoint" => &*id, "error" => %error);
                Tried::Lost {
                    verdict: Verdict::Crashed,
                    reason: "the connection to the endpoint was lost",
                }
            }
            Err(_) => lost("the endpoint did not answer in time"),
        }
    }

    fn order(&self, plan: &Plan, seat: &dyn PlannedRequest, events: &Events) -> ForwardMeta {
        ForwardMeta {
            endpoint: seat.grant().endpoint.clone(),
            remaining: plan.end.saturating_sub(self.node.clock.now()),
            workspace: plan.workspace.clone(),
            priority: plan.is_staged.then_some(plan.priority),
            inputs: seat.grant().inputs.clone(),
            last_event_id: events
                .last()
                .or(plan.ask.last_event_id.as_deref())
                .map(str::to_owned),
        }
    }

    /// Returns how long an endpoint may stay silent, where another one may be asked instead.
    fn patience(&self, plan: &Plan) -> Option<Duration> {
        let patience = plan
            .route
            .target_latency
            .mul_f64(PATIENCE)
            .max(MIN_PATIENCE);
        self.may_repeat(plan).then_some(patience)
    }
}
