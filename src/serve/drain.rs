//! Decides what a daemon that stops still accepts, and when what it has is to end. It does no I/O and is given the
//! time. See [the design note](../../docs/design/fleet.md#stopping).

use std::time::Duration;

use crate::clock::Time;

/// How long a stopping daemon serves at least: the load balancer sends new connections elsewhere after two failed
/// checks a second apart, and idle ones are closed after that.
const MIN_SERVE_TIME: Duration = Duration::from_millis(3_500);
/// How long a stopping daemon accepts requests with stages, which may need several seconds; the operators' rule
/// covers what was sent in the first three.
const STAGED_ACCEPT_TIME: Duration = Duration::from_secs(3);
/// How long a stopping daemon accepts other requests, which end within a second.
const PLAIN_ACCEPT_TIME: Duration = Duration::from_millis(5_500);
/// How long before the daemon's end requests without a response get a failure.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// The smoothing factors of the mean time of a run, and of its deviation.
const MEAN_SMOOTHING: f64 = 0.125;
const DEVIATION_SMOOTHING: f64 = 0.25;
/// How many mean deviations above the mean a run is expected to end: few take longer.
const DEVIATIONS: f64 = 2.0;

/// The stop of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    since: Time,
    grace: Duration,
}

impl Drain {
    /// Begins the stop of a daemon that has so much time until it has to end.
    pub fn new(since: Time, grace: Duration) -> Self {
        Self { since, grace }
    }

    /// Returns when the stop began.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Returns until when a request may be sent to an endpoint whose run is expected to take some time. One that is
    /// sent later would be cut off at work: its client is better served by another daemon.
    pub fn last_send(&self, run: Duration) -> Time {
        self.final_time().saturating_sub(run).max(self.since)
    }

    /// Returns whether a request that has come now may still be served whole.
    pub fn accepts(&self, is_staged: bool, run: Duration, now: Time) -> bool {
        let accept_time = if is_staged {
            STAGED_ACCEPT_TIME
        } else {
            PLAIN_ACCEPT_TIME
        };
        now <= self.since + accept_time && now <= self.last_send(run)
    }

    /// Returns whether requests without a response get a failure now.
    pub fn is_final(&self, now: Time) -> bool {
        now >= self.final_time()
    }

    /// Returns whether a daemon without any work may end.
    pub fn may_end(&self, now: Time) -> bool {
        now >= self.since + MIN_SERVE_TIME
    }

    /// Returns whether the daemon has to end.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.since + self.grace
    }

    fn final_time(&self) -> Time {
        self.since + self.grace.saturating_sub(FINAL_RESPONSE_MARGIN)
    }
}

/// How long the endpoints' runs of one route take.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTime {
    /// The mean and the mean deviation, in seconds; none before the first run.
    estimate: Option<(f64, f64)>,
}

impl RunTime {
    /// Records a run that has ended well.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let Some((mean, deviation)) = &mut self.estimate else {
            self.estimate = Some((took, took / 2.0));
            return;
        };
        let error = took - *mean;
        *mean += MEAN_SMOOTHING * error;
        *deviation += DEVIATION_SMOOTHING * (error.abs() - *deviation);
    }

    /// Returns the time within which nearly all runs end; none before the first one has.
    pub fn bound(&self) -> Option<Duration> {
        let (mean, deviation) = self.estimate?;
        Some(Duration::from_secs_f64(mean + DEVIATIONS * deviation))
    }
}

#[cfg(test)]
mod tests;
