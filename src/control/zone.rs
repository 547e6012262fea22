//! The thread that keeps the leases of zones, and controls the zones whose lease it holds.

use std::time::Duration;

use indexmap::IndexMap;

use super::budget::Class;
use super::controller::Controller;
use super::leases::Leases;
use super::shared::{Shared, Tools};
use crate::clock::Time;
use crate::config::duty;
use crate::id;
use crate::lease::STREAM;
use crate::lease::record::Record;
use crate::member::Status;
use crate::order::reconcile::Authority;
use crate::timeline::Kind;

/// How often leases and zones are looked at.
const EVERY: Duration = Duration::from_millis(500);
/// How much later daemons of other zones try to acquire the lease of a zone.
const ELSEWHERE: Duration = Duration::from_secs(20);

/// Keeps leases and controls zones until control stops.
pub(super) fn run(shared: &Shared) {
    let Some(tools) = &shared.tools else {
        return;
    };
    let mut controllers: IndexMap<id::Zone, Controller> = IndexMap::new();
    while !shared.sleep(EVERY) {
        let zones: Vec<id::Zone> = shared.leases.lock().clients.keys().cloned().collect();
        for zone in zones {
            keep(shared, &zone);
            control(shared, tools, &zone, &mut controllers);
        }
    }
    release(shared);
}

/// Appends what the lease client of a zone asks for.
fn keep(shared: &Shared, zone: &id::Zone) {
    if shared.swim.lock().me().status == Status::Leaving {
        release(shared);
        return;
    }
    let delay = delay(shared, zone);
    let now = shared.clock.now();
    let record = {
        let mut leases = shared.leases.lock();
        let is_fresh = leases.is_fresh(now);
        let Leases { fold, clients, .. } = &mut *leases;
        let client = clients.get_mut(zone);
        client.and_then(|k| k.tick(fold, is_fresh, delay, now))
    };
    if let Some(record) = record {
        append(shared, &record);
    }
}

/// Daemons of the zone go first, in an order that all compute alike.
fn delay(shared: &Shared, zone: &id::Zone) -> Duration {
    let live = shared.live();
    let near = live.iter().filter(|p| p.zone == *zone);
    let near: Vec<id::Daemon> = near.map(|p| p.daemon.clone()).collect();
    if near.contains(&shared.me) {
        duty::delay(zone, 0, &shared.me, &near)
    } else {
        let all: Vec<id::Daemon> = live.into_iter().map(|p| p.daemon).collect();
        ELSEWHERE + duty::delay(zone, 0, &shared.me, &all)
    }
}

/// Appends to the control stream, within the budget; only the read-back counts.
pub(super) fn append(shared: &Shared, record: &Record) {
    let Ok(body) = serde_json::to_vec(record) else {
        return;
    };
    let now = shared.clock.now();
    if shared.budget.take(Class::Control, now).is_err() {
        return;
    }
    if shared
        .log
        .append(STREAM, &body, super::APPEND_TIMEOUT)
        .is_err()
    {
        shared.budget.refused(shared.clock.now());
    }
}

fn control(
    shared: &Shared,
    tools: &Tools,
    zone: &id::Zone,
    controllers: &mut IndexMap<id::Zone, Controller>,
) {
    let now = shared.clock.now();
    let Some(fence) = fence(shared, zone, Duration::ZERO, now) else {
        if controllers.shift_remove(zone).is_some() {
            shared.record(Kind::Lease, None, format!("lost the lease of {zone}"));
            shared.orders.lock().shift_remove(zone);
        }
        return;
    };
    let known = controllers.get(zone).map(Controller::authority);
    if known.is_none_or(|known| known.fence != fence) {
        let authority = Authority {
            fence,
            acquired_at: now,
        };
        let controller = Controller::new(zone.clone(), authority, shared);
        controllers.insert(zone.clone(), controller);
    }
    if let Some(controller) = controllers.get_mut(zone) {
        controller.turn(shared, tools, now);
        let board = controller.board(now);
        shared.orders.lock().insert(zone.clone(), board);
    }
}

/// The fencing token of a zone, if its lease stays valid for `time`.
pub(super) fn fence(
    shared: &Shared,
    zone: &id::Zone,
    time: Duration,
    now: Time,
) -> Option<id::Fence> {
    let leases = shared.leases.lock();
    leases.clients.get(zone)?.fence(now, time)
}

fn release(shared: &Shared) {
    let records: Vec<Record> = {
        let mut leases = shared.leases.lock();
        let clients = leases.clients.values_mut();
        clients
            .filter_map(crate::lease::client::Client::release)
            .collect()
    };
    for record in &records {
        append(shared, record);
    }
}
