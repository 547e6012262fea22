//! The request headers that the server reads, validated and typed.

use std::time::{Duration, SystemTime};

use hyper::header::{ACCEPT, AUTHORIZATION, HeaderMap};

use super::sse;
use crate::id;

/// The longest idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// The headers of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The `Authorization` header.
    pub authorization: String,
    /// The `Idempotency-Key` header.
    pub key: Option<id::Key>,
    /// When the key was issued: `X-Request-Issued-At`, or the time in a UUIDv7 key.
    pub issued: Option<SystemTime>,
    /// The `X-Request-Timeout-Ms` header.
    pub timeout: Option<Duration>,
    /// Whether tokens are to be sent as they are generated.
    pub stream: bool,
    /// Tokens that the caller already received, from `Last-Event-ID`.
    pub seen: usize,
}

/// The error for an invalid header: the form that the header must have.
pub type HeaderError = &'static str;

impl Head {
    /// Parses the headers.
    pub fn read(headers: &HeaderMap, max_timeout: Duration) -> Result<Self, HeaderError> {
        let key = key(headers)?;
        let issued = match issued(headers)? {
            Some(time) => Some(time),
            None => key.as_deref().and_then(issued_in_key),
        };
        Ok(Self {
            authorization: text(headers, AUTHORIZATION.as_str()).unwrap_or_default(),
            key,
            issued,
            timeout: timeout(headers, max_timeout)?,
            stream: text(headers, ACCEPT.as_str()).is_some_and(|a| a.contains("text/event-stream")),
            seen: seen(headers)?,
        })
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Parses a header that is a whole number.
fn number(headers: &HeaderMap, name: &str, error: HeaderError) -> Result<Option<u64>, HeaderError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    number.map(Some).ok_or(error)
}

fn key(headers: &HeaderMap) -> Result<Option<id::Key>, HeaderError> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let error = "Idempotency-Key must be 1 to 255 printable ASCII characters";
    let key = value.to_str().map_err(|_| error)?.trim();
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(error);
    }
    Ok(Some(key.into()))
}

fn issued(headers: &HeaderMap) -> Result<Option<SystemTime>, HeaderError> {
    let error = "X-Request-Issued-At must be milliseconds since the Unix epoch";
    let Some(ms) = number(headers, "x-request-issued-at", error)? else {
        return Ok(None);
    };
    let time = SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(ms));
    time.map(Some).ok_or(error)
}

/// Returns the time in a UUIDv7 key.
fn issued_in_key(key: &str) -> Option<SystemTime> {
    let uuid = uuid::Uuid::parse_str(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    SystemTime::UNIX_EPOCH.checked_add(Duration::new(seconds, nanos))
}

fn timeout(headers: &HeaderMap, max: Duration) -> Result<Option<Duration>, HeaderError> {
    let error = "X-Request-Timeout-Ms must be a whole number from 1 to the longest timeout";
    let Some(ms) = number(headers, "x-request-timeout-ms", error)? else {
        return Ok(None);
    };
    let timeout = Duration::from_millis(ms);
    if ms == 0 || timeout > max {
        return Err(error);
    }
    Ok(Some(timeout))
}

fn seen(headers: &HeaderMap) -> Result<usize, HeaderError> {
    let error = "Last-Event-ID must be the id of an event of this request";
    match headers.get("last-event-id") {
        None => Ok(0),
        Some(value) if value.as_bytes() == sse::END_ID.as_bytes() => Ok(usize::MAX),
        Some(_) => {
            let last = number(headers, "last-event-id", error)?.unwrap_or_default();
            usize::try_from(last).map_or(Err(error), |last| last.checked_add(1).ok_or(error))
        }
    }
}
