//! Retries and hedges within their budgets.

use std::time::Duration;

use super::{Adaptive, Mechanism};
use crate::clock::Time;
use crate::endpoint;
use crate::policy::{Attempt, Pick, Retry};
use crate::retry::backoff;

/// The most attempts of one stage.
const MAX_ATTEMPTS: usize = 4;

impl Adaptive {
    pub(super) fn retry_stage(
        &mut self,
        attempt: &Attempt,
        error: &endpoint::Error,
        now: Time,
    ) -> Retry {
        let may_repeat = attempt.repeatable || error.is_not_run();
        let failures = attempt.exclude.len();
        // A request that crashed two endpoints may crash every endpoint that runs it.
        let may_crash_all = failures >= 2 && matches!(error, endpoint::Error::Lost { .. });
        if may_crash_all || !may_repeat || attempt.is_suspect || failures >= MAX_ATTEMPTS {
            return Retry::Stop;
        }
        let is_leaving = matches!(error, endpoint::Error::Refused { leaving: true, .. });
        let base = self.knobs.pool(&attempt.pool).retry_base;
        let retry = u32::try_from(failures.saturating_sub(1)).unwrap_or(u32::MAX);
        let delay = if is_leaving {
            Duration::ZERO
        } else {
            backoff(base, retry, &mut self.rng)
        };
        if now + delay + self.forecast.min_time(&attempt.pipeline, attempt.index)
            >= attempt.deadline
        {
            return Retry::Stop;
        }
        if !self.is_on(Mechanism::Retry) {
            return Retry::Stop;
        }
        // A call that did not run put no load on the pool.
        let is_free = error.is_not_run() || !self.is_on(Mechanism::RetryBudget);
        if is_free || self.pool(&attempt.pool).retry_budget.spend() {
            Retry::After(delay)
        } else {
            Retry::Stop
        }
    }

    /// When a call should be hedged, if at all.
    pub(super) fn hedge_after(&self, attempt: &Attempt, now: Time) -> Option<Duration> {
        if !attempt.repeatable || attempt.is_suspect || !self.is_on(Mechanism::Hedge) {
            return None;
        }
        let quantile = self.knobs.pool(&attempt.pool).hedge_quantile;
        let after = self
            .forecast
            .quantile(&attempt.pipeline, attempt.index, quantile)?;
        let min_time = self.forecast.min_time(&attempt.pipeline, attempt.index);
        (now + after + min_time < attempt.deadline).then_some(after)
    }

    pub(super) fn hedge_stage(&mut self, attempt: &Attempt, now: Time) -> Option<Pick> {
        if !attempt.repeatable || attempt.is_suspect || !self.is_on(Mechanism::Hedge) {
            return None;
        }
        let pool = self.pools.get(&attempt.pool)?;
        if pool.is_full() || !self.hedge_budget.is_available() {
            return None;
        }
        let pick = self.choose_near(attempt, false, now)?.pick;
        if !self.hedge_budget.spend() {
            return None;
        }
        self.start_call(attempt, &pick, now);
        Some(Pick {
            hedge_after: None,
            ..pick
        })
    }
}
