//! The rate limit of appends to the log.

use super::SECOND;
use crate::control::budget::{Budget, Class};
use std::time::Duration;

#[test]
fn budget_keeps_reserve_for_claims() {
    let budget = Budget::new();
    let count = |class| {
        (0..100)
            .filter(|_| budget.take(class, Duration::ZERO).is_ok())
            .count()
    };
    assert_eq!(count(Class::Background), 4);
    assert_eq!(count(Class::Control), 3);
    assert_eq!(count(Class::Claim), 3);
    assert!(budget.take(Class::Claim, Duration::ZERO).is_err());
}

#[test]
fn budget_follows_share_and_refusals() {
    let budget = Budget::new();
    budget.set_share(200, 10);
    while budget.take(Class::Claim, Duration::ZERO).is_ok() {}
    let wait = budget.take(Class::Claim, Duration::ZERO).unwrap_err();
    assert_eq!(wait, SECOND / 20);
    budget.on_refused(Duration::ZERO);
    let slower = budget.take(Class::Claim, Duration::ZERO).unwrap_err();
    assert_eq!(slower, SECOND / 10);
    assert!(budget.take(Class::Background, 60 * SECOND).is_ok());
}
