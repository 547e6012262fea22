//! One daemon's part in one lease: to acquire it, to renew it, and to know when it is over.

use std::time::Duration;

use indexmap::IndexMap;

use super::fold::{Fold, Step};
use super::record::{self, Acquire, Body, Record, Release, Renew};
use crate::clock::Time;
use crate::id;

/// The share of the duration that the holder counts on; the rest covers the drift of clocks.
pub const HOLDER_SHARE: f64 = 0.95;
/// The share of the duration that a successor waits, by its own clock.
pub const SUCCESSOR_SHARE: f64 = 1.05;
/// Renewals in the time of a lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Attempts that are remembered while their read-back is awaited.
const MAX_PENDING: usize = 16;

event! {
    /// The times of a lease.
    #[derive(Copy)]
    pub struct Timing {
        /// How long an accepted record makes it valid.
        pub duration: Duration,
        /// The share of it that the holder counts on.
        pub holder_share: f64,
        /// The share of it that a successor waits.
        pub successor_share: f64,
    }
}

impl Timing {
    /// Makes the times of a lease, with the usual shares for drift.
    pub fn new(duration: Duration) -> Self {
        Self {
            duration,
            holder_share: HOLDER_SHARE,
            successor_share: SUCCESSOR_SHARE,
        }
    }
}

#[derive(Clone, Debug)]
struct Held {
    fence: id::Fence,
    valid_until: Time,
    sent_at: Time,
}

/// The part of one daemon in one lease.
#[derive(Clone, Debug)]
pub struct Client {
    lease: id::Name,
    daemon: id::Daemon,
    timing: Timing,
    held: Option<Held>,
    pending: IndexMap<String, Time>,
    read_at: Option<Time>,
    next_send: Time,
}

impl Client {
    /// Starts without the lease.
    pub fn new(lease: id::Name, daemon: id::Daemon, timing: Timing) -> Self {
        Self {
            lease,
            daemon,
            timing,
            held: None,
            pending: IndexMap::new(),
            read_at: None,
            next_send: Time::ZERO,
        }
    }

    /// The lease.
    pub fn lease(&self) -> &id::Name {
        &self.lease
    }

    /// Changes the times from the next record on.
    pub fn set_timing(&mut self, timing: Timing) {
        self.timing = timing;
    }

    /// The fencing token, if the lease is valid and stays so for `time`.
    ///
    /// A holder asks right before each action, so that it finds out after a pause.
    pub fn fence(&self, now: Time, time: Duration) -> Option<id::Fence> {
        self.held
            .as_ref()
            .filter(|held| now + time < held.valid_until)
            .map(|held| held.fence)
    }

    /// Says whether the lease is valid now.
    pub fn is_valid(&self, now: Time) -> bool {
        self.fence(now, Duration::ZERO).is_some()
    }

    /// Returns a record to append now, if one is due.
    ///
    /// `is_fresh` says that the stream was read to its end lately; `delay` is how much later this
    /// daemon tries than the one that should.
    pub fn tick(
        &mut self,
        fold: &Fold,
        is_fresh: bool,
        delay: Duration,
        now: Time,
    ) -> Option<Record> {
        if self
            .held
            .as_ref()
            .is_some_and(|held| now >= held.valid_until)
        {
            self.held = None;
        }
        if now < self.next_send {
            return None;
        }
        let body = match &self.held {
            Some(held) => {
                let due = held.sent_at + self.timing.duration / RENEWALS_PER_LEASE;
                (now >= due).then(|| self.renewal(held.fence))?
            }
            None => {
                let is_free = is_fresh && self.is_free(fold, delay, now);
                is_free.then(|| self.acquisition(fold))?
            }
        };
        self.next_send = now + self.timing.duration / (2 * RENEWALS_PER_LEASE);
        let record = record::record(&self.daemon, body);
        if self.pending.len() >= MAX_PENDING {
            self.pending.shift_remove_index(0);
        }
        // Validity counts from before the append is sent.
        self.pending.insert(record.attempt.clone(), now);
        Some(record)
    }

    fn renewal(&self, fence: id::Fence) -> Body {
        Body::Renew(Renew {
            lease: self.lease.to_string(),
            fence,
            duration_ms: self.duration_ms(),
        })
    }

    fn acquisition(&self, fold: &Fold) -> Body {
        Body::Acquire(Acquire {
            lease: self.lease.to_string(),
            base: fold.next_offset(),
            duration_ms: self.duration_ms(),
        })
    }

    fn duration_ms(&self) -> u64 {
        u64::try_from(self.timing.duration.as_millis()).unwrap_or(u64::MAX)
    }

    /// A successor waits the whole time of the last record, from when it read it.
    fn is_free(&mut self, fold: &Fold, delay: Duration, now: Time) -> bool {
        let read = *self.read_at.get_or_insert(now);
        let wait = match fold.lease(&self.lease) {
            Some(lease) if lease.holder.is_some() => {
                Duration::from_millis(lease.duration_ms).mul_f64(self.timing.successor_share)
            }
            // The records of a lease may be older than the first that was read.
            None => self.timing.duration.mul_f64(self.timing.successor_share),
            Some(_) => Duration::ZERO,
        };
        now >= read + wait + delay
    }

    /// Learns of a record that was folded.
    pub fn on_folded(&mut self, step: &Step, now: Time) {
        let Some(record) = &step.record else {
            return;
        };
        if record.body.lease() != &*self.lease {
            return;
        }
        let sent = self.pending.shift_remove(&record.attempt);
        if !step.is_accepted {
            return;
        }
        if !matches!(record.body, Body::Plan(_)) {
            self.read_at = Some(now);
        }
        let is_mine = record.daemon == *self.daemon;
        match (&record.body, sent) {
            (Body::Acquire(_), Some(sent)) if is_mine => self.extend(step.offset, sent),
            (Body::Renew(renew), Some(sent)) if is_mine => self.extend(renew.fence, sent),
            (Body::Acquire(_) | Body::Release(_), _) => self.held = None,
            _ => {}
        }
    }

    fn extend(&mut self, fence: id::Fence, sent: Time) {
        let until = sent + self.timing.duration.mul_f64(self.timing.holder_share);
        let before = self.held.as_ref().filter(|held| held.fence == fence);
        if before.is_none_or(|held| held.valid_until < until) {
            self.held = Some(Held {
                fence,
                valid_until: until,
                sent_at: sent,
            });
        }
    }

    /// Gives the lease up; the record may be lost, and then others wait.
    pub fn release(&mut self) -> Option<Record> {
        let held = self.held.take()?;
        let body = Body::Release(Release {
            lease: self.lease.to_string(),
            fence: held.fence,
        });
        Some(record::record(&self.daemon, body))
    }
}
