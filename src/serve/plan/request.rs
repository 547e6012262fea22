//! The state of one planned request: its pieces, and the results that endpoints hold for it.

use std::cell::OnceCell;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::engine::Reservation;
use super::outline::Outline;
use super::stage_endpoints::StageEndpoints;
use super::{ADMISSION_TOLERANCE, GIVE_UP_FACTOR, Handle, Job, JobId, TransferredResult};
use crate::clock::Time;
use crate::id;

/// The transferred bytes from which the zone of a piece matters.
const MIN_PREFERENCE_BYTES: u64 = 100_000;

/// How long others with the same part wait for a request to show that the part is harmless: long enough to
/// read a long prompt and begin the answer.
const TRIAL_TIME: Duration = Duration::from_millis(1_500);

/// The time for a request that cannot meet its target, as a multiple of the least possible time.
const UNREACHABLE_TARGET_FACTOR: f64 = 1.25;

token! {
    /// Identifies a piece of a job.
    pub struct PieceIndex {
        pub stage: usize,
        /// The piece, numbered from 0.
        pub piece: usize,
    }
}

event! {
    /// A piece in a queue or a call. It is void once its request has begun another round.
    pub struct Piece {
        pub job_id: JobId,
        pub index: PieceIndex,
        /// The round of its request.
        pub round: u32,
        /// The size of its result.
        pub bytes: u64,
    }

    /// A result that an endpoint holds.
    pub struct StoredResult {
        pub handle: Handle,
        pub endpoint: id::Endpoint,
        pub zone: id::Zone,
        pub bytes: u64,
    }
}

/// The progress of one piece.
#[derive(Clone, Default)]
pub struct PieceState {
    /// Calls that compute it now.
    pub running: u32,
    /// How often endpoints failed to compute it.
    pub failures: u32,
    pub result: Option<StoredResult>,
}

impl PieceState {
    /// Returns whether there is a result.
    pub fn is_done(&self) -> bool {
        self.result.is_some()
    }
}

/// A request that is being planned.
pub struct Request {
    pub job: Job,
    /// How often it was reset.
    pub round: u32,
    /// How often its inputs were lost.
    pub restarts: u32,
    /// How often something had been refused when it was found not to be.
    pub checked_refusals: Option<u64>,
    /// Its share of the engine that runs it now.
    pub reservation: Option<Reservation>,
    /// Whether an engine was granted that has not rejected it.
    pub is_granted: bool,
    /// Whether this or an earlier planner has sent a call for it.
    pub has_started: bool,
    /// The zone in which its results should be computed.
    pub preferred_zone: Option<id::Zone>,
    /// Engines that have ended it, or take nothing from its daemon; they are not chosen.
    pub tried_engines: Vec<id::Endpoint>,
    /// Whether it is handed over once its running calls have ended.
    pub is_transferring: bool,
    /// When the engine's answer began.
    pub answer_began: Option<Time>,
    /// Whether the planner waits to hear that the answer goes on.
    pub is_watched: bool,
    /// The least time from its grant to the first byte of its answer.
    pub engine_time: Duration,
    /// The least time from its submission to the first byte of its answer.
    least_time: Duration,
    submitted_at: Time,
    pieces: Vec<Vec<PieceState>>,
    /// Whether the results of each stage were freed.
    freed_stages: Vec<bool>,
    /// What the queue needs to know of it; none since it has changed.
    outline: OnceCell<Outline>,
}

impl Request {
    /// Makes the state of a new request.
    pub fn new(job: Job, now: Time) -> Self {
        let states = job
            .stages
            .iter()
            .map(|stage| vec![PieceState::default(); stage.pieces]);
        Self {
            round: 0,
            restarts: 0,
            checked_refusals: None,
            reservation: None,
            is_granted: false,
            has_started: false,
            preferred_zone: None,
            tried_engines: job
                .closures
                .iter()
                .map(|closure| closure.endpoint.clone())
                .collect(),
            is_transferring: false,
            answer_began: None,
            is_watched: false,
            engine_time: Duration::ZERO,
            least_time: Duration::ZERO,
            submitted_at: now,
            freed_stages: vec![false; job.stages.len()],
            pieces: states.collect(),
            outline: OnceCell::new(),
            job,
        }
    }

    /// Returns the progress of its stages.
    pub fn outline(&self, endpoints: &StageEndpoints) -> &Outline {
        let derive = || Outline::new(&self.job, &self.pieces, endpoints);
        self.outline.get_or_init(derive)
    }

    /// Has its outline derived anew, since the configuration of endpoints may have changed.
    pub fn invalidate_outline(&mut self) {
        self.outline.take();
    }

    /// Sets the least time from its grant to the first byte of its answer.
    pub fn set_engine_time(&mut self, engine_time: Duration, endpoints: &StageEndpoints) {
        self.engine_time = engine_time;
        let stages = self.outline(endpoints).remaining();
        let first_byte = self.time_to_first_byte(endpoints);
        self.least_time = stages.map_or(engine_time, |stages| stages + first_byte);
    }

    /// Returns the expected time from its grant to the first byte of its answer.
    pub fn time_to_first_byte(&self, endpoints: &StageEndpoints) -> Duration {
        self.engine_time + endpoints.engine_wait()
    }

    /// Returns the time within which it should be answered: its target latency, or more for one with so
    /// long a prompt that no engine could meet it.
    pub fn span(&self) -> Duration {
        let target_latency = self.job.target_latency;
        if self.least_time <= target_latency {
            return target_latency;
        }
        self.least_time.mul_f64(UNREACHABLE_TARGET_FACTOR)
    }

    /// Returns when it should be answered.
    pub fn target(&self) -> Time {
        let added = self.span().saturating_sub(self.job.target_latency);
        self.job.target + added
    }

    /// Adds the results of another planner, and returns the valid ones.
    pub fn add_transferred(&mut self) -> Vec<TransferredResult> {
        let transferred = std::mem::take(&mut self.job.transferred_results);
        let is_valid = |transferred: &TransferredResult| {
            let stage = self.pieces.get(transferred.stage);
            stage.is_some_and(|stage| transferred.piece < stage.len())
        };
        let transferred: Vec<TransferredResult> =
            transferred.into_iter().filter(is_valid).collect();
        for result in &transferred {
            let TransferredResult { stage, piece, .. } = *result;
            self.piece_mut(PieceIndex { stage, piece }).result = Some(StoredResult {
                handle: result.handle.clone(),
                endpoint: result.endpoint.clone(),
                zone: result.zone.clone(),
                bytes: result.bytes,
            });
            self.preferred_zone
                .get_or_insert_with(|| result.zone.clone());
            self.has_started = true;
        }
        transferred
    }

    /// Returns its results for another planner; `expires_at` tells when an endpoint drops one.
    pub fn transferable_results(
        &self,
        expires_at: impl Fn(&StoredResult) -> Time,
    ) -> Vec<TransferredResult> {
        let stages = self.pieces.iter().enumerate();
        let stages = stages.filter(|(stage, _)| !self.freed_stages[*stage]);
        let states = stages.flat_map(|(stage, states)| {
            let states = states.iter().enumerate();
            states.map(move |(piece, state)| (stage, piece, state))
        });
        let results =
            states.filter_map(|(stage, piece, state)| Some((stage, piece, state.result.as_ref()?)));
        let transferred = results.map(|(stage, piece, result)| TransferredResult {
            stage,
            piece,
            handle: result.handle.clone(),
            endpoint: result.endpoint.clone(),
            zone: result.zone.clone(),
            bytes: result.bytes,
            expires_at: expires_at(result),
        });
        transferred.collect()
    }

    /// Returns whether an engine may still be found to end of it.
    pub fn is_trial(&self, now: Time) -> bool {
        let is_recent = |reservation: &Reservation| now < reservation.granted_at + TRIAL_TIME;
        self.is_watched && self.reservation.as_ref().is_some_and(is_recent)
    }

    /// Forgets the results of some endpoints, unless an engine was granted, which has been told of them.
    pub fn forget_results(&mut self, endpoints: &IndexSet<id::Endpoint>) {
        if endpoints.is_empty() || self.is_granted {
            return;
        }
        let stages = self.pieces.iter_mut().zip(&self.freed_stages);
        let held = stages.filter(|(_, is_freed)| !**is_freed);
        for state in held.flat_map(|(states, _)| states) {
            let result = state.result.as_ref();
            if result.is_some_and(|result| endpoints.contains(&result.endpoint)) {
                state.result = None;
            }
        }
    }

    /// Returns whether a call computes one of its pieces.
    pub fn is_running(&self) -> bool {
        self.pieces.iter().flatten().any(|state| state.running > 0)
    }

    /// Returns the state of a piece.
    pub fn piece_mut(&mut self, index: PieceIndex) -> &mut PieceState {
        self.invalidate_outline();
        &mut self.pieces[index.stage][index.piece]
    }

    fn is_stage_done(&self, stage: usize) -> bool {
        self.pieces[stage].iter().all(PieceState::is_done)
    }

    /// Returns whether all stages are done.
    pub fn is_ready(&self) -> bool {
        (0..self.pieces.len()).all(|stage| self.is_stage_done(stage))
    }

    /// Returns the pieces of a stage that wait for an endpoint.
    pub fn queued_pieces(&self, job_id: JobId, stage: usize) -> impl Iterator<Item = Piece> {
        let states = self.pieces[stage].iter().enumerate();
        let waiting = states.filter(|(_, state)| !state.is_done() && state.running == 0);
        waiting.map(move |(piece, _)| Piece {
            job_id,
            index: PieceIndex { stage, piece },
            round: self.round,
            bytes: self.job.stages[stage].bytes,
        })
    }

    fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> {
        let stages = self.job.stages.iter().enumerate();
        let dependents = stages.filter(move |(_, other)| other.after.contains(&stage));
        dependents.map(|(index, _)| index)
    }

    /// Returns the zone in which the pieces of a stage should be computed, if it matters: where most
    /// input bytes are, or else the preferred zone of the request. Each piece fetches all results of
    /// the stages before it, so a small result counts once for each such piece.
    pub fn stage_zone(&self, stage: usize) -> Option<id::Zone> {
        let own = &self.job.stages[stage];
        let mut inputs: IndexMap<&id::Zone, u64> = IndexMap::new();
        for result in own
            .after
            .iter()
            .flat_map(|before| self.stage_results(*before))
        {
            *inputs.entry(&result.zone).or_default() += result.bytes;
        }
        if inputs.values().sum::<u64>() >= MIN_PREFERENCE_BYTES {
            let largest = inputs.into_iter().max_by_key(|(_, bytes)| *bytes);
            return largest.map(|(zone, _)| zone.clone());
        }
        let after = self.dependents(stage);
        let fetched: usize = after.map(|next| self.job.stages[next].pieces).sum();
        let bytes = own.bytes * fetched.max(1) as u64;
        self.preferred_zone
            .clone()
            .filter(|_| bytes >= MIN_PREFERENCE_BYTES)
    }

    fn is_final_stage(&self, stage: usize) -> bool {
        self.dependents(stage).next().is_none()
    }

    /// Returns the results that the engine needs.
    pub fn final_results(&self) -> impl Iterator<Item = &StoredResult> {
        let final_stages = (0..self.pieces.len()).filter(|stage| self.is_final_stage(*stage));
        final_stages.flat_map(|stage| self.stage_results(stage))
    }

    /// Returns the handles that the engine needs, in order.
    pub fn inputs(&self) -> Vec<Handle> {
        self.final_results()
            .map(|result| result.handle.clone())
            .collect()
    }

    /// Returns the handles of all results of some stages.
    pub fn results_of(&self, stages: &[usize]) -> Vec<Handle> {
        let results = stages.iter().flat_map(|stage| self.stage_results(*stage));
        results.map(|result| result.handle.clone()).collect()
    }

    fn stage_results(&self, stage: usize) -> impl Iterator<Item = &StoredResult> {
        self.pieces[stage]
            .iter()
            .filter_map(|state| state.result.as_ref())
    }

    /// Returns all results that endpoints hold for it.
    pub fn held_results(&self) -> Vec<StoredResult> {
        let stages = (0..self.pieces.len()).filter(|stage| !self.freed_stages[*stage]);
        stages
            .flat_map(|stage| self.stage_results(stage))
            .cloned()
            .collect()
    }

    /// Returns whether results that an engine would need were freed.
    pub fn has_freed_inputs(&self) -> bool {
        let mut freed = self.freed_stages.iter().enumerate();
        freed.any(|(stage, is_freed)| {
            *is_freed && self.is_final_stage(stage) && !self.pieces[stage].is_empty()
        })
    }

    /// Marks all results as freed; returns them.
    pub fn release_results(&mut self) -> Vec<StoredResult> {
        let held = self.held_results();
        self.freed_stages.fill(true);
        held
    }

    /// Marks results that no stage needs any more as freed; returns them.
    pub fn release_spent_results(&mut self) -> Vec<StoredResult> {
        let mut spent = Vec::new();
        for stage in 0..self.pieces.len() {
            let used = !self.is_final_stage(stage)
                && self.dependents(stage).all(|next| self.is_stage_done(next));
            if used && self.is_stage_done(stage) && !self.freed_stages[stage] {
                self.freed_stages[stage] = true;
                spent.extend(self.stage_results(stage).cloned());
            }
        }
        spent
    }

    /// Starts a new round after inputs were lost; returns the results to free.
    pub fn reset(&mut self) -> Vec<StoredResult> {
        let held = self.release_results();
        self.invalidate_outline();
        self.round += 1;
        self.freed_stages.fill(false);
        for state in self.pieces.iter_mut().flatten() {
            *state = PieceState {
                failures: state.failures,
                ..PieceState::default()
            };
        }
        held
    }

    /// Returns the least time from the start of a stage to the first byte of the answer.
    pub fn critical_path(&self, stage: usize, endpoints: &StageEndpoints) -> Duration {
        self.outline(endpoints).stages[stage].path + self.time_to_first_byte(endpoints)
    }

    /// Returns why the request should be refused, if it should.
    pub fn give_up_reason(&self, endpoints: &StageEndpoints, now: Time) -> Option<&'static str> {
        if self.is_granted {
            return None;
        }
        let stages = self.outline(endpoints).remaining();
        let least = stages.map(|stages| stages + self.time_to_first_byte(endpoints));
        let least = least.unwrap_or_default();
        if now + least > self.job.deadline {
            return Some("the deadline cannot be met any more");
        }
        let factor = if self.has_started {
            GIVE_UP_FACTOR
        } else {
            1.0 + ADMISSION_TOLERANCE
        };
        let is_late = now + least > self.submitted_at + self.span().mul_f64(factor);
        is_late.then_some("it would be answered too late")
    }
}
