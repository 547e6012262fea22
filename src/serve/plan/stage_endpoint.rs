//! One endpoint of a stage: what it holds, and which pieces it can take next.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::forecast::Waiting;
use super::request::Piece;
use super::{CallId, Handle, PieceOutcome};
use crate::clock::Time;
use crate::id;
use crate::serve::catalog;
use crate::serve::health::Record;
use crate::serve::registry::Endpoint;

/// An endpoint that takes this many times as long as expected gets only what can wait for it.
pub const SLOW: f64 = 1.6;
/// How much later a piece is made outside of the zone where its result is best: about half a call.
const AWAY_TIME: Duration = Duration::from_millis(150);

/// An endpoint of a stage.
pub struct Maker {
    pub pool: id::Pool,
    pub zone: id::Zone,
    pub address: SocketAddr,
    pub born: u64,
    pub record: Record,
    pub busy: Option<CallId>,
    /// When its call is expected to end.
    pub free_at: Time,
    /// No call is sent before this time.
    pub blocked: Time,
    /// Bytes of results that it holds or is making.
    pub stock: u64,
    pub held: IndexMap<Handle, Holding>,
    /// Results that this planner does not know of.
    pub foreign: Option<Holding>,
    pub overdue: u32,
}

/// A result at its maker.
pub struct Holding {
    pub bytes: u64,
    /// When the endpoint drops it by itself.
    pub until: Time,
}

impl Maker {
    /// Makes the state of one that holds nothing.
    pub fn new(endpoint: &Endpoint) -> Self {
        Self {
            pool: endpoint.service.clone(),
            zone: endpoint.zone.clone(),
            address: endpoint.address,
            born: endpoint.born,
            record: Record::default(),
            busy: None,
            free_at: Time::ZERO,
            blocked: Time::ZERO,
            stock: 0,
            held: IndexMap::new(),
            foreign: None,
            overdue: 0,
        }
    }

    /// Returns the places of the pieces that it takes, in their order.
    pub fn fill(
        &self,
        batch: &catalog::Batch,
        waiting: &[Waiting],
        has_fast: bool,
        stays: impl Fn(&Waiting) -> bool,
        now: Time,
    ) -> Vec<usize> {
        let slowness = self.record.slowness(now);
        let longer = batch.call_time.mul_f64((slowness - 1.0).max(0.0));
        let is_slow = slowness >= SLOW && has_fast;
        let foreign = self.foreign.as_ref().filter(|foreign| now < foreign.until);
        let mut stock = self.stock + foreign.map_or(0, |foreign| foreign.bytes);
        let mut indexes = Vec::new();
        let away = |one: &Waiting| one.home.as_ref().is_some_and(|home| *home != self.zone);
        let mut order: Vec<(usize, &Waiting)> = waiting.iter().enumerate().collect();
        order.sort_by_key(|(_, one)| {
            let wait = if away(one) { AWAY_TIME } else { Duration::ZERO };
            (one.turn.is_late, one.turn.at + wait)
        });
        for (index, one) in order {
            if indexes.len() >= batch.max_pieces {
                break;
            }
            let unfit = is_slow && !one.turn.is_late && one.slack < longer;
            let unfit = unfit || (away(one) && stays(one));
            if unfit || stock + one.piece.bytes > batch.capacity_bytes {
                continue;
            }
            stock += one.piece.bytes;
            indexes.push(index);
        }
        indexes
    }

    /// Books what became of a piece.
    pub fn book(&mut self, piece: &Piece, outcome: &PieceOutcome, until: Time) {
        match outcome {
            PieceOutcome::Handle(handle) => {
                let bytes = piece.bytes;
                self.held.insert(handle.clone(), Holding { bytes, until });
            }
            PieceOutcome::Room | PieceOutcome::Late | PieceOutcome::Gone | PieceOutcome::Error => {
                self.stock = self.stock.saturating_sub(piece.bytes);
            }
        }
    }

    /// Forgets the pieces of a call that made nothing.
    pub fn unbook(&mut self, pieces: &[Piece]) {
        let bytes: u64 = pieces.iter().map(|piece| piece.bytes).sum();
        self.stock = self.stock.saturating_sub(bytes);
    }
}
