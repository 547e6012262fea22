//! Tests of the faults that a fleet of stand-ins can bring about.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::Fleet;
use crate::platform::{Log as _, Roster as _, Vm};
use crate::standin::deployment::Deployment;
use crate::standin::fault::{Fault, Kind};

fn fleet() -> Arc<Fleet> {
    let deployment = Deployment::find("poldmaa").unwrap();
    let fleet = Fleet::start(&deployment, Ipv4Addr::LOCALHOST.into(), 1).unwrap();
    fleet.platform.roster.set_lag(Duration::ZERO);
    fleet
}

fn orders(fleet: &Fleet) -> Vec<Vm> {
    let vms = fleet.platform.roster.list().unwrap().into_iter();
    vms.filter(|vm| vm.pool.as_deref() == Some("orders"))
        .collect()
}

#[test]
fn start_fills_every_pool() {
    let fleet = fleet();
    assert_eq!(orders(&fleet).len(), 3);
    assert_eq!(fleet.endpoints("menu-model").len(), 12);
}

#[test]
fn inject_crash_replaces_the_vm_under_a_new_id() {
    let fleet = fleet();
    let fault = Fault::new(Kind::EndpointCrash, Duration::from_millis(1)).at("orders-1");
    assert!(fleet.inject(&fault));
    while orders(&fleet).iter().all(|vm| &*vm.id != "orders-1.1") {
        thread::yield_now();
    }
    assert!(orders(&fleet).iter().all(|vm| &*vm.id != "orders-1"));
}

#[test]
fn inject_leaving_marks_the_vm() {
    let fleet = fleet();
    assert!(fleet.inject(&Fault::new(Kind::EndpointLeaving, Duration::ZERO).at("orders-2")));
    let leaving = orders(&fleet).into_iter().find(|vm| vm.leaving);
    assert_eq!(leaving.unwrap().id.as_ref(), "orders-2");
}

#[test]
fn inject_unknown_target_is_refused() {
    let fault = Fault::new(Kind::EndpointCrash, Duration::ZERO).at("nobody");
    assert!(!fleet().inject(&fault));
}

#[test]
fn inject_outage_ends() {
    let fleet = fleet();
    let log = &fleet.platform.log;
    assert!(fleet.inject(&Fault::new(Kind::LogOutage, Duration::from_millis(1))));
    while log.append("s", b"{}", Duration::from_secs(1)).is_err() {
        thread::yield_now();
    }
}
