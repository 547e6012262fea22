//! Subsetting: a daemon calls a bounded subset of the endpoints of its availability zone.
//!
//! Each endpoint is assigned to a fixed number of the zone's daemons. Plain rendezvous hashing
//! loads the daemons unevenly; therefore each endpoint takes its first daemons, in the order of a
//! hash that is the same at all daemons, among those that are below the even share.

use indexmap::IndexMap;

use crate::id;

/// A 64-bit FNV-1a hash with a final mix, the same in every process.
pub fn hash(parts: [&str; 2]) -> u64 {
    let mut state: u64 = 0xcbf2_9ce4_8422_2325;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            state = (state ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    state ^= state >> 33;
    state = state.wrapping_mul(0xff51_afd7_ed55_8ccd);
    state ^ (state >> 33)
}

/// The endpoints of a zone's pool that the daemon `me` may call, about `max_endpoints`.
///
/// All are returned if the zone has no more than that.
pub fn subset(
    me: &id::Daemon,
    daemons: &[id::Daemon],
    endpoints: &[id::Endpoint],
    max_endpoints: usize,
) -> Vec<id::Endpoint> {
    if endpoints.len() <= max_endpoints || daemons.is_empty() {
        return endpoints.to_vec();
    }
    let per_endpoint = daemons_per_endpoint(daemons.len(), endpoints.len(), max_endpoints);
    let mut order: Vec<&id::Endpoint> = endpoints.iter().collect();
    order.sort_by_cached_key(|e| hash(["order", e]));
    let mut load: IndexMap<&id::Daemon, usize> = daemons.iter().map(|d| (d, 0)).collect();
    let mut mine = Vec::new();
    for (done, endpoint) in order.into_iter().enumerate() {
        let even_share = ((done + 1) * per_endpoint).div_ceil(daemons.len());
        for daemon in choose_daemons(endpoint, daemons, &mut load, even_share, per_endpoint) {
            if daemon == me {
                mine.push(endpoint.clone());
            }
        }
    }
    mine
}

/// Returns how many daemons each endpoint is assigned to, so that each daemon gets about
/// `per_daemon` endpoints.
fn daemons_per_endpoint(daemons: usize, endpoints: usize, per_daemon: usize) -> usize {
    (daemons * per_daemon).div_ceil(endpoints).clamp(1, daemons)
}

fn choose_daemons<'a>(
    endpoint: &str,
    daemons: &'a [id::Daemon],
    load: &mut IndexMap<&'a id::Daemon, usize>,
    even_share: usize,
    per_endpoint: usize,
) -> Vec<&'a id::Daemon> {
    let mut ranked: Vec<&id::Daemon> = daemons.iter().collect();
    ranked.sort_by_cached_key(|d| hash([endpoint, d]));
    let mut chosen = Vec::with_capacity(per_endpoint);
    for daemon in &ranked {
        if chosen.len() < per_endpoint && load.get(daemon).is_some_and(|l| *l < even_share) {
            chosen.push(*daemon);
        }
    }
    // Too few daemons may be below the even share; the least loaded take the rest.
    ranked.retain(|d| !chosen.contains(d));
    ranked.sort_by_key(|d| load.get(d).copied());
    chosen.extend(ranked.into_iter().take(per_endpoint - chosen.len()));
    for daemon in &chosen {
        *load.entry(daemon).or_default() += 1;
    }
    chosen
}

#[cfg(test)]
mod tests;
