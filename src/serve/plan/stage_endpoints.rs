//! The endpoints that work on stages: which one takes the next call, and what it holds.

use std::time::Duration;

use indexmap::IndexMap;

use super::forecast::Waiting;
use super::request::{Made, Piece};
use super::stage_endpoint::{Holding, Maker, SLOW};
use super::{Action, CallId, CallOutcome, Handle, PieceOutcome, PieceRequest, TransferredResult};
use crate::clock::Time;
use crate::id;
use crate::serve::catalog::{self, Catalog};
use crate::serve::health::Verdict;
use crate::serve::registry::Endpoint;

/// A call is overdue after this multiple of its expected time, so that its pieces are made
/// elsewhere; items differ by stage, so a smaller one would repeat sound calls.
const OVERDUE: f64 = 1.8;
/// What is allowed to an overdue call besides, for the network and a busy daemon.
const OVERDUE_SLACK: Duration = Duration::from_millis(150);
/// A call is given up after this multiple of its expected time.
const PATIENCE: u32 = 8;
/// How long an endpoint that was full is left alone.
const FULL_TIME: Duration = Duration::from_millis(60);
/// How long results of an unknown owner are expected to fill an endpoint that had no room. Another
/// planner may have asked for them, and frees them within about a second.
const FOREIGN_TIME: Duration = Duration::from_millis(700);
/// How long a piece waits for an endpoint of the zone in which its result is best, if it has the
/// time: about half a call. A result that crosses zones costs about a twentieth of a request.
const HOME_WAIT: Duration = Duration::from_millis(100);
/// The slack from which a piece waits so: two calls, since the stages after it may wait too.
const HOME_SLACK: Duration = Duration::from_millis(400);
/// Overdue calls in a row after which an endpoint is held to be down.
const OVERDUE_CALLS: u32 = 2;
/// The time from the grant to the first byte of an answer, before any was measured.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// The share of a new observation in the mean time to the first byte.
const SHARE: f64 = 0.1;

/// A call that is being worked on.
pub struct Call {
    /// The endpoint.
    pub maker: id::Endpoint,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The pieces, in their order.
    pub pieces: Vec<Piece>,
    /// Whether its pieces were queued again, since it takes too long.
    pub is_overdue: bool,
    began: Time,
    expected: Duration,
}

/// The pieces that an endpoint gets next.
pub struct Batch {
    maker: id::Endpoint,
    /// The endpoint's availability zone.
    pub zone: id::Zone,
    /// Their places among those that wait.
    pub indexes: Vec<usize>,
}

/// All endpoints of stages.
pub struct Makers {
    pools: IndexMap<id::Pool, catalog::Batch>,
    all: IndexMap<id::Endpoint, Maker>,
    answer_time: Duration,
}

impl Default for Makers {
    fn default() -> Self {
        Self {
            pools: IndexMap::new(),
            all: IndexMap::new(),
            answer_time: ANSWER_TIME,
        }
    }
}

impl Makers {
    /// Takes in which endpoints there are.
    pub fn sync(&mut self, endpoints: &[&Endpoint], catalog: &Catalog) {
        let batches = catalog.services.iter();
        let batches = batches.filter_map(|(name, one)| Some((name.clone(), one.batch.clone()?)));
        self.pools = batches.collect();
        let listed: indexmap::IndexSet<&id::Endpoint> =
            endpoints.iter().map(|endpoint| &endpoint.id).collect();
        self.all.retain(|id, _| listed.contains(id));
        for endpoint in endpoints {
            if !self.pools.contains_key(&endpoint.service) {
                continue;
            }
            let same = |maker: &Maker| {
                maker.born == endpoint.born
                    && maker.address == endpoint.address
                    && maker.pool == endpoint.service
            };
            if !self.all.get(&endpoint.id).is_some_and(same) {
                self.all.insert(endpoint.id.clone(), Maker::new(endpoint));
            }
        }
    }

    /// Returns the least time that some pieces of a service take.
    pub fn least_time(&self, pool: &id::Pool, pieces: usize) -> Duration {
        let Some(batch) = self.pools.get(pool) else {
            return Duration::ZERO;
        };
        if pieces == 0 {
            return Duration::ZERO;
        }
        batch.call_time + batch.piece_time * count(pieces.min(batch.max_pieces))
    }

    /// Returns the time that some pieces of a service take besides their calls.
    pub fn item_time(&self, pool: &id::Pool, pieces: usize) -> Duration {
        let item = self.pools.get(pool).map(|batch| batch.piece_time);
        item.unwrap_or_default() * count(pieces)
    }

    /// Returns the expected time from a grant to the first byte of the answer.
    pub fn answer_time(&self) -> Duration {
        self.answer_time
    }

    /// An answer began so long after its grant.
    pub fn note_answer(&mut self, took: Duration) {
        self.answer_time = self.answer_time.mul_f64(1.0 - SHARE) + took.mul_f64(SHARE);
    }

    /// Returns how long a piece waits behind others; none when no endpoint can take it.
    pub fn wait(&self, pool: &id::Pool, ahead: usize, now: Time) -> Option<Duration> {
        let batch = self.pools.get(pool)?;
        let open = |maker: &&Maker| maker.pool == *pool && maker.record.is_open(now);
        let makers: Vec<&Maker> = self.all.values().filter(open).collect();
        let number = count(makers.len());
        if number == 0 {
            return None;
        }
        let speed: f64 = makers
            .iter()
            .map(|maker| 1.0 / maker.record.slowness(now))
            .sum();
        let left = |maker: &&Maker| match maker.busy {
            Some(_) => maker.free_at.saturating_sub(now),
            None => Duration::ZERO,
        };
        let soonest = makers.iter().map(left).min().unwrap_or_default();
        let mean = makers.iter().map(left).sum::<Duration>() / number;
        let calls = count(ahead / batch.max_pieces.max(1));
        let queued = batch.call_time * calls + batch.piece_time * count(ahead);
        let queued = queued.div_f64(speed.max(0.1));
        Some(if calls == 0 { soonest } else { mean + queued })
    }

    /// Chooses an idle endpoint and the pieces that it gets.
    pub fn pick(&self, pool: &id::Pool, waiting: &[Waiting], now: Time) -> Option<Batch> {
        let batch = self.pools.get(pool)?;
        let first = waiting.first()?;
        let open = |maker: &&Maker| maker.pool == *pool && maker.record.is_open(now);
        let idle = |maker: &Maker| maker.busy.is_none() && now >= maker.blocked;
        let fast = self.all.values().filter(open);
        let has_fast = fast
            .into_iter()
            .any(|maker| maker.record.slowness(now) < SLOW);
        let mut makers: Vec<(&id::Endpoint, &Maker)> = self.all.iter().collect();
        makers.retain(|(_, maker)| open(maker) && idle(maker));
        makers.sort_by(|(_, a), (_, b)| {
            let key = |maker: &Maker| {
                let home = first.home.as_ref().unwrap_or(&maker.zone);
                let far = if maker.zone == *home { 0.0 } else { 0.1 };
                maker.record.slowness(now) + maker.record.failing(now) + far
            };
            key(a).total_cmp(&key(b))
        });
        makers.into_iter().find_map(|(id, maker)| {
            let stays =
                |one: &Waiting| one.slack >= HOME_SLACK && self.is_home_near(pool, one, now);
            let indexes = maker.fill(batch, waiting, has_fast, stays, now);
            (!indexes.is_empty()).then(|| Batch {
                maker: id.clone(),
                zone: maker.zone.clone(),
                indexes,
            })
        })
    }

    /// Returns whether an endpoint of the zone in which a piece is best made can soon take it.
    fn is_home_near(&self, pool: &id::Pool, one: &Waiting, now: Time) -> bool {
        let Some(batch) = self.pools.get(pool) else {
            return false;
        };
        let near = |maker: &Maker| {
            let free_at = if maker.busy.is_some() {
                maker.free_at.max(now)
            } else {
                maker.blocked
            };
            maker.pool == *pool
                && one.home.as_ref() == Some(&maker.zone)
                && maker.record.is_open(now)
                && maker.record.slowness(now) < SLOW
                && maker.stock + one.piece.bytes <= batch.capacity_bytes
                && free_at <= now + HOME_WAIT
        };
        self.all.values().any(near)
    }

    /// Sends a call.
    pub fn begin(
        &mut self,
        number: CallId,
        batch: &Batch,
        pieces: Vec<Piece>,
        entries: Vec<PieceRequest>,
        now: Time,
    ) -> Option<(Call, Action)> {
        let maker = self.all.get_mut(&batch.maker)?;
        let settings = self.pools.get(&maker.pool)?;
        let plain = settings.call_time + settings.piece_time * count(pieces.len());
        let expected = plain.mul_f64(maker.record.slowness(now).max(1.0));
        maker.busy = Some(number);
        maker.free_at = now + expected;
        maker.record.begin(now);
        maker.stock += pieces.iter().map(|piece| piece.bytes).sum::<u64>();
        let action = Action::Call {
            call: number,
            endpoint: batch.maker.clone(),
            address: maker.address,
            timeout: expected * PATIENCE,
            pieces: entries,
        };
        let call = Call {
            maker: batch.maker.clone(),
            zone: maker.zone.clone(),
            pieces,
            is_overdue: false,
            began: now,
            expected: plain,
        };
        Some((call, action))
    }

    /// Books the end of a call.
    pub fn end(&mut self, number: CallId, call: &Call, ending: &CallOutcome, now: Time) {
        let Some(maker) = self.all.get_mut(&call.maker) else {
            return;
        };
        if maker.busy == Some(number) {
            maker.busy = None;
        }
        let settings = self.pools.get(&maker.pool);
        let until = now + settings.map_or(Duration::ZERO, |batch| batch.retention);
        let room = settings.map_or(0, |batch| batch.capacity_bytes);
        match ending {
            CallOutcome::Answered(outcomes) => {
                let took = now.saturating_sub(call.began);
                let ratio = took.as_secs_f64() / call.expected.as_secs_f64().max(0.001);
                maker.record.took(ratio, now);
                maker.overdue = 0;
                let good = outcomes.iter().any(|one| *one != PieceOutcome::Error);
                let verdict = if good { Verdict::Good } else { Verdict::Bad };
                maker.record.end(verdict, now);
                for (piece, outcome) in call.pieces.iter().zip(outcomes) {
                    maker.book(piece, outcome, until);
                }
                if outcomes.contains(&PieceOutcome::Room) {
                    let bytes = room.saturating_sub(maker.stock);
                    let until = now + FOREIGN_TIME;
                    maker.foreign = Some(Holding { bytes, until });
                }
            }
            CallOutcome::Refused => {
                maker.record.end(Verdict::Refused, now);
                maker.blocked = now + FULL_TIME;
                maker.unbook(&call.pieces);
            }
            CallOutcome::Lost => {
                maker.record.end(Verdict::Lost, now);
                maker.unbook(&call.pieces);
            }
        }
    }

    /// Returns the calls that take too long.
    pub fn overdue(&self, calls: &IndexMap<CallId, Call>, now: Time) -> Vec<CallId> {
        let over = |call: &Call| {
            let slow = self.all.get(&call.maker);
            let slow = slow.map_or(1.0, |maker| maker.record.slowness(now).max(1.0));
            let limit = call.expected.mul_f64(OVERDUE * slow.min(3.0)) + OVERDUE_SLACK;
            !call.is_overdue && now > call.began + limit
        };
        let calls = calls.iter().filter(|(_, call)| over(call));
        calls.map(|(number, _)| *number).collect()
    }

    /// Stops waiting for a call. Its answer may be lost and the endpoint idle, so it may get another
    /// one; an endpoint that never answers is ejected.
    pub fn pass_over(&mut self, number: CallId, call: &Call, now: Time) {
        let maker = self.all.get_mut(&call.maker);
        let Some(maker) = maker.filter(|maker| maker.busy == Some(number)) else {
            return;
        };
        maker.busy = None;
        maker.overdue += 1;
        let took = now.saturating_sub(call.began);
        let ratio = took.as_secs_f64() / call.expected.as_secs_f64().max(0.001);
        maker.record.took(ratio, now);
        if maker.overdue >= OVERDUE_CALLS {
            maker.record.end(Verdict::Lost, now);
        }
    }

    /// Takes in results that another planner had made.
    pub fn adopt(&mut self, given: &[TransferredResult]) {
        for one in given {
            let Some(maker) = self.all.get_mut(&one.endpoint) else {
                continue;
            };
            let (bytes, until) = (one.bytes, one.expires_at);
            if maker
                .held
                .insert(one.handle.clone(), Holding { bytes, until })
                .is_none()
            {
                maker.stock += bytes;
            }
        }
    }

    /// Returns how long an endpoint holds a result.
    pub fn holds_until(&self, made: &Made) -> Time {
        let maker = self.all.get(&made.maker);
        let holding = maker.and_then(|maker| maker.held.get(&made.handle));
        holding.map_or(Time::ZERO, |holding| holding.until)
    }

    /// Drops what endpoints no longer hold.
    pub fn expire(&mut self, now: Time) {
        for maker in self.all.values_mut() {
            let mut over = 0;
            maker.held.retain(|_, holding| {
                let keep = now < holding.until;
                over += if keep { 0 } else { holding.bytes };
                keep
            });
            maker.stock = maker.stock.saturating_sub(over);
        }
    }

    /// Gives up results, and returns what has to be told to their makers.
    pub fn free(&mut self, results: Vec<Made>) -> Vec<Action> {
        let mut by_maker: IndexMap<id::Endpoint, Vec<Handle>> = IndexMap::new();
        for made in results {
            let maker = self.all.get_mut(&made.maker);
            let Some(maker) = maker else {
                continue;
            };
            if let Some(holding) = maker.held.swap_remove(&made.handle) {
                maker.stock = maker.stock.saturating_sub(holding.bytes);
                by_maker.entry(made.maker).or_default().push(made.handle);
            }
        }
        let action = |(endpoint, handles): (id::Endpoint, Vec<Handle>)| {
            let address = self.all.get(&endpoint)?.address;
            Some(Action::Free {
                endpoint,
                address,
                handles,
            })
        };
        by_maker.into_iter().filter_map(action).collect()
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
