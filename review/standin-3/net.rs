//! Plain HTTP/1.1 over sockets, as the pages describe it, for the stand-ins of this folder.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The head of a message: its first line and its fields.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        drop(stream.set_nodelay(true));
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, time: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, time)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> Option<()> {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(size) if size > 0 => {
                self.buffer.extend_from_slice(&bytes[..size]);
                Some(())
            }
            _ => None,
        }
    }

    /// Reads a head; none when the peer has closed.
    pub fn head(&mut self) -> Option<Head> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                return Some(Head {
                    first,
                    fields: fields.collect(),
                });
            }
            self.fill()?;
        }
    }

    /// Reads exactly so many bytes.
    pub fn bytes(&mut self, size: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < size {
            self.fill()?;
        }
        Some(self.buffer.drain(..size).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            self.fill()?;
        }
    }

    /// Reads the next chunk of a chunked body; an empty one is its end, and none means that it broke off.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        let bytes = self.bytes(size)?;
        self.line()?;
        Some(bytes)
    }

    /// Reads the body that a head announces.
    pub fn body(&mut self, head: &Head) -> Option<Vec<u8>> {
        if head.get("Transfer-Encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Some(body);
                }
                body.extend(chunk);
            }
        }
        let length = head
            .get("Content-Length")
            .and_then(|length| length.parse().ok());
        self.bytes(length.unwrap_or(0))
    }

    pub fn send(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).ok()
    }

    /// Sends an answer with a length.
    pub fn answer(&mut self, status: &str, fields: &str, body: &[u8]) -> Option<()> {
        let size = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {size}\r\n\r\n");
        self.send(&[head.as_bytes(), body].concat())
    }

    pub fn close(&self) {
        drop(self.stream.shutdown(Shutdown::Both));
    }
}

/// Sleeps in steps, and returns false as soon as something has stopped.
pub fn sleep_unless(stopped: &AtomicBool, time: Duration) -> bool {
    let end = std::time::Instant::now() + time;
    while std::time::Instant::now() < end {
        if stopped.load(Ordering::SeqCst) {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5).min(time));
    }
    !stopped.load(Ordering::SeqCst)
}
