//! Plays arrivals to a planner whose actions go to modelled endpoints.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::engine::{Engine, Speed};
use super::load::{Arrival, Class};
use super::pace::{Pace, Spells};
use super::stage::StageEndpoint;
use crate::clock::Time;
use crate::id;
use crate::serve::catalog::Catalog;
use crate::serve::health::Verdict;
use crate::serve::plan::{
    Action, CallId, CallOutcome, Handle, Input, Job, JobId, PieceOutcome, Planner, Tokens,
};
use crate::serve::registry::Registry;
use crate::serve::residency::Residency;

/// How often the planner looks for requests that cannot be answered in time.
const TICK: Duration = Duration::from_millis(20);
/// The resolution of a replay.
const STEP: Duration = Duration::from_millis(1);

event! {
    /// The outcomes of the requests of one class.
    #[derive(Default)]
    pub struct Tally {
        /// Requests.
        pub asked: usize,
        /// Requests whose first event came within their target.
        pub on_time: usize,
        /// Requests whose first event came later.
        pub late: usize,
        /// Requests that were refused.
        pub refused: usize,
    }
}

event! {
    /// What a replay showed.
    #[derive(Default)]
    pub struct Report {
        /// The outcomes by class.
        pub classes: IndexMap<&'static str, Tally>,
        /// Calls to stage endpoints.
        pub calls: usize,
        /// Pieces with a result.
        pub computed: usize,
        /// Pieces for whose result there was no room.
        pub without_room: usize,
        /// Results that neither a stage nor an engine has fetched.
        pub unused: usize,
        /// Tokens of shared parts that one engine read although another one kept them.
        pub reread_tokens: u64,
        /// Tokens of all shared parts.
        pub shared_tokens: u64,
    }
}

/// What happens at a time of the replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    CallEnded(CallId),
    Began(JobId),
    Ended(JobId),
}

struct Waiting {
    class: usize,
    target: Time,
    arrival: usize,
    engine: Option<id::Endpoint>,
}

struct Running {
    endpoint: id::Endpoint,
    outcomes: Vec<PieceOutcome>,
}

/// A region that is being played.
pub struct Replay<'a> {
    planner: Planner,
    classes: &'a [Class],
    engines: IndexMap<id::Endpoint, Engine>,
    addresses: IndexMap<SocketAddr, id::Endpoint>,
    stage_endpoints: IndexMap<id::Endpoint, StageEndpoint>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    calls: IndexMap<CallId, Running>,
    waiting: IndexMap<JobId, Waiting>,
    /// Results that nothing has fetched yet.
    unfetched: IndexSet<Handle>,
    /// Whether answers tell the pace of VMs.
    tells_pace: bool,
    report: Report,
    now: Time,
}

impl<'a> Replay<'a> {
    /// Prepares a replay with all endpoints of a registry.
    pub fn new(
        mut planner: Planner,
        registry: &Registry,
        catalog: &Catalog,
        speed: &Speed,
        classes: &'a [Class],
    ) -> Self {
        planner.sync(registry, catalog, Time::ZERO);
        let mut engines = IndexMap::new();
        let mut stage_endpoints = IndexMap::new();
        let mut addresses = IndexMap::new();
        for endpoint in registry.available() {
            let service = catalog.services.get(&endpoint.service);
            if let Some(batch) = service.and_then(|service| service.batch.clone()) {
                let model = StageEndpoint::new(&endpoint.id, batch);
                stage_endpoints.insert(endpoint.id.clone(), model);
            } else {
                addresses.insert(endpoint.address, endpoint.id.clone());
                engines.insert(endpoint.id.clone(), Engine::new(speed.clone()));
            }
        }
        Self {
            planner,
            classes,
            engines,
            addresses,
            stage_endpoints,
            events: BinaryHeap::new(),
            calls: IndexMap::new(),
            waiting: IndexMap::new(),
            unfetched: IndexSet::new(),
            tells_pace: false,
            report: Report::default(),
            now: Time::ZERO,
        }
    }

    /// Slows VMs by turns; with `is_told`, answers say so.
    pub fn slow(mut self, spells: &Spells, is_told: bool) -> Self {
        for (id, model) in &mut self.stage_endpoints {
            model.pace = Pace::new(id, Some(spells.clone()));
        }
        for (id, engine) in &mut self.engines {
            engine.pace = Pace::new(id, Some(spells.clone()));
        }
        self.tells_pace = is_told;
        self
    }

    fn tell_pace(&mut self, endpoint: &id::Endpoint) {
        let stage = self.stage_endpoints.get(endpoint);
        let engine = self.engines.get(endpoint);
        let pace = stage.map(|model| &model.pace);
        let pace = pace.or(engine.map(|engine| &engine.pace));
        let ratio = pace.and_then(|pace| pace.ratio(self.now));
        if let Some(ratio) = ratio.filter(|_| self.tells_pace) {
            self.planner.record_pace(endpoint, ratio, self.now);
        }
    }

    /// Plays arrivals, in their order, until the last request has ended.
    pub fn play(mut self, arrivals: &[Arrival], service: &id::Pool) -> Report {
        let mut next = 0;
        let mut next_tick = Time::ZERO;
        while next < arrivals.len() || !self.planner.is_empty() {
            self.now += STEP;
            while next < arrivals.len() && arrivals[next].at <= self.now {
                self.submit(next, &arrivals[next], service);
                next += 1;
            }
            while let Some(event) = self.next_event() {
                self.apply(event);
            }
            if next_tick <= self.now {
                self.planner.tick(self.now);
                next_tick = self.now + TICK;
            }
            for action in self.planner.take_actions() {
                self.execute(action, arrivals);
            }
        }
        self.report.unused = self.unfetched.len();
        self.report
    }

    fn next_event(&mut self) -> Option<Event> {
        let Reverse((at, event)) = self.events.peek().copied()?;
        (at <= self.now).then(|| {
            self.events.pop();
            event
        })
    }

    fn tally(&mut self, class: usize) -> &mut Tally {
        let name = self.classes[class].name;
        self.report.classes.entry(name).or_default()
    }

    fn submit(&mut self, index: usize, arrival: &Arrival, service: &id::Pool) {
        let class = &self.classes[arrival.class];
        let target = arrival.at + class.target;
        let job = Job {
            request: format!("r{index}").into(),
            piece_key: format!("k{index}").into(),
            stages: arrival.stages.clone(),
            service: service.clone(),
            priority: class.priority,
            target,
            deadline: arrival.at + class.deadline,
            target_latency: class.target,
            weight: 1.0,
            digest: format!("d{index}").into(),
            prompt_parts: arrival.parts.clone(),
            tokens: Tokens {
                prompt: arrival.parts.iter().map(|part| part.tokens).sum(),
                output: arrival.events.into(),
            },
            zone: "a".into(),
            transferred_results: Vec::new(),
            release: None,
            closures: Vec::new(),
            residency: Residency::default(),
        };
        let job_id = index as JobId;
        self.tally(arrival.class).asked += 1;
        let waiting = Waiting {
            class: arrival.class,
            target,
            arrival: index,
            engine: None,
        };
        self.waiting.insert(job_id, waiting);
        self.planner.submit(job_id, job, self.now);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::CallEnded(call) => {
                let Some(running) = self.calls.swap_remove(&call) else {
                    return;
                };
                self.tell_pace(&running.endpoint);
                let outcome = CallOutcome::Answered(running.outcomes);
                self.planner.call_ended(call, &outcome, self.now);
            }
            Event::Began(job_id) => {
                let Some(waiting) = self.waiting.swap_remove(&job_id) else {
                    return;
                };
                if let Some(engine) = &waiting.engine {
                    self.tell_pace(engine);
                }
                let is_final = !self.classes[waiting.class].is_resumable;
                self.planner.started(job_id, is_final, self.now);
                let is_on_time = self.now <= waiting.target;
                let tally = self.tally(waiting.class);
                if is_on_time {
                    tally.on_time += 1;
                } else {
                    tally.late += 1;
                }
            }
            Event::Ended(job_id) => {
                self.planner.ended(job_id, Verdict::Good, self.now);
                self.planner.remove(job_id, self.now);
            }
        }
    }

    fn execute(&mut self, action: Action, arrivals: &[Arrival]) {
        match action {
            Action::Call {
                call,
                endpoint,
                pieces,
                ..
            } => {
                let sizes = pieces.iter().map(|piece| {
                    let index: usize = piece.request[1..].parse().unwrap_or_default();
                    arrivals[index].stages[piece.stage].bytes
                });
                let sizes: Vec<u64> = sizes.collect();
                for piece in &pieces {
                    if let Input::Handles(handles) = &piece.source {
                        for handle in handles {
                            self.unfetched.swap_remove(handle);
                        }
                    }
                }
                let Some(model) = self.stage_endpoints.get_mut(&endpoint) else {
                    return;
                };
                let computed = model.call(&sizes, self.now);
                self.report.calls += 1;
                for outcome in &computed.outcomes {
                    if let PieceOutcome::Handle(handle) = outcome {
                        self.report.computed += 1;
                        self.unfetched.insert(handle.clone());
                    } else {
                        self.report.without_room += 1;
                    }
                }
                let outcomes = computed.outcomes;
                self.calls.insert(call, Running { endpoint, outcomes });
                let ended = Event::CallEnded(call);
                self.events.push(Reverse((computed.end, ended)));
            }
            Action::Free {
                endpoint, handles, ..
            } => {
                if let Some(model) = self.stage_endpoints.get_mut(&endpoint) {
                    model.free(&handles);
                }
            }
            Action::Grant(job_id, grant) => {
                let Some(waiting) = self.waiting.get_mut(&job_id) else {
                    return;
                };
                waiting.engine = Some(grant.endpoint.clone());
                let arrival = &arrivals[waiting.arrival];
                for handle in &grant.inputs {
                    self.unfetched.swap_remove(handle);
                }
                let shared = arrival
                    .parts
                    .split_last()
                    .map_or(&[][..], |(_, parts)| parts);
                let most_kept = self.engines.values();
                let most_kept = most_kept.map(|engine| engine.kept_tokens(shared)).max();
                let source = grant.fetch_from.and_then(|from| self.addresses.get(&from));
                let source = source.and_then(|source| self.engines.get(source));
                let fetchable = source.map_or(0, |source| source.kept_tokens(&arrival.parts));
                let Some(engine) = self.engines.get_mut(&grant.endpoint) else {
                    return;
                };
                let unread = most_kept.unwrap_or(0) - engine.kept_tokens(shared).max(fetchable);
                self.report.reread_tokens += unread;
                self.report.shared_tokens += shared.iter().map(|part| part.tokens).sum::<u64>();
                let run = engine.run(&arrival.parts, fetchable, arrival.events, self.now);
                let began = Event::Began(job_id);
                self.events.push(Reverse((run.first_event, began)));
                self.events.push(Reverse((run.end, Event::Ended(job_id))));
            }
            Action::Refuse(job_id, _) => {
                if let Some(waiting) = self.waiting.swap_remove(&job_id) {
                    self.tally(waiting.class).refused += 1;
                }
            }
        }
    }
}
