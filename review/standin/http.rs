//! HTTP/1.1 for the stand-ins: blocking, one thread a connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or of a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let field = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, reason)
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        drop(stream.set_nodelay(true));
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// Reads more bytes; returns zero when the peer has closed.
    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let size = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..size]);
        Ok(size)
    }

    /// Reads a head; none when the peer closed before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self
                .buffer
                .windows(4)
                .position(|window| window == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let field = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.to_owned(), value.trim().to_owned()))
                };
                let fields = lines.filter_map(field).collect();
                return Ok(Some(Head { start, fields }));
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(broken("closed within a head"));
            }
        }
    }

    fn exactly(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            if self.fill()? == 0 {
                return Err(broken("closed within a body"));
            }
        }
        Ok(self.buffer.drain(..size).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(broken("closed within a chunk"));
            }
        }
    }

    /// Reads a body; what was read is kept in `body` also when it breaks off, which is an error.
    pub fn body(&mut self, head: &Head, body: &mut Vec<u8>) -> io::Result<()> {
        if head.get("Transfer-Encoding").is_some() {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.trim(), 16);
                let size = size.map_err(|_| broken("no chunk size"))?;
                if size == 0 {
                    self.line()?;
                    return Ok(());
                }
                body.extend(self.exactly(size)?);
                self.line()?;
            }
        }
        let length = head
            .get("Content-Length")
            .and_then(|text| text.parse().ok());
        body.extend(self.exactly(length.unwrap_or(0))?);
        Ok(())
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        drop(self.stream.set_nonblocking(true));
        let peeked = self.stream.peek(&mut [0]);
        drop(self.stream.set_nonblocking(false));
        match peeked {
            Ok(size) => size == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Returns a response with a length.
pub fn response(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
