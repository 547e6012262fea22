//! One endpoint of the table: what is known of its load, latency and health.

use std::time::Duration;

use super::health::Breaker;
use crate::clock::Time;
use crate::policy::latency::Mean;
use crate::policy::{Attempt, Candidate};
use crate::{endpoint, id};

/// Weight of a new latency in an endpoint's mean.
const LATENCY_ALPHA: f64 = 0.15;
/// The least share of calls during a slow start.
const MIN_SLOW_START_SHARE: f64 = 0.1;
/// Multiple of the peers' latency below which the difference is taken for noise.
const LATENCY_DEAD_BAND: f64 = 2.0;
/// Weight of other daemons' calls; reports of them lag, and all daemons see the same.
const OTHER_DAEMONS_WEIGHT: f64 = 0.25;
/// Age at which a load report is no longer used.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Multiple of its mean latency after which an endpoint without answers counts as slow.
const SILENCE_FACTOR: f64 = 3.0;
/// How long a probe must be overdue before a suspect or non-repeatable call serves as one.
const LAST_RESORT_PROBE_DELAY: Duration = Duration::from_secs(5);

/// Weight of a call in the failure rate.
const FAILURE_ALPHA: f64 = 0.3;
/// Time constant of the exponential decay of a failure rate.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(3);

/// The last load report of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Calls that run or wait there, from all daemons.
    busy: f64,
    /// Calls that wait there.
    waiting: f64,
    /// Calls of this daemon in flight when the report arrived.
    own: f64,
    received: Time,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name, address and location.
    pub candidate: Candidate,
    /// Its circuit breaker.
    pub breaker: Breaker,
    /// Calls of this daemon in flight.
    pub in_flight: u32,
    /// Its mean latency in seconds.
    pub latency: Mean,
    /// Whether it was ejected for being slow.
    pub is_slow: bool,
    /// Whether it runs a suspect call, which must be alone.
    pub has_suspect: bool,
    /// Share of recent calls that failed.
    failure_rate: Mean,
    /// When the last call failed.
    last_failure: Option<Time>,
    /// When its slow start began, if it has one.
    slow_start_since: Option<Time>,
    /// Since when calls are in flight without an answer.
    silent_since: Option<Time>,
    report: Option<Report>,
    versions: Option<Vec<id::Version>>,
}

impl Entry {
    /// Makes an endpoint of which nothing is known.
    pub fn new(candidate: Candidate, slow_start_since: Option<Time>) -> Self {
        Self {
            candidate,
            breaker: Breaker::default(),
            in_flight: 0,
            latency: Mean::default(),
            is_slow: false,
            has_suspect: false,
            failure_rate: Mean::default(),
            last_failure: None,
            slow_start_since,
            silent_since: None,
            report: None,
            versions: None,
        }
    }

    /// Records that a call is sent.
    pub fn begin(&mut self, now: Time) {
        self.breaker.begin(now);
        self.in_flight += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Records the end of a call; an answer ends the silence.
    pub fn end(&mut self, is_answer: bool, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.silent_since = None;
        } else if is_answer {
            self.silent_since = Some(now);
        }
    }

    /// Adds a latency in seconds.
    pub fn learn(&mut self, seconds: f64) {
        self.latency.record(seconds, LATENCY_ALPHA);
    }

    /// Forgets the latency learnt before an ejection and begins a slow start.
    pub fn restart(&mut self, now: Time) {
        self.latency = Mean::default();
        self.slow_start_since = Some(now);
    }

    /// Calls that run or wait there: those of this daemon exactly, others by a recent report.
    pub fn load(&self, now: Time) -> f64 {
        let own = f64::from(self.in_flight);
        match self.report {
            Some(r) if now.saturating_sub(r.received) < MAX_REPORT_AGE => {
                own + OTHER_DAEMONS_WEIGHT * (r.busy - r.own).max(0.0)
            }
            _ => own,
        }
    }

    /// Calls that wait, and that run or wait, by a recent report.
    pub fn recent_report(&self, now: Time) -> Option<(f64, f64)> {
        self.report
            .filter(|r| now.saturating_sub(r.received) < MAX_REPORT_AGE)
            .map(|r| (r.waiting, r.busy))
    }

    /// Returns whether its report lists a version.
    pub fn has_version(&self, version: &str) -> bool {
        self.versions
            .as_ref()
            .is_some_and(|v| v.iter().any(|v| **v == *version))
    }

    /// Records a failed call.
    pub fn fail(&mut self, now: Time) {
        self.failure_rate.record(1.0, FAILURE_ALPHA);
        self.last_failure = Some(now);
    }

    /// Records an answered call.
    pub fn succeed(&mut self) {
        self.failure_rate.record(0.0, FAILURE_ALPHA);
    }

    /// The chance, from 0 to 1, that a call fails there; it fades with time, so that an endpoint
    /// that is avoided is tried again.
    pub fn failure_risk(&self, now: Time) -> f64 {
        let (Some(rate), Some(at)) = (self.failure_rate.get(), self.last_failure) else {
            return 0.0;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        rate * (-age / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }

    /// The share of calls, from 0 to 1, that it gets while it starts slowly.
    pub fn slow_start_share(&self, slow_start: Duration, now: Time) -> f64 {
        let Some(since) = self.slow_start_since else {
            return 1.0;
        };
        let age = now.saturating_sub(since).as_secs_f64();
        let window = slow_start.as_secs_f64();
        if age >= window {
            1.0
        } else {
            (age / window).max(MIN_SLOW_START_SHARE)
        }
    }

    /// Seconds that a call is expected to take: `peers` while unknown or within the dead band, more
    /// after a long silence.
    pub fn expected_latency(&self, peers: f64, now: Time) -> f64 {
        let known = self.latency.get().unwrap_or(peers);
        let known = if known < peers * LATENCY_DEAD_BAND {
            peers
        } else {
            known
        };
        let silence = self
            .silent_since
            .map_or(0.0, |at| now.saturating_sub(at).as_secs_f64());
        if silence > SILENCE_FACTOR * known {
            silence
        } else {
            known
        }
    }

    /// Stores a load report.
    pub fn report(&mut self, load: &endpoint::Load, now: Time) {
        self.report = Some(Report {
            busy: f64::from(load.running) + f64::from(load.waiting),
            waiting: f64::from(load.waiting),
            own: f64::from(self.in_flight),
            received: now,
        });
        self.versions = Some(load.versions.clone());
    }

    /// Returns whether its report lists no version; `None` before a report.
    pub fn lacks_model(&self) -> Option<bool> {
        self.versions.as_ref().map(Vec::is_empty)
    }

    /// Returns whether an attempt may probe it: one that is suspect or may not be repeated only if
    /// the probe is long overdue.
    pub fn may_probe(&self, attempt: &Attempt, now: Time) -> bool {
        let delay = if attempt.repeatable && !attempt.is_suspect {
            Duration::ZERO
        } else {
            LAST_RESORT_PROBE_DELAY
        };
        self.breaker.is_probe_due(now.saturating_sub(delay))
    }
}
