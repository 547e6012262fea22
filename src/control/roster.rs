//! The thread that reads the platform's list, and the list as this fleet knows it.

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

/// The least mean time between two reads of the list.
const EVERY: Duration = Duration::from_secs(2);
/// Bytes a second that reads of the list may take on average.
const RATE: f64 = 4_000.0;
/// Bytes of one VM on the list.
const VM_BYTES: f64 = 120.0;
/// The longest mean wait after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// How long a peer may take to answer with what it knows.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Peers that are asked on joining.
const JOINS: usize = 3;

/// Reads the list until control stops.
pub(super) fn run(shared: &Shared) {
    let mut rng = ChaCha8Rng::seed_from_u64(shared.seed ^ 2);
    let mut wait = EVERY;
    let mut has_joined = false;
    while !shared.is_stopped() {
        match shared.platform.list() {
            Ok(list) => {
                wait = period(list.len());
                take(shared, &list);
                has_joined = has_joined || join(shared);
            }
            Err(_) => wait = (wait * 2).min(MAX_BACKOFF),
        }
        if shared.sleep(wait.mul_f64(rng.random_range(0.75..1.25))) {
            return;
        }
    }
}

/// The time between reads grows with the list, so that its bytes stay within their rate.
///
/// At any moment some daemon of a large fleet has just read it, and reports who leaves.
fn period(vms: usize) -> Duration {
    EVERY.max(Duration::from_secs_f64(vms as f64 * VM_BYTES / RATE))
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

fn take(shared: &Shared, list: &[Vm]) {
    let now = shared.clock.now();
    let daemons: Vec<Member> = list
        .iter()
        .filter(|vm| vm.role == Role::Daemon)
        .map(member)
        .collect();
    let actions = shared.swim.lock().update_roster(&daemons, now);
    shared.act(actions);
    let (news, candidates) = {
        let mut endpoints = shared.endpoints.lock();
        endpoints.update_roster(list, now);
        (endpoints.unreported(now), endpoints.candidates(now))
    };
    *shared.listed.lock() = Some(list.to_vec());
    for endpoint in news {
        shared.report(&endpoint, Evidence::Leaving);
    }
    shared.notify(&Observation::Candidates(candidates));
}

/// Asks a daemon for what it knows of the others and of endpoints; true when one answered.
fn join(shared: &Shared) -> bool {
    let Some(link) = &shared.link else {
        return true;
    };
    let mut peers = shared.live();
    peers.retain(|p| p.daemon != shared.me);
    for peer in peers.iter().take(JOINS) {
        let answer = link.ask(&peer.address, Topic::Member, handler::JOIN, JOIN_TIMEOUT);
        let Some(packet) = answer.ok().and_then(|a| wire::decode(&a).ok()) else {
            continue;
        };
        let now = shared.clock.now();
        let actions = shared.swim.lock().receive(&packet, now);
        shared.act(actions);
        return true;
    }
    peers.is_empty()
}

/// The platform's list with the marks of the fleet, from memory.
pub(super) struct Marked {
    shared: Arc<Shared>,
}

impl Marked {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl Roster for Marked {
    fn list(&self) -> platform::Result<Vec<Vm>> {
        let Some(mut list) = self.shared.listed.lock().clone() else {
            return platform::NoEffectSnafu {
                step: "read the list of VMs",
                peer: "the platform",
                reason: "it was not read yet",
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
