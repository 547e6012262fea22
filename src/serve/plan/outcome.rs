//! Applies the outcome of a call to a stage endpoint to the requests of its pieces.

use super::request::{Piece, StoredResult};
use super::stage_endpoints::Call;
use super::{
    CallId, CallOutcome, Handle, JobId, MAX_PIECE_FAILURES, MAX_RESTARTS, PieceOutcome, Planner,
};
use crate::clock::Time;

impl Planner {
    /// Handles the end of a call.
    pub fn call_ended(&mut self, call_id: CallId, call_outcome: &CallOutcome, now: Time) {
        let Some(call) = self.calls.shift_remove(&call_id) else {
            return;
        };
        self.stage_endpoints
            .finish_call(call_id, &call, call_outcome, now);
        let mut job_ids: Vec<JobId> = Vec::new();
        for (index, piece) in call.pieces.iter().enumerate() {
            let outcome = match call_outcome {
                CallOutcome::Answered(outcomes) => outcomes.get(index),
                CallOutcome::Refused | CallOutcome::Lost | CallOutcome::Cut => None,
            };
            self.apply_outcome(piece, outcome, &call, now);
            if job_ids.last() != Some(&piece.job_id) {
                job_ids.push(piece.job_id);
            }
        }
        for job_id in job_ids {
            self.advance(job_id, now);
        }
        self.dispatch_all(now);
    }

    fn apply_outcome(
        &mut self,
        piece: &Piece,
        outcome: Option<&PieceOutcome>,
        call: &Call,
        now: Time,
    ) {
        let stored = |handle: &Handle| StoredResult {
            handle: handle.clone(),
            endpoint: call.endpoint.clone(),
            zone: call.zone.clone(),
            bytes: piece.bytes,
        };
        let request = self.requests.get_mut(&piece.job_id);
        let request = request.filter(|request| request.round == piece.round);
        let Some(request) = request else {
            if let Some(PieceOutcome::Handle(handle)) = outcome {
                self.free(vec![stored(handle)]);
            }
            return;
        };
        let state = request.piece_mut(piece.index);
        if !call.is_overdue {
            // The pieces of an overdue call were queued again when it became overdue.
            state.running = state.running.saturating_sub(1);
        }
        match outcome {
            Some(PieceOutcome::Handle(handle)) => {
                if !state.is_done() {
                    state.result = Some(stored(handle));
                } else {
                    let extra = stored(handle);
                    self.free(vec![extra]);
                }
            }
            Some(PieceOutcome::Late) => self.refuse(piece.job_id, "a stage was too late", now),
            Some(PieceOutcome::InputLost) => {
                request.restarts += 1;
                if request.restarts > MAX_RESTARTS {
                    self.refuse(piece.job_id, "its inputs were lost too often", now);
                } else {
                    let held = request.reset();
                    self.free(held);
                }
            }
            Some(PieceOutcome::Error) => {
                state.failures += 1;
                if state.failures >= MAX_PIECE_FAILURES {
                    self.refuse(piece.job_id, "a stage failed too often", now);
                }
            }
            Some(PieceOutcome::NoRoom) | None => {}
        }
    }
}
