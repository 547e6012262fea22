//! HTTP clients of the platform's services. See [the protocol](../../docs/PLATFORM.md).

use std::time::Duration;

use serde::de::DeserializeOwned;

use super::{Error, Manifest, Page, Record, Result, Vm, wire};
use crate::exchange::{self, Reply, Request};
use crate::id;

/// The most bytes of an answer that are read.
pub const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;
/// How long a read may take, in addition to the time that it waits for records.
pub const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The statuses that mean that a call had no effect.
const NO_EFFECT_STATUSES: [u16; 3] = [400, 429, 503];

/// A service of the platform, by its URL.
struct Service {
    url: String,
}

impl Service {
    fn new(url: &str) -> Self {
        Self {
            url: url.trim_end_matches('/').to_owned(),
        }
    }

    fn no_effect(&self, step: &'static str, reason: impl Into<String>) -> Error {
        Error::NoEffect {
            step,
            peer: self.url.clone(),
            reason: reason.into(),
        }
    }

    fn unknown(&self, step: &'static str, reason: impl Into<String>) -> Error {
        Error::Unknown {
            step,
            peer: self.url.clone(),
            reason: reason.into(),
        }
    }

    fn exchange_error(&self, step: &'static str, error: &exchange::Error) -> Error {
        match error {
            exchange::Error::NotSent { reason } => self.no_effect(step, reason.clone()),
            _ => self.unknown(step, error.to_string()),
        }
    }

    fn send(&self, step: &'static str, request: &Request<'_>) -> Result<Reply> {
        let reply = request.send().map_err(|e| self.exchange_error(step, &e))?;
        match reply.status {
            200 => Ok(reply),
            status if NO_EFFECT_STATUSES.contains(&status) => {
                Err(self.no_effect(step, format!("status {status}")))
            }
            status => Err(self.unknown(step, format!("status {status}"))),
        }
    }

    fn json<T: DeserializeOwned>(&self, step: &'static str, request: &Request<'_>) -> Result<T> {
        let reply = self.send(step, request)?;
        let parsed = reply.json(MAX_ANSWER_BYTES);
        parsed.map_err(|e| self.exchange_error(step, &e))
    }
}

/// A client of the log service.
pub struct Log {
    service: Service,
}

impl Log {
    /// Makes a client of the service at `url`.
    pub fn new(url: &str) -> Self {
        Self {
            service: Service::new(url),
        }
    }

    fn stream(&self, stream: &str) -> String {
        format!("{}/streams/{stream}", self.service.url)
    }
}

impl super::Log for Log {
    fn append(&self, stream: &str, body: &[u8], timeout: Duration) -> Result<id::Offset> {
        let request = Request::post(self.stream(stream), timeout).body(body);
        let appended: wire::Appended = self.service.json("append", &request)?;
        Ok(appended.offset)
    }

    fn read(&self, stream: &str, from: id::Offset, wait: Duration) -> Result<Page> {
        let url = self.stream(stream);
        let url = format!("{url}?from={from}&wait-ms={}", wait.as_millis());
        let request = Request::get(url, wait + READ_TIMEOUT);
        let page: wire::Page = self.service.json("read", &request)?;
        let records = page.records.into_iter().map(|r| Record {
            offset: r.offset,
            body: r.body.into_bytes(),
        });
        Ok(Page {
            first: page.first,
            end: page.end,
            records: records.collect(),
        })
    }
}

/// A client of the list of VMs.
pub struct Roster {
    service: Service,
}

impl Roster {
    /// Makes a client of the service at `url`.
    pub fn new(url: &str) -> Self {
        Self {
            service: Service::new(url),
        }
    }
}

impl super::Roster for Roster {
    fn list(&self) -> Result<Vec<Vm>> {
        let request = Request::get(&self.service.url, READ_TIMEOUT);
        self.service.json("list", &request)
    }
}

/// A client of the weight store.
pub struct Weights {
    service: Service,
}

impl Weights {
    /// Makes a client of the service at `url`.
    pub fn new(url: &str) -> Self {
        Self {
            service: Service::new(url),
        }
    }
}

impl super::Weights for Weights {
    fn manifests(&self) -> Result<Vec<Manifest>> {
        let request = Request::get(&self.service.url, READ_TIMEOUT);
        self.service.json("manifests", &request)
    }
}

#[cfg(test)]
mod tests;
