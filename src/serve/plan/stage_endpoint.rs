//! One endpoint of a stage service: which results it holds, and which pieces it can take next.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::forecast::QueuedPiece;
use super::request::Piece;
use super::stage_endpoints::Call;
use super::{CallId, Handle, PieceOutcome};
use crate::clock::Time;
use crate::id;
use crate::serve::catalog;
use crate::serve::health::Health;
use crate::serve::pace::Pace;
use crate::serve::rate::Bucket;
use crate::serve::registry::Endpoint;

/// An endpoint that takes this multiple of the expected time gets only pieces with enough slack.
pub const SLOW_FACTOR: f64 = 1.6;
/// How much later a piece is queued at endpoints outside of its preferred zone: about half a call.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(150);

/// The state of one endpoint.
pub struct StageEndpoint {
    pub service: id::Pool,
    pub zone: id::Zone,
    pub address: SocketAddr,
    pub born: u64,
    pub health: Health,
    pub pace: Pace,
    pub running_call: Option<CallId>,
    /// When the running call is expected to end.
    pub call_end: Time,
    /// No call is sent before this time.
    pub blocked_until: Time,
    /// The endpoint has said that it takes nothing until then.
    pub closed_until: Time,
    /// Its zone is evacuated.
    pub is_evacuated: bool,
    /// When its limit allows the next call.
    pub limited_until: Time,
    pub bucket: Bucket,
    pub is_cold: bool,
    /// Bytes of results that it holds or computes.
    pub used_bytes: u64,
    pub results: IndexMap<Handle, Allocation>,
    /// Results that this planner does not know.
    pub foreign_results: Option<Allocation>,
    /// Consecutive overdue calls.
    pub overdue_calls: u32,
}

/// Bytes that results take at an endpoint.
pub struct Allocation {
    pub bytes: u64,
    /// When the endpoint drops them by itself.
    pub expires_at: Time,
}

impl StageEndpoint {
    /// Makes the state of an endpoint without results.
    pub fn new(endpoint: &Endpoint) -> Self {
        Self {
            service: endpoint.service.clone(),
            zone: endpoint.zone.clone(),
            address: endpoint.address,
            born: endpoint.born,
            health: Health::default(),
            pace: Pace::default(),
            running_call: None,
            call_end: Time::ZERO,
            blocked_until: Time::ZERO,
            closed_until: Time::ZERO,
            is_evacuated: false,
            limited_until: Time::ZERO,
            bucket: Bucket::default(),
            is_cold: false,
            used_bytes: 0,
            results: IndexMap::new(),
            foreign_results: None,
            overdue_calls: 0,
        }
    }

    /// Returns whether it may get a call, once it is idle.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.is_evacuated && now >= self.closed_until && self.health.is_usable(now)
    }

    /// Returns whether it may get a call at once.
    pub fn is_idle(&self, now: Time) -> bool {
        self.running_call.is_none() && now >= self.blocked_until && now >= self.limited_until
    }

    /// Returns how long a full call takes here, as a multiple of the time that it should take.
    pub fn slowness(&self, batch: &catalog::Batch, now: Time) -> f64 {
        self.health.slowness(now) * self.pace.ratio(batch.full_time(), now)
    }

    /// Returns how long work takes that begins now and takes `usual` at an endpoint in good health.
    pub fn duration(&self, usual: Duration, now: Time) -> Duration {
        let slowness = self.health.slowness(now).max(1.0);
        self.pace.duration(usual, now).mul_f64(slowness)
    }

    /// Returns the queue indexes of the pieces for its next call. Pieces of other zones for which
    /// `should_wait` holds stay queued. With `is_slow`, pieces without slack do.
    pub fn select_pieces(
        &self,
        batch: &catalog::Batch,
        queue: &[QueuedPiece],
        is_slow: bool,
        should_wait: impl Fn(&QueuedPiece) -> bool,
        now: Time,
    ) -> Vec<usize> {
        let full_time = batch.full_time();
        let slowness = self.health.slowness(now);
        let extra_time = batch.call_time.mul_f64((slowness - 1.0).max(0.0));
        let extra_time = extra_time + self.pace.duration(full_time, now).saturating_sub(full_time);
        let foreign = self
            .foreign_results
            .as_ref()
            .filter(|foreign| now < foreign.expires_at);
        let mut used_bytes = self.used_bytes + foreign.map_or(0, |foreign| foreign.bytes);
        let mut indexes = Vec::new();
        let is_elsewhere = |queued: &QueuedPiece| {
            queued
                .preferred_zone
                .as_ref()
                .is_some_and(|preferred| *preferred != self.zone)
        };
        let mut candidates: Vec<(usize, &QueuedPiece)> = queue.iter().enumerate().collect();
        candidates.sort_by_key(|(_, queued)| {
            let delay = if is_elsewhere(queued) {
                OTHER_ZONE_DELAY
            } else {
                Duration::ZERO
            };
            (queued.key.is_late, queued.key.at + delay)
        });
        for (index, queued) in candidates {
            if indexes.len() >= batch.max_pieces {
                break;
            }
            let is_skipped = is_slow && !queued.key.is_late && queued.slack < extra_time;
            let is_skipped = is_skipped || (is_elsewhere(queued) && should_wait(queued));
            if is_skipped || used_bytes + queued.piece.bytes > batch.capacity_bytes {
                continue;
            }
            used_bytes += queued.piece.bytes;
            indexes.push(index);
        }
        indexes
    }

    /// Returns when it is expected to take the next call.
    pub fn available_at(&self) -> Time {
        if self.running_call.is_some() {
            self.call_end
        } else {
            self.blocked_until.max(self.limited_until)
        }
    }

    /// Records how long a call has taken by now.
    pub fn record_duration(&mut self, call: &Call, now: Time) {
        let usual = call.usual.as_secs_f64().max(0.001);
        let ratio = now.saturating_sub(call.started_at).as_secs_f64() / usual;
        let expected = call.expected.as_secs_f64() / usual;
        let own = self.pace.own_ratio(ratio, expected, now);
        self.health.record_duration(own, now);
    }

    /// Records the outcome of a piece.
    pub fn record_outcome(&mut self, piece: &Piece, outcome: &PieceOutcome, expires_at: Time) {
        match outcome {
            PieceOutcome::Handle(handle) => {
                let bytes = piece.bytes;
                self.results
                    .insert(handle.clone(), Allocation { bytes, expires_at });
            }
            PieceOutcome::NoRoom
            | PieceOutcome::Late
            | PieceOutcome::InputLost
            | PieceOutcome::Error => {
                self.used_bytes = self.used_bytes.saturating_sub(piece.bytes);
            }
        }
    }

    /// Releases the room of pieces without results.
    pub fn release_pieces(&mut self, pieces: &[Piece]) {
        let bytes: u64 = pieces.iter().map(|piece| piece.bytes).sum();
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
    }
}
