//! Clients: ordinary ones, and crowds of those that send much and end nothing.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::standin::ANSWER_TIME;
use super::{BODY_BYTES, EXCESSIVE_BYTES, PATIENCE};

/// What is missing at the end of a crowd's bodies.
const MISSING_BYTES: usize = 1_000;
const PIECE_BYTES: usize = 65_536;
const PIECE_INTERVAL: Duration = Duration::from_millis(5);
const TINY_CHUNKS: usize = 600_000;
const ANNOUNCED_BYTES: usize = 400_000_000;
const PIPELINED_BYTES: usize = 131_072;
const HEAD_BYTES: usize = 15_000;
/// How long a member of a crowd waits for a daemon that does not read, which ends its request after 15 s.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// What the members of a crowd send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// A body of the longest length, without its end, at once.
    Length,
    /// The same, piece by piece.
    Pieces,
    /// The same as one chunk.
    Chunk,
    /// A body in chunks of one byte, without its end.
    TinyChunks,
    /// A part of a body whose announced length is far over the limit.
    Announced,
    /// A chunked body that has no end.
    Endless,
}

/// The answer of a daemon.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// In seconds.
    pub retry_after: Option<f64>,
    pub body: String,
}

fn head(fields: &str) -> String {
    head_to("/order/1", fields)
}

fn head_to(path: &str, fields: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: 9c41\r\nDeadline-Ms: 30000\r\n{fields}\r\n"
    )
}

fn length(bytes: usize) -> String {
    format!("Content-Length: {bytes}\r\n")
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

/// Reads the answer on a connection that is closed after it.
fn read_answer(stream: &mut TcpStream) -> std::io::Result<Answer> {
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text
        .split_once("\r\n\r\n")
        .ok_or(ErrorKind::UnexpectedEof)?;
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let retry_after = head
        .lines()
        .find_map(|line| line.strip_prefix("Retry-After: "));
    Ok(Answer {
        status: status.ok_or(ErrorKind::InvalidData)?,
        retry_after: retry_after.and_then(|seconds| seconds.parse().ok()),
        body: body.to_owned(),
    })
}

/// Sends a request as a client inside the limits does.
pub fn request(front: SocketAddr, fields: &str, body: &[u8]) -> Answer {
    let length = length(body.len());
    let head = head(&format!("{fields}Connection: close\r\n{length}"));
    let mut stream = TcpStream::connect(front).expect("a connection");
    stream.set_write_timeout(Some(PATIENCE)).expect("a timeout");
    let sent = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
    let answer = read_answer(&mut stream);
    answer.unwrap_or_else(|error| panic!("an answer: {error}; sending: {sent:?}"))
}

/// Sends a whole body before it reads the answer.
pub fn send_whole(
    front: SocketAddr,
    shape: Shape,
    bytes: usize,
    fields: &str,
) -> std::io::Result<Answer> {
    let body = vec![b'x'; bytes];
    let mut stream = TcpStream::connect(front)?;
    stream.set_write_timeout(Some(PATIENCE))?;
    if shape == Shape::Length {
        stream.write_all(head(&format!("{fields}{}", length(bytes))).as_bytes())?;
        stream.write_all(&body)?;
    } else {
        stream.write_all(head(&format!("{fields}{CHUNKED}")).as_bytes())?;
        stream.write_all(format!("{bytes:x}\r\n").as_bytes())?;
        stream.write_all(&body)?;
        stream.write_all(b"\r\n0\r\n\r\n")?;
    }
    read_answer(&mut stream)
}

/// Sends what a member of a crowd sends; fails when the daemon refuses it.
fn misbehave(stream: &mut TcpStream, shape: Shape, fields: &str) -> std::io::Result<()> {
    stream.set_write_timeout(Some(SEND_TIMEOUT))?;
    // What was sent has reached the daemon, but for a little.
    SockRef::from(&*stream).set_send_buffer_size(PIECE_BYTES)?;
    let framing = match shape {
        Shape::Length | Shape::Pieces => length(BODY_BYTES),
        Shape::Announced => length(ANNOUNCED_BYTES),
        Shape::Chunk | Shape::TinyChunks | Shape::Endless => CHUNKED.to_owned(),
    };
    stream.write_all(head(&format!("{fields}{framing}")).as_bytes())?;
    let body = vec![b'x'; BODY_BYTES - MISSING_BYTES];
    match shape {
        Shape::Length => stream.write_all(&body),
        Shape::Pieces => body.chunks(PIECE_BYTES).try_for_each(|piece| {
            thread::sleep(PIECE_INTERVAL);
            stream.write_all(piece)
        }),
        Shape::Chunk => {
            stream.write_all(format!("{BODY_BYTES:x}\r\n").as_bytes())?;
            stream.write_all(&body)
        }
        Shape::TinyChunks => stream.write_all("1\r\nx\r\n".repeat(TINY_CHUNKS).as_bytes()),
        Shape::Announced => stream.write_all(&vec![b'x'; EXCESSIVE_BYTES]),
        Shape::Endless => {
            stream.write_all(b"7fffffff\r\n")?;
            stream.write_all(&vec![b'x'; 2 * EXCESSIVE_BYTES])
        }
    }
}

/// Clients that have sent what they do, and stay connected until this is dropped.
pub struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Has all members send at once, each until it is through or refused.
    pub fn send(front: SocketAddr, count: usize, shape: Shape, fields: &'static str) -> Self {
        let member = move || {
            let mut stream = TcpStream::connect(front).expect("a connection");
            drop(misbehave(&mut stream, shape, fields));
            stream
        };
        let members: Vec<_> = (0..count).map(|_| thread::spawn(member)).collect();
        let streams = members
            .into_iter()
            .map(|member| member.join().expect("no panic"));
        Self(streams.collect())
    }

    /// Connects and sends nothing.
    pub fn connect(front: SocketAddr, count: usize) -> Self {
        Self(
            (0..count)
                .filter_map(|_| TcpStream::connect(front).ok())
                .collect(),
        )
    }

    /// Sends requests whose answers are long, and waits until their endpoint has sent what it does.
    pub fn ask(front: SocketAddr, count: usize, path: &str, fields: &str) -> Self {
        let crowd = Self::connect(front, count);
        let request = head_to(path, &format!("{fields}{}", length(0)));
        crowd.write_some(request.as_bytes());
        thread::sleep(ANSWER_TIME);
        crowd
    }

    /// Sends whole requests with many bytes behind each.
    pub fn pipeline(front: SocketAddr, count: usize, fields: &str) -> Self {
        let crowd = Self::connect(front, count);
        let request = head(&format!("{fields}{}", length(0)));
        let bytes = [request.as_bytes(), &vec![b'P'; PIPELINED_BYTES]].concat();
        crowd.write_some(&bytes);
        crowd
    }

    /// Sends heads without their end.
    pub fn begin_heads(front: SocketAddr, count: usize) -> Self {
        let crowd = Self::connect(front, count);
        let head = head(&format!("X: {}", "y".repeat(HEAD_BYTES)));
        crowd.write_some(head.trim_end().as_bytes());
        crowd
    }

    /// Has each member write as much as its connection takes at once.
    fn write_some(&self, bytes: &[u8]) {
        for mut stream in &self.0 {
            stream.set_nonblocking(true).expect("an option");
            drop(stream.write(bytes));
        }
    }

    /// Resets all connections.
    pub fn reset(self) {
        for stream in self.0 {
            drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
        }
    }
}
