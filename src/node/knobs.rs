//! Turns the configuration in force into the knobs of the policy.

use std::sync::Arc;

use crate::config::setting::{self, Setting};
use crate::config::{Context, View};
use crate::daemon::{Daemon, Limit};
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

/// Passes each new revision on, once.
pub struct Feed {
    settings: Arc<Settings>,
    revision: Option<id::Revision>,
}

impl Feed {
    /// Knows the scopes of a deployment.
    pub fn new(settings: Arc<Settings>) -> Self {
        Self {
            settings,
            revision: None,
        }
    }

    /// Passes a revision on to the daemon, if it is new.
    pub fn pass(&mut self, view: &View, daemon: &Daemon, quarantine: &Replica) {
        if self.revision.is_some_and(|seen| seen >= view.revision) {
            return;
        }
        self.revision = Some(view.revision);
        for observation in self.observations(view) {
            daemon.observe(&observation);
        }
        quarantine.set_limit(quarantine_limit(view, &self.here()));
        for pipeline in &self.settings.pipelines {
            let place = Context {
                pipeline: Some(&pipeline.name),
                ..self.here()
            };
            daemon.set_limit(pipeline.name.as_str().into(), limit(view, &place));
        }
    }

    /// Returns what a policy must learn of a revision.
    pub fn observations(&self, view: &View) -> Vec<Observation> {
        let here = self.here();
        let fleet = knobs(view, &here);
        let mut changes = vec![Observation::Knobs(
            Scope::Fleet,
            Some(Box::new(fleet.clone())),
        )];
        for scope in self.scopes() {
            let place = match &scope {
                Scope::Fleet => here,
                Scope::Workspace(name) => Context {
                    workspace: Some(name),
                    ..here
                },
                Scope::Pipeline(name) => Context {
                    pipeline: Some(name),
                    ..here
                },
                Scope::Pool(name) => Context {
                    pool: Some(name),
                    ..here
                },
            };
            let knobs = knobs(view, &place);
            let exception = (knobs != fleet).then(|| Box::new(knobs));
            changes.push(Observation::Knobs(scope.clone(), exception));
        }
        changes
    }

    fn here(&self) -> Context<'_> {
        let zone = &self.settings.daemon.availability_zone;
        let known = self.settings.zones.iter().find(|z| z.name == *zone);
        Context {
            zone: Some(zone),
            region: known.map(|z| z.region.as_str()),
            ..Context::default()
        }
    }

    fn scopes(&self) -> Vec<Scope> {
        let s = &self.settings;
        let workspaces = s
            .workspaces
            .iter()
            .map(|w| Scope::Workspace(w.name.as_str().into()));
        let pipelines = s
            .pipelines
            .iter()
            .map(|p| Scope::Pipeline(p.name.as_str().into()));
        let pools = s.pools.iter().map(|p| Scope::Pool(p.name.as_str().into()));
        workspaces.chain(pipelines).chain(pools).collect()
    }
}

/// Resolves when content is refused.
fn quarantine_limit(view: &View, place: &Context<'_>) -> table::Limit {
    let endpoints = view.count(&setting::QUARANTINE_DEATHS, place);
    table::Limit {
        endpoints: usize::try_from(endpoints).unwrap_or(table::MAX_BLAMES),
        refusal: view.duration(&setting::QUARANTINE_TIME, place),
    }
}

/// Resolves the limit of a pipeline.
fn limit(view: &View, place: &Context<'_>) -> Limit {
    let priority = u8::try_from(view.count(&setting::PIPELINE_PRIORITY, place));
    Limit {
        timeout: view.duration(&setting::REQUEST_TIMEOUT, place),
        priority: priority.ok().filter(|p| *p <= MAX_PRIORITY),
    }
}

/// Resolves the knobs of a place.
pub fn knobs(view: &View, place: &Context<'_>) -> Knobs {
    let ratio = |setting: &Setting| view.ratio(setting, place);
    let count = |setting: &Setting| u32::try_from(view.count(setting, place)).unwrap_or(u32::MAX);
    let time = |setting: &Setting| view.duration(setting, place);
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
