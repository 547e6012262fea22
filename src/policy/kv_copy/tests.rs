//! Tests of the choice between copying and recomputing KV cache.

use proptest::prelude::*;

use super::*;

/// 2,000 tokens of 100 KB each; a prefill of 0.2 ms a token.
fn estimate(bandwidth: f64, byte_price: f64) -> Estimate {
    Estimate {
        tokens: 2000,
        token_bytes: 100_000,
        prefill: Duration::from_micros(200),
        bandwidth,
        byte_price,
        engine_price: 1.0,
        remaining: Duration::from_secs(3),
    }
}

#[test]
fn decide_fast_free_copy_copies() {
    assert_eq!(estimate(1e9, 0.0).decide(), Decision::Copy(200_000_000));
}

#[test]
fn decide_regional_link_recomputes() {
    assert_eq!(estimate(3.75e6, 0.0).decide(), Decision::Recompute);
}

#[test]
fn decide_expensive_bytes_recomputes() {
    assert_eq!(estimate(1e9, 1e-8).decide(), Decision::Recompute);
}

#[test]
fn decide_no_time_left_recomputes() {
    let mut late = estimate(1e9, 0.0);
    late.remaining = Duration::from_millis(500);
    assert_eq!(late.decide(), Decision::Recompute);
}

proptest! {
    #[test]
    fn decide_copy_is_never_slower(bandwidth in 1e3..1e10f64, tokens in 0u64..100_000) {
        let estimate = Estimate { tokens, ..estimate(bandwidth, 0.0) };
        if let Decision::Copy(bytes) = estimate.decide() {
            prop_assert!(bytes as f64 / bandwidth < tokens as f64 * 0.0002);
        }
    }
}
