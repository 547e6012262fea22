//! Passes an endpoint's response on to the client.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use slog::info;
use tokio::time::timeout;

use super::event::EventBuffer;
use super::{
    AcceptedRequest, AttemptOutcome, MAX_EVENT_BYTES, MAX_RESPONSE_BYTES, Outcome, RequestHandler,
    lost,
};
use crate::quarantine::evidence::PROOF_TIME;
use crate::serve::dispatcher::PlannedRequest;
use crate::serve::ending::Ending;
use crate::serve::exchange;
use crate::serve::health::Verdict;
use crate::serve::http::{Body, Chunk, ResponseHead};
use crate::serve::intake::{FREE_BYTES, Room};
use crate::serve::origin::Origin;
use crate::serve::response::ResponseWriter;

/// How long an endpoint may be silent within a stream while this VM reaches no endpoint. Old connections may live
/// on then, and pauses of half a second between events are usual.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// How much room an incomplete event takes at a time.
const ROOM_BYTES: usize = 64 * 1024;

/// The media type of a stream.
const EVENT_STREAM: &str = "text/event-stream";

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
        self.log_fields.borrow_mut().limit = meta.limit;
        let endpoint = &planned.grant().endpoint;
        let now = self.node.clock.now();
        self.node.closures.record(endpoint, &meta, now);
        // Bytes that are no answer of the endpoint do not end its limit.
        if meta.limit.is_some() || meta.is_sealed || meta.is_refusal {
            self.node.limits().record(endpoint, meta.limit, now);
            self.node.limits().record_brittle(endpoint, meta.is_brittle);
            if meta.limit != planned.grant().limit {
                planned.limited(meta.limit);
            }
        }
        if let Some(ratio) = meta.pace.filter(|_| meta.is_sealed || meta.is_refusal) {
            self.log_fields.borrow_mut().pace = Some(ratio);
            planned.paced(ratio);
        }
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
        if client.has_started() && !(is_good && may_hold_events(&response.head)) {
            return lost("a resumed stream failed");
        }
        let ending = self.expect_end(planned, &response);
        let has_events = !response.is_read() || client.has_started();
        if is_good && has_events && request.route.kind.is_stream() {
            let answer = (response, ending);
            return self
                .stream_response(request, planned, client, events, has_started, answer)
                .await;
        }
        planned.started(!request.route.kind.is_repeatable());
        self.release_body(request);
        let body = match response.whole(MAX_RESPONSE_BYTES, self.share.clone()).await {
            Ok(Some(body)) => body,
            Ok(None) => return lost("the answer is too long"),
            Err(error) if error.is_for_want_of_room() => {
                return self.end_without_room(planned, client);
            }
            Err(_) => {
                return answer_broke_off();
            }
        };
        if !self.confirms_end(ending.as_ref(), &response).await {
            return answer_broke_off();
        }
        let outcome = Outcome::Response(
            status,
            self.node.protocol.response_fields(&response.head),
            body,
        );
        if status >= 500 {
            return AttemptOutcome::Failed(outcome);
        }
        planned.ended(Verdict::Good);
        self.record_run_time(request);
        AttemptOutcome::Done(outcome)
    }

    /// Ends a request whose answer this daemon cannot take in: the endpoint is not to blame, and another one's answer
    /// would not fit either.
    fn end_without_room(
        &self,
        planned: &dyn PlannedRequest,
        client: &ResponseWriter,
    ) -> AttemptOutcome {
        planned.ended(Verdict::Unknown);
        AttemptOutcome::Done(self.final_outcome(client, "no room for the answer"))
    }

    /// Drops the request's body if it is not sent again.
    fn release_body(&self, request: &AcceptedRequest) {
        if !self.may_repeat(request) {
            self.body.replace(Rc::new(Body::new(self.share.clone())));
        }
    }

    /// Streams a response to the client as it arrives.
    async fn stream_response(
        &self,
        request: &AcceptedRequest,
        planned: &dyn PlannedRequest,
        client: &mut ResponseWriter,
        events: &mut EventBuffer,
        has_started: &Cell<bool>,
        (mut response, ending): (exchange::Response, Option<Ending>),
    ) -> AttemptOutcome {
        // The length that an endpoint announces is not passed on: it says nothing about its events, and
        // the last chunk can still be withheld when the stream turns out to have broken off.
        let fields = self.node.protocol.response_fields(&response.head);
        let is_resumable = request.route.kind.is_repeatable();
        let mut began = None;
        let mut is_proven = false;
        events.begin();
        let mut room = Room::new(self.share.clone());
        self.release_body(request);
        loop {
            let Some(chunk) = self.next_chunk(request, planned, &mut response).await else {
                return AttemptOutcome::Lost {
                    verdict: Verdict::Unknown,
                    reason: "the link to the endpoint was lost",
                };
            };
            let (bytes, end) = match chunk {
                Ok(Chunk::Bytes(bytes)) => (events.push(&bytes), None),
                Ok(Chunk::End(end)) if events.is_whole(end) => {
                    if !self.confirms_end(ending.as_ref(), &response).await {
                        return stream_broke_off(is_proven);
                    }
                    (Bytes::new(), Some(end))
                }
                Ok(Chunk::End(_)) | Err(_) => return stream_broke_off(is_proven),
            };
            if events.partial_length() > MAX_EVENT_BYTES {
                return lost("an event of the stream is too long");
            }
            // A buffer doubles as it grows.
            let buffered = (2 * events.partial_length()).next_multiple_of(ROOM_BYTES);
            if events.partial_length() == 0 {
                room.clear();
            } else if events.partial_length() > FREE_BYTES && room.reserve(buffered).await.is_err()
            {
                return self.end_without_room(planned, client);
            }
            if end.is_none() {
                let now = self.node.clock.now();
                let began = *began.get_or_insert_with(|| {
                    planned.started(!is_resumable);
                    now
                });
                if now >= began + PROOF_TIME && !std::mem::replace(&mut is_proven, true) {
                    self.unanswered.take();
                    self.report_answering(planned);
                }
            }
            if !bytes.is_empty() {
                self.begin_stream(request).await;
            }
            let sent = if !client.has_started() && (end.is_some() || !bytes.is_empty()) {
                has_started.set(true);
                self.log_fields.borrow_mut().first_byte = Some(self.age());
                client.start(response.head.status, &fields, &bytes).await
            } else if bytes.is_empty() {
                Ok(())
            } else {
                client.send_chunk(&bytes).await
            };
            if sent.is_err() {
                planned.ended(Verdict::Unknown);
                return AttemptOutcome::Done(Outcome::Truncated("client disconnected"));
            }
            if events.is_invalid() {
                return lost("the stream has bytes that are no event of it");
            }
            if end.is_some() {
                planned.ended(Verdict::Good);
                self.record_run_time(request);
                return AttemptOutcome::Done(Outcome::Streamed);
            }
        }
    }

    /// Reads the next bytes of a stream; returns none when another endpoint should go on with it, since this VM
    /// does not reach the endpoint any more.
    async fn next_chunk(
        &self,
        request: &AcceptedRequest,
        planned: &dyn PlannedRequest,
        response: &mut exchange::Response,
    ) -> Option<Result<Chunk, exchange::Error>> {
        loop {
            if let Ok(chunk) = timeout(SILENCE_TIMEOUT, response.chunk()).await {
                return Some(chunk);
            }
            let is_reached = response.is_detour() || !self.node.dialer.is_down();
            if !is_reached && self.may_repeat(request) {
                info!(self.node.log, "stream silent";
                    "id" => &*request.meta.id, "endpoint" => &*planned.grant().endpoint);
                return None;
            }
        }
    }

    /// Tells the planner that the answer goes on, if it wants to know.
    fn report_answering(&self, planned: &dyn PlannedRequest) {
        if planned.grant().is_watched {
            planned.answering();
        }
    }

    /// Records which software version begins the stream; it goes on at no other one.
    async fn begin_stream(&self, request: &AcceptedRequest) {
        if self.has_begun.replace(true) {
            return;
        }
        let sent = self.sent_release.borrow().clone();
        let release = self.release.borrow().clone().or(sent);
        self.release.borrow_mut().clone_from(&release);
        if let Some(release) = release.filter(|_| request.route.kind.is_repeatable()) {
            let meta = &request.meta;
            let service = request.service.clone();
            let attempt = meta.resumes.as_ref().unwrap_or(&meta.id);
            self.node
                .origins
                .begin(attempt, Origin { service, release })
                .await;
        }
    }
}

/// Returns whether the body of a response may be events; one that does not say what it is may.
fn may_hold_events(head: &ResponseHead) -> bool {
    let kind = head.fields.get("Content-Type");
    kind.is_none_or(|kind| kind.trim_start().starts_with(EVENT_STREAM))
}

fn answer_broke_off() -> AttemptOutcome {
    AttemptOutcome::Lost {
        verdict: Verdict::Crashed,
        reason: "the answer broke off",
    }
}

/// Makes the outcome of a broken stream. One that has been answered for a while did not end its endpoint.
fn stream_broke_off(is_proven: bool) -> AttemptOutcome {
    let verdict = if is_proven {
        Verdict::Lost
    } else {
        Verdict::Crashed
    };
    AttemptOutcome::Lost {
        verdict,
        reason: "the stream broke off",
    }
}
