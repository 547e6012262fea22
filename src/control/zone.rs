//! The thread that maintains the leases of zones, and controls the zones whose lease it holds.

use std::time::Duration;

use indexmap::IndexMap;

use super::budget::Class;
use super::controller::Controller;
use super::leases::Leases;
use super::shared::{EngineAccess, Shared};
use crate::clock::Time;
use crate::config::duty;
use crate::id;
use crate::lease::STREAM;
use crate::lease::record::Record;
use crate::member::Status;
use crate::order::reconcile::Authority;
use crate::timeline::Kind;

/// Interval between ticks of leases and controllers.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Extra delay for daemons of other zones to acquire the lease of a zone.
const OTHER_ZONE_DELAY: Duration = Duration::from_secs(20);

/// Maintains leases and controls zones until control stops.
pub(super) fn run(shared: &Shared) {
    let Some(engine_access) = &shared.engine_access else {
        return;
    };
    let mut controllers: IndexMap<id::Zone, Controller> = IndexMap::new();
    while !shared.sleep(TICK_INTERVAL) {
        let zones: Vec<id::Zone> = shared.leases.lock().clients.keys().cloned().collect();
        for zone in zones {
            tick_lease(shared, &zone);
            control_zone(shared, engine_access, &zone, &mut controllers);
        }
    }
    release_leases(shared);
}

/// Ticks the lease client of a zone and appends its record.
fn tick_lease(shared: &Shared, zone: &id::Zone) {
    if shared.swim.lock().me().status == Status::Leaving {
        release_leases(shared);
        return;
    }
    let delay = acquire_delay(shared, zone);
    let now = shared.clock.now();
    let record = {
        let mut leases = shared.leases.lock();
        let is_fresh = leases.is_fresh(now);
        let Leases { fold, clients, .. } = &mut *leases;
        let client = clients.get_mut(zone);
        client.and_then(|c| c.tick(fold, is_fresh, delay, now))
    };
    if let Some(record) = record {
        append(shared, &record);
    }
}

/// Returns the delay before acquiring; daemons of the zone go first, in an order common to all.
fn acquire_delay(shared: &Shared, zone: &id::Zone) -> Duration {
    let live = shared.live();
    let in_zone = live.iter().filter(|p| p.zone == *zone);
    let in_zone: Vec<id::Daemon> = in_zone.map(|p| p.daemon.clone()).collect();
    if in_zone.contains(&shared.me) {
        duty::delay(zone, 0, &shared.me, &in_zone)
    } else {
        let all: Vec<id::Daemon> = live.into_iter().map(|p| p.daemon).collect();
        OTHER_ZONE_DELAY + duty::delay(zone, 0, &shared.me, &all)
    }
}

/// Appends to the control stream, within the budget.
///
/// The record takes effect only when it is read back, whatever the append returned.
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
        shared.budget.on_refused(shared.clock.now());
    }
}

fn control_zone(
    shared: &Shared,
    engine_access: &EngineAccess,
    zone: &id::Zone,
    controllers: &mut IndexMap<id::Zone, Controller>,
) {
    let now = shared.clock.now();
    let Some(fence) = fence(shared, zone, Duration::ZERO, now) else {
        if controllers.shift_remove(zone).is_some() {
            shared.record(Kind::Lease, None, format!("lost the lease of {zone}"));
            shared.zone_statuses.lock().shift_remove(zone);
        }
        return;
    };
    let current = controllers.get(zone).map(Controller::authority);
    if current.is_none_or(|current| current.fence != fence) {
        let authority = Authority {
            fence,
            acquired_at: now,
        };
        let controller = Controller::new(zone.clone(), authority, shared);
        controllers.insert(zone.clone(), controller);
    }
    if let Some(controller) = controllers.get_mut(zone) {
        controller.tick(shared, engine_access, now);
        let status = controller.status(now);
        shared.zone_statuses.lock().insert(zone.clone(), status);
    }
}

/// Returns the fencing token of a zone, if its lease stays valid for `time`.
pub(super) fn fence(
    shared: &Shared,
    zone: &id::Zone,
    time: Duration,
    now: Time,
) -> Option<id::Fence> {
    let leases = shared.leases.lock();
    leases.clients.get(zone)?.fence(now, time)
}

fn release_leases(shared: &Shared) {
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
