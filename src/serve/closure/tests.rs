//! Tests of what endpoints say of themselves.

use std::net::SocketAddr;

use super::*;

fn meta(is_leaving: bool, retry_after: Option<u64>) -> ResponseMeta {
    ResponseMeta {
        is_id_matching: true,
        is_refusal: retry_after.is_some(),
        is_input_lost: false,
        is_sealed: true,
        is_leaving,
        retry_after: retry_after.map(Duration::from_secs),
        limit: None,
        is_brittle: false,
        pace: None,
    }
}

fn endpoint(born: u64) -> Endpoint {
    Endpoint {
        id: "e".into(),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "a".into(),
        release: "v1".into(),
        slots: 1,
        draining: false,
        cold_remaining: Duration::ZERO,
        born,
        seq: 1,
    }
}

fn closures() -> Closures {
    Closures::new(Logger::root(slog::Discard, slog::o!()))
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn closed_until_the_latest_end() {
    let closures = closures();
    assert!(!closures.record(&"e".into(), &meta(false, None), SECOND));
    assert!(closures.record(&"e".into(), &meta(false, Some(5)), SECOND));
    assert!(closures.record(&"e".into(), &meta(false, Some(2)), 2 * SECOND));
    let remaining = |now| closures.get("e", now).map(|closure| closure.remaining);
    assert_eq!(remaining(5 * SECOND), Some(Some(SECOND)));
    assert_eq!(remaining(6 * SECOND), None);
    assert_eq!(closures.all(6 * SECOND), []);
}

#[test]
fn closed_time_bounded() {
    let closures = closures();
    closures.record(&"e".into(), &meta(false, Some(u64::MAX)), SECOND);
    assert_eq!(closures.get("e", SECOND + MAX_CLOSED_TIME), None);
}

#[test]
fn leaving_for_one_life() {
    let closures = closures();
    closures.observe([endpoint(7)].iter());
    closures.record(&"e".into(), &meta(true, None), SECOND);
    for listed in [vec![endpoint(7)], vec![], vec![endpoint(7)]] {
        closures.observe(listed.iter());
        let closure = closures.get("e", 1_000 * SECOND);
        assert_eq!(closure.map(|closure| closure.remaining), Some(None));
    }
    closures.observe([endpoint(8)].iter());
    assert_eq!(closures.get("e", 1_000 * SECOND), None);
}
