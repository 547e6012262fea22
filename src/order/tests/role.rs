//! Tests of role changes.

use std::time::Duration;

use super::{FakeEngine, SECOND};
use crate::clock::Time;
use crate::order::Engine;
use crate::order::role::{Limits, Rebalancer, Shares, parse_shares};

const LIMITS: Limits = Limits {
    hysteresis: 0.15,
    min_interval: Duration::from_secs(300),
};

struct Pool {
    engines: Vec<FakeEngine>,
    rebalancer: Rebalancer,
    changes: usize,
}

impl Pool {
    fn new(prefill: usize, decode: usize) -> Self {
        let engine = |role: &str| {
            let mut engine = FakeEngine::new("v1", true, SECOND);
            engine.role = Some(role.into());
            engine
        };
        let engines =
            std::iter::repeat_n("prefill", prefill).chain(std::iter::repeat_n("decode", decode));
        Self {
            engines: engines.map(engine).collect(),
            rebalancer: Rebalancer::new(),
            changes: 0,
        }
    }

    fn turn(&mut self, prefill: u32, decode: u32, shares: &Shares, now: Time) {
        let spread = |calls: u32, n: usize| calls / u32::try_from(n.max(1)).unwrap();
        let (p, d) = (self.count("prefill"), self.count("decode"));
        let engines: Vec<Engine> = self
            .engines
            .iter_mut()
            .enumerate()
            .map(|(i, e)| {
                let is_prefill = e.role.as_deref() == Some("prefill");
                e.running = if is_prefill {
                    spread(prefill, p)
                } else {
                    spread(decode, d)
                };
                Engine {
                    endpoint: format!("e{i}").into(),
                    address: "a:1".into(),
                    state: Some(e.state(now)),
                    load: Some(e.load()),
                    read_at: Some(now),
                    checks_fencing: true,
                    is_leaving: false,
                }
            })
            .collect();
        if let Some(change) = self.rebalancer.tick(&engines, shares, LIMITS, now) {
            let index: usize = change.endpoint[1..].parse().unwrap();
            self.engines[index].role = Some(change.role);
            self.changes += 1;
        }
    }

    fn count(&self, role: &str) -> usize {
        let has_role = |e: &&FakeEngine| e.role.as_deref() == Some(role);
        self.engines.iter().filter(has_role).count()
    }
}

#[test]
fn roles_follow_lasting_load() {
    let mut pool = Pool::new(5, 5);
    for minute in 0..120 {
        pool.turn(20, 80, &Shares::new(), minute * 60 * SECOND);
    }
    assert!(pool.count("decode") >= 7, "{}", pool.count("decode"));
    assert!(pool.count("prefill") >= 2);
}

#[test]
fn oscillating_load_changes_nothing() {
    let mut pool = Pool::new(5, 5);
    for minute in 0..240 {
        let (p, d) = if minute % 2 == 0 { (60, 40) } else { (40, 60) };
        pool.turn(p, d, &Shares::new(), minute * 60 * SECOND);
    }
    assert_eq!(pool.changes, 0);
}

#[test]
fn changes_keep_the_minimum_interval() {
    let mut pool = Pool::new(9, 1);
    for second in 0..600 {
        pool.turn(10, 90, &Shares::new(), second * SECOND);
    }
    assert!(pool.changes <= 2, "{}", pool.changes);
}

#[test]
fn operator_shares_take_precedence_over_load() {
    let mut pool = Pool::new(8, 2);
    let shares = parse_shares(&["prefill=30".into(), "decode=70".into(), "junk".into()]);
    assert_eq!(shares.len(), 2);
    for minute in 0..120 {
        pool.turn(90, 10, &shares, minute * 60 * SECOND);
    }
    assert_eq!(pool.count("decode"), 6, "within the hysteresis of 7");
}

#[test]
fn last_engine_of_a_wanted_role_stays() {
    let mut pool = Pool::new(1, 3);
    for minute in 0..120 {
        pool.turn(1, 400, &Shares::new(), minute * 60 * SECOND);
    }
    assert_eq!(pool.count("prefill"), 1);
}

#[test]
fn idle_pool_changes_nothing() {
    let mut pool = Pool::new(7, 1);
    for minute in 0..120 {
        pool.turn(0, 0, &Shares::new(), minute * 60 * SECOND);
    }
    assert_eq!(pool.changes, 0);
}
