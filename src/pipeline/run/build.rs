//! Builds claims, policy attempts, calls and observations.

use super::{InFlightCall, Run};
use crate::clock::Time;
use crate::pipeline::{Stage, input, prefix};
use crate::{claim, endpoint, id, policy};

/// Bytes of text counted as one token in cost estimates.
const BYTES_PER_TOKEN: u64 = 4;

impl Run {
    /// Returns the current stage; none when all stages have results.
    pub(super) fn stage(&self) -> Option<&Stage> {
        self.plan.stages.get(self.stage_results.len())
    }

    /// Counts the non-repeatable stages that have a result.
    pub(super) fn count_non_repeatable_done(&self) -> usize {
        let done = self.plan.stages.iter().zip(&self.stage_results);
        done.filter(|(stage, _)| !stage.repeatable).count()
    }

    /// Returns whether a non-repeatable stage has no result yet.
    pub(super) fn has_non_repeatable_ahead(&self) -> bool {
        let ahead = self.plan.stages.iter().skip(self.stage_results.len());
        ahead.into_iter().any(|stage| !stage.repeatable)
    }

    /// Clears the state of the previous stage.
    pub(super) fn enter_stage(&mut self) {
        self.input = None;
        self.exclude.clear();
        self.stream.tokens.clear();
        self.stream.version = None;
    }

    pub(super) fn new_claim(&self, now: Time) -> claim::Claim {
        claim::Claim {
            workspace: self.request.workspace.clone(),
            key: self.request.key.clone().unwrap_or_default(),
            digest: self.request.digest.clone(),
            request: self.request.id,
            issued: self.request.issued,
            remaining: self.deadline.saturating_sub(now),
        }
    }

    pub(super) fn input(&mut self) -> id::Name {
        if let Some(input) = &self.input {
            return input.clone();
        }
        let text = input::text(&self.request.body, &self.stage_results);
        self.input = Some(text.clone());
        text
    }

    pub(super) fn policy_attempt(
        &mut self,
        stage: &Stage,
        attempt_id: id::Attempt,
    ) -> policy::Attempt {
        let input = self.input();
        let bytes = input.len() as u64;
        let generated = if stage.generates { stage.max_tokens } else { 0 };
        let prefixes = if stage.generates {
            prefix::hashes(&input)
        } else {
            Vec::new()
        };
        let index = self.stage_results.len();
        policy::Attempt {
            request: self.request.id,
            id: attempt_id,
            workspace: self.request.workspace.clone(),
            pipeline: self.plan.name.clone(),
            index,
            stage: stage.name.clone(),
            pool: stage.pool.clone(),
            later_pools: self.plan.pools_from(index + 1),
            repeatable: stage.repeatable,
            deadline: self.deadline,
            priority: self.plan.priority,
            cost: bytes / BYTES_PER_TOKEN + u64::from(generated),
            input_bytes: bytes,
            prefixes,
            exclude: self.exclude.clone(),
            previous_region: self.region.clone(),
            version: self.stream.pinned(),
            is_suspect: self.is_suspect,
        }
    }

    pub(super) fn call(
        &mut self,
        stage: &Stage,
        attempt_id: id::Attempt,
        remaining: Time,
    ) -> endpoint::Call {
        endpoint::Call {
            request: self.request.id,
            workspace: self.request.workspace.clone(),
            pipeline: self.plan.name.clone(),
            stage: stage.name.clone(),
            attempt: attempt_id,
            key: self.request.key.clone(),
            remaining,
            priority: self.plan.priority,
            input: self.input(),
            max_tokens: stage.max_tokens,
            resume: self.stream.tokens.clone(),
            version: self.stream.pinned(),
        }
    }

    pub(super) fn call_ended(
        &self,
        call: &InFlightCall,
        end: policy::End,
        now: Time,
    ) -> policy::Observation {
        let pool = self.stage().map(|s| s.pool.clone());
        policy::Observation::CallEnded {
            request: self.request.id,
            attempt: call.attempt,
            endpoint: call.pick.endpoint.clone(),
            pool: pool.unwrap_or_default(),
            pipeline: self.plan.name.clone(),
            index: self.stage_results.len(),
            latency: now.saturating_sub(call.sent_at),
            end,
        }
    }
}
