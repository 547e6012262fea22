//! What the callers of the demo will do, drawn from the seed before they begin.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::site::{PIPELINES, Site};
use crate::id;
use crate::load::schedule::{Burst, Schedule};
use crate::settings::Workspace;

/// Share of callers of a pipeline that may not be repeated who hang up early and send again.
const HANG_UP: f64 = 0.15;
/// The longest that such a caller waits before it hangs up, in milliseconds.
const HANG_UP_MS: u64 = 120;
/// Share of callers who ask for tokens as they are generated.
const STREAM: f64 = 0.5;
/// Bytes of the context that all requests of a workspace share.
const CONTEXT_BYTES: usize = 2_048;
/// The length and the distance of the bursts, and how much denser they are.
const BURST: Burst = Burst {
    every: Duration::from_secs(5),
    length: Duration::from_millis(500),
    factor: 3.0,
};

/// What one caller will do.
#[derive(Clone, Debug)]
pub struct Task {
    /// When it starts.
    pub at: Duration,
    /// The pipeline.
    pub pipeline: &'static str,
    /// The bearer key of its workspace.
    pub key: String,
    /// The marker in its body.
    pub marker: String,
    /// The random part of its idempotency key.
    pub nonce: u128,
    /// The body.
    pub body: String,
    /// The daemon that it calls first.
    pub daemon: usize,
    /// Whether it asks for tokens as they are generated.
    pub stream: bool,
    /// When it hangs up and sends again, if it does.
    pub hang_up: Option<Duration>,
}

/// Returns the prefix of the names of the workspaces that call a pipeline.
fn callers(pipeline: &str) -> &'static [&'static str] {
    match pipeline {
        "order" => &["tallinn-schools", "tartu-schools"],
        "allergy-check" | "menu" => &["kitchen-staff"],
        "bulletin" => &["editors"],
        "sign-up" => &["zagreb-branches", "osijek-branches", "split-branches"],
        _ => &["treasurers", "split-branches"],
    }
}

/// Returns the workspaces that call a pipeline.
pub fn workspaces<'a>(site: &'a Site, pipeline: &str) -> Vec<&'a Workspace> {
    let names = callers(pipeline);
    let all = site.settings.workspaces.iter();
    all.filter(|w| names.contains(&w.name.as_str())).collect()
}

/// Returns a body for a pipeline.
pub fn body(workspace: &str, pipeline: &str, marker: &str, tokens: u32) -> String {
    let line = format!("Minutes and ledgers of {workspace} for {pipeline}. ");
    let context: String = line.chars().cycle().take(CONTEXT_BYTES).collect();
    // The context comes first, so that requests of a workspace share a prefix.
    serde_json::json!({"context": context, "marker": marker, "tokens": tokens}).to_string()
}

/// Says whether a pipeline has a stage that may not be repeated.
pub fn is_repeatable(site: &Site, pipeline: &str) -> bool {
    let found = site.pipeline(pipeline);
    found.is_none_or(|p| p.stages.iter().all(|s| s.repeatable))
}

/// Returns the stages of a pipeline.
pub fn stages(site: &Site, pipeline: &str) -> Vec<id::Stage> {
    let found = site.pipeline(pipeline).into_iter();
    let stages = found.flat_map(|p| &p.stages);
    stages.map(|s| s.name.as_str().into()).collect()
}

/// Draws the tasks of a run.
pub fn tasks(site: &Site, rate: f64, length: Duration, seed: u64) -> Vec<Task> {
    let arrivals = Schedule::new(rate, length, seed).burst(BURST).arrivals();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let tasks = arrivals.into_iter().enumerate();
    tasks
        .filter_map(|(number, at)| draw(site, number, at, &mut rng))
        .collect()
}

fn draw(site: &Site, number: usize, at: Duration, rng: &mut ChaCha8Rng) -> Option<Task> {
    let pipeline = *PIPELINES.choose(rng)?;
    let callers = workspaces(site, pipeline);
    let workspace = *callers.choose(rng)?;
    let marker = format!("{pipeline}-{number}");
    let is_repeatable = is_repeatable(site, pipeline);
    let hangs_up = rng.random_bool(HANG_UP) && !is_repeatable;
    let patience = Duration::from_millis(rng.random_range(1..HANG_UP_MS));
    let tokens = rng.random_range(8..40);
    Some(Task {
        at,
        pipeline,
        key: workspace.key.clone(),
        body: body(&workspace.name, pipeline, &marker, tokens),
        marker,
        nonce: rng.random(),
        daemon: rng.random_range(0..site.settings.zones.len()),
        stream: rng.random_bool(STREAM),
        hang_up: hangs_up.then_some(patience),
    })
}
