//! Tests of the link budget.

use proptest::prelude::*;

use super::*;

#[test]
fn allows_bulk_yields_to_non_repeatable() {
    let mut budget = Budget::new(1000.0);
    let now = Duration::from_secs(1);
    budget.spend(700, now);
    assert!(!budget.allows(Class::Bulk, 1, now));
    assert!(budget.allows(Class::Interactive, 50, now));
    assert!(budget.allows(Class::NonRepeatable, 200, now));
}

proptest! {
    #[test]
    fn spend_checked_never_exceeds_rate(calls in prop::collection::vec((1u64..400, 0u64..200), 1..300)) {
        let mut budget = Budget::new(1000.0);
        let mut now = Duration::ZERO;
        for (bytes, pause) in calls {
            now += Duration::from_millis(pause);
            if budget.allows(Class::Bulk, bytes, now) {
                budget.spend(bytes, now);
            }
        }
        prop_assert!(budget.spent() as f64 <= 1000.0 * (1.0 + now.as_secs_f64()) + 1.0);
    }
}
