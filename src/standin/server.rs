//! A small HTTP server whose handlers can flush each line and cut a connection.
//!
//! `rouille` can do neither, so these stand-ins use the `tiny_http` underneath it.
//! See [the house style](../../docs/HOUSE-STYLE.md).

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Header, Response, StatusCode};

use crate::endpoint::wire::{BEGAN, Line, Problem};

/// Bytes of a request body that a stand-in reads at most.
pub const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Whether a stage began before an error was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Began {
    /// It did not, and will not.
    No,
    /// It did.
    Yes,
}

/// A request that waits for its answer.
pub struct Exchange {
    request: tiny_http::Request,
}

fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name, value).ok()
}

impl Exchange {
    /// Returns method and path, without the query.
    pub fn route(&self) -> (String, String) {
        let path = self.request.url().split('?').next().unwrap_or_default();
        (self.request.method().to_string(), path.to_owned())
    }

    /// Returns a parameter of the query.
    pub fn param(&self, name: &str) -> Option<String> {
        let query = self.request.url().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(k, _)| *k == name).map(|(_, v)| v.to_owned())
    }

    /// Reads the body, up to [`MAX_BODY_BYTES`].
    pub fn body(&mut self) -> io::Result<Vec<u8>> {
        let declared = self.request.body_length();
        let mut bytes = Vec::new();
        let mut reader = self.request.as_reader().take(MAX_BODY_BYTES + 1);
        reader.read_to_end(&mut bytes)?;
        let is_whole = declared.is_none_or(|n| n == bytes.len());
        if is_whole && bytes.len() as u64 <= MAX_BODY_BYTES {
            Ok(bytes)
        } else {
            Err(io::ErrorKind::InvalidData.into())
        }
    }

    /// Reads the body as JSON.
    pub fn json<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        let bytes = self.body()?;
        serde_json::from_slice(&bytes).map_err(io::Error::from)
    }

    /// Answers with JSON.
    pub fn reply(self, status: u16, body: &impl Serialize) {
        let text = serde_json::to_string(body).unwrap_or_default();
        self.respond(status, text, None);
    }

    /// Answers with a problem, and says whether the stage began.
    pub fn problem(self, status: u16, began: Began, problem: &Problem) {
        let text = serde_json::to_string(problem).unwrap_or_default();
        let began = match began {
            Began::No => "no",
            Began::Yes => "yes",
        };
        self.respond(status, text, header(BEGAN, began));
    }

    fn respond(self, status: u16, text: String, extra: Option<Header>) {
        let mut response = Response::from_string(text).with_status_code(StatusCode(status));
        let json = header("Content-Type", "application/json");
        for header in json.into_iter().chain(extra) {
            response.add_header(header);
        }
        // A caller that went away needs no answer.
        drop(self.request.respond(response));
    }

    /// Starts a streamed answer.
    pub fn stream(self) -> io::Result<Stream> {
        let mut writer = self.request.into_writer();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\
             Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        Ok(Stream { writer })
    }

    /// Closes the connection without an answer.
    pub fn cut(self) {
        drop(self.request.into_writer());
    }
}

/// A streamed answer; dropped unfinished, it is seen to be truncated.
pub struct Stream {
    writer: Box<dyn Write + Send>,
}

impl Stream {
    /// Writes and flushes one line.
    pub fn line(&mut self, line: &Line) -> io::Result<()> {
        let text = serde_json::to_string(line)? + "\n";
        write!(self.writer, "{:x}\r\n{text}\r\n", text.len())?;
        self.writer.flush()
    }

    /// Ends the answer whole.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}

/// Answers requests, each on its own thread.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, exchange: Exchange);
}

/// A listening server, which stops when it is dropped.
pub struct Server {
    inner: Arc<tiny_http::Server>,
    address: SocketAddr,
}

impl Server {
    /// Listens at `address`; port 0 takes a free one.
    pub fn start(address: &str, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let inner = Arc::new(tiny_http::Server::http(address).map_err(io::Error::other)?);
        let address = inner.server_addr().to_ip();
        let address = address.ok_or_else(|| io::Error::other("no IP address"))?;
        let server = inner.clone();
        thread::Builder::new()
            .name(format!("serve {address}"))
            .spawn(move || serve(&server, &handler))?;
        Ok(Self { inner, address })
    }

    /// Returns the address and port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.inner.unblock();
    }
}

fn serve(server: &tiny_http::Server, handler: &Arc<dyn Handler>) {
    while let Ok(request) = server.recv() {
        let handler = handler.clone();
        let exchange = Exchange { request };
        let spawned = thread::Builder::new().spawn(move || handler.handle(exchange));
        // Without a thread the request is dropped, and answered with status 500.
        drop(spawned);
    }
}
