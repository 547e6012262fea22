//! Measures claims, and runs many seeded histories; see [the design note](../docs/design/claims.md).
//!
//! `cargo bench --bench claims` measures, `-- --json` prints the figures as JSON, and
//! `-- --histories 100000` plays and checks so many histories instead.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use cyclamenrill::claim::fold::Fold;
use cyclamenrill::claim::{record, writer};
use cyclamenrill::platform::{Page, Record};
use cyclamenrill::settings;
use gumdrop::Options as _;

#[allow(dead_code)]
#[path = "../tests/integration/claims/history.rs"]
mod history;

#[path = "claims/load.rs"]
mod load;

/// Requests a second of one daemon at the peak of the size that is designed for.
const REQUESTS: f64 = 23_000.0 / 400.0;
/// Daemons of the deployments that are compared.
const DAEMONS: [f64; 3] = [8.0, 50.0, 400.0];
/// Shares of requests that may not be repeated.
const SHARES: [f64; 3] = [0.01, 0.05, 0.10];
/// Groups a second of one stream that are compared; the product's own pace comes first.
const RATES: [f64; 5] = [0.0, 2.0, 4.0, 15.0, 60.0];
/// Keys that are put into an index to weigh it.
const KEYS: u64 = 500_000;
/// Bytes that control may take of a daemon's memory.
const CONTROL_BYTES: f64 = 32.0 * 1024.0 * 1024.0;

/// The figures of one deployment.
#[derive(serde::Serialize)]
struct Deployment {
    daemons: f64,
    share: f64,
    /// Claims a second of all daemons.
    claims: f64,
    /// Appends a second of all streams.
    appends: f64,
    /// Appends a second with one append for each claim and one for each outcome.
    appends_one_each: f64,
    /// Reads a second, were each claim to read before it appends.
    reads_before_claim: f64,
    stream: load::Figures,
}

/// What one pace of a stream gives at the peak with a share of a twentieth.
#[derive(serde::Serialize)]
struct Pace {
    groups_per_second: f64,
    stream: load::Figures,
}

/// What the index of one stream takes.
#[derive(serde::Serialize)]
struct Memory {
    keys: u64,
    bytes_per_key: f64,
    /// Keys that fit into the memory for control of a daemon that writes one stream.
    keys_in_control_memory: f64,
}

#[derive(serde::Serialize)]
struct Report {
    streams: u32,
    one_way_to_log_ms: f64,
    deployments: Vec<Deployment>,
    paces: Vec<Pace>,
    memory: Memory,
}

#[derive(gumdrop::Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "given by cargo", no_short)]
    bench: bool,
    #[options(help = "print the figures as JSON", no_short)]
    json: bool,
    #[options(
        help = "play and check so many histories instead of measuring",
        no_short
    )]
    histories: Option<u64>,
    #[options(help = "the first seed of the histories", no_short, default = "0")]
    seed: u64,
    #[options(help = "threads that play histories", no_short, default = "4")]
    threads: u64,
}

/// Plays and checks histories; prints every seed that fails.
fn histories(arguments: &Arguments, count: u64) -> bool {
    let begun = Instant::now();
    let next = AtomicU64::new(arguments.seed);
    let end = arguments.seed + count;
    let (failures, runs, events) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let options = history::world::Options {
                        seed,
                        ..history::world::Options::default()
                    };
                    match history::run(options) {
                        Ok(truth) => {
                            runs.fetch_add(truth.runs.len() as u64, Ordering::Relaxed);
                            events.fetch_add(truth.events, Ordering::Relaxed);
                        }
                        Err(reason) => {
                            failures.fetch_add(1, Ordering::Relaxed);
                            println!("{reason}");
                        }
                    }
                }
            });
        }
    });
    let failures = failures.into_inner();
    println!(
        "{count} histories from seed {}: {failures} failed, {} executions, {} events, {:.1} s",
        arguments.seed,
        runs.into_inner(),
        events.into_inner(),
        begun.elapsed().as_secs_f64()
    );
    failures == 0
}

fn deployment(daemons: f64, share: f64, streams: u32) -> Deployment {
    let asked = REQUESTS * daemons * share;
    let stream = load::run(asked / f64::from(streams), writer::stream_rate(streams));
    let claims = stream.claims * f64::from(streams);
    Deployment {
        daemons,
        share,
        claims,
        appends: stream.appends * f64::from(streams),
        appends_one_each: claims * 2.0,
        reads_before_claim: claims,
        stream,
    }
}

fn resident_bytes() -> f64 {
    const PAGE: f64 = 4096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse::<f64>().unwrap() * PAGE
}

/// Folds claims with their outcomes and weighs the index that remains.
fn memory() -> Memory {
    const GROUP: u64 = 100;
    let mut fold = Fold::default();
    let before = resident_bytes();
    for group in 0..KEYS / GROUP {
        let entries = (0..GROUP)
            .flat_map(|n| entries(group * GROUP + n))
            .collect();
        let body = record::encode(&record::Group {
            writer: "daemon-1".into(),
            at_ms: 1,
            entries,
        });
        let page = Page {
            first: 0,
            end: group + 1,
            records: vec![Record {
                offset: group,
                body: body.unwrap(),
            }],
        };
        drop(fold.apply_page(&page));
    }
    let bytes_per_key = (resident_bytes() - before) / fold.len() as f64;
    Memory {
        keys: fold.len() as u64,
        bytes_per_key,
        keys_in_control_memory: CONTROL_BYTES / bytes_per_key,
    }
}

fn entries(number: u64) -> [record::Entry; 2] {
    let request = uuid::Uuid::from_u128(u128::from(number) + 1);
    let workspace = format!("workspace-{}", number % 30_000);
    let key = request.to_string();
    let digest = format!("{number:064x}");
    [
        record::Entry::Claim(record::Claim {
            workspace: workspace.clone(),
            key: key.clone(),
            digest: digest.clone(),
            request,
            executor: format!("daemon-{}", number % 400),
            issued_ms: 1,
        }),
        record::Entry::Outcome(record::Outcome {
            workspace,
            key,
            digest,
            request,
            issued_ms: 1,
            ending: record::Ending::Answered("{}".into()),
        }),
    ]
}

fn report() -> Report {
    let streams = settings::Claims::default().streams;
    let peak = REQUESTS * 400.0 * 0.05 / f64::from(streams);
    let pace = |rate: f64| {
        let rate = if rate > 0.0 {
            rate
        } else {
            writer::stream_rate(streams)
        };
        Pace {
            groups_per_second: rate,
            stream: load::run(peak, rate),
        }
    };
    let memory = memory();
    let sizes = DAEMONS
        .iter()
        .flat_map(|n| SHARES.iter().map(move |s| (*n, *s)));
    Report {
        streams,
        one_way_to_log_ms: load::ONE_WAY.as_secs_f64() * 1000.0,
        deployments: sizes
            .map(|(n, share)| deployment(n, share, streams))
            .collect(),
        paces: RATES.iter().map(|rate| pace(*rate)).collect(),
        memory,
    }
}

fn print(report: &Report) {
    println!(
        "{} streams, {} ms one way to the log",
        report.streams, report.one_way_to_log_ms
    );
    println!("daemons share claims/s appends/s one-each/s group p50ms p99ms refused claims/cpu-s");
    for d in &report.deployments {
        println!(
            "{:7} {:5.2} {:8.0} {:9.0} {:10.0} {:5.1} {:5.1} {:5.1} {:7} {:12.0}",
            d.daemons,
            d.share,
            d.claims,
            d.appends,
            d.appends_one_each,
            d.stream.group,
            d.stream.p50_ms,
            d.stream.p99_ms,
            d.stream.refused,
            d.stream.claims_per_cpu_second
        );
    }
    println!("groups/s of a stream, fleet appends/s, group, p50 ms, p99 ms, at 1150 claims/s");
    for p in &report.paces {
        println!(
            "{:8.1} {:8.0} {:8.1} {:8.1} {:8.1}",
            p.groups_per_second,
            p.stream.appends * f64::from(report.streams),
            p.stream.group,
            p.stream.p50_ms,
            p.stream.p99_ms
        );
    }
    println!(
        "index: {} keys, {:.0} bytes a key, {:.0} keys in the memory for control",
        report.memory.keys, report.memory.bytes_per_key, report.memory.keys_in_control_memory
    );
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    if let Some(count) = arguments.histories {
        assert!(histories(&arguments, count), "histories failed");
        return;
    }
    let report = report();
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&report).unwrap());
    } else {
        print(&report);
    }
}
