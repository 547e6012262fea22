//! Tests of the account of what clients make a daemon hold, in virtual time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

/// The longest body of the users' deployments.
const BODY_BYTES: usize = 4_194_304;
/// Their smallest VM.
const MEMORY_BYTES: usize = 160_000_000;
const DESCRIPTORS: usize = 4_100;
/// Shares are rounded to whole bytes of each connection.
const ROUNDING_BYTES: usize = 10_000;
/// Sixty were played by hand.
const SEEDS: u64 = 10;
const STEPS: usize = 4_000;

fn bound(connections: usize, bytes: usize) -> Bound {
    Bound {
        connections,
        bytes,
        backlog: 16,
        unread_bytes: MIN_UNREAD_BYTES,
    }
}

fn second(seconds: f64) -> Time {
    Duration::from_secs_f64(seconds)
}

/// Connects a client that receives a body.
fn receive(account: &mut Account, now: Time) -> Id {
    let Admission::Admitted(id, None) = account.connect(now) else {
        panic!("there is room");
    };
    account.receive(id, now);
    id
}

/// Guards against a bound that leaves the process nothing for itself, or a client inside the limits no room.
#[test]
fn bound_fits_machines() {
    for (memory_bytes, descriptors) in [
        (MEMORY_BYTES, DESCRIPTORS),
        (260_000_000, 4_100),
        (512_000_000, 8_192),
        (32_000_000, 400),
    ] {
        let bound = Bound::new(memory_bytes, descriptors);
        // The kernel takes twice the size that it is told for a connection's unread bytes.
        let unread = 2 * bound.unread_bytes * (bound.connections + bound.backlog);
        let all = bound.connections * CONNECTION_BYTES + bound.bytes + unread;
        let slack = (memory_bytes - PROCESS_BYTES) / 8;
        assert!(
            all + slack + PROCESS_BYTES <= memory_bytes + ROUNDING_BYTES,
            "{all} of {memory_bytes}"
        );
        assert!(2 * bound.connections + 2 * bound.refusals() < descriptors - FILE_DESCRIPTORS);
        assert!(bound.largest() >= BODY_BYTES);
    }
    let bound = Bound::new(MEMORY_BYTES, DESCRIPTORS);
    assert!(bound.largest() >= 8 * BODY_BYTES);
    assert!(bound.connections >= 500);
}

/// Guards against settings that leave no room at all.
#[test]
fn bound_without_memory_has_room_for_one() {
    let bound = Bound::new(0, 0);
    assert_eq!((bound.connections, bound.bytes), (1, 0));
    let mut account = Account::new(bound);
    let id = receive(&mut account, Time::ZERO);
    assert_eq!(
        account.grow(id, 1, Time::ZERO),
        Grant::Refused(DEFAULT_WAIT)
    );
}

/// Guards against bodies that have stopped and keep out others until they time out.
#[test]
fn grow_stopped_bodies_give_way() {
    let mut account = Account::new(bound(10, 8 * BODY_BYTES));
    let crowd: Vec<Id> = (0..7)
        .map(|_| {
            let id = receive(&mut account, Time::ZERO);
            assert_eq!(account.grow(id, BODY_BYTES, Time::ZERO), Grant::Granted);
            account.progress(id, BODY_BYTES - 1, Time::ZERO);
            id
        })
        .collect();
    let late = receive(&mut account, second(0.5));
    let refused = account.grow(late, BODY_BYTES, second(0.5));
    assert_eq!(refused, Grant::Refused(second(0.5)), "they may still go on");
    assert_eq!(
        account.grow(late, BODY_BYTES, second(1.1)),
        Grant::Pending(vec![crowd[0]])
    );
    assert_eq!(
        account.grow(late, BODY_BYTES, second(1.1)),
        Grant::Pending(Vec::new()),
        "one is enough"
    );
    account.close(crowd[0]);
    assert_eq!(account.grow(late, BODY_BYTES, second(1.1)), Grant::Granted);
}

/// Guards against a body that comes byte by byte and counts as one that goes on.
#[test]
fn grow_slow_body_gives_way() {
    let mut account = Account::new(bound(10, 2 * BODY_BYTES));
    let slow = receive(&mut account, Time::ZERO);
    assert_eq!(account.grow(slow, BODY_BYTES, Time::ZERO), Grant::Granted);
    for tenth in 1..=20 {
        account.progress(slow, 100, second(0.1 * f64::from(tenth)));
    }
    let other = receive(&mut account, second(2.0));
    assert_eq!(
        account.grow(other, BODY_BYTES, second(2.0)),
        Grant::Pending(vec![slow])
    );
}

/// Guards against a body that goes on and is given up for a later one.
#[test]
fn grow_earlier_body_ends_first() {
    let mut account = Account::new(bound(10, 2 * BODY_BYTES));
    let (first, second_one) = (
        receive(&mut account, Time::ZERO),
        receive(&mut account, Time::ZERO),
    );
    let half = account.bound().largest() / 2;
    assert_eq!(account.grow(first, half, Time::ZERO), Grant::Granted);
    assert_eq!(account.grow(second_one, half, Time::ZERO), Grant::Granted);
    assert!(matches!(
        account.grow(second_one, half, Time::ZERO),
        Grant::Refused(_)
    ));
    assert_eq!(
        account.grow(first, half, Time::ZERO),
        Grant::Pending(vec![second_one])
    );
}

/// Guards against large bodies that hold everything, so that smaller ones are refused.
#[test]
fn grow_small_body_beside_large_ones() {
    let mut account = Account::new(bound(10, 2 * BODY_BYTES));
    let large = receive(&mut account, Time::ZERO);
    let largest = account.bound().largest();
    assert_eq!(account.grow(large, largest, Time::ZERO), Grant::Granted);
    account.serve(large);
    let small = receive(&mut account, Time::ZERO);
    assert_eq!(account.grow(small, SMALL_BYTES, Time::ZERO), Grant::Granted);
    assert!(matches!(
        account.grow(small, SMALL_BYTES, Time::ZERO),
        Grant::Refused(_)
    ));
}

/// Guards against requests that were received and are dropped for bodies that were not.
#[test]
fn grow_served_requests_keep_theirs() {
    let mut account = Account::new(bound(10, 2 * BODY_BYTES));
    let served = receive(&mut account, Time::ZERO);
    assert_eq!(account.grow(served, BODY_BYTES, Time::ZERO), Grant::Granted);
    account.serve(served);
    let other = receive(&mut account, second(5.0));
    assert_eq!(
        account.grow(other, BODY_BYTES, second(9.0)),
        Grant::Refused(DEFAULT_WAIT)
    );
    account.shrink(served, BODY_BYTES);
    assert_eq!(account.grow(other, BODY_BYTES, second(9.0)), Grant::Granted);
}

/// Guards against idle connections that keep new ones out.
#[test]
fn connect_full_longest_idle_gives_way() {
    let mut account = Account::new(bound(3, BODY_BYTES));
    let ids: Vec<Id> = (0..3)
        .map(|n| receive(&mut account, second(f64::from(n))))
        .collect();
    account.serve(ids[0]);
    account.wait(ids[1], second(4.0));
    account.wait(ids[2], second(3.5));
    assert_eq!(
        account.connect(second(5.0)),
        Admission::Admitted(3, Some(ids[2]))
    );
    assert_eq!(account.connect(second(5.0)), Admission::Pending);
    account.close(ids[2]);
    assert_eq!(
        account.connect(second(5.0)),
        Admission::Admitted(4, Some(ids[1]))
    );
    account.close(ids[1]);
    for id in [3, 4] {
        account.serve(id);
    }
    assert_eq!(
        account.connect(second(5.0)),
        Admission::Refused,
        "all are served"
    );
}

/// Guards against new connections that wait for one to end whose request was received at that moment.
#[test]
fn connect_full_served_victim_not_awaited() {
    let mut account = Account::new(bound(1, BODY_BYTES));
    assert_eq!(account.connect(Time::ZERO), Admission::Admitted(0, None));
    assert_eq!(
        account.connect(second(1.0)),
        Admission::Admitted(1, Some(0))
    );
    account.serve(0);
    assert!(!account.is_evicted(0));
    assert_eq!(
        account.connect(second(1.0)),
        Admission::Admitted(2, Some(1))
    );
}

/// Guards against idle connections that are closed while bodies that have stopped stay.
#[test]
fn connect_full_stopped_body_gives_way_first() {
    let mut account = Account::new(bound(2, BODY_BYTES));
    let idle = receive(&mut account, Time::ZERO);
    account.wait(idle, Time::ZERO);
    let stopped = receive(&mut account, second(1.0));
    assert_eq!(
        account.connect(second(1.5)),
        Admission::Admitted(2, Some(idle))
    );
    account.close(idle);
    account.wait(2, second(1.6));
    assert_eq!(
        account.connect(second(2.1)),
        Admission::Admitted(3, Some(stopped))
    );
}

/// Plays clients that connect, send, stop, are served and leave, in any order. Guards against bytes that are counted
/// twice, not given back, or granted beyond the bound, and against room that no one gets.
#[test]
fn account_any_order_keeps_bound() {
    for seed in 0..SEEDS {
        play(seed);
    }
}

fn play(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let limits = bound(
        random.random_range(2..40),
        random.random_range(1..40) * BODY_BYTES,
    );
    let overlap = limits.connections / OVERLAP_DIVISOR + 1;
    let mut account = Account::new(limits);
    let mut open: IndexMap<Id, usize> = IndexMap::new();
    let mut evicted = Vec::new();
    let mut now = Time::ZERO;
    for _ in 0..STEPS {
        now += Duration::from_millis(random.random_range(0..50));
        let chosen = (!open.is_empty()).then(|| {
            let index = random.random_range(0..open.len());
            *open.get_index(index).expect("an open one").0
        });
        match (random.random_range(0..9), chosen) {
            (0, _) | (_, None) => match account.connect(now) {
                Admission::Admitted(id, victim) => {
                    open.insert(id, 0);
                    evicted.extend(victim);
                }
                Admission::Pending => assert!(!evicted.is_empty(), "seed {seed}"),
                Admission::Refused => assert!(open.len() >= limits.connections, "seed {seed}"),
            },
            (1, Some(id)) => account.receive(id, now),
            (2, Some(id)) => account.serve(id),
            (3, Some(id)) => account.wait(id, now),
            (4, Some(id)) => account.progress(id, random.random_range(0..100_000), now),
            (5, Some(id)) => {
                let bytes = random.random_range(0..=open[&id]);
                account.shrink(id, bytes);
                open[&id] -= bytes;
            }
            (6, Some(id)) => {
                account.close(id);
                open.swap_remove(&id);
                evicted.retain(|victim| *victim != id);
            }
            (_, Some(id)) => {
                let bytes = random.random_range(1..=BODY_BYTES);
                match account.grow(id, bytes, now) {
                    Grant::Granted => open[&id] += bytes,
                    Grant::Pending(victims) => {
                        evicted.extend(victims);
                        assert!(!evicted.is_empty(), "seed {seed}");
                    }
                    Grant::Refused(wait) => assert!(wait >= MIN_WAIT, "seed {seed}"),
                }
            }
        }
        // Those that give way end soon.
        if random.random_bool(0.5)
            && let Some(victim) = evicted.pop()
        {
            account.close(victim);
            open.swap_remove(&victim);
            evicted.retain(|other| *other != victim);
        }
        assert_eq!(account.bytes(), open.values().sum::<usize>(), "seed {seed}");
        assert!(account.bytes() <= limits.bytes, "seed {seed}");
        let large = open.values().filter(|bytes| **bytes > SMALL_BYTES);
        assert!(large.sum::<usize>() <= limits.largest(), "seed {seed}");
        assert_eq!(account.connections(), open.len(), "seed {seed}");
        assert!(open.len() <= limits.connections + overlap, "seed {seed}");
    }
    for id in open.into_keys() {
        account.close(id);
    }
    assert_eq!(
        (account.bytes(), account.connections()),
        (0, 0),
        "seed {seed}"
    );
}
