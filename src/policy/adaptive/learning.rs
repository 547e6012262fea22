//! Learning from observations.

use std::time::Duration;

use super::{Adaptive, Flight, Mechanism};
use crate::clock::Time;
use crate::policy::{End, Observation};
use crate::route::table::Members;
use crate::{endpoint, id};

/// Weight of a new sample in a pool's means.
const POOL_ALPHA: f64 = 0.02;
/// Samples of an endpoint before it is compared with its peers.
const MIN_SAMPLES: u32 = 4;
/// How often the median of a pool's latencies is computed.
const MEDIAN_INTERVAL: Duration = Duration::from_millis(100);
/// Multiple of a pool's median latency that counts as congestion where load is not reported.
const CONGESTION_LATENCY_FACTOR: f64 = 3.0;

/// A call that ended.
struct Ended<'a> {
    flight: Flight,
    request: id::Request,
    pipeline: &'a id::Pipeline,
    index: usize,
    latency: Duration,
    end: &'a End,
}

impl Adaptive {
    pub(super) fn learn(&mut self, observation: &Observation, now: Time) {
        match observation {
            Observation::CallEnded {
                request,
                attempt,
                pipeline,
                index,
                latency,
                end,
                ..
            } => {
                let Some(flight) = self.flights.swap_remove(&(*request, *attempt)) else {
                    return;
                };
                let ended = Ended {
                    flight,
                    request: *request,
                    pipeline,
                    index: *index,
                    latency: *latency,
                    end,
                };
                self.end_call(&ended, now);
            }
            Observation::RequestEnded { request, .. } => self.finish_request(*request),
            Observation::Load { endpoint, load } => self.apply_load_report(endpoint, load, now),
            Observation::Cache { endpoint, cache } => self.apply_cache_event(endpoint, cache),
            Observation::Candidates(list) => {
                let removed = self.table.replace(list, now);
                self.resize_limits(&removed);
            }
            Observation::Leaving(endpoint) => {
                if let Some(entry) = self.table.get_mut(endpoint) {
                    entry.candidate.leaving = true;
                }
            }
            Observation::ZoneLoad(load) => self.zone_loads.learn(load, now),
            Observation::Knobs(scope, knobs) => {
                match knobs {
                    Some(knobs) => self.knobs.set(scope, (**knobs).clone()),
                    None => self.knobs.clear(scope),
                }
                self.link_budget
                    .set_rate(self.link_bandwidth * self.knobs.pool("").link_share);
                self.resize_limits(&[]);
            }
        }
    }

    fn resize_limits(&mut self, removed: &[id::Endpoint]) {
        for (name, pool) in &mut self.pools {
            let endpoints = self.table.members(name).map_or(1, Members::target_count);
            let per_endpoint = self.knobs.pool(name).max_in_flight;
            pool.limit.resize(endpoints, per_endpoint);
            for endpoint in removed {
                pool.affinity.forget(endpoint);
            }
        }
    }

    fn apply_load_report(&mut self, endpoint: &id::Endpoint, load: &endpoint::Load, now: Time) {
        self.table.report(endpoint, load, now);
        let Some(name) = self.table.get(endpoint).map(|e| e.candidate.pool.clone()) else {
            return;
        };
        let Some((waiting, busy)) = self.table.median_load(&name, now) else {
            return;
        };
        let target = self.knobs.pool(&name).waiting_target;
        let pool = self.pool(&name);
        pool.has_reports = true;
        let in_flight = pool.in_flight + pool.reserved;
        pool.limit
            .adapt_to_load(waiting, busy, target, in_flight, now);
    }

    fn apply_cache_event(&mut self, endpoint: &id::Endpoint, cache: &endpoint::CacheEvent) {
        let Some(name) = self.table.get(endpoint).map(|e| e.candidate.pool.clone()) else {
            return;
        };
        let index = &mut self.pool(&name).affinity;
        index.apply(endpoint, cache.sequence, &cache.added, &cache.removed);
    }

    fn end_call(&mut self, ended: &Ended<'_>, now: Time) {
        let flight = &ended.flight;
        if let Some(entry) = self.table.get_mut(&flight.endpoint) {
            entry.end(matches!(ended.end, End::Answered(_)), now);
            if flight.is_suspect {
                entry.has_suspect = false;
            }
        }
        if let Some(pool) = self.pools.get_mut(&flight.pool) {
            let counted = u32::from(!flight.is_outside_limit);
            pool.in_flight = pool.in_flight.saturating_sub(counted);
        }
        match ended.end {
            End::Answered(_) => self.answered(ended, now),
            End::Failed(error) => self.failed(ended, error, now),
            End::Cancelled => self.cancelled(ended, now),
        }
    }

    fn answered(&mut self, ended: &Ended<'_>, now: Time) {
        let seconds = ended.latency.as_secs_f64();
        self.forecast
            .record(ended.pipeline, ended.index, ended.latency);
        let cost = self.admitted.get(&ended.request).map(|a| a.cost);
        self.finish_stage(ended.request, ended.index);
        if let Some(entry) = self.table.get_mut(&ended.flight.endpoint) {
            entry.learn(seconds);
            entry.succeed();
            if entry.breaker.succeed() {
                entry.restart(now);
            }
        }
        let pool = self.pool(&ended.flight.pool);
        pool.latency.record(seconds, POOL_ALPHA);
        if let Some(cost) = cost {
            pool.cost.record(cost as f64, POOL_ALPHA);
        }
        if ended.flight.has_prefixes {
            pool.affinity.record(ended.flight.is_hit, seconds);
        }
        self.adapt_limit(ended, now);
        self.eject_if_slow(&ended.flight, now);
    }

    /// Adapts the limit of a pool that reports no load.
    fn adapt_limit(&mut self, ended: &Ended<'_>, now: Time) {
        let name = &ended.flight.pool;
        let median = self.table.members(name).and_then(|m| m.median);
        let Some(pool) = self.pools.get_mut(name) else {
            return;
        };
        if !pool.has_reports {
            let seconds = ended.latency.as_secs_f64();
            let is_congested = median.is_some_and(|m| seconds > CONGESTION_LATENCY_FACTOR * m);
            pool.limit
                .adapt_to_latency(is_congested, pool.in_flight, now);
        }
    }

    fn failed(&mut self, ended: &Ended<'_>, error: &endpoint::Error, now: Time) {
        let flight = &ended.flight;
        if matches!(error, endpoint::Error::Refused { leaving: true, .. }) {
            if let Some(entry) = self.table.get_mut(&flight.endpoint) {
                entry.breaker.cancel(now);
                entry.candidate.leaving = true;
            }
            return;
        }
        let knobs = self.knobs.pool(&flight.pool);
        let (max_failures, share, eject_time) =
            (knobs.eject_failures, knobs.eject_share, knobs.eject_time);
        let mut should_eject = false;
        if let Some(entry) = self.table.get_mut(&flight.endpoint) {
            if matches!(error, endpoint::Error::Timeout { .. }) {
                entry.learn(ended.latency.as_secs_f64());
            }
            entry.fail(now);
            entry.breaker.fail(eject_time, now);
            should_eject = entry.breaker.failures() >= max_failures && !entry.breaker.is_ejected();
        }
        if should_eject {
            self.eject(&flight.endpoint, &flight.pool, share, eject_time, true, now);
        }
    }

    /// Learns that a cancelled call would have taken at least as long as it ran.
    fn cancelled(&mut self, ended: &Ended<'_>, now: Time) {
        let seconds = ended.latency.as_secs_f64();
        if let Some(entry) = self.table.get_mut(&ended.flight.endpoint) {
            entry.breaker.cancel(now);
            if entry.latency.get().is_some_and(|mean| seconds > mean) {
                entry.learn(seconds);
            }
        }
        self.eject_if_slow(&ended.flight, now);
    }

    /// Ejects an endpoint that is much slower than its peers.
    fn eject_if_slow(&mut self, flight: &Flight, now: Time) {
        let pool = self.pool(&flight.pool);
        if now >= pool.median_updated + MEDIAN_INTERVAL {
            pool.median_updated = now;
            self.table.update_median(&flight.pool);
        }
        let knobs = self.knobs.pool(&flight.pool);
        let (outlier, share, eject_time) =
            (knobs.eject_outlier, knobs.eject_share, knobs.eject_time);
        let median = self.table.members(&flight.pool).and_then(|m| m.median);
        let (Some(median), Some(entry)) = (median, self.table.get(&flight.endpoint)) else {
            return;
        };
        let is_slow = entry.latency.samples() >= MIN_SAMPLES
            && entry.latency.get().is_some_and(|l| l > outlier * median);
        if is_slow && !entry.breaker.is_ejected() {
            self.eject(
                &flight.endpoint,
                &flight.pool,
                share,
                eject_time,
                false,
                now,
            );
        }
    }

    fn eject(
        &mut self,
        endpoint: &id::Endpoint,
        pool: &id::Pool,
        share: f64,
        eject_time: Duration,
        by_failure: bool,
        now: Time,
    ) {
        let may_eject = self.table.may_eject(pool, share)
            || (by_failure && self.table.readmit_slow(pool, share));
        if !self.is_on(Mechanism::Ejection) || !may_eject {
            return;
        }
        if let Some(entry) = self.table.get_mut(endpoint) {
            entry.breaker.eject(eject_time, now);
            entry.is_slow = !by_failure;
        }
    }
}
