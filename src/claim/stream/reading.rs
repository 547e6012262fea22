//! Reads of the stream, and what is learnt from their pages.

use std::time::Duration;

use indexmap::IndexMap;

use super::super::fold::{self, Kind, Seen};
use super::super::record::{self, Ending, Entry, Group};
use super::{Action, BODIES, BODY_BYTES, LONG_POLL, Now, PROBE, READ_BACKOFF, Stream, WARM_EVERY};
use crate::clock::Time;
use crate::{id, platform};

/// The read in flight, and when the next one is due.
#[derive(Debug, Default)]
pub(super) struct Reading {
    pub(super) in_flight: bool,
    /// Reads that began so far.
    pub(super) count: u64,
    /// The read in flight began after the append whose result is unknown.
    pub(super) settles: bool,
    pub(super) not_before: Time,
    pub(super) warm_at: Time,
}

impl Stream {
    pub(super) fn read(&mut self, page: Option<&platform::Page>, now: Now, out: &mut Vec<Action>) {
        let settles = std::mem::take(&mut self.reading.settles);
        self.reading.in_flight = false;
        let Some(page) = page else {
            self.note_log(false, now.mono);
            let backoff = if self.is_outage(now.mono) {
                PROBE
            } else {
                READ_BACKOFF
            };
            self.reading.not_before = now.mono + backoff;
            return;
        };
        self.writer.forgive();
        if !self.writer.is_failing() {
            self.note_log(true, now.mono);
        }
        if page.first > self.fold.position() {
            // Keys that were carried forward may stand anywhere up to the end.
            self.is_ready = false;
        }
        self.reading.not_before = now.mono;
        self.reading.warm_at = now.mono + WARM_EVERY;
        for (next, group) in self.fold.apply(page) {
            self.pass.sample(next, &group, self.retention);
            self.group(group, out);
        }
        if self.fold.position() >= page.end {
            self.is_ready = true;
            self.refresh(self.reading.count);
            if settles {
                self.writer.caught_up();
            }
        }
    }

    fn group(&mut self, group: Group, out: &mut Vec<Action>) {
        for entry in group.entries {
            let seen = fold::seen(&entry);
            self.writer.seen(seen);
            self.reconsider(seen);
            self.pass.seen(seen);
            durable(seen, out);
            if let Entry::Outcome(outcome) = entry {
                self.keep(outcome.request, outcome.ending);
            }
        }
    }

    /// Keeps the body of an ending, and drops the oldest ones above the bounds.
    fn keep(&mut self, request: id::Request, ending: Ending) {
        if ending == Ending::Unknown || self.bodies.contains_key(&request) {
            return;
        }
        self.bodies.insert(request, ending);
        let bytes = |bodies: &IndexMap<id::Request, Ending>| -> usize {
            bodies.values().map(record::weight).sum()
        };
        while self.bodies.len() > BODIES
            || (self.bodies.len() > 1 && bytes(&self.bodies) > BODY_BYTES)
        {
            self.bodies.shift_remove_index(0);
        }
    }

    /// Asks for the next read, if somebody waits for it and none is in flight.
    pub(super) fn poll(&mut self, now: Now, out: &mut Vec<Action>) {
        let is_due = now.mono >= self.reading.not_before;
        if self.reading.in_flight || !is_due || !self.wants_read(now.mono) {
            return;
        }
        let doubtful = self.writer.is_doubtful();
        let wait = if doubtful || !self.is_ready || self.waits.is_empty() {
            Duration::ZERO
        } else {
            LONG_POLL
        };
        self.reading.in_flight = true;
        self.reading.count += 1;
        self.reading.settles = doubtful;
        out.push(Action::Read(self.fold.position(), wait));
    }

    /// Says whether something waits for the next records.
    pub(super) fn is_eager(&self) -> bool {
        let is_failing = self.failing_since.is_some();
        !self.waits.is_empty() || self.writer.is_doubtful() || self.pass.is_waiting() || is_failing
    }

    fn wants_read(&self, now: Time) -> bool {
        let warm = self.is_writer && now >= self.reading.warm_at;
        self.is_eager() || warm
    }
}

/// Reports entries that a daemon waits for before it forgets them.
pub(super) fn durable(seen: Seen, out: &mut Vec<Action>) {
    if matches!(seen.kind, Kind::Outcome | Kind::Release) {
        out.push(Action::Durable(seen.request));
    }
}
