//! The scenarios: offered load and faults by time.

use std::time::Duration;

use cyclamenrill::clock::Time;

use super::deployment::{Arrival, Deployment};

/// Offered load of ordinary traffic, as a share of the capacity of the engines.
pub const USUAL: f64 = 0.55;

/// Twice the load at which goodput is at its peak; prefix hits lift it above the capacity.
pub const OVERLOAD: f64 = 2.6;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// One endpoint of each pool serves more slowly by this factor.
    Straggler(f64),
    /// A tenth of each pool fails.
    Failing,
    /// Faulty endpoints are well again.
    Heal,
    /// Half of each pool leaves.
    Halve,
    /// As many new endpoints join.
    Join,
    /// One endpoint of each pool of five or more dies without notice.
    Die,
    /// The link's bandwidth is multiplied.
    Link(f64),
    /// The platform's log and roster stop or go on answering.
    Store(bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Name {
    Steady,
    Burst,
    Straggler,
    Failing,
    Halved,
    Overload,
    Greedy,
    StaleCache,
    StoreDown,
    LinkNarrowed,
    CrashLoop,
    StragglerAndFailing,
    BurstAndHalved,
}

pub const ALL: [Name; 13] = [
    Name::Steady,
    Name::Burst,
    Name::Straggler,
    Name::Failing,
    Name::Halved,
    Name::Overload,
    Name::Greedy,
    Name::StaleCache,
    Name::StoreDown,
    Name::LinkNarrowed,
    Name::CrashLoop,
    Name::StragglerAndFailing,
    Name::BurstAndHalved,
];

fn s(seconds: u64) -> Time {
    Duration::from_secs(seconds)
}

impl Name {
    pub fn text(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Burst => "burst-x4",
            Self::Straggler => "straggler-x10",
            Self::Failing => "tenth-failing",
            Self::Halved => "pool-halved",
            Self::Overload => "overload-x2",
            Self::Greedy => "greedy-workspace",
            Self::StaleCache => "stale-cache",
            Self::StoreDown => "store-down",
            Self::LinkNarrowed => "link-narrowed",
            Self::CrashLoop => "crash-loop",
            Self::StragglerAndFailing => "straggler+failing",
            Self::BurstAndHalved => "burst+halved",
        }
    }

    pub fn faults(self) -> Vec<(Time, Fault)> {
        match self {
            Self::Straggler => vec![(s(4), Fault::Straggler(10.0)), (s(11), Fault::Heal)],
            Self::Failing => vec![(s(4), Fault::Failing), (s(11), Fault::Heal)],
            Self::Halved | Self::BurstAndHalved => {
                vec![(s(4), Fault::Halve), (s(10), Fault::Join)]
            }
            Self::StoreDown => vec![
                (s(4), Fault::Store(false)),
                (s(5), Fault::Die),
                (s(10), Fault::Store(true)),
            ],
            Self::LinkNarrowed => vec![(s(2), Fault::Link(0.5))],
            Self::StragglerAndFailing => vec![
                (s(4), Fault::Straggler(10.0)),
                (s(5), Fault::Failing),
                (s(11), Fault::Heal),
            ],
            _ => Vec::new(),
        }
    }

    /// Lag and loss of cache events.
    pub fn cache_events(self) -> (Time, f64) {
        if self == Self::StaleCache {
            (s(5), 0.5)
        } else {
            (Duration::from_millis(500), 0.05)
        }
    }

    pub fn arrivals(self, deployment: &Deployment, seed: u64) -> Vec<Arrival> {
        match self {
            Self::Burst | Self::BurstAndHalved => {
                deployment.arrivals(seed, 0.0, &|now| match now.as_secs() {
                    6..=7 => USUAL * 4.0,
                    _ => USUAL,
                })
            }
            Self::Overload => deployment.arrivals(seed, 0.0, &|_| OVERLOAD),
            Self::Greedy => deployment.arrivals(seed, 1.5, &|_| USUAL),
            Self::CrashLoop => {
                let mut list = deployment.arrivals(seed, 0.0, &|_| USUAL);
                let mut poison = list.iter().filter(|a| a.plan.is_repeatable());
                let mut poison = poison.nth(50).cloned().unwrap();
                poison.is_poison = true;
                poison.counts = false;
                poison.at = s(4);
                list.push(poison);
                list.sort_by_key(|a| a.at);
                list
            }
            _ => deployment.arrivals(seed, 0.0, &|_| USUAL),
        }
    }
}
