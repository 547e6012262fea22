//! A small driver: real runs and policies on a virtual clock before endpoints with sampled
//! service times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use cyclamenrill::clock::Time;
use cyclamenrill::endpoint::{Answer, Call, Error, Usage};
use cyclamenrill::pipeline::run::Run;
use cyclamenrill::pipeline::{Action, Event, Finish, Remainder, prefix};
use cyclamenrill::policy::{self, Admission, Candidate, Observation, Pick, Policy};
use cyclamenrill::{claim, endpoint, id};
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployment::{Arrival, Deployment, LOAD};
use super::report::Outcome;
use super::scenario::{Fault, Name};
use super::server::{Health, PREFILL_SHARE, Server, Wire};

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
    Cached(id::Endpoint, endpoint::Cache),
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
                self.event(run, Event::Moved(attempt, *remote));
            }
            Step::Recall(run) => self.event(run, Event::Gone),
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

    /// When bytes from one availability zone have arrived in another.
    fn travel(&mut self, from: usize, to: usize, bytes: u64) -> Time {
        if self.region_of(from) != self.region_of(to) {
            let wire = usize::from(self.region_of(from) == self.deployment.zones[2].1);
            let left = self.wires[wire].send(bytes, self.now);
            return left + Duration::from_millis(10);
        }
        let delay = if from == to { 300 } else { 1500 };
        self.now + Duration::from_micros(delay)
    }

    fn digest(&self, arrival: usize) -> id::Digest {
        if self.arrivals[arrival].is_poison {
            "poison".into()
        } else {
            format!("{arrival}").into()
        }
    }

    fn arrive(&mut self, arrival: usize) {
        let digest = self.digest(arrival);
        let blame = self.blamed.get(&digest).copied().unwrap_or(0);
        let a = &self.arrivals[arrival];
        self.outcome.offered(a, self.scenario);
        if blame >= 2 {
            return;
        }
        let number = self.runs.len() as u128 + 1;
        let request = cyclamenrill::pipeline::Request {
            id: uuid::Uuid::from_u128(number),
            workspace: a.workspace.clone(),
            key: (!a.plan.is_repeatable()).then(|| format!("{number}").into()),
            issued: None,
            digest,
            body: a.body.clone(),
            stream: false,
        };
        let deadline = self.now + a.plan.deadline;
        let ask = policy::Arrival {
            request: request.id,
            workspace: a.workspace.clone(),
            pipeline: a.plan.name.clone(),
            pools: a.plan.pools(0),
            deadline,
            priority: a.plan.priority,
            cost: cost(a),
        };
        let (daemon, plan) = (a.daemon, a.plan.clone());
        let run = Run::new(plan, request, deadline)
            .with_suspect(blame > 0)
            .with_regions(self.regions.clone());
        if let Admission::Refuse { reason, .. } = self.policies[daemon].admit(&ask, self.now) {
            self.outcome.refused += 1;
            self.outcome.blame(reason);
            return;
        }
        let run = self.add_run(run, daemon, arrival, None);
        self.event(run, Event::Start);
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
            Action::Move(region, rest) => self.hand_over(index, &region, *rest),
            Action::Recall(_) => {
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

    fn claim(&mut self, index: usize) {
        let is_up = self.is_store_up;
        self.push(
            self.now + Duration::from_millis(20),
            Step::Claimed(index, is_up),
        );
    }

    fn claimed(&mut self, index: usize, is_up: bool) {
        let verdict = if is_up {
            claim::Verdict::Granted
        } else {
            claim::Verdict::NotRun {
                reason: "the log does not answer".into(),
                retry_after: None,
            }
        };
        self.event(index, Event::Claimed(verdict));
    }

    fn call(&mut self, index: usize, pick: Pick, call: Call) {
        let server = self.by_name[&pick.endpoint];
        let from = self.zone_of(self.runs[index].daemon);
        self.outcome.calls += 1;
        if self.servers[server]
            .left_at
            .is_some_and(|at| self.now > at + LEAVING)
        {
            self.outcome.broken.push("a call to an endpoint that left");
        }
        let at = self.travel(from, self.servers[server].zone, call.input.len() as u64);
        let number = self.sent.len();
        self.by_attempt.insert((index, call.attempt), number);
        self.sent.push(Sent {
            run: index,
            server,
            call,
            pick,
            started: None,
            spent: Duration::ZERO,
            ended: false,
            used: false,
        });
        self.push(at, Step::CallIn(number));
    }

    fn call_in(&mut self, call: usize) {
        let server = self.sent[call].server;
        if self.sent[call].ended {
            return;
        }
        match self.servers[server].health {
            Health::Dead => self.reply(call, Err(refused(false, true))),
            Health::Leaving => self.reply(call, Err(refused(true, false))),
            Health::Failing if self.rng.random_range(0..2) == 0 => {
                self.reply(call, Err(failed("it fails")));
            }
            // It never answers.
            Health::Failing => {}
            Health::Well => {
                let priority = self.sent[call].call.priority;
                self.servers[server].enqueue(priority, call);
                self.start_next(server);
            }
        }
    }

    fn start_next(&mut self, server: usize) {
        while let Some(call) = self.servers[server].next() {
            self.start(server, call);
        }
    }

    fn start(&mut self, server: usize, call: usize) {
        let arrival = self.runs[self.sent[call].run].arrival;
        self.sent[call].started = Some(self.now);
        let stage = &self.sent[call].call.stage;
        let plan = &self.arrivals[arrival].plan;
        let at = plan.stages.iter().position(|s| s.name == *stage).unwrap();
        if !plan.stages[at].repeatable {
            self.outcome.ran_once(self.runs[self.sent[call].run].root);
        }
        let pool = &self.deployment.pools[self.servers[server].pool];
        let mut took = pool.service.mul_f64(self.arrivals[arrival].work[at]);
        if plan.stages[at].generates {
            let prefixes = prefix::hashes(&self.sent[call].call.input);
            let held = self.servers[server].prefill(&prefixes);
            took = took.mul_f64(1.0 - PREFILL_SHARE * held);
            let missed = (1.0 - held) * self.sent[call].call.input.len() as f64 / 4.0;
            self.outcome.prefill += missed as u64;
            self.outcome.tokens += 200;
        }
        if self.rng.random_range(0.0..1.0) < STALL.0 {
            took = took.mul_f64(STALL.1);
        }
        took = took.mul_f64(self.servers[server].slowness);
        if self.arrivals[arrival].is_poison {
            self.crash(server);
            return;
        }
        self.push(self.now + took, Step::Served(call));
    }

    /// A request crashes the endpoint: all its calls are lost.
    fn crash(&mut self, server: usize) {
        self.servers[server].health = Health::Dead;
        let mut lost = std::mem::take(&mut self.servers[server].running);
        lost.extend(self.servers[server].waiting.drain(..).map(|(_, c)| c));
        for call in lost {
            self.account(call);
            self.reply(
                call,
                Err(Error::Lost {
                    step: "call",
                    peer: "endpoint".into(),
                    reason: "it died".into(),
                }),
            );
        }
        self.push(self.now + RESTART, Step::Restart(server));
    }

    fn account(&mut self, call: usize) {
        if let Some(at) = self.sent[call].started.take() {
            self.sent[call].spent = self.now - at;
        }
    }

    fn served(&mut self, call: usize) {
        let server = self.sent[call].server;
        if !self.servers[server].running.contains(&call) {
            return;
        }
        self.servers[server].take(call);
        let started = self.sent[call].started.unwrap_or(self.now);
        self.account(call);
        let pool = &self.deployment.pools[self.servers[server].pool];
        let text = &self.sent[call].call;
        let answer = Answer {
            request: text.request,
            stage: text.stage.clone(),
            attempt: text.attempt,
            body: format!("\"{}\"", "a".repeat(pool.answer_bytes)).into(),
            usage: Usage {
                engine_time: self.now - started,
                tokens: 200,
                ..Usage::default()
            },
            version: Some("v1".into()),
        };
        self.reply(call, Ok(answer));
        self.start_next(server);
    }

    fn reply(&mut self, call: usize, result: endpoint::Result<Answer>) {
        let bytes = result.as_ref().map_or(128, |a| a.body.len() as u64);
        let from = self.servers[self.sent[call].server].zone;
        let to = self.zone_of(self.runs[self.sent[call].run].daemon);
        let at = self.travel(from, to, bytes);
        self.push(at, Step::AnswerIn(call, result));
    }

    fn answer_in(&mut self, call: usize, result: endpoint::Result<Answer>) {
        if self.sent[call].ended {
            return;
        }
        self.sent[call].ended = true;
        self.sent[call].used = result.is_ok();
        let (run, attempt) = (self.sent[call].run, self.sent[call].call.attempt);
        self.event(run, Event::Ended(attempt, result));
    }

    fn cancel_in(&mut self, call: usize) {
        if std::mem::replace(&mut self.sent[call].ended, true) {
            return;
        }
        let server = self.sent[call].server;
        if self.servers[server].take(call) {
            self.account(call);
        }
        self.start_next(server);
        // The endpoint answers a cancelled call, as `endpoint::Service::cancel` says.
        let run = self.sent[call].run;
        let error = Error::Lost {
            step: "call",
            peer: self.sent[call].pick.endpoint.to_string(),
            reason: "cancelled".into(),
        };
        self.event(run, Event::Ended(self.sent[call].call.attempt, Err(error)));
    }

    fn hand_over(&mut self, index: usize, region: &str, rest: Remainder) {
        let zones = self.deployment.zones;
        let fit: Vec<usize> = (0..self.deployment.daemons)
            .filter(|d| zones[self.zone_of(*d)].1 == region)
            .collect();
        let daemon = fit[self.rng.random_range(0..fit.len())];
        let parts: usize = rest.parts.iter().map(|p| p.body.len()).sum();
        let bytes = (rest.body.len() + parts) as u64;
        let from = self.zone_of(self.runs[index].daemon);
        let at = self.travel(from, self.zone_of(daemon), bytes);
        let attempt = rest.attempt;
        self.outcome.moves += 1;
        self.push(at, Step::Moved(index, attempt, Box::new(rest), daemon));
    }

    fn moved(&mut self, parent: usize, attempt: id::Attempt, rest: &Remainder, daemon: usize) {
        let plan = Arc::new(self.runs[parent].run.plan().clone());
        let digest = self.digest(self.runs[parent].arrival);
        let run = Run::rest(plan, rest, digest, self.now).with_regions(self.regions.clone());
        let arrival = self.runs[parent].arrival;
        let child = self.add_run(run, daemon, arrival, Some((parent, attempt)));
        self.runs[parent].child = Some(child);
        self.event(child, Event::Start);
    }

    fn finish(&mut self, index: usize, finish: &Finish) {
        let is_answer = matches!(finish, Finish::Answer(_));
        let slot = &mut self.runs[index];
        if slot.finished.replace((self.now, is_answer)).is_some() {
            self.outcome.broken.push("a request was answered twice");
        }
        if let Some((parent, attempt)) = slot.parent {
            let Some(remote) = slot.run.remote(Usage::default()) else {
                return;
            };
            let bytes = match &remote.finish {
                Finish::Answer(body) => body.len() as u64,
                _ => 128,
            };
            let from = self.zone_of(self.runs[index].daemon);
            let to = self.zone_of(self.runs[parent].daemon);
            let at = self.travel(from, to, bytes);
            self.push(at, Step::MovedBack(parent, attempt, Box::new(remote)));
            return;
        }
        if let Finish::NotRun { reason, .. }
        | Finish::Unknown { reason }
        | Finish::Failed { reason, .. } = finish
        {
            self.outcome.blame(reason);
        }
        let arrival = &self.arrivals[self.runs[index].arrival];
        if arrival.is_poison && self.resends < 10 {
            self.resends += 1;
            let mut again = arrival.clone();
            again.at = self.now + Duration::from_millis(500);
            again.daemon = self.rng.random_range(0..self.deployment.daemons);
            let number = self.arrivals.len();
            let at = again.at;
            self.arrivals.push(again);
            self.push(at, Step::Arrive(number));
        }
    }

    fn tick(&mut self) {
        for daemon in 0..self.policies.len() {
            self.drain(daemon);
        }
        self.push(self.now + TICK, Step::Tick);
    }

    fn report(&mut self) {
        let (lag, loss) = self.scenario.cache_events();
        let mut loads = Vec::new();
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            if server.health == Health::Dead {
                continue;
            }
            loads.push((server.name.clone(), server.load()));
            let (name, cache) = (server.name.clone(), server.cache_event());
            if let Some(cache) = cache
                && self.rng.random_range(0.0..1.0) >= loss
            {
                self.push(self.now + lag, Step::Cached(name, cache));
            }
        }
        self.push(self.now + REPORT.1, Step::Reported(loads));
        self.push(self.now + REPORT.0, Step::Report);
    }

    fn reported(&mut self, list: &[(id::Endpoint, endpoint::Load)]) {
        for (endpoint, load) in list {
            let report = Observation::Load {
                endpoint: endpoint.clone(),
                load: load.clone(),
            };
            for policy in &mut self.policies {
                policy.observe(&report, self.now);
            }
        }
    }

    fn send_roster(&mut self) {
        let zones = self.deployment.zones;
        let list = self
            .servers
            .iter()
            .filter(|s| s.left_at.is_none())
            .map(|s| Candidate {
                endpoint: s.name.clone(),
                address: format!("{}:1", s.name),
                pool: self.deployment.pools[s.pool].name.into(),
                zone: zones[s.zone].0.into(),
                region: zones[s.zone].1.into(),
                leaving: false,
            })
            .collect();
        self.observe_all(&Observation::Candidates(list));
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Straggler(factor) => self.each_pool(|s| s.slowness = factor, |_| 1, 0),
            Fault::Failing => {
                let tenth = |count: usize| count.div_ceil(10);
                self.each_pool(|s| s.health = Health::Failing, tenth, 1);
            }
            Fault::Die => {
                let one = |count| usize::from(count >= 5);
                self.each_pool(|s| s.health = Health::Dead, one, 2);
            }
            Fault::Heal => {
                for server in &mut self.servers {
                    server.slowness = 1.0;
                    server.health = Health::Well;
                }
            }
            Fault::Halve => self.halve(),
            Fault::Join => self.join(),
            Fault::Link(factor) => {
                for wire in &mut self.wires {
                    wire.rate *= factor;
                }
            }
            Fault::Store(is_up) => {
                self.is_store_up = is_up;
                self.outcome.store_down(self.now, is_up);
            }
        }
    }

    /// Changes the first servers of each pool, beginning with the one at `from`.
    fn each_pool(
        &mut self,
        change: impl Fn(&mut Server),
        count: impl Fn(usize) -> usize,
        from: usize,
    ) {
        for (index, pool) in self.deployment.pools.iter().enumerate() {
            let servers = self.servers.iter_mut().filter(|s| s.pool == index);
            for server in servers.skip(from).take(count(pool.count)) {
                change(server);
            }
        }
    }

    fn halve(&mut self) {
        for index in 0..self.servers.len() {
            if index % 2 == 0 {
                self.servers[index].health = Health::Leaving;
                self.servers[index].left_at = Some(self.now);
                let name = self.servers[index].name.clone();
                self.push(self.now + ROSTER, Step::LeavingSeen(name));
            }
        }
    }

    fn join(&mut self) {
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            if server.left_at.is_some() {
                let (name, pool, zone) = (format!("{}-new", server.name), server.pool, server.zone);
                self.add_server(&name, pool, zone);
            }
        }
        self.push(self.now + ROSTER, Step::Roster);
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

fn cost(arrival: &Arrival) -> u64 {
    let generates = arrival.plan.stages.iter().any(|s| s.generates);
    arrival.body.len() as u64 / 4 + if generates { 256 } else { 0 }
}

fn refused(leaving: bool, dead: bool) -> Error {
    let (step, peer) = ("call", "endpoint".to_owned());
    if dead {
        Error::NotSent {
            step,
            peer,
            reason: "connection refused".into(),
        }
    } else {
        Error::Refused {
            step,
            peer,
            reason: "it leaves".into(),
            leaving,
        }
    }
}

fn failed(reason: &str) -> Error {
    Error::Failed {
        step: "call",
        peer: "endpoint".into(),
        reason: reason.into(),
    }
}
