//! Retries and hedges under the budgets of their pool.

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
        ask: &Attempt,
        error: &endpoint::Error,
        now: Time,
    ) -> Retry {
        let may_repeat = ask.repeatable || error.is_not_run();
        let tries = ask.exclude.len();
        // Content that cost two endpoints may cost every one that runs it.
        let is_deadly = tries >= 2 && matches!(error, endpoint::Error::Lost { .. });
        if is_deadly || !may_repeat || ask.is_suspect || tries >= MAX_ATTEMPTS {
            return Retry::Stop;
        }
        let is_leaving = matches!(error, endpoint::Error::Refused { leaving: true, .. });
        let base = self.sheet.pool(&ask.pool).retry_base;
        let attempt = u32::try_from(tries.saturating_sub(1)).unwrap_or(u32::MAX);
        let delay = if is_leaving {
            Duration::ZERO
        } else {
            backoff(base, attempt, &mut self.rng)
        };
        if now + delay + self.forecast.least(&ask.pipeline, ask.index) >= ask.deadline {
            return Retry::Stop;
        }
        if !self.is_on(Mechanism::Retry) {
            return Retry::Stop;
        }
        // What did not run put no load on the pool.
        let is_free = error.is_not_run() || !self.is_on(Mechanism::RetryBudget);
        if is_free || self.pool(&ask.pool).retries.spend() {
            Retry::After(delay)
        } else {
            Retry::Stop
        }
    }

    /// When a call should be hedged, if at all.
    pub(super) fn hedge_after(&self, ask: &Attempt, now: Time) -> Option<Duration> {
        if !ask.repeatable || ask.is_suspect || !self.is_on(Mechanism::Hedge) {
            return None;
        }
        let quantile = self.sheet.pool(&ask.pool).hedge_quantile;
        let after = self.forecast.quantile(&ask.pipeline, ask.index, quantile)?;
        let least = self.forecast.least(&ask.pipeline, ask.index);
        (now + after + least < ask.deadline).then_some(after)
    }

    pub(super) fn hedge_stage(&mut self, ask: &Attempt, now: Time) -> Option<Pick> {
        if !ask.repeatable || ask.is_suspect || !self.is_on(Mechanism::Hedge) {
            return None;
        }
        let pool = self.pools.get(&ask.pool)?;
        if pool.is_full() || !self.hedges.has_one() {
            return None;
        }
        let pick = self.choose_near(ask, false, now)?.pick;
        if !self.hedges.spend() {
            return None;
        }
        self.begin(ask, &pick, now);
        Some(Pick {
            hedge_after: None,
            ..pick
        })
    }
}
