//! Tests of the in-memory platform services.

use std::sync::Arc;
use std::time::Duration;

use super::{Fault, Faults, Log, Roster};
use crate::clock::{Manual, System};
use crate::platform::{Error, Log as _, Role, Roster as _, Vm};

const TIMEOUT: Duration = Duration::from_secs(1);

fn log() -> (Arc<Manual>, Log) {
    let clock = Arc::new(Manual::default());
    (clock.clone(), Log::new(clock, 1))
}

fn bodies(log: &Log, from: u64) -> Vec<String> {
    let page = log.read("s", from, Duration::ZERO).unwrap();
    let text = |b: &Vec<u8>| String::from_utf8(b.clone()).unwrap();
    page.records.iter().map(|r| text(&r.body)).collect()
}

#[test]
fn append_in_order() {
    let (_, log) = log();
    assert_eq!(log.append("s", b"a", TIMEOUT).unwrap(), 0);
    assert_eq!(log.append("s", b"b", TIMEOUT).unwrap(), 1);
    assert_eq!(log.append("t", b"c", TIMEOUT).unwrap(), 0);
    assert_eq!(bodies(&log, 0), ["a", "b"]);
    assert_eq!(bodies(&log, 1), ["b"]);
}

#[test]
fn append_outage_has_no_effect() {
    let (_, log) = log();
    log.change_faults(|f| f.outage = true);
    let error = log.append("s", b"a", TIMEOUT).unwrap_err();
    assert!(matches!(error, Error::NoEffect { .. }));
    log.set_faults(Faults::default());
    assert!(bodies(&log, 0).is_empty());
}

#[test]
fn append_lost_answers_stay_unknown() {
    let (_, log) = log();
    for fault in [Fault::LostBefore, Fault::LostAfter] {
        log.inject(fault);
        let error = log.append("s", format!("{fault:?}").as_bytes(), TIMEOUT);
        assert!(matches!(error, Err(Error::Unknown { .. })));
    }
    assert_eq!(bodies(&log, 0), ["LostAfter"]);
}

#[test]
fn append_slow_takes_effect_late() {
    let (clock, log) = log();
    log.change_faults(|f| f.latency = Duration::from_secs(3));
    assert!(log.append("s", b"slow", TIMEOUT).is_err());
    log.set_faults(Faults::default());
    log.append("s", b"quick", TIMEOUT).unwrap();
    assert_eq!(bodies(&log, 0), ["quick"]);
    clock.advance(Duration::from_secs(3));
    assert_eq!(bodies(&log, 0), ["quick", "slow"]);
}

#[test]
fn append_over_rate_is_refused() {
    let (clock, log) = log();
    log.change_faults(|f| f.rate = Some(2));
    log.append("s", b"a", TIMEOUT).unwrap();
    log.append("s", b"b", TIMEOUT).unwrap();
    let error = log.append("s", b"c", TIMEOUT).unwrap_err();
    assert!(matches!(error, Error::NoEffect { .. }));
    clock.advance(Duration::from_secs(1));
    log.append("s", b"d", TIMEOUT).unwrap();
    assert_eq!(bodies(&log, 0), ["a", "b", "d"]);
}

#[test]
fn read_delay_hides_the_newest() {
    let (clock, log) = log();
    log.change_faults(|f| f.read_delay = Duration::from_secs(1));
    log.append("s", b"a", TIMEOUT).unwrap();
    assert_eq!(log.read("s", 0, Duration::ZERO).unwrap().end, 0);
    clock.advance(Duration::from_secs(1));
    assert_eq!(bodies(&log, 0), ["a"]);
}

#[test]
fn read_after_trimming_keeps_offsets() {
    let (clock, log) = log();
    log.change_faults(|f| f.retention = Some(Duration::from_secs(10)));
    log.append("s", b"old", TIMEOUT).unwrap();
    clock.advance(Duration::from_secs(9));
    log.append("s", b"new", TIMEOUT).unwrap();
    clock.advance(Duration::from_secs(1));
    let page = log.read("s", 0, Duration::ZERO).unwrap();
    assert_eq!((page.first, page.end), (1, 2));
    assert_eq!(page.records[0].offset, 1);
}

#[test]
fn read_blocking_wakes_on_append() {
    let log = Arc::new(Log::new(Arc::new(System::new()), 1).blocking());
    let reader = log.clone();
    let thread = std::thread::spawn(move || reader.read("s", 0, Duration::from_secs(60)));
    log.append("s", b"a", TIMEOUT).unwrap();
    assert_eq!(thread.join().unwrap().unwrap().records.len(), 1);
}

#[test]
fn list_lags() {
    let clock = Arc::new(Manual::default());
    let roster = Roster::new(clock.clone(), Duration::from_secs(2));
    let vm = Vm {
        id: "vm-1".into(),
        role: Role::Endpoint,
        address: "127.0.0.1:1".into(),
        zone: "tallinn-a".into(),
        pool: None,
        leaving: false,
    };
    roster.set(vec![vm]);
    assert!(roster.list().unwrap().is_empty());
    clock.advance(Duration::from_secs(2));
    assert_eq!(roster.list().unwrap().len(), 1);
    roster.change(|vms| vms[0].leaving = true);
    assert!(!roster.list().unwrap()[0].leaving);
    clock.advance(Duration::from_secs(2));
    assert!(roster.list().unwrap()[0].leaving);
}
