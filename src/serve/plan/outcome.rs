//! What follows from the end of a call to an endpoint of a stage.

use super::request::{Made, Piece};
use super::stage_endpoints::Call;
use super::{CallId, CallOutcome, Handle, MAX_RESTARTS, MAX_TRIES, PieceOutcome, Planner, Ticket};
use crate::clock::Time;

impl Planner {
    /// A call has ended.
    pub fn call_ended(&mut self, number: CallId, ending: &CallOutcome, now: Time) {
        let Some(call) = self.calls.shift_remove(&number) else {
            return;
        };
        self.makers.end(number, &call, ending, now);
        let mut moved: Vec<Ticket> = Vec::new();
        for (index, piece) in call.pieces.iter().enumerate() {
            let outcome = match ending {
                CallOutcome::Answered(outcomes) => outcomes.get(index),
                CallOutcome::Refused | CallOutcome::Lost => None,
            };
            self.settle(piece, outcome, &call, now);
            if moved.last() != Some(&piece.ticket) {
                moved.push(piece.ticket);
            }
        }
        for ticket in moved {
            self.advance(ticket, now);
        }
        self.dispatch_all(now);
    }

    fn settle(&mut self, piece: &Piece, outcome: Option<&PieceOutcome>, call: &Call, now: Time) {
        let made = |handle: &Handle| Made {
            handle: handle.clone(),
            maker: call.maker.clone(),
            zone: call.zone.clone(),
            bytes: piece.bytes,
        };
        let work = self.works.get_mut(&piece.ticket);
        let work = work.filter(|work| work.round == piece.round);
        let Some(work) = work else {
            if let Some(PieceOutcome::Handle(handle)) = outcome {
                self.free(vec![made(handle)]);
            }
            return;
        };
        let place = work.place(piece.at);
        if !call.is_overdue {
            // The pieces of an overdue call were taken off when it was passed over.
            place.running = place.running.saturating_sub(1);
        }
        match outcome {
            Some(PieceOutcome::Handle(handle)) => {
                if !place.is_made() {
                    place.made = Some(made(handle));
                } else {
                    let extra = made(handle);
                    self.free(vec![extra]);
                }
            }
            Some(PieceOutcome::Late) => self.refuse(piece.ticket, "a stage was too late", now),
            Some(PieceOutcome::Gone) => {
                work.restarts += 1;
                if work.restarts > MAX_RESTARTS {
                    self.refuse(piece.ticket, "inputs vanished again and again", now);
                } else {
                    let held = work.reset();
                    self.free(held);
                }
            }
            Some(PieceOutcome::Error) => {
                place.tries += 1;
                if place.tries >= MAX_TRIES {
                    self.refuse(piece.ticket, "a stage failed again and again", now);
                }
            }
            Some(PieceOutcome::Room) | None => {}
        }
    }
}
