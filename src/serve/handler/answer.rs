//! An endpoint's answer on its way to the client.

use std::cell::Cell;

use super::event::EventBuffer;
use super::{AcceptedRequest, AttemptOutcome, MAX_ANSWER_BYTES, Outcome, RequestHandler, lost};
use crate::serve::dispatcher::PlannedRequest;
use crate::serve::exchange;
use crate::serve::health::Verdict;
use crate::serve::http::Framing;
use crate::serve::response::ResponseWriter;

impl RequestHandler {
    /// Takes an answer whose head has been read.
    pub(super) async fn handle_response(
        &self,
        plan: &AcceptedRequest,
        seat: &dyn PlannedRequest,
        client: &mut ResponseWriter,
        events: &mut EventBuffer,
        begun: &Cell<bool>,
        mut open: exchange::Response,
    ) -> AttemptOutcome {
        let answer = self.node.protocol.parse_response(&open.head, &plan.meta.id);
        if answer.is_refusal {
            return AttemptOutcome::Refused {
                verdict: Verdict::Refused,
                inputs_lost: answer.is_input_gone,
            };
        }
        let status = open.head.status;
        let is_good = (200..300).contains(&status);
        if !answer.is_id_matching || !answer.is_sealed {
            return lost("the answer is not one to this request");
        }
        if is_good && plan.route.kind.is_stream() {
            return self
                .stream_response(plan, seat, client, events, begun, open)
                .await;
        }
        seat.started(!plan.route.kind.is_repeatable());
        let body = match open.body(MAX_ANSWER_BYTES).await {
            Ok(Some(body)) => body,
            Ok(None) => return lost("the answer is too long"),
            Err(_) => return lost("the answer broke off"),
        };
        let done = Outcome::Response(status, self.node.protocol.response_fields(&open.head), body);
        if client.has_started() && !is_good {
            return lost("a resumed stream failed");
        }
        if status >= 500 {
            return AttemptOutcome::Failed(done);
        }
        seat.ended(Verdict::Good);
        AttemptOutcome::Done(done)
    }

    /// Passes a stream of events on as it arrives.
    async fn stream_response(
        &self,
        plan: &AcceptedRequest,
        seat: &dyn PlannedRequest,
        client: &mut ResponseWriter,
        events: &mut EventBuffer,
        begun: &Cell<bool>,
        mut open: exchange::Response,
    ) -> AttemptOutcome {
        let is_resumable = plan.route.kind.is_repeatable();
        let framing = if is_resumable {
            Framing::chunked()
        } else {
            open.framing.clone()
        };
        let fields = self.node.protocol.response_fields(&open.head);
        let mut is_first = true;
        loop {
            let chunk = match open.chunk().await {
                Ok(chunk) => chunk,
                Err(_) => {
                    events.drop_partial();
                    return AttemptOutcome::Lost {
                        verdict: Verdict::Crashed,
                        reason: "the stream broke off",
                    };
                }
            };
            let is_end = chunk.is_none();
            if !is_end && std::mem::replace(&mut is_first, false) {
                seat.started(!is_resumable);
            }
            let bytes = match chunk {
                Some(bytes) if is_resumable => events.push(&bytes),
                Some(bytes) => bytes,
                None => events.take_rest(),
            };
            let sent = if !client.has_started() && (is_end || !bytes.is_empty()) {
                begun.set(true);
                client
                    .start(open.head.status, &fields, &framing, &bytes)
                    .await
            } else if bytes.is_empty() {
                Ok(())
            } else {
                client.send_chunk(&bytes).await
            };
            if sent.is_err() {
                seat.ended(Verdict::Unknown);
                return AttemptOutcome::Done(Outcome::Truncated("the client left"));
            }
            if is_end {
                seat.ended(Verdict::Good);
                return AttemptOutcome::Done(Outcome::Streamed);
            }
        }
    }
}
