//! A deterministic world: daemons with their claim streams, a log, callers and endpoints, all
//! driven by one queue of events over virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::{Duration, UNIX_EPOCH};

use cyclamenrill::claim::in_doubt::{Decision, Writers};
use cyclamenrill::claim::stream::{Action, Event, Fetch, Now, Stream};
use cyclamenrill::claim::writer::Receipt;
use cyclamenrill::claim::{Claim, Outcome, StageResult, Verdict};
use cyclamenrill::platform::{Page, Record};
use cyclamenrill::{id, settings};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::script::{Append, DAEMONS, KEYS, Run, Step, What};

/// How long a caller waits.
pub const DEADLINE: Duration = Duration::from_secs(3);
/// How long a daemon waits for the preferred writer.
const WRITER_PATIENCE: Duration = Duration::from_secs(1);
/// When virtual time begins, after the Unix epoch.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);
/// How long the log keeps a record.
pub const RETENTION: Duration = Duration::from_secs(300);
/// How long a key is remembered.
pub const WINDOW: Duration = Duration::from_secs(600);
/// How far the wall clocks of daemons are ahead at most.
pub const MAX_SKEW: Duration = Duration::from_secs(20);
/// Quiet time before the faults end, and before every key is asked for once more.
const SETTLING: Duration = Duration::from_secs(60);

/// What a caller is told at last.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// Its own run gave this.
    Ran(String),
    /// An earlier run gave this.
    Got(String),
    NotRun,
    Unknown,
    Conflict,
}

/// One request of a caller, as the world knows it.
#[derive(Clone, Debug)]
pub struct Op {
    pub key: usize,
    pub other_body: bool,
    pub called: u64,
    pub told: Option<(u64, Told)>,
    pub is_probe: bool,
}

/// What truly happened.
#[derive(Debug, Default)]
pub struct Truth {
    pub ops: IndexMap<id::Request, Op>,
    /// Each execution: key, request and its result.
    pub runs: Vec<(usize, id::Request, String)>,
    /// Whether something happened after which a key may rightly stay unknown.
    pub is_lossy: bool,
    /// When each key was issued, and when the history ended.
    pub issued: Vec<Duration>,
    pub end: Duration,
    pub events: u64,
}

/// Options of a world.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    pub seed: u64,
    /// The fault of an executor that sends again after a byte was sent.
    pub retries_after_byte: bool,
    /// Whether the world is free of faults, so that it can be compared with `claim::memory`.
    pub is_calm: bool,
}

#[derive(Debug)]
enum Happening {
    Script(usize),
    Effect(Vec<u8>),
    Deliver(usize, u64, Box<Event>),
    Snapshot(usize, u64, id::Offset, Duration),
    Wake(usize, u64),
    Message(usize, Box<Claim>, usize, u64),
    /// A verdict reaches the daemon that has the caller; the address is that of its giver.
    Told(usize, u64, id::Request, Decision, Option<String>),
    Impatient(usize, u64, id::Request),
    GiveUp(usize, u64, id::Request),
    Dispatch(usize, u64, id::Request),
    Return(usize, u64, id::Request, Run, bool),
    Heal,
    Probe,
}

#[derive(Debug)]
struct Queued {
    at: Duration,
    order: u64,
    what: Happening,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct Awaiting {
    claim: Claim,
    due: Duration,
    writers: Writers,
}

struct Daemon {
    name: id::Daemon,
    generation: u64,
    stream: Stream,
    skew: Duration,
    paused: Duration,
    cut: Duration,
    missing: Duration,
    wake: Option<Duration>,
    awaiting: IndexMap<id::Request, Awaiting>,
    granted: IndexMap<id::Request, (Claim, Duration)>,
    /// Requests of other daemons that are decided here.
    hosted: IndexMap<id::Request, (usize, u64)>,
}

/// A world in which one script plays.
pub struct World<'a> {
    options: Options,
    script: &'a [Step],
    rng: ChaCha8Rng,
    now: Duration,
    order: u64,
    queue: BinaryHeap<Reverse<Queued>>,
    daemons: Vec<Daemon>,
    records: Vec<(Duration, Vec<u8>)>,
    first: usize,
    outage: Duration,
    stale: Duration,
    appends: Vec<Append>,
    runs: Vec<Run>,
    keys: Vec<id::Key>,
    born: u64,
    truth: Truth,
}

impl<'a> World<'a> {
    /// Makes a world.
    pub fn new(script: &'a [Step], options: Options) -> Self {
        let mut world = Self {
            options,
            script,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            now: Duration::ZERO,
            order: 0,
            queue: BinaryHeap::new(),
            daemons: Vec::new(),
            records: Vec::new(),
            first: 0,
            outage: Duration::ZERO,
            stale: Duration::ZERO,
            appends: Vec::new(),
            runs: Vec::new(),
            keys: Vec::new(),
            born: 0,
            truth: Truth::default(),
        };
        for _ in 0..KEYS {
            let random: [u8; 10] = world.rng.random();
            let ms = u64::try_from(EPOCH.as_millis()).unwrap();
            let key = uuid::Builder::from_unix_timestamp_millis(ms, &random).into_uuid();
            world.keys.push(key.to_string().into());
            world.truth.issued.push(Duration::ZERO);
        }
        for index in 0..DAEMONS {
            let daemon = world.daemon();
            world.daemons.push(daemon);
            world.introduce(index);
        }
        world
    }

    fn daemon(&mut self) -> Daemon {
        self.born += 1;
        let name: id::Daemon = format!("d{}", self.born).into();
        let claims = settings::Claims {
            streams: 1,
            window_ms: u64::try_from(WINDOW.as_millis()).unwrap(),
            retention_ms: u64::try_from(RETENTION.as_millis()).unwrap(),
            max_outcome_bytes: 1024,
        };
        Daemon {
            generation: self.born,
            stream: Stream::new(name.clone(), &claims),
            skew: self.rng.random_range(Duration::ZERO..MAX_SKEW),
            paused: Duration::ZERO,
            cut: Duration::ZERO,
            missing: Duration::ZERO,
            wake: None,
            awaiting: IndexMap::new(),
            granted: IndexMap::new(),
            hosted: IndexMap::new(),
            name,
        }
    }

    fn at(&mut self, at: Duration, what: Happening) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Queued { at, order, what }));
    }

    fn deliver_at(&mut self, at: Duration, daemon: usize, event: Event) {
        let generation = self.daemons[daemon].generation;
        self.at(at, Happening::Deliver(daemon, generation, Box::new(event)));
    }

    fn latency(&mut self) -> Duration {
        let most = if self.options.is_calm { 5 } else { 40 };
        Duration::from_micros(self.rng.random_range(500..most * 1000))
    }

    /// Plays the script, lets everything settle, asks for every key once more, and returns
    /// what truly happened.
    pub fn play(mut self) -> Truth {
        let mut at = Duration::ZERO;
        for (index, step) in self.script.iter().enumerate() {
            at += step.after;
            self.at(at, Happening::Script(index));
        }
        self.at(at + SETTLING, Happening::Heal);
        self.at(at + 2 * SETTLING, Happening::Probe);
        let end = at + 2 * SETTLING + 4 * DEADLINE;
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.truth.events += 1;
            self.happen(next.what);
        }
        self.truth.end = self.now;
        self.truth
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Script(index) => self.step(self.script[index].what),
            Happening::Effect(body) => self.records.push((self.now, body)),
            Happening::Deliver(daemon, generation, event) => {
                self.deliver(daemon, generation, event);
            }
            Happening::Snapshot(daemon, generation, from, until) => {
                self.snapshot(daemon, generation, from, until);
            }
            Happening::Wake(daemon, generation) => self.wake(daemon, generation),
            Happening::Message(daemon, claim, from, generation) => {
                self.message(daemon, *claim, from, generation);
            }
            Happening::Told(daemon, generation, request, decision, by) => {
                if self.lives(daemon, generation) {
                    self.told(daemon, request, decision, by);
                }
            }
            Happening::Impatient(daemon, generation, request) => {
                self.impatient(daemon, generation, request);
            }
            Happening::GiveUp(daemon, generation, request) => {
                self.give_up(daemon, generation, request);
            }
            Happening::Dispatch(daemon, generation, request) => {
                self.dispatch(daemon, generation, request);
            }
            Happening::Return(daemon, generation, request, run, has_run) => {
                self.returned(daemon, generation, request, run, has_run);
            }
            Happening::Heal => self.heal(),
            Happening::Probe => self.probe(),
        }
    }

    fn lives(&self, daemon: usize, generation: u64) -> bool {
        self.daemons[daemon].generation == generation
    }

    /// Gives an event to a daemon; a paused one takes it when it goes on.
    fn deliver(&mut self, daemon: usize, generation: u64, event: Box<Event>) {
        if !self.lives(daemon, generation) {
            return;
        }
        let paused = self.daemons[daemon].paused;
        if self.now < paused {
            self.at(paused, Happening::Deliver(daemon, generation, event));
        } else {
            self.step_stream(daemon, *event);
        }
    }

    /// Puts off what a paused daemon would do; true when it lives and is not paused.
    fn runs(&mut self, daemon: usize, generation: u64, again: Happening) -> bool {
        if !self.lives(daemon, generation) {
            return false;
        }
        let paused = self.daemons[daemon].paused;
        if self.now < paused {
            self.at(paused, again);
            return false;
        }
        true
    }

    fn step_stream(&mut self, index: usize, event: Event) {
        let daemon = &mut self.daemons[index];
        let now = Now {
            mono: self.now,
            wall: UNIX_EPOCH + EPOCH + self.now + daemon.skew,
        };
        let generation = daemon.generation;
        let actions = daemon.stream.step(event, now);
        for action in actions {
            self.act(index, generation, action);
        }
        let daemon = &mut self.daemons[index];
        if let Some(wake) = daemon.stream.next_wake() {
            let wake = wake.max(self.now + Duration::from_micros(100));
            if daemon.wake.is_none_or(|at| wake < at) {
                daemon.wake = Some(wake);
                self.at(wake, Happening::Wake(index, generation));
            }
        }
    }

    fn wake(&mut self, daemon: usize, generation: u64) {
        if self.runs(daemon, generation, Happening::Wake(daemon, generation)) {
            if self.daemons[daemon].wake.is_some_and(|at| at <= self.now) {
                self.daemons[daemon].wake = None;
            }
            self.step_stream(daemon, Event::Wake);
        }
    }

    fn act(&mut self, daemon: usize, generation: u64, action: Action) {
        match action {
            Action::Append(body) => self.append(daemon, body),
            Action::Read(from, wait) => {
                let at = self.now + self.latency();
                self.at(at, Happening::Snapshot(daemon, generation, from, at + wait));
            }
            Action::Fetch(offset) => {
                let fetch = self.fetch(offset);
                let at = self.now + self.latency();
                self.deliver_at(at, daemon, Event::Fetched(offset, fetch));
            }
            Action::Decide(request, verdict, is_in_doubt) => {
                self.decide(
                    daemon,
                    request,
                    Decision {
                        verdict,
                        is_in_doubt,
                    },
                );
            }
            Action::Durable(_) => {}
        }
    }
}

mod daemon;
mod log;
