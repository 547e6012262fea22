//! How long work takes on an endpoint's VM at this moment, from figures that endpoints add to their answers.
//!
//! A VM is slowed for a moment by what else runs on it. That says nothing of the endpoint itself, whose
//! [health](super::health) is learned from many calls. See [the design note](../../docs/design/pace.md).

use std::time::Duration;

use crate::clock::Time;

/// How fast a figure loses its meaning: VMs are slowed for some hundred milliseconds, so one as old as this
/// still counts for a good third, and one of twice the age for little.
const DECAY_TIME: Duration = Duration::from_millis(300);
/// Figures are clamped to this range: what is beyond is no VM that works.
const RANGE: (f64, f64) = (0.2, 20.0);
/// The difference from usual below which a VM counts as usual.
const LEAST_DIFFERENCE: f64 = 0.02;

/// The time that work takes, as a multiple of the usual one.
pub type Ratio = f64;

/// The pace of one endpoint's VM.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// How much longer work took than usual by the last figure; none while no figure has come.
    excess: Option<f64>,
    heard_at: Time,
}

impl Pace {
    /// Records a figure. The last one replaces the earlier ones, since each states the moment of its answer;
    /// one that was heard earlier, or is no positive number, changes nothing.
    pub fn record(&mut self, ratio: Ratio, heard_at: Time) {
        if !(ratio.is_finite() && ratio > 0.0) || heard_at < self.heard_at {
            return;
        }
        let (least, most) = RANGE;
        self.excess = Some(ratio.clamp(least, most) - 1.0);
        self.heard_at = heard_at;
    }

    /// Returns the excess that is expected at this moment; exactly none without a figure that still counts.
    fn excess(&self, now: Time) -> f64 {
        let Some(excess) = self.excess else {
            return 0.0;
        };
        let age = now.saturating_sub(self.heard_at).as_secs_f64();
        let left = excess * (-age / DECAY_TIME.as_secs_f64()).exp();
        if left.abs() < LEAST_DIFFERENCE {
            0.0
        } else {
            left
        }
    }

    /// Returns the expected duration of work that begins now and takes `usual` at the usual pace: the VM
    /// is expected to come back to its usual pace meanwhile.
    pub fn duration(&self, usual: Duration, now: Time) -> Duration {
        let excess = self.excess(now);
        if excess == 0.0 {
            return usual;
        }
        // With the excess e exp(-t/d) at time t, work of the length w ends at the time t for which
        // exp(t/d) + e = (1 + e) exp(w/d).
        let decay = DECAY_TIME.as_secs_f64();
        let work = (usual.as_secs_f64() / decay).exp();
        if !work.is_finite() {
            // Far longer than any slow spell: only its beginning counts.
            let added = decay * excess.ln_1p();
            return Duration::from_secs_f64((usual.as_secs_f64() + added).max(0.0));
        }
        let end = (1.0 + excess) * work - excess;
        Duration::from_secs_f64(decay * end.ln().max(0.0))
    }

    /// Returns the duration of work of this length as a multiple of the usual one.
    pub fn ratio(&self, usual: Duration, now: Time) -> Ratio {
        if usual.is_zero() || self.excess(now) == 0.0 {
            return 1.0;
        }
        self.duration(usual, now).as_secs_f64() / usual.as_secs_f64()
    }

    /// Returns what a call that took `ratio` times its usual time says of the endpoint itself, if `expected`
    /// of it was due to the VM when the call began: what the VM explains, then or now, is taken off.
    pub fn own_ratio(&self, ratio: f64, expected: Ratio, now: Time) -> f64 {
        let explained = expected.max(1.0 + self.excess(now));
        if ratio > 1.0 && explained > 1.0 {
            (ratio / explained).max(1.0)
        } else {
            ratio
        }
    }
}

#[cfg(test)]
mod tests;
