//! Use of the regional link: calls that the local region cannot take in reasonable time, and
//! relocation of remainders.

use super::placing::Scored;
use super::{Adaptive, Mechanism};
use crate::clock::Time;
use crate::id;
use crate::policy::{Attempt, Pick, Placement};
use crate::route::choice::Criteria;
use crate::route::link::Class;

/// Time that a call must save to be worth its bytes on the link.
const MIN_SAVING_SECONDS: f64 = 0.25;
/// Share of the target of waiting calls up to which another region counts as idle.
const IDLE_WAITING_SHARE: f64 = 0.25;
/// Round-trip time to another region.
const REGION_ROUND_TRIP_SECONDS: f64 = 0.02;

impl Adaptive {
    /// Sends a call to another region if that saves enough and the region has room.
    pub(super) fn spill(
        &mut self,
        attempt: &Attempt,
        near_score: f64,
        now: Time,
    ) -> Option<Placement> {
        let min_gain = MIN_SAVING_SECONDS + REGION_ROUND_TRIP_SECONDS;
        if near_score < min_gain || !self.is_on(Mechanism::Spill) {
            return None;
        }
        let target = self.knobs.pool(&attempt.pool).waiting_target;
        let waiting = self.table.far_median_waiting(&attempt.pool, now)?;
        if waiting > target * IDLE_WAITING_SHARE {
            return None;
        }
        let far = self.choose_far(attempt, now)?;
        if far.scored.score + min_gain >= near_score || !self.spend_link(attempt, now) {
            return None;
        }
        self.start_call(attempt, &far.scored.pick, now);
        Some(Placement::Send(far.scored.pick))
    }

    /// Relocates the remainder or sends the call over the link, where the local region cannot
    /// take it.
    pub(super) fn send_far(&mut self, attempt: &Attempt, now: Time) -> Option<Placement> {
        let Some(far) = self.choose_far(attempt, now) else {
            return self.relocate_by_zone_loads(attempt, now);
        };
        if !self.spend_link(attempt, now) {
            return None;
        }
        if self.is_on(Mechanism::Move) && self.should_relocate(attempt, &far.region) {
            return Some(Placement::Relocate(far.region));
        }
        self.start_call(attempt, &far.scored.pick, now);
        Some(Placement::Send(far.scored.pick))
    }

    /// Relocates the remainder by zone loads, where no endpoint of another region is known.
    fn relocate_by_zone_loads(&mut self, attempt: &Attempt, now: Time) -> Option<Placement> {
        let target = self.knobs.pool(&attempt.pool).waiting_target;
        let home = self.table.region();
        let region = self
            .zone_loads
            .least_loaded_region(&attempt.pool, home, target, now)?
            .clone();
        let serves = |pool: &id::Pool| self.zone_loads.serves(pool, &region, now);
        let serves_rest = attempt.later_pools.iter().all(serves);
        (serves_rest && self.spend_link(attempt, now)).then_some(Placement::Relocate(region))
    }

    /// Takes the bytes of a call from the link's budget; returns whether they fit.
    fn spend_link(&mut self, attempt: &Attempt, now: Time) -> bool {
        let class = Class::of(attempt.repeatable, attempt.priority);
        if self.is_on(Mechanism::LinkBudget)
            && !self.link_budget.allows(class, attempt.input_bytes, now)
        {
            return false;
        }
        self.link_budget.spend(attempt.input_bytes, now);
        true
    }

    fn choose_far(&mut self, attempt: &Attempt, now: Time) -> Option<FarChoice> {
        let criteria = Criteria {
            attempt,
            affinity: None,
            slow_start: self.knobs.pool(&attempt.pool).slow_start,
            allows_ejected: false,
            compares: true,
        };
        let found = self.table.choose_far(&criteria, now, &mut self.rng)?;
        let candidate = &found.entry.candidate;
        let pick = Pick {
            hedge_after: None,
            ..self.make_pick(attempt, candidate, now)
        };
        Some(FarChoice {
            region: candidate.region.clone(),
            scored: Scored {
                pick,
                score: found.score,
            },
        })
    }

    /// Returns whether every later stage is served in `region` and some only there, so that one
    /// relocation replaces several crossings. Otherwise one call crosses and the rest stay here.
    fn should_relocate(&self, attempt: &Attempt, region: &id::Region) -> bool {
        let is_near = |pool: &id::Pool| self.table.is_served(pool, None);
        let is_in_region = |pool: &id::Pool| self.table.is_served(pool, Some(region));
        !attempt.later_pools.iter().all(is_near) && attempt.later_pools.iter().all(is_in_region)
    }
}

/// An endpoint chosen in another region.
struct FarChoice {
    region: id::Region,
    scored: Scored,
}
