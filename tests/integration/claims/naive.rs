//! Compares the streams with `claim::memory`: one daemon, no faults, every verdict and answer.

use std::time::{Duration, UNIX_EPOCH};

use cyclamenrill::claim::memory::Memory;
use cyclamenrill::claim::stream::{Action, Event, Fetch, Now, Stream};
use cyclamenrill::claim::writer::Receipt;
use cyclamenrill::claim::{Claim, Coordinator, Outcome, StageResult, Verdict};
use cyclamenrill::platform::{Page, Record};
use cyclamenrill::{id, settings};
use indexmap::IndexMap;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const EPOCH: Duration = Duration::from_secs(1_700_000_000);

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Op {
    Ask {
        key: u128,
        body: u8,
    },
    /// Ends one of the requests that run.
    Settle {
        which: usize,
        how: u8,
    },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0..3_u128, 0..10_u8).prop_map(|(key, body)| Op::Ask { key, body: body / 9 }),
        2 => (0..4_usize, 0..4_u8).prop_map(|(which, how)| Op::Settle { which, how }),
    ]
}

/// A stream whose log answers at once.
struct Instant {
    stream: Stream,
    now: Duration,
    records: Vec<Vec<u8>>,
    reading: Option<id::Offset>,
    pending: Vec<Action>,
    verdicts: IndexMap<id::Request, Verdict>,
}

impl Instant {
    fn new() -> Self {
        let mut instant = Self {
            stream: Stream::new("d".into(), &settings::Claims::default()),
            now: Duration::ZERO,
            records: Vec::new(),
            reading: None,
            pending: Vec::new(),
            verdicts: IndexMap::new(),
        };
        instant.settle_down(Event::Role {
            writer: true,
            rate: 1e9,
        });
        instant
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        let now = Now {
            mono: self.now,
            wall: UNIX_EPOCH + EPOCH + self.now,
        };
        self.stream.step(event, now)
    }

    fn page(&self, from: id::Offset) -> Page {
        let records = (0..)
            .zip(&self.records)
            .filter(|(offset, _)| *offset >= from);
        Page {
            first: 0,
            end: self.records.len() as u64,
            records: records
                .map(|(offset, body)| Record {
                    offset,
                    body: body.clone(),
                })
                .collect(),
        }
    }

    fn act(&mut self, action: Action) -> Vec<Action> {
        match action {
            Action::Append(body) => {
                self.records.push(body);
                self.step(Event::Appended(Receipt::Done))
            }
            Action::Read(from, _) => {
                self.reading = Some(from);
                Vec::new()
            }
            Action::Fetch(offset) => {
                let body = self.records[usize::try_from(offset).unwrap()].clone();
                self.step(Event::Fetched(offset, Fetch::Record(body)))
            }
            Action::Decide(request, verdict, _) => {
                self.verdicts.insert(request, verdict);
                Vec::new()
            }
            Action::Durable(_) => Vec::new(),
        }
    }

    /// Takes an event and lets time pass until nothing more comes of it.
    fn settle_down(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.pending);
        actions.extend(self.step(event));
        for _ in 0..8 {
            while let Some(action) = actions.pop() {
                actions.extend(self.act(action));
            }
            if let Some(from) = self.reading.take() {
                let page = self.page(from);
                actions.extend(self.step(Event::Read(Some(page))));
            }
            self.now += Duration::from_millis(1);
            actions.extend(self.step(Event::Wake));
        }
        self.pending = actions;
    }
}

/// The in-memory coordinator, with the verdicts that it gave.
#[derive(Default)]
struct Reference {
    coordinator: Memory,
    replies: IndexMap<id::Request, flume::Receiver<Verdict>>,
    verdicts: IndexMap<id::Request, Verdict>,
}

impl Reference {
    fn claim(&mut self, claim: Claim) {
        let (tx, rx) = flume::bounded(1);
        self.replies.insert(claim.request, rx);
        self.coordinator.claim(claim, tx);
        self.collect();
    }

    fn collect(&mut self) {
        for (request, reply) in &self.replies {
            if let Ok(verdict) = reply.try_recv() {
                self.verdicts.insert(*request, verdict);
            }
        }
    }
}

fn claim(number: u128, key: u128, body: u8) -> Claim {
    let ms = u64::try_from(EPOCH.as_millis()).unwrap();
    let mut random = [0; 10];
    random[9] = u8::try_from(key).unwrap();
    let key = uuid::Builder::from_unix_timestamp_millis(ms, &random).into_uuid();
    Claim {
        workspace: "w".into(),
        key: key.to_string().into(),
        digest: body.to_string().into(),
        request: uuid::Uuid::from_u128(number + 1),
        issued: None,
        remaining: Duration::from_secs(3600),
    }
}

fn outcome(how: u8, number: usize) -> Outcome {
    match how {
        0 => Outcome::Answered(number.to_string().into()),
        1 => Outcome::Partial(vec![StageResult {
            stage: "s".into(),
            body: number.to_string().into(),
        }]),
        2 => Outcome::Unknown,
        _ => Outcome::Released,
    }
}

fn sorted(verdicts: &IndexMap<id::Request, Verdict>) -> Vec<(id::Request, Verdict)> {
    let mut sorted: Vec<_> = verdicts.iter().map(|(r, v)| (*r, v.clone())).collect();
    sorted.sort_by_key(|(request, _)| *request);
    sorted
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn stream_agrees_with_naive(ops in prop::collection::vec(op(), 1..24)) {
        let mut instant = Instant::new();
        let mut reference = Reference::default();
        let mut claims: IndexMap<id::Request, Claim> = IndexMap::new();
        let mut settled: Vec<id::Request> = Vec::new();
        for (number, op) in ops.into_iter().enumerate() {
            match op {
                Op::Ask { key, body } => {
                    let claim = claim(number as u128, key, body);
                    claims.insert(claim.request, claim.clone());
                    reference.claim(claim.clone());
                    instant.settle_down(Event::Claim(claim, "d".into()));
                }
                Op::Settle { which, how } => {
                    let granted = |r: &id::Request| reference.verdicts.get(r) == Some(&Verdict::Granted);
                    let running: Vec<id::Request> = claims.keys().copied()
                        .filter(|r| granted(r) && !settled.contains(r)).collect();
                    if running.is_empty() { continue; }
                    let request = running[which % running.len()];
                    settled.push(request);
                    let outcome = outcome(how, number);
                    reference.coordinator.settle(request, outcome.clone());
                    reference.collect();
                    instant.settle_down(Event::Settle(Box::new(claims[&request].clone()), outcome));
                }
            }
            prop_assert_eq!(sorted(&instant.verdicts), sorted(&reference.verdicts));
        }
    }
}
