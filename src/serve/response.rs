//! Responses to clients: an endpoint's response as it arrives, or a failure of the daemon itself.

use std::rc::Rc;
use std::time::Duration;

use super::exchange::write_fields;
use super::http::{self, Field, LAST_CHUNK, RequestHead, Sink, write_chunk};
use super::intake::Share;

fn status_text(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Returns a response without a body.
pub fn empty_response(
    status: u16,
    fields: &[Field],
    retry_after: Option<Duration>,
    keep_alive: bool,
) -> Vec<u8> {
    let mut response = format!("HTTP/1.1 {status} {}\r\n", status_text(status)).into_bytes();
    write_fields(&mut response, fields);
    if let Some(retry_after) = retry_after {
        let retry_after = format!("Retry-After: {:.2}\r\n", retry_after.as_secs_f64());
        response.extend_from_slice(retry_after.as_bytes());
    }
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let end = format!("Content-Length: 0\r\nConnection: {connection}\r\n\r\n");
    response.extend_from_slice(end.as_bytes());
    response
}

/// Returns a response with a page of text.
pub fn text_response(page: &str, keep_alive: bool) -> Vec<u8> {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let size = page.len();
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain";
    format!("{head}\r\nContent-Length: {size}\r\nConnection: {connection}\r\n\r\n{page}")
        .into_bytes()
}

/// The longest body that is held for a client of HTTP/1.0.
const MAX_HELD_BYTES: usize = 8 * 1024 * 1024;

/// Writes the response to one request.
pub struct ResponseWriter {
    sink: Sink,
    keep_alive: bool,
    /// Whether the request is a HEAD request, whose response has no body.
    is_head_request: bool,
    /// Whether the client understands chunks.
    is_http_1_1: bool,
    is_head_sent: bool,
    body: Body,
    share: Rc<Share>,
}

/// How the body is sent.
enum Body {
    /// As it comes; its length was announced.
    Plain,
    /// As it comes, in chunks.
    Chunked,
    /// With its length once it is complete: to a client of HTTP/1.0, a close would end a part of it as
    /// well as the whole. Contains the head's fields and the body so far.
    Held(u16, Vec<Field>, http::Body),
}

impl ResponseWriter {
    /// Makes a writer of the response to a request; with `keep_alive`, the connection stays open. What it has to hold
    /// counts to the client's share.
    pub fn new(sink: Sink, request: &RequestHead, keep_alive: bool, share: Rc<Share>) -> Self {
        Self {
            sink,
            keep_alive,
            is_head_request: request.is_head(),
            is_http_1_1: request.is_http_1_1,
            is_head_sent: false,
            body: Body::Plain,
            share,
        }
    }

    /// Returns whether a part of the response was sent.
    pub fn has_started(&self) -> bool {
        self.is_head_sent
    }

    /// Makes the connection close after this response.
    pub fn close_after(&mut self) {
        self.keep_alive = false;
    }

    /// Sends a failure of the daemon itself; returns a reusable connection.
    pub async fn send_error(
        mut self,
        status: u16,
        fields: &[Field],
        retry_after: Option<Duration>,
    ) -> Option<Sink> {
        let response = empty_response(status, fields, retry_after, self.keep_alive);
        http::send(&mut self.sink, &response).await.ok()?;
        self.keep_alive.then_some(self.sink)
    }

    /// Returns the head of a response; without a length, the body is sent in chunks.
    fn head(&mut self, status: u16, fields: &[Field], length: Option<u64>) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {status} {}\r\n", status_text(status)).into_bytes();
        write_fields(&mut head, fields);
        let framing = match length {
            _ if self.is_head_request || !http::has_body(status) => String::new(),
            Some(length) => format!("Content-Length: {length}\r\n"),
            None => "Transfer-Encoding: chunked\r\n".to_owned(),
        };
        head.extend_from_slice(framing.as_bytes());
        let connection = if self.keep_alive {
            "keep-alive"
        } else {
            "close"
        };
        head.extend_from_slice(format!("Connection: {connection}\r\n\r\n").as_bytes());
        self.is_head_sent = true;
        head
    }

    /// Sends a complete response; returns a reusable connection.
    pub async fn send_whole(
        mut self,
        status: u16,
        fields: &[Field],
        body: &http::Body,
    ) -> Option<Sink> {
        let head = self.head(status, fields, Some(body.len() as u64));
        let segments: Vec<&[u8]> = body.segments().collect();
        let sent = http::send_segments(&mut self.sink, &head, &segments).await;
        sent.ok()?;
        self.keep_alive.then_some(self.sink)
    }

    /// Sends the head of a response and the `first` bytes of its body, whose length is not known yet.
    pub async fn start(&mut self, status: u16, fields: &[Field], first: &[u8]) -> http::Result<()> {
        if !self.is_http_1_1 {
            self.is_head_sent = true;
            self.body = Body::Held(status, fields.to_vec(), http::Body::new(self.share.clone()));
            return self.send_chunk(first).await;
        }
        let mut head = self.head(status, fields, None);
        self.body = Body::Chunked;
        write_chunk(&mut head, first);
        http::send(&mut self.sink, &head).await
    }

    /// Sends the next bytes of the body.
    ///
    /// # Errors
    ///
    /// Fails when the connection does, and when a body that is held becomes too long.
    pub async fn send_chunk(&mut self, bytes: &[u8]) -> http::Result<()> {
        match &mut self.body {
            Body::Plain => http::send(&mut self.sink, bytes).await,
            Body::Chunked => {
                let mut chunk = Vec::with_capacity(bytes.len() + 16);
                write_chunk(&mut chunk, bytes);
                http::send(&mut self.sink, &chunk).await
            }
            Body::Held(_, _, held) if held.len() + bytes.len() > MAX_HELD_BYTES => {
                http::BodyTooLongSnafu {
                    limit: MAX_HELD_BYTES,
                }
                .fail()
            }
            Body::Held(_, _, held) => held.append(bytes).await,
        }
    }

    /// Ends the body; returns a reusable connection.
    pub async fn finish(mut self) -> Option<Sink> {
        match std::mem::replace(&mut self.body, Body::Plain) {
            Body::Plain => {}
            Body::Chunked => http::send(&mut self.sink, LAST_CHUNK).await.ok()?,
            Body::Held(status, fields, held) => {
                return self.send_whole(status, &fields, &held).await;
            }
        }
        self.keep_alive.then_some(self.sink)
    }
}
