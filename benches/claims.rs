//! Measures claims, and runs many seeded histories; see [the design note](../docs/design/claims.md).
//!
//! `cargo bench --bench claims` measures, `-- --json` prints the figures as JSON, and
//! `-- --histories 100000` plays and checks so many histories instead.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use gumdrop::Options as _;

#[allow(dead_code)]
#[path = "../tests/integration/claims/history.rs"]
mod history;

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

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    if let Some(count) = arguments.histories {
        assert!(histories(&arguments, count), "histories failed");
    }
}
