//! Tests of an endpoint's record.

use super::*;

fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

#[test]
fn lost_connection_ejects_and_probes() {
    let mut record = Record::default();
    assert!(record.end(Verdict::Lost, at(0)));
    assert!(!record.is_open(at(100)));
    assert!(record.is_open(at(500)));
    record.begin(at(500));
    assert!(!record.is_open(at(510)), "one probe at a time");
    record.end(Verdict::Good, at(520));
    assert!(record.is_open(at(521)));
}

#[test]
fn failed_probe_ejects_longer() {
    let mut record = Record::default();
    record.end(Verdict::Lost, at(0));
    record.begin(at(500));
    record.end(Verdict::Lost, at(600));
    assert!(!record.is_open(at(1_500)));
    assert!(record.is_open(at(1_600)));
}

#[test]
fn failures_weigh_and_fade() {
    let mut record = Record::default();
    record.end(Verdict::Bad, at(0));
    record.end(Verdict::Bad, at(0));
    let fresh = record.failing(at(0));
    assert!(fresh > 0.4, "{fresh}");
    assert!(record.failing(at(8_000)) < 0.3 * fresh);
    assert!(record.is_open(at(0)));
}

#[test]
fn refusals_do_not_eject() {
    let mut record = Record::default();
    for _ in 0..20 {
        record.end(Verdict::Refused, at(0));
    }
    assert!(record.is_open(at(0)));
    assert!(record.failing(at(0)) < f64::EPSILON);
}

#[test]
fn slowness_follows_and_fades() {
    let mut record = Record::default();
    record.took(5.0, at(0));
    record.took(5.0, at(0));
    let slow = record.slowness(at(0));
    assert!(slow > 3.0, "{slow}");
    assert!(record.slowness(at(20_000)) < 1.2);
}
