//! Tests of the placement of KV cache.

use proptest::prelude::*;

use super::*;

/// 2,000 tokens of 100 KB each; a prefill of 0.2 ms a token.
fn offer(bandwidth: f64, byte_price: f64) -> Offer {
    Offer {
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
fn choose_fast_free_way_copies() {
    assert_eq!(offer(1e9, 0.0).choose(), Choice::Copy(200_000_000));
}

#[test]
fn choose_regional_link_recomputes() {
    assert_eq!(offer(3.75e6, 0.0).choose(), Choice::Recompute);
}

#[test]
fn choose_dear_bytes_recompute() {
    assert_eq!(offer(1e9, 1e-8).choose(), Choice::Recompute);
}

#[test]
fn choose_no_time_left_recomputes() {
    let mut late = offer(1e9, 0.0);
    late.remaining = Duration::from_millis(500);
    assert_eq!(late.choose(), Choice::Recompute);
}

proptest! {
    #[test]
    fn choose_copy_is_never_slower(bandwidth in 1e3..1e10f64, tokens in 0u64..100_000) {
        let offer = Offer { tokens, ..offer(bandwidth, 0.0) };
        if let Choice::Copy(bytes) = offer.choose() {
            prop_assert!(bytes as f64 / bandwidth < tokens as f64 * 0.0002);
        }
    }
}
