//! The list of endpoints under a lagging roster and with reports of daemons.

use std::time::Duration;

use crate::clock::Time;
use crate::id;
use crate::member::endpoint::{
    DRAINING_TTL, Effect, FAILURES_PER_REPORT, LEAVING_TTL, List, Regions, UNREACHABLE_TTL,
};
use crate::member::{EndpointReport, Evidence};
use crate::platform::{Role, Vm};

const SECOND: Time = Duration::from_secs(1);

fn vm(id: &str, address: &str) -> Vm {
    Vm {
        id: id.into(),
        role: Role::Endpoint,
        address: address.into(),
        zone: "split-a".into(),
        pool: Some("kalendar".into()),
        leaving: false,
    }
}

fn list() -> List {
    let mut regions = Regions::new();
    regions.insert("split-a".into(), "primorje".into());
    let mut list = List::new(regions);
    list.update_roster(&[vm("e1", "a:1"), vm("e2", "a:2")], SECOND);
    list
}

fn report(endpoint: &str, evidence: Evidence, reporter: &str) -> EndpointReport {
    EndpointReport {
        endpoint: endpoint.into(),
        evidence,
        reporter: reporter.into(),
        sequence: 1,
    }
}

fn usable(list: &List, now: Time) -> Vec<id::Endpoint> {
    list.candidates(now)
        .into_iter()
        .filter(|c| !c.leaving)
        .map(|c| c.endpoint)
        .collect()
}

#[test]
fn leaving_report_holds_while_roster_lags() {
    let mut list = list();
    let leaving = report("e1", Evidence::Leaving, "d1");
    assert_eq!(list.apply_report(&leaving, SECOND), Effect::Excluded);
    assert_eq!(list.apply_report(&leaving, SECOND), Effect::Unchanged);
    list.update_roster(&[vm("e1", "a:1"), vm("e2", "a:2")], 60 * SECOND);
    assert_eq!(usable(&list, 60 * SECOND), ["e2".into()]);
    assert_eq!(
        usable(&list, SECOND + LEAVING_TTL).len(),
        2,
        "a wrong report expires"
    );
}

#[test]
fn leaving_on_roster_excludes_endpoint() {
    let mut list = list();
    let mut leaving = vm("e1", "a:1");
    leaving.leaving = true;
    list.update_roster(&[leaving, vm("e2", "a:2")], 2 * SECOND);
    assert_eq!(usable(&list, 2 * SECOND), ["e2".into()]);
}

#[test]
fn reused_address_is_a_new_endpoint() {
    let mut list = list();
    list.apply_report(&report("e1", Evidence::Leaving, "d1"), SECOND);
    list.update_roster(&[vm("e9", "a:1"), vm("e2", "a:2")], 2 * SECOND);
    let mut now = usable(&list, 2 * SECOND);
    now.sort();
    assert_eq!(now, ["e2".into(), "e9".into()]);
    assert_eq!(list.find_by_address("a:1"), Some("e9".into()));
}

#[test]
fn two_vms_at_one_address_use_the_newer() {
    let mut list = list();
    list.update_roster(&[vm("e1", "a:1"), vm("e9", "a:1")], 2 * SECOND);
    assert_eq!(usable(&list, 2 * SECOND), ["e9".into()]);
    list.update_roster(&[vm("e9", "a:1"), vm("e1", "a:1")], 3 * SECOND);
    assert_eq!(usable(&list, 3 * SECOND), ["e9".into()]);
}

#[test]
fn single_reporter_of_failures_excludes_nothing() {
    let mut list = list();
    let unreachable = |reporter| report("e1", Evidence::Unreachable, reporter);
    assert_eq!(
        list.apply_report(&unreachable("d1"), SECOND),
        Effect::Unchanged
    );
    assert_eq!(
        list.apply_report(&unreachable("d1"), SECOND),
        Effect::Unchanged
    );
    assert_eq!(
        list.apply_report(&unreachable("d2"), SECOND),
        Effect::Excluded
    );
    assert_eq!(usable(&list, SECOND), ["e2".into()]);
    assert_eq!(usable(&list, SECOND + UNREACHABLE_TTL).len(), 2);
}

#[test]
fn failures_in_a_row_are_reported() {
    let mut list = list();
    for _ in 1..FAILURES_PER_REPORT {
        assert!(!list.record_connection("e1", false));
    }
    assert!(list.record_connection("e1", false));
    assert!(!list.record_connection("e1", true));
    assert!(
        !list.record_connection("e1", false),
        "the count starts again"
    );
}

#[test]
fn report_before_listing_holds() {
    let mut list = list();
    list.apply_report(&report("e3", Evidence::Leaving, "d1"), SECOND);
    list.update_roster(&[vm("e3", "a:3")], 2 * SECOND);
    assert!(usable(&list, 2 * SECOND).is_empty());
}

#[test]
fn endpoint_off_the_roster_is_no_candidate() {
    let mut list = list();
    list.update_roster(&[vm("e2", "a:2")], 2 * SECOND);
    assert_eq!(list.candidates(2 * SECOND).len(), 1);
}

#[test]
fn draining_ends_with_its_return() {
    let mut list = list();
    let draining = report("e1", Evidence::Draining, "d1");
    assert_eq!(list.apply_report(&draining, SECOND), Effect::Excluded);
    assert_eq!(list.active_reports(2 * SECOND), [draining]);
    list.apply_report(&report("e1", Evidence::Returned, "d2"), 2 * SECOND);
    assert_eq!(usable(&list, 2 * SECOND).len(), 2);
    list.apply_report(&report("e1", Evidence::Draining, "d1"), 3 * SECOND);
    assert_eq!(usable(&list, 3 * SECOND).len(), 1);
    assert_eq!(
        usable(&list, 3 * SECOND + DRAINING_TTL).len(),
        2,
        "a vanished controller"
    );
}

#[test]
fn leaving_on_roster_is_reported_once() {
    let mut list = list();
    let mut leaving = vm("e1", "a:1");
    leaving.leaving = true;
    list.update_roster(&[leaving], 2 * SECOND);
    assert_eq!(list.unreported(2 * SECOND), ["e1".into()]);
    list.apply_report(&report("e1", Evidence::Leaving, "d1"), 2 * SECOND);
    assert!(list.unreported(3 * SECOND).is_empty());
}
