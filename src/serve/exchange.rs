//! One request to an endpoint, and its answer.
//!
//! A client's request gets a connection of its own: a new one costs an endpoint about a millisecond,
//! while a kept one may have been dropped or have gone silent, and then a request that must not be
//! repeated is lost with it. Calls of the system itself may be repeated and use kept ones.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::http::{self, Field, Framing, ResponseHead, Sink, Source};

/// How long the first attempt at a connection may take: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Attempts at a connection; the opening packet may be lost.
const MAX_CONNECT_ATTEMPTS: u32 = 3;
/// Bodies below this many bytes are sent with their head.
const MAX_JOINED_BODY_BYTES: usize = 1024;
/// How long sent bytes may stay without an acknowledgement.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Why there is no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// Nothing was sent: the request has not run.
    #[snafu(display("connecting to {peer}: {reason}"))]
    NotSent {
        /// The endpoint.
        peer: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The request may have run.
    #[snafu(display("{step} {peer}: {source}"))]
    Lost {
        /// What was being done.
        step: &'static str,
        /// The endpoint.
        peer: SocketAddr,
        /// What went wrong.
        source: http::Error,
    },
}

/// A connection to an endpoint on which nothing is under way.
pub struct Connection {
    source: Source,
    sink: Sink,
    peer: SocketAddr,
}

impl Connection {
    /// Returns whether it is open and carries no bytes that nobody asked for.
    pub fn is_reusable(&mut self) -> bool {
        self.source.is_reusable()
    }
}

/// Connects, with another attempt when the opening packet may have been lost.
pub async fn connect(peer: SocketAddr) -> Result<Connection, Error> {
    let mut reason = String::new();
    for attempt in 1..=MAX_CONNECT_ATTEMPTS {
        match timeout(CONNECT_TIMEOUT * attempt, TcpStream::connect(peer)).await {
            Ok(Ok(stream)) => {
                set_socket_options(&stream);
                let (source, sink) = http::split(stream);
                return Ok(Connection { source, sink, peer });
            }
            Ok(Err(error)) => {
                reason = error.to_string();
                break;
            }
            Err(_) => "no answer".clone_into(&mut reason),
        }
    }
    Err(Error::NotSent { peer, reason })
}

/// Sets what a connection needs so that a silent other side is noticed.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    // A platform without these options serves all the same, so a failure is of no consequence.
    drop(stream.set_nodelay(true));
    drop(socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
}

/// Writes the head of a request; with `keep`, the connection may carry another one.
pub fn request_head(
    method: &str,
    target: &str,
    fields: &[Field],
    body: usize,
    keep: bool,
) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    write_fields(&mut head, fields);
    if body > 0 || matches!(method, "POST" | "PUT" | "PATCH") {
        head.extend_from_slice(format!("Content-Length: {body}\r\n").as_bytes());
    }
    let connection = if keep { "keep-alive" } else { "close" };
    head.extend_from_slice(format!("Connection: {connection}\r\n\r\n").as_bytes());
    head
}

/// Writes fields, one a line.
pub fn write_fields(head: &mut Vec<u8>, fields: &[Field]) {
    for field in fields {
        head.extend_from_slice(field.name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(&field.value);
        head.extend_from_slice(b"\r\n");
    }
}

/// An answer whose head has been read.
pub struct Response {
    /// The head.
    pub head: ResponseHead,
    /// What is left of the body.
    pub framing: Framing,
    /// Both sides: closing the writing one would tell the endpoint that nobody waits.
    connection: Connection,
    is_request_sent: bool,
}

impl Response {
    /// Reads the next bytes of the body; none at its end.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        let peer = self.connection.peer;
        let step = "reading the answer of";
        let chunk = self.connection.source.chunk(&mut self.framing).await;
        chunk.map_err(|source| Error::Lost { step, peer, source })
    }

    /// Returns the connection when the answer was read whole and it can carry another request.
    pub fn into_connection(mut self) -> Option<Connection> {
        let is_over = self.is_request_sent && self.head.keep_alive && self.framing == Framing::End;
        (is_over && self.connection.is_reusable()).then_some(self.connection)
    }

    /// Reads the whole body; none when it is longer than `limit`.
    pub async fn body(&mut self, limit: usize) -> Result<Option<Bytes>, Error> {
        let peer = self.connection.peer;
        let step = "reading the answer of";
        let body = self.connection.source.body(&mut self.framing, limit).await;
        body.map_err(|source| Error::Lost { step, peer, source })
    }
}

/// Sends a request and reads the head of its answer.
pub async fn send(mut channel: Connection, head: &[u8], body: &[u8]) -> Result<Response, Error> {
    let Connection { source, sink, peer } = &mut channel;
    let peer = *peer;
    let lost = |step| move |source| Error::Lost { step, peer, source };
    let writing = async {
        if body.len() < MAX_JOINED_BODY_BYTES {
            http::send(sink, &[head, body].concat()).await
        } else {
            http::send(sink, head).await?;
            http::send(sink, body).await
        }
    };
    // An endpoint may answer before it has read the body; the rest is not sent then, and the
    // connection carries nothing else.
    let reply = tokio::select! {
        biased;
        reply = source.response_head() => Some(reply),
        written = writing => {
            written.map_err(lost("sending to"))?;
            None
        }
    };
    let is_sent = reply.is_none();
    let reply = match reply {
        Some(reply) => reply,
        None => source.response_head().await,
    };
    let reply = reply.map_err(lost("waiting for the answer of"))?;
    Ok(Response {
        framing: reply.framing.clone(),
        head: reply,
        connection: channel,
        is_request_sent: is_sent,
    })
}
