//! Tests of nightly upgrades.

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

const LOAD_TIME: Duration = Duration::from_secs(20);
const HOUR: Duration = Duration::from_secs(3_600);

fn limits() -> Limits {
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

/// An upgrade of fake engines, and what it did.
struct Simulation {
    engines: Vec<FakeEngine>,
    is_out: Vec<bool>,
    upgrade: Upgrade,
    limits: Limits,
    now: Time,
    orders: Vec<Time>,
    records: Vec<Phase>,
    alarms: Vec<String>,
    least_serving: usize,
    most_out: usize,
}

impl Simulation {
    fn new(count: usize, limits: Limits) -> Self {
        Self {
            engines: vec![FakeEngine::new("v1", true, LOAD_TIME); count],
            is_out: vec![false; count],
            upgrade: Upgrade::new(goal(), Phase::Running),
            limits,
            now: Time::ZERO,
            orders: Vec::new(),
            records: Vec::new(),
            alarms: Vec::new(),
            least_serving: count,
            most_out: 0,
        }
    }

    fn reported(&mut self) -> Vec<Engine> {
        let now = self.now;
        let engine = |(i, e): (usize, &mut FakeEngine)| Engine {
            endpoint: format!("e{i}").into(),
            address: format!("a:{i}"),
            state: Some(e.state(now)),
            load: Some(e.load()),
            read_at: Some(now),
            checks_fencing: true,
            is_leaving: false,
        };
        self.engines.iter_mut().enumerate().map(engine).collect()
    }

    fn turn(&mut self, left: Duration) {
        let reported = self.reported();
        let window = Window { remaining: left };
        let steps = self
            .upgrade
            .tick(&reported, &self.limits, &window, self.now);
        for step in steps {
            self.act(step);
        }
        let healthy = self.reported();
        let serving = healthy.iter().zip(&self.is_out);
        let serving = serving.filter(|(e, out)| e.is_healthy() && !**out).count();
        self.least_serving = self.least_serving.min(serving);
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
                engine.apply(&order, self.now);
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
        self.reported().iter().filter(|e| e.serves(version)).count()
    }
}

#[test]
fn upgrade_finishes_within_floor_and_rate() {
    let mut simulation = Simulation::new(20, limits());
    simulation.run(4 * HOUR, 4 * HOUR);
    assert_eq!(simulation.records, [Phase::Finished]);
    assert_eq!(simulation.serving("v2"), 20);
    assert!(simulation.is_out.iter().all(|out| !out), "all are back");
    assert!(
        simulation.least_serving >= 15,
        "the floor held: {}",
        simulation.least_serving
    );
    assert!(simulation.most_out <= 4, "the batch held");
    let spacing = simulation.limits.load_interval();
    let is_paced = simulation.orders.windows(2).all(|o| o[1] - o[0] >= spacing);
    assert!(is_paced, "the weight store's rate held");
    assert!(simulation.alarms.is_empty(), "{:?}", simulation.alarms);
}

#[test]
fn busy_engine_is_drained_before_its_order() {
    let mut simulation = Simulation::new(20, limits());
    simulation.engines[0].running = 3;
    for _ in 0..20 {
        simulation.turn(HOUR);
    }
    assert!(simulation.is_out[0]);
    assert_eq!(simulation.engines[0].versions, ["v1".into()]);
    simulation.engines[0].running = 0;
    simulation.run(HOUR, HOUR);
    assert_eq!(simulation.serving("v2"), 20);
}

#[test]
fn another_daemon_resumes_from_the_plan() {
    let mut limits = limits();
    limits.max_out_of_service = 3;
    let mut simulation = Simulation::new(12, limits);
    simulation.run(100 * SECOND, HOUR);
    let before = simulation.serving("v2");
    assert!(before > 0 && before < 12);
    simulation.upgrade = Upgrade::new(goal(), Phase::Running);
    let out = simulation.is_out.clone();
    simulation.run(HOUR, HOUR);
    assert_eq!(simulation.serving("v2"), 12);
    assert!(
        simulation.least_serving >= 9,
        "the floor held: {}",
        simulation.least_serving
    );
    let left_out = out
        .iter()
        .zip(&simulation.is_out)
        .filter(|(a, b)| **a && **b);
    assert!(
        left_out.count() <= 4,
        "engines drained by the previous controller return"
    );
}

#[test]
fn unhealthy_engines_pause_the_upgrade() {
    let mut simulation = Simulation::new(20, limits());
    for engine in &mut simulation.engines {
        engine.fails_loads = true;
    }
    simulation.run(HOUR, 4 * HOUR);
    assert_eq!(simulation.upgrade.phase(), Phase::Paused);
    assert_eq!(simulation.records, [Phase::Paused]);
    assert!(
        simulation.least_serving >= 15,
        "the floor held: {}",
        simulation.least_serving
    );
    assert!(simulation.serving("v1") >= 16);
    assert_eq!(simulation.alarms.len(), 1, "{:?}", simulation.alarms);
}

#[test]
fn unhealthy_engines_roll_the_upgrade_back() {
    let mut limits = limits();
    limits.rollback = true;
    let mut simulation = Simulation::new(20, limits);
    simulation.run(120 * SECOND, 4 * HOUR);
    assert!(simulation.serving("v2") > 0);
    for engine in &mut simulation.engines {
        engine.fails_loads = engine.versions != ["v2".into()];
    }
    while simulation.upgrade.phase() == Phase::Running {
        simulation.turn(4 * HOUR);
        if simulation.upgrade.phase() == Phase::RollingBack {
            for engine in &mut simulation.engines {
                engine.fails_loads = false;
            }
        }
    }
    simulation.run(2 * HOUR, 4 * HOUR);
    assert_eq!(simulation.records, [Phase::RollingBack, Phase::Finished]);
    assert_eq!(simulation.serving("v1"), 20);
    assert!(
        simulation.least_serving >= 15,
        "the floor held: {}",
        simulation.least_serving
    );
}

#[test]
fn short_window_alerts_before_its_end() {
    let mut simulation = Simulation::new(40, limits());
    simulation.turn(300 * SECOND);
    assert_eq!(simulation.alarms.len(), 1, "{:?}", simulation.alarms);
    simulation.turn(299 * SECOND);
    assert_eq!(simulation.alarms.len(), 1, "once for each reason");
}

#[test]
fn closed_window_starts_nothing() {
    let mut simulation = Simulation::new(8, limits());
    simulation.run(60 * SECOND, Duration::ZERO);
    assert!(simulation.orders.is_empty());
    assert!(simulation.is_out.iter().all(|out| !out));
    assert_eq!(simulation.alarms.len(), 1);
}

#[test]
fn floor_without_spare_engine_blocks_the_upgrade() {
    let mut limits = limits();
    limits.max_out_of_service = max_out_of_service(1.0, 4);
    limits.is_blocked_by_floor = limits.max_out_of_service == 0;
    let mut simulation = Simulation::new(4, limits);
    simulation.run(60 * SECOND, HOUR);
    assert!(simulation.orders.is_empty());
    assert_eq!(
        simulation.alarms,
        ["the floor lets no engine go out of service"]
    );
}

#[test]
fn window_may_span_midnight() {
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
fn zones_share_the_maximum_out_of_service() {
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
fn report_before_the_drain_does_not_count_as_idle() {
    let mut simulation = Simulation::new(1, limits());
    let mut engine = simulation.reported().remove(0);
    let limits = limits();
    let drained = |engine: &Engine, now| limits.is_drained(engine, 10 * SECOND, now);
    engine.read_at = Some(12 * SECOND);
    assert!(
        !drained(&engine, 20 * SECOND),
        "daemons may still have sent"
    );
    engine.read_at = Some(13 * SECOND);
    assert!(drained(&engine, 20 * SECOND));
}
