//! The thread that reads the platform's list of VMs, and the cached list with reported endpoints.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::handler;
use super::shared::Shared;
use crate::member::{Evidence, Member, Status, wire};
use crate::peer::Topic;
use crate::platform::{self, Role, Roster, Vm};
use crate::policy::Observation;

/// Minimum of the mean time between two reads of the list.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Average bandwidth that reads of the list may use.
const BYTES_PER_SECOND: f64 = 4_000.0;
/// Size of one VM on the list.
const VM_BYTES: f64 = 120.0;
/// Upper bound of the mean wait after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Timeout of a peer's answer to a join request.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Peers that are asked, one after another, on joining.
const MAX_JOIN_PEERS: usize = 3;

/// Reads the list until control stops.
pub(super) fn run(shared: &Shared) {
    let mut rng = ChaCha8Rng::seed_from_u64(shared.seed ^ 2);
    let mut wait = MIN_READ_INTERVAL;
    let mut has_joined = false;
    while !shared.is_stopped() {
        match shared.roster.list() {
            Ok(list) => {
                wait = read_interval(list.len());
                apply(shared, &list);
                has_joined = has_joined || join(shared);
            }
            Err(_) => wait = (wait * 2).min(MAX_BACKOFF),
        }
        if shared.sleep(wait.mul_f64(rng.random_range(0.75..1.25))) {
            return;
        }
    }
}

/// Returns the time between reads, which grows with the list to keep within the bandwidth.
///
/// In a large fleet some daemon has always just read the list, and reports VMs that leave.
fn read_interval(vm_count: usize) -> Duration {
    MIN_READ_INTERVAL.max(Duration::from_secs_f64(
        vm_count as f64 * VM_BYTES / BYTES_PER_SECOND,
    ))
}

fn member(vm: &Vm) -> Member {
    Member {
        daemon: vm.id.clone(),
        address: vm.address.clone(),
        zone: vm.zone.clone(),
        incarnation: 0,
        status: if vm.leaving {
            Status::Leaving
        } else {
            Status::Alive
        },
    }
}

fn apply(shared: &Shared, list: &[Vm]) {
    let now = shared.clock.now();
    let daemons: Vec<Member> = list
        .iter()
        .filter(|vm| vm.role == Role::Daemon)
        .map(member)
        .collect();
    let actions = shared.swim.lock().update_roster(&daemons, now);
    shared.send(actions);
    let (unreported, candidates) = {
        let mut endpoints = shared.endpoints.lock();
        endpoints.update_roster(list, now);
        (endpoints.unreported(now), endpoints.candidates(now))
    };
    *shared.vms.lock() = Some(list.to_vec());
    for endpoint in unreported {
        shared.report(&endpoint, Evidence::Leaving);
    }
    shared.notify(&Observation::Candidates(candidates));
}

/// Asks peers for their membership and endpoint reports; returns whether joining is complete.
fn join(shared: &Shared) -> bool {
    let Some(link) = &shared.link else {
        return true;
    };
    let mut peers = shared.live();
    peers.retain(|p| p.daemon != shared.me);
    for peer in peers.iter().take(MAX_JOIN_PEERS) {
        let answer = link.ask(&peer.address, Topic::Member, handler::JOIN, JOIN_TIMEOUT);
        let Some(packet) = answer.ok().and_then(|a| wire::decode(&a).ok()) else {
            continue;
        };
        let now = shared.clock.now();
        let actions = shared.swim.lock().receive(&packet, now);
        shared.send(actions);
        return true;
    }
    peers.is_empty()
}

/// The cached platform's list, in which reported endpoints are `leaving`.
pub(super) struct Cached {
    shared: Arc<Shared>,
}

impl Cached {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl Roster for Cached {
    fn list(&self) -> platform::Result<Vec<Vm>> {
        let Some(mut list) = self.shared.vms.lock().clone() else {
            return platform::NoEffectSnafu {
                step: "read the list of VMs",
                peer: "the platform",
                reason: "the list has not been read yet",
            }
            .fail();
        };
        let now = self.shared.clock.now();
        let candidates = self.shared.endpoints.lock().candidates(now);
        for candidate in candidates.iter().filter(|c| c.leaving) {
            for vm in list.iter_mut().filter(|vm| vm.id == candidate.endpoint) {
                vm.leaving = true;
            }
        }
        Ok(list)
    }
}
