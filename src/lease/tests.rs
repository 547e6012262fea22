//! Tests of leases under seeded schedules of pauses, outages, lost answers and late appends.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::client::{Client, HOLDER_SHARE, SUCCESSOR_SHARE, Timing};
use super::fold::Fold;
use super::record::{Body, Phase, Plan, Record, record};
use crate::clock::Time;
use crate::{id, platform};

const SECOND: Time = Duration::from_secs(1);
const STEP: Time = Duration::from_millis(100);
const DURATION: Duration = Duration::from_secs(15);

/// A daemon whose clock drifts.
struct Daemon {
    client: Client,
    fold: Fold,
    rate: f64,
    paused_until: Time,
    disconnected_until: Time,
}

impl Daemon {
    fn new(index: usize, rate: f64, timing: Timing) -> Self {
        Self {
            client: Client::new("zone/a".into(), format!("d{index}").into(), timing),
            fold: Fold::new(),
            rate,
            paused_until: Time::ZERO,
            disconnected_until: Time::ZERO,
        }
    }

    fn clock(&self, now: Time) -> Time {
        now.mul_f64(self.rate)
    }

    fn read(&mut self, stream: &[platform::Record], now: Time) {
        let first = stream.first().map_or(0, |r| r.offset);
        let from = self.fold.next_offset().max(first) - first;
        let page = platform::Page {
            first,
            end: first + stream.len() as u64,
            records: stream[from as usize..].to_vec(),
        };
        let clock = self.clock(now);
        for step in self.fold.apply_page(&page) {
            self.client.on_folded(&step, clock);
        }
    }
}

/// Observations of a simulation.
#[derive(Debug, Default, PartialEq)]
struct Outcome {
    /// Steps with more than one valid holder.
    overlaps: usize,
    /// Steps with one valid holder.
    held: usize,
    /// Fencing tokens in the order in which they became valid.
    fences: Vec<id::Fence>,
}

struct Simulation {
    daemons: Vec<Daemon>,
    stream: Vec<platform::Record>,
    late: Vec<(Time, Record)>,
    outage_until: Time,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

impl Simulation {
    fn new(seed: u64, timing: Timing) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let daemons = (0..4)
            .map(|i| Daemon::new(i, rng.random_range(0.99..1.01), timing))
            .collect();
        Self {
            daemons,
            stream: Vec::new(),
            late: Vec::new(),
            outage_until: Time::ZERO,
            rng,
            outcome: Outcome::default(),
        }
    }

    fn push(&mut self, record: &Record) {
        let offset = self.stream.len() as u64;
        let body = serde_json::to_vec(record).unwrap();
        self.stream.push(platform::Record { offset, body });
    }

    fn disturb(&mut self, now: Time) {
        let index = self.rng.random_range(0..self.daemons.len());
        let length = SECOND.mul_f64(self.rng.random_range(1.0..40.0));
        if self.rng.random_bool(0.004) {
            self.daemons[index].paused_until = now + length;
        }
        if self.rng.random_bool(0.004) {
            self.daemons[index].disconnected_until = now + length;
        }
        if self.rng.random_bool(0.001) {
            self.outage_until = now + length;
        }
    }

    fn turn(&mut self, index: usize, now: Time) {
        let is_down = now < self.outage_until;
        let daemon = &mut self.daemons[index];
        if now < daemon.paused_until {
            return;
        }
        let is_disconnected = is_down || now < daemon.disconnected_until;
        if !is_disconnected && self.rng.random_bool(0.7) {
            daemon.read(&self.stream, now);
        }
        let clock = daemon.clock(now);
        let delay = SECOND * index as u32;
        let Some(record) = daemon
            .client
            .tick(&daemon.fold, !is_disconnected, delay, clock)
        else {
            return;
        };
        match self.rng.random_range(0..10) {
            _ if is_disconnected => {}
            0 => {}
            1 => {
                let late = now + SECOND.mul_f64(self.rng.random_range(0.1..30.0));
                self.late.push((late, record));
            }
            _ => self.push(&record),
        }
    }

    fn observe(&mut self, now: Time) {
        let valid: Vec<id::Fence> = self
            .daemons
            .iter()
            .filter_map(|d| d.client.fence(d.clock(now), Duration::ZERO))
            .collect();
        self.outcome.held += usize::from(valid.len() == 1);
        self.outcome.overlaps += usize::from(valid.len() > 1);
        for fence in valid {
            if self.outcome.fences.last() != Some(&fence) {
                self.outcome.fences.push(fence);
            }
        }
    }

    fn run(mut self, time: Time) -> Outcome {
        let mut now = Time::ZERO;
        while now < time {
            now += STEP;
            self.disturb(now);
            let (due, late) = self.late.drain(..).partition(|(at, _)| *at <= now);
            self.late = late;
            for (_, record) in Vec::from_iter(due) as Vec<(Time, Record)> {
                self.push(&record);
            }
            for index in 0..self.daemons.len() {
                self.turn(index, now);
            }
            self.observe(now);
        }
        self.outcome
    }
}

#[test]
fn lease_has_one_holder_at_most() {
    let mut successions = 0;
    for seed in 0..60 {
        let outcome = Simulation::new(seed, Timing::new(DURATION)).run(600 * SECOND);
        assert_eq!(outcome.overlaps, 0, "seed {seed}");
        assert!(outcome.held > 1_000, "seed {seed}: {}", outcome.held);
        let is_rising = outcome.fences.windows(2).all(|pair| pair[0] < pair[1]);
        assert!(is_rising, "seed {seed}: {:?}", outcome.fences);
        successions += outcome.fences.len();
    }
    assert!(successions > 100, "the schedules change the holder");
}

#[test]
fn successor_without_wait_causes_overlap() {
    let timing = Timing {
        duration: DURATION,
        holder_share: HOLDER_SHARE,
        successor_share: 0.0,
    };
    let has_overlap = |seed| Simulation::new(seed, timing).run(600 * SECOND).overlaps > 0;
    assert!((0..10).any(has_overlap));
}

#[test]
fn holder_without_drift_allowance_causes_overlap() {
    let timing = Timing {
        duration: DURATION,
        holder_share: 1.5,
        successor_share: SUCCESSOR_SHARE,
    };
    let has_overlap = |seed| Simulation::new(seed, timing).run(600 * SECOND).overlaps > 0;
    assert!((0..10).any(has_overlap));
}

fn page(records: &[Record]) -> platform::Page {
    platform::Page {
        first: 0,
        end: records.len() as u64,
        records: (0..)
            .zip(records)
            .map(|(offset, r)| platform::Record {
                offset,
                body: serde_json::to_vec(r).unwrap(),
            })
            .collect(),
    }
}

/// Creates a client that acquired the lease with the record at offset 0, sent at second 20.
fn holder() -> (Client, Fold, Vec<Record>) {
    let mut client = Client::new("zone/a".into(), "a".into(), Timing::new(DURATION));
    let mut fold = Fold::new();
    assert!(
        client
            .tick(&fold, true, Duration::ZERO, Time::ZERO)
            .is_none()
    );
    let acquire = client
        .tick(&fold, true, Duration::ZERO, 20 * SECOND)
        .unwrap();
    let records = vec![acquire];
    for step in fold.apply_page(&page(&records)) {
        client.on_folded(&step, 24 * SECOND);
    }
    (client, fold, records)
}

#[test]
fn lease_is_valid_from_before_the_append() {
    let (client, ..) = holder();
    let expiry = 20 * SECOND + DURATION.mul_f64(HOLDER_SHARE);
    assert!(client.is_valid(expiry - STEP));
    assert!(!client.is_valid(expiry), "though it was read back at 24 s");
    assert_eq!(client.fence(expiry - 2 * SECOND, 3 * SECOND), None);
}

#[test]
fn paused_holder_loses_the_lease() {
    let (mut client, fold, _) = holder();
    assert!(!client.is_valid(300 * SECOND));
    let record = client.tick(&fold, true, Duration::ZERO, 300 * SECOND);
    assert!(matches!(record.unwrap().body, Body::Acquire(_)));
    assert!(!client.is_valid(300 * SECOND), "it must read back first");
}

#[test]
fn lease_is_not_acquired_while_log_is_down() {
    let (_, fold, _) = holder();
    let mut other = Client::new("zone/a".into(), "b".into(), Timing::new(DURATION));
    for second in 0..600 {
        let now = second * SECOND;
        assert!(other.tick(&fold, false, Duration::ZERO, now).is_none());
    }
}

#[test]
fn renewal_unseen_by_successor_rejects_its_acquisition() {
    let (mut client, fold, mut records) = holder();
    let mut other = Client::new("zone/a".into(), "b".into(), Timing::new(DURATION));
    assert!(
        other
            .tick(&fold, true, Duration::ZERO, Time::ZERO)
            .is_none()
    );
    let acquisition = other
        .tick(&fold, true, Duration::ZERO, 16 * SECOND)
        .unwrap();
    let renewal = client
        .tick(&fold, true, Duration::ZERO, 26 * SECOND)
        .unwrap();
    records.extend([renewal, acquisition]);
    let mut fold = Fold::new();
    let steps = fold.apply_page(&page(&records));
    let accepted: Vec<bool> = steps.iter().map(|s| s.is_accepted).collect();
    assert_eq!(accepted, [true, true, false]);
    assert_eq!(fold.lease("zone/a").unwrap().holder, Some("a".into()));
}

#[test]
fn released_lease_is_acquired_at_once() {
    let (mut client, _, mut records) = holder();
    records.push(client.release().unwrap());
    assert!(!client.is_valid(21 * SECOND));
    let mut fold = Fold::new();
    let mut other = Client::new("zone/a".into(), "b".into(), Timing::new(DURATION));
    for step in fold.apply_page(&page(&records)) {
        other.on_folded(&step, SECOND);
    }
    assert!(other.tick(&fold, true, Duration::ZERO, SECOND).is_some());
}

fn plan(fence: id::Fence) -> Body {
    Body::Plan(Plan {
        lease: "zone/a".into(),
        fence,
        pool: "menu-model".into(),
        target: "v2".into(),
        previous: "v1".into(),
        phase: Phase::Running,
        reason: "the window began".into(),
    })
}

#[test]
fn plan_requires_the_lease() {
    let (_, _, mut records) = holder();
    records.push(record("a", plan(0)));
    records.push(record("b", plan(0)));
    records.push(record("a", plan(7)));
    let mut fold = Fold::new();
    let accepted: Vec<bool> = fold
        .apply_page(&page(&records))
        .iter()
        .map(|s| s.is_accepted)
        .collect();
    assert_eq!(accepted, [true, true, false, false]);
    assert_eq!(
        fold.plan("zone/a", "menu-model").unwrap().phase,
        Phase::Running
    );
}

#[test]
fn folds_from_any_offset_agree_after_a_renewal() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed, Timing::new(DURATION));
        simulation.outcome = Outcome::default();
        let mut now = Time::ZERO;
        while now < 200 * SECOND {
            now += STEP;
            for index in 0..4 {
                simulation.turn(index, now);
            }
            let (due, late) = simulation.late.drain(..).partition(|(at, _)| *at <= now);
            simulation.late = late;
            for (_, record) in Vec::from_iter(due) as Vec<(Time, Record)> {
                simulation.push(&record);
            }
        }
        let mut whole = Fold::new();
        let records = &simulation.stream;
        whole.apply_page(&platform::Page {
            first: 0,
            end: records.len() as u64,
            records: records.clone(),
        });
        for start in 0..records.len() - 4 {
            let mut part = Fold::new();
            part.apply_page(&platform::Page {
                first: start as u64,
                end: records.len() as u64,
                records: records[start..].to_vec(),
            });
            let (partial, complete) = (part.lease("zone/a"), whole.lease("zone/a"));
            assert_eq!(partial, complete, "seed {seed}, start {start}");
        }
    }
}
