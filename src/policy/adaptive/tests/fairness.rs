//! Tests of admission, queues and fairness.

use super::*;

fn arrival(number: u128, workspace: &str) -> Arrival {
    Arrival {
        request: uuid::Uuid::from_u128(number),
        workspace: workspace.into(),
        pipeline: "menu".into(),
        pools: vec!["menu-model".into()],
        deadline: NOW + DEADLINE,
        priority: 4,
        cost: 100,
    }
}

/// A policy that knows a stage of half a second on four endpoints.
fn trained_policy() -> Adaptive {
    let mut policy = policy(&fleet(4));
    for number in 0..50 {
        policy.admit(&arrival(10_000 + number, "warm"), Time::ZERO);
        let next = attempt(10_000 + number);
        let pick = send(&mut policy, &next, NOW).unwrap();
        policy.observe(&ended(&next, &pick, 500, answered()), NOW);
        let ended = Observation::RequestEnded {
            request: next.request,
            attained: true,
        };
        policy.observe(&ended, NOW);
    }
    policy
}

#[test]
fn admit_greedy_workspace_is_refused_and_others_are_not() {
    let mut policy = trained_policy();
    let mut refused = 0;
    for number in 0..1000 {
        let admission = policy.admit(&arrival(number, "greedy"), NOW);
        refused += u32::from(admission != Admission::Admit);
    }
    assert!(refused > 500, "{refused}");
    let other = policy.admit(&arrival(5000, "school"), NOW);
    assert_eq!(other, Admission::Admit);
}

#[test]
fn admit_low_priority_is_refused_first() {
    let mut policy = trained_policy();
    let mut number = 0;
    while policy.admit(&arrival(number, "greedy"), NOW) == Admission::Admit {
        number += 1;
    }
    let mut urgent = arrival(5000, "greedy");
    urgent.priority = 0;
    assert_eq!(policy.admit(&urgent, NOW), Admission::Admit);
}

#[test]
fn admit_state_of_finished_requests_is_dropped() {
    let policy = trained_policy();
    assert_eq!(policy.admitted.len(), 0);
    assert_eq!(policy.flights.len(), 0);
    let pool = &policy.pools["menu-model"];
    assert_eq!(
        (pool.pending_tokens, pool.pending_by_workspace.len()),
        (0, 0)
    );
}

#[test]
fn place_full_pool_waits_until_ready() {
    let mut policy = policy(&fleet(1));
    let mut sent = Vec::new();
    let mut waiting = Vec::new();
    for number in 0..10 {
        let next = attempt(number);
        match policy.place(&next, NOW) {
            Placement::Send(pick) => sent.push((next, pick)),
            Placement::Wait => waiting.push(next),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((sent.len(), waiting.len()), (2, 8));
    assert!(policy.ready(NOW).is_empty());
    let (first, pick) = sent.remove(0);
    policy.observe(&ended(&first, &pick, 50, answered()), NOW);
    let tickets = policy.ready(NOW);
    assert!(!tickets.is_empty());
    assert!(policy.ready(NOW).is_empty(), "each is returned once");
    let next = waiting
        .iter()
        .find(|a| a.request == tickets[0].request)
        .unwrap();
    assert!(send(&mut policy, next, NOW).is_some());
}

#[test]
fn ready_expired_attempt_is_refused() {
    let mut policy = policy(&fleet(1));
    for number in 0..3 {
        policy.place(&attempt(number), NOW);
    }
    let late = NOW + DEADLINE;
    let tickets = policy.ready(late);
    assert_eq!(tickets.len(), 1);
    let placement = policy.place(&attempt(2), late);
    assert!(matches!(placement, Placement::Refuse { .. }));
}

#[test]
fn abandon_waiting_leaves_no_state() {
    let mut policy = policy(&fleet(1));
    for number in 0..3 {
        policy.place(&attempt(number), NOW);
    }
    let ticket = Ticket {
        request: uuid::Uuid::from_u128(2),
        attempt: 0,
    };
    policy.abandon(&ticket, NOW);
    assert!(policy.pools["menu-model"].queue.is_empty());
    assert_eq!(policy.next_wake(), None);
}
