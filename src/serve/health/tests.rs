//! Tests of an endpoint's health.

use super::*;

fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

#[test]
fn lost_connection_ejects_until_probe() {
    let mut health = Health::default();
    assert!(health.call_ended(Verdict::Lost, at(0)));
    assert!(!health.is_usable(at(100)));
    assert!(health.is_usable(at(500)));
    health.call_started(at(500));
    assert!(!health.is_usable(at(510)), "one probe at a time");
    health.call_ended(Verdict::Good, at(520));
    assert!(health.is_usable(at(521)));
}

#[test]
fn failed_probe_ejects_longer() {
    let mut health = Health::default();
    health.call_ended(Verdict::Lost, at(0));
    health.call_started(at(500));
    health.call_ended(Verdict::Lost, at(600));
    assert!(!health.is_usable(at(1_500)));
    assert!(health.is_usable(at(1_600)));
}

#[test]
fn failures_count_and_decay() {
    let mut health = Health::default();
    health.call_ended(Verdict::Bad, at(0));
    health.call_ended(Verdict::Bad, at(0));
    let fresh = health.failure_rate(at(0));
    assert!(fresh > 0.4, "{fresh}");
    assert!(health.failure_rate(at(8_000)) < 0.3 * fresh);
    assert!(health.is_usable(at(0)));
}

#[test]
fn refusals_do_not_eject() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.call_ended(Verdict::Refused, at(0));
    }
    assert!(health.is_usable(at(0)));
    assert!(health.failure_rate(at(0)) < f64::EPSILON);
}

#[test]
fn slowness_rises_and_decays() {
    let mut health = Health::default();
    health.record_duration(5.0, at(0));
    health.record_duration(5.0, at(0));
    let slow = health.slowness(at(0));
    assert!(slow > 3.0, "{slow}");
    assert!(health.slowness(at(20_000)) < 1.2);
}

#[test]
fn refusals_count_and_decay() {
    let mut health = Health::default();
    health.call_ended(Verdict::Refused, at(0));
    let once = health.refusal_rate(at(0));
    health.call_ended(Verdict::Refused, at(0));
    let twice = health.refusal_rate(at(0));
    assert!(once > 0.4 && twice > once, "{once}, {twice}");
    assert!(health.refusal_rate(at(8_000)) < 0.6 * twice);
    health.call_ended(Verdict::Good, at(0));
    assert!(health.refusal_rate(at(0)) < twice);
}
