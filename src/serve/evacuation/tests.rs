//! Tests of the evacuated zones through lists, mistakes and a store that goes back to a copy.

use super::*;

fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn platform() -> Evacuation {
    Evacuation::new(["a", "b", "c"].into_iter().map(id::Zone::from).collect())
}

fn begun(zone: &str) -> Change {
    Change::Begun(zone.into())
}

fn ended(zone: &str) -> Change {
    Change::Ended(zone.into())
}

fn covered(evacuation: &Evacuation) -> Vec<&str> {
    let zones = ["a", "b", "c", "", "x"].into_iter();
    zones
        .filter(|zone| evacuation.covers(&(*zone).into()))
        .collect()
}

#[test]
fn zones_two_at_once() {
    let mut evacuation = platform();
    assert_eq!(evacuation.apply(begun("a"), at(0)), [begun("a")]);
    assert_eq!(evacuation.apply(begun("c"), at(1)), [begun("c")]);
    assert_eq!(evacuation.apply(begun("c"), at(2)), [], "written again");
    assert_eq!(covered(&evacuation), ["a", "c"]);
    assert_eq!(evacuation.apply(ended("a"), at(3)), [ended("a")]);
    assert_eq!(evacuation.apply(ended("b"), at(3)), [], "never evacuated");
    assert_eq!(covered(&evacuation), ["c"]);
}

/// A history that was compacted is replaced by a list, which lacks the removed records.
#[test]
fn list_replaces_zones() {
    let mut evacuation = platform();
    evacuation.apply(begun("a"), at(0));
    evacuation.apply(begun("b"), at(0));
    let listed = vec!["b".into(), "c".into()];
    assert_eq!(evacuation.replace(listed, at(5)), [ended("a"), begun("c")]);
    assert_eq!(covered(&evacuation), ["b", "c"]);
}

#[test]
fn taken_back_zone_tells_when() {
    let mut evacuation = platform();
    assert_eq!(evacuation.taken_back_at(&"a".into()), None);
    evacuation.apply(begun("a"), at(0));
    evacuation.apply(ended("a"), at(7));
    assert_eq!(evacuation.taken_back_at(&"a".into()), Some(at(7)));
    evacuation.apply(begun("a"), at(9));
    assert_eq!(evacuation.taken_back_at(&"a".into()), None);
}

/// A name that the platform does not have is reported, but empties nothing.
#[test]
fn unknown_or_empty_zone_covers_nothing() {
    let mut evacuation = platform();
    assert_eq!(evacuation.apply(begun("x"), at(0)), [begun("x")]);
    assert_eq!(evacuation.apply(begun(""), at(0)), [begun("")]);
    assert!(covered(&evacuation).is_empty());
    evacuation.apply(ended("x"), at(1));
    assert_eq!(evacuation.taken_back_at(&"x".into()), None);
}

#[test]
fn copy_without_record_keeps_zone_for_a_while() {
    let mut evacuation = platform();
    evacuation.apply(begun("a"), at(0));
    evacuation.apply(begun("b"), at(0));
    evacuation.log_went_back(at(1_000));
    assert_eq!(evacuation.replace(Vec::new(), at(1_100)), []);
    assert_eq!(covered(&evacuation), ["a", "b"]);
    assert_eq!(evacuation.recorded().len(), 0, "the store has none of them");
    assert_eq!(evacuation.apply(begun("b"), at(2_000)), []);
    assert_eq!(evacuation.expire(at(3_199)), []);
    assert_eq!(evacuation.expire(at(3_200)), [ended("a")]);
    assert_eq!(covered(&evacuation), ["b"]);
}

/// The store goes back again before the operators have written what it lacks.
#[test]
fn second_copy_without_record_keeps_zone_for_longer() {
    let mut evacuation = platform();
    evacuation.apply(begun("a"), at(0));
    for millis in [1_000, 2_000] {
        evacuation.log_went_back(at(millis));
        assert_eq!(evacuation.replace(Vec::new(), at(millis + 100)), []);
    }
    assert_eq!(evacuation.expire(at(4_199)), []);
    assert_eq!(evacuation.expire(at(4_200)), [ended("a")]);
}
