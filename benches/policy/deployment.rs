//! The two deployments and their traffic.

use std::sync::Arc;
use std::time::Duration;

use cyclamenrill::clock::Time;
use cyclamenrill::id;
use cyclamenrill::pipeline::{Plan, Stage};
use cyclamenrill::route::Kind;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

/// Length of the shared beginning of prompts, in bytes.
const TEMPLATE_BYTES: usize = 6144;
/// Templates of each workspace.
const TEMPLATES: u32 = 6;
/// How long load is offered.
pub const LOAD: Duration = Duration::from_secs(14);

#[derive(Clone, Debug)]
pub struct Pool {
    pub name: &'static str,
    pub kind: Kind,
    pub count: usize,
    /// Calls that one endpoint runs at a time.
    pub slots: usize,
    /// Mean service time.
    pub service: Duration,
    /// Spread of the service time's logarithm.
    pub sigma: f64,
    pub answer_bytes: usize,
}

/// A deployment at the size of today.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub zones: [(&'static str, &'static str); 3],
    pub pools: Vec<Pool>,
    pub plans: Vec<(Arc<Plan>, f64)>,
    pub workspaces: Vec<(&'static str, f64)>,
    /// Bytes of a body beyond its template.
    pub body_bytes: usize,
    pub daemons: usize,
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Time,
    pub daemon: usize,
    pub workspace: id::Workspace,
    pub plan: Arc<Plan>,
    pub body: id::Name,
    /// Service time of each stage relative to its pool's mean.
    pub work: Vec<f64>,
    /// Whether it crashes the endpoints that run it.
    pub is_poison: bool,
    /// Whether it is counted in the attainment.
    pub counts: bool,
}

fn pool(name: &'static str, kind: Kind, count: usize, ms: u64, answer_bytes: usize) -> Pool {
    let is_engine = kind == Kind::Engine;
    Pool {
        name,
        kind,
        count,
        slots: 4,
        service: Duration::from_millis(ms),
        sigma: if is_engine { 0.4 } else { 0.3 },
        answer_bytes,
    }
}

fn plan(name: &str, priority: u8, stages: &[(&str, bool, bool)]) -> Arc<Plan> {
    let stages = stages
        .iter()
        .enumerate()
        .map(|(n, (pool, generates, repeatable))| Stage {
            name: format!("{n}-{pool}").into(),
            pool: (*pool).into(),
            generates: *generates,
            repeatable: *repeatable,
            max_tokens: 256,
        })
        .collect();
    Arc::new(Plan {
        name: name.into(),
        deadline: Duration::from_secs(3),
        priority,
        stages,
    })
}

pub fn poldmaa() -> Deployment {
    let check = ("allergy-registry", false, true);
    let draft = ("menu-model", true, true);
    Deployment {
        name: "poldmaa",
        zones: [
            ("tallinn-a", "tallinn"),
            ("tallinn-b", "tallinn"),
            ("tartu-a", "tartu"),
        ],
        pools: vec![
            pool("menu-model", Kind::Engine, 12, 500, 2048),
            pool("orders", Kind::Service, 3, 30, 512),
            pool("allergy-registry", Kind::Retriever, 5, 40, 4096),
            pool("packing-line", Kind::Service, 5, 40, 1024),
            pool("billing", Kind::Service, 5, 30, 512),
        ],
        plans: vec![
            (
                plan("menu", 4, &[check, draft, ("packing-line", false, true)]),
                0.4,
            ),
            (plan("notice", 5, &[check, draft]), 0.3),
            (
                plan(
                    "order",
                    0,
                    &[check, ("orders", false, false), ("billing", false, true)],
                ),
                0.3,
            ),
        ],
        workspaces: vec![
            ("tallinn-schools", 0.4),
            ("tartu-schools", 0.3),
            ("parents", 0.15),
            ("kitchens", 0.1),
            ("audit", 0.05),
        ],
        body_bytes: 2048,
        daemons: 6,
    }
}

pub fn vijesti() -> Deployment {
    let minutes = ("tajnistvo", false, true);
    let draft = ("rill-pisari", true, true);
    Deployment {
        name: "vijesti",
        zones: [
            ("zagreb-a", "kontinent"),
            ("osijek-a", "kontinent"),
            ("split-a", "primorje"),
        ],
        pools: vec![
            pool("rill-pisari", Kind::Engine, 12, 600, 4096),
            pool("tajnistvo", Kind::Retriever, 3, 50, 8192),
            pool("kalendar", Kind::Service, 3, 30, 512),
            pool("clanarina", Kind::Service, 5, 30, 512),
            pool("obavijesti", Kind::Service, 5, 30, 1024),
        ],
        plans: vec![
            (
                plan(
                    "bulletin",
                    4,
                    &[minutes, draft, ("obavijesti", false, true)],
                ),
                0.4,
            ),
            (plan("summary", 5, &[minutes, draft]), 0.35),
            (
                plan(
                    "sign-up",
                    0,
                    &[
                        ("kalendar", false, true),
                        ("clanarina", false, false),
                        ("obavijesti", false, true),
                    ],
                ),
                0.25,
            ),
        ],
        workspaces: vec![
            ("zagreb-branch", 0.4),
            ("osijek-branch", 0.25),
            ("split-branch", 0.2),
            ("editors", 0.1),
            ("treasurers", 0.05),
        ],
        body_bytes: 12_288,
        daemons: 6,
    }
}

impl Deployment {
    /// Requests a second that fill the pool of engines.
    pub fn capacity(&self) -> f64 {
        let engines = &self.pools[0];
        let calls = (engines.count * engines.slots) as f64 / engines.service.as_secs_f64();
        let generating: f64 = self
            .plans
            .iter()
            .filter(|(plan, _)| plan.stages.iter().any(|s| s.generates))
            .map(|(_, weight)| weight)
            .sum();
        calls / generating
    }

    /// Seeded arrivals at `rate(t)` requests a second.
    pub fn arrivals(&self, seed: u64, greedy: f64, rate: &dyn Fn(Time) -> f64) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut list = Vec::new();
        let mut at = 0.0;
        let capacity = self.capacity();
        while at < LOAD.as_secs_f64() {
            let now = Duration::from_secs_f64(at);
            let usual = rate(now) * capacity;
            let total = usual + greedy * capacity;
            let gap: f64 = -(1.0 - rng.random_range(0.0..1.0f64)).ln();
            at += gap / total;
            let is_greedy = rng.random_range(0.0..1.0) < greedy / (usual / capacity + greedy);
            list.push(self.arrival(Duration::from_secs_f64(at), is_greedy, &mut rng));
        }
        list
    }

    fn arrival(&self, at: Time, is_greedy: bool, rng: &mut ChaCha8Rng) -> Arrival {
        let plan = weighted(&self.plans, rng).clone();
        let workspace = if is_greedy {
            "greedy"
        } else {
            weighted(&self.workspaces, rng)
        };
        let template = rng.random_range(0..TEMPLATES);
        let unique: u64 = rng.random();
        let work = plan
            .stages
            .iter()
            .map(|s| self.work(&s.pool, rng))
            .collect();
        Arrival {
            at,
            daemon: rng.random_range(0..self.daemons),
            workspace: workspace.into(),
            plan,
            body: body(workspace, template, unique, self.body_bytes),
            work,
            is_poison: false,
            counts: !is_greedy,
        }
    }

    fn work(&self, pool: &str, rng: &mut ChaCha8Rng) -> f64 {
        let sigma = self.pool(pool).sigma;
        // A mean of 1.
        let normal = LogNormal::new(-sigma * sigma / 2.0, sigma).unwrap();
        normal.sample(rng)
    }

    pub fn pool(&self, name: &str) -> &Pool {
        self.pools.iter().find(|p| p.name == name).unwrap()
    }
}

fn weighted<'a, T>(list: &'a [(T, f64)], rng: &mut ChaCha8Rng) -> &'a T {
    let total: f64 = list.iter().map(|(_, w)| w).sum();
    let mut at = rng.random_range(0.0..total);
    for (item, weight) in list {
        at -= weight;
        if at < 0.0 {
            return item;
        }
    }
    &list[list.len() - 1].0
}

fn body(workspace: &str, template: u32, unique: u64, bytes: usize) -> id::Name {
    let head = format!("{workspace} {template} ");
    let tail = format!("{unique:016x} ");
    let mut text = String::with_capacity(TEMPLATE_BYTES + bytes + 2);
    text.push('"');
    while text.len() < TEMPLATE_BYTES {
        text.push_str(&head);
    }
    while text.len() < TEMPLATE_BYTES + bytes {
        text.push_str(&tail);
    }
    text.push('"');
    text.into()
}
