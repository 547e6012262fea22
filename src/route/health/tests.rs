//! Tests of the circuit breaker.

use super::*;

const BASE: Duration = Duration::from_secs(1);

#[test]
fn eject_probe_success_closes() {
    let mut breaker = Breaker::default();
    breaker.eject(BASE, Duration::ZERO);
    assert!(breaker.is_ejected());
    assert!(!breaker.is_probe_due(Duration::from_millis(999)));
    assert!(breaker.is_probe_due(BASE));
    breaker.begin(BASE);
    assert!(!breaker.is_probe_due(BASE), "one probe at a time");
    assert!(breaker.succeed());
    assert!(!breaker.is_ejected());
}

#[test]
fn eject_failed_probe_waits_longer() {
    let mut breaker = Breaker::default();
    breaker.eject(BASE, Duration::ZERO);
    breaker.begin(BASE);
    breaker.fail(BASE, BASE);
    assert!(!breaker.is_probe_due(BASE * 2));
    assert!(breaker.is_probe_due(BASE * 3));
}

#[test]
fn cancel_probe_is_due_again() {
    let mut breaker = Breaker::default();
    breaker.eject(BASE, Duration::ZERO);
    breaker.begin(BASE);
    breaker.cancel(BASE);
    assert!(breaker.is_probe_due(BASE));
}

#[test]
fn succeed_between_failures_resets_count() {
    let mut breaker = Breaker::default();
    breaker.fail(BASE, BASE);
    breaker.succeed();
    breaker.fail(BASE, BASE);
    assert_eq!(breaker.failures(), 1);
}
