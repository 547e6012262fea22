//! The policies before the driver of the policy bench: agreement where nothing goes wrong, and
//! invariants that notice a faulty policy.

use std::time::Duration;

use cyclamenrill::clock::Time;
use cyclamenrill::endpoint;
use cyclamenrill::policy::adaptive::Adaptive;
use cyclamenrill::policy::naive::Naive;
use cyclamenrill::policy::{
    Admission, Arrival, Attempt, Observation, Pick, Placement, Policy, Retry, Ticket,
};

#[path = "../../benches/policy/deployment.rs"]
#[allow(dead_code)]
mod deployment;
#[path = "../../benches/policy/driver.rs"]
#[allow(dead_code)]
mod driver;
#[path = "../../benches/policy/report.rs"]
#[allow(dead_code)]
mod report;
#[path = "../../benches/policy/scenario.rs"]
#[allow(dead_code)]
mod scenario;
#[path = "../../benches/policy/server.rs"]
#[allow(dead_code)]
mod server;

use deployment::Deployment;
use report::Outcome;
use scenario::Name;

fn adaptive(deployment: &Deployment, daemon: usize) -> Box<dyn Policy> {
    let (zone, region) = deployment.zones[daemon % 3];
    let mut builder = Adaptive::builder(zone, region).seed(daemon as u64);
    for pool in &deployment.pools {
        builder = builder.kind(pool.name, pool.kind);
    }
    Box::new(builder.build())
}

fn naive(_deployment: &Deployment, daemon: usize) -> Box<dyn Policy> {
    Box::new(Naive::new(daemon as u64))
}

fn play(scenario: Name, load: f64, maker: driver::Maker<'_>) -> Outcome {
    let deployment = deployment::poldmaa();
    let arrivals = deployment.arrivals(3, 0.0, &|_| load);
    driver::run(&deployment, scenario, arrivals, 3, maker)
}

#[test]
fn adaptive_agrees_with_naive_without_load_and_faults() {
    let a = play(Name::Steady, 0.02, &adaptive);
    let n = play(Name::Steady, 0.02, &naive);
    assert_eq!((a.offered, a.refused), (n.offered, 0));
    assert_eq!(a.attained, a.offered);
    assert_eq!(n.attained, n.offered);
    assert!(a.broken.is_empty() && n.broken.is_empty());
}

#[test]
fn adaptive_halved_pool_keeps_invariants() {
    let outcome = play(Name::Halved, 0.5, &adaptive);
    assert!(outcome.broken.is_empty(), "{:?}", outcome.broken);
    assert!(outcome.attained > 0);
}

#[test]
fn adaptive_same_seed_same_outcome() {
    let [a, b] = [0, 1].map(|_| play(Name::StragglerAndFailing, 0.5, &adaptive));
    assert_eq!(
        (a.attained, a.calls, a.link_bytes),
        (b.attained, b.calls, b.link_bytes)
    );
}

/// A policy with a fault put in.
struct Mutant {
    inner: Naive,
    /// Whether it does not hear that endpoints leave.
    is_deaf: bool,
    /// Whether it forgets waiting stages.
    loses: bool,
}

impl Policy for Mutant {
    fn admit(&mut self, arrival: &Arrival, now: Time) -> Admission {
        self.inner.admit(arrival, now)
    }

    fn place(&mut self, ask: &Attempt, now: Time) -> Placement {
        if self.loses {
            return Placement::Wait;
        }
        self.inner.place(ask, now)
    }

    fn ready(&mut self, _now: Time) -> Vec<Ticket> {
        Vec::new()
    }

    fn abandon(&mut self, _ticket: &Ticket, _now: Time) {}

    fn retry(&mut self, ask: &Attempt, error: &endpoint::Error, now: Time) -> Retry {
        self.inner.retry(ask, error, now)
    }

    fn hedge(&mut self, _ask: &Attempt, _now: Time) -> Option<Pick> {
        None
    }

    fn is_hopeless(&self, ask: &Attempt, now: Time) -> bool {
        self.inner.is_hopeless(ask, now)
    }

    fn observe(&mut self, observation: &Observation, now: Time) {
        let is_first = now < Duration::from_secs(1);
        match observation {
            Observation::Leaving(_) if self.is_deaf => {}
            Observation::Candidates(_) if self.is_deaf && !is_first => {}
            _ => self.inner.observe(observation, now),
        }
    }

    fn next_wake(&self) -> Option<Time> {
        None
    }
}

#[test]
fn driver_deaf_policy_is_noticed() {
    let outcome = play(Name::Halved, 0.3, &|_, daemon| {
        Box::new(Mutant {
            inner: Naive::new(daemon as u64),
            is_deaf: true,
            loses: false,
        })
    });
    assert!(outcome.broken.contains(&"a call to an endpoint that left"));
}

#[test]
fn driver_losing_policy_attains_nothing() {
    let outcome = play(Name::Steady, 0.1, &|_, daemon| {
        Box::new(Mutant {
            inner: Naive::new(daemon as u64),
            is_deaf: false,
            loses: true,
        })
    });
    assert_eq!(outcome.attained, 0);
    assert!(outcome.offered > 0);
}
