//! The platform's services over HTTP, in front of those in memory.
//!
//! See [the protocol](../../docs/PLATFORM.md).

use std::io::Read;
use std::sync::Arc;
use std::time::Duration;

use rouille::{Request, Response, ResponseBody};

use super::store::Store;
use crate::clock::Clock;
use crate::exchange::TIMEOUT_HEADER;
use crate::platform::memory::{Log, Roster};
use crate::platform::{self, Error, Log as _, Roster as _, Weights as _, wire};

/// Bytes of a record at most.
pub const MAX_RECORD_BYTES: u64 = 1024 * 1024;
/// How long an append may take when the caller does not say.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest that a read waits for records.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Appends a second that the log takes.
pub const APPEND_RATE: u32 = 500;
/// How late a change shows on the list of VMs.
pub const ROSTER_LAG: Duration = Duration::from_millis(1_500);

/// The platform's three services.
pub struct Platform {
    /// The log.
    pub log: Log,
    /// The list of VMs.
    pub roster: Roster,
    /// The weight store.
    pub store: Arc<Store>,
}

impl Platform {
    /// Makes services whose drawn faults follow from `seed`.
    pub fn new(clock: &Arc<dyn Clock>, store: Arc<Store>, seed: u64) -> Self {
        let log = Log::new(clock.clone(), seed).blocking();
        log.change_faults(|f| f.rate = Some(APPEND_RATE));
        Self {
            log,
            roster: Roster::new(clock.clone(), ROSTER_LAG),
            store,
        }
    }

    /// Answers a request; none if the path is not one of the platform's.
    pub fn handle(&self, request: &Request) -> Option<Response> {
        let url = request.url();
        let parts: Vec<&str> = url.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            ("POST", ["log", "streams", stream]) => Some(self.append(request, stream)),
            ("GET", ["log", "streams", stream]) => Some(self.read(request, stream)),
            ("GET", ["roster"]) => Some(answer(self.roster.list())),
            ("GET", ["weights"]) => Some(answer(self.store.weights().manifests())),
            _ => None,
        }
    }

    fn append(&self, request: &Request, stream: &str) -> Response {
        let Some(body) = text_of(request) else {
            return Response::text("the record is not text, or too long").with_status_code(400);
        };
        let millis = request.header(TIMEOUT_HEADER).and_then(|t| t.parse().ok());
        let timeout = millis.map_or(APPEND_TIMEOUT, Duration::from_millis);
        let appended = self.log.append(stream, body.as_bytes(), timeout);
        answer(appended.map(|offset| wire::Appended { offset }))
    }

    fn read(&self, request: &Request, stream: &str) -> Response {
        let param = |name| request.get_param(name).and_then(|v| v.parse().ok());
        let from = param("from").unwrap_or(0);
        let wait = Duration::from_millis(param("wait-ms").unwrap_or(0)).min(MAX_WAIT);
        answer(self.log.read(stream, from, wait).map(page))
    }
}

fn text_of(request: &Request) -> Option<String> {
    let mut text = String::new();
    let mut reader = request.data()?.take(MAX_RECORD_BYTES + 1);
    reader.read_to_string(&mut text).ok()?;
    (text.len() as u64 <= MAX_RECORD_BYTES).then_some(text)
}

fn page(page: platform::Page) -> wire::Page {
    let records = page.records.into_iter().map(|r| wire::Record {
        offset: r.offset,
        body: String::from_utf8_lossy(&r.body).into_owned(),
    });
    wire::Page {
        first: page.first,
        end: page.end,
        records: records.collect(),
    }
}

fn answer<T: serde::Serialize>(result: platform::Result<T>) -> Response {
    match result {
        Ok(value) => Response::json(&value),
        Err(Error::NoEffect { reason, .. }) => Response::text(reason).with_status_code(503),
        Err(Error::Unknown { .. }) => lost(),
    }
}

/// Returns an answer that ends before its first byte, which a caller sees as lost.
fn lost() -> Response {
    Response {
        data: ResponseBody::from_reader_and_size(std::io::empty(), 1),
        ..Response::text("")
    }
}
