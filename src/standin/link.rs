//! The link between regions, as calls to endpoints meet it: slow, counted and sometimes cut.
//!
//! Loopback has no regions, so each daemon of the demo calls endpoints through a [`Crossing`],
//! which delays, counts and cuts what goes to another region.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;

use super::fleet::Fleet;
use crate::clock::{Clock, Time};
use crate::endpoint::{
    Answer, CacheEvent, Call, Engine, Error, Load, Order, Result, Service, Sink, State, Token,
};
use crate::exchange::CONNECT_TIMEOUT;
use crate::id;

/// Time that a byte takes from one region to another.
pub const ONE_WAY: Duration = Duration::from_millis(10);
/// One-way trips before an endpoint has read a request: two to connect, one to send.
const TRIPS_TO_SEND: u32 = 3;
/// How often a call that waits for a cut link looks at it.
const CUT_CHECK: Duration = Duration::from_millis(5);

/// The link between all regions.
pub struct Link {
    clock: Arc<dyn Clock>,
    cut_until: Mutex<Time>,
    bytes: Mutex<IndexMap<(id::Pipeline, id::Stage), u64>>,
    total: AtomicU64,
}

impl Link {
    /// Makes a link that stands.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            cut_until: Mutex::new(Time::ZERO),
            bytes: Mutex::new(IndexMap::new()),
            total: AtomicU64::new(0),
        }
    }

    /// Cuts the link for `length`.
    pub fn cut(&self, length: Duration) {
        *self.cut_until.lock() = self.clock.now() + length;
    }

    /// Says whether the link is cut.
    pub fn is_cut(&self) -> bool {
        self.clock.now() < *self.cut_until.lock()
    }

    /// Returns the bytes of bodies that crossed for a stage.
    pub fn bytes(&self, pipeline: &id::Pipeline, stage: &id::Stage) -> u64 {
        let bytes = self.bytes.lock();
        let place = (pipeline.clone(), stage.clone());
        bytes.get(&place).copied().unwrap_or(0)
    }

    /// Returns all bytes that crossed.
    pub fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    /// Counts bytes that belong to no stage, or whose stage is not known here.
    pub(super) fn count_raw(&self, bytes: usize) {
        self.total.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count(&self, call: &Call, bytes: usize) {
        self.count_raw(bytes);
        let place = (call.pipeline.clone(), call.stage.clone());
        *self.bytes.lock().entry(place).or_default() += bytes as u64;
    }
}

/// Calls endpoints from one region.
pub struct Crossing {
    inner: Arc<dyn Engine>,
    link: Arc<Link>,
    fleet: Arc<Fleet>,
    region: String,
}

/// A call to another region while it runs.
struct Far<'a> {
    link: &'a Link,
    address: &'a str,
    call: &'a Call,
    deadline: Time,
}

impl Far<'_> {
    fn connect(&self) -> Result<()> {
        if self.link.is_cut() {
            thread::sleep(CONNECT_TIMEOUT.min(self.call.remaining));
            return Err(Error::NotSent {
                step: "call",
                peer: self.address.to_owned(),
                reason: "the connection did not stand in time".into(),
            });
        }
        thread::sleep(ONE_WAY * TRIPS_TO_SEND);
        self.link.count(self.call, self.call.input.len());
        Ok(())
    }

    /// Waits until what an endpoint sent has crossed.
    fn receive(&self, bytes: usize) -> Result<()> {
        while self.link.is_cut() {
            if self.link.clock.now() >= self.deadline {
                return Err(Error::Timeout {
                    step: "call",
                    peer: self.address.to_owned(),
                    limit: self.call.remaining,
                });
            }
            thread::sleep(CUT_CHECK);
        }
        self.link.count(self.call, bytes);
        Ok(())
    }
}

impl Crossing {
    /// Makes a client for a daemon in `region`.
    pub fn new(
        inner: Arc<dyn Engine>,
        link: Arc<Link>,
        fleet: Arc<Fleet>,
        region: impl Into<String>,
    ) -> Self {
        Self {
            inner,
            link,
            fleet,
            region: region.into(),
        }
    }

    fn is_far(&self, address: &str) -> bool {
        let region = self.fleet.region_of(address);
        region.is_some_and(|r| r != self.region)
    }

    /// Fails a call that runs no stage when the link is cut, and delays it otherwise.
    fn control(&self, step: &'static str, address: &str) -> Result<()> {
        if !self.is_far(address) {
            return Ok(());
        }
        if self.link.is_cut() {
            return Err(Error::NotSent {
                step,
                peer: address.to_owned(),
                reason: "the link is cut".into(),
            });
        }
        thread::sleep(ONE_WAY * (TRIPS_TO_SEND + 1));
        Ok(())
    }

    fn call_far(&self, address: &str, call: &Call, sink: Sink<'_>) -> Result<Answer> {
        let far = Far {
            link: &self.link,
            address,
            call,
            deadline: self.link.clock.now() + call.remaining,
        };
        far.connect()?;
        let mut first = true;
        let mut relay = |token: Token| {
            // Later tokens travel one behind the other and keep their distance.
            if std::mem::take(&mut first) {
                thread::sleep(ONE_WAY);
            }
            far.receive(token.text.len())?;
            sink(token)
        };
        let answer = self.inner.call(address, call, &mut relay)?;
        far.receive(answer.body.len())?;
        if first {
            thread::sleep(ONE_WAY);
        }
        Ok(answer)
    }
}

impl Service for Crossing {
    fn call(&self, address: &str, call: &Call, sink: Sink<'_>) -> Result<Answer> {
        if self.is_far(address) {
            self.call_far(address, call, sink)
        } else {
            self.inner.call(address, call, sink)
        }
    }

    fn cancel(&self, address: &str, request: id::Request, attempt: id::Attempt) -> Result<()> {
        self.control("cancel", address)?;
        self.inner.cancel(address, request, attempt)
    }
}

impl Engine for Crossing {
    fn load(&self, address: &str) -> Result<Load> {
        self.control("load", address)?;
        self.inner.load(address)
    }

    fn cache_events(&self, address: &str, sequence: u64) -> Result<Vec<CacheEvent>> {
        self.control("cache", address)?;
        self.inner.cache_events(address, sequence)
    }

    fn order(&self, address: &str, order: &Order) -> Result<()> {
        self.control("order", address)?;
        self.inner.order(address, order)
    }

    fn state(&self, address: &str) -> Result<State> {
        self.control("state", address)?;
        self.inner.state(address)
    }

    fn copy_cache(&self, from: &str, to: &str, prefix: u64) -> Result<u64> {
        self.control("copy cache", from)?;
        self.inner.copy_cache(from, to, prefix)
    }
}

#[cfg(test)]
mod tests;
