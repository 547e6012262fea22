//! Sends a request to an endpoint and reads its response.
//!
//! Each client's request gets a new connection, which costs an endpoint about a millisecond. An
//! idle one may have been dropped or cut off, and a request that must not be repeated would be lost
//! with it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::http::{self, Body, Chunk, Field, Framing, ResponseHead, Sink, Source};
use super::intake::Share;

/// How long the first connection attempt may take: several round trips between regions.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The most connection attempts; the SYN packet of one may be lost.
const MAX_CONNECT_ATTEMPTS: u32 = 3;
/// How long sent bytes may stay unacknowledged before the connection fails.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Why there is no response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No connection was made: the request has not run.
    #[snafu(display("connecting to {peer}: {reason}"))]
    NotSent {
        /// The endpoint.
        peer: SocketAddr,
        /// Whether there was no answer at all.
        is_silent: bool,
        /// What went wrong.
        reason: String,
    },
    /// The request may have run.
    #[snafu(display("{step} {peer}: {source}"))]
    Lost {
        /// The step that failed.
        step: &'static str,
        /// The endpoint.
        peer: SocketAddr,
        /// What went wrong.
        source: http::Error,
    },
}

impl Error {
    /// Returns whether this daemon had no room for what came.
    pub fn is_for_want_of_room(&self) -> bool {
        let source = match self {
            Self::Lost { source, .. } => Some(source),
            Self::NotSent { .. } => None,
        };
        matches!(source, Some(http::Error::NoRoom { .. }))
    }

    /// Returns whether there was no answer at all, not even a refusal.
    pub fn is_silent(&self) -> bool {
        matches!(
            self,
            Self::NotSent {
                is_silent: true,
                ..
            }
        )
    }
}

/// A connection to an endpoint without a request.
pub struct Connection {
    source: Source,
    sink: Sink,
    peer: SocketAddr,
    /// Whether another VM passes it on.
    is_detour: bool,
}

impl Connection {
    /// Makes the connection that another VM passes on to an endpoint.
    pub fn detour(source: Source, sink: Sink, peer: SocketAddr) -> Self {
        Self {
            source,
            sink,
            peer,
            is_detour: true,
        }
    }

    fn direct(stream: TcpStream, peer: SocketAddr) -> Self {
        set_socket_options(&stream);
        let (source, sink) = http::split(stream);
        Self {
            source,
            sink,
            peer,
            is_detour: false,
        }
    }

    /// Returns whether another VM passes it on.
    pub fn is_detour(&self) -> bool {
        self.is_detour
    }

    /// Returns whether the connection is open and nothing has come on it that was not asked for.
    pub fn is_quiet(&mut self) -> bool {
        self.source.is_quiet()
    }

    /// Returns both halves.
    pub fn into_halves(self) -> (Source, Sink) {
        (self.source, self.sink)
    }
}

/// Connects to a peer; retries when the SYN packet may have been lost.
pub async fn connect(peer: SocketAddr) -> Result<Connection, Error> {
    let mut result = connect_once(peer, CONNECT_TIMEOUT).await;
    for attempt in 2..=MAX_CONNECT_ATTEMPTS {
        if !result.as_ref().is_err_and(Error::is_silent) {
            break;
        }
        result = connect_once(peer, CONNECT_TIMEOUT * attempt).await;
    }
    result
}

/// Connects to a peer that answers within some time.
pub async fn connect_once(peer: SocketAddr, time: Duration) -> Result<Connection, Error> {
    let not_sent = |is_silent, reason: String| Error::NotSent {
        peer,
        is_silent,
        reason,
    };
    match timeout(time, TcpStream::connect(peer)).await {
        Ok(Ok(stream)) => Ok(Connection::direct(stream, peer)),
        Ok(Err(error)) => Err(not_sent(false, error.to_string())),
        Err(_) => Err(not_sent(true, "no answer".to_owned())),
    }
}

/// Sets socket options: no delay, and a timeout for silent peers.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    // The connection works without these options, so failures are ignored.
    drop(stream.set_nodelay(true));
    drop(socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
}

/// Returns the head of a request; with `keep_alive`, the connection may carry another one.
pub fn request_head(
    method: &str,
    target: &str,
    fields: &[Field],
    body_bytes: usize,
    keep_alive: bool,
) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    write_fields(&mut head, fields);
    if body_bytes > 0 || matches!(method, "POST" | "PUT" | "PATCH") {
        head.extend_from_slice(format!("Content-Length: {body_bytes}\r\n").as_bytes());
    }
    let connection = if keep_alive { "keep-alive" } else { "close" };
    head.extend_from_slice(format!("Connection: {connection}\r\n\r\n").as_bytes());
    head
}

/// Appends fields to a head, one per line.
pub fn write_fields(head: &mut Vec<u8>, fields: &[Field]) {
    for field in fields {
        head.extend_from_slice(field.name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(&field.value);
        head.extend_from_slice(b"\r\n");
    }
}

/// A response whose head has been read.
pub struct Response {
    /// The head.
    pub head: ResponseHead,
    /// The framing of the unread part of the body.
    pub framing: Framing,
    /// Both halves: closing the writing one would signal the endpoint that the client has gone.
    connection: Connection,
    is_request_sent: bool,
}

impl Response {
    /// Makes the response end with its head, as one to a HEAD request does whatever its fields say.
    pub fn expect_no_body(&mut self) {
        self.framing = Framing::End;
    }

    /// Returns whether another VM passes it on.
    pub fn is_detour(&self) -> bool {
        self.connection.is_detour
    }

    /// Returns whether the endpoint has dropped part of the request: what it sent last may be lost, too.
    pub fn is_cut_short(&self) -> bool {
        !self.is_request_sent || self.connection.source.is_reset()
    }

    /// Returns whether nothing of the body is left to read.
    pub fn is_read(&self) -> bool {
        self.framing == Framing::End
    }

    /// Reads the next bytes of the body, or its end.
    pub async fn chunk(&mut self) -> Result<Chunk, Error> {
        let peer = self.connection.peer;
        let step = "reading the answer of";
        let chunk = self.connection.source.chunk(&mut self.framing).await;
        chunk.map_err(|source| Error::Lost { step, peer, source })
    }

    /// Returns the connection if the response was read completely and it can carry another request.
    pub fn into_connection(mut self) -> Option<Connection> {
        let is_over = self.is_request_sent && self.head.keep_alive && self.framing == Framing::End;
        // Another VM sees only the first answer, and another one may be better next time.
        let is_over = is_over && !self.connection.is_detour;
        (is_over && self.connection.is_quiet()).then_some(self.connection)
    }

    /// Reads the whole body, for which it takes room; none when it is longer than `limit`.
    pub async fn whole(&mut self, limit: usize, share: Rc<Share>) -> Result<Option<Body>, Error> {
        let peer = self.connection.peer;
        let step = "reading the answer of";
        let source = &mut self.connection.source;
        let body = source.whole(&mut self.framing, limit, share).await;
        body.map_err(|source| Error::Lost { step, peer, source })
    }

    /// Reads the whole body; none when it is longer than `limit`.
    pub async fn body(&mut self, limit: usize) -> Result<Option<Bytes>, Error> {
        let peer = self.connection.peer;
        let step = "reading the answer of";
        let body = self.connection.source.body(&mut self.framing, limit).await;
        body.map_err(|source| Error::Lost { step, peer, source })
    }
}

/// Sends a request, whose body may come in segments, and reads the head of its response.
pub async fn send(
    mut connection: Connection,
    head: &[u8],
    body: &[&[u8]],
) -> Result<Response, Error> {
    let Connection {
        source, sink, peer, ..
    } = &mut connection;
    let peer = *peer;
    let lost = |step| move |source| Error::Lost { step, peer, source };
    let writing = http::send_segments(sink, head, body);
    // An endpoint may answer before it has read the body. The rest is not sent then.
    let head = tokio::select! {
        biased;
        head = source.response_head() => Some(head),
        written = writing => {
            written.map_err(lost("sending to"))?;
            None
        }
    };
    let is_request_sent = head.is_none();
    let head = match head {
        Some(head) => head,
        None => source.response_head().await,
    };
    let head = head.map_err(lost("waiting for the answer of"))?;
    Ok(Response {
        framing: head.framing.clone(),
        head,
        connection,
        is_request_sent,
    })
}
