//! Placement: through the pool's limit and queue to an endpoint.

use std::time::Duration;

use super::{Adaptive, Flight, Key, Mechanism};
use crate::clock::Time;
use crate::limit::queue::Item;
use crate::policy::{Attempt, Pick, Placement, Ticket};
use crate::route::choice::Rule;

/// How soon a refused stage may be sent again.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// The quantile of a stage's latency whose multiple counts as stuck.
const STUCK_QUANTILE: f64 = 0.95;
/// That multiple.
const STUCK_FACTOR: u32 = 2;
/// Share of the slack that a slow call gets on top.
const PATIENCE: f64 = 0.25;
/// The shortest timeout of a call.
const MIN_TIMEOUT: Duration = Duration::from_millis(50);

/// A pick and its score.
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
    pub(super) fn place_stage(&mut self, ask: &Attempt, now: Time) -> Placement {
        let key = (ask.request, ask.id);
        if let Some(reason) = self.shed.swap_remove(&key) {
            return refuse(reason);
        }
        self.pool(&ask.pool);
        let had_turn = self.unreserve(&key);
        if !had_turn && self.must_wait(ask) {
            return self.enqueue(ask, now);
        }
        self.send(ask, now)
    }

    fn must_wait(&self, ask: &Attempt) -> bool {
        self.is_on(Mechanism::Limit)
            && self
                .pools
                .get(&ask.pool)
                .is_some_and(|p| p.is_full() || !p.queue.is_empty())
    }

    fn enqueue(&mut self, ask: &Attempt, now: Time) -> Placement {
        let need = self.forecast.need(&ask.pipeline, ask.index);
        let latest = ask.deadline.saturating_sub(need);
        if latest <= now {
            return refuse("no time left to wait for the pool");
        }
        let fair = self.is_on(Mechanism::Fairness);
        let item = Item {
            ticket: Ticket {
                request: ask.request,
                attempt: ask.id,
            },
            workspace: if fair {
                ask.workspace.clone()
            } else {
                "".into()
            },
            weight: self.weight(&ask.workspace),
            priority: ask.priority,
            deadline: ask.deadline,
            latest,
            cost: ask.cost,
            since: now,
        };
        let most = self.sheet.pool(&ask.pool).max_queue as usize;
        let evicted = self.pool(&ask.pool).queue.push(item, most);
        match evicted {
            Some(item) if item.ticket.request == ask.request => {
                refuse("the queue of the pool is full")
            }
            Some(item) => {
                let key = (item.ticket.request, item.ticket.attempt);
                self.shed.insert(key, "the queue of the pool is full");
                self.told.push(item.ticket);
                Placement::Wait
            }
            None => Placement::Wait,
        }
    }

    fn send(&mut self, ask: &Attempt, now: Time) -> Placement {
        if let Some(near) = self.choose_near(ask, false, now) {
            if let Some(placement) = self.spill(ask, near.score, now) {
                return placement;
            }
            self.begin(ask, &near.pick, now);
            return Placement::Send(near.pick);
        }
        if let Some(placement) = self.send_far(ask, now) {
            return placement;
        }
        let Some(near) = self.choose_near(ask, true, now) else {
            return refuse("no endpoint of the pool can take it");
        };
        self.begin(ask, &near.pick, now);
        Placement::Send(near.pick)
    }

    pub(super) fn choose_near(
        &mut self,
        ask: &Attempt,
        takes_ejected: bool,
        now: Time,
    ) -> Option<Scored> {
        let has_affinity = self.is_on(Mechanism::Affinity) && !ask.prefixes.is_empty();
        let slow = self.is_on(Mechanism::SlowStart);
        let knobs = self.sheet.pool(&ask.pool);
        let pool = self.pools.get(&ask.pool)?;
        let rule = Rule {
            ask,
            affinity: (has_affinity && pool.kind.has_prefix_cache()).then_some(&pool.affinity),
            slow_start: if slow {
                knobs.slow_start
            } else {
                Duration::ZERO
            },
            takes_ejected,
            compares: self.is_on(Mechanism::Score),
        };
        let found = self.table.choose(&rule, now, &mut self.rng)?;
        Some(Scored {
            score: found.score,
            pick: self.pick(ask, &found.entry.candidate, now),
        })
    }

    pub(super) fn pick(
        &self,
        ask: &Attempt,
        candidate: &crate::policy::Candidate,
        now: Time,
    ) -> Pick {
        Pick {
            endpoint: candidate.endpoint.clone(),
            address: candidate.address.clone(),
            zone: candidate.zone.clone(),
            timeout: self.timeout(ask, now),
            hedge_after: self.hedge_after(ask, now),
        }
    }

    /// How long a call may take: what later stages leave, and no longer than a call that is not
    /// stuck when another try is possible.
    fn timeout(&self, ask: &Attempt, now: Time) -> Duration {
        let remaining = ask.deadline.saturating_sub(now);
        if !ask.repeatable || !self.is_on(Mechanism::Timeout) {
            return remaining;
        }
        let allowance = self
            .forecast
            .allowance(&ask.pipeline, ask.index, remaining)
            .max(MIN_TIMEOUT);
        self.cut(ask, remaining)
            .map_or(allowance, |cut| cut.min(allowance))
    }

    /// When a call counts as stuck: late enough for a slow one, early enough for another try.
    fn cut(&self, ask: &Attempt, remaining: Duration) -> Option<Duration> {
        if !self.pools.get(&ask.pool)?.retries.has_one() {
            return None;
        }
        let (pipeline, index) = (&ask.pipeline, ask.index);
        let slow = self.forecast.quantile(pipeline, index, STUCK_QUANTILE)?;
        let slack = remaining.checked_sub(self.forecast.mean(pipeline, index))?;
        let patient = slow * STUCK_FACTOR + slack.mul_f64(PATIENCE);
        (slack > slow).then(|| patient.min(slack).max(MIN_TIMEOUT))
    }

    pub(super) fn begin(&mut self, ask: &Attempt, pick: &Pick, now: Time) {
        let Some(pool) = self.pools.get_mut(&ask.pool) else {
            return;
        };
        let is_far = self
            .table
            .get(&pick.endpoint)
            .is_some_and(|e| self.table.is_beyond(&e.candidate));
        pool.in_flight += u32::from(!is_far);
        let knobs = self.sheet.pool(&ask.pool);
        pool.retries.earn(knobs.retry_ratio);
        self.hedges.earn(knobs.hedge_ratio);
        let share = pool.affinity.share(&pick.endpoint, &ask.prefixes);
        if pool.kind.has_prefix_cache() {
            pool.affinity.presume(&pick.endpoint, &ask.prefixes);
        }
        if let Some(entry) = self.table.get_mut(&pick.endpoint) {
            entry.begin(now);
            entry.is_alone |= ask.is_suspect;
        }
        let flight = Flight {
            endpoint: pick.endpoint.clone(),
            pool: ask.pool.clone(),
            is_hit: share >= 0.5,
            has_prefixes: !ask.prefixes.is_empty(),
            is_suspect: ask.is_suspect,
            is_far,
        };
        self.flights.insert((ask.request, ask.id), flight);
    }

    pub(super) fn ready_tickets(&mut self, now: Time) -> Vec<Ticket> {
        let mut tickets = std::mem::take(&mut self.told);
        for index in 0..self.pools.len() {
            let Some((name, pool)) = self.pools.get_index_mut(index) else {
                break;
            };
            for item in pool.queue.expire(now) {
                let key = (item.ticket.request, item.ticket.attempt);
                self.shed.insert(key, "it waited too long for the pool");
                tickets.push(item.ticket);
            }
            let target = self.sheet.pool(name).sojourn_target;
            while !pool.is_full() {
                let Some(item) = pool.queue.pop(target, now) else {
                    pool.queue.settle(now);
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
        self.told.retain(|t| t != ticket);
        if !self.unreserve(&key) {
            for pool in self.pools.values_mut() {
                if pool.queue.remove(ticket).is_some() {
                    break;
                }
            }
        }
    }

    /// Gives a turn back, or takes it; false when there was none.
    pub(super) fn unreserve(&mut self, key: &Key) -> bool {
        let Some(name) = self.reserved.swap_remove(key) else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.reserved = pool.reserved.saturating_sub(1);
        }
        true
    }
}
