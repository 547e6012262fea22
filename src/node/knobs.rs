//! Turns the configuration in force into the knobs of the policy.

use std::sync::Arc;

use crate::config::setting::{self, Setting};
use crate::config::{Context, View};
use crate::daemon::{Daemon, PipelineConfig};
use crate::id;
use crate::policy::Observation;
use crate::policy::knobs::{Knobs, Scope};
use crate::quarantine::replica::Replica;
use crate::quarantine::table;
use crate::route;
use crate::settings::check::MAX_PRIORITY;
use crate::settings::{self, Settings};

/// Returns the kind of a pool as routing names it.
pub fn kind(kind: settings::Kind) -> route::Kind {
    match kind {
        settings::Kind::Encoder => route::Kind::Encoder,
        settings::Kind::Retriever => route::Kind::Retriever,
        settings::Kind::Reranker => route::Kind::Reranker,
        settings::Kind::Engine => route::Kind::Engine,
        settings::Kind::Service => route::Kind::Service,
    }
}

/// Applies each new revision of the configuration to the daemon, once.
pub struct ConfigFeed {
    settings: Arc<Settings>,
    revision: Option<id::Revision>,
}

impl ConfigFeed {
    /// Returns a feed for the workspaces, pipelines and pools of `settings`.
    pub fn new(settings: Arc<Settings>) -> Self {
        Self {
            settings,
            revision: None,
        }
    }

    /// Applies a revision to the daemon and the quarantine, if it is new.
    pub fn apply(&mut self, view: &View, daemon: &Daemon, quarantine: &Replica) {
        if self
            .revision
            .is_some_and(|applied| applied >= view.revision)
        {
            return;
        }
        self.revision = Some(view.revision);
        for observation in self.observations(view) {
            daemon.observe(&observation);
        }
        quarantine.set_limit(quarantine_limit(view, &self.own_context()));
        for pipeline in &self.settings.pipelines {
            let context = Context {
                pipeline: Some(&pipeline.name),
                ..self.own_context()
            };
            daemon.set_pipeline_config(
                pipeline.name.as_str().into(),
                pipeline_config(view, &context),
            );
        }
    }

    /// Returns the knobs of the fleet, and for each scope its own knobs if they differ.
    pub fn observations(&self, view: &View) -> Vec<Observation> {
        let own_context = self.own_context();
        let fleet = knobs(view, &own_context);
        let mut changes = vec![Observation::Knobs(
            Scope::Fleet,
            Some(Box::new(fleet.clone())),
        )];
        for scope in self.scopes() {
            let context = match &scope {
                Scope::Fleet => own_context,
                Scope::Workspace(name) => Context {
                    workspace: Some(name),
                    ..own_context
                },
                Scope::Pipeline(name) => Context {
                    pipeline: Some(name),
                    ..own_context
                },
                Scope::Pool(name) => Context {
                    pool: Some(name),
                    ..own_context
                },
            };
            let knobs = knobs(view, &context);
            let exception = (knobs != fleet).then(|| Box::new(knobs));
            changes.push(Observation::Knobs(scope.clone(), exception));
        }
        changes
    }

    fn own_context(&self) -> Context<'_> {
        let zone = &self.settings.daemon.availability_zone;
        let own_zone = self.settings.zones.iter().find(|z| z.name == *zone);
        Context {
            zone: Some(zone),
            region: own_zone.map(|z| z.region.as_str()),
            ..Context::default()
        }
    }

    fn scopes(&self) -> Vec<Scope> {
        let settings = &self.settings;
        let workspaces = settings
            .workspaces
            .iter()
            .map(|w| Scope::Workspace(w.name.as_str().into()));
        let pipelines = settings
            .pipelines
            .iter()
            .map(|p| Scope::Pipeline(p.name.as_str().into()));
        let pools = settings
            .pools
            .iter()
            .map(|p| Scope::Pool(p.name.as_str().into()));
        workspaces.chain(pipelines).chain(pools).collect()
    }
}

/// Resolves the limits of the quarantine.
fn quarantine_limit(view: &View, context: &Context<'_>) -> table::Limit {
    let endpoints = view.count(&setting::QUARANTINE_DEATHS, context);
    table::Limit {
        endpoints: usize::try_from(endpoints).unwrap_or(table::MAX_BLAMES),
        refusal: view.duration(&setting::QUARANTINE_TIME, context),
    }
}

/// Resolves the configuration of a pipeline.
fn pipeline_config(view: &View, context: &Context<'_>) -> PipelineConfig {
    let priority = u8::try_from(view.count(&setting::PIPELINE_PRIORITY, context));
    PipelineConfig {
        timeout: view.duration(&setting::REQUEST_TIMEOUT, context),
        priority: priority.ok().filter(|p| *p <= MAX_PRIORITY),
    }
}

/// Resolves the knobs of a context.
pub fn knobs(view: &View, context: &Context<'_>) -> Knobs {
    let ratio = |setting: &Setting| view.ratio(setting, context);
    let count = |setting: &Setting| u32::try_from(view.count(setting, context)).unwrap_or(u32::MAX);
    let time = |setting: &Setting| view.duration(setting, context);
    Knobs {
        weight: ratio(&setting::WORKSPACE_WEIGHT),
        max_in_flight: count(&setting::MAX_IN_FLIGHT),
        max_queue: count(&setting::QUEUE_BOUND),
        sojourn_target: time(&setting::SOJOURN_TARGET),
        retry_ratio: ratio(&setting::RETRY_BUDGET),
        retry_base: time(&setting::RETRY_BACKOFF),
        hedge_ratio: ratio(&setting::HEDGE_BUDGET),
        hedge_quantile: ratio(&setting::HEDGE_QUANTILE),
        eject_failures: count(&setting::EJECTION_ERRORS),
        eject_outlier: ratio(&setting::SLOW_FACTOR),
        eject_share: ratio(&setting::EJECTION_CAP),
        eject_time: time(&setting::EJECTION_TIME),
        slow_start: time(&setting::SLOW_START),
        waiting_target: ratio(&setting::WAITING_TARGET),
        admission_share: ratio(&setting::ADMISSION_SHARE),
        priority_step: ratio(&setting::PRIORITY_STEP),
        link_share: ratio(&setting::LINK_SHARE),
    }
}

#[cfg(test)]
mod tests;
