//! Tests of the retry budget.

use proptest::prelude::*;
use rand::SeedableRng;

use super::*;

proptest! {
    #[test]
    fn budget_never_exceeded(ops in prop::collection::vec(any::<bool>(), 0..2000), ratio in 0.0..1.0f64) {
        let mut budget = Budget::new(1.0);
        let (mut earned, mut spent) = (1.0, 0.0);
        for is_call in ops {
            if is_call {
                budget.earn(ratio);
                earned += ratio;
            } else if budget.spend() {
                spent += 1.0;
            }
            prop_assert!(spent <= earned + 1e-6);
        }
    }

    #[test]
    fn backoff_within_bound(retry in 0u32..40, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let base = Duration::from_millis(20);
        let delay = backoff(base, retry, &mut rng);
        prop_assert!(delay <= MAX_BACKOFF);
        prop_assert!(delay <= base.saturating_mul(1 << retry.min(16)));
    }
}
