//! Nanoseconds, allocations and state of one decision by the size of the fleet.
//!
//! `cargo bench --bench decision -- --help` lists the options. See
//! [the design note](../docs/design/policy.md).

#![allow(
    missing_docs,
    unsafe_code,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic
)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cyclamenrill::clock::Time;
use cyclamenrill::endpoint::{Error, Load, Usage};
use cyclamenrill::id;
use cyclamenrill::policy::adaptive::Adaptive;
use cyclamenrill::policy::{
    Admission, Arrival, Attempt, Candidate, End, Observation, Placement, Policy,
};
use cyclamenrill::route::{Kind, subset};
use gumdrop::Options;

/// The most time that one decision may take.
const TARGET: Duration = Duration::from_micros(10);
/// How much longer it may take at the largest fleet than at the smallest.
const GROWTH: f64 = 1.5;
/// Endpoints of a pool that one daemon knows.
const SUBSET: usize = 48;
/// Availability zones of the largest fleet.
const ZONES: usize = 18;
/// Fleet sizes: daemons and engines.
const FLEETS: [(usize, usize); 3] = [(6, 36), (44, 300), (400, 2700)];

struct Counting;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static BYTES: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is handed to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size() as u64, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this text")]
    help: bool,
    #[options(no_short, help = "given by cargo")]
    bench: bool,
    #[options(help = "one JSON line a fleet size")]
    json: bool,
    #[options(help = "decisions of each sort", default = "20000")]
    rounds: u32,
}

/// The cost of one decision.
#[derive(Clone, Copy, Default)]
struct Cost {
    nanos: f64,
    allocations: f64,
}

/// Sums what a sort of decision costs.
#[derive(Default)]
struct Meter {
    time: Duration,
    allocations: u64,
    count: u32,
}

impl Meter {
    fn measure<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let before = ALLOCATIONS.load(Ordering::Relaxed);
        let start = Instant::now();
        let result = work();
        self.time += start.elapsed();
        self.allocations += ALLOCATIONS.load(Ordering::Relaxed) - before;
        self.count += 1;
        result
    }

    fn cost(&self) -> Cost {
        let count = f64::from(self.count.max(1));
        Cost {
            nanos: self.time.as_nanos() as f64 / count,
            allocations: self.allocations as f64 / count,
        }
    }
}

struct Figures {
    engines: usize,
    known: usize,
    admission: Cost,
    routing: Cost,
    retry: Cost,
    learning: Cost,
    state: u64,
    spread: (usize, usize),
}

fn names(prefix: &str, count: usize) -> Vec<id::Name> {
    (0..count).map(|n| format!("{prefix}{n}").into()).collect()
}

/// The endpoints that the first daemon of the first zone knows.
fn candidates(daemons: usize, engines: usize) -> Vec<Candidate> {
    let zones = ZONES.min(engines / 12);
    let daemon_names = names("d", daemons.div_ceil(zones));
    let mut list = Vec::new();
    for zone in 0..zones.min(3) {
        let count = engines / zones;
        let all: Vec<id::Endpoint> = names(&format!("z{zone}-"), count);
        let most = if zone == 0 { SUBSET } else { SUBSET / 4 };
        for endpoint in subset::subset(&daemon_names[0], &daemon_names, &all, most) {
            list.push(Candidate {
                address: format!("{endpoint}:1"),
                endpoint,
                pool: "model".into(),
                zone: format!("zone-{zone}").into(),
                region: if zone < 2 { "r0" } else { "r1" }.into(),
                leaving: false,
            });
        }
    }
    list
}

fn ask(number: u32, workspaces: u32, now: Time) -> Attempt {
    Attempt {
        request: uuid::Uuid::from_u128(u128::from(number) + 1),
        id: 1,
        workspace: format!("workspace-{}", number % workspaces).into(),
        pipeline: "pipeline".into(),
        index: 0,
        stage: "draft".into(),
        pool: "model".into(),
        later_pools: vec!["rest".into()],
        repeatable: true,
        deadline: now + Duration::from_secs(3),
        priority: 4,
        cost: 500,
        input_bytes: 4096,
        prefixes: (0..32u64)
            .map(|p| p + u64::from(number % 50) * 100)
            .collect(),
        exclude: Vec::new(),
        previous_region: None,
        version: None,
        is_suspect: false,
    }
}

fn arrival(ask: &Attempt) -> Arrival {
    Arrival {
        request: ask.request,
        workspace: ask.workspace.clone(),
        pipeline: ask.pipeline.clone(),
        pools: vec!["model".into(), "rest".into()],
        deadline: ask.deadline,
        priority: 4,
        cost: 500,
    }
}

fn measure(daemons: usize, engines: usize, rounds: u32) -> Figures {
    let list = candidates(daemons, engines);
    let known = list.len();
    let before = BYTES.load(Ordering::Relaxed);
    let mut policy = Adaptive::builder("zone-0", "r0")
        .kind("model", Kind::Engine)
        .build();
    policy.observe(&Observation::Candidates(list.clone()), Time::ZERO);
    let mut meters: [Meter; 4] = Default::default();
    let mut now = Duration::from_secs(1);
    for number in 0..rounds {
        now += Duration::from_micros(500);
        report(&mut policy, &list, number, now);
        round(&mut policy, number, now, &mut meters);
    }
    let state = BYTES.load(Ordering::Relaxed).saturating_sub(before);
    let [admission, routing, retry, learning] = meters.map(|m| m.cost());
    Figures {
        engines,
        known,
        admission,
        routing,
        retry,
        learning,
        state,
        spread: spread(daemons, engines),
    }
}

fn report(policy: &mut Adaptive, list: &[Candidate], number: u32, now: Time) {
    let of = &list[number as usize % list.len()];
    let load = Load {
        running: number % 5,
        waiting: 0,
        cache_free: 0.5,
        versions: vec!["v1".into()],
        role: None,
    };
    let observation = Observation::Load {
        endpoint: of.endpoint.clone(),
        load,
    };
    policy.observe(&observation, now);
}

fn round(policy: &mut Adaptive, number: u32, now: Time, meters: &mut [Meter; 4]) {
    let mut ask = ask(number, 75, now);
    let arrival = arrival(&ask);
    let admission = meters[0].measure(|| policy.admit(&arrival, now));
    assert_eq!(admission, Admission::Admit);
    let placement = meters[1].measure(|| policy.place(&ask, now));
    let Placement::Send(pick) = placement else {
        panic!("{placement:?}");
    };
    ask.exclude.push(pick.endpoint.clone());
    let error = Error::Failed {
        step: "call",
        peer: "endpoint".into(),
        reason: "failed".into(),
    };
    meters[2].measure(|| policy.retry(&ask, &error, now));
    let ended = Observation::CallEnded {
        request: ask.request,
        attempt: ask.id,
        endpoint: pick.endpoint,
        pool: ask.pool.clone(),
        pipeline: ask.pipeline.clone(),
        index: 0,
        latency: Duration::from_millis(u64::from(200 + number % 100)),
        end: End::Answered(Usage::default()),
    };
    meters[3].measure(|| policy.observe(&ended, now));
    let left = Observation::RequestEnded {
        request: ask.request,
        attained: true,
    };
    policy.observe(&left, now);
}

/// The fewest and most engines that the daemons of one zone know.
fn spread(daemons: usize, engines: usize) -> (usize, usize) {
    let zones = ZONES.min(engines / 12);
    let daemons = names("d", daemons.div_ceil(zones));
    let endpoints = names("e", engines / zones);
    let sizes = daemons
        .iter()
        .map(|me| subset::subset(me, &daemons, &endpoints, SUBSET).len());
    sizes.fold((usize::MAX, 0), |(least, most), n| {
        (least.min(n), most.max(n))
    })
}

fn print(figures: &Figures, json: bool) {
    let rows = [
        ("admission", figures.admission),
        ("routing", figures.routing),
        ("retry", figures.retry),
        ("learning", figures.learning),
    ];
    let (least, most) = figures.spread;
    if json {
        let costs: serde_json::Map<String, serde_json::Value> = rows
            .iter()
            .map(|(name, c)| {
                let value = serde_json::json!({"ns": c.nanos, "allocations": c.allocations});
                ((*name).to_owned(), value)
            })
            .collect();
        let line = serde_json::json!({
            "engines": figures.engines, "known": figures.known, "costs": costs,
            "state-bytes": figures.state, "subset-least": least, "subset-most": most,
        });
        println!("{line}");
        return;
    }
    print!("{:5} engines, {:3} known:", figures.engines, figures.known);
    for (name, cost) in rows {
        print!(
            " {name} {:.0} ns {:.1} allocations;",
            cost.nanos, cost.allocations
        );
    }
    println!(
        " {} bytes of state; subsets {least} to {most}",
        figures.state
    );
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    // The first run warms the machine's caches and is not shown.
    measure(FLEETS[0].0, FLEETS[0].1, arguments.rounds / 4);
    let all: Vec<Figures> = FLEETS
        .iter()
        .map(|(daemons, engines)| measure(*daemons, *engines, arguments.rounds))
        .collect();
    for figures in &all {
        print(figures, arguments.json);
    }
    let decision = |f: &Figures| f.admission.nanos + f.routing.nanos;
    let worst = all
        .iter()
        .map(|f| f.routing.nanos.max(f.admission.nanos).max(f.retry.nanos))
        .fold(0.0, f64::max);
    let growth = decision(&all[2]) / decision(&all[0]);
    let is_met = worst < TARGET.as_nanos() as f64 && growth < GROWTH;
    println!(
        "{}",
        serde_json::json!({"worst-ns": worst, "target-ns": TARGET.as_nanos() as u64,
            "growth": growth, "target-growth": GROWTH, "met": is_met})
    );
}
