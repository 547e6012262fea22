//! Tests of causal order, filters and formats.

use std::sync::Arc;
use std::time::Duration;

use insta::assert_snapshot;

use super::filter::{Filter, merge};
use super::{Event, Kind, Recorder, Stamp, format};
use crate::clock::Manual;

fn clock_at(micros: u64) -> Arc<Manual> {
    let clock = Manual::default();
    clock.advance(Duration::from_micros(micros));
    Arc::new(clock)
}

fn recorders() -> (Recorder, Recorder) {
    // The wall clock of the second daemon is 9 s behind the first.
    let first = Recorder::new("entry-1".into(), clock_at(10_000_000));
    let second = Recorder::new("entry-2".into(), clock_at(1_000_000));
    (first, second)
}

fn texts(events: &[Event]) -> Vec<&str> {
    events.iter().map(|e| e.what.as_str()).collect()
}

#[test]
fn advance_past_orders_after_cause() {
    let (first, second) = recorders();
    first.record(Kind::Request, None, None, "sent");
    second.advance_past(first.stamp());
    second.record(Kind::Request, None, None, "received");
    let merged = merge(
        [second.since(Stamp::MIN), first.since(Stamp::MIN)],
        &Filter::default(),
    );
    assert_eq!(texts(&merged), ["sent", "received"]);
}

#[test]
fn stamp_rises_while_clock_is_stopped() {
    let (first, _) = recorders();
    let stamps: Vec<Stamp> = (0..100).map(|_| first.stamp()).collect();
    assert!(stamps.is_sorted_by(|a, b| a < b));
}

#[test]
fn merge_keeps_shared_event_once() {
    let (first, _) = recorders();
    first.record(Kind::Daemon, None, None, "started");
    let list = first.since(Stamp::MIN);
    assert_eq!(merge([list.clone(), list], &Filter::default()).len(), 1);
}

#[test]
fn since_returns_only_later_events() {
    let (first, _) = recorders();
    first.record(Kind::Daemon, None, None, "started");
    let seen = first.since(Stamp::MIN)[0].at;
    first.record(Kind::Daemon, None, None, "stopped");
    assert_eq!(texts(&first.since(seen)), ["stopped"]);
}

#[test]
fn record_drops_oldest_when_full() {
    let recorder = Recorder::new("entry-1".into(), clock_at(0));
    for index in 0..=super::MAX_EVENTS {
        recorder.record(Kind::Request, None, None, index.to_string());
    }
    let events = recorder.since(Stamp::MIN);
    assert_eq!(events.len(), super::MAX_EVENTS);
    assert_eq!(events[0].what, "1");
}

fn sample() -> Vec<Event> {
    let (first, _) = recorders();
    let request = Some(uuid::Uuid::from_u128(7));
    first.record(Kind::Daemon, None, None, "started");
    first.record(Kind::Request, request, None, "arrived");
    first.record(
        Kind::Call,
        request,
        Some("menu-model-3".into()),
        "began draft",
    );
    first.since(Stamp::MIN)
}

#[test]
fn filter_by_each_field() {
    let events = sample();
    let count = |filter: &Filter| merge([events.clone()], filter).len();
    let request = Filter {
        request: Some(uuid::Uuid::from_u128(7)),
        ..Filter::default()
    };
    let endpoint = Filter {
        endpoint: Some("menu-model-3".into()),
        ..Filter::default()
    };
    let kind = Filter {
        kind: Some(Kind::Daemon),
        ..Filter::default()
    };
    assert_eq!([count(&request), count(&endpoint), count(&kind)], [2, 1, 1]);
}

#[test]
fn format_text() {
    assert_snapshot!(format::text(&sample()), @r#"
10.000000+0 entry-1      daemon     started
10.000000+1 entry-1      request    arrived request=00000000-0000-0000-0000-000000000007
10.000000+2 entry-1      call       began draft request=00000000-0000-0000-0000-000000000007 endpoint=menu-model-3
"#);
}

#[test]
fn format_json_reads_back() {
    let events = sample();
    let text = format::json(&events).unwrap();
    let back: Vec<Event> = text
        .lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect();
    assert_eq!(back, events);
}

#[test]
fn format_chrome() {
    assert_snapshot!(format::chrome(&sample()).unwrap(), @r#"{"traceEvents":[{"name":"request","cat":"request","ph":"X","ts":10000000,"dur":0,"pid":0,"tid":1,"args":{"daemon":"entry-1","request":"00000000-0000-0000-0000-000000000007","endpoint":null}},{"name":"started","cat":"daemon","ph":"i","ts":10000000,"dur":0,"pid":0,"tid":0,"args":{"daemon":"entry-1","request":null,"endpoint":null}},{"name":"arrived","cat":"request","ph":"i","ts":10000000,"dur":0,"pid":0,"tid":1,"args":{"daemon":"entry-1","request":"00000000-0000-0000-0000-000000000007","endpoint":null}},{"name":"began draft","cat":"call","ph":"i","ts":10000000,"dur":0,"pid":0,"tid":1,"args":{"daemon":"entry-1","request":"00000000-0000-0000-0000-000000000007","endpoint":"menu-model-3"}}],"displayTimeUnit":"ms"}"#);
}
