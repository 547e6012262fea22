//! A small driver: real runs and policies on a virtual clock before endpoints with sampled
//! service times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use cyclamenrill::clock::Time;
use cyclamenrill::endpoint::{Answer, Call};
use cyclamenrill::pipeline::run::Run;
use cyclamenrill::pipeline::{Action, Event, Remainder};
use cyclamenrill::policy::{Observation, Pick, Policy};
use cyclamenrill::{endpoint, id};
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::deployment::{Arrival, Deployment, LOAD};
use super::report::Outcome;
use super::scenario::{Fault, Name};
use super::server::{Health, Server, Wire};

#[path = "calls.rs"]
mod calls;
#[path = "faults.rs"]
mod faults;
#[path = "requests.rs"]
mod requests;

/// Bytes a second of the regional link each way.
pub const LINK: f64 = 3_750_000.0;
/// How long the driver goes on after the last arrival.
const DRAIN: Duration = Duration::from_secs(10);
/// How often engines report load, and how late.
const REPORT: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(300));
/// How late lists of endpoints and news of leaving ones arrive.
const ROSTER: Duration = Duration::from_millis(1500);
/// How long an engine that crashed is gone.
const RESTART: Duration = Duration::from_secs(3);
/// How often a daemon asks its policy for waiting stages.
const TICK: Duration = Duration::from_millis(10);
/// How late a daemon may still send to a leaving endpoint.
const LEAVING: Duration = Duration::from_secs(3);
/// Chance that a call stalls, and the factor by which it is longer then.
const STALL: (f64, f64) = (0.015, 4.0);

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize),
    Claimed(usize, bool),
    CallIn(usize),
    CancelIn(usize),
    Served(usize),
    AnswerIn(usize, endpoint::Result<Answer>),
    Moved(usize, id::Attempt, Box<Remainder>, usize),
    MovedBack(usize, id::Attempt, Box<cyclamenrill::pipeline::Remote>),
    Recall(usize),
    Wake(usize),
    Tick,
    Report,
    Reported(Vec<(id::Endpoint, endpoint::Load)>),
    Cached(id::Endpoint, endpoint::CacheEvent),
    Roster,
    LeavingSeen(id::Endpoint),
    Fault(Fault),
    Restart(usize),
    Blamed(id::Digest),
}

/// One call that was sent.
#[derive(Debug)]
struct Sent {
    run: usize,
    server: usize,
    call: Call,
    pick: Pick,
    started: Option<Time>,
    spent: Duration,
    ended: bool,
    used: bool,
}

#[derive(Debug)]
struct Slot {
    run: Run,
    daemon: usize,
    arrival: usize,
    root: usize,
    /// The run that handed it over, and its attempt.
    parent: Option<(usize, id::Attempt)>,
    child: Option<usize>,
    wake: Option<Time>,
    finished: Option<(Time, bool)>,
}

/// Makes the policy of one daemon, by its number.
pub type Maker<'a> = &'a dyn Fn(&Deployment, usize) -> Box<dyn Policy>;

pub struct Driver<'a> {
    deployment: &'a Deployment,
    scenario: Name,
    arrivals: Vec<Arrival>,
    policies: Vec<Box<dyn Policy>>,
    lookup: Vec<IndexMap<id::Request, usize>>,
    runs: Vec<Slot>,
    servers: Vec<Server>,
    by_name: IndexMap<id::Endpoint, usize>,
    sent: Vec<Sent>,
    by_attempt: IndexMap<(usize, id::Attempt), usize>,
    wires: [Wire; 2],
    regions: Arc<IndexMap<id::Zone, id::Region>>,
    steps: BinaryHeap<Reverse<(Time, u64, usize)>>,
    payloads: Vec<Option<Step>>,
    now: Time,
    is_store_up: bool,
    blamed: IndexMap<id::Digest, u32>,
    resends: u32,
    rng: ChaCha8Rng,
    pub outcome: Outcome,
}

pub fn run(
    deployment: &Deployment,
    scenario: Name,
    arrivals: Vec<Arrival>,
    seed: u64,
    maker: Maker<'_>,
) -> Outcome {
    let mut driver = Driver::new(deployment, scenario, arrivals, seed, maker);
    driver.play();
    driver.close()
}

impl<'a> Driver<'a> {
    fn new(
        deployment: &'a Deployment,
        scenario: Name,
        arrivals: Vec<Arrival>,
        seed: u64,
        maker: Maker<'_>,
    ) -> Self {
        let zones = deployment.zones.iter();
        let regions = zones.map(|(z, r)| ((*z).into(), (*r).into())).collect();
        let daemons = deployment.daemons;
        let mut driver = Self {
            deployment,
            scenario,
            arrivals,
            policies: (0..daemons).map(|d| maker(deployment, d)).collect(),
            lookup: vec![IndexMap::new(); daemons],
            runs: Vec::new(),
            servers: Vec::new(),
            by_name: IndexMap::new(),
            sent: Vec::new(),
            by_attempt: IndexMap::new(),
            wires: [Wire::new(LINK), Wire::new(LINK)],
            regions: Arc::new(regions),
            steps: BinaryHeap::new(),
            payloads: Vec::new(),
            now: Duration::ZERO,
            is_store_up: true,
            blamed: IndexMap::new(),
            resends: 0,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            outcome: Outcome::default(),
        };
        for (index, pool) in deployment.pools.iter().enumerate() {
            for n in 0..pool.count {
                driver.add_server(&format!("{}-{n}", pool.name), index, n % 3);
            }
        }
        driver.send_roster();
        for n in 0..driver.arrivals.len() {
            driver.push(driver.arrivals[n].at, Step::Arrive(n));
        }
        for (at, fault) in scenario.faults() {
            driver.push(at, Step::Fault(fault));
        }
        driver.push(TICK, Step::Tick);
        driver.push(REPORT.0, Step::Report);
        driver
    }

    fn add_server(&mut self, name: &str, pool: usize, zone: usize) {
        let name: id::Endpoint = name.into();
        let slots = self.deployment.pools[pool].slots;
        self.by_name.insert(name.clone(), self.servers.len());
        self.servers.push(Server::new(name, pool, zone, slots));
    }

    fn push(&mut self, at: Time, step: Step) {
        let number = self.payloads.len();
        self.payloads.push(Some(step));
        self.steps.push(Reverse((at, number as u64, number)));
    }

    fn play(&mut self) {
        let end = LOAD + DRAIN;
        while let Some(Reverse((at, _, number))) = self.steps.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(step) = self.payloads[number].take() {
                self.step(step);
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(n) => self.arrive(n),
            Step::Claimed(run, is_up) => self.claimed(run, is_up),
            Step::CallIn(call) => self.call_in(call),
            Step::CancelIn(call) => self.cancel_in(call),
            Step::Served(call) => self.served(call),
            Step::AnswerIn(call, result) => self.answer_in(call, result),
            Step::Moved(run, attempt, rest, daemon) => self.moved(run, attempt, &rest, daemon),
            Step::MovedBack(run, attempt, remote) => {
                self.event(run, Event::RelocationEnded(attempt, *remote));
            }
            Step::Recall(run) => self.event(run, Event::CallerDisconnected),
            Step::Wake(run) => self.wake(run),
            Step::Tick => self.tick(),
            Step::Report => self.report(),
            Step::Reported(list) => self.reported(&list),
            Step::Cached(endpoint, cache) => {
                self.observe_all(&Observation::Cache { endpoint, cache });
            }
            Step::Roster => self.send_roster(),
            Step::LeavingSeen(endpoint) => self.observe_all(&Observation::Leaving(endpoint)),
            Step::Fault(fault) => self.fault(fault),
            Step::Restart(server) => self.servers[server].health = Health::Well,
            Step::Blamed(digest) => *self.blamed.entry(digest).or_default() += 1,
        }
    }

    fn observe_all(&mut self, observation: &Observation) {
        for daemon in 0..self.policies.len() {
            self.policies[daemon].observe(observation, self.now);
            self.drain(daemon);
        }
    }

    fn zone_of(&self, daemon: usize) -> usize {
        daemon % 3
    }

    fn region_of(&self, zone: usize) -> &'static str {
        self.deployment.zones[zone].1
    }

    fn add_run(
        &mut self,
        run: Run,
        daemon: usize,
        arrival: usize,
        parent: Option<(usize, id::Attempt)>,
    ) -> usize {
        let index = self.runs.len();
        let root = parent.map_or(index, |(p, _)| self.runs[p].root);
        self.lookup[daemon].insert(run.request().id, index);
        self.runs.push(Slot {
            run,
            daemon,
            arrival,
            root,
            parent,
            child: None,
            wake: None,
            finished: None,
        });
        index
    }

    fn event(&mut self, index: usize, event: Event) {
        let slot = &mut self.runs[index];
        let daemon = slot.daemon;
        let policy = self.policies[daemon].as_mut();
        let actions = slot.run.step(event, self.now, policy);
        for action in actions {
            self.act(index, action);
        }
        self.schedule(index);
        self.drain(daemon);
    }

    fn schedule(&mut self, index: usize) {
        let slot = &mut self.runs[index];
        let Some(at) = slot.run.next_wake() else {
            return;
        };
        if slot.run.is_done() || slot.wake.is_some_and(|w| w <= at && w > self.now) {
            return;
        }
        slot.wake = Some(at);
        self.push(at.max(self.now), Step::Wake(index));
    }

    fn wake(&mut self, index: usize) {
        let slot = &mut self.runs[index];
        slot.wake = None;
        if slot.run.next_wake().is_some_and(|at| at <= self.now) && !slot.run.is_done() {
            self.event(index, Event::Wake);
        } else {
            self.schedule(index);
        }
    }

    /// Lets waiting stages ask again.
    fn drain(&mut self, daemon: usize) {
        let mut tickets = self.policies[daemon].ready(self.now);
        while let Some(ticket) = tickets.pop() {
            let Some(index) = self.lookup[daemon].get(&ticket.request).copied() else {
                continue;
            };
            let slot = &mut self.runs[index];
            let policy = self.policies[daemon].as_mut();
            let actions = slot
                .run
                .step(Event::Ready(ticket.attempt), self.now, policy);
            for action in actions {
                self.act(index, action);
            }
            self.schedule(index);
            if tickets.is_empty() {
                tickets = self.policies[daemon].ready(self.now);
            }
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Claim(_) => self.claim(index),
            Action::Call(pick, call) => self.call(index, pick, *call),
            Action::Cancel(_, attempt) => {
                if let Some(call) = self.by_attempt.get(&(index, attempt)).copied() {
                    let from = self.zone_of(self.runs[index].daemon);
                    let to = self.servers[self.sent[call].server].zone;
                    let at = self.travel(from, to, 64);
                    self.push(at, Step::CancelIn(call));
                }
            }
            Action::Relocate(region, rest) => self.hand_over(index, &region, *rest),
            Action::CancelRelocation(_) => {
                if let Some(child) = self.runs[index].child {
                    self.push(self.now + Duration::from_millis(10), Step::Recall(child));
                }
            }
            Action::Finish(finish) => self.finish(index, &finish),
            Action::Blame(digest, _) => {
                self.push(self.now + REPORT.1, Step::Blamed(digest));
            }
            Action::Settle(_) | Action::Token(_) => {}
        }
    }

    fn close(mut self) -> Outcome {
        for index in 0..self.runs.len() {
            let slot = &self.runs[index];
            if slot.parent.is_some() {
                continue;
            }
            match slot.finished {
                None => self.outcome.broken.push("a request was never answered"),
                Some((at, is_answer)) => {
                    let arrival = &self.arrivals[slot.arrival];
                    let latency = at.saturating_sub(arrival.at);
                    let in_time = is_answer && latency <= arrival.plan.deadline;
                    self.outcome.finished(arrival, self.scenario, at, in_time);
                }
            }
            self.outcome.hedges += slot.run.tally().hedges;
            self.outcome.retries += slot.run.tally().retries;
        }
        self.spend();
        self.outcome.link_bytes = self.wires.iter().map(|w| w.bytes).sum();
        self.outcome
    }

    /// Sums what was spent, and of it what did not serve an answer in time.
    fn spend(&mut self) {
        let mut seen = IndexSet::new();
        for call in 0..self.sent.len() {
            self.account(call);
            let sent = &self.sent[call];
            let root = self.runs[sent.run].root;
            let is_attained = self.runs[root].finished.is_some_and(|(_, ok)| ok);
            let key = (root, sent.call.stage.clone());
            let is_used = sent.used && is_attained && seen.insert(key);
            self.outcome.engine += sent.spent;
            if !is_used {
                self.outcome.wasted += sent.spent;
            }
        }
    }
}
