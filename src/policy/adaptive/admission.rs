//! Admission: refuses a request that is not predicted to finish in time.
//!
//! For a workspace below its share, only its own backlog and share count, so that the backlog of
//! a greedy workspace does not get its requests refused.

use std::time::Duration;

use super::{Adaptive, Admitted, Mechanism, Pool};
use crate::clock::Time;
use crate::id;
use crate::policy::{Admission, Arrival};

/// How soon a refused request may be sent again.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Factor on the priority step during a standing queue.
const STANDING_STEP_FACTOR: f64 = 2.0;

impl Adaptive {
    pub(super) fn admit_request(&mut self, arrival: &Arrival, now: Time) -> Admission {
        if self.is_on(Mechanism::Admission)
            && let Some(reason) = self.refusal_reason(arrival, now)
        {
            return Admission::Refuse {
                reason,
                retry_after: RETRY_AFTER,
            };
        }
        self.record_admitted(arrival);
        Admission::Admit
    }

    fn refusal_reason(&self, arrival: &Arrival, now: Time) -> Option<&'static str> {
        let remaining = arrival.deadline.saturating_sub(now);
        let need = self.forecast.likely_time(&arrival.pipeline, 0);
        if need > remaining {
            return Some("the deadline is shorter than the stages need");
        }
        let knobs = self.knobs.pipeline(&arrival.pipeline);
        let priority = f64::from(arrival.priority.min(7));
        // During a standing queue, low priorities are refused sooner.
        let step_factor = if self.has_standing_queue(&arrival.pools, now) {
            STANDING_STEP_FACTOR
        } else {
            1.0
        };
        let share = knobs.admission_share - knobs.priority_step * step_factor * priority;
        let wait = arrival
            .pools
            .iter()
            .filter_map(|p| self.pools.get(p))
            .map(|p| self.predicted_wait(p, &arrival.workspace))
            .fold(0.0, f64::max);
        let allowed = remaining.as_secs_f64() * share;
        (need.as_secs_f64() + wait > allowed).then_some("the pool has no room before the deadline")
    }

    fn has_standing_queue(&self, pools: &[id::Pool], now: Time) -> bool {
        let pools = pools.iter().filter_map(|p| self.pools.get(p));
        pools.into_iter().any(|p| p.queue.is_standing(now))
    }

    /// Predicts the wait in seconds of a new request of a workspace.
    fn predicted_wait(&self, pool: &Pool, workspace: &id::Workspace) -> f64 {
        let (Some(latency), Some(cost)) = (pool.latency.get(), pool.cost.get()) else {
            return 0.0;
        };
        let concurrent_tokens = pool.limit.fractional() * cost.max(1.0);
        let tokens_per_second = concurrent_tokens / latency.max(1e-6);
        let shared_wait =
            (pool.pending_tokens as f64 - concurrent_tokens).max(0.0) / tokens_per_second;
        if !self.is_on(Mechanism::Fairness) {
            return shared_wait;
        }
        let own = pool
            .pending_by_workspace
            .get(workspace)
            .copied()
            .unwrap_or(0) as f64;
        let share = self.guaranteed_share(pool, workspace);
        let own_wait = (own - concurrent_tokens * share).max(0.0) / (tokens_per_second * share);
        shared_wait.min(own_wait)
    }

    /// The share of a pool that a workspace gets while all others use theirs.
    fn guaranteed_share(&self, pool: &Pool, workspace: &id::Workspace) -> f64 {
        let own = self.weight(workspace);
        let others: f64 = pool
            .pending_by_workspace
            .keys()
            .filter(|w| *w != workspace)
            .map(|w| self.weight(w))
            .sum();
        own / (own + others)
    }

    fn record_admitted(&mut self, arrival: &Arrival) {
        for name in &arrival.pools {
            let pool = self.pool(name);
            pool.pending_tokens += arrival.cost;
            *pool
                .pending_by_workspace
                .entry(arrival.workspace.clone())
                .or_default() += arrival.cost;
        }
        let admitted = Admitted {
            workspace: arrival.workspace.clone(),
            cost: arrival.cost,
            pools: arrival.pools.iter().cloned().map(Some).collect(),
        };
        self.admitted.insert(arrival.request, admitted);
    }

    /// Releases the tokens of a stage that ended.
    pub(super) fn finish_stage(&mut self, request: id::Request, index: usize) {
        let Some(admitted) = self.admitted.get_mut(&request) else {
            return;
        };
        let Some(name) = admitted.pools.get_mut(index).and_then(Option::take) else {
            return;
        };
        let (workspace, cost) = (admitted.workspace.clone(), admitted.cost);
        self.release_tokens(&name, &workspace, cost);
    }

    /// Releases all that a request holds.
    pub(super) fn finish_request(&mut self, request: id::Request) {
        if let Some(admitted) = self.admitted.swap_remove(&request) {
            for name in admitted.pools.iter().flatten() {
                self.release_tokens(name, &admitted.workspace, admitted.cost);
            }
        }
        self.shed.retain(|(r, _), _| *r != request);
        let keys: Vec<_> = self
            .reserved
            .keys()
            .filter(|(r, _)| *r == request)
            .copied()
            .collect();
        for key in keys {
            self.release_reservation(&key);
        }
    }

    fn release_tokens(&mut self, pool: &id::Pool, workspace: &id::Workspace, cost: u64) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        pool.pending_tokens = pool.pending_tokens.saturating_sub(cost);
        if let Some(pending) = pool.pending_by_workspace.get_mut(workspace) {
            *pending = pending.saturating_sub(cost);
            if *pending == 0 {
                pool.pending_by_workspace.swap_remove(workspace);
            }
        }
    }
}
