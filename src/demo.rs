//! The demo: stand-ins, daemons and callers of both deployments in one process on loopback.
//!
//! See [what it does and prints](../docs/DEMO.md).

use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gumdrop::Options;
use signal_hook::consts::{SIGINT, SIGTERM};

mod audit;
mod caller;
mod crew;
mod interface;
mod report;
mod script;
mod site;
mod task;

use caller::Story;
use report::Report;
use site::Site;

/// The exit code when something was lost, doubled or crossed.
const FLAWED: i32 = 1;
/// The exit code when the demo cannot run.
const BROKEN: i32 = 2;
/// How long the calls that callers gave up may still run before the journal is read.
const SETTLE: Duration = Duration::from_secs(5);
/// How often a held demo looks whether it is to end.
const HOLD_CHECK: Duration = Duration::from_millis(50);
/// Callers at a time.
const WORKERS: usize = 256;

/// Runs stand-ins, daemons and callers in one process.
#[derive(Clone, Debug, Options)]
pub struct Arguments {
    /// Whether help is wanted.
    #[options(help = "print help")]
    pub help: bool,
    /// The seed of load and faults.
    #[options(
        meta = "N",
        default = "1",
        help = "seed of load and faults (default 1)"
    )]
    pub seed: u64,
    /// Seconds of load.
    #[options(meta = "N", default = "15", help = "seconds of load (default 15)")]
    pub seconds: f64,
    /// Requests a second.
    #[options(meta = "N", default = "40", help = "requests a second (default 40)")]
    pub rate: f64,
    /// Whether to print JSON.
    #[options(help = "print one JSON line, last")]
    pub json: bool,
    /// Whether to serve without a load of its own.
    #[options(
        no_short,
        help = "send nothing; serve until standard input closes or SIGTERM arrives"
    )]
    pub hold: bool,
}

/// Runs the demo and returns the exit code: 0 only if nothing was lost, doubled or crossed.
pub fn run(arguments: &Arguments) -> i32 {
    match perform(arguments) {
        Ok(report) => {
            if arguments.json {
                println!("{}", report.to_json());
            } else {
                print!("{report}");
            }
            if report.is_flawless() { 0 } else { FLAWED }
        }
        Err(reason) => {
            eprintln!("cyclamenrill demo: {reason}");
            BROKEN
        }
    }
}

/// Tells the person who waits what happens.
fn progress(what: &str) {
    eprintln!("demo: {what}");
}

fn perform(arguments: &Arguments) -> Result<Report, String> {
    progress("starting stand-ins and daemons");
    let site = Site::start(arguments.seed)?;
    site.wait_until_ready()?;
    let start = Instant::now();
    let stories = if arguments.hold {
        hold(&site, arguments.json)?;
        Vec::new()
    } else {
        load(&site, arguments)
    };
    let elapsed = start.elapsed();
    progress("stopping the daemons");
    let whole = site.crew.shutdown();
    settle(&site);
    let journal = site.fleet.commons().journal.since(0);
    Ok(Report::new(&site, &stories, &journal)
        .seed(arguments.seed)
        .elapsed(elapsed)
        .shutdown(whole))
}

fn load(site: &Arc<Site>, arguments: &Arguments) -> Vec<Story> {
    let length = Duration::from_secs_f64(arguments.seconds.clamp(1.0, 600.0));
    let tasks = task::tasks(site, arguments.rate, length, arguments.seed);
    progress(&format!(
        "sending {} requests over {length:?}, with faults",
        tasks.len()
    ));
    let script = script::start(site, length, arguments.seed);
    let arrivals: Vec<Duration> = tasks.iter().map(|t| t.at).collect();
    let job = |index: usize| caller::run(site, &tasks[index]);
    let outcomes = crate::load::drive::drive(&arrivals, WORKERS, &job);
    if let Some(script) = script {
        // A script that panicked has brought about fewer faults.
        drop(script.join());
    }
    let stories = outcomes.into_iter();
    stories
        .map(|(latency, story)| Story { latency, ..story })
        .collect()
}

fn hold(site: &Arc<Site>, json: bool) -> Result<(), String> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).map_err(|e| e.to_string())?;
    }
    let closed = stop.clone();
    thread::Builder::new()
        .name("standard input".into())
        .spawn(move || {
            // Whatever a script writes is of no interest; the end is.
            drop(io::copy(&mut io::stdin().lock().by_ref(), &mut io::sink()));
            closed.store(true, Ordering::Relaxed);
        })
        .map_err(|e| e.to_string())?;
    interface::print(site, json);
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(HOLD_CHECK);
    }
    Ok(())
}

/// Waits until no call runs at a stand-in, so that the journal is whole.
fn settle(site: &Site) {
    let end = Instant::now() + SETTLE;
    while site.fleet.commons().journal.running() > 0 && Instant::now() < end {
        thread::sleep(HOLD_CHECK);
    }
}

#[cfg(test)]
mod tests;
