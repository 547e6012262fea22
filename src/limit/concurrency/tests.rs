//! Tests of the concurrency limit.

use super::*;

const PAUSE: Duration = Duration::from_millis(300);

#[test]
fn grow_idle_keeps_limit() {
    let mut limit = Limit::default();
    limit.grow(0);
    assert_eq!(limit.get(), 4);
}

#[test]
fn grow_full_raises_limit() {
    let mut limit = Limit::default();
    limit.grow(4);
    assert_eq!(limit.get(), 5);
}

#[test]
fn shrink_twice_in_pause_counts_once() {
    let mut limit = Limit::default();
    limit.resize(10, 64);
    limit.shrink(PAUSE, Duration::from_secs(1));
    let once = limit.level();
    limit.shrink(PAUSE, Duration::from_millis(1100));
    assert_eq!(limit.level(), once);
    limit.shrink(PAUSE, Duration::from_millis(1300));
    assert!(limit.level() < once);
}

#[test]
fn shrink_forever_stays_at_one() {
    let mut limit = Limit::default();
    for second in 0..1000 {
        limit.shrink(PAUSE, Duration::from_secs(second));
    }
    assert_eq!(limit.get(), 1);
}

#[test]
fn grow_bounded_by_endpoints() {
    let mut limit = Limit::default();
    limit.resize(2, 3);
    for _ in 0..100 {
        limit.grow(u32::MAX);
    }
    assert_eq!(limit.get(), 6);
}
