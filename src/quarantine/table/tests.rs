//! Tests of the table of blamed content.

use std::time::Duration;

use super::{
    Event, Limit, MASS_CRASH_WINDOW, MAX_CONTENTS, REFUSAL_DURATION, Status, Table, WallTime,
};

const NOW: WallTime = Duration::from_secs(1_000_000);

fn blame(digest: &str, endpoint: &str, at: WallTime) -> Event {
    Event {
        digest: digest.into(),
        endpoint: Some(endpoint.into()),
        at,
    }
}

fn clear(digest: &str, at: WallTime) -> Event {
    Event {
        digest: digest.into(),
        endpoint: None,
        at,
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn table(events: &[Event]) -> Table {
    let mut table = Table::default();
    for event in events {
        table.apply(event, NOW);
    }
    table
}

#[test]
fn status_unknown_content() {
    assert_eq!(Table::default().status("a", NOW), Status::Clear);
}

#[test]
fn status_first_endpoint() {
    let table = table(&[blame("a", "e1", NOW)]);
    assert_eq!(table.status("a", NOW), Status::Suspect);
    assert_eq!(table.status("b", NOW), Status::Clear);
}

#[test]
fn status_same_endpoint_twice() {
    let table = table(&[blame("a", "e1", NOW), blame("a", "e1", NOW + seconds(3))]);
    assert_eq!(table.status("a", NOW), Status::Suspect);
}

#[test]
fn status_second_endpoint_refused_for_duration() {
    let at = NOW + seconds(3);
    let table = table(&[blame("a", "e1", NOW), blame("a", "e2", at)]);
    assert_eq!(
        table.status("a", at),
        Status::Refused(at + REFUSAL_DURATION)
    );
    assert_eq!(table.status("a", at + REFUSAL_DURATION), Status::Clear);
}

#[test]
fn status_completed_neighbour_is_clear() {
    let at = NOW + seconds(3);
    let mut table = table(&[
        blame("culprit", "e1", NOW),
        blame("neighbour", "e1", NOW),
        clear("neighbour", NOW + seconds(1)),
    ]);
    assert_eq!(table.status("neighbour", at), Status::Clear);
    table.apply(&blame("culprit", "e2", at), at);
    assert!(matches!(table.status("culprit", at), Status::Refused(_)));
}

#[test]
fn status_shared_blames_need_third_endpoint() {
    let at = NOW + seconds(5);
    let mut table = table(&[
        blame("culprit", "e1", NOW),
        blame("neighbour", "e1", NOW),
        blame("culprit", "e2", at),
        blame("neighbour", "e2", at),
    ]);
    assert_eq!(table.status("culprit", at), Status::Suspect);
    assert_eq!(table.status("neighbour", at), Status::Suspect);
    table.apply(&clear("neighbour", at + seconds(1)), at);
    assert!(matches!(table.status("culprit", at), Status::Refused(_)));
    assert_eq!(table.status("neighbour", at), Status::Clear);
}

#[test]
fn status_mass_crash_is_not_counted() {
    let at = NOW + MASS_CRASH_WINDOW / 2;
    let table = table(&[
        blame("a", "e1", NOW),
        blame("a", "e2", at),
        blame("b", "e3", at),
        blame("c", "e4", at),
        blame("d", "e5", at),
    ]);
    assert_eq!(table.status("a", at), Status::Suspect);
}

#[test]
fn apply_order_does_not_matter() {
    let early = clear("a", NOW + seconds(1));
    let events = [
        blame("a", "e1", NOW),
        early.clone(),
        blame("a", "e2", NOW + seconds(2)),
    ];
    let reversed: Vec<Event> = events.iter().rev().cloned().collect();
    let at = NOW + seconds(3);
    assert_eq!(table(&events).status("a", at), Status::Suspect);
    assert_eq!(table(&reversed).status("a", at), Status::Suspect);
}

#[test]
fn apply_known_event_is_not_new() {
    let mut table = Table::default();
    assert!(table.apply(&blame("a", "e1", NOW), NOW));
    assert!(!table.apply(&blame("a", "e1", NOW), NOW));
    assert!(!table.apply(&blame("a", "e2", NOW), NOW + REFUSAL_DURATION + seconds(1)));
}

#[test]
fn apply_bounded_memory() {
    let mut table = table(&[blame("culprit", "e1", NOW), blame("culprit", "e2", NOW)]);
    for index in 0..2 * MAX_CONTENTS {
        let digest = format!("d{index}");
        table.apply(&blame(&digest, "e9", NOW + seconds(10)), NOW + seconds(10));
    }
    assert!(table.len() <= MAX_CONTENTS);
    let status = table.status("culprit", NOW + seconds(10));
    assert!(matches!(status, Status::Refused(_)));
}

#[test]
fn status_follows_limit() {
    let mut table = table(&[blame("a", "e1", NOW), blame("a", "e2", NOW)]);
    table.set_limit(Limit {
        endpoints: 3,
        refusal: seconds(60),
    });
    assert_eq!(table.status("a", NOW), Status::Suspect);
    table.apply(&blame("a", "e3", NOW), NOW);
    assert_eq!(table.status("a", NOW), Status::Refused(NOW + seconds(60)));
    assert_eq!(table.status("a", NOW + seconds(60)), Status::Suspect);
}
