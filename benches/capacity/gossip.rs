//! Membership at growing numbers of daemons, on a virtual clock.

use std::time::Duration;

use cyclamenrill::clock::Time;
use cyclamenrill::member::fake::Net;
use cyclamenrill::member::swim::{Action, ConfigVersion};
use cyclamenrill::member::{Evidence, Status};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::meter::{Figure, held, timed};

const SECOND: Time = Duration::from_secs(1);
const STEP: Time = Duration::from_millis(100);
const REGIONS: usize = 6;
const ZONES: usize = 3;
/// Share of datagrams that are lost.
const LOSS: f64 = 0.02;

fn net(size: usize, seed: u64) -> Net {
    let mut net = Net::new(size, REGIONS.min(size / 4), ZONES, seed);
    net.loss = LOSS;
    net
}

fn deaths(net: &Net, except: &str) -> usize {
    let is_false = |action: &Action| matches!(action, Action::Changed(m) if m.status == Status::Dead && &*m.daemon != except);
    net.events.iter().filter(|e| is_false(&e.action)).count()
}

fn suspicions(net: &Net) -> usize {
    let is = |a: &Action| matches!(a, Action::Changed(m) if m.status == Status::Suspect);
    net.events.iter().filter(|e| is(&e.action)).count()
}

/// Bytes, processor time and memory of a daemon while nothing happens but loss.
pub fn quiet(size: usize, seconds: u64) -> Vec<Figure> {
    let before = held();
    let mut net = net(size, 1);
    net.run(10 * SECOND);
    let memory = held() - before;
    let bytes = |net: &Net, received: bool| -> u64 {
        let count = |n: &cyclamenrill::member::fake::Node| {
            if received {
                n.received_bytes
            } else {
                n.sent_bytes
            }
        };
        net.nodes.iter().map(count).sum()
    };
    let (sent, received) = (bytes(&net, false), bytes(&net, true));
    let datagrams: u64 = net.nodes.iter().map(|n| n.sent).sum();
    let ((), time) = timed(|| net.run(Duration::from_secs(seconds)));
    let each = (size as u64 * seconds) as f64;
    let datagrams = net.nodes.iter().map(|n| n.sent).sum::<u64>() - datagrams;
    let sent = bytes(&net, false) - sent;
    let received = bytes(&net, true) - received;
    vec![
        Figure::new("gossip-sent", size, sent as f64 / each, "bytes/s"),
        Figure::new("gossip-received", size, received as f64 / each, "bytes/s"),
        Figure::new(
            "gossip-datagrams",
            size,
            datagrams as f64 / each,
            "1/s sent",
        ),
        Figure::new(
            "gossip-processor",
            size,
            time.as_secs_f64() / each * 100.0,
            "% of a core",
        ),
        Figure::new(
            "gossip-memory",
            size,
            memory as f64 / size as f64,
            "bytes/daemon",
        ),
        Figure::new(
            "gossip-false-suspicions",
            size,
            suspicions(&net) as f64,
            "events",
        ),
        Figure::new(
            "gossip-false-deaths",
            size,
            deaths(&net, "") as f64,
            "events",
        ),
    ]
}

fn worst(size: usize, name: &'static str, unit: &'static str, times: &[f64]) -> Vec<Figure> {
    let worst = times.iter().copied().fold(0.0, f64::max);
    vec![Figure::new(name, size, worst, unit)]
}

/// The time until every daemon holds a dead one for dead.
pub fn detection(size: usize, runs: u64) -> Vec<Figure> {
    let mut times = Vec::new();
    let mut accused = 0;
    for seed in 0..runs {
        let mut net = net(size, seed);
        net.run(5 * SECOND);
        net.nodes[1].is_up = false;
        let start = net.now;
        while net.count_observers(1, Status::Dead) < size - 1 && net.now < start + 120 * SECOND {
            net.run(STEP);
        }
        times.push((net.now - start).as_secs_f64());
        accused += deaths(&net, "d1");
    }
    let mut figures = worst(size, "detection-worst", "s", &times);
    figures.push(Figure::new(
        "detection-false-deaths",
        size,
        accused as f64,
        "events",
    ));
    figures
}

/// The time until every daemon knows of a leaving endpoint.
pub fn marks(size: usize, runs: u64) -> Vec<Figure> {
    let mut times = Vec::new();
    for seed in 0..runs {
        let mut net = net(size, seed);
        net.run(5 * SECOND);
        net.nodes[0].swim.report("e1".into(), Evidence::Leaving);
        let start = net.now;
        let knows = |net: &Net| net.nodes.iter().filter(|n| !n.reports.is_empty()).count();
        while knows(&net) < size - 1 && net.now < start + 30 * SECOND {
            net.run(STEP);
        }
        times.push((net.now - start).as_secs_f64());
    }
    worst(size, "mark-everywhere-worst", "s", &times)
}

/// How a daemon follows the log.
struct Reader {
    next: Time,
    backoff: Duration,
    is_cut: bool,
    pull: Option<Time>,
    has: Option<Time>,
}

/// Share of reads of the log that fail.
const READ_LOSS: f64 = 0.1;
/// Share of daemons that cannot reach the log at all.
const CUT: f64 = 0.05;
/// The longest lag of a read.
const READ_LAG: f64 = 0.5;
/// How long the log is given before a peer is asked.
const GRACE: Duration = Duration::from_millis(700);

/// The time from a change in the log until it is in force everywhere, and until the daemon that
/// appended it knows.
pub fn in_force(size: usize, runs: u64) -> Vec<Figure> {
    let (mut force, mut known) = (Vec::new(), Vec::new());
    for seed in 0..runs {
        let (in_force, is_known) = change(size, seed);
        force.push(in_force);
        known.push(is_known);
    }
    let mut figures = worst(size, "in-force-worst", "s", &force);
    figures.extend(worst(size, "in-force-known-worst", "s", &known));
    figures
}

fn change(size: usize, seed: u64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 77);
    let mut net = net(size, seed);
    net.run(5 * SECOND);
    let start = net.now;
    let mut readers: Vec<Reader> = (0..size)
        .map(|i| Reader {
            next: start + SECOND.mul_f64(rng.random_range(0.0..READ_LAG)),
            backoff: Duration::from_millis(200),
            is_cut: i != 0 && rng.random_bool(CUT),
            pull: None,
            has: None,
        })
        .collect();
    net.nodes[0].swim.start_survey(1);
    let limit = start + 60 * SECOND;
    let mut seen = net.events.len();
    let mut force = None;
    while net.now < limit {
        net.run(STEP);
        for event in net.events.split_off(seen) {
            if let Action::NewerConfig { .. } = event.action {
                let reader = &mut readers[event.node];
                reader.pull.get_or_insert(event.at + GRACE);
            }
        }
        seen = net.events.len();
        for (i, reader) in readers.iter_mut().enumerate() {
            follow(reader, net.now, &mut rng);
            let revision = u64::from(reader.has.is_some());
            net.nodes[i].swim.set_config_version(ConfigVersion {
                revision,
                fingerprint: revision,
            });
        }
        if force.is_none() && readers.iter().all(|r| r.has.is_some()) {
            force = Some((net.now - start).as_secs_f64());
        }
        if force.is_some() && net.nodes[0].swim.behind(1).is_empty() {
            break;
        }
    }
    let known = (net.now - start).as_secs_f64();
    (force.unwrap_or(60.0), known)
}

fn follow(reader: &mut Reader, now: Time, rng: &mut ChaCha8Rng) {
    if reader.has.is_some() {
        return;
    }
    if reader.pull.is_some_and(|at| now >= at) {
        reader.pull = None;
        // A pull fails as often as a read.
        if !rng.random_bool(READ_LOSS) {
            reader.has = Some(now);
        }
    }
    if now < reader.next {
        return;
    }
    if !reader.is_cut && !rng.random_bool(READ_LOSS) {
        reader.has = Some(now);
    } else {
        // A read that fails takes its whole timeout before the next begins.
        let timeout = SECOND * 7;
        reader.next = now + timeout + reader.backoff.mul_f64(rng.random_range(0.5..1.5));
        reader.backoff = (reader.backoff * 2).min(SECOND * 4);
    }
}

/// Bytes while a whole zone is lost, and the time until everybody knows.
pub fn zone_loss(size: usize) -> Vec<Figure> {
    let mut net = net(size, 3);
    net.run(10 * SECOND);
    let zone = net.nodes[0].swim.me().zone.clone();
    let gone: Vec<usize> = (0..size)
        .filter(|i| net.nodes[*i].swim.me().zone == zone)
        .collect();
    for index in &gone {
        net.nodes[*index].is_up = false;
    }
    let start = net.now;
    let mut peak: f64 = 0.0;
    let left = size - gone.len();
    let all = |net: &Net| {
        gone.iter()
            .all(|g| net.count_observers(*g, Status::Dead) == left)
    };
    while !all(&net) && net.now < start + 120 * SECOND {
        let before: Vec<u64> = net.nodes.iter().map(|n| n.sent_bytes).collect();
        net.run(SECOND);
        let sent = net.nodes.iter().zip(&before).map(|(n, b)| n.sent_bytes - b);
        peak = peak.max(sent.sum::<u64>() as f64 / left as f64);
    }
    let time = (net.now - start).as_secs_f64();
    vec![
        Figure::new("zone-loss-known", size, time, "s"),
        Figure::new("zone-loss-peak-sent", size, peak, "bytes/s"),
    ]
}
