//! Admission: a request is refused at the door when it is not predicted to finish.
//!
//! A workspace below its share is judged by its own backlog and share alone, so that the backlog
//! of a greedy one cannot refuse it.

use std::time::Duration;

use super::{Adaptive, Admitted, Mechanism, Pool};
use crate::clock::Time;
use crate::id;
use crate::policy::{Admission, Arrival};

/// How soon a refused request may be sent again.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Priority steps while a queue stands.
const STANDING_STEPS: f64 = 2.0;

impl Adaptive {
    pub(super) fn admit_request(&mut self, arrival: &Arrival, now: Time) -> Admission {
        if self.is_on(Mechanism::Admission)
            && let Some(reason) = self.objection(arrival, now)
        {
            return Admission::Refuse {
                reason,
                retry_after: RETRY_AFTER,
            };
        }
        self.enter(arrival);
        Admission::Admit
    }

    fn objection(&self, arrival: &Arrival, now: Time) -> Option<&'static str> {
        let remaining = arrival.deadline.saturating_sub(now);
        let need = self.forecast.need(&arrival.pipeline, 0);
        if need > remaining {
            return Some("the deadline is shorter than the stages need");
        }
        let knobs = self.sheet.pipeline(&arrival.pipeline);
        let priority = f64::from(arrival.priority.min(7));
        // A standing queue makes the less important yield sooner.
        let steps = if self.is_standing(&arrival.pools, now) {
            STANDING_STEPS
        } else {
            1.0
        };
        let share = knobs.admission_share - knobs.priority_step * steps * priority;
        let wait = arrival
            .pools
            .iter()
            .filter_map(|p| self.pools.get(p))
            .map(|p| self.wait(p, &arrival.workspace))
            .fold(0.0, f64::max);
        let allowed = remaining.as_secs_f64() * share;
        (need.as_secs_f64() + wait > allowed).then_some("the pool has no room before the deadline")
    }

    fn is_standing(&self, pools: &[id::Pool], now: Time) -> bool {
        let pools = pools.iter().filter_map(|p| self.pools.get(p));
        pools.into_iter().any(|p| p.queue.is_standing(now))
    }

    /// Predicted wait in seconds for a new request of a workspace.
    fn wait(&self, pool: &Pool, workspace: &id::Workspace) -> f64 {
        let (Some(latency), Some(cost)) = (pool.latency.get(), pool.cost.get()) else {
            return 0.0;
        };
        let room = pool.limit.level() * cost.max(1.0);
        let speed = room / latency.max(1e-6);
        let behind_all = (pool.pending as f64 - room).max(0.0) / speed;
        if !self.is_on(Mechanism::Fairness) {
            return behind_all;
        }
        let own = pool.by_workspace.get(workspace).copied().unwrap_or(0) as f64;
        let share = self.share(pool, workspace);
        let behind_own = (own - room * share).max(0.0) / (speed * share);
        behind_all.min(behind_own)
    }

    /// The share of a pool that a workspace may count on while all others want theirs.
    fn share(&self, pool: &Pool, workspace: &id::Workspace) -> f64 {
        let mine = self.weight(workspace);
        let others: f64 = pool
            .by_workspace
            .keys()
            .filter(|w| *w != workspace)
            .map(|w| self.weight(w))
            .sum();
        mine / (mine + others)
    }

    fn enter(&mut self, arrival: &Arrival) {
        for name in &arrival.pools {
            let pool = self.pool(name);
            pool.pending += arrival.cost;
            *pool
                .by_workspace
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

    /// A stage of an admitted request ended.
    pub(super) fn pass(&mut self, request: id::Request, index: usize) {
        let Some(admitted) = self.admitted.get_mut(&request) else {
            return;
        };
        let Some(name) = admitted.pools.get_mut(index).and_then(Option::take) else {
            return;
        };
        let (workspace, cost) = (admitted.workspace.clone(), admitted.cost);
        self.release(&name, &workspace, cost);
    }

    /// An admitted request left.
    pub(super) fn leave(&mut self, request: id::Request) {
        if let Some(admitted) = self.admitted.swap_remove(&request) {
            for name in admitted.pools.iter().flatten() {
                self.release(name, &admitted.workspace, admitted.cost);
            }
        }
        self.shed.retain(|(r, _), _| *r != request);
        let held: Vec<_> = self
            .reserved
            .keys()
            .filter(|(r, _)| *r == request)
            .copied()
            .collect();
        for key in held {
            self.unreserve(&key);
        }
    }

    fn release(&mut self, pool: &id::Pool, workspace: &id::Workspace, cost: u64) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        pool.pending = pool.pending.saturating_sub(cost);
        if let Some(left) = pool.by_workspace.get_mut(workspace) {
            *left = left.saturating_sub(cost);
            if *left == 0 {
                pool.by_workspace.swap_remove(workspace);
            }
        }
    }
}
