//! In-memory services of the platform, with faults that a test or a stand-in injects.
//!
//! They sleep only when made [`blocking`](Log::blocking), so that a test with a manual clock
//! controls when everything happens. See [the platform](../../docs/PLATFORM.md).

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::{Condvar, Mutex, MutexGuard};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Error, Page, Record, Result};
use crate::clock::{Clock, Time};
use crate::id;

mod list;

pub use list::{Roster, Weights};

/// The most records that one read returns.
pub const MAX_PAGE_RECORDS: usize = 1_024;
/// The peer that errors of the in-memory services name.
const PEER: &str = "memory";
/// The window over which appends are counted against the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

event! {
    /// The faults of the log, in effect until they are changed.
    #[derive(Default)]
    pub struct Faults {
        /// Whether every call fails without effect.
        pub outage: bool,
        /// How long each call takes; an append that takes longer than its timeout returns `Unknown`
        /// and takes effect late.
        pub latency: Duration,
        /// Share of appends, from 0 to 1, that are lost in transit.
        pub lost_before: f64,
        /// Share of appends, from 0 to 1, that take effect but whose answer is lost.
        pub lost_after: f64,
        /// How long an appended record stays invisible to readers.
        pub read_delay: Duration,
        /// How long a record is retained; forever if `None`.
        pub retention: Option<Duration>,
        /// Appends per second over all streams; unlimited if `None`.
        pub rate: Option<u32>,
    }

    /// A fault of one append.
    #[derive(Copy, Eq)]
    pub enum Fault {
        /// It is refused without effect.
        Refused,
        /// It is lost in transit; the caller gets no answer.
        LostBefore,
        /// It takes effect, and the answer is lost.
        LostAfter,
        /// It takes effect this much later; the caller gets no answer.
        Late(Duration),
    }
}

#[derive(Debug)]
struct Entry {
    appended_at: Time,
    body: Vec<u8>,
}

#[derive(Debug, Default)]
struct Stream {
    first: id::Offset,
    entries: VecDeque<Entry>,
}

impl Stream {
    fn end(&self) -> id::Offset {
        self.first + self.entries.len() as u64
    }

    fn push(&mut self, at: Time, body: Vec<u8>) -> id::Offset {
        let offset = self.end();
        self.entries.push_back(Entry {
            appended_at: at,
            body,
        });
        offset
    }

    fn trim(&mut self, now: Time, retention: Duration) {
        while let Some(entry) = self.entries.front()
            && entry.appended_at + retention <= now
        {
            self.entries.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Debug)]
struct LateAppend {
    due: Time,
    stream: String,
    body: Vec<u8>,
}

#[derive(Debug)]
struct State {
    streams: IndexMap<String, Stream>,
    faults: Faults,
    next_faults: VecDeque<Fault>,
    late_appends: Vec<LateAppend>,
    recent_appends: VecDeque<Time>,
    appended: u64,
    rng: ChaCha8Rng,
}

impl State {
    fn stream(&mut self, name: &str) -> &mut Stream {
        self.streams.entry(name.to_owned()).or_default()
    }

    fn advance(&mut self, now: Time) {
        let (due, late) = std::mem::take(&mut self.late_appends)
            .into_iter()
            .partition(|l| l.due <= now);
        self.late_appends = late;
        let mut due: Vec<LateAppend> = due;
        due.sort_by_key(|l| l.due);
        for LateAppend { due, stream, body } in due {
            self.push(due, &stream, body);
        }
        if let Some(retention) = self.faults.retention {
            for stream in self.streams.values_mut() {
                stream.trim(now, retention);
            }
        }
    }

    fn push(&mut self, at: Time, stream: &str, body: Vec<u8>) -> id::Offset {
        self.appended += 1;
        self.stream(stream).push(at, body)
    }

    fn is_over_rate(&mut self, now: Time) -> bool {
        while let Some(at) = self.recent_appends.front()
            && *at + RATE_WINDOW <= now
        {
            self.recent_appends.pop_front();
        }
        let Some(rate) = self.faults.rate else {
            return false;
        };
        if self.recent_appends.len() >= rate as usize {
            return true;
        }
        self.recent_appends.push_back(now);
        false
    }

    fn fault(&mut self, timeout: Duration) -> Option<Fault> {
        if self.faults.outage {
            return Some(Fault::Refused);
        }
        if let Some(fault) = self.next_faults.pop_front() {
            return Some(fault);
        }
        let draw: f64 = self.rng.random();
        if draw < self.faults.lost_before {
            return Some(Fault::LostBefore);
        }
        if draw < self.faults.lost_before + self.faults.lost_after {
            return Some(Fault::LostAfter);
        }
        (self.faults.latency > timeout).then_some(Fault::Late(self.faults.latency))
    }

    fn page(&self, name: &str, from: id::Offset, now: Time) -> Page {
        let Some(stream) = self.streams.get(name) else {
            return Page {
                first: 0,
                end: 0,
                records: Vec::new(),
            };
        };
        let delay = self.faults.read_delay;
        let visible = stream
            .entries
            .partition_point(|e| e.appended_at + delay <= now);
        let from = from.max(stream.first);
        let skip = usize::try_from(from - stream.first).unwrap_or(usize::MAX);
        let records = stream.entries.iter().take(visible).skip(skip);
        Page {
            first: stream.first,
            end: stream.first + visible as u64,
            records: records
                .take(MAX_PAGE_RECORDS)
                .zip(from..)
                .map(|(e, offset)| Record {
                    offset,
                    body: e.body.clone(),
                })
                .collect(),
        }
    }
}

/// An in-memory log.
pub struct Log {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    changed: Condvar,
    is_blocking: bool,
}

impl Log {
    /// Makes an empty log whose random faults are derived from `seed`.
    ///
    /// It never sleeps: a read that finds nothing returns an empty page at once.
    pub fn new(clock: Arc<dyn Clock>, seed: u64) -> Self {
        let state = State {
            streams: IndexMap::new(),
            faults: Faults::default(),
            next_faults: VecDeque::new(),
            late_appends: Vec::new(),
            recent_appends: VecDeque::new(),
            appended: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            clock,
            state: Mutex::new(state),
            changed: Condvar::new(),
            is_blocking: false,
        }
    }

    /// Makes reads wait for records and calls take their latency, for use by several threads.
    pub fn blocking(mut self) -> Self {
        self.is_blocking = true;
        self
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
        self.changed.notify_all();
    }

    /// Changes the faults.
    pub fn change_faults(&self, edit: impl FnOnce(&mut Faults)) {
        edit(&mut self.state.lock().faults);
        self.changed.notify_all();
    }

    /// Injects a fault into the next append that has none yet.
    pub fn inject(&self, fault: Fault) {
        self.state.lock().next_faults.push_back(fault);
    }

    /// Returns the number of records appended so far, over all streams.
    pub fn appended(&self) -> u64 {
        self.state.lock().appended
    }

    fn wait_latency(&self, latency: Duration) {
        if self.is_blocking && !latency.is_zero() {
            std::thread::sleep(latency);
        }
    }

    fn handle_append(
        &self,
        state: &mut State,
        stream: &str,
        body: &[u8],
        timeout: Duration,
    ) -> AppendOutcome {
        let now = self.clock.now();
        state.advance(now);
        let fault = state.fault(timeout);
        if fault == Some(Fault::Refused) {
            return AppendOutcome::refused("the log is down");
        }
        if state.is_over_rate(now) {
            return AppendOutcome::refused("too many appends");
        }
        match fault {
            None => AppendOutcome::Done(state.push(now, stream, body.to_vec())),
            Some(Fault::LostAfter) => {
                state.push(now, stream, body.to_vec());
                AppendOutcome::NoAnswer
            }
            Some(Fault::Late(by)) => {
                state.late_appends.push(LateAppend {
                    due: now + by,
                    stream: stream.to_owned(),
                    body: body.to_vec(),
                });
                AppendOutcome::NoAnswer
            }
            Some(Fault::LostBefore | Fault::Refused) => AppendOutcome::NoAnswer,
        }
    }

    /// Waits for a change; returns whether the caller is to read again.
    fn wait_for_change(&self, state: &mut MutexGuard<'_, State>, until: Time) -> bool {
        /// The poll interval for records that become visible with time.
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let now = self.clock.now();
        if !self.is_blocking || now >= until {
            return false;
        }
        self.changed.wait_for(state, POLL_INTERVAL.min(until - now));
        true
    }
}

enum AppendOutcome {
    Done(id::Offset),
    Refused(&'static str),
    NoAnswer,
}

impl AppendOutcome {
    fn refused(reason: &'static str) -> Self {
        Self::Refused(reason)
    }
}

fn no_effect(step: &'static str, reason: &str) -> Error {
    Error::NoEffect {
        step,
        peer: PEER.into(),
        reason: reason.into(),
    }
}

impl super::Log for Log {
    fn append(&self, stream: &str, body: &[u8], timeout: Duration) -> Result<id::Offset> {
        let latency = self.state.lock().faults.latency;
        self.wait_latency(latency.min(timeout));
        let answer = self.handle_append(&mut self.state.lock(), stream, body, timeout);
        self.changed.notify_all();
        match answer {
            AppendOutcome::Done(offset) => Ok(offset),
            AppendOutcome::Refused(reason) => Err(no_effect("append", reason)),
            AppendOutcome::NoAnswer => Err(Error::Unknown {
                step: "append",
                peer: PEER.into(),
                reason: "no answer".into(),
            }),
        }
    }

    fn read(&self, stream: &str, from: id::Offset, wait: Duration) -> Result<Page> {
        let latency = self.state.lock().faults.latency;
        self.wait_latency(latency);
        let until = self.clock.now() + wait;
        let mut state = self.state.lock();
        loop {
            let now = self.clock.now();
            state.advance(now);
            if state.faults.outage {
                return Err(no_effect("read", "the log is down"));
            }
            let page = state.page(stream, from, now);
            if page.end > from || page.first > from || !self.wait_for_change(&mut state, until) {
                return Ok(page);
            }
        }
    }
}

#[cfg(test)]
mod tests;
