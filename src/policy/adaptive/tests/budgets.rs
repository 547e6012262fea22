//! Tests of the budgets of retries, hedges and queues.

use super::*;

/// Trains the policy with calls that take `ms` milliseconds.
fn train(policy: &mut Adaptive, calls: u128, ms: u64) {
    for number in 0..calls {
        let next = attempt(10_000 + number);
        let pick = send(policy, &next, NOW).unwrap();
        policy.observe(&ended(&next, &pick, ms, answered()), NOW);
    }
}

#[test]
fn hedge_budget_stays_under_a_twentieth_of_calls() {
    let mut policy = policy(&fleet(8));
    train(&mut policy, 100, 20);
    let (mut calls, mut hedges) = (100u32, 0u32);
    for number in 0..2000 {
        let mut next = attempt(number);
        let pick = send(&mut policy, &next, NOW).unwrap();
        calls += 1;
        let first = next.clone();
        next.id = 1;
        next.exclude.push(pick.endpoint.clone());
        if let Some(second) = policy.hedge(&next, NOW) {
            hedges += 1;
            assert_ne!(second.endpoint, pick.endpoint);
            policy.observe(&ended(&next, &second, 20, End::Cancelled), NOW);
        }
        policy.observe(&ended(&first, &pick, 20, answered()), NOW);
    }
    assert!(hedges > 0);
    assert!(hedges * 20 <= calls + hedges, "{hedges} of {calls}");
}

#[test]
fn hedge_non_repeatable_never() {
    let mut policy = policy(&fleet(4));
    train(&mut policy, 200, 20);
    let mut order = attempt(1);
    order.repeatable = false;
    let pick = send(&mut policy, &order, NOW).unwrap();
    assert_eq!(pick.hedge_after, None);
    assert_eq!(policy.hedge(&order, NOW), None);
}

#[test]
fn retry_outage_does_not_multiply_load() {
    let mut policy = policy(&fleet(8));
    let error = endpoint::Error::Failed {
        step: "call",
        peer: "e0".into(),
        reason: "down".into(),
    };
    let mut retries = 0;
    for number in 0..1000 {
        let mut next = attempt(number);
        let Some(pick) = send(&mut policy, &next, NOW) else {
            continue;
        };
        policy.observe(&ended(&next, &pick, 5, failed()), NOW);
        next.exclude.push(pick.endpoint);
        retries += u32::from(policy.retry(&next, &error, NOW) != Retry::Stop);
    }
    assert!(retries <= 1000 * 15 / 100 + 10, "{retries}");
}

#[test]
fn retry_without_time_stops() {
    let mut policy = policy(&fleet(4));
    train(&mut policy, 50, 500);
    let mut next = attempt(1);
    next.deadline = NOW + Duration::from_millis(300);
    next.exclude.push("e0".into());
    let error = endpoint::Error::Timeout {
        step: "call",
        peer: "e0".into(),
        limit: DEADLINE,
    };
    assert_eq!(policy.retry(&next, &error, NOW), Retry::Stop);
    assert!(policy.is_hopeless(&next, NOW));
}

#[test]
fn retry_lost_non_repeatable_stops() {
    let mut policy = policy(&fleet(4));
    let mut order = attempt(1);
    order.repeatable = false;
    order.exclude.push("e0".into());
    let error = endpoint::Error::Lost {
        step: "call",
        peer: "e0".into(),
        reason: "reset".into(),
    };
    assert_eq!(policy.retry(&order, &error, NOW), Retry::Stop);
}

#[test]
fn knobs_at_run_time_bound_the_queue() {
    let mut policy = policy(&fleet(1));
    let knobs = crate::policy::knobs::Knobs {
        max_in_flight: 1,
        max_queue: 2,
        ..Default::default()
    };
    let scope = crate::policy::knobs::Scope::Pool("menu-model".into());
    policy.observe(&Observation::Knobs(scope, Some(Box::new(knobs))), NOW);
    assert!(send(&mut policy, &attempt(0), NOW).is_some());
    for number in 1..20 {
        policy.place(&attempt(number), NOW);
        assert!(policy.pools["menu-model"].queue.len() <= 2);
    }
}
