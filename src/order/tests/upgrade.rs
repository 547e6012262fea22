//! Upgrade nights.

use std::time::Duration;

use super::{FakeEngine, SECOND};
use crate::clock::Time;
use crate::endpoint::Order;
use crate::id;
use crate::lease::record::Phase;
use crate::order::Engine;
use crate::order::upgrade::{
    Goal, Limits, Step, Upgrade, Window, max_out_of_service, zone_max_out_of_service,
};

const LOAD: Duration = Duration::from_secs(20);
const HOUR: Duration = Duration::from_secs(3_600);

fn rule() -> Limits {
    Limits {
        batch: 4,
        max_out_of_service: 5,
        is_blocked_by_floor: false,
        max_unhealthy_share: 0.2,
        rollback: false,
        drain_timeout: 30 * SECOND,
        weight_bytes: 10_000,
        bytes_per_second: 1_000.0,
    }
}

fn goal() -> Goal {
    Goal {
        target: "v2".into(),
        previous: "v1".into(),
    }
}

/// A night with engines, and what the planner did.
struct Night {
    engines: Vec<FakeEngine>,
    is_out: Vec<bool>,
    upgrade: Upgrade,
    rule: Limits,
    now: Time,
    orders: Vec<Time>,
    records: Vec<Phase>,
    alarms: Vec<String>,
    least: usize,
    most_out: usize,
}

impl Night {
    fn new(count: usize, rule: Limits) -> Self {
        Self {
            engines: vec![FakeEngine::new("v1", true, LOAD); count],
            is_out: vec![false; count],
            upgrade: Upgrade::new(goal(), Phase::Running),
            rule,
            now: Time::ZERO,
            orders: Vec::new(),
            records: Vec::new(),
            alarms: Vec::new(),
            least: count,
            most_out: 0,
        }
    }

    fn units(&mut self) -> Vec<Engine> {
        let now = self.now;
        let unit = |(i, e): (usize, &mut FakeEngine)| Engine {
            endpoint: format!("e{i}").into(),
            address: format!("a:{i}"),
            state: Some(e.state(now)),
            load: Some(e.load()),
            read_at: Some(now),
            checks_fencing: true,
            is_leaving: false,
        };
        self.engines.iter_mut().enumerate().map(unit).collect()
    }

    fn turn(&mut self, left: Duration) {
        let units = self.units();
        let window = Window { remaining: left };
        let steps = self.upgrade.tick(&units, &self.rule, &window, self.now);
        for step in steps {
            self.act(step);
        }
        let healthy = self.units();
        let serving = healthy.iter().zip(&self.is_out);
        let serving = serving.filter(|(u, out)| u.is_healthy() && !**out).count();
        self.least = self.least.min(serving);
        self.most_out = self.most_out.max(self.upgrade.out_of_service());
        self.now += SECOND;
    }

    fn act(&mut self, step: Step) {
        let index = |e: &id::Endpoint| e[1..].parse::<usize>().unwrap();
        match step {
            Step::Drain(e) => self.is_out[index(&e)] = true,
            Step::Return(e) => self.is_out[index(&e)] = false,
            Step::Order(e, version) => {
                self.orders.push(self.now);
                let engine = &mut self.engines[index(&e)];
                assert_eq!(engine.running, 0, "drained before orders");
                let order = Order {
                    fence: 1,
                    versions: vec![version],
                    role: None,
                };
                engine.take(&order, self.now);
            }
            Step::Record(phase, _) => self.records.push(phase),
            Step::Alarm(reason) => self.alarms.push(reason),
        }
    }

    fn run(&mut self, time: Duration, left: Duration) {
        let end = self.now + time;
        let close = self.now + left;
        while self.now < end && self.upgrade.phase() != Phase::Finished {
            self.turn(close.saturating_sub(self.now));
        }
    }

    fn serving(&mut self, version: &str) -> usize {
        self.units().iter().filter(|u| u.serves(version)).count()
    }
}

#[test]
fn night_finishes_under_floor_and_rate() {
    let mut night = Night::new(20, rule());
    night.run(4 * HOUR, 4 * HOUR);
    assert_eq!(night.records, [Phase::Finished]);
    assert_eq!(night.serving("v2"), 20);
    assert!(night.is_out.iter().all(|out| !out), "all are back");
    assert!(night.least >= 15, "the floor held: {}", night.least);
    assert!(night.most_out <= 4, "the batch held");
    let spacing = night.rule.load_interval();
    let is_paced = night.orders.windows(2).all(|o| o[1] - o[0] >= spacing);
    assert!(is_paced, "the weight store's rate held");
    assert!(night.alarms.is_empty(), "{:?}", night.alarms);
}

#[test]
fn busy_engine_is_drained_before_its_order() {
    let mut night = Night::new(20, rule());
    night.engines[0].running = 3;
    for _ in 0..20 {
        night.turn(HOUR);
    }
    assert!(night.is_out[0]);
    assert_eq!(night.engines[0].versions, ["v1".into()]);
    night.engines[0].running = 0;
    night.run(HOUR, HOUR);
    assert_eq!(night.serving("v2"), 20);
}

#[test]
fn another_daemon_resumes_from_the_plan() {
    let mut rule = rule();
    rule.max_out_of_service = 3;
    let mut night = Night::new(12, rule);
    night.run(100 * SECOND, HOUR);
    let before = night.serving("v2");
    assert!(before > 0 && before < 12);
    night.upgrade = Upgrade::new(goal(), Phase::Running);
    let out = night.is_out.clone();
    night.run(HOUR, HOUR);
    assert_eq!(night.serving("v2"), 12);
    assert!(night.least >= 9, "the floor held: {}", night.least);
    let left_out = out.iter().zip(&night.is_out).filter(|(a, b)| **a && **b);
    assert!(left_out.count() <= 4, "marks of the predecessor lapse");
}

#[test]
fn failing_health_pauses() {
    let mut night = Night::new(20, rule());
    for engine in &mut night.engines {
        engine.is_broken = true;
    }
    night.run(HOUR, 4 * HOUR);
    assert_eq!(night.upgrade.phase(), Phase::Paused);
    assert_eq!(night.records, [Phase::Paused]);
    assert!(night.least >= 15, "the floor held: {}", night.least);
    assert!(night.serving("v1") >= 16);
    assert_eq!(night.alarms.len(), 1, "{:?}", night.alarms);
}

#[test]
fn failing_health_rolls_back() {
    let mut rule = rule();
    rule.rollback = true;
    let mut night = Night::new(20, rule);
    night.run(120 * SECOND, 4 * HOUR);
    assert!(night.serving("v2") > 0);
    for engine in &mut night.engines {
        engine.is_broken = engine.versions != ["v2".into()];
    }
    while night.upgrade.phase() == Phase::Running {
        night.turn(4 * HOUR);
        if night.upgrade.phase() == Phase::RollingBack {
            for engine in &mut night.engines {
                engine.is_broken = false;
            }
        }
    }
    night.run(2 * HOUR, 4 * HOUR);
    assert_eq!(night.records, [Phase::RollingBack, Phase::Finished]);
    assert_eq!(night.serving("v1"), 20);
    assert!(night.least >= 15, "the floor held: {}", night.least);
}

#[test]
fn short_window_alarms_well_before_its_end() {
    let mut night = Night::new(40, rule());
    night.turn(300 * SECOND);
    assert_eq!(night.alarms.len(), 1, "{:?}", night.alarms);
    night.turn(299 * SECOND);
    assert_eq!(night.alarms.len(), 1, "once for each reason");
}

#[test]
fn closed_window_starts_nothing() {
    let mut night = Night::new(8, rule());
    night.run(60 * SECOND, Duration::ZERO);
    assert!(night.orders.is_empty());
    assert!(night.is_out.iter().all(|out| !out));
    assert_eq!(night.alarms.len(), 1);
}

#[test]
fn floor_that_allows_nothing_takes_nothing_out() {
    let mut rule = rule();
    rule.max_out_of_service = max_out_of_service(1.0, 4);
    rule.is_blocked_by_floor = rule.max_out_of_service == 0;
    let mut night = Night::new(4, rule);
    night.run(60 * SECOND, HOUR);
    assert!(night.orders.is_empty());
    assert_eq!(night.alarms, ["the floor lets no engine go out of service"]);
}

#[test]
fn window_may_pass_midnight() {
    assert_eq!(
        Window::new(1_380, 300, 1_400).remaining,
        Duration::from_secs(340 * 60)
    );
    assert_eq!(Window::new(1_380, 300, 0).remaining, 5 * HOUR);
    assert!(!Window::new(1_380, 300, 300).is_open());
    assert!(!Window::new(60, 300, 59).is_open());
    assert!(Window::new(60, 300, 299).is_open());
    assert!(!Window::new(60, 60, 60).is_open());
}

#[test]
fn zones_share_what_the_floor_spares() {
    assert_eq!(max_out_of_service(0.75, 12), 3);
    assert_eq!(max_out_of_service(0.75, 3), 0);
    assert_eq!(max_out_of_service(0.5, 3), 1);
    assert_eq!(zone_max_out_of_service(3, 4, 12, false), 1);
    assert_eq!(zone_max_out_of_service(1, 1, 3, false), 0);
    assert_eq!(zone_max_out_of_service(1, 1, 3, true), 1);
    for floor in [0.0, 0.3, 0.75, 0.9] {
        for zones in [[4, 4, 4], [1, 1, 1], [19, 1, 7]] {
            let all = zones.iter().sum();
            let spare = max_out_of_service(floor, all);
            let shares = zones.map(|n| zone_max_out_of_service(spare, n, all, false));
            assert!(shares.iter().sum::<usize>() <= spare);
        }
    }
}

#[test]
fn report_from_before_the_drain_is_not_idle() {
    let mut night = Night::new(1, rule());
    let mut unit = night.units().remove(0);
    let rule = rule();
    let drained = |unit: &Engine, now| rule.is_drained(unit, 10 * SECOND, now);
    unit.read_at = Some(12 * SECOND);
    assert!(!drained(&unit, 20 * SECOND), "daemons may still have sent");
    unit.read_at = Some(13 * SECOND);
    assert!(drained(&unit, 20 * SECOND));
}
