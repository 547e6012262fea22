//! Tests of what is believed about endpoints through outages, restarts and late entries.

use super::*;

fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn endpoint(id: &str, born: u64, seq: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "z".into(),
        slots: 1,
        draining: false,
        born,
        seq,
    }
}

fn ids(fleet: &Fleet) -> Vec<&str> {
    fleet.all().map(|endpoint| &*endpoint.id).collect()
}

/// A fleet that is read every second and knows one endpoint.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.read(at(0));
    assert!(fleet.learn(Entry::Present(endpoint("a", 1, 5)), at(0)));
    fleet.read(at(1_000));
    fleet
}

#[test]
fn removed_at_once() {
    let mut fleet = fleet();
    // Reads that wait for a change are far apart without any outage.
    fleet.read(at(3_000));
    assert!(fleet.learn(Entry::Removed("a".into()), at(3_000)));
    assert!(ids(&fleet).is_empty());
    assert!(fleet.is_leaving("a"));
}

#[test]
fn draining_not_used() {
    let mut fleet = fleet();
    let draining = Endpoint {
        draining: true,
        ..endpoint("a", 1, 6)
    };
    assert!(fleet.learn(Entry::Present(draining), at(1_000)));
    assert!(ids(&fleet).is_empty());
    assert!(fleet.is_leaving("a"));
}

#[test]
fn lapsed_in_outage_kept_until_return() {
    let mut fleet = fleet();
    fleet.failed(at(2_000));
    fleet.read(at(9_000));
    assert!(!fleet.learn(Entry::Removed("a".into()), at(9_000)));
    assert_eq!(ids(&fleet), ["a"]);
    assert!(fleet.expire(at(10_900)).is_empty());
    // It has registered again and stays.
    fleet.learn(Entry::Present(endpoint("a", 1, 6)), at(10_900));
    assert!(fleet.expire(at(12_000)).is_empty());
    assert_eq!(ids(&fleet), ["a"]);
}

#[test]
fn lapsed_in_outage_gone_when_missing() {
    let mut fleet = fleet();
    fleet.failed(at(2_000));
    fleet.read(at(9_000));
    fleet.learn(Entry::Removed("a".into()), at(9_000));
    assert_eq!(fleet.expire(at(11_300)), ["a".into()]);
    assert!(ids(&fleet).is_empty());
}

#[test]
fn draining_before_outage_removed_at_once() {
    let mut fleet = fleet();
    let draining = Endpoint {
        draining: true,
        ..endpoint("a", 1, 6)
    };
    fleet.learn(Entry::Present(draining), at(1_500));
    fleet.failed(at(2_000));
    assert!(fleet.learn(Entry::Removed("a".into()), at(3_000)));
}

#[test]
fn late_entry_ignored() {
    let mut fleet = fleet();
    let draining = Endpoint {
        draining: true,
        ..endpoint("a", 1, 6)
    };
    fleet.learn(Entry::Present(draining), at(1_000));
    assert!(!fleet.learn(Entry::Present(endpoint("a", 1, 5)), at(1_000)));
    assert!(ids(&fleet).is_empty());
    fleet.learn(Entry::Removed("a".into()), at(1_000));
    assert!(!fleet.learn(Entry::Present(endpoint("a", 1, 6)), at(1_000)));
    assert!(ids(&fleet).is_empty());
}

#[test]
fn restarted_under_its_id_used() {
    let mut fleet = fleet();
    fleet.learn(Entry::Removed("a".into()), at(1_000));
    assert!(fleet.learn(Entry::Present(endpoint("a", 2, 0)), at(1_000)));
    assert_eq!(ids(&fleet), ["a"]);
    assert!(!fleet.learn(Entry::Present(endpoint("a", 1, 9)), at(1_000)));
}

#[test]
fn heartbeat_no_change() {
    let mut fleet = fleet();
    assert!(!fleet.learn(Entry::Present(endpoint("a", 1, 6)), at(1_000)));
}

#[test]
fn listing_removes_what_it_lacks() {
    let mut fleet = fleet();
    fleet.replace(vec![endpoint("b", 1, 0)], at(1_000));
    assert_eq!(ids(&fleet), ["b"]);
}

/// Load pattern: entries lapse while the store is down and come back unchanged. Daemons that rely on the
/// planner read them only if the planner tells them that there is news.
#[test]
fn doubt_ended_is_news() {
    let mut fleet = fleet();
    fleet.failed(at(2_000));
    assert!(!fleet.learn(Entry::Removed("a".into()), at(2_100)));
    assert!(fleet.learn(Entry::Present(endpoint("a", 1, 6)), at(2_200)));
    assert!(!fleet.learn(Entry::Present(endpoint("a", 1, 7)), at(2_300)));
}
