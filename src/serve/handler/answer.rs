//! Passes an endpoint's response on to the client.

use std::cell::Cell;

use super::event::EventBuffer;
use super::{AcceptedRequest, AttemptOutcome, MAX_RESPONSE_BYTES, Outcome, RequestHandler, lost};
use crate::serve::dispatcher::PlannedRequest;
use crate::serve::exchange;
use crate::serve::health::Verdict;
use crate::serve::http::Framing;
use crate::serve::response::ResponseWriter;

impl RequestHandler {
    /// Handles a response whose head has been read.
    pub(super) async fn handle_response(
        &self,
        request: &AcceptedRequest,
        planned: &dyn PlannedRequest,
        client: &mut ResponseWriter,
        events: &mut EventBuffer,
        has_started: &Cell<bool>,
        mut response: exchange::Response,
    ) -> AttemptOutcome {
        self.log_fields.borrow_mut().framing = Some(response.framing.name());
        let meta = self
            .node
            .protocol
            .parse_response(&response.head, &request.meta.id);
        if meta.is_refusal {
            return AttemptOutcome::NotRun {
                verdict: Verdict::Refused,
                inputs_lost: meta.is_input_lost,
            };
        }
        let status = response.head.status;
        let is_good = (200..300).contains(&status);
        if !meta.is_id_matching || !meta.is_sealed {
            return lost("the answer has another id or no signature");
        }
        if is_good && request.route.kind.is_stream() {
            return self
                .stream_response(request, planned, client, events, has_started, response)
                .await;
        }
        planned.started(!request.route.kind.is_repeatable());
        let body = match response.body(MAX_RESPONSE_BYTES).await {
            Ok(Some(body)) => body,
            Ok(None) => return lost("the answer is too long"),
            Err(_) => return lost("the answer broke off"),
        };
        let outcome = Outcome::Response(
            status,
            self.node.protocol.response_fields(&response.head),
            body,
        );
        if client.has_started() && !is_good {
            return lost("a resumed stream failed");
        }
        if status >= 500 {
            return AttemptOutcome::Failed(outcome);
        }
        planned.ended(Verdict::Good);
        AttemptOutcome::Done(outcome)
    }

    /// Streams a response to the client as it arrives.
    async fn stream_response(
        &self,
        request: &AcceptedRequest,
        planned: &dyn PlannedRequest,
        client: &mut ResponseWriter,
        events: &mut EventBuffer,
        has_started: &Cell<bool>,
        mut response: exchange::Response,
    ) -> AttemptOutcome {
        let is_resumable = request.route.kind.is_repeatable();
        let framing = if is_resumable {
            Framing::chunked()
        } else {
            response.framing.clone()
        };
        let fields = self.node.protocol.response_fields(&response.head);
        let mut is_first = true;
        loop {
            let chunk = match response.chunk().await {
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
                planned.started(!is_resumable);
            }
            let bytes = match chunk {
                Some(bytes) if is_resumable => events.push(&bytes),
                Some(bytes) => bytes,
                None => events.take_rest(),
            };
            let sent = if !client.has_started() && (is_end || !bytes.is_empty()) {
                has_started.set(true);
                client
                    .start(response.head.status, &fields, &framing, &bytes)
                    .await
            } else if bytes.is_empty() {
                Ok(())
            } else {
                client.send_chunk(&bytes).await
            };
            if sent.is_err() {
                planned.ended(Verdict::Unknown);
                return AttemptOutcome::Done(Outcome::Truncated("client disconnected"));
            }
            if is_end {
                planned.ended(Verdict::Good);
                return AttemptOutcome::Done(Outcome::Streamed);
            }
        }
    }
}
