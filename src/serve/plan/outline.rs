//! What the order of the queue needs to know of a request. Each decision looks at all waiting requests, so it
//! is derived once and kept until the request changes.

use std::time::Duration;

use super::Job;
use super::request::PieceState;
use super::stage_endpoints::StageEndpoints;

/// The progress of one stage.
#[derive(Debug)]
pub struct StageProgress {
    /// Whether all results of the stages before it are there.
    pub is_ready: bool,
    /// The number of pieces that no call has computed or computes now.
    pub queued: usize,
    /// The least time from its start until all stages are done.
    pub path: Duration,
}

/// The progress of all stages of a request.
#[derive(Debug)]
pub struct Outline {
    /// The stages, in their order.
    pub stages: Vec<StageProgress>,
    /// The time that all its pieces take, without the fixed time of calls.
    pub work_time: Duration,
}

impl Outline {
    /// Derives the outline of a job from the states of its pieces, by stage.
    pub fn new(job: &Job, pieces: &[Vec<PieceState>], endpoints: &StageEndpoints) -> Self {
        let missing = |states: &Vec<PieceState>| {
            let missing = states.iter().filter(|state| !state.is_done());
            missing.count()
        };
        let missing: Vec<usize> = pieces.iter().map(missing).collect();
        let progress = |(stage, states): (usize, &Vec<PieceState>)| {
            let mut before = job.stages[stage].after.iter();
            let waits = |state: &&PieceState| !state.is_done() && state.running == 0;
            StageProgress {
                is_ready: before.all(|before| missing[*before] == 0),
                queued: states.iter().filter(waits).count(),
                path: path(job, stage, &missing, endpoints),
            }
        };
        let work = job.stages.iter();
        let work = work.map(|stage| endpoints.piece_time(&stage.service, stage.pieces));
        Self {
            stages: pieces.iter().enumerate().map(progress).collect(),
            work_time: work.sum(),
        }
    }

    /// Returns the least time until all stages are done, from those that can start.
    pub fn remaining(&self) -> Option<Duration> {
        let ready = self.stages.iter().filter(|stage| stage.is_ready);
        ready.map(|stage| stage.path).max()
    }
}

fn path(job: &Job, stage: usize, missing: &[usize], endpoints: &StageEndpoints) -> Duration {
    let own = endpoints.min_time(&job.stages[stage].service, missing[stage]);
    let after = job.stages.iter().enumerate();
    let after = after.filter(|(_, other)| other.after.contains(&stage));
    let after = after.map(|(next, _)| path(job, next, missing, endpoints));
    own + after.max().unwrap_or_default()
}
