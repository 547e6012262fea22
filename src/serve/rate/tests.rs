use std::net::SocketAddr;

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn limits() -> Limits {
    Limits::new(Logger::root(slog::Discard, slog::o!()))
}

fn endpoint(id: &str, born: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "a".into(),
        release: "v1".into(),
        slots: 4,
        draining: false,
        cold_remaining: Duration::ZERO,
        born,
        seq: 0,
    }
}

#[test]
fn limit_holds_until_it_is_no_longer_named() {
    let limits = limits();
    limits.observe([endpoint("e", 1)].iter());
    limits.record(&"e".into(), Some(2.0), ms(0));
    assert!(limits.get("e") == Some(2.0) && limits.covers(&"s".into()));
    limits.record(&"e".into(), Some(0.5), ms(10));
    assert_eq!(limits.get("e"), Some(0.5));
    limits.record(&"e".into(), None, ms(20));
    assert!(limits.get("e").is_none() && !limits.covers(&"s".into()));
}

#[test]
fn limit_ends_with_the_life_of_its_endpoint() {
    let limits = limits();
    limits.observe([endpoint("e", 1)].iter());
    limits.record(&"e".into(), Some(2.0), ms(0));
    limits.observe([endpoint("e", 1)].iter());
    assert!(limits.get("e").is_some());
    limits.observe([endpoint("e", 2)].iter());
    assert!(limits.get("e").is_none());
}

/// A daemon that heard of a limit first may tell of it last.
#[test]
fn later_word_of_an_endpoint_stands() {
    let limits = limits();
    limits.record(&"e".into(), Some(2.0), ms(0));
    limits.record(&"e".into(), None, ms(500));
    let report = |limit, age| Report {
        endpoint: "e".into(),
        limit,
        age: ms(age),
    };
    limits.tell(&[report(Some(2.0), 900)], ms(1_000));
    assert!(limits.get("e").is_none());
    limits.tell(&[report(Some(3.0), 100)], ms(1_000));
    assert_eq!(limits.get("e"), Some(3.0));
}

#[test]
fn limit_of_zero_asks_again_now_and_then() {
    let limits = limits();
    limits.record(&"e".into(), Some(0.0), ms(0));
    let mut bucket = Bucket::default();
    assert_eq!(bucket.wait(limits.get("e"), ms(0)), ms(10_000));
}

#[test]
fn bucket_keeps_the_rate_and_fills_to_one_request() {
    for rate in [0.5, 1.0, 2.5, 30.0] {
        let mut bucket = Bucket::default();
        let mut taken = 0;
        for step in 0..2_000 {
            if bucket.wait(Some(rate), ms(step * 10)).is_zero() {
                bucket.take();
                taken += 1;
            }
        }
        let burst = BURST + rate * BURST_TIME.as_secs_f64();
        assert!(f64::from(taken) <= 20.0 * rate + burst, "{taken} at {rate}");
        assert!(f64::from(taken) >= 20.0 * rate - 2.0, "{taken} at {rate}");
    }
    let mut bucket = Bucket::default();
    bucket.wait(Some(5.0), ms(0));
    assert!(bucket.wait(Some(5.0), ms(60_000)).is_zero());
    bucket.take();
    assert!(!bucket.wait(Some(5.0), ms(60_000)).is_zero());
}
