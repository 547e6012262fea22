//! The ledger: cost by stage and workspace, and outcomes of requests by pipeline.
//!
//! See [the design note](../docs/design/ledger.md).

use indexmap::IndexMap;

use crate::operate::status::{Attainment, Cost, Report};
use crate::pipeline::{Finish, Plan, Request};
use crate::{endpoint, id};

/// The most workspaces with a separate account; all others share one.
///
/// Bounds the memory when a deployment has 30,000 workspaces and a daemon serves them all.
pub const MAX_WORKSPACES: usize = 4096;
/// The name of the account that the workspaces beyond `MAX_WORKSPACES` share.
pub const OTHER_WORKSPACES: &str = "(others)";

token! {
    /// Whether the work of an attempt was used or wasted, and why.
    pub enum Disposition {
        /// Its result was used.
        Won,
        /// It failed, and was or would have been tried again.
        Retried,
        /// A concurrent attempt was faster.
        Hedged,
        /// It was cancelled with its request.
        Cancelled,
        /// Its answer arrived after it was abandoned.
        Late,
    }
}

event! {
    /// The usage of one attempt of a stage.
    pub struct AttemptUsage {
        /// The stage.
        pub stage: id::Stage,
        /// The resources used.
        pub usage: endpoint::Usage,
        /// Whether it was used or wasted.
        pub disposition: Disposition,
    }
}

/// The accounts of one daemon since it started.
#[derive(Debug, Default)]
pub struct Ledger {
    pipelines: IndexMap<id::Pipeline, Attainment>,
    stages: IndexMap<id::Pipeline, IndexMap<id::Stage, Cost>>,
    workspaces: IndexMap<id::Workspace, Cost>,
}

impl Ledger {
    /// Records the resources that a request used.
    pub fn record_usage(&mut self, plan: &Plan, request: &Request, usages: &[AttemptUsage]) {
        for usage in usages {
            add_usage(self.stage(&plan.name, &usage.stage), usage);
            add_usage(self.workspace(&request.workspace), usage);
        }
    }

    /// Records the outcome of a request; `in_time` tells whether it met its deadline.
    pub fn record_end(&mut self, plan: &Plan, finish: &Finish, in_time: bool) {
        let name = plan.name.clone();
        let entry = self.pipelines.entry(name);
        let attainment = entry.or_insert_with_key(empty_attainment);
        attainment.requests += 1;
        let count = match finish {
            Finish::Answer(_) if in_time => &mut attainment.attained,
            Finish::Answer(_) => &mut attainment.late,
            Finish::NotRun { .. } | Finish::Conflict => &mut attainment.not_run,
            Finish::Unknown { .. } => &mut attainment.unknown,
            Finish::Failed { .. } => &mut attainment.failed,
        };
        *count += 1;
    }

    /// Returns the report for operators; stages are named `PIPELINE/STAGE`.
    pub fn report(&self) -> Report {
        let stages = self.stages.values().flat_map(IndexMap::values);
        Report {
            pipelines: self.pipelines.values().cloned().collect(),
            stages: stages.cloned().collect(),
            workspaces: self.workspaces.values().cloned().collect(),
        }
    }

    fn stage(&mut self, pipeline: &id::Pipeline, stage: &id::Stage) -> &mut Cost {
        let stages = self.stages.entry(pipeline.clone()).or_default();
        let account = stages.entry(stage.clone());
        account.or_insert_with(|| Cost::new(format!("{pipeline}/{stage}").into()))
    }

    fn workspace(&mut self, workspace: &id::Workspace) -> &mut Cost {
        let is_full = self.workspaces.len() >= MAX_WORKSPACES;
        let name = if is_full && !self.workspaces.contains_key(workspace) {
            OTHER_WORKSPACES.into()
        } else {
            workspace.clone()
        };
        let account = self.workspaces.entry(name);
        account.or_insert_with_key(|name| Cost::new(name.clone()))
    }
}

fn empty_attainment(pipeline: &id::Pipeline) -> Attainment {
    Attainment {
        pipeline: pipeline.clone(),
        requests: 0,
        attained: 0,
        late: 0,
        not_run: 0,
        unknown: 0,
        failed: 0,
    }
}

fn add_usage(cost: &mut Cost, attempt: &AttemptUsage) {
    let usage = &attempt.usage;
    // The call of a late answer was counted when it was abandoned.
    cost.calls += u64::from(attempt.disposition != Disposition::Late);
    cost.engine_time += usage.engine_time;
    cost.tokens += usage.tokens;
    cost.prefill_tokens += usage.prefill_tokens;
    cost.link_bytes += usage.link_bytes;
    if attempt.disposition != Disposition::Won {
        cost.wasted_time += usage.engine_time;
        cost.wasted_tokens += usage.tokens;
    }
}

#[cfg(test)]
mod tests;
