//! The endpoints that run requests: which one gets the next, by load, cached prompt and distance.
//!
//! Reports of engines are old when they arrive and every daemon reads the same ones, so the load is
//! what this planner has sent and not yet seen ended.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::request::Work;
use super::{CachedPart, Job, PromptPart};
use crate::clock::Time;
use crate::id;
use crate::serve::catalog::{Catalog, Engine as Settings};
use crate::serve::health::{Record, Verdict};
use crate::serve::registry::Endpoint;

/// Prompt tokens that an engine reads in a millisecond, where nothing is known of its speed; the
/// slower of the users' engines reads 32.
const TOKENS_PER_MS: f64 = 32.0;
/// What one more running request costs the others, in milliseconds.
const RUNNING_MS: f64 = 1.0;
/// What a megabyte of results from another availability zone costs, in milliseconds. The users price
/// a gigabyte at 40 and a thousand tokens that are read again at 0.2, where a request on time is
/// worth about 3; one unit is taken as 150 ms of its time.
const CROSS_MS_PER_MB: f64 = 6.0;
/// What a prompt token that is read again costs besides its time, in milliseconds; see above.
const REREAD_MS: f64 = 0.03;
/// What being the preferred engine of a prompt is worth, in milliseconds.
const PREFERRED_MS: f64 = 20.0;
/// What it costs when all requests of an engine fail, in milliseconds.
const FAILING_MS: f64 = 600.0;
/// The time to the first byte besides the prompt, in milliseconds.
const BASE_MS: f64 = 60.0;
/// How long a part of a prompt is expected to stay in an engine's cache.
const CACHED: Duration = Duration::from_secs(30);
/// Parts that are remembered of one engine.
const MAX_PARTS: usize = 2_000;
/// Shared tokens for which a request's results are made near the engine that holds them.
const HOME_TOKENS: u64 = 1_000;
/// How long an engine that turned a request down is left alone.
const FULL_TIME: Duration = Duration::from_millis(100);

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Lease {
    /// The engine.
    pub engine: id::Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it was granted.
    pub at: Time,
    /// Prompt tokens that the engine has still to read.
    pending: u64,
    /// Tokens of its memory.
    memory: u64,
    expected: Duration,
    is_started: bool,
}

struct Engine {
    service: id::Pool,
    zone: id::Zone,
    address: SocketAddr,
    born: u64,
    slots: u32,
    running: u32,
    pending: u64,
    memory: u64,
    blocked: Time,
    record: Record,
    /// When each part of a prompt was last used.
    parts: IndexMap<id::Name, Time>,
}

/// All endpoints that run requests.
#[derive(Default)]
pub struct Engines {
    services: IndexMap<id::Pool, Settings>,
    all: IndexMap<id::Endpoint, Engine>,
    /// The mean of measured times to the first byte, as a multiple of the expected ones.
    ratio: Option<f64>,
    /// What was sent to engines that are not listed yet.
    early: Vec<CachedPart>,
}

impl Engines {
    /// Takes in which endpoints there are.
    pub fn sync(&mut self, endpoints: &[&Endpoint], catalog: &Catalog) {
        let engines = catalog.services.iter();
        let engines = engines.filter_map(|(name, one)| Some((name.clone(), one.engine.clone()?)));
        self.services = engines.collect();
        let listed: indexmap::IndexSet<&id::Endpoint> =
            endpoints.iter().map(|endpoint| &endpoint.id).collect();
        self.all.retain(|id, _| listed.contains(id));
        for endpoint in endpoints {
            let stage = catalog.services.get(&endpoint.service);
            if stage.is_some_and(|service| service.batch.is_some()) {
                continue;
            }
            let same = |engine: &Engine| {
                engine.born == endpoint.born
                    && engine.service == endpoint.service
                    && engine.address == endpoint.address
            };
            if !self.all.get(&endpoint.id).is_some_and(same) {
                self.all.insert(endpoint.id.clone(), Engine::new(endpoint));
            }
        }
        if !self.all.is_empty() {
            let early = std::mem::take(&mut self.early);
            self.recall(&early);
        }
    }

    /// Takes in what was sent to engines while another daemon planned.
    pub fn recall(&mut self, uses: &[CachedPart]) {
        if self.all.is_empty() {
            self.early.extend_from_slice(uses);
            return;
        }
        for one in uses {
            // One that is not listed has left.
            if let Some(engine) = self.all.get_mut(&one.endpoint) {
                let used = engine.parts.entry(one.part.clone()).or_insert(one.sent_at);
                *used = one.sent_at.max(*used);
            }
        }
    }

    /// Returns the availability zone of an engine that has the shared parts of a prompt cached.
    pub fn home(&self, job: &Job, now: Time) -> Option<id::Zone> {
        let (own, shared) = job.prompt_parts.split_last()?;
        let total: u64 = shared.iter().map(|part| part.tokens).sum();
        let here = self
            .all
            .values()
            .filter(|engine| engine.service == job.service);
        let unread = |engine: &&Engine| engine.unread(&job.prompt_parts, now);
        let best = here.min_by_key(unread)?;
        let is_cached = total >= HOME_TOKENS && unread(&best) <= own.tokens;
        is_cached.then(|| best.zone.clone())
    }

    /// Chooses an engine for a request whose inputs are made.
    pub fn choose(&mut self, work: &Work, now: Time) -> Option<Lease> {
        let job = &work.job;
        let settings = self.services.get(&job.service);
        let memory = job.tokens.prompt + job.tokens.output;
        let fits = |engine: &Engine| {
            let slots = settings.map_or(engine.slots, |settings| settings.slots);
            let room = settings.map_or(u64::MAX, |settings| settings.memory_tokens);
            engine.service == job.service
                && now >= engine.blocked
                && engine.running < slots.max(1)
                && (engine.running == 0 || engine.memory + memory <= room)
        };
        let fitting = self
            .all
            .iter()
            .filter(|(id, engine)| fits(engine) && !work.tried.contains(*id));
        let fitting: Vec<(&id::Endpoint, &Engine)> = fitting.collect();
        // An ejected engine is better than none.
        let has_open = fitting.iter().any(|(_, engine)| engine.record.is_open(now));
        let costs = fitting
            .into_iter()
            .filter(|(_, engine)| !has_open || engine.record.is_open(now));
        let costs = costs.map(|(id, engine)| (id.clone(), engine.cost(id, work, now)));
        let (id, _) = costs.min_by(|(_, a), (_, b)| a.total_cmp(b))?;
        let engine = self.all.get_mut(&id)?;
        let pending = engine.unread(&job.prompt_parts, now);
        engine.running += 1;
        engine.pending += pending;
        engine.memory += memory;
        engine.record.begin(now);
        engine.remember(&job.prompt_parts, now);
        let expected = BASE_MS + engine.pending as f64 / TOKENS_PER_MS;
        Some(Lease {
            engine: id,
            address: engine.address,
            at: now,
            pending,
            memory,
            expected: Duration::from_secs_f64(expected / 1000.0),
            is_started: false,
        })
    }

    /// The engine has read the prompt; returns how long that took.
    pub fn started(&mut self, lease: &mut Lease, now: Time) -> Option<Duration> {
        if std::mem::replace(&mut lease.is_started, true) {
            return None;
        }
        let took = now.saturating_sub(lease.at);
        let ratio = took.as_secs_f64() / lease.expected.as_secs_f64();
        let mean = self.ratio.get_or_insert(ratio);
        *mean += 0.1 * (ratio - *mean);
        let ratio = ratio / mean.max(0.1);
        if let Some(engine) = self.all.get_mut(&lease.engine) {
            engine.pending = engine.pending.saturating_sub(lease.pending);
            engine.record.took(ratio, now);
        }
        Some(took)
    }

    /// The engine ended a request.
    pub fn end(&mut self, lease: &Lease, verdict: Verdict, now: Time) {
        self.release(lease);
        if let Some(engine) = self.all.get_mut(&lease.engine) {
            engine.record.end(verdict, now);
            match verdict {
                Verdict::Refused => engine.blocked = now + FULL_TIME,
                Verdict::Lost | Verdict::Crashed => engine.parts.clear(),
                Verdict::Good | Verdict::Bad | Verdict::Unknown => {}
            }
        }
    }

    /// Takes a request off the books of its engine.
    pub fn release(&mut self, lease: &Lease) {
        if let Some(engine) = self.all.get_mut(&lease.engine) {
            engine.running = engine.running.saturating_sub(1);
            engine.memory = engine.memory.saturating_sub(lease.memory);
            if !lease.is_started {
                engine.pending = engine.pending.saturating_sub(lease.pending);
            }
        }
    }
}

impl Engine {
    fn new(endpoint: &Endpoint) -> Self {
        Self {
            service: endpoint.service.clone(),
            zone: endpoint.zone.clone(),
            address: endpoint.address,
            born: endpoint.born,
            slots: endpoint.slots,
            running: 0,
            pending: 0,
            memory: 0,
            blocked: Time::ZERO,
            record: Record::default(),
            parts: IndexMap::new(),
        }
    }

    fn holds(&self, part: &PromptPart, now: Time) -> bool {
        let used = self.parts.get(&part.id);
        used.is_some_and(|used| now.saturating_sub(*used) < CACHED)
    }

    /// Returns the prompt tokens that it would have to read.
    fn unread(&self, parts: &[PromptPart], now: Time) -> u64 {
        let missing = parts.iter().skip_while(|part| self.holds(part, now));
        missing.map(|part| part.tokens).sum()
    }

    fn remember(&mut self, parts: &[PromptPart], now: Time) {
        for part in parts {
            self.parts.insert(part.id.clone(), now);
        }
        if self.parts.len() > MAX_PARTS {
            self.parts
                .retain(|_, used| now.saturating_sub(*used) < CACHED);
        }
    }

    /// Returns what it costs to run the request here, in milliseconds.
    fn cost(&self, id: &id::Endpoint, work: &Work, now: Time) -> f64 {
        let parts = &work.job.prompt_parts;
        let unread = self.unread(parts, now) as f64;
        let far = work.last_results().filter(|made| made.zone != self.zone);
        let far = far.map(|made| made.bytes).sum::<u64>() as f64 / 1e6;
        let shared = parts.split_last().and_then(|(_, shared)| shared.last());
        let preferred = shared.map_or(0.0, |part| spread(&part.id, id));
        let reading = (self.pending as f64 + unread) / TOKENS_PER_MS;
        let time = (BASE_MS + reading) * self.record.slowness(now);
        let foreign = if self.zone == work.job.zone { 0.0 } else { 1.0 };
        time + unread * REREAD_MS
            + f64::from(self.running) * RUNNING_MS
            + far * CROSS_MS_PER_MB
            + self.record.failing(now) * FAILING_MS
            + foreign
            - preferred * PREFERRED_MS
    }
}

/// Returns a number from 0 to 1 for a pair, which all planners compute alike.
fn spread(part: &str, engine: &str) -> f64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (part, engine).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
