//! One request in planning: which pieces it has, and which results are held for it.

use std::time::Duration;

use indexmap::IndexMap;

use super::engine::Lease;
use super::stage_endpoints::Makers;
use super::{Handle, Job, LATE_SPANS, TOLERANCE, Ticket, TransferredResult};
use crate::clock::Time;
use crate::id;

/// The bytes that a piece moves from which it matters in which zone it is made.
const HOME_BYTES: u64 = 100_000;

token! {
    /// Which piece of a job.
    pub struct Place {
        /// The stage.
        pub stage: usize,
        /// The piece, numbered from 0.
        pub piece: usize,
    }
}

event! {
    /// A piece in a queue or a call. One of an earlier round than its work's is void.
    pub struct Piece {
        /// The request.
        pub ticket: Ticket,
        /// Which of its pieces.
        pub at: Place,
        /// How often the job was begun anew before.
        pub round: u32,
        /// The size of its result, in bytes.
        pub bytes: u64,
    }

    /// A result that an endpoint holds.
    pub struct Made {
        /// Its handle.
        pub handle: Handle,
        /// The endpoint.
        pub maker: id::Endpoint,
        /// The endpoint's availability zone.
        pub zone: id::Zone,
        /// Its size, in bytes.
        pub bytes: u64,
    }
}

/// How far one piece is.
#[derive(Clone, Default)]
pub struct Slot {
    /// Calls that are making it now.
    pub running: u32,
    /// Endpoints that failed to make it.
    pub tries: u32,
    /// The result.
    pub made: Option<Made>,
}

impl Slot {
    /// Returns whether there is a result.
    pub fn is_made(&self) -> bool {
        self.made.is_some()
    }
}

/// A request in planning.
pub struct Work {
    /// What was asked.
    pub job: Job,
    /// How often it was begun anew.
    pub round: u32,
    /// Times that its inputs had vanished.
    pub restarts: u32,
    /// The endpoint that runs the request now.
    pub lease: Option<Lease>,
    /// Whether an endpoint was granted that has not turned it down.
    pub is_granted: bool,
    /// Whether an endpoint was asked for a piece.
    pub has_begun: bool,
    /// The availability zone in which its results are best made.
    pub home: Option<id::Zone>,
    /// Endpoints that have turned the request down.
    pub tried: Vec<id::Endpoint>,
    /// Whether another planner takes it over once the calls that work on it have ended.
    pub is_moving: bool,
    submitted: Time,
    slots: Vec<Vec<Slot>>,
    /// Stages whose results were given up.
    freed: Vec<bool>,
}

impl Work {
    /// Makes the plan of a job of which nothing is done.
    pub fn new(job: Job, now: Time) -> Self {
        let slots = job
            .stages
            .iter()
            .map(|need| vec![Slot::default(); need.pieces]);
        Self {
            round: 0,
            restarts: 0,
            lease: None,
            is_granted: false,
            has_begun: false,
            home: None,
            tried: Vec::new(),
            is_moving: false,
            submitted: now,
            freed: vec![false; job.stages.len()],
            slots: slots.collect(),
            job,
        }
    }

    /// Takes in what another planner had made for it.
    pub fn adopt(&mut self) -> Vec<TransferredResult> {
        let given = std::mem::take(&mut self.job.transferred_results);
        let fits = |given: &TransferredResult| {
            let stage = self.slots.get(given.stage);
            stage.is_some_and(|stage| given.piece < stage.len())
        };
        let given: Vec<TransferredResult> = given.into_iter().filter(fits).collect();
        for one in &given {
            let TransferredResult { stage, piece, .. } = *one;
            self.place(Place { stage, piece }).made = Some(Made {
                handle: one.handle.clone(),
                maker: one.endpoint.clone(),
                zone: one.zone.clone(),
                bytes: one.bytes,
            });
            self.home.get_or_insert_with(|| one.zone.clone());
            self.has_begun = true;
        }
        given
    }

    /// Returns its results, for another planner; `until` says how long an endpoint holds one.
    pub fn give(&self, until: impl Fn(&Made) -> Time) -> Vec<TransferredResult> {
        let stages = self.slots.iter().enumerate();
        let stages = stages.filter(|(stage, _)| !self.freed[*stage]);
        let slots = stages.flat_map(|(stage, slots)| {
            let slots = slots.iter().enumerate();
            slots.map(move |(piece, slot)| (stage, piece, slot))
        });
        let made =
            slots.filter_map(|(stage, piece, slot)| Some((stage, piece, slot.made.as_ref()?)));
        let given = made.map(|(stage, piece, made)| TransferredResult {
            stage,
            piece,
            handle: made.handle.clone(),
            endpoint: made.maker.clone(),
            zone: made.zone.clone(),
            bytes: made.bytes,
            expires_at: until(made),
        });
        given.collect()
    }

    /// Returns whether a call works on one of its pieces.
    pub fn is_running(&self) -> bool {
        self.slots.iter().flatten().any(|slot| slot.running > 0)
    }

    /// Returns the state of a piece.
    pub fn place(&mut self, at: Place) -> &mut Slot {
        &mut self.slots[at.stage][at.piece]
    }

    fn is_done(&self, stage: usize) -> bool {
        self.slots[stage].iter().all(Slot::is_made)
    }

    /// Returns whether a stage can be worked on: its inputs are there.
    pub fn is_open(&self, stage: usize) -> bool {
        self.job.stages[stage]
            .after
            .iter()
            .all(|before| self.is_done(*before))
    }

    /// Returns whether the request itself can run.
    pub fn is_ready(&self) -> bool {
        (0..self.slots.len()).all(|stage| self.is_done(stage))
    }

    /// Returns the pieces that wait for an endpoint.
    pub fn waiting(&self, ticket: Ticket) -> impl Iterator<Item = Piece> {
        let stays = !self.is_moving;
        let open = (0..self.slots.len()).filter(move |stage| stays && self.is_open(*stage));
        open.flat_map(move |stage| {
            let slots = self.slots[stage].iter().enumerate();
            let waiting = slots.filter(|(_, slot)| !slot.is_made() && slot.running == 0);
            waiting.map(move |(piece, _)| Piece {
                ticket,
                at: Place { stage, piece },
                round: self.round,
                bytes: self.job.stages[stage].bytes,
            })
        })
    }

    /// Returns the number of pieces of a stage that are not made yet.
    pub fn missing(&self, stage: usize) -> usize {
        self.slots[stage]
            .iter()
            .filter(|slot| !slot.is_made())
            .count()
    }

    /// Returns the number of pieces of a stage that wait for an endpoint.
    pub fn queued(&self, stage: usize) -> usize {
        let waits = |slot: &&Slot| !slot.is_made() && slot.running == 0;
        self.slots[stage].iter().filter(waits).count()
    }

    fn followers(&self, stage: usize) -> impl Iterator<Item = usize> {
        let needs = self.job.stages.iter().enumerate();
        let follows = needs.filter(move |(_, need)| need.after.contains(&stage));
        follows.map(|(index, _)| index)
    }

    /// Returns the availability zone in which a piece of a stage is best made, if that matters: where
    /// its inputs are, or where what is made of it will be. Each piece fetches all results of the
    /// stages before it, so small results count as often as there are pieces after them.
    pub fn best_zone(&self, stage: usize) -> Option<id::Zone> {
        let need = &self.job.stages[stage];
        let mut inputs: IndexMap<&id::Zone, u64> = IndexMap::new();
        for made in need.after.iter().flat_map(|before| self.made(*before)) {
            *inputs.entry(&made.zone).or_default() += made.bytes;
        }
        if inputs.values().sum::<u64>() >= HOME_BYTES {
            let most = inputs.into_iter().max_by_key(|(_, bytes)| *bytes);
            return most.map(|(zone, _)| zone.clone());
        }
        let after = self.followers(stage);
        let fetched: usize = after.map(|next| self.job.stages[next].pieces).sum();
        let bytes = need.bytes * fetched.max(1) as u64;
        self.home.clone().filter(|_| bytes >= HOME_BYTES)
    }

    fn is_last(&self, stage: usize) -> bool {
        self.followers(stage).next().is_none()
    }

    /// Returns the results that the request itself needs, and their sizes and zones.
    pub fn last_results(&self) -> impl Iterator<Item = &Made> {
        let last = (0..self.slots.len()).filter(|stage| self.is_last(*stage));
        last.flat_map(|stage| self.made(stage))
    }

    /// Returns the handles that the request itself needs, in order.
    pub fn inputs(&self) -> Vec<Handle> {
        self.last_results()
            .map(|made| made.handle.clone())
            .collect()
    }

    /// Returns the handles of all pieces of the stages.
    pub fn results_of(&self, stages: &[usize]) -> Vec<Handle> {
        let made = stages.iter().flat_map(|stage| self.made(*stage));
        made.map(|made| made.handle.clone()).collect()
    }

    fn made(&self, stage: usize) -> impl Iterator<Item = &Made> {
        self.slots[stage]
            .iter()
            .filter_map(|slot| slot.made.as_ref())
    }

    /// Returns all results that are held for it.
    pub fn held(&self) -> Vec<Made> {
        let stages = (0..self.slots.len()).filter(|stage| !self.freed[*stage]);
        stages.flat_map(|stage| self.made(stage)).cloned().collect()
    }

    /// Gives up all results.
    pub fn take_held(&mut self) -> Vec<Made> {
        let held = self.held();
        self.freed.fill(true);
        held
    }

    /// Gives up the results that all stages after them have used.
    pub fn take_spent(&mut self) -> Vec<Made> {
        let mut spent = Vec::new();
        for stage in 0..self.slots.len() {
            let used = !self.is_last(stage) && self.followers(stage).all(|next| self.is_done(next));
            if used && self.is_done(stage) && !self.freed[stage] {
                self.freed[stage] = true;
                spent.extend(self.made(stage).cloned());
            }
        }
        spent
    }

    /// Begins anew, since inputs have vanished; returns what was held.
    pub fn reset(&mut self) -> Vec<Made> {
        let held = self.take_held();
        self.round += 1;
        self.freed.fill(false);
        for slot in self.slots.iter_mut().flatten() {
            *slot = Slot {
                tries: slot.tries,
                ..Slot::default()
            };
        }
        held
    }

    /// Returns the least time from the beginning of a stage to the first byte of the answer.
    pub fn tail(&self, stage: usize, makers: &Makers) -> Duration {
        let own = makers.least_time(&self.job.stages[stage].service, self.missing(stage));
        let after = self.followers(stage).map(|next| self.tail(next, makers));
        own + after.max().unwrap_or(makers.answer_time())
    }

    /// Returns why the request should be given up, if it should.
    pub fn hopeless(&self, makers: &Makers, now: Time) -> Option<&'static str> {
        if self.is_granted {
            return None;
        }
        let open = (0..self.slots.len()).filter(|stage| self.is_open(*stage));
        let least = open
            .map(|stage| self.tail(stage, makers))
            .max()
            .unwrap_or_default();
        if now + least > self.job.deadline {
            return Some("the deadline cannot be met any more");
        }
        let spans = if self.has_begun {
            LATE_SPANS
        } else {
            1.0 + TOLERANCE
        };
        let over = now + least > self.submitted + self.job.target_latency.mul_f64(spans);
        over.then_some("it would be answered too late")
    }
}
