//! Handles requests by method and path.

use std::convert::Infallible;
use std::sync::Arc;

use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{ALLOW, CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use serde::de::IgnoredAny;

use super::head::Head;
use super::problem::{self, Problem};
use super::server::Shared;
use super::transcript::{Piece, Reader};
use super::{Submission, sse, wait_while_paused};
use crate::pipeline::Finish;
use crate::{id, pipeline};

/// The longest pipeline name in a path, in bytes.
const MAX_PIPELINE_NAME_BYTES: usize = 128;

/// A response, complete or streamed.
pub type Reply = Response<UnsyncBoxBody<Bytes, Infallible>>;

type Outcome = Result<Reply, Problem>;

/// Handles one HTTP request.
pub async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Reply, Infallible> {
    wait_while_paused(&*shared.host).await;
    let id = uuid::Uuid::now_v7();
    let reply = match answer(&shared, id, request).await {
        Ok(reply) => reply,
        Err(problem) => problem_reply(&problem),
    };
    wait_while_paused(&*shared.host).await;
    Ok(reply)
}

async fn answer(shared: &Shared, id: id::Request, request: Request<Incoming>) -> Outcome {
    let path = request.uri().path().to_owned();
    let is_get = request.method() == Method::GET;
    match path.as_str() {
        "/healthz" if is_get => return Ok(plain_reply(id, StatusCode::OK, "ok")),
        "/readyz" if is_get => return Ok(readiness(shared, id)),
        _ => {}
    }
    let head = Head::read(request.headers(), shared.bounds.max_timeout)
        .map_err(|error| bad_request(id, "header", error))?;
    if let Some(name) = path.strip_prefix("/v1/pipelines/") {
        if request.method() != Method::POST {
            return Ok(not_allowed(id, "POST"));
        }
        return run_pipeline(shared, id, head, name, request).await;
    }
    if let Some(request_id) = path.strip_prefix("/v1/requests/") {
        if !is_get {
            return Ok(not_allowed(id, "GET"));
        }
        return look_up(shared, id, &head, request_id).await;
    }
    Err(not_found(id, "there is nothing at this path"))
}

fn readiness(shared: &Shared, id: id::Request) -> Reply {
    if shared.host.is_ready() {
        plain_reply(id, StatusCode::OK, "ready")
    } else {
        plain_reply(id, StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

fn authorize(shared: &Shared, id: id::Request, head: &Head) -> Result<id::Workspace, Problem> {
    let workspace = shared.keys.workspace(&head.authorization);
    workspace.ok_or_else(|| {
        let detail = "a bearer key of a workspace is needed";
        Problem::rejection(id, StatusCode::UNAUTHORIZED, "unauthorized", detail)
    })
}

async fn run_pipeline(
    shared: &Shared,
    id: id::Request,
    head: Head,
    name: &str,
    request: Request<Incoming>,
) -> Outcome {
    let workspace = authorize(shared, id, &head)?;
    let plan = (name.len() <= MAX_PIPELINE_NAME_BYTES).then(|| shared.host.plan(name));
    let Some(plan) = plan.flatten() else {
        return Err(not_found(id, "there is no pipeline of this name"));
    };
    if !plan.is_repeatable() && head.key.is_none() {
        let detail = "this pipeline has a stage that may not be repeated; send Idempotency-Key";
        return Err(bad_request(id, "key-required", detail));
    }
    let has_required_issue_time = plan.is_repeatable() || head.issued.is_some();
    if !has_required_issue_time && shared.keys.requires_issue_time(&workspace) {
        let detail = "this workspace's keys must be UUIDv7, or come with X-Request-Issued-At";
        return Err(bad_request(id, "issue-time-required", detail));
    }
    let body = read_body(shared, id, request).await?;
    let timeout = head.timeout.map_or(plan.deadline, |t| t.min(plan.deadline));
    let request = pipeline::Request {
        id,
        workspace,
        key: head.key,
        issued: head.issued,
        digest: pipeline::digest(&plan.name, &body),
        body,
        stream: head.stream,
    };
    let submission = Submission {
        request,
        plan,
        timeout,
    };
    wait_while_paused(&*shared.host).await;
    let transcript = shared.host.submit(submission);
    let transcript = transcript.map_err(|finish| problem::from_finish(id, &finish))?;
    reply(id, head.stream, transcript.read(0)).await
}

async fn look_up(shared: &Shared, id: id::Request, head: &Head, request_id: &str) -> Outcome {
    let workspace = authorize(shared, id, head)?;
    let wanted = uuid::Uuid::parse_str(request_id).ok();
    let transcript = wanted.and_then(|w| shared.transcripts.get(w, &workspace));
    let Some(transcript) = transcript else {
        return Err(not_found(id, "there is no such request at this daemon"));
    };
    let id = transcript.request();
    if !head.stream && transcript.ended().is_none() {
        let text = format!(
            r#"{{"request":"{id}","state":"running","tokens":{}}}"#,
            transcript.tokens()
        );
        return Ok(full_reply(
            id,
            StatusCode::ACCEPTED,
            "application/json",
            text,
        ));
    }
    reply(id, head.stream, transcript.read(head.seen)).await
}

/// Replies with an event stream, or with the whole answer at the end.
async fn reply(id: id::Request, stream: bool, mut reader: Reader) -> Outcome {
    if !stream {
        let finish = reader.transcript().wait().await;
        return finished_reply(id, &finish);
    }
    // The status depends on the first piece, so that a refusal is a problem and not a stream.
    let first = reader.next().await;
    match first {
        Piece::End(finish) if !matches!(finish, Finish::Answer(_)) => finished_reply(id, &finish),
        first => {
            let body = sse::body(first, reader).boxed_unsync();
            let mut reply = Response::new(body);
            set_headers(&mut reply, id, "text/event-stream");
            let headers = reply.headers_mut();
            headers.insert(CACHE_CONTROL, header_value("no-store"));
            Ok(reply)
        }
    }
}

fn finished_reply(id: id::Request, finish: &Finish) -> Outcome {
    match finish {
        Finish::Answer(body) => Ok(full_reply(
            id,
            StatusCode::OK,
            "application/json",
            body.to_string(),
        )),
        other => Err(problem::from_finish(id, other)),
    }
}

/// Reads a body of JSON text, bounded in size and time.
async fn read_body(
    shared: &Shared,
    id: id::Request,
    request: Request<Incoming>,
) -> Result<id::Name, Problem> {
    let max = shared.bounds.max_body_bytes;
    let body = request.into_body();
    if body.size_hint().lower() > max as u64 {
        return Err(too_large(id, max));
    }
    let read = Limited::new(body, max).collect();
    let Ok(read) = tokio::time::timeout(shared.bounds.body_timeout, read).await else {
        let detail = "the body did not arrive in time";
        return Err(Problem::rejection(
            id,
            StatusCode::REQUEST_TIMEOUT,
            "body-timeout",
            detail,
        ));
    };
    let bytes = read.map_err(|error| {
        if error.is::<LengthLimitError>() {
            too_large(id, max)
        } else {
            bad_request(id, "body", "the body is incomplete")
        }
    })?;
    json_text(&bytes.to_bytes()).ok_or_else(|| bad_request(id, "body", "the body is not JSON text"))
}

fn json_text(bytes: &[u8]) -> Option<id::Name> {
    let text = std::str::from_utf8(bytes).ok()?;
    serde_json::from_str::<IgnoredAny>(text).ok()?;
    Some(text.into())
}

fn too_large(id: id::Request, max: usize) -> Problem {
    let detail = format!("the body is longer than {max} bytes");
    Problem::rejection(id, StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail)
}

fn bad_request(id: id::Request, kind: &'static str, detail: &str) -> Problem {
    Problem::rejection(id, StatusCode::BAD_REQUEST, kind, detail)
}

fn not_found(id: id::Request, detail: &str) -> Problem {
    Problem::rejection(id, StatusCode::NOT_FOUND, "not-found", detail)
}

fn not_allowed(id: id::Request, allowed: &'static str) -> Reply {
    let detail = "the path does not support this method";
    let status = StatusCode::METHOD_NOT_ALLOWED;
    let mut reply = problem_reply(&Problem::rejection(id, status, "method", detail));
    reply.headers_mut().insert(ALLOW, header_value(allowed));
    reply
}

fn problem_reply(problem: &Problem) -> Reply {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = "application/problem+json";
    let mut reply = full_reply(problem.request, status, content_type, problem.text());
    if let Some(seconds) = problem.retry_after() {
        reply.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    reply
}

fn plain_reply(id: id::Request, status: StatusCode, text: &str) -> Reply {
    full_reply(id, status, "text/plain", text.to_owned())
}

fn full_reply(
    id: id::Request,
    status: StatusCode,
    content_type: &'static str,
    text: String,
) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)).boxed_unsync());
    *reply.status_mut() = status;
    set_headers(&mut reply, id, content_type);
    reply
}

fn set_headers(reply: &mut Reply, id: id::Request, content_type: &'static str) {
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, header_value(content_type));
    if let Ok(id) = id.to_string().try_into() {
        headers.insert("x-request-id", id);
    }
}

fn header_value(text: &'static str) -> hyper::header::HeaderValue {
    hyper::header::HeaderValue::from_static(text)
}
