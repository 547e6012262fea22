//! HTTP/1.1 on both sides of a daemon: strict heads, framed bodies, and how each connection ended.
//!
//! Forwarding has to know what a general client hides: whether a body ended with a close or a
//! reset, and whether bytes follow an answer that nobody asked for. See
//! [the design note](../../docs/design/fleet.md).

use std::io;

use bytes::{Bytes, BytesMut};
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

mod body;
mod head;

pub use body::Framing;
pub use head::{Field, Fields, RequestHead, ResponseHead, field};

/// Bytes that are asked of the socket at once; prompts arrive in a few reads.
const READ_BYTES: usize = 16 * 1024;
/// Bytes of an answer's head before the endpoint is held to be faulty.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// Unasked bytes of a client that are kept while its request is served.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Why a message could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The connection failed; what was sent on it may have had its effect.
    #[snafu(display("the connection failed: {source}"))]
    Io {
        /// What the operating system said.
        source: io::Error,
    },
    /// The connection was closed in the middle of a message.
    #[snafu(display("the connection was closed within a message"))]
    Truncated,
    /// The bytes are no message, or one whose framing is ambiguous.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The head is longer than its bound.
    #[snafu(display("the head is over {limit} bytes"))]
    HeadTooLong {
        /// The bound, in bytes.
        limit: usize,
    },
}

/// What is read or written.
pub type Result<T> = std::result::Result<T, Error>;

/// The reading side of a connection, with what was read ahead.
pub struct Source {
    socket: OwnedReadHalf,
    buffer: BytesMut,
}

/// The writing side of a connection.
pub type Sink = OwnedWriteHalf;

/// Splits a connection, so that one side can be watched while the other is written.
pub fn split(stream: TcpStream) -> (Source, Sink) {
    let (half, sink) = stream.into_split();
    let buffer = BytesMut::new();
    (
        Source {
            socket: half,
            buffer,
        },
        sink,
    )
}

/// Writes all of the bytes.
pub async fn send(sink: &mut Sink, bytes: &[u8]) -> Result<()> {
    let sent = sink.write_all(bytes).await;
    sent.map_err(|source| Error::Io { source })
}

impl Source {
    /// Reads more; zero when the other side has closed.
    async fn fill(&mut self) -> Result<usize> {
        // An idle connection holds no buffer.
        let ready = self.socket.readable().await;
        ready.map_err(|source| Error::Io { source })?;
        self.buffer.reserve(READ_BYTES);
        let read = self.socket.read_buf(&mut self.buffer).await;
        read.map_err(|source| Error::Io { source })
    }

    /// Returns whether bytes were read that belong to no message yet.
    pub fn has_read_ahead(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether an idle connection can carry another request: open, and without bytes.
    pub fn is_reusable(&mut self) -> bool {
        if self.has_read_ahead() {
            return false;
        }
        let mut byte = [0];
        let read = self.socket.try_read(&mut byte);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits for the first byte of a message; false when the other side closed instead.
    pub async fn wait_message(&mut self) -> Result<bool> {
        Ok(self.has_read_ahead() || self.fill().await? > 0)
    }

    /// Completes when the other side has closed or reset the connection.
    pub async fn closed(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
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

    /// Reads the head of an answer.
    pub async fn response_head(&mut self) -> Result<ResponseHead> {
        loop {
            if let Some((reply, size)) =
                head::parse_response(&self.buffer, MAX_RESPONSE_HEAD_BYTES)?
            {
                drop(self.buffer.split_to(size));
                if reply.status >= 200 {
                    return Ok(reply);
                }
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

    /// Reads the next bytes of a body, in whatever portions they arrive; none at its end.
    pub async fn chunk(&mut self, framing: &mut Framing) -> Result<Option<Bytes>> {
        loop {
            if let Some(step) = framing.decode(&mut self.buffer)? {
                return Ok(step.into_bytes());
            }
            if self.fill().await? == 0 {
                return if framing.ends_with_close() {
                    Ok(None)
                } else {
                    Err(Error::Truncated)
                };
            }
        }
    }

    /// Reads a whole body; none when it is longer than `limit`.
    pub async fn body(&mut self, framing: &mut Framing, limit: usize) -> Result<Option<Bytes>> {
        if framing.length().is_some_and(|length| length > limit as u64) {
            return Ok(None);
        }
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.chunk(framing).await? {
            if whole.len() + bytes.len() > limit {
                return Ok(None);
            }
            whole.extend_from_slice(&bytes);
        }
        Ok(Some(whole.freeze()))
    }
}

#[cfg(test)]
mod tests;
