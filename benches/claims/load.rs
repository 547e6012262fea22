//! One claim stream under load, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, UNIX_EPOCH};

use cyclamenrill::claim::stream::{Action, Event, Now, Stream};
use cyclamenrill::claim::writer::Receipt;
use cyclamenrill::claim::{Claim, Outcome, Verdict};
use cyclamenrill::platform::{Page, Record};
use cyclamenrill::{id, settings};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// One way from the preferred writer to the log and back, each.
pub const ONE_WAY: Duration = Duration::from_millis(5);
/// How long a granted request runs.
const RUN: Duration = Duration::from_millis(300);
/// Virtual time for which claims arrive.
pub const SPAN: Duration = Duration::from_secs(30);
const EPOCH: Duration = Duration::from_secs(1_700_000_000);

/// What a stream did under load.
#[derive(serde::Serialize)]
pub struct Figures {
    /// Claims a second that were decided.
    pub claims: f64,
    /// Appends a second.
    pub appends: f64,
    /// Entries in a group, on average.
    pub group: f64,
    /// Milliseconds from the question to the verdict.
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Claims that were refused because they waited for too long.
    pub refused: u64,
    /// Claims that the state machine decides in a second of processor time.
    pub claims_per_cpu_second: f64,
}

enum What {
    Arrive,
    Land(Vec<u8>),
    Deliver(Event),
    Read(id::Offset, Duration),
    End(Box<Claim>),
    Wake,
}

struct Load {
    stream: Stream,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    items: IndexMap<u64, What>,
    order: u64,
    now: Duration,
    records: Vec<Vec<u8>>,
    waiting: IndexMap<id::Request, (Claim, Duration)>,
    entries: u64,
    refused: u64,
    latency: Histogram<u64>,
    rng: ChaCha8Rng,
    gap: Exp<f64>,
}

impl Load {
    fn at(&mut self, at: Duration, what: What) {
        self.order += 1;
        self.items.insert(self.order, what);
        self.queue.push(Reverse((at, self.order)));
    }

    fn new_claim(&mut self) -> Claim {
        let ms = u64::try_from((EPOCH + self.now).as_millis()).unwrap();
        let key = uuid::Builder::from_unix_timestamp_millis(ms, &self.rng.random()).into_uuid();
        Claim {
            workspace: "workspace".into(),
            key: key.to_string().into(),
            digest: "d".into(),
            request: uuid::Builder::from_random_bytes(self.rng.random()).into_uuid(),
            issued: None,
            remaining: Duration::from_secs(3),
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive => {
                let claim = self.new_claim();
                self.waiting
                    .insert(claim.request, (claim.clone(), self.now));
                self.step(Event::Claim(claim, "d".into()));
                let gap = Duration::from_secs_f64(self.gap.sample(&mut self.rng));
                if self.now + gap < SPAN {
                    self.at(self.now + gap, What::Arrive);
                }
            }
            What::Land(body) => {
                self.records.push(body);
                let done = Event::Appended(Receipt::Done);
                self.at(self.now + ONE_WAY, What::Deliver(done));
            }
            What::Deliver(event) => self.step(event),
            What::Read(from, until) => self.read(from, until),
            What::End(claim) => {
                let outcome = Outcome::Answered("\"answer\"".into());
                self.step(Event::Settle(claim, outcome));
            }
            What::Wake => self.step(Event::Wake),
        }
    }

    fn read(&mut self, from: id::Offset, until: Duration) {
        let start = usize::try_from(from).unwrap();
        if start >= self.records.len() && self.now < until {
            return self.at(self.now + Duration::from_millis(1), What::Read(from, until));
        }
        let records = self.records.iter().enumerate().skip(start);
        let page = Page {
            first: 0,
            end: self.records.len() as u64,
            records: records
                .map(|(index, body)| Record {
                    offset: index as u64,
                    body: body.clone(),
                })
                .collect(),
        };
        self.at(self.now + ONE_WAY, What::Deliver(Event::Read(Some(page))));
    }

    fn step(&mut self, event: Event) {
        let now = Now {
            mono: self.now,
            wall: UNIX_EPOCH + EPOCH + self.now,
        };
        for action in self.stream.step(event, now) {
            match action {
                Action::Append(body) => {
                    let text = String::from_utf8_lossy(&body);
                    self.entries += text.matches("\"request\"").count() as u64;
                    self.at(self.now + ONE_WAY, What::Land(body));
                }
                Action::Read(from, wait) => {
                    let at = self.now + ONE_WAY;
                    self.at(at, What::Read(from, at + wait));
                }
                Action::Decide(request, verdict, _) => self.decided(request, &verdict),
                Action::Fetch(_) | Action::Durable(_) => {}
            }
        }
        if let Some(wake) = self.stream.next_wake() {
            let wake = wake.max(self.now + Duration::from_micros(100));
            if wake < SPAN * 2 {
                self.at(wake, What::Wake);
            }
        }
    }

    fn decided(&mut self, request: id::Request, verdict: &Verdict) {
        let (claim, since) = self.waiting.swap_remove(&request).unwrap();
        let waited = u64::try_from((self.now - since).as_micros()).unwrap();
        if *verdict == Verdict::Granted {
            self.latency.record(waited.max(1)).unwrap();
            self.at(self.now + RUN, What::End(Box::new(claim)));
        } else {
            self.refused += 1;
        }
    }
}

/// Puts a stream that appends `rate` groups a second under `claims` claims a second.
pub fn run(claims: f64, rate: f64) -> Figures {
    let mut load = Load {
        stream: Stream::new("d".into(), &settings::Claims::default()),
        queue: BinaryHeap::new(),
        items: IndexMap::new(),
        order: 0,
        now: Duration::ZERO,
        records: Vec::new(),
        waiting: IndexMap::new(),
        entries: 0,
        refused: 0,
        latency: Histogram::new(3).unwrap(),
        rng: ChaCha8Rng::seed_from_u64(1),
        gap: Exp::new(claims).unwrap(),
    };
    load.step(Event::Role { writer: true, rate });
    load.at(Duration::from_millis(50), What::Arrive);
    let begun = std::time::Instant::now();
    while let Some(Reverse((at, order))) = load.queue.pop() {
        if at > SPAN + RUN * 4 {
            break;
        }
        load.now = at;
        let what = load.items.swap_remove(&order).unwrap();
        load.happen(what);
    }
    let decided = load.latency.len() + load.refused;
    let millis = |q: f64| load.latency.value_at_quantile(q) as f64 / 1000.0;
    Figures {
        claims: decided as f64 / SPAN.as_secs_f64(),
        appends: load.records.len() as f64 / SPAN.as_secs_f64(),
        group: load.entries as f64 / load.records.len().max(1) as f64,
        p50_ms: millis(0.5),
        p99_ms: millis(0.99),
        refused: load.refused,
        claims_per_cpu_second: decided as f64 / begun.elapsed().as_secs_f64(),
    }
}
