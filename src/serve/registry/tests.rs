//! Tests of the known endpoints through outages, restarts and late entries.

use super::*;
use crate::serve::evacuation::Change::Begun;

fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn endpoint(id: &str, born: u64, seq: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "z".into(),
        release: "v1".into(),
        slots: 1,
        draining: false,
        cold_remaining: Duration::ZERO,
        born,
        seq,
    }
}

fn ids(registry: &Registry) -> Vec<&str> {
    registry.available().map(|endpoint| &*endpoint.id).collect()
}

/// A registry that is read every second and knows one endpoint.
fn registry() -> Registry {
    let mut registry = Registry::default();
    registry.read_succeeded(at(0));
    assert!(registry.apply(Entry::Present(endpoint("a", 1, 5)), at(0)));
    registry.read_succeeded(at(1_000));
    registry
}

#[test]
fn removed_at_once() {
    let mut registry = registry();
    // Reads that wait for a change are far apart without any outage.
    registry.read_succeeded(at(3_000));
    assert!(registry.apply(Entry::Removed("a".into()), at(3_000)));
    assert!(ids(&registry).is_empty());
    assert!(registry.is_leaving("a"));
}

/// A probe of a VM's link is a connection that operators do not expect in a zone that they empty.
#[test]
fn targets_prefer_zones_in_use() {
    let mut registry = Registry::new(["z".into(), "y".into()].into());
    registry.apply(Entry::Present(endpoint("a", 1, 1)), at(0));
    registry.evacuation_mut().apply(Begun("z".into()), at(0));
    assert_eq!(registry.targets().count(), 1, "there is no other");
    let other = Endpoint {
        zone: "y".into(),
        ..endpoint("b", 1, 1)
    };
    registry.apply(Entry::Present(other), at(0));
    assert!(registry.targets().all(|target| target.id == "b".into()));
    assert!(registry.is_evacuated("a") && !registry.is_evacuated("b"));
}

/// A planner of an earlier release may grant what this daemon doesn't list yet, and its zone is not known.
#[test]
fn unlisted_counts_as_evacuated_during_evacuation() {
    let mut registry = Registry::new(["z".into(), "y".into()].into());
    assert!(!registry.is_evacuated("a"));
    registry.evacuation_mut().apply(Begun("x".into()), at(0));
    assert!(!registry.is_evacuated("a"), "no zone of the platform");
    registry.evacuation_mut().apply(Begun("y".into()), at(0));
    assert!(registry.is_evacuated("a"));
    registry.apply(Entry::Present(endpoint("a", 1, 1)), at(0));
    assert!(!registry.is_evacuated("a"), "it is in another zone");
}

#[test]
fn draining_not_used() {
    let mut registry = registry();
    let draining = Endpoint {
        draining: true,
        ..endpoint("a", 1, 6)
    };
    assert!(registry.apply(Entry::Present(draining), at(1_000)));
    assert!(ids(&registry).is_empty());
    assert!(registry.is_leaving("a"));
}

#[test]
fn expired_in_outage_kept_until_return() {
    let mut registry = registry();
    registry.read_failed(at(2_000));
    registry.read_succeeded(at(9_000));
    assert!(!registry.apply(Entry::Removed("a".into()), at(9_000)));
    assert_eq!(ids(&registry), ["a"]);
    assert!(registry.expire(at(10_900)).is_empty());
    // It has registered again and stays.
    registry.apply(Entry::Present(endpoint("a", 1, 6)), at(10_900));
    assert!(registry.expire(at(12_000)).is_empty());
    assert_eq!(ids(&registry), ["a"]);
}

#[test]
fn expired_in_outage_removed_when_missing() {
    let mut registry = registry();
    registry.read_failed(at(2_000));
    registry.read_succeeded(at(9_000));
    registry.apply(Entry::Removed("a".into()), at(9_000));
    assert_eq!(registry.expire(at(11_300)), ["a".into()]);
    assert!(ids(&registry).is_empty());
}

#[test]
fn draining_before_outage_removed_at_once() {
    let mut registry = registry();
    let draining = Endpoint {
        draining: true,
        ..endpoint("a", 1, 6)
    };
    registry.apply(Entry::Present(draining), at(1_500));
    registry.read_failed(at(2_000));
    assert!(registry.apply(Entry::Removed("a".into()), at(3_000)));
}

#[test]
fn late_entry_ignored() {
    let mut registry = registry();
    let draining = Endpoint {
        draining: true,
        ..endpoint("a", 1, 6)
    };
    registry.apply(Entry::Present(draining), at(1_000));
    assert!(!registry.apply(Entry::Present(endpoint("a", 1, 5)), at(1_000)));
    assert!(ids(&registry).is_empty());
    registry.apply(Entry::Removed("a".into()), at(1_000));
    assert!(!registry.apply(Entry::Present(endpoint("a", 1, 6)), at(1_000)));
    assert!(ids(&registry).is_empty());
}

#[test]
fn restarted_under_its_id_used() {
    let mut registry = registry();
    registry.apply(Entry::Removed("a".into()), at(1_000));
    assert!(registry.apply(Entry::Present(endpoint("a", 2, 0)), at(1_000)));
    assert_eq!(ids(&registry), ["a"]);
    assert!(!registry.apply(Entry::Present(endpoint("a", 1, 9)), at(1_000)));
}

#[test]
fn heartbeat_no_change() {
    let mut registry = registry();
    assert!(!registry.apply(Entry::Present(endpoint("a", 1, 6)), at(1_000)));
}

#[test]
fn listing_removes_what_it_lacks() {
    let mut registry = registry();
    registry.replace(vec![endpoint("b", 1, 0)], at(1_000));
    assert_eq!(ids(&registry), ["b"]);
}

/// Load pattern: entries expire while the store is down and come back unchanged. Daemons that follow
/// the planner read them only if the planner reports a change.
#[test]
fn returned_entry_is_a_change() {
    let mut registry = registry();
    registry.read_failed(at(2_000));
    assert!(!registry.apply(Entry::Removed("a".into()), at(2_100)));
    assert!(registry.apply(Entry::Present(endpoint("a", 1, 6)), at(2_200)));
    assert!(!registry.apply(Entry::Present(endpoint("a", 1, 7)), at(2_300)));
}
