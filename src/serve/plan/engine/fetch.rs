//! How an engine gets a prompt: what it keeps, what it fetches from another engine, and what it reads.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::{Engine, EngineConfig, Engines, Job};
use crate::clock::Time;
use crate::id;

/// The time of a fetch without its tokens.
const FETCH_SETUP: Duration = Duration::from_millis(5);
/// The least number of tokens that are fetched.
const MIN_FETCHED_TOKENS: u64 = 500;
/// How much longer a fetch from another availability zone takes.
const OTHER_ZONE_FETCH_FACTOR: f64 = 2.0;

/// How an engine would get the prompt of a request.
pub struct Reading {
    /// Tokens that it has to read.
    pub unread_tokens: u64,
    /// Tokens that it fetches, and from where.
    pub fetch: Option<(u64, SocketAddr)>,
    /// How long both take.
    pub time: Duration,
}

/// An engine from which others can fetch the beginning of a prompt.
pub struct Source {
    engine: id::Endpoint,
    address: SocketAddr,
    zone: id::Zone,
    release: id::Release,
    tokens: u64,
}

impl Engines {
    /// Returns the engines that keep most of the beginning of a prompt: the best one of each zone and
    /// software version, since versions may keep other weights.
    pub(super) fn sources(&self, job: &Job, now: Time) -> Vec<Source> {
        let mut best: IndexMap<(&id::Zone, &id::Release), Source> = IndexMap::new();
        let of_service = |(_, engine): &(&id::Endpoint, &Engine)| {
            engine.service == job.service
                && !engine.is_evacuated
                && job.residency.allows_zone(&engine.zone)
                && engine.health.is_usable(now)
        };
        for (id, engine) in self.engines.iter().filter(of_service) {
            let tokens = engine.cache.read_tokens(&job.prompt_parts, now);
            if tokens < MIN_FETCHED_TOKENS {
                continue;
            }
            let place = (&engine.zone, &engine.release);
            if best.get(&place).is_none_or(|best| best.tokens < tokens) {
                let source = Source {
                    engine: id.clone(),
                    address: engine.address,
                    zone: engine.zone.clone(),
                    release: engine.release.clone(),
                    tokens,
                };
                best.insert(place, source);
            }
        }
        best.into_values().collect()
    }

    /// Returns how an engine would get a prompt: it fetches what others keep if that is faster than
    /// reading it.
    pub(super) fn reading(
        &self,
        id: &id::Endpoint,
        engine: &Engine,
        job: &Job,
        sources: &[Source],
        now: Time,
    ) -> Reading {
        let parts = &job.prompt_parts;
        let speed = self.speed(&job.service);
        let prompt: u64 = parts.iter().map(|part| part.tokens).sum();
        let kept = engine.cache.tokens(parts, now);
        let read = Reading {
            unread_tokens: prompt - kept,
            fetch: None,
            time: speed.read_time(prompt - kept),
        };
        let Some(token_time) = self
            .services
            .get(&job.service)
            .and_then(EngineConfig::token_transfer_time)
        else {
            return read;
        };
        let usable = sources.iter().filter(|source| {
            source.engine != *id
                && source.release == engine.release
                && source.tokens >= kept + MIN_FETCHED_TOKENS
        });
        let fetches = usable.map(|source| {
            let fetched = source.tokens - kept;
            let factor = if source.zone == engine.zone {
                1.0
            } else {
                OTHER_ZONE_FETCH_FACTOR
            };
            let unread_tokens = prompt - source.tokens;
            let fetch_time = token_time.mul_f64(fetched as f64 * factor);
            Reading {
                unread_tokens,
                fetch: Some((fetched, source.address)),
                time: FETCH_SETUP + fetch_time + speed.read_time(unread_tokens),
            }
        });
        let best = fetches.min_by_key(|reading| reading.time);
        best.filter(|best| best.time < read.time).unwrap_or(read)
    }
}
