//! Orders reach engines whatever predecessors and lost answers do.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{FakeEngine, SECOND};
use crate::clock::Time;
use crate::endpoint::Order;
use crate::id;
use crate::order::POLL_INTERVAL;
use crate::order::reconcile::{Action, Authority, Reconciler, Spec};

const TIMEOUT: Duration = Duration::from_secs(5);
const LOAD: Duration = Duration::from_secs(8);
const STEP: Time = Duration::from_millis(500);
/// A late order is corrected after a read-back, an order with its backoff, and a load.
const CORRECTION: Duration = Duration::from_secs(60);

fn desire(version: &str) -> Spec {
    Spec {
        versions: vec![version.into()],
        role: None,
    }
}

fn old(version: &str) -> Order {
    Order {
        fence: 3,
        versions: vec![version.into()],
        role: None,
    }
}

/// A controller with a later token, engines, and a predecessor whose orders arrive late.
struct World {
    engines: Vec<FakeEngine>,
    reconciler: Reconciler,
    authority: Authority,
    rng: ChaCha8Rng,
    late: Vec<(Time, usize)>,
    loss: f64,
}

impl World {
    fn new(seed: u64, checks_fencing: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut reconciler = Reconciler::new(TIMEOUT);
        for index in 0..6 {
            let name: id::Endpoint = format!("e{index}").into();
            reconciler.set_spec(&name, "a:1", checks_fencing, desire("v2"));
        }
        let late = (0..8)
            .map(|_| (SECOND * rng.random_range(0..40), rng.random_range(0..6)))
            .collect();
        Self {
            engines: vec![FakeEngine::new("v1", checks_fencing, LOAD); 6],
            reconciler,
            authority: Authority {
                fence: 9,
                acquired_at: Time::ZERO,
            },
            rng,
            late,
            loss: 0.2,
        }
    }

    fn turn(&mut self, now: Time) {
        let due: Vec<usize> = self
            .late
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, e)| e)
            .collect();
        for engine in due {
            self.engines[engine].take(&old("v1"), now);
        }
        for action in self.reconciler.tick(self.authority, now) {
            match action {
                Action::ReadState { endpoint, .. } => {
                    let index = index_of(&endpoint);
                    let state = self.engines[index].state(now);
                    let is_lost = self.rng.random_bool(self.loss);
                    let state = (!is_lost).then_some(state);
                    self.reconciler.on_state_read(&endpoint, state, now);
                }
                Action::SendOrder {
                    endpoint, order, ..
                } => {
                    if self.rng.random_bool(1.0 - self.loss) {
                        self.engines[index_of(&endpoint)].take(&order, now);
                    }
                    self.reconciler.on_order_ended(&endpoint, now);
                }
            }
        }
    }

    fn run(&mut self, until: Time) {
        let mut now = Time::ZERO;
        while now < until {
            self.turn(now);
            now += STEP;
        }
        for engine in &mut self.engines {
            engine.state(now);
        }
    }
}

fn index_of(endpoint: &str) -> usize {
    endpoint[1..].parse().unwrap()
}

#[test]
fn checking_engines_never_take_an_old_order() {
    for seed in 0..50 {
        let mut world = World::new(seed, true);
        world.run(40 * SECOND + CORRECTION);
        for engine in &world.engines {
            let is_rising = engine.taken.is_sorted();
            assert!(is_rising, "seed {seed}: {:?}", engine.taken);
            assert_eq!(engine.versions, ["v2".into()], "seed {seed}");
        }
    }
}

#[test]
fn ignoring_engines_end_as_ordered_in_time() {
    for seed in 0..50 {
        let mut world = World::new(seed, false);
        world.run(40 * SECOND + CORRECTION);
        for engine in &world.engines {
            assert_eq!(engine.versions, ["v2".into()], "seed {seed}");
        }
    }
}

#[test]
fn successor_waits_out_orders_of_predecessor() {
    let order_at = |checks_fencing| {
        let mut world = World::new(1, checks_fencing);
        world.loss = 0.0;
        world.late.clear();
        let mut now = Time::ZERO;
        while world.engines[0].taken.is_empty() {
            world.turn(now);
            now += STEP;
        }
        now
    };
    assert!(order_at(true) <= SECOND);
    assert!(order_at(false) >= TIMEOUT);
}

#[test]
fn one_order_in_flight_to_each() {
    let mut reconciler = Reconciler::new(TIMEOUT);
    let engine: id::Endpoint = "e0".into();
    reconciler.set_spec(&engine, "a:1", true, desire("v2"));
    let authority = Authority {
        fence: 9,
        acquired_at: Time::ZERO,
    };
    assert_eq!(reconciler.tick(authority, Time::ZERO).len(), 1);
    assert!(
        reconciler.tick(authority, SECOND).is_empty(),
        "a read is out"
    );
    let state = FakeEngine::new("v1", true, LOAD).state(SECOND);
    reconciler.on_state_read("e0", Some(state), SECOND);
    let given = reconciler.tick(authority, SECOND);
    assert!(matches!(given[0], Action::SendOrder { .. }));
    assert!(reconciler.tick(authority, 2 * SECOND).is_empty());
    assert!(reconciler.tick(authority, 5 * SECOND).is_empty());
    assert_eq!(reconciler.tick(authority, 6 * SECOND).len(), 1);
}

#[test]
fn loading_engine_is_not_ordered_again() {
    let mut reconciler = Reconciler::new(TIMEOUT);
    let engine: id::Endpoint = "e0".into();
    reconciler.set_spec(&engine, "a:1", true, desire("v2"));
    let mut fake = FakeEngine::new("v1", true, 300 * SECOND);
    fake.take(&old("v2"), Time::ZERO);
    let authority = Authority {
        fence: 9,
        acquired_at: Time::ZERO,
    };
    let mut now = Time::ZERO;
    while now < 100 * SECOND {
        for action in reconciler.tick(authority, now) {
            assert!(matches!(action, Action::ReadState { .. }));
            reconciler.on_state_read("e0", Some(fake.state(now)), now);
        }
        now += POLL_INTERVAL;
    }
}

#[test]
fn standings_show_who_is_held_back() {
    let mut reconciler = Reconciler::new(TIMEOUT);
    reconciler.set_spec(&"e0".into(), "a:1", true, desire("v2"));
    reconciler.set_spec(&"e1".into(), "a:2", false, desire("v2"));
    let authority = Authority {
        fence: 9,
        acquired_at: SECOND,
    };
    let standings = reconciler.statuses(authority, 2 * SECOND);
    assert_eq!(standings[0].held_back, Duration::ZERO);
    assert_eq!(standings[1].held_back, TIMEOUT - SECOND);
    assert!(!standings[1].checks_fencing);
}
