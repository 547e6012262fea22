//! A small HTTP/1.1 for the stand-ins: requests and answers with a length, in chunks or up to the close.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer, as far as it was read.
#[derive(Clone, Default, Debug)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body's own framing or a close of the connection has ended it.
    pub is_whole: bool,
}

impl Message {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of an answer; 0 when there was none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with what was read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        drop(stream.set_nodelay(true));
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16384];
        let size = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..size]);
        Ok(size)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.ahead.windows(2).position(|pair| pair == b"\r\n") {
                let rest = self.ahead.split_off(at + 2);
                let line = std::mem::replace(&mut self.ahead, rest);
                return Ok(Some(String::from_utf8_lossy(&line[..at]).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a head; none when the peer closed before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            start,
            ..Message::default()
        };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    message
                        .fields
                        .push((name.to_owned(), value.trim().to_owned()));
                }
            }
        }
    }

    fn exactly(&mut self, size: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        let mut left = size;
        loop {
            let now = left.min(self.ahead.len());
            body.extend(self.ahead.drain(..now));
            left -= now;
            if left == 0 {
                return Ok(true);
            }
            if self.fill()? == 0 {
                return Ok(false);
            }
        }
    }

    /// Reads the body of a request, or of an answer that a close may end.
    pub fn body(&mut self, message: &mut Message, ends_with_close: bool) -> io::Result<()> {
        let mut body = Vec::new();
        let result = self.read_body(message, ends_with_close, &mut body);
        message.body = body;
        message.is_whole = result?;
        Ok(())
    }

    fn read_body(
        &mut self,
        message: &Message,
        ends_with_close: bool,
        body: &mut Vec<u8>,
    ) -> io::Result<bool> {
        if let Some(length) = message.get("Content-Length") {
            let length = length.parse().unwrap_or(0);
            return self.exactly(length, body);
        }
        if message.get("Transfer-Encoding").is_some() {
            loop {
                let Some(line) = self.line()? else {
                    return Ok(false);
                };
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                if !self.exactly(size, body)? {
                    return Ok(false);
                }
                if self.line()?.is_none() {
                    return Ok(false);
                }
                if size == 0 {
                    return Ok(true);
                }
            }
        }
        if !ends_with_close {
            return Ok(true);
        }
        loop {
            body.append(&mut self.ahead);
            if self.fill()? == 0 {
                return Ok(true);
            }
        }
    }

    /// Sends a request and reads its answer. An error is a connection that ended without a whole head.
    pub fn ask(&mut self, head: &str, body: &[u8], time: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(time))?;
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)?;
        let closed = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer");
        let mut answer = self.head()?.ok_or_else(closed)?;
        // What was read of a body that broke off counts, too.
        drop(self.body(&mut answer, true));
        Ok(answer)
    }
}

/// Returns an answer with a length.
pub fn answer(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Makes one call on a connection of its own.
pub fn call(address: SocketAddr, method: &str, target: &str, body: &[u8]) -> io::Result<Message> {
    let length = body.len();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    Connection::connect(address)?.ask(&head, body, Duration::from_secs(2))
}
