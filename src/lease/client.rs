//! The lease client: acquires, renews and releases one lease for one daemon.

use std::time::Duration;

use indexmap::IndexMap;

use super::fold::{Fold, Step};
use super::record::{self, Acquire, Body, Record, Release, Renew};
use crate::clock::Time;
use crate::id;

/// Share of the duration that the holder relies on; the rest allows for clock drift.
pub const HOLDER_SHARE: f64 = 0.95;
/// Share of the duration that a successor waits, by its own clock.
pub const SUCCESSOR_SHARE: f64 = 1.05;
/// Renewals per lease duration.
const RENEWALS_PER_LEASE: u32 = 3;
/// Maximum number of records awaiting read-back.
const MAX_PENDING_RECORDS: usize = 16;

event! {
    /// Duration of a lease, with allowances for drift.
    #[derive(Copy)]
    pub struct Timing {
        /// How long an accepted record keeps the lease valid.
        pub duration: Duration,
        /// Share of the duration that the holder relies on.
        pub holder_share: f64,
        /// Share of the duration that a successor waits.
        pub successor_share: f64,
    }
}

impl Timing {
    /// Creates a timing with the default allowances for drift.
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

/// Client of one lease in one daemon.
#[derive(Clone, Debug)]
pub struct Client {
    lease: id::Name,
    daemon: id::Daemon,
    timing: Timing,
    held: Option<Held>,
    /// Send time of each record awaiting read-back, by attempt.
    pending: IndexMap<String, Time>,
    /// When the last record of the lease was read.
    read_at: Option<Time>,
    next_send: Time,
}

impl Client {
    /// Creates a client without the lease.
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

    /// Returns the name of the lease.
    pub fn lease(&self) -> &id::Name {
        &self.lease
    }

    /// Sets the timing, from the next record on.
    pub fn set_timing(&mut self, timing: Timing) {
        self.timing = timing;
    }

    /// Returns the fencing token, if the lease stays valid for at least `time`.
    ///
    /// A holder calls this right before each action, because a pause may have outlasted the lease.
    pub fn fence(&self, now: Time, time: Duration) -> Option<id::Fence> {
        self.held
            .as_ref()
            .filter(|held| now + time < held.valid_until)
            .map(|held| held.fence)
    }

    /// Returns whether this daemon holds the lease now.
    pub fn is_valid(&self, now: Time) -> bool {
        self.fence(now, Duration::ZERO).is_some()
    }

    /// Returns a record to append now, if one is due.
    ///
    /// `is_fresh` says that the stream was read to its end recently; `delay` is the wait behind the
    /// preferred successor.
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
        if self.pending.len() >= MAX_PENDING_RECORDS {
            self.pending.shift_remove_index(0);
        }
        // The lease is valid from before the append is sent.
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

    /// Returns whether the lease was released, or has expired since its last record was read.
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

    /// Handles a record that the fold applied.
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
        let is_own = record.daemon == *self.daemon;
        match (&record.body, sent) {
            (Body::Acquire(_), Some(sent)) if is_own => self.extend(step.offset, sent),
            (Body::Renew(renew), Some(sent)) if is_own => self.extend(renew.fence, sent),
            (Body::Acquire(_) | Body::Release(_), _) => self.held = None,
            _ => {}
        }
    }

    fn extend(&mut self, fence: id::Fence, sent: Time) {
        let until = sent + self.timing.duration.mul_f64(self.timing.holder_share);
        let current = self.held.as_ref().filter(|held| held.fence == fence);
        if current.is_none_or(|held| held.valid_until < until) {
            self.held = Some(Held {
                fence,
                valid_until: until,
                sent_at: sent,
            });
        }
    }

    /// Releases the lease; if the record is lost, others wait until it expires.
    pub fn release(&mut self) -> Option<Record> {
        let held = self.held.take()?;
        let body = Body::Release(Release {
            lease: self.lease.to_string(),
            fence: held.fence,
        });
        Some(record::record(&self.daemon, body))
    }
}
