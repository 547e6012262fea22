//! What a client gets: the endpoint's answer as it arrives, or a failure of our own.

use std::time::Duration;

use bytes::Bytes;

use super::exchange::write_fields;
use super::http::{self, Field, Framing, Sink};

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

/// Writes a failure of our own, whole.
pub fn error_response(
    status: u16,
    fields: &[Field],
    wait: Option<Duration>,
    keep_alive: bool,
) -> Vec<u8> {
    let mut answer = format!("HTTP/1.1 {status} {}\r\n", status_text(status)).into_bytes();
    write_fields(&mut answer, fields);
    if let Some(wait) = wait {
        let wait = format!("Retry-After: {:.2}\r\n", wait.as_secs_f64());
        answer.extend_from_slice(wait.as_bytes());
    }
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let end = format!("Content-Length: 0\r\nConnection: {connection}\r\n\r\n");
    answer.extend_from_slice(end.as_bytes());
    answer
}

/// Writes a page of text, whole.
pub fn text_response(page: &str, keep: bool) -> Vec<u8> {
    let connection = if keep { "keep-alive" } else { "close" };
    let size = page.len();
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain";
    format!("{head}\r\nContent-Length: {size}\r\nConnection: {connection}\r\n\r\n{page}")
        .into_bytes()
}

/// The client of one request.
pub struct ResponseWriter {
    sink: Sink,
    keep: bool,
    is_head_sent: bool,
    is_chunked: bool,
}

impl ResponseWriter {
    /// Makes one that has got nothing yet.
    pub fn new(sink: Sink, keep: bool) -> Self {
        Self {
            sink,
            keep,
            is_head_sent: false,
            is_chunked: false,
        }
    }

    /// Returns whether a part of an answer was sent.
    pub fn has_started(&self) -> bool {
        self.is_head_sent
    }

    /// Ends the connection after this answer.
    pub fn close_after(&mut self) {
        self.keep = false;
    }

    /// Sends a failure of our own; returns the connection when it can carry another request.
    pub async fn send_error(
        mut self,
        status: u16,
        fields: &[Field],
        wait: Option<Duration>,
    ) -> Option<Sink> {
        let answer = error_response(status, fields, wait, self.keep);
        http::send(&mut self.sink, &answer).await.ok()?;
        self.keep.then_some(self.sink)
    }

    fn head(&mut self, status: u16, fields: &[Field], length: Option<u64>) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {status} {}\r\n", status_text(status)).into_bytes();
        write_fields(&mut head, fields);
        let framing = match length {
            Some(length) => format!("Content-Length: {length}\r\n"),
            None => "Transfer-Encoding: chunked\r\n".to_owned(),
        };
        head.extend_from_slice(framing.as_bytes());
        let connection = if self.keep { "keep-alive" } else { "close" };
        head.extend_from_slice(format!("Connection: {connection}\r\n\r\n").as_bytes());
        self.is_head_sent = true;
        self.is_chunked = length.is_none();
        head
    }

    /// Sends a whole answer.
    pub async fn send_whole(mut self, status: u16, fields: &[Field], body: &Bytes) -> Option<Sink> {
        let mut answer = self.head(status, fields, Some(body.len() as u64));
        answer.extend_from_slice(body);
        http::send(&mut self.sink, &answer).await.ok()?;
        self.keep.then_some(self.sink)
    }

    /// Sends the head of an answer whose body follows in pieces.
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

    fn write_chunk(&self, to: &mut Vec<u8>, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.is_chunked {
            to.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
        }
        to.extend_from_slice(bytes);
        if self.is_chunked {
            to.extend_from_slice(b"\r\n");
        }
    }

    /// Sends the next bytes of the body.
    pub async fn send_chunk(&mut self, bytes: &[u8]) -> http::Result<()> {
        let mut chunk = Vec::with_capacity(bytes.len() + 16);
        self.write_chunk(&mut chunk, bytes);
        http::send(&mut self.sink, &chunk).await
    }

    /// Ends the body; returns the connection when it can carry another request.
    pub async fn finish(mut self) -> Option<Sink> {
        if self.is_chunked {
            http::send(&mut self.sink, b"0\r\n\r\n").await.ok()?;
        }
        self.keep.then_some(self.sink)
    }
}
