//! Subsetting: a daemon knows a bounded part of the endpoints of its availability zone.
//!
//! Every endpoint is given to a fixed number of the zone's daemons. Plain rendezvous hashing
//! leaves the daemons uneven; therefore each endpoint takes its best daemons among those that
//! are not ahead of the even share, in the order of a hash that all daemons compute alike.

use indexmap::IndexMap;

use crate::id;

/// A 64-bit FNV-1a hash with a final mix, alike in every process.
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

/// The endpoints of a zone's pool that `me` may call, when each is given to `copies` daemons.
///
/// Everything is kept when the zone has at most `most` endpoints.
pub fn subset(
    me: &id::Daemon,
    daemons: &[id::Daemon],
    endpoints: &[id::Endpoint],
    most: usize,
) -> Vec<id::Endpoint> {
    if endpoints.len() <= most || daemons.is_empty() {
        return endpoints.to_vec();
    }
    let copies = copies(daemons.len(), endpoints.len(), most);
    let mut order: Vec<&id::Endpoint> = endpoints.iter().collect();
    order.sort_by_cached_key(|e| hash(["order", e]));
    let mut load: IndexMap<&id::Daemon, usize> = daemons.iter().map(|d| (d, 0)).collect();
    let mut mine = Vec::new();
    for (done, endpoint) in order.into_iter().enumerate() {
        let room = ((done + 1) * copies).div_ceil(daemons.len());
        for daemon in holders(endpoint, daemons, &mut load, room, copies) {
            if daemon == me {
                mine.push(endpoint.clone());
            }
        }
    }
    mine
}

/// To how many daemons each endpoint is given so that a daemon knows about `most`.
fn copies(daemons: usize, endpoints: usize, most: usize) -> usize {
    (daemons * most).div_ceil(endpoints).clamp(1, daemons)
}

fn holders<'a>(
    endpoint: &str,
    daemons: &'a [id::Daemon],
    load: &mut IndexMap<&'a id::Daemon, usize>,
    room: usize,
    copies: usize,
) -> Vec<&'a id::Daemon> {
    let mut ranked: Vec<&id::Daemon> = daemons.iter().collect();
    ranked.sort_by_cached_key(|d| hash([endpoint, d]));
    let mut chosen = Vec::with_capacity(copies);
    for daemon in &ranked {
        if chosen.len() < copies && load.get(daemon).is_some_and(|l| *l < room) {
            chosen.push(*daemon);
        }
    }
    // Fewer daemons than copies may have room; the least loaded take the rest.
    ranked.retain(|d| !chosen.contains(d));
    ranked.sort_by_key(|d| load.get(d).copied());
    chosen.extend(ranked.into_iter().take(copies - chosen.len()));
    for daemon in &chosen {
        *load.entry(daemon).or_default() += 1;
    }
    chosen
}

#[cfg(test)]
mod tests;
