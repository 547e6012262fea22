//! Attainment and cost of the adaptive policy against the naive one, on the same seeded arrivals.
//!
//! `cargo bench --bench policy -- --help` lists the options. See
//! [the design note](../docs/design/policy.md).

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::sync::atomic::{AtomicUsize, Ordering};

use cyclamenrill::policy::Policy;
use cyclamenrill::policy::adaptive::{Adaptive, Mechanism};
use cyclamenrill::policy::naive::Naive;
use gumdrop::Options;
use parking_lot::Mutex;

#[path = "policy/deployment.rs"]
mod deployment;
#[path = "policy/driver.rs"]
mod driver;
#[path = "policy/report.rs"]
mod report;
#[path = "policy/scenario.rs"]
mod scenario;
#[path = "policy/server.rs"]
mod server;
#[path = "policy/targets.rs"]
mod targets;

use deployment::Deployment;
use report::Outcome;
use scenario::Name;
use targets::Row;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this text")]
    help: bool,
    #[options(no_short, help = "given by cargo")]
    bench: bool,
    #[options(help = "one JSON line a scenario and seed")]
    json: bool,
    #[options(help = "seeds of each scenario", default = "5")]
    seeds: u64,
    #[options(help = "threads", default = "4")]
    threads: usize,
    #[options(help = "run only scenarios whose name contains this")]
    only: Option<String>,
    #[options(help = "print why requests were not answered")]
    reasons: bool,
    #[options(help = "leave each mechanism out in turn")]
    ablation: bool,
}

/// One run of both policies.
#[derive(Clone)]
struct Job {
    deployment: usize,
    scenario: Name,
    seed: u64,
    off: Option<Mechanism>,
}

fn adaptive(deployment: &Deployment, daemon: usize, seed: u64, off: Option<Mechanism>) -> Adaptive {
    let (zone, region) = deployment.zones[daemon % 3];
    let mut builder = Adaptive::builder(zone, region).bandwidth(driver::LINK);
    for pool in &deployment.pools {
        builder = builder.kind(pool.name, pool.kind);
    }
    if let Some(off) = off {
        builder = builder.without(off);
    }
    builder.seed(seed * 100 + daemon as u64).build()
}

fn play(deployment: &Deployment, job: &Job, is_naive: bool) -> Outcome {
    let arrivals = job.scenario.arrivals(deployment, job.seed);
    driver::run(deployment, job.scenario, arrivals, job.seed, &|d, n| {
        if is_naive {
            Box::new(Naive::new(job.seed * 100 + n as u64)) as Box<dyn Policy>
        } else {
            Box::new(adaptive(d, n, job.seed, job.off))
        }
    })
}

/// The most answers in time a second over a sweep of offered load.
fn peak(deployment: &Deployment, seed: u64) -> f64 {
    let loads = [1.0, 1.15, 1.3, 1.5, 1.8];
    loads
        .iter()
        .map(|load| {
            let arrivals = deployment.arrivals(seed, 0.0, &|_| *load);
            let outcome = driver::run(deployment, Name::Steady, arrivals, seed, &|d, n| {
                Box::new(adaptive(d, n, seed, None))
            });
            outcome.goodput()
        })
        .fold(0.0, f64::max)
}

fn work(deployments: &[Deployment], jobs: &[Job], threads: usize, with_naive: bool) -> Vec<Row> {
    let next = AtomicUsize::new(0);
    let rows = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let row = one(&deployments[job.deployment], job, with_naive);
                    rows.lock().push(row);
                }
            });
        }
    });
    let mut rows = rows.into_inner();
    rows.sort_by_key(|r: &Row| (r.deployment, r.off, r.scenario.text(), r.seed));
    rows
}

fn one(deployment: &Deployment, job: &Job, with_naive: bool) -> Row {
    let is_overload = job.scenario == Name::Overload;
    Row {
        deployment: deployment.name,
        scenario: job.scenario,
        seed: job.seed,
        off: job.off,
        naive: with_naive.then(|| play(deployment, job, true)),
        adaptive: play(deployment, job, false),
        peak: (is_overload && with_naive).then(|| peak(deployment, job.seed)),
    }
}

fn jobs(arguments: &Arguments, off: Option<Mechanism>) -> Vec<Job> {
    let mut list = Vec::new();
    for deployment in 0..2 {
        for scenario in scenario::ALL {
            let is_wanted = arguments
                .only
                .as_ref()
                .is_none_or(|only| scenario.text().contains(only.as_str()));
            for seed in (1..=arguments.seeds).filter(|_| is_wanted) {
                list.push(Job {
                    deployment,
                    scenario,
                    seed,
                    off,
                });
            }
        }
    }
    list
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let deployments = [deployment::poldmaa(), deployment::vijesti()];
    if arguments.ablation {
        let mut list = jobs(&arguments, None);
        for off in targets::MECHANISMS {
            list.extend(jobs(&arguments, Some(off)));
        }
        let rows = work(&deployments, &list, arguments.threads, false);
        targets::print_ablation(&rows);
        return;
    }
    let list = jobs(&arguments, None);
    let mut rows = work(&deployments, &list, arguments.threads, true);
    if arguments.reasons {
        targets::print_reasons(&rows);
    }
    if arguments.json {
        for row in &mut rows {
            println!("{}", row.json());
        }
    } else {
        targets::print_table(&rows);
    }
    targets::print_targets(&rows, arguments.json);
}
