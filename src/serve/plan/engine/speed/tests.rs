use super::*;

/// Engines of one customer read 32 tokens in a millisecond, those of another one 92.
#[test]
fn speed_learned_for_any_engine() {
    for (base_ms, tokens_per_ms) in [(20.0, 32.0), (60.0, 61.8), (10.0, 91.8)] {
        let mut speed = Speed::default();
        for index in 0..400_u64 {
            let tokens = 200 + index * 7_919 % 20_000;
            let took = base_ms + tokens as f64 / tokens_per_ms;
            speed.record(tokens, Duration::from_secs_f64(took / 1000.0));
        }
        for tokens in [1_000_u64, 10_000, 40_000] {
            let took = base_ms + tokens as f64 / tokens_per_ms;
            let learned = (speed.base() + speed.read_time(tokens)).as_secs_f64() * 1000.0;
            assert!(
                (learned - took).abs() < 0.25 * took + 5.0,
                "{tokens} tokens: {learned} instead of {took}"
            );
        }
    }
}

#[test]
fn speed_hardly_moved_by_one_stuck_request() {
    let mut speed = Speed::default();
    let before = speed.base() + speed.read_time(5_000);
    speed.record(5_000, Duration::from_secs(60));
    assert!(speed.base() + speed.read_time(5_000) < before.mul_f64(1.1));
}
