//! Tests of reconciliation with late orders and lost answers.

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
const LOAD_TIME: Duration = Duration::from_secs(8);
const STEP: Time = Duration::from_millis(500);
/// Time to correct a late order: a read, an order with its backoff, and a load.
const CORRECTION: Duration = Duration::from_secs(60);

fn spec(version: &str) -> Spec {
    Spec {
        versions: vec![version.into()],
        role: None,
    }
}

fn late_order(version: &str) -> Order {
    Order {
        fence: 3,
        versions: vec![version.into()],
        role: None,
    }
}

/// A controller, engines, and late orders of a previous lease holder with a lower token.
struct Simulation {
    engines: Vec<FakeEngine>,
    reconciler: Reconciler,
    authority: Authority,
    rng: ChaCha8Rng,
    late_orders: Vec<(Time, usize)>,
    loss: f64,
}

impl Simulation {
    fn new(seed: u64, checks_fencing: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut reconciler = Reconciler::new(TIMEOUT);
        for index in 0..6 {
            let name: id::Endpoint = format!("e{index}").into();
            reconciler.set_spec(&name, "a:1", checks_fencing, spec("v2"));
        }
        let late = (0..8)
            .map(|_| (SECOND * rng.random_range(0..40), rng.random_range(0..6)))
            .collect();
        Self {
            engines: vec![FakeEngine::new("v1", checks_fencing, LOAD_TIME); 6],
            reconciler,
            authority: Authority {
                fence: 9,
                acquired_at: Time::ZERO,
            },
            rng,
            late_orders: late,
            loss: 0.2,
        }
    }

    fn turn(&mut self, now: Time) {
        let due: Vec<usize> = self
            .late_orders
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, e)| e)
            .collect();
        for engine in due {
            self.engines[engine].apply(&late_order("v1"), now);
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
                        self.engines[index_of(&endpoint)].apply(&order, now);
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
fn fencing_engines_never_apply_an_outdated_order() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed, true);
        simulation.run(40 * SECOND + CORRECTION);
        for engine in &simulation.engines {
            let is_rising = engine.applied_fences.is_sorted();
            assert!(is_rising, "seed {seed}: {:?}", engine.applied_fences);
            assert_eq!(engine.versions, ["v2".into()], "seed {seed}");
        }
    }
}

#[test]
fn non_fencing_engines_reach_the_spec_in_time() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed, false);
        simulation.run(40 * SECOND + CORRECTION);
        for engine in &simulation.engines {
            assert_eq!(engine.versions, ["v2".into()], "seed {seed}");
        }
    }
}

#[test]
fn non_fencing_engine_is_ordered_after_the_timeout() {
    let order_at = |checks_fencing| {
        let mut simulation = Simulation::new(1, checks_fencing);
        simulation.loss = 0.0;
        simulation.late_orders.clear();
        let mut now = Time::ZERO;
        while simulation.engines[0].applied_fences.is_empty() {
            simulation.turn(now);
            now += STEP;
        }
        now
    };
    assert!(order_at(true) <= SECOND);
    assert!(order_at(false) >= TIMEOUT);
}

#[test]
fn engine_has_one_action_in_flight() {
    let mut reconciler = Reconciler::new(TIMEOUT);
    let engine: id::Endpoint = "e0".into();
    reconciler.set_spec(&engine, "a:1", true, spec("v2"));
    let authority = Authority {
        fence: 9,
        acquired_at: Time::ZERO,
    };
    assert_eq!(reconciler.tick(authority, Time::ZERO).len(), 1);
    assert!(
        reconciler.tick(authority, SECOND).is_empty(),
        "a read is in flight"
    );
    let state = FakeEngine::new("v1", true, LOAD_TIME).state(SECOND);
    reconciler.on_state_read("e0", Some(state), SECOND);
    let actions = reconciler.tick(authority, SECOND);
    assert!(matches!(actions[0], Action::SendOrder { .. }));
    assert!(reconciler.tick(authority, 2 * SECOND).is_empty());
    assert!(reconciler.tick(authority, 5 * SECOND).is_empty());
    assert_eq!(reconciler.tick(authority, 6 * SECOND).len(), 1);
}

#[test]
fn loading_engine_is_not_ordered_again() {
    let mut reconciler = Reconciler::new(TIMEOUT);
    let engine: id::Endpoint = "e0".into();
    reconciler.set_spec(&engine, "a:1", true, spec("v2"));
    let mut fake = FakeEngine::new("v1", true, 300 * SECOND);
    fake.apply(&late_order("v2"), Time::ZERO);
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
fn statuses_show_held_back_orders() {
    let mut reconciler = Reconciler::new(TIMEOUT);
    reconciler.set_spec(&"e0".into(), "a:1", true, spec("v2"));
    reconciler.set_spec(&"e1".into(), "a:2", false, spec("v2"));
    let authority = Authority {
        fence: 9,
        acquired_at: SECOND,
    };
    let statuses = reconciler.statuses(authority, 2 * SECOND);
    assert_eq!(statuses[0].held_back, Duration::ZERO);
    assert_eq!(statuses[1].held_back, TIMEOUT - SECOND);
    assert!(!statuses[1].checks_fencing);
}
