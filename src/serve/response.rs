//! Responses to clients: an endpoint's response as it arrives, or a failure of the daemon itself.

use std::time::Duration;

use bytes::Bytes;

use super::exchange::write_fields;
use super::http::{self, Field, Framing, RequestHead, Sink};

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

/// Writes the response to one request.
pub struct ResponseWriter {
    sink: Sink,
    keep_alive: bool,
    /// Whether the request is a HEAD request, whose response has no body.
    is_head_request: bool,
    is_head_sent: bool,
    is_chunked: bool,
}

impl ResponseWriter {
    /// Makes a writer of the response to a request; with `keep_alive`, the connection stays open.
    pub fn new(sink: Sink, request: &RequestHead, keep_alive: bool) -> Self {
        Self {
            sink,
            keep_alive,
            is_head_request: request.is_head(),
            is_head_sent: false,
            is_chunked: false,
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
        self.is_chunked = length.is_none();
        head
    }

    /// Sends a complete response; returns a reusable connection.
    pub async fn send_whole(mut self, status: u16, fields: &[Field], body: &Bytes) -> Option<Sink> {
        let mut response = self.head(status, fields, Some(body.len() as u64));
        response.extend_from_slice(body);
        http::send(&mut self.sink, &response).await.ok()?;
        self.keep_alive.then_some(self.sink)
    }

    /// Sends the head of a response and the `first` bytes of its body.
    pub async fn start(
        &mut self,
        status: u16,
        fields: &[Field],
        framing: &Framing,
        first: &[u8],
    ) -> http::Result<()> {
        let mut head = self.head(status, fields, framing.length());
        self.write_chunk(&mut head, first);
        http::send(&mut self.sink, &head).await
    }

    fn write_chunk(&self, buffer: &mut Vec<u8>, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.is_chunked {
            buffer.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
        }
        buffer.extend_from_slice(bytes);
        if self.is_chunked {
            buffer.extend_from_slice(b"\r\n");
        }
    }

    /// Sends the next bytes of the body.
    pub async fn send_chunk(&mut self, bytes: &[u8]) -> http::Result<()> {
        let mut chunk = Vec::with_capacity(bytes.len() + 16);
        self.write_chunk(&mut chunk, bytes);
        http::send(&mut self.sink, &chunk).await
    }

    /// Ends the body; returns a reusable connection.
    pub async fn finish(mut self) -> Option<Sink> {
        if self.is_chunked {
            http::send(&mut self.sink, b"0\r\n\r\n").await.ok()?;
        }
        self.keep_alive.then_some(self.sink)
    }
}
