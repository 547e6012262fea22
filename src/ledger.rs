//! The ledger: what each stage and workspace spends, and how requests ended.
//!
//! See [the design note](../docs/design/ledger.md).

use indexmap::IndexMap;

use crate::operate::status::{Attainment, Cost, Report};
use crate::pipeline::{Finish, Plan, Request};
use crate::{endpoint, id};

/// Workspaces with an account of their own; the others share one.
///
/// It bounds the memory where a deployment has 30,000 workspaces and a daemon meets them all.
pub const MAX_WORKSPACES: usize = 4096;
/// The account of workspaces that have none of their own.
pub const OTHERS: &str = "(others)";

token! {
    /// What became of work that was paid for.
    pub enum Disposition {
        /// Its result was used.
        Won,
        /// It failed, and was or would have been tried again.
        Retried,
        /// Another attempt beside it was faster.
        Hedged,
        /// It was cancelled with its request.
        Cancelled,
        /// Its answer came after it had been given up.
        Late,
    }
}

event! {
    /// What one attempt of a stage spent.
    pub struct AttemptUsage {
        /// The stage.
        pub stage: id::Stage,
        /// What was spent.
        pub usage: endpoint::Usage,
        /// What became of it.
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
    /// Books what a request spent.
    pub fn record_usage(&mut self, plan: &Plan, request: &Request, spends: &[AttemptUsage]) {
        for spend in spends {
            add(self.stage(&plan.name, &spend.stage), spend);
            add(self.workspace(&request.workspace), spend);
        }
    }

    /// Books how a request ended.
    pub fn record_end(&mut self, plan: &Plan, finish: &Finish, in_time: bool) {
        let name = plan.name.clone();
        let entry = self.pipelines.entry(name);
        let attainment = entry.or_insert_with_key(empty);
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

    /// Returns the accounts for operators; stages are named `PIPELINE/STAGE`.
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
        let full = self.workspaces.len() >= MAX_WORKSPACES;
        let name = if full && !self.workspaces.contains_key(workspace) {
            OTHERS.into()
        } else {
            workspace.clone()
        };
        let account = self.workspaces.entry(name);
        account.or_insert_with_key(|name| Cost::new(name.clone()))
    }
}

fn empty(pipeline: &id::Pipeline) -> Attainment {
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

fn add(cost: &mut Cost, spend: &AttemptUsage) {
    let usage = &spend.usage;
    // A late answer belongs to a call that was counted when it was given up.
    cost.calls += u64::from(spend.disposition != Disposition::Late);
    cost.engine_time += usage.engine_time;
    cost.tokens += usage.tokens;
    cost.prefill_tokens += usage.prefill_tokens;
    cost.link_bytes += usage.link_bytes;
    if spend.disposition != Disposition::Won {
        cost.wasted_time += usage.engine_time;
        cost.wasted_tokens += usage.tokens;
    }
}

#[cfg(test)]
mod tests;
