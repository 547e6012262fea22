//! The endpoints that run requests: which one gets the next, by load, cached prompt and zone.
//!
//! Load reports of engines are stale when they arrive, and every daemon reads the same ones, so the
//! load is what this planner has granted and not yet seen ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;

use super::request::Request;
use super::{CachedPart, Job, PromptPart};
use crate::clock::Time;
use crate::id;
use crate::quarantine::evidence::Life;
use crate::serve::catalog::{Catalog, Engine as EngineConfig};
use crate::serve::closure::Closure;
use crate::serve::evacuation::Evacuation;
use crate::serve::health::{Health, Verdict};
use crate::serve::pace::{Pace, Ratio};
use crate::serve::rate::{Bucket, Limits, Rate};
use crate::serve::registry::Endpoint;

mod cache;
mod fetch;
mod read_queue;
mod speed;

use cache::Cache;
use fetch::Reading;
use read_queue::ReadQueue;
use speed::Speed;

/// The cost of one more running request for the others.
const RUNNING_COST_MS: f64 = 1.0;
/// The cost of results from another availability zone. The users price a gigabyte at 40, where a request
/// on time is worth about 3; one unit of price is taken as 150 ms.
const CROSS_ZONE_COST_MS_PER_MB: f64 = 6.0;
/// The cost of a prompt token that is read again, besides its time: it outweighs a wait of 100 ms for a
/// thousand tokens, since prompts that come later have to wait for them, too.
const REREAD_COST_MS_PER_TOKEN: f64 = 0.1;
/// The bonus of the preferred engine of a prompt.
const PREFERRED_ENGINE_BONUS_MS: f64 = 20.0;
/// The cost of an engine whose requests all fail.
const FAILURE_COST_MS: f64 = 600.0;
/// The cost of an engine that refuses all requests: each costs a retry, of which there are few.
const REFUSAL_COST_MS: f64 = 600.0;
/// The bonus of an engine that may have no limit any more, which only its next answer tells.
const ASK_BONUS_MS: f64 = 100.0;
/// The cost of a prompt token that is fetched from another engine, besides its time; it is billed at about
/// a quarter of one that is read again.
const FETCH_COST_MS_PER_TOKEN: f64 = 0.007;
/// The least number of shared tokens for which results are computed in the zone of the engine that
/// has them cached.
const MIN_SHARED_TOKENS: u64 = 1_000;
/// How long an engine that rejected a request gets no other one.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);
/// The same for an engine that falls over when it rejects several in a second.
const BRITTLE_PAUSE: Duration = Duration::from_millis(500);
/// The weight of a new sample in the moving average of the times that cold engines take.
const COLD_SMOOTHING: f64 = 0.25;

/// The share of an engine that a request takes.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The engine.
    pub engine: id::Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// The version of its software.
    pub release: id::Release,
    /// When the request was granted.
    pub granted_at: Time,
    /// The start of the engine's process.
    born: u64,
    /// The engine that it fetches the beginning of the prompt from.
    pub fetch_from: Option<SocketAddr>,
    /// Prompt tokens that the engine has to read.
    unread_tokens: u64,
    /// How long the engine reads and fetches the prompt.
    read_time: Duration,
    /// Whether the engine had no other prompt to read.
    is_alone: bool,
    /// Tokens in the memory of the engine.
    memory_tokens: u64,
    /// The expected time to the first byte at the usual pace of the VM.
    expected: Duration,
    /// How much longer it was expected to take at the VM's pace then.
    pace: Ratio,
    is_started: bool,
}

impl Reservation {
    /// Returns the life of the engine, which a job of its service shares.
    pub fn life(&self, job: &Job) -> Life {
        Life {
            endpoint: self.engine.clone(),
            born: self.born,
            service: job.service.clone(),
        }
    }
}

struct Engine {
    service: id::Pool,
    zone: id::Zone,
    address: SocketAddr,
    release: id::Release,
    born: u64,
    slots: u32,
    running: u32,
    reading: ReadQueue,
    memory_tokens: u64,
    blocked_until: Time,
    /// Its zone is evacuated.
    is_evacuated: bool,
    /// When its limit allows the next request.
    limited_until: Time,
    health: Health,
    pace: Pace,
    bucket: Bucket,
    cache: Cache,
}

/// All endpoints that run requests.
pub struct Engines {
    limits: Rc<Limits>,
    /// Whether engines with a limit are left to other planners.
    leaves_limited: bool,
    services: IndexMap<id::Pool, EngineConfig>,
    engines: IndexMap<id::Endpoint, Engine>,
    speeds: IndexMap<id::Pool, Speed>,
    /// The moving average of times to the first byte, as a multiple of the expected ones.
    latency_ratio: Option<f64>,
    /// The moving average of the same for cold engines, relative to all, by service.
    cold_slowness: IndexMap<id::Pool, f64>,
    /// Cached parts that were reported before any engine was known.
    early_cached: Vec<CachedPart>,
}

impl Engines {
    /// Makes a list without engines.
    pub fn new(limits: Rc<Limits>) -> Self {
        Self {
            limits,
            leaves_limited: false,
            services: IndexMap::new(),
            engines: IndexMap::new(),
            speeds: IndexMap::new(),
            latency_ratio: None,
            cold_slowness: IndexMap::new(),
            early_cached: Vec::new(),
        }
    }

    /// Leaves engines with a limit to other planners.
    pub fn leave_limited(&mut self) {
        self.leaves_limited = true;
    }

    /// Returns the limits that the daemon knows.
    #[cfg(test)]
    pub fn limits_of_daemon(&self) -> &Limits {
        &self.limits
    }

    /// Returns the limit of an engine.
    pub fn limit(&self, engine: &id::Endpoint) -> Option<Rate> {
        self.limits.get(engine)
    }

    /// Returns the rates at which the engines that may run a job get requests; none for one without a bound.
    fn limits<'a>(&'a self, job: &'a Job, now: Time) -> impl Iterator<Item = Option<Rate>> + 'a {
        let engines = self.engines.iter();
        let engines = engines.filter(|(_, engine)| engine.may_run(job));
        engines.map(move |(id, _)| {
            let rates = [self.limits.get(id), self.limits.cold().rate(id, now)];
            rates.into_iter().flatten().reduce(f64::min)
        })
    }

    /// Returns the least time until one of the cold engines that may run a job is warm; none when none is cold.
    pub fn cold_time(&self, job: &Job, now: Time) -> Option<Duration> {
        let engines = self.engines.iter();
        let engines = engines.filter(|(_, engine)| engine.may_run(job));
        let remaining = engines.map(|(id, _)| self.limits.cold().remaining_time(id, now));
        remaining.filter(|remaining| !remaining.is_zero()).min()
    }

    /// Returns whether an engine that has not ended a request yet takes it when its limit allows that, or when
    /// it has room: where all daemons' requests are counted they wait here rather than at the engine.
    pub fn is_limited(&self, request: &Request, now: Time) -> bool {
        let is_limited = |(id, engine): (&id::Endpoint, &Engine)| {
            engine.may_run(&request.job)
                && !request.tried_engines.contains(id)
                && self.is_counted(id, now)
        };
        !self.leaves_limited && self.engines.iter().any(is_limited)
    }

    /// Returns whether one planner counts what an engine gets from all daemons.
    fn is_counted(&self, engine: &id::Endpoint, now: Time) -> bool {
        self.limits.is_counted(engine) || self.limits.cold().is_cold(engine, now)
    }

    /// Returns whether engines that one planner counts for are left to others.
    pub fn leaves_limited(&self) -> bool {
        self.leaves_limited
    }

    /// Returns the sum of the limits of the engines that may run a job; none when one has no limit.
    pub fn total_limit(&self, job: &Job, now: Time) -> Option<Rate> {
        let limits: Option<Vec<Rate>> = self.limits(job, now).collect();
        let limits = limits.filter(|limits| !limits.is_empty())?;
        Some(limits.into_iter().sum())
    }

    /// Updates the engines and their configuration.
    pub fn sync(&mut self, endpoints: &[&Endpoint], catalog: &Catalog) {
        let engines = catalog.services.iter();
        let engines =
            engines.filter_map(|(name, service)| Some((name.clone(), service.engine.clone()?)));
        self.services = engines.collect();
        let listed: indexmap::IndexSet<&id::Endpoint> =
            endpoints.iter().map(|endpoint| &endpoint.id).collect();
        self.engines.retain(|id, _| listed.contains(id));
        for endpoint in endpoints {
            let service_config = catalog.services.get(&endpoint.service);
            if service_config.is_some_and(|service| service.batch.is_some()) {
                continue;
            }
            let is_same = |engine: &Engine| {
                engine.born == endpoint.born
                    && engine.service == endpoint.service
                    && engine.address == endpoint.address
                    && engine.release == endpoint.release
            };
            if !self.engines.get(&endpoint.id).is_some_and(is_same) {
                self.engines
                    .insert(endpoint.id.clone(), Engine::new(endpoint));
            }
        }
        if !self.engines.is_empty() {
            let parts = std::mem::take(&mut self.early_cached);
            self.record_cached(&parts);
        }
    }

    /// Records the prompt parts that were sent to engines while another daemon planned.
    pub fn record_cached(&mut self, parts: &[CachedPart]) {
        if self.engines.is_empty() {
            self.early_cached.extend_from_slice(parts);
            return;
        }
        for cached in parts {
            // An engine that is not known has left.
            if let Some(engine) = self.engines.get_mut(&cached.endpoint) {
                engine.cache.add(&cached.part, cached.sent_at);
            }
        }
    }

    /// Returns the zone of an engine that has the shared parts of a prompt cached.
    pub fn cached_zone(&self, job: &Job, now: Time) -> Option<id::Zone> {
        let (own, shared) = job.prompt_parts.split_last()?;
        let shared_tokens: u64 = shared.iter().map(|part| part.tokens).sum();
        let candidates = self
            .engines
            .values()
            .filter(|engine| !engine.is_evacuated && engine.service == job.service);
        let uncached = |engine: &&Engine| engine.uncached_tokens(&job.prompt_parts, now);
        let best = candidates.min_by_key(uncached)?;
        let is_cached = shared_tokens >= MIN_SHARED_TOKENS && uncached(&best) <= own.tokens;
        is_cached.then(|| best.zone.clone())
    }

    fn speed(&self, service: &id::Pool) -> Speed {
        self.speeds.get(service).cloned().unwrap_or_default()
    }

    /// Returns the least time from a grant to the first byte: that of an engine that keeps most of the
    /// prompt and reads nothing else.
    pub fn least_time(&self, job: &Job, now: Time) -> Duration {
        let speed = self.speed(&job.service);
        let engines = self.engines.values();
        let engines = engines.filter(|engine| engine.may_run(job));
        let unread = engines.map(|engine| engine.uncached_tokens(&job.prompt_parts, now));
        speed.base() + speed.read_time(unread.min().unwrap_or(0))
    }

    /// Returns whether an engine may run a job, whether or not it has room.
    pub fn has_engine(&self, job: &Job) -> bool {
        self.engines.values().any(|engine| engine.may_run(job))
    }

    /// Records which zones are evacuated. What runs there ends there, and counts until then.
    pub fn evacuate(&mut self, evacuation: &Evacuation) {
        for engine in self.engines.values_mut() {
            engine.is_evacuated = evacuation.covers(&engine.zone);
        }
    }

    /// Returns how long all engines that may run a job are closed for its daemon, unless one is open; the
    /// time is none when all of them are leaving.
    pub fn closed_for(&self, job: &Job) -> Option<Option<Duration>> {
        let engines = self.engines.iter();
        let mut possible = engines.filter(|(_, engine)| engine.may_run(job)).peekable();
        possible.peek()?;
        let closure = |id: &id::Endpoint| {
            let mut closures = job.closures.iter();
            closures.find(|closure| closure.endpoint == *id)
        };
        let closures: Option<Vec<&Closure>> = possible.map(|(id, _)| closure(id)).collect();
        let remaining = closures?
            .into_iter()
            .filter_map(|closure| closure.remaining);
        Some(remaining.min())
    }

    /// Chooses the engine of the lowest cost for a request; none when no engine has room.
    pub fn reserve(&mut self, request: &Request, now: Time) -> Option<Reservation> {
        let job = &request.job;
        let cold = self.limits.cold();
        for (id, engine) in &mut self.engines {
            let limit = self.limits.get(id);
            let is_counted = self.limits.is_counted(id) || cold.is_cold(id, now);
            engine.limited_until = if self.leaves_limited && is_counted {
                Time::MAX
            } else {
                now + engine.bucket.wait(limit, now).max(cold.wait(id, now))
            };
        }
        let config = self.services.get(&job.service);
        let tokens = job.tokens.prompt + job.tokens.output;
        let fits = |engine: &Engine| {
            let slots = config.map_or(engine.slots, |config| config.slots);
            let memory_limit = config.map_or(u64::MAX, |config| config.memory_tokens);
            engine.may_run(job)
                && now >= engine.blocked_until
                && now >= engine.limited_until
                && engine.running < slots.max(1)
                && (engine.running == 0 || engine.memory_tokens + tokens <= memory_limit)
        };
        let fitting = self
            .engines
            .iter()
            .filter(|(id, engine)| fits(engine) && !request.tried_engines.contains(*id));
        let fitting: Vec<(&id::Endpoint, &Engine)> = fitting.collect();
        // An ejected engine is better than none.
        let has_usable = fitting
            .iter()
            .any(|(_, engine)| engine.health.is_usable(now));
        let candidates = fitting
            .into_iter()
            .filter(|(_, engine)| !has_usable || engine.health.is_usable(now));
        let sources = self.sources(job, now);
        let base = self.speed(&job.service).base();
        let cold_slowness = self.cold_slowness.get(&job.service).copied();
        let costs = candidates.map(|(id, engine)| {
            let asked = if self.limits.is_unsure(id, now) {
                ASK_BONUS_MS
            } else {
                0.0
            };
            let reading = self.reading(id, engine, job, &sources, now);
            let slowness = cold_slowness.filter(|_| self.limits.cold().is_cold(id, now));
            let base = base.mul_f64(slowness.unwrap_or(1.0).max(1.0));
            let cost = engine.cost(id, request, &reading, base, now) - asked;
            (id.clone(), reading, cost)
        });
        let (id, reading, _) = costs.min_by(|(.., a), (.., b)| a.total_cmp(b))?;
        let engines = self.engines.len();
        let engine = self.engines.get_mut(&id)?;
        engine.running += 1;
        engine.bucket.take();
        self.limits.cold().granted(&id, now);
        let is_alone = engine.reading.is_empty();
        engine.reading.push(reading.time, now);
        let expected = base + engine.reading.wait(now);
        engine.memory_tokens += tokens;
        engine.health.call_started(now);
        engine.cache.begin(&job.prompt_parts, engines, now);
        Some(Reservation {
            engine: id,
            address: engine.address,
            release: engine.release.clone(),
            granted_at: now,
            born: engine.born,
            fetch_from: reading.fetch.map(|(_, address)| address),
            unread_tokens: reading.unread_tokens,
            read_time: reading.time,
            is_alone,
            memory_tokens: tokens,
            expected,
            pace: engine.pace.ratio(expected, now),
            is_started: false,
        })
    }

    /// Records that the engine has read the prompt of a job; returns how long that took, once.
    pub fn prompt_read(
        &mut self,
        reservation: &mut Reservation,
        job: &Job,
        now: Time,
    ) -> Option<Duration> {
        if std::mem::replace(&mut reservation.is_started, true) {
            return None;
        }
        let duration = now.saturating_sub(reservation.granted_at);
        let ratio = duration.as_secs_f64() / reservation.expected.as_secs_f64();
        let engine = self.engines.get(&reservation.engine);
        let own = engine.map_or(ratio, |engine| {
            engine.pace.own_ratio(ratio, reservation.pace, now)
        });
        let is_slowed = own < ratio;
        let mean = self.latency_ratio.get_or_insert(own);
        *mean += 0.1 * (own - *mean);
        let ratio = own / mean.max(0.1);
        if reservation.is_alone && reservation.fetch_from.is_none() && !is_slowed {
            let speed = self.speeds.entry(job.service.clone()).or_default();
            speed.record(reservation.unread_tokens, duration);
        }
        if self.limits.cold().is_cold(&reservation.engine, now) {
            let mean = self.cold_slowness.entry(job.service.clone()).or_insert(1.0);
            *mean += COLD_SMOOTHING * (ratio - *mean);
        }
        if let Some(engine) = self.engines.get_mut(&reservation.engine) {
            engine.cache.finish(&job.prompt_parts);
            engine.health.record_duration(ratio, now);
            engine.reading.remove(reservation.read_time, now);
        }
        Some(duration)
    }

    /// Records how long work takes on the VM of an engine at this moment.
    pub fn record_pace(&mut self, id: &id::Endpoint, ratio: Ratio, now: Time) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.pace.record(ratio, now);
        }
    }

    /// Records how the engine ended a request.
    pub fn finish(&mut self, reservation: &Reservation, job: &Job, verdict: Verdict, now: Time) {
        self.release(reservation, job, now);
        if let Some(engine) = self.engines.get_mut(&reservation.engine) {
            engine.health.call_ended(verdict, now);
            match verdict {
                Verdict::Refused if self.limits.is_brittle(&reservation.engine) => {
                    engine.blocked_until = now + BRITTLE_PAUSE;
                }
                Verdict::Refused => engine.blocked_until = now + REFUSED_PAUSE,
                Verdict::Lost | Verdict::Crashed | Verdict::Dropped => {
                    engine.cache.clear();
                }
                Verdict::Good | Verdict::Bad | Verdict::Unknown => {}
            }
        }
    }

    /// Releases the share of a request at its engine.
    pub fn release(&mut self, reservation: &Reservation, job: &Job, now: Time) {
        if let Some(engine) = self.engines.get_mut(&reservation.engine) {
            engine.running = engine.running.saturating_sub(1);
            engine.memory_tokens = engine
                .memory_tokens
                .saturating_sub(reservation.memory_tokens);
            if !reservation.is_started {
                engine.cache.cancel(&job.prompt_parts);
                engine.reading.remove(reservation.read_time, now);
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
            release: endpoint.release.clone(),
            born: endpoint.born,
            slots: endpoint.slots,
            running: 0,
            reading: ReadQueue::default(),
            memory_tokens: 0,
            blocked_until: Time::ZERO,
            is_evacuated: false,
            limited_until: Time::ZERO,
            health: Health::default(),
            pace: Pace::default(),
            bucket: Bucket::default(),
            cache: Cache::default(),
        }
    }

    /// Returns whether it is in use, of the job's service, in a region in which the job may be and, for a stream
    /// that goes on, of the software version that began it.
    fn may_run(&self, job: &Job) -> bool {
        let is_same = |release: &id::Release| *release == self.release;
        !self.is_evacuated
            && self.service == job.service
            && job.release.as_ref().is_none_or(is_same)
            && job.residency.allows_zone(&self.zone)
    }

    /// Returns the prompt tokens that it does not keep: those from the first missing part on.
    fn uncached_tokens(&self, parts: &[PromptPart], now: Time) -> u64 {
        let prompt: u64 = parts.iter().map(|part| part.tokens).sum();
        prompt - self.cache.tokens(parts, now)
    }

    /// Returns the cost of running a request here, in milliseconds.
    fn cost(
        &self,
        id: &id::Endpoint,
        request: &Request,
        reading: &Reading,
        base: Duration,
        now: Time,
    ) -> f64 {
        let parts = &request.job.prompt_parts;
        let remote = request
            .final_results()
            .filter(|result| result.zone != self.zone);
        let remote = remote.map(|result| result.bytes).sum::<u64>() as f64 / 1e6;
        let shared = parts.split_last().and_then(|(_, shared)| shared.last());
        let preference = shared.map_or(0.0, |part| hash_fraction(&part.id, id));
        let wait = self.reading.wait(now);
        let fetched_tokens = reading.fetch.map_or(0, |(tokens, _)| tokens);
        let zone_cost = if self.zone == request.job.zone {
            0.0
        } else {
            1.0
        };
        let latency = self.pace.duration(base + wait + reading.time, now);
        latency.as_secs_f64() * 1000.0 * self.health.slowness(now)
            + reading.unread_tokens as f64 * REREAD_COST_MS_PER_TOKEN
            + fetched_tokens as f64 * FETCH_COST_MS_PER_TOKEN
            + f64::from(self.running) * RUNNING_COST_MS
            + remote * CROSS_ZONE_COST_MS_PER_MB
            + self.health.failure_rate(now) * FAILURE_COST_MS
            + self.health.refusal_rate(now) * REFUSAL_COST_MS
            + zone_cost
            - preference * PREFERRED_ENGINE_BONUS_MS
    }
}

/// Returns a number from 0 to 1 for a prompt part and an engine, the same in all planners.
fn hash_fraction(part: &str, engine: &str) -> f64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (part, engine).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
