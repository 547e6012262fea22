//! An HTTP client that knows whether a byte of the request was sent.
//!
//! `attohttpc` does not report at which step an error arose, but it calls [`Body::write`] only
//! after the connection is established. So a request whose body was never written was not sent.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use attohttpc::body::{Body, BodyKind};
use attohttpc::{ErrorKind, Method, ProxySettings, RequestBuilder, ResponseReader};
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// How long establishing a connection may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The header that carries the time left for a request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "X-Request-Timeout-Ms";

/// Why an exchange failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No byte of the body was sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// What went wrong.
        reason: String,
    },
    /// The whole answer did not arrive in time.
    #[snafu(display("no whole answer in time"))]
    TimedOut,
    /// The connection broke, or the answer was not valid.
    #[snafu(display("broken off: {reason}"))]
    Broken {
        /// What went wrong.
        reason: String,
    },
}

/// The result of an exchange.
pub type Result<T> = std::result::Result<T, Error>;

struct Payload<'a> {
    bytes: &'a [u8],
    sent: Arc<AtomicBool>,
}

impl Body for Payload<'_> {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.sent.store(true, Ordering::SeqCst);
        writer.write_all(self.bytes)
    }
}

/// A request that is to be sent.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    method: Method,
    url: String,
    body: &'a [u8],
    timeout: Duration,
    announced_timeout: Duration,
    headers: Vec<(&'static str, &'a str)>,
    key: Option<&'a str>,
}

/// Makes a request; the whole exchange must end within `timeout`.
fn request<'a>(method: Method, url: impl Into<String>, timeout: Duration) -> Request<'a> {
    Request {
        method,
        url: url.into(),
        body: &[],
        timeout,
        announced_timeout: timeout,
        headers: Vec::new(),
        key: None,
    }
}

impl<'a> Request<'a> {
    /// Makes a `GET` request.
    pub fn get(url: impl Into<String>, timeout: Duration) -> Self {
        request(Method::GET, url, timeout)
    }

    /// Makes a `POST` request.
    pub fn post(url: impl Into<String>, timeout: Duration) -> Self {
        request(Method::POST, url, timeout)
    }

    /// Makes a `PUT` request.
    pub fn put(url: impl Into<String>, timeout: Duration) -> Self {
        request(Method::PUT, url, timeout)
    }

    /// Makes a `DELETE` request.
    pub fn delete(url: impl Into<String>, timeout: Duration) -> Self {
        request(Method::DELETE, url, timeout)
    }

    /// Sets the body.
    pub fn body(mut self, body: &'a [u8]) -> Self {
        self.body = body;
        self
    }

    /// Sets the bearer key.
    pub fn bearer_key(mut self, key: &'a str) -> Self {
        self.key = Some(key);
        self
    }

    /// Sets the timeout announced to the server, if it differs from this side's timeout.
    pub fn announce_timeout(mut self, timeout: Duration) -> Self {
        self.announced_timeout = timeout;
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: &'a str) -> Self {
        self.headers.push((name, value));
        self
    }

    fn build(&self, sent: Arc<AtomicBool>) -> attohttpc::Result<RequestBuilder<Payload<'a>>> {
        let millis = self.announced_timeout.as_millis().to_string();
        let mut builder = RequestBuilder::try_new(self.method.clone(), &self.url)?
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(self.timeout.min(CONNECT_TIMEOUT))
            .read_timeout(self.timeout)
            .timeout(self.timeout)
            .try_header("Content-Type", "application/json")?
            .try_header(TIMEOUT_HEADER, millis)?;
        for (name, value) in &self.headers {
            builder = builder.try_header(*name, *value)?;
        }
        if let Some(key) = self.key {
            builder = builder.bearer_auth(key);
        }
        Ok(builder.body(Payload {
            bytes: self.body,
            sent,
        }))
    }

    /// Sends the request and waits for the head of the answer.
    pub fn send(&self) -> Result<Reply> {
        if self.timeout.is_zero() {
            return Err(Error::NotSent {
                reason: "no time is left".into(),
            });
        }
        let sent = Arc::new(AtomicBool::new(false));
        let result = self
            .build(sent.clone())
            .and_then(RequestBuilder::try_prepare)
            .and_then(|mut prepared| prepared.send());
        match result {
            Ok(response) => {
                let (status, headers, reader) = response.split();
                Ok(Reply {
                    status: status.as_u16(),
                    headers,
                    reader: BufReader::new(reader),
                })
            }
            Err(error) if !sent.load(Ordering::SeqCst) => Err(Error::NotSent {
                reason: error.to_string(),
            }),
            Err(error) => Err(send_error(&error)),
        }
    }
}

fn is_timeout(kind: io::ErrorKind) -> bool {
    matches!(kind, io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock)
}

fn send_error(error: &attohttpc::Error) -> Error {
    match error.kind() {
        ErrorKind::Io(cause) => read_error(cause),
        _ => Error::Broken {
            reason: error.to_string(),
        },
    }
}

fn read_error(error: &io::Error) -> Error {
    if is_timeout(error.kind()) {
        return Error::TimedOut;
    }
    Error::Broken {
        reason: error.to_string(),
    }
}

/// An answer whose head has arrived.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    headers: attohttpc::header::HeaderMap,
    reader: BufReader<ResponseReader>,
}

impl Reply {
    /// Returns a header, if it is present and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Reads the rest of the body, up to `limit` bytes.
    pub fn text(mut self, limit: u64) -> Result<String> {
        let mut bytes = Vec::new();
        let mut reader = (&mut self.reader).take(limit + 1);
        reader.read_to_end(&mut bytes).map_err(|e| read_error(&e))?;
        let expected = self.header("Content-Length").and_then(|v| v.parse().ok());
        if expected.is_some_and(|n: usize| bytes.len() < n) || bytes.len() as u64 > limit {
            return Err(broken("the answer is truncated or too long"));
        }
        String::from_utf8(bytes).map_err(|_| broken("the answer is not UTF-8"))
    }

    /// Reads the rest of the body as JSON.
    pub fn json<T: DeserializeOwned>(self, limit: u64) -> Result<T> {
        let text = self.text(limit)?;
        serde_json::from_str(&text).map_err(|e| broken(e.to_string()))
    }

    /// Reads the next line of a streamed body, up to `limit` bytes; `None` at its end.
    pub fn line(&mut self, limit: u64) -> Result<Option<String>> {
        let mut bytes = Vec::new();
        let mut reader = (&mut self.reader).take(limit + 1);
        let read = reader.read_until(b'\n', &mut bytes);
        if read.map_err(|e| read_error(&e))? == 0 {
            return Ok(None);
        }
        if bytes.pop() != Some(b'\n') {
            return Err(broken("a line is truncated or too long"));
        }
        let line = String::from_utf8(bytes);
        line.map(Some).map_err(|_| broken("a line is not UTF-8"))
    }
}

fn broken(reason: impl Into<String>) -> Error {
    Error::Broken {
        reason: reason.into(),
    }
}

#[cfg(test)]
pub(crate) mod tests;
