//! Framing of bodies: by length, in chunks, or up to the close of the connection.

use bytes::{Buf, Bytes, BytesMut};

use super::{Error, Result};

/// The longest line with a chunk's size or a trailer field.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// The most bytes of all trailer fields together, which are dropped.
const MAX_TRAILER_BYTES: usize = 16 * 1024;
/// The length of the CR LF after a line.
const LINE_END_BYTES: usize = 2;
/// The most hexadecimal digits of a chunk's size, which is thus below 4 GiB.
const MAX_SIZE_DIGITS: usize = 8;

/// The chunk that ends a body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Appends a chunk to a buffer; without bytes it would end the body, and is left out.
pub fn write_chunk(buffer: &mut Vec<u8>, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    buffer.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    buffer.extend_from_slice(bytes);
    buffer.extend_from_slice(b"\r\n");
}

/// How a body is delimited, and how much of it is still to come.
#[derive(Clone, Debug, PartialEq)]
pub enum Framing {
    /// By length, with the number of remaining bytes.
    Length(u64),
    /// In chunks.
    Chunked(ChunkState),
    /// By the close of the connection.
    Close,
    /// The body has ended.
    End,
}

token! {
    /// What comes next in a chunked body.
    pub enum ChunkState {
        /// The line with the size of a chunk.
        Size,
        /// So many bytes of a chunk.
        Data(u64),
        /// The CR LF after a chunk's bytes.
        Gap,
        /// The fields after the last chunk, of which so many bytes were read.
        Trailer(usize),
    }
}

/// The next part of a body.
pub enum Chunk {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The end of the body.
    End(End),
}

token! {
    /// What shows that a body has ended.
    pub enum End {
        /// Its length was reached, or its last chunk was read.
        Framed,
        /// The peer closed the connection, as it also does when it fails: only the content can
        /// tell whether the body is whole.
        Closed,
    }
}

fn malformed<T>(reason: &'static str) -> Result<T> {
    Err(Error::Malformed { reason })
}

/// Returns the length of the first line without its CR LF; none when it is incomplete.
fn line_length(buffer: &[u8]) -> Result<Option<usize>> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > MAX_LINE_BYTES {
            malformed("a line of a chunked body is too long")
        } else {
            Ok(None)
        };
    };
    if end == 0 || buffer[end - 1] != b'\r' {
        return malformed("a line of a chunked body does not end with CR LF");
    }
    Ok(Some(end - 1))
}

fn parse_chunk_size(line: &[u8]) -> Result<u64> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or_default();
    let is_plain = !text.is_empty()
        && text.len() <= MAX_SIZE_DIGITS
        && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    match u64::from_str_radix(text, 16) {
        Ok(size) if is_plain => Ok(size),
        _ => malformed("the size of a chunk is not a number"),
    }
}

/// Returns how many of the remaining bytes are in the buffer.
fn up_to(buffer: &BytesMut, remaining: u64) -> usize {
    usize::try_from(remaining).map_or(buffer.len(), |remaining| remaining.min(buffer.len()))
}

fn take_up_to(buffer: &mut BytesMut, remaining: u64) -> Bytes {
    let size = up_to(buffer, remaining);
    buffer.split_to(size).freeze()
}

impl Framing {
    /// Makes the framing of a body of a known length.
    pub fn of_length(length: u64) -> Self {
        if length == 0 {
            Self::End
        } else {
            Self::Length(length)
        }
    }

    /// Makes the framing of a chunked body, at its beginning.
    pub fn chunked() -> Self {
        Self::Chunked(ChunkState::Size)
    }

    /// Returns the number of remaining bytes, if it is known.
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Length(length) => Some(*length),
            Self::End => Some(0),
            Self::Chunked(_) | Self::Close => None,
        }
    }

    /// Returns its name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked(_) => "chunked",
            Self::Close => "close",
            Self::End => "empty",
        }
    }

    /// Returns the end that a close of the connection makes, unless it truncates the body.
    pub(super) fn close(&self) -> Result<Chunk> {
        match self {
            Self::Close => Ok(Chunk::End(End::Closed)),
            Self::End => Ok(Chunk::End(End::Framed)),
            Self::Length(_) | Self::Chunked(_) => Err(Error::Truncated),
        }
    }

    /// Decodes bytes from the buffer; none when more have to be read. Small chunks are joined, since
    /// a peer may send a long body in chunks of one byte. A malformed chunk after them fails the next
    /// call.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Chunk>> {
        let mut joined = BytesMut::new();
        loop {
            let joins =
                matches!(self, Self::Chunked(state) if !matches!(state, ChunkState::Trailer(_)));
            if !joins && !joined.is_empty() {
                return Ok(Some(Chunk::Bytes(joined.freeze())));
            }
            match self {
                Self::End => return Ok(Some(Chunk::End(End::Framed))),
                Self::Close if buffer.is_empty() => return Ok(None),
                Self::Close => return Ok(Some(Chunk::Bytes(buffer.split().freeze()))),
                Self::Length(_) if buffer.is_empty() => return Ok(None),
                Self::Length(remaining) => {
                    let bytes = take_up_to(buffer, *remaining);
                    *self = Self::of_length(*remaining - bytes.len() as u64);
                    return Ok(Some(Chunk::Bytes(bytes)));
                }
                Self::Chunked(ChunkState::Data(remaining)) if !buffer.is_empty() => {
                    let size = up_to(buffer, *remaining);
                    let is_all = joined.is_empty() && size == buffer.len();
                    *self = Self::Chunked(match *remaining - size as u64 {
                        0 => ChunkState::Gap,
                        remaining => ChunkState::Data(remaining),
                    });
                    if is_all {
                        return Ok(Some(Chunk::Bytes(buffer.split().freeze())));
                    }
                    // Splitting each of many small chunks off would cost more than to copy it.
                    joined.extend_from_slice(&buffer[..size]);
                    buffer.advance(size);
                }
                Self::Chunked(chunk) => match chunk.decode(buffer) {
                    Ok(Some(Some(next))) => *chunk = next,
                    Ok(Some(None)) => *self = Self::End,
                    Ok(None) | Err(_) if !joined.is_empty() => {
                        return Ok(Some(Chunk::Bytes(joined.freeze())));
                    }
                    Ok(None) => return Ok(None),
                    Err(error) => return Err(error),
                },
            }
        }
    }
}

impl ChunkState {
    /// Decodes what stands between the bytes of chunks; returns what comes next, if it is not the end of the body, or
    /// none when more has to be read.
    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Option<Self>>> {
        match *self {
            Self::Size => {
                let Some(length) = line_length(buffer)? else {
                    return Ok(None);
                };
                let size = parse_chunk_size(&buffer[..length])?;
                buffer.advance(length + LINE_END_BYTES);
                Ok(Some(Some(match size {
                    0 => Self::Trailer(0),
                    size => Self::Data(size),
                })))
            }
            Self::Data(_) => Ok(None),
            Self::Gap if buffer.len() < LINE_END_BYTES => Ok(None),
            Self::Gap if buffer.starts_with(b"\r\n") => {
                buffer.advance(LINE_END_BYTES);
                Ok(Some(Some(Self::Size)))
            }
            Self::Gap => malformed("a chunk is longer than its size"),
            Self::Trailer(size) => {
                let Some(length) = line_length(buffer)? else {
                    return Ok(None);
                };
                let size = size + length;
                if size > MAX_TRAILER_BYTES {
                    return malformed("the trailer is too long");
                }
                buffer.advance(length + LINE_END_BYTES);
                Ok(Some((length > 0).then_some(Self::Trailer(size))))
            }
        }
    }
}
