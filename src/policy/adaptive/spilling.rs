//! What crosses the regional link: calls that nothing near can take in reasonable time, and
//! whole remainders.

use super::placing::Scored;
use super::{Adaptive, Mechanism};
use crate::clock::Time;
use crate::id;
use crate::policy::{Attempt, Pick, Placement};
use crate::route::choice::Rule;
use crate::route::link::Class;

/// Seconds that a call must save to be worth the price of the link.
const PRICE: f64 = 0.25;
/// Share of the target of waiting calls up to which the other side counts as idle.
const IDLE: f64 = 0.25;
/// Seconds of the way to another region and back.
const DISTANCE: f64 = 0.02;

impl Adaptive {
    /// Sends a call over the link when that saves more than its price and the other side has room.
    pub(super) fn spill(&mut self, ask: &Attempt, near: f64, now: Time) -> Option<Placement> {
        let least = PRICE + DISTANCE;
        if near < least || !self.is_on(Mechanism::Spill) {
            return None;
        }
        let target = self.sheet.pool(&ask.pool).waiting_target;
        let waiting = self.table.far_waiting(&ask.pool, now)?;
        if waiting > target * IDLE {
            return None;
        }
        let far = self.choose_far(ask, now)?;
        if far.scored.score + least >= near || !self.takes_link(ask, now) {
            return None;
        }
        self.begin(ask, &far.scored.pick, now);
        Some(Placement::Send(far.scored.pick))
    }

    /// Nothing in the own region can take it: the remainder moves, or the call crosses the link.
    pub(super) fn send_far(&mut self, ask: &Attempt, now: Time) -> Option<Placement> {
        let Some(far) = self.choose_far(ask, now) else {
            return self.move_by_digest(ask, now);
        };
        if !self.takes_link(ask, now) {
            return None;
        }
        if self.is_on(Mechanism::Move) && self.should_move(ask, &far.region) {
            return Some(Placement::Relocate(far.region));
        }
        self.begin(ask, &far.scored.pick, now);
        Some(Placement::Send(far.scored.pick))
    }

    /// No endpoint elsewhere is known; a region whose digests promise room takes the remainder.
    fn move_by_digest(&mut self, ask: &Attempt, now: Time) -> Option<Placement> {
        let target = self.sheet.pool(&ask.pool).waiting_target;
        let home = self.table.region();
        let region = self.board.region(&ask.pool, home, target, now)?.clone();
        let serves = |pool: &id::Pool| self.board.serves(pool, &region, now);
        let is_whole = ask.later_pools.iter().all(serves);
        (is_whole && self.takes_link(ask, now)).then_some(Placement::Relocate(region))
    }

    /// Takes the bytes of a call from the link's budget; false when there is no room for it.
    fn takes_link(&mut self, ask: &Attempt, now: Time) -> bool {
        let class = Class::of(ask.repeatable, ask.priority);
        if self.is_on(Mechanism::LinkBudget) && !self.link.has(class, ask.input_bytes, now) {
            return false;
        }
        self.link.spend(ask.input_bytes, now);
        true
    }

    fn choose_far(&mut self, ask: &Attempt, now: Time) -> Option<Far> {
        let rule = Rule {
            ask,
            affinity: None,
            slow_start: self.sheet.pool(&ask.pool).slow_start,
            takes_ejected: false,
            compares: true,
        };
        let found = self.table.choose_far(&rule, now, &mut self.rng)?;
        let candidate = &found.entry.candidate;
        let pick = Pick {
            hedge_after: None,
            ..self.pick(ask, candidate, now)
        };
        Some(Far {
            region: candidate.region.clone(),
            scored: Scored {
                pick,
                score: found.score,
            },
        })
    }

    /// Whether every later stage is served in `region` and some only there, so that one move
    /// replaces several crossings. Otherwise one call crosses and the rest use what is near.
    fn should_move(&self, ask: &Attempt, region: &id::Region) -> bool {
        let is_near = |pool: &id::Pool| self.table.is_served(pool, None);
        let is_there = |pool: &id::Pool| self.table.is_served(pool, Some(region));
        !ask.later_pools.iter().all(is_near) && ask.later_pools.iter().all(is_there)
    }
}

/// A choice in another region.
struct Far {
    region: id::Region,
    scored: Scored,
}
