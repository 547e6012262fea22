//! One endpoint of the table: what is known of its load, latency and health.

use std::time::Duration;

use super::health::Breaker;
use crate::clock::Time;
use crate::policy::latency::Mean;
use crate::policy::{Attempt, Candidate};
use crate::{endpoint, id};

/// Weight of a new latency in an endpoint's mean.
const ALPHA: f64 = 0.15;
/// The least share that an endpoint gets in its slow start.
const FIRST_SHARE: f64 = 0.1;
/// Multiple of the peers' latency below which the difference is taken for noise.
const DEAD_BAND: f64 = 2.0;
/// Weight of the calls of other daemons, because reports of them lag and all daemons see the same.
const OTHERS: f64 = 0.25;
/// Age at which a report of load is no longer believed.
const STALE: Duration = Duration::from_secs(3);
/// Multiple of its mean latency after which a silent endpoint counts as slow.
const SILENCE: f64 = 3.0;
/// How long after its probe is due an endpoint may be probed by what may not be repeated.
const LAST_PROBE: Duration = Duration::from_secs(5);

/// Weight of a call's end in the failure rate.
const FAILURE_ALPHA: f64 = 0.3;
/// Time in which a failure rate fades to a third.
const FADE: Duration = Duration::from_secs(3);

/// What an endpoint last said of its load.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Calls that run or wait there, from all daemons.
    busy: f64,
    /// Calls that wait there.
    waiting: f64,
    /// Calls of this daemon in flight when the report came.
    own: f64,
    at: Time,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Where it is.
    pub candidate: Candidate,
    /// Its circuit breaker.
    pub breaker: Breaker,
    /// Calls of this daemon in flight.
    pub in_flight: u32,
    /// Its mean latency in seconds.
    pub latency: Mean,
    /// Whether it was ejected for being slow.
    pub is_slow: bool,
    /// Whether a suspect call holds it alone.
    pub is_alone: bool,
    /// Share of recent calls that failed.
    failures: Mean,
    /// When the last call failed.
    failed: Option<Time>,
    /// When it joined, if it did so while this daemon ran.
    joined: Option<Time>,
    /// Since when calls are in flight without an answer.
    silent: Option<Time>,
    report: Option<Report>,
    versions: Option<Vec<id::Version>>,
}

impl Entry {
    /// Makes an endpoint of which nothing is known.
    pub fn new(candidate: Candidate, joined: Option<Time>) -> Self {
        Self {
            candidate,
            breaker: Breaker::default(),
            in_flight: 0,
            latency: Mean::default(),
            is_slow: false,
            is_alone: false,
            failures: Mean::default(),
            failed: None,
            joined,
            silent: None,
            report: None,
            versions: None,
        }
    }

    /// A call is sent.
    pub fn begin(&mut self, now: Time) {
        self.breaker.begin(now);
        self.in_flight += 1;
        self.silent.get_or_insert(now);
    }

    /// A call ended; only an answer breaks the silence.
    pub fn end(&mut self, is_answer: bool, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.silent = None;
        } else if is_answer {
            self.silent = Some(now);
        }
    }

    /// Learns a latency in seconds.
    pub fn learn(&mut self, seconds: f64) {
        self.latency.record(seconds, ALPHA);
    }

    /// Forgets the latency learnt before an ejection and starts slowly again.
    pub fn restart(&mut self, now: Time) {
        self.latency = Mean::default();
        self.joined = Some(now);
    }

    /// Calls that run or wait there, as far as known: own ones are exact, others lag.
    pub fn load(&self, now: Time) -> f64 {
        let own = f64::from(self.in_flight);
        match self.report {
            Some(r) if now.saturating_sub(r.at) < STALE => own + OTHERS * (r.busy - r.own).max(0.0),
            _ => own,
        }
    }

    /// Calls that wait and that are busy there, by a fresh report.
    pub fn reported(&self, now: Time) -> Option<(f64, f64)> {
        self.report
            .filter(|r| now.saturating_sub(r.at) < STALE)
            .map(|r| (r.waiting, r.busy))
    }

    /// Whether its report says that it has this version.
    pub fn has_version(&self, version: &str) -> bool {
        self.versions
            .as_ref()
            .is_some_and(|v| v.iter().any(|v| **v == *version))
    }

    /// A call failed.
    pub fn fail(&mut self, now: Time) {
        self.failures.record(1.0, FAILURE_ALPHA);
        self.failed = Some(now);
    }

    /// A call was answered.
    pub fn succeed(&mut self) {
        self.failures.record(0.0, FAILURE_ALPHA);
    }

    /// The chance, from 0 to 1, that a call fails there; it fades with time, so that an endpoint
    /// that is avoided is tried again.
    pub fn risk(&self, now: Time) -> f64 {
        let (Some(rate), Some(at)) = (self.failures.get(), self.failed) else {
            return 0.0;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        rate * (-age / FADE.as_secs_f64()).exp()
    }

    /// The share of the calls that a newcomer gets, from 0 to 1.
    pub fn share(&self, slow_start: Duration, now: Time) -> f64 {
        let Some(joined) = self.joined else {
            return 1.0;
        };
        let age = now.saturating_sub(joined).as_secs_f64();
        let window = slow_start.as_secs_f64();
        if age >= window {
            1.0
        } else {
            (age / window).max(FIRST_SHARE)
        }
    }

    /// Seconds that a call may take there, the peers' within the dead band; `peers` for an unknown endpoint, and longer when it has
    /// been silent.
    pub fn latency_or(&self, peers: f64, now: Time) -> f64 {
        let known = self.latency.get().unwrap_or(peers);
        let known = if known < peers * DEAD_BAND {
            peers
        } else {
            known
        };
        let silence = self
            .silent
            .map_or(0.0, |at| now.saturating_sub(at).as_secs_f64());
        if silence > SILENCE * known {
            silence
        } else {
            known
        }
    }

    /// Learns a report of load.
    pub fn report(&mut self, load: &endpoint::Load, now: Time) {
        self.report = Some(Report {
            busy: f64::from(load.running) + f64::from(load.waiting),
            waiting: f64::from(load.waiting),
            own: f64::from(self.in_flight),
            at: now,
        });
        self.versions = Some(load.versions.clone());
    }

    /// Whether its report says that nothing is loaded; none before a report.
    pub fn lacks_model(&self) -> Option<bool> {
        self.versions.as_ref().map(Vec::is_empty)
    }

    /// Whether this stage may probe it. What may not be repeated probes only an endpoint that
    /// nothing else has probed for long.
    pub fn may_probe(&self, ask: &Attempt, now: Time) -> bool {
        let patience = if ask.repeatable && !ask.is_suspect {
            Duration::ZERO
        } else {
            LAST_PROBE
        };
        self.breaker.is_probe_due(now.saturating_sub(patience))
    }
}
