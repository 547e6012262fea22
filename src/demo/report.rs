//! What the demo prints: attainment by pipeline, cost by stage, and the three counts.

use std::fmt;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use super::audit::{Audit, Once, audit};
use super::caller::Story;
use super::site::{PIPELINES, Site};
use crate::id;
use crate::load::call::Outcome;
use crate::load::report::Latency;
use crate::operate;
use crate::standin::fault::Fault;
use crate::standin::journal::{Entry, Event};

/// How one pipeline fared.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The pipeline.
    pub name: &'static str,
    /// Requests of callers.
    pub requests: u64,
    /// Whole answers within the deadline.
    pub attained: u64,
    /// Share of requests answered whole within the deadline, from 0 to 1.
    pub attainment: f64,
    /// Half the answers took no longer, in milliseconds.
    pub p50_ms: f64,
    /// 99 in 100 answers took no longer, in milliseconds.
    pub p99_ms: f64,
    /// Half the first tokens came no later, in milliseconds.
    pub first_token_p50_ms: f64,
    /// 95 in 100 first tokens came no later, in milliseconds.
    pub first_token_p95_ms: f64,
    /// 95 in 100 tokens came no later after the one before, in milliseconds.
    pub token_gap_p95_ms: f64,
    /// Requests that ended with an answer.
    pub answered: u64,
    /// Requests that ended with `not-run`.
    pub not_run: u64,
    /// Requests that ended with `unknown`.
    pub unknown: u64,
    /// Requests that ended with `failed`.
    pub failed: u64,
    /// Times that callers sent again.
    pub resent: u64,
}

/// What one stage spent, by the journal of the stand-ins.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// The pipeline.
    pub pipeline: id::Pipeline,
    /// The stage.
    pub stage: id::Stage,
    /// Calls that began.
    pub calls: u64,
    /// Time on endpoints, in milliseconds.
    pub engine_ms: f64,
    /// Tokens generated.
    pub tokens: u64,
    /// Bytes that crossed the regional link for it, by the daemons' ledgers.
    pub link_bytes: u64,
    /// Time on endpoints whose result nobody used, in milliseconds.
    pub wasted_ms: f64,
}

/// All that the demo says.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Seconds of load.
    pub seconds: f64,
    /// Requests of callers.
    pub requests: u64,
    /// Results or verdicts that callers did not get, or not truly.
    pub lost: usize,
    /// Stages that ran again though they may not.
    pub doubled: usize,
    /// Results that reached another request.
    pub crossed: usize,
    /// All bytes that crossed the regional link, counted by the link.
    pub link_bytes: u64,
    /// Whether every daemon shut down without cutting anything off.
    pub graceful: bool,
    /// How each pipeline fared.
    pub pipelines: Vec<Row>,
    /// What each stage spent.
    pub stages: Vec<Cost>,
    /// Faults that were brought about.
    pub faults: Vec<Fault>,
    /// What callers without an answer were told last, and how often.
    pub reasons: IndexMap<String, u64>,
    /// What went wrong, one line each.
    pub evidence: Vec<String>,
}

impl Report {
    /// Sums up a run.
    pub fn new(site: &Site, stories: &[Story], journal: &[Entry]) -> Self {
        let found = audit(&once(site), journal, stories);
        let rows = PIPELINES.iter().map(|name| row(site, name, stories));
        Self {
            seed: 0,
            seconds: 0.0,
            requests: stories.len() as u64,
            lost: found.lost.len(),
            doubled: found.doubled.len(),
            crossed: found.crossed.len(),
            link_bytes: site.crew.link().total(),
            graceful: true,
            pipelines: rows.filter(|r| r.requests > 0).collect(),
            stages: costs(site, journal),
            faults: site.faults.lock().clone(),
            reasons: reasons(stories),
            evidence: evidence(found),
        }
    }

    /// Sets the seed.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets how long the load took.
    pub fn elapsed(mut self, elapsed: Duration) -> Self {
        self.seconds = elapsed.as_secs_f64();
        self
    }

    /// Sets whether every daemon shut down without cutting anything off.
    pub fn shutdown(mut self, graceful: bool) -> Self {
        self.graceful = graceful;
        self
    }

    /// Says whether nothing was lost, doubled or crossed.
    pub fn is_flawless(&self) -> bool {
        (self.lost, self.doubled, self.crossed) == (0, 0, 0)
    }

    /// Returns one JSON line.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

fn evidence(found: Audit) -> Vec<String> {
    let lines = |kind: &'static str, list: Vec<String>| {
        let lines = list.into_iter();
        lines.map(move |what| format!("{kind}: {what}"))
    };
    let lost = lines("lost", found.lost);
    let doubled = lines("doubled", found.doubled);
    let crossed = lines("crossed", found.crossed);
    lost.chain(doubled).chain(crossed).collect()
}

fn reasons(stories: &[Story]) -> IndexMap<String, u64> {
    let mut reasons = IndexMap::new();
    for reason in stories.iter().filter_map(|s| s.reason.clone()) {
        *reasons.entry(reason).or_default() += 1;
    }
    reasons
}

fn once(site: &Site) -> Once {
    let pipelines = site.settings.pipelines.iter();
    pipelines
        .map(|p| {
            let stages = p.stages.iter().filter(|s| !s.repeatable);
            let names: IndexSet<id::Stage> = stages.map(|s| s.name.as_str().into()).collect();
            (p.name.as_str().into(), names)
        })
        .collect()
}

fn share(part: u64, whole: u64) -> f64 {
    let float = |n: u64| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    float(part) / float(whole).max(1.0)
}

fn row(site: &Site, name: &'static str, stories: &[Story]) -> Row {
    let deadline = site.pipeline(name).map_or(0, |p| p.deadline_ms);
    let deadline = Duration::from_millis(deadline);
    let mine: Vec<&Story> = stories.iter().filter(|s| s.pipeline == name).collect();
    let count = |outcome| mine.iter().filter(|s| s.outcome == outcome).count() as u64;
    let (mut latency, mut first, mut gap) = Default::default();
    let mut attained = 0;
    for story in &mine {
        if story.outcome == Outcome::Answered {
            Latency::add(&mut latency, story.latency);
            attained += u64::from(story.flaw.is_none() && story.latency <= deadline);
        }
        story
            .first_token
            .iter()
            .for_each(|t| Latency::add(&mut first, *t));
        story.gaps.iter().for_each(|t| Latency::add(&mut gap, *t));
    }
    let requests = mine.len() as u64;
    let sends: usize = mine.iter().map(|s| s.sends.len()).sum();
    Row {
        name,
        requests,
        attained,
        attainment: share(attained, requests),
        p50_ms: latency.millis_at(0.5),
        p99_ms: latency.millis_at(0.99),
        first_token_p50_ms: first.millis_at(0.5),
        first_token_p95_ms: first.millis_at(0.95),
        token_gap_p95_ms: gap.millis_at(0.95),
        answered: count(Outcome::Answered),
        not_run: count(Outcome::NotRun),
        unknown: count(Outcome::Unknown),
        failed: count(Outcome::Failed),
        resent: sends as u64 - requests,
    }
}

/// Sums the journal up by stage; of several answers to a stage only the first was of use.
fn costs(site: &Site, journal: &[Entry]) -> Vec<Cost> {
    let mut costs: IndexMap<(id::Pipeline, id::Stage), Cost> = IndexMap::new();
    let mut useful = IndexSet::new();
    for entry in journal.iter().filter(|e| e.event == Event::Ended) {
        let place = (entry.pipeline.clone(), entry.stage.clone());
        let cost = costs.entry(place).or_insert_with_key(free);
        let millis = Duration::from_micros(entry.engine_us).as_secs_f64() * 1e3;
        cost.calls += 1;
        cost.engine_ms += millis;
        cost.tokens += entry.tokens;
        let is_answer = entry.result.as_deref() == Some("answered");
        if !is_answer || !useful.insert((entry.request, entry.stage.clone())) {
            cost.wasted_ms += millis;
        }
    }
    let reports = site.crew.reports();
    for cost in costs.values_mut() {
        cost.link_bytes = link_bytes(&reports, cost);
    }
    costs.sort_keys();
    costs.into_values().collect()
}

fn link_bytes(reports: &[operate::Report], cost: &Cost) -> u64 {
    let name = format!("{}/{}", cost.pipeline, cost.stage);
    let stages = reports.iter().flat_map(|r| &r.stages);
    let mine = stages.filter(|s| *s.name == *name);
    mine.map(|s| s.link_bytes).sum()
}

fn free((pipeline, stage): &(id::Pipeline, id::Stage)) -> Cost {
    Cost {
        pipeline: pipeline.clone(),
        stage: stage.clone(),
        calls: 0,
        engine_ms: 0.0,
        tokens: 0,
        link_bytes: 0,
        wasted_ms: 0.0,
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<14} {:>8} {:>9.1}% {:>8.0} {:>8.0} {:>9.0} {:>9.1} {:>8} {:>8} {:>7} {:>7}",
            self.name,
            self.requests,
            self.attainment * 100.0,
            self.p50_ms,
            self.p99_ms,
            self.first_token_p95_ms,
            self.token_gap_p95_ms,
            self.not_run,
            self.unknown,
            self.failed,
            self.resent,
        )
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<26} {:>6} {:>10.0} {:>8} {:>11} {:>10.0}",
            format!("{}/{}", self.pipeline, self.stage),
            self.calls,
            self.engine_ms,
            self.tokens,
            self.link_bytes,
            self.wasted_ms,
        )
    }
}

impl Report {
    fn write_pipelines(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14} {:>8} {:>10} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>7} {:>7}",
            "pipeline",
            "requests",
            "attainment",
            "p50 ms",
            "p99 ms",
            "token1 ms",
            "gap ms",
            "not-run",
            "unknown",
            "failed",
            "resent"
        )?;
        self.pipelines.iter().try_for_each(|r| writeln!(f, "{r}"))
    }

    fn write_stages(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<26} {:>6} {:>10} {:>8} {:>11} {:>10}",
            "pipeline/stage", "calls", "engine ms", "tokens", "link bytes", "wasted ms"
        )?;
        self.stages.iter().try_for_each(|c| writeln!(f, "{c}"))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_pipelines(f)?;
        self.write_stages(f)?;
        let bytes = self.link_bytes;
        writeln!(
            f,
            "\n{bytes} bytes crossed the regional link, control included\n"
        )?;
        for (reason, count) in &self.reasons {
            writeln!(f, "{count:>4} x {reason}")?;
        }
        for line in &self.evidence {
            writeln!(f, "{line}")?;
        }
        if !self.graceful {
            writeln!(f, "a daemon left something in progress when it stopped")?;
        }
        writeln!(
            f,
            "{} requests in {:.1} s, {} faults: lost {}, doubled {}, crossed {}",
            self.requests,
            self.seconds,
            self.faults.len(),
            self.lost,
            self.doubled,
            self.crossed
        )
    }
}
