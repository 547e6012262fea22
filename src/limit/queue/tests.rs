//! Tests of the fair queue.

use proptest::prelude::*;

use super::*;

fn item(number: u128, workspace: &str, cost: u64) -> Item {
    Item {
        ticket: Ticket {
            request: uuid::Uuid::from_u128(number),
            attempt: 0,
        },
        workspace: workspace.into(),
        weight: 1.0,
        priority: 4,
        deadline: Duration::from_secs(3),
        latest_start: Duration::from_secs(2),
        cost,
        enqueued: Duration::ZERO,
    }
}

fn pop(queue: &mut Queue) -> Option<Item> {
    queue.pop(Duration::from_millis(100), Duration::from_millis(1))
}

#[test]
fn pop_same_workspace_earliest_deadline_first() {
    let mut queue = Queue::default();
    let mut later = item(1, "a", 1);
    later.deadline = Duration::from_secs(9);
    queue.push(later, 10);
    queue.push(item(2, "a", 1), 10);
    let mut urgent = item(3, "a", 1);
    urgent.priority = 0;
    urgent.deadline = Duration::from_secs(10);
    queue.push(urgent, 10);
    let order: Vec<u128> = std::iter::from_fn(|| pop(&mut queue))
        .map(|i| i.ticket.request.as_u128())
        .collect();
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn pop_greedy_workspace_does_not_delay_others() {
    let mut queue = Queue::default();
    for number in 0..100 {
        queue.push(item(number, "greedy", 10), 1000);
    }
    queue.push(item(200, "small", 10), 1000);
    let first_two: Vec<_> = (0..2).filter_map(|_| pop(&mut queue)).collect();
    assert!(first_two.iter().any(|i| &*i.workspace == "small"));
}

#[test]
fn push_full_evicts_from_longest_flow() {
    let mut queue = Queue::default();
    for number in 0..4 {
        assert_eq!(queue.push(item(number, "greedy", 10), 4), None);
    }
    let evicted = queue.push(item(9, "small", 1), 4).unwrap();
    assert_eq!(&*evicted.workspace, "greedy");
    assert_eq!(queue.len(), 4);
}

#[test]
fn expire_late_items_are_returned_once() {
    let mut queue = Queue::default();
    queue.push(item(1, "a", 1), 10);
    assert_eq!(queue.expire(Duration::from_secs(2)).len(), 1);
    assert!(queue.expire(Duration::from_secs(2)).is_empty());
    assert!(queue.is_empty());
}

#[test]
fn is_standing_only_after_long_waits() {
    let target = Duration::from_millis(100);
    let mut queue = Queue::default();
    for number in 0..30 {
        queue.push(item(number, "a", 1), 100);
    }
    queue.pop(target, Duration::from_millis(50));
    assert!(!queue.is_standing(Duration::from_millis(500)));
    queue.pop(target, Duration::from_millis(600));
    assert!(queue.is_standing(Duration::from_millis(600)));
    queue.record_short_wait(Duration::from_millis(700));
    assert!(!queue.is_standing(Duration::from_millis(700)));
}

#[test]
fn pop_idle_workspaces_leave_no_state() {
    let mut queue = Queue::default();
    for number in 0..1000 {
        queue.push(item(number, &format!("w{number}"), 1), 2000);
    }
    while pop(&mut queue).is_some() {}
    assert_eq!(queue.workspaces(), 0);
}

proptest! {
    #[test]
    fn queue_bounded_and_conserving(ops in prop::collection::vec((0u8..4, 0u8..5, 1u64..50), 0..400)) {
        let mut queue = Queue::default();
        let (mut pushed, mut out) = (0u128, 0u128);
        for (op, workspace, cost) in ops {
            if op < 3 {
                pushed += 1;
                let evicted = queue.push(item(pushed, &format!("w{workspace}"), cost), 8);
                out += u128::from(evicted.is_some());
            } else {
                out += u128::from(pop(&mut queue).is_some());
            }
            prop_assert!(queue.len() <= 8);
            prop_assert_eq!(pushed - out, queue.len() as u128);
        }
    }

    #[test]
    fn pop_backlogged_workspaces_share_by_weight(weight in 1u32..5) {
        let mut queue = Queue::default();
        for number in 0..400u128 {
            let mut heavy = item(number * 2, "heavy", 10);
            heavy.weight = f64::from(weight);
            queue.push(heavy, 1000);
            queue.push(item(number * 2 + 1, "light", 10), 1000);
        }
        let heavy = (0..100).filter_map(|_| pop(&mut queue)).filter(|i| &*i.workspace == "heavy").count();
        let expected = 100.0 * f64::from(weight) / f64::from(weight + 1);
        prop_assert!((heavy as f64 - expected).abs() <= 2.0, "{heavy} of 100, expected {expected}");
    }
}
