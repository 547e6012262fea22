//! The order in which pieces are worked on, and when a new request would end.

use std::time::Duration;

use indexmap::IndexMap;

use super::Ticket;
use super::request::{Piece, Work};
use super::stage_endpoints::Makers;
use crate::clock::Time;
use crate::id;

/// How much later a request of the next lower rank is worked on than one with the same slack. It is
/// about the time of one call, so that rank decides among requests of neighbouring calls.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// How much later a request is worked on, as a multiple of the time that its pieces take.
const COST_DELAY: f64 = 1.0;
/// The wait for a service without endpoints: longer than any deadline.
const NO_ENDPOINT: Duration = Duration::from_secs(60);

token! {
    /// When a piece's turn is; the least comes first.
    pub struct Turn {
        /// Whether its request misses its target anyway.
        pub is_late: bool,
        /// The time at which it has to begin, moved back by the rank.
        pub at: Time,
    }
}

/// A piece that waits for an endpoint.
#[derive(Clone)]
pub struct Waiting {
    /// The piece.
    pub piece: Piece,
    /// Its place in the queue.
    pub turn: Turn,
    /// The time it can wait and still meet its target.
    pub slack: Duration,
    /// The availability zone in which it is best made, if that matters.
    pub home: Option<id::Zone>,
}

/// What is expected of a request.
pub struct Forecast {
    /// The time from now to the first byte of its answer.
    pub total: Duration,
    /// How long its stages wait for endpoints.
    pub wait: Duration,
}

/// Returns how much later a request is worked on for the work it takes: under overload, as many
/// answers as possible are given in the time of the endpoints.
fn cost(work: &Work, makers: &Makers) -> Duration {
    let needs = work.job.stages.iter();
    let time: Duration = needs
        .map(|need| makers.item_time(&need.service, need.pieces))
        .sum();
    time.mul_f64(COST_DELAY / f64::from(work.job.weight.clamp(0.25, 4.0)))
}

fn turn(work: &Work, stage: usize, makers: &Makers, now: Time) -> (Turn, Duration) {
    let tail = work.tail(stage, makers);
    let begin = work.job.target.saturating_sub(tail);
    let is_late = begin < now;
    let mut at = begin + RANK_DELAY * u32::from(work.job.priority) + cost(work, makers);
    if work.has_begun {
        // What was made for it already would be in vain, and takes room.
        at = at.saturating_sub(RANK_DELAY);
    }
    (Turn { is_late, at }, begin.saturating_sub(now))
}

/// Returns the pieces that wait, by service, in the order of their turns.
pub fn queue(
    works: &IndexMap<Ticket, Work>,
    makers: &Makers,
    now: Time,
) -> IndexMap<id::Pool, Vec<Waiting>> {
    let mut queue: IndexMap<id::Pool, Vec<Waiting>> = IndexMap::new();
    for (ticket, work) in works {
        let mut last = None;
        for piece in work.waiting(*ticket) {
            let stage = piece.at.stage;
            let (turn, slack, home) = match last.take() {
                Some((of, turn, slack, home)) if of == stage => (turn, slack, home),
                _ => {
                    let (turn, slack) = turn(work, stage, makers, now);
                    (turn, slack, work.best_zone(stage))
                }
            };
            last = Some((stage, turn, slack, home.clone()));
            let pool = work.job.stages[stage].service.clone();
            queue.entry(pool).or_default().push(Waiting {
                turn,
                slack,
                home,
                piece,
            });
        }
    }
    for waiting in queue.values_mut() {
        waiting.sort_by_key(|one| one.turn);
    }
    queue
}

/// Forecasts a new request, from what waits before it; none when it has no stages.
pub fn forecast(
    new: &Work,
    works: &IndexMap<Ticket, Work>,
    makers: &Makers,
    now: Time,
) -> Option<Forecast> {
    let mut ends: Vec<Duration> = Vec::new();
    let mut wait = Duration::ZERO;
    for (stage, need) in new.job.stages.iter().enumerate() {
        let before = need.after.iter().filter_map(|before| ends.get(*before));
        let begin = before.max().copied().unwrap_or_default();
        if need.pieces == 0 {
            ends.push(begin);
            continue;
        }
        let (turn, _) = turn(new, stage, makers, now);
        let ahead = ahead(works, &need.service, turn, makers, now);
        let queued = makers
            .wait(&need.service, ahead, now)
            .unwrap_or(NO_ENDPOINT);
        // What is queued shrinks while the stages before this one are worked on.
        let queued = queued.saturating_sub(begin);
        wait = wait.max(queued);
        // Behind others, its pieces are made in a call that is filled with theirs.
        let own = makers.least_time(&need.service, need.pieces + ahead);
        ends.push(begin + queued + own);
    }
    let last = ends.iter().max().copied()?;
    let total = last + makers.answer_time();
    Some(Forecast { total, wait })
}

/// Returns how many pieces of a service are still to be made and have their turn before this one,
/// whether their inputs are there or not.
fn ahead(
    works: &IndexMap<Ticket, Work>,
    service: &id::Pool,
    before: Turn,
    makers: &Makers,
    now: Time,
) -> usize {
    let mut count = 0;
    for work in works.values().filter(|work| !work.is_granted) {
        for (stage, need) in work.job.stages.iter().enumerate() {
            let queued = work.queued(stage);
            let is_ahead = || turn(work, stage, makers, now).0 < before;
            if need.service == *service && queued > 0 && is_ahead() {
                count += queued;
            }
        }
    }
    count
}
