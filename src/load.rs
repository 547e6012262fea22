//! Open-loop load against a daemon: requests start when they are due, not when others end.
//!
//! Latency counts from the intended start, so that a slow server cannot hide its queue.
//! See [the operators' page](../docs/operators/load.md).

use std::path::PathBuf;
use std::time::{Duration, Instant};

use gumdrop::Options;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub mod call;
pub mod drive;
pub mod report;
pub mod schedule;

use call::Submission;
use report::{Report, Sample};
use schedule::{Burst, Schedule};

/// Requests that are in progress at most; later ones start late, and their latency shows it.
pub const DEFAULT_WORKERS: usize = 512;
/// The exit code after wrong arguments.
const USAGE: i32 = 2;
/// The exit code when nothing was answered.
const FAILURE: i32 = 1;

/// Sends open-loop load to a daemon.
#[derive(Clone, Debug, Options)]
pub struct Arguments {
    /// Whether help is wanted.
    #[options(help = "print help")]
    pub help: bool,
    /// Callers' addresses of daemons.
    #[options(
        meta = "IP:PORT",
        help = "a daemon's address for callers; repeat it to spread the load"
    )]
    pub address: Vec<String>,
    /// The pipeline.
    #[options(meta = "NAME", help = "the pipeline to call")]
    pub pipeline: String,
    /// A file with the bearer key.
    #[options(
        no_short,
        meta = "FILE",
        help = "file with the workspace's bearer key; else the variable CYCLAMENRILL_CALLER_KEY"
    )]
    pub key_file: Option<PathBuf>,
    /// A file with the body.
    #[options(
        meta = "FILE",
        help = "file with a JSON body; else a small one is made"
    )]
    pub body: Option<PathBuf>,
    /// Requests a second.
    #[options(
        meta = "N",
        default = "50",
        help = "requests a second (default 50), as a Poisson process"
    )]
    pub rate: f64,
    /// Seconds to run.
    #[options(meta = "N", default = "10", help = "seconds to run (default 10)")]
    pub seconds: f64,
    /// How many times the rate is in a burst.
    #[options(
        no_short,
        meta = "X",
        default = "1",
        help = "times the rate during a burst (default 1: no bursts)"
    )]
    pub burst: f64,
    /// Seconds between bursts.
    #[options(
        no_short,
        meta = "N",
        default = "5",
        help = "seconds from burst to burst (default 5)"
    )]
    pub burst_every: f64,
    /// Seconds that a burst lasts.
    #[options(
        no_short,
        meta = "N",
        default = "1",
        help = "seconds that a burst lasts (default 1)"
    )]
    pub burst_length: f64,
    /// Milliseconds that a request may take.
    #[options(
        meta = "MS",
        default = "3000",
        help = "milliseconds that a request may take (default 3000)"
    )]
    pub timeout_ms: u64,
    /// Whether to ask for tokens as they are generated.
    #[options(no_short, help = "ask for tokens as they are generated")]
    pub stream: bool,
    /// The seed.
    #[options(no_short, meta = "N", default = "1", help = "seed (default 1)")]
    pub seed: u64,
    /// Whether to print JSON.
    #[options(no_short, help = "print one JSON line")]
    pub json: bool,
}

/// The environment variable that holds a workspace's bearer key.
pub const KEY_VARIABLE: &str = "CYCLAMENRILL_CALLER_KEY";

/// What to send, once the arguments have been read.
struct Plan {
    addresses: Vec<String>,
    pipeline: String,
    key: String,
    body: String,
    timeout: Duration,
    stream: bool,
    seed: u64,
}

fn read(file: &PathBuf) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))
}

fn key(file: Option<&PathBuf>) -> Result<String, String> {
    match file {
        Some(file) => read(file).map(|k| k.trim().to_owned()),
        None => std::env::var(KEY_VARIABLE)
            .map_err(|_| format!("no caller's key: give --key-file or set {KEY_VARIABLE}")),
    }
}

impl Arguments {
    fn plan(&self) -> Result<Plan, String> {
        if self.address.is_empty() || self.pipeline.is_empty() {
            return Err("give --address and --pipeline".into());
        }
        let body = self.body.as_ref().map(read).transpose()?;
        Ok(Plan {
            addresses: self.address.clone(),
            pipeline: self.pipeline.clone(),
            key: key(self.key_file.as_ref())?,
            body: body.unwrap_or_else(|| r#"{"text":"lunch"}"#.into()),
            timeout: Duration::from_millis(self.timeout_ms),
            stream: self.stream,
            seed: self.seed,
        })
    }

    fn schedule(&self) -> Result<Schedule, String> {
        let is_right = |n: f64| n.is_finite() && n > 0.0;
        let all = [
            self.rate,
            self.seconds,
            self.burst,
            self.burst_every,
            self.burst_length,
        ];
        if !all.into_iter().all(is_right) {
            return Err("rate, seconds and the numbers of bursts must be above 0".into());
        }
        let length = Duration::from_secs_f64(self.seconds);
        let burst = Burst {
            every: Duration::from_secs_f64(self.burst_every),
            length: Duration::from_secs_f64(self.burst_length),
            factor: self.burst,
        };
        Ok(Schedule::new(self.rate, length, self.seed).burst(burst))
    }
}

impl Plan {
    fn submission(&self, index: usize) -> Submission {
        let seed = self.seed.wrapping_add(index as u64);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let address = &self.addresses[index % self.addresses.len()];
        let key = call::idempotency_key(rng.random());
        Submission::new(address, &self.pipeline, &self.key)
            .body(&self.body)
            .timeout(self.timeout)
            .idempotency_key(&key)
            .stream(self.stream)
    }
}

/// Sends the load and returns what came of it.
pub fn measure(arguments: &Arguments) -> Result<Report, String> {
    let plan = arguments.plan()?;
    let arrivals = arguments.schedule()?.arrivals();
    let start = Instant::now();
    let job = |index| plan.submission(index).send();
    let replies = drive::drive(&arrivals, DEFAULT_WORKERS, &job);
    let elapsed = start.elapsed();
    let samples = replies.into_iter().map(|(latency, reply)| Sample {
        latency,
        in_time: latency <= plan.timeout,
        reply,
    });
    Ok(Report::of(samples, elapsed))
}

/// Runs the load generator and returns the exit code.
pub fn run(arguments: &Arguments) -> i32 {
    let report = match measure(arguments) {
        Ok(report) => report,
        Err(reason) => {
            eprintln!("cyclamenrill load: {reason}");
            return USAGE;
        }
    };
    if arguments.json {
        println!("{}", report.to_json());
    } else {
        print!("{report}");
    }
    if report.answered == 0 { FAILURE } else { 0 }
}

#[cfg(test)]
mod tests;
