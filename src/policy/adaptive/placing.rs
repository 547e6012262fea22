//! Placement of attempts: limit and queue of the pool, then the choice of an endpoint.

use std::time::Duration;

use super::{Adaptive, Flight, Key, Mechanism};
use crate::clock::Time;
use crate::limit::queue::Item;
use crate::policy::{Attempt, Pick, Placement, Ticket};
use crate::route::choice::Criteria;

/// How soon a refused request may be sent again.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// A call counts as stuck after a multiple of this quantile of its stage's latency, and some slack.
const STUCK_QUANTILE: f64 = 0.95;
/// The multiple of that quantile.
const STUCK_FACTOR: u32 = 2;
/// The share of the slack that is added.
const STUCK_SLACK_SHARE: f64 = 0.25;
/// The shortest timeout of a call.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(50);

/// A chosen endpoint and its score.
pub(super) struct Scored {
    pub(super) pick: Pick,
    /// Estimated seconds, see `route::choice`.
    pub(super) score: f64,
}

fn refuse(reason: &'static str) -> Placement {
    Placement::Refuse {
        reason,
        retry_after: RETRY_AFTER,
    }
}

impl Adaptive {
    pub(super) fn place_stage(&mut self, attempt: &Attempt, now: Time) -> Placement {
        let key = (attempt.request, attempt.id);
        if let Some(reason) = self.shed.swap_remove(&key) {
            return refuse(reason);
        }
        self.pool(&attempt.pool);
        let was_reserved = self.release_reservation(&key);
        if !was_reserved && self.must_wait(attempt) {
            return self.enqueue(attempt, now);
        }
        self.send(attempt, now)
    }

    fn must_wait(&self, attempt: &Attempt) -> bool {
        self.is_on(Mechanism::Limit)
            && self
                .pools
                .get(&attempt.pool)
                .is_some_and(|p| p.is_full() || !p.queue.is_empty())
    }

    fn enqueue(&mut self, attempt: &Attempt, now: Time) -> Placement {
        let need = self.forecast.likely_time(&attempt.pipeline, attempt.index);
        let latest_start = attempt.deadline.saturating_sub(need);
        if latest_start <= now {
            return refuse("no time left to wait for the pool");
        }
        let is_fair = self.is_on(Mechanism::Fairness);
        let item = Item {
            ticket: Ticket {
                request: attempt.request,
                attempt: attempt.id,
            },
            workspace: if is_fair {
                attempt.workspace.clone()
            } else {
                "".into()
            },
            weight: self.weight(&attempt.workspace),
            priority: attempt.priority,
            deadline: attempt.deadline,
            latest_start,
            cost: attempt.cost,
            enqueued: now,
        };
        let max_queue = self.knobs.pool(&attempt.pool).max_queue as usize;
        let evicted = self.pool(&attempt.pool).queue.push(item, max_queue);
        match evicted {
            Some(item) if item.ticket.request == attempt.request => {
                refuse("the queue of the pool is full")
            }
            Some(item) => {
                let key = (item.ticket.request, item.ticket.attempt);
                self.shed.insert(key, "the queue of the pool is full");
                self.evicted.push(item.ticket);
                Placement::Wait
            }
            None => Placement::Wait,
        }
    }

    fn send(&mut self, attempt: &Attempt, now: Time) -> Placement {
        if let Some(near) = self.choose_near(attempt, false, now) {
            if let Some(placement) = self.spill(attempt, near.score, now) {
                return placement;
            }
            self.start_call(attempt, &near.pick, now);
            return Placement::Send(near.pick);
        }
        if let Some(placement) = self.send_far(attempt, now) {
            return placement;
        }
        let Some(near) = self.choose_near(attempt, true, now) else {
            return refuse("no endpoint of the pool can take it");
        };
        self.start_call(attempt, &near.pick, now);
        Placement::Send(near.pick)
    }

    pub(super) fn choose_near(
        &mut self,
        attempt: &Attempt,
        allows_ejected: bool,
        now: Time,
    ) -> Option<Scored> {
        let has_affinity = self.is_on(Mechanism::Affinity) && !attempt.prefixes.is_empty();
        let has_slow_start = self.is_on(Mechanism::SlowStart);
        let knobs = self.knobs.pool(&attempt.pool);
        let pool = self.pools.get(&attempt.pool)?;
        let criteria = Criteria {
            attempt,
            affinity: (has_affinity && pool.kind.has_prefix_cache()).then_some(&pool.affinity),
            slow_start: if has_slow_start {
                knobs.slow_start
            } else {
                Duration::ZERO
            },
            allows_ejected,
            compares: self.is_on(Mechanism::Score),
        };
        let found = self.table.choose(&criteria, now, &mut self.rng)?;
        Some(Scored {
            score: found.score,
            pick: self.make_pick(attempt, &found.entry.candidate, now),
        })
    }

    pub(super) fn make_pick(
        &self,
        attempt: &Attempt,
        candidate: &crate::policy::Candidate,
        now: Time,
    ) -> Pick {
        Pick {
            endpoint: candidate.endpoint.clone(),
            address: candidate.address.clone(),
            zone: candidate.zone.clone(),
            timeout: self.timeout(attempt, now),
            hedge_after: self.hedge_after(attempt, now),
        }
    }

    /// Returns the timeout of a call: the time that the later stages leave for it, or less if it
    /// counts as stuck before and another attempt is possible.
    fn timeout(&self, attempt: &Attempt, now: Time) -> Duration {
        let remaining = attempt.deadline.saturating_sub(now);
        if !attempt.repeatable || !self.is_on(Mechanism::Timeout) {
            return remaining;
        }
        let allowance = self
            .forecast
            .allowance(&attempt.pipeline, attempt.index, remaining)
            .max(MIN_CALL_TIMEOUT);
        self.stuck_after(attempt, remaining)
            .map_or(allowance, |limit| limit.min(allowance))
    }

    /// Returns how long after its start a call counts as stuck: long enough for a slow call to end,
    /// short enough to leave time for another attempt.
    fn stuck_after(&self, attempt: &Attempt, remaining: Duration) -> Option<Duration> {
        if !self.pools.get(&attempt.pool)?.retry_budget.is_available() {
            return None;
        }
        let (pipeline, index) = (&attempt.pipeline, attempt.index);
        let slow = self.forecast.quantile(pipeline, index, STUCK_QUANTILE)?;
        let slack = remaining.checked_sub(self.forecast.mean_time(pipeline, index))?;
        let limit = slow * STUCK_FACTOR + slack.mul_f64(STUCK_SLACK_SHARE);
        (slack > slow).then(|| limit.min(slack).max(MIN_CALL_TIMEOUT))
    }

    pub(super) fn start_call(&mut self, attempt: &Attempt, pick: &Pick, now: Time) {
        let Some(pool) = self.pools.get_mut(&attempt.pool) else {
            return;
        };
        let is_outside_limit = self
            .table
            .get(&pick.endpoint)
            .is_some_and(|e| self.table.is_outside_limit(&e.candidate));
        pool.in_flight += u32::from(!is_outside_limit);
        let knobs = self.knobs.pool(&attempt.pool);
        pool.retry_budget.earn(knobs.retry_ratio);
        self.hedge_budget.earn(knobs.hedge_ratio);
        let share = pool.affinity.share(&pick.endpoint, &attempt.prefixes);
        if pool.kind.has_prefix_cache() {
            pool.affinity.presume(&pick.endpoint, &attempt.prefixes);
        }
        if let Some(entry) = self.table.get_mut(&pick.endpoint) {
            entry.begin(now);
            entry.has_suspect |= attempt.is_suspect;
        }
        let flight = Flight {
            endpoint: pick.endpoint.clone(),
            pool: attempt.pool.clone(),
            is_hit: share >= 0.5,
            has_prefixes: !attempt.prefixes.is_empty(),
            is_suspect: attempt.is_suspect,
            is_outside_limit,
        };
        self.flights.insert((attempt.request, attempt.id), flight);
    }

    pub(super) fn ready_tickets(&mut self, now: Time) -> Vec<Ticket> {
        let mut tickets = std::mem::take(&mut self.evicted);
        for index in 0..self.pools.len() {
            let Some((name, pool)) = self.pools.get_index_mut(index) else {
                break;
            };
            for item in pool.queue.expire(now) {
                let key = (item.ticket.request, item.ticket.attempt);
                self.shed.insert(key, "it waited too long for the pool");
                tickets.push(item.ticket);
            }
            let target = self.knobs.pool(name).sojourn_target;
            while !pool.is_full() {
                let Some(item) = pool.queue.pop(target, now) else {
                    pool.queue.record_short_wait(now);
                    break;
                };
                pool.reserved += 1;
                let key = (item.ticket.request, item.ticket.attempt);
                self.reserved.insert(key, name.clone());
                tickets.push(item.ticket);
            }
        }
        tickets
    }

    pub(super) fn abandon_ticket(&mut self, ticket: &Ticket) {
        let key = (ticket.request, ticket.attempt);
        self.shed.swap_remove(&key);
        self.evicted.retain(|t| t != ticket);
        if !self.release_reservation(&key) {
            for pool in self.pools.values_mut() {
                if pool.queue.remove(ticket).is_some() {
                    break;
                }
            }
        }
    }

    /// Frees the slot that is reserved for an attempt; returns whether it had one.
    pub(super) fn release_reservation(&mut self, key: &Key) -> bool {
        let Some(name) = self.reserved.swap_remove(key) else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.reserved = pool.reserved.saturating_sub(1);
        }
        true
    }
}
