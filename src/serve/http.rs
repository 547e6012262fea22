//! HTTP/1.1 for clients and endpoints: strict heads, framed bodies, and how each connection ended.
//!
//! Forwarding needs what a general client hides: whether a body ended with a close or a reset, and
//! whether unexpected bytes follow a response. See
//! [the design note](../../docs/design/fleet.md).

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use snafu::Snafu;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::sleep;

use super::intake::Share;

mod body;
mod head;
mod whole;

pub use body::{Chunk, End, Framing, LAST_CHUNK, write_chunk};
pub use head::{Field, Fields, RequestHead, ResponseHead, field, has_body};
pub use whole::Body;

/// The size of one read from a socket; prompts arrive in a few reads.
const READ_BYTES: usize = 16 * 1024;
/// The longest head of a response.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// Shorter bodies are sent in one write with their head.
const MIN_SEPARATE_BODY_BYTES: usize = 1024;
/// The most bytes that are buffered from a client while its request is served, so that a disconnect is seen at once.
const MAX_READ_AHEAD_BYTES: usize = 8 * 1024;
/// How often a client that has sent more is checked for a disconnect.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Why a message could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The connection failed; what was sent on it may have been received.
    #[snafu(display("the connection failed: {source}"))]
    Io {
        /// The operating system's error.
        source: io::Error,
    },
    /// The connection was closed in the middle of a message.
    #[snafu(display("the connection was closed within a message"))]
    Truncated,
    /// The bytes are not a message, or its framing is ambiguous.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The body is too long.
    #[snafu(display("the body is over {limit} bytes"))]
    BodyTooLong {
        /// The longest body, in bytes.
        limit: usize,
    },
    /// There is no room for the bytes.
    #[snafu(display("no room for the body for {} ms", wait.as_millis()))]
    NoRoom {
        /// After what time there may be.
        wait: Duration,
    },
    /// The head is too long.
    #[snafu(display("the head is over {limit} bytes"))]
    HeadTooLong {
        /// The longest head, in bytes.
        limit: usize,
    },
}

/// The result of a read or write.
pub type Result<T> = std::result::Result<T, Error>;

/// The reading half of a connection, with the bytes that were read ahead.
pub struct Source {
    socket: OwnedReadHalf,
    buffer: BytesMut,
    carriage: Carriage,
}

/// How a peer's bytes come, and so what a close of the connection says.
enum Carriage {
    /// On a connection of the peer's own, which closes it.
    Direct,
    /// In the chunks of a carrier. Only the last one tells that the peer has closed.
    Chunked { framing: Framing, encoded: BytesMut },
    /// As a carrier of an earlier release passes them on: a close may be the end of the carrier.
    Plain,
}

/// The writing half of a connection.
pub type Sink = OwnedWriteHalf;

/// Splits a connection, so that a disconnect is detected while a response is written.
pub fn split(stream: TcpStream) -> (Source, Sink) {
    let (socket, sink) = stream.into_split();
    let source = Source {
        socket,
        buffer: BytesMut::new(),
        carriage: Carriage::Direct,
    };
    (source, sink)
}

/// Parses the head of a response at the start of some bytes, behind interim ones; returns none while it is
/// incomplete.
pub fn parse_response_head(mut bytes: &[u8]) -> Result<Option<ResponseHead>> {
    while let Some((head, size)) = head::parse_response(bytes, MAX_RESPONSE_HEAD_BYTES)? {
        if head.status >= 200 {
            return Ok(Some(head));
        }
        bytes = &bytes[size..];
    }
    Ok(None)
}

/// Returns the length of the request at the start of some bytes, with its body; none while its head is incomplete, or if
/// that does not say it.
pub fn request_length(bytes: &[u8]) -> Result<Option<u64>> {
    let parsed = head::parse_request(bytes, MAX_RESPONSE_HEAD_BYTES)?;
    Ok(parsed.and_then(|(head, size)| Some(size as u64 + head.framing.length()?)))
}

/// Sends all of the bytes.
pub async fn send(sink: &mut Sink, bytes: &[u8]) -> Result<()> {
    let sent = sink.write_all(bytes).await;
    sent.map_err(|source| Error::Io { source })
}

/// Sends a head and the segments of a body; a short one goes in one write with its head.
pub async fn send_segments(sink: &mut Sink, head: &[u8], body: &[&[u8]]) -> Result<()> {
    let length: usize = body.iter().map(|segment| segment.len()).sum();
    if length < MIN_SEPARATE_BODY_BYTES {
        return send(sink, &[head, &body.concat()].concat()).await;
    }
    send(sink, head).await?;
    for segment in body {
        send(sink, segment).await?;
    }
    Ok(())
}

/// Reads more bytes from a socket; returns zero when it was closed.
async fn read(socket: &mut OwnedReadHalf, buffer: &mut BytesMut) -> Result<usize> {
    // Allocates only when there are bytes, so that idle connections have no buffer.
    let ready = socket.readable().await;
    ready.map_err(|source| Error::Io { source })?;
    buffer.reserve(READ_BYTES);
    let read = socket.read_buf(buffer).await;
    read.map_err(|source| Error::Io { source })
}

impl Source {
    /// Makes all that follows come from the peer of a carrier, which sends it in chunks if `is_chunked`. Otherwise
    /// a close does not tell whose it is, and counts as a connection that broke off.
    pub fn carry(&mut self, is_chunked: bool) {
        self.carriage = if is_chunked {
            Carriage::Chunked {
                framing: Framing::chunked(),
                encoded: self.buffer.split(),
            }
        } else {
            Carriage::Plain
        };
    }

    /// Sets how many bytes the peer may send before they are read.
    pub fn set_window(&self, bytes: usize) {
        let socket: &TcpStream = self.socket.as_ref();
        // Without it, the connection is slower or faster than it has to be.
        drop(SockRef::from(socket).set_recv_buffer_size(bytes));
    }

    /// Reads more bytes into the buffer; returns zero when the peer has closed.
    async fn fill(&mut self) -> Result<usize> {
        match &mut self.carriage {
            Carriage::Direct => read(&mut self.socket, &mut self.buffer).await,
            Carriage::Plain => match read(&mut self.socket, &mut self.buffer).await? {
                0 => Err(Error::Truncated),
                size => Ok(size),
            },
            Carriage::Chunked { framing, encoded } => loop {
                match framing.decode(encoded)? {
                    Some(Chunk::Bytes(bytes)) => {
                        self.buffer.extend_from_slice(&bytes);
                        return Ok(bytes.len());
                    }
                    Some(Chunk::End(_)) => return Ok(0),
                    None if read(&mut self.socket, encoded).await? == 0 => {
                        return Err(Error::Truncated);
                    }
                    None => {}
                }
            },
        }
    }

    /// Returns whether bytes of a next message were read.
    pub fn has_read_ahead(&self) -> bool {
        !self.buffer.is_empty()
            || matches!(&self.carriage, Carriage::Chunked { encoded, .. } if !encoded.is_empty())
    }

    /// Returns whether an idle connection is open and has no bytes.
    pub fn is_quiet(&mut self) -> bool {
        if self.has_read_ahead() {
            return false;
        }
        let mut byte = [0];
        let read = self.socket.try_read(&mut byte);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns whether the peer has reset the connection, though it may have closed its direction before.
    pub fn is_reset(&self) -> bool {
        let socket: &TcpStream = self.socket.as_ref();
        !matches!(socket.take_error(), Ok(None))
    }

    /// Reads some bytes, whatever they are; none when the peer has closed.
    pub async fn bytes(&mut self) -> Result<Bytes> {
        if self.buffer.is_empty() {
            self.fill().await?;
        }
        Ok(self.buffer.split().freeze())
    }

    /// Waits for the first byte of a message; returns false if the peer closed instead.
    pub async fn wait_message(&mut self) -> Result<bool> {
        if self.buffer.is_empty() {
            // Idle connections have no buffer.
            self.buffer = BytesMut::new();
        }
        Ok(!self.buffer.is_empty() || self.fill().await? > 0)
    }

    /// Completes when the peer has closed or reset the connection.
    pub async fn closed(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        // What follows stays with the operating system, which bounds it, and may be read as the next request.
        loop {
            match self.socket.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => sleep(CLOSE_POLL_INTERVAL).await,
                _ => return,
            }
        }
    }

    /// Reads at most `limit` bytes and drops them; returns when the peer has closed.
    pub async fn discard(&mut self, mut limit: usize) {
        loop {
            limit = limit.saturating_sub(self.buffer.len());
            self.buffer.clear();
            if limit == 0 || !matches!(self.fill().await, Ok(1..)) {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Reads the head of a request of at most `limit` bytes.
    pub async fn request_head(&mut self, limit: usize) -> Result<RequestHead> {
        loop {
            if let Some((head, size)) = head::parse_request(&self.buffer, limit)? {
                drop(self.buffer.split_to(size));
                return Ok(head);
            }
            self.fill_more().await?;
        }
    }

    /// Reads the head of a response.
    pub async fn response_head(&mut self) -> Result<ResponseHead> {
        // Interim responses count towards the limit, since any number of them may come.
        let mut limit = MAX_RESPONSE_HEAD_BYTES;
        loop {
            if let Some((head, size)) = head::parse_response(&self.buffer, limit)? {
                drop(self.buffer.split_to(size));
                if head.status >= 200 {
                    return Ok(head);
                }
                limit = limit.saturating_sub(size);
                continue;
            }
            self.fill_more().await?;
        }
    }

    async fn fill_more(&mut self) -> Result<()> {
        if self.fill().await? == 0 {
            return Err(Error::Truncated);
        }
        Ok(())
    }

    /// Reads the next bytes of a body as they arrive, or its end.
    pub async fn chunk(&mut self, framing: &mut Framing) -> Result<Chunk> {
        loop {
            if let Some(chunk) = framing.decode(&mut self.buffer)? {
                return Ok(chunk);
            }
            if self.fill().await? == 0 {
                return framing.close();
            }
        }
    }

    /// Reads a whole body, for which it takes room; none when it is longer than `limit`. One that ends with its
    /// connection is whole unless the connection was reset.
    pub async fn whole(
        &mut self,
        framing: &mut Framing,
        limit: usize,
        share: Rc<Share>,
    ) -> Result<Option<Body>> {
        let mut body = Body::new(share);
        if let Some(length) = framing.length() {
            match usize::try_from(length) {
                Ok(length) if length <= limit => body.reserve(length).await?,
                _ => return Ok(None),
            }
        }
        while let Chunk::Bytes(bytes) = self.chunk(framing).await? {
            if body.len() + bytes.len() > limit {
                return Ok(None);
            }
            body.append(&bytes).await?;
        }
        Ok(Some(body))
    }

    /// Reads a whole body; none when it is longer than `limit`. One that ends with its connection is
    /// whole unless the connection was reset.
    pub async fn body(&mut self, framing: &mut Framing, limit: usize) -> Result<Option<Bytes>> {
        if framing.length().is_some_and(|length| length > limit as u64) {
            return Ok(None);
        }
        let mut body = BytesMut::new();
        while let Chunk::Bytes(bytes) = self.chunk(framing).await? {
            if body.len() + bytes.len() > limit {
                return Ok(None);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(Some(body.freeze()))
    }
}

#[cfg(test)]
mod tests;
