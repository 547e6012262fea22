//! Builds the plans of pipelines from settings.

use std::time::Duration;

use indexmap::IndexMap;

use super::{Kind, Settings};
use crate::{id, pipeline};

/// Returns the plan of each pipeline, by name.
pub fn plans(settings: &Settings) -> IndexMap<id::Pipeline, pipeline::Plan> {
    settings
        .pipelines
        .iter()
        .map(|p| (id::Pipeline::from(p.name.as_str()), plan(settings, p)))
        .collect()
}

fn plan(settings: &Settings, pipeline: &super::Pipeline) -> pipeline::Plan {
    let stages = pipeline
        .stages
        .iter()
        .map(|s| pipeline::Stage {
            name: s.name.as_str().into(),
            pool: s.pool.as_str().into(),
            generates: is_engine(settings, &s.pool),
            repeatable: s.repeatable,
            max_tokens: s.max_tokens,
        })
        .collect();
    pipeline::Plan {
        name: pipeline.name.as_str().into(),
        deadline: Duration::from_millis(pipeline.deadline_ms),
        priority: pipeline.priority,
        stages,
    }
}

fn is_engine(settings: &Settings, pool: &str) -> bool {
    settings
        .pools
        .iter()
        .any(|p| p.name == pool && p.kind == Kind::Engine)
}

/// Returns the region of an availability zone.
pub fn region_of(settings: &Settings, zone: &str) -> Option<id::Region> {
    let found = settings.zones.iter().find(|z| z.name == zone)?;
    Some(found.region.as_str().into())
}
