//! Streams: latency beside a direct call, and throughput per core-second.

use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::Added;
use crate::bare;
use crate::caller::{self, Caller, Seen, Times};
use crate::cost::Mark;
use crate::engine::{Engine, Pace, spawn};

/// Tokens of each call of the latency run, and time between them.
const LATENCY: Pace = Pace {
    tokens: 16,
    gap: Duration::from_millis(2),
};
/// Tokens of each stream of the unpaced run.
const UNPACED_TOKENS: u32 = 2000;

/// Tokens through the daemon.
#[derive(Debug, Serialize)]
pub struct Throughput {
    tokens_per_second: f64,
    tokens_per_core_second: f64,
    cores: f64,
}

impl Throughput {
    pub fn print(&self, name: &str) {
        println!(
            "{name:<22} {:>8.0} tokens/s, {:>8.0} tokens a core-second of the daemon, {:.2} cores",
            self.tokens_per_second, self.tokens_per_core_second, self.cores
        );
    }
}

fn record(times: &mut Times, value: Duration) {
    let micros = u64::try_from(value.as_micros()).unwrap();
    times.record(micros.max(1)).unwrap();
}

/// Streams through the daemon and directly, in turn.
pub fn latency(requests: usize) -> (Added, Added) {
    let engine = Engine::start(LATENCY);
    let daemon = caller::daemon(engine.address);
    let mut through = Caller::connect(daemon.callers_address());
    let new = || Times::new(3).unwrap();
    let [mut first_a, mut gap_a, mut first_b, mut gap_b] = [new(), new(), new(), new()];
    let take = |seen: &Seen, first: &mut Times, gap: &mut Times| {
        record(first, seen.first);
        for value in &seen.gaps {
            record(gap, *value);
        }
    };
    through.stream();
    for _ in 0..requests {
        take(&through.stream(), &mut first_a, &mut gap_a);
        take(&caller::direct(engine.address), &mut first_b, &mut gap_b);
    }
    daemon.shutdown(Duration::from_secs(5));
    (Added::new(&first_a, &first_b), Added::new(&gap_a, &gap_b))
}

/// Streams at a given rate of tokens over all.
pub fn paced(streams: usize, rate: u64, seconds: u64) -> Throughput {
    run(streams, pace(streams, rate, seconds))
}

fn pace(streams: usize, rate: u64, seconds: u64) -> Pace {
    let per_stream = rate as f64 / streams as f64;
    Pace {
        tokens: (per_stream * seconds as f64) as u32,
        gap: Duration::from_secs_f64(1.0 / per_stream),
    }
}

/// Streams as fast as they go.
pub fn unpaced(streams: usize) -> Throughput {
    run(
        streams,
        Pace {
            tokens: UNPACED_TOKENS,
            gap: Duration::ZERO,
        },
    )
}

/// Returns tokens per core-second of a bare relay at the same rate.
pub fn bare(streams: usize, rate: u64, seconds: u64) -> f64 {
    let pace = pace(streams, rate, seconds);
    let engine = Engine::start(pace);
    let (tokens, _, used) = carry(bare::start(engine.address), streams, pace);
    tokens as f64 / used.as_secs_f64()
}

fn run(streams: usize, pace: Pace) -> Throughput {
    let engine = Engine::start(pace);
    let daemon = caller::daemon(engine.address);
    let (tokens, wall, used) = carry(daemon.callers_address(), streams, pace);
    daemon.shutdown(Duration::from_secs(5));
    Throughput {
        tokens_per_second: tokens as f64 / wall.as_secs_f64(),
        tokens_per_core_second: tokens as f64 / used.as_secs_f64(),
        cores: used.as_secs_f64() / wall.as_secs_f64(),
    }
}

/// Reads streams to their end; returns the tokens, the time and the processor time of the relay.
fn carry(address: SocketAddr, streams: usize, pace: Pace) -> (usize, Duration, Duration) {
    let barrier = Arc::new(Barrier::new(streams + 1));
    let callers: Vec<_> = (0..streams)
        .map(|_| {
            let barrier = barrier.clone();
            spawn("caller", move || {
                let mut caller = Caller::connect(address);
                barrier.wait();
                caller.stream().tokens
            })
        })
        .collect();
    barrier.wait();
    let (start, before) = (Instant::now(), Mark::now());
    let tokens: usize = callers.into_iter().map(|c| c.join().unwrap()).sum();
    let (wall, used) = (start.elapsed(), Mark::now().total_since(&before));
    assert_eq!(tokens, streams * pace.tokens as usize, "each token once");
    (tokens, wall, used)
}

/// Plain requests on kept connections; returns requests per core-second of the daemon.
pub fn requests(requests: usize) -> f64 {
    const CALLERS: usize = 8;
    let none = Pace {
        tokens: 0,
        gap: Duration::ZERO,
    };
    let engine = Engine::start(none);
    let daemon = caller::daemon(engine.address);
    let address = daemon.callers_address();
    let before = Mark::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            spawn("caller", move || {
                let mut caller = Caller::connect(address);
                (0..requests).for_each(|_| caller.whole());
            })
        })
        .collect();
    callers.into_iter().for_each(|c| c.join().unwrap());
    let used = Mark::now().total_since(&before);
    daemon.shutdown(Duration::from_secs(5));
    (CALLERS * requests) as f64 / used.as_secs_f64()
}
