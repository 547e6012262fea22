//! Tests of the budgets of retries, in virtual time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const RATIO: f64 = 0.2;
const SLACK: f64 = 100.0;
const WINDOW: Duration = Duration::from_secs(10);
/// The share of the operators' bound that daemons use.
const USED_SHARE: f64 = 0.8;
const DAEMONS: usize = 20;
/// Sixty were played by hand.
const SEEDS: u64 = 8;
const TICK: Duration = Duration::from_millis(100);

fn bound() -> Bound {
    Bound {
        ratio: RATIO * USED_SHARE,
        slack: SLACK * USED_SHARE,
        window: WINDOW,
    }
}

fn service() -> id::Pool {
    "s".into()
}

fn name(number: usize) -> id::Daemon {
    format!("f{number}").as_str().into()
}

fn requests(count: u32) -> Loan {
    let service = service();
    Loan {
        arrivals: vec![Arrivals { service, count }],
        is_new: false,
    }
}

fn pool(daemons: usize) -> Pool {
    let mut pool = Pool::new(bound());
    pool.set_daemons(Some(daemons));
    pool
}

/// Takes all that is left; returns how much it was.
fn drain(pool: &mut Pool, now: Time) -> usize {
    std::iter::repeat_with(|| pool.spend(&service(), now))
        .take_while(|is_granted| *is_granted)
        .count()
}

/// Has daemons lend to a pool for some time; returns when that ends.
fn lend_for(pool: &mut Pool, daemons: usize, count: u32, from: Time, length: Duration) -> Time {
    let mut now = from;
    while now < from + length {
        for number in 0..daemons {
            pool.lend(&name(number), &requests(count), now);
        }
        pool.fill(now);
        now += TICK;
    }
    now
}

#[test]
fn spend_new_pool_empty() {
    let mut pool = pool(DAEMONS);
    for number in 0..DAEMONS {
        pool.lend(&name(number), &Loan::default(), Time::ZERO);
    }
    assert_eq!(drain(&mut pool, Time::ZERO), 0);
}

/// Guards against a fleet that cannot send anything once more when it has just started for the first time.
#[test]
fn spend_new_daemons_saved_share() {
    let mut pool = pool(DAEMONS);
    for number in 0..DAEMONS {
        let loan = Loan {
            is_new: true,
            ..Loan::default()
        };
        pool.lend(&name(number), &loan, Time::ZERO);
    }
    assert_eq!(drain(&mut pool, Time::ZERO), 40);
}

#[test]
fn spend_all_lenders_whole_allowance() {
    let mut pool = pool(DAEMONS);
    let now = lend_for(&mut pool, DAEMONS, 1, Time::ZERO, WINDOW * 2);
    // Two hundred requests a second: half of 0.8 of what is allowed is saved up.
    let allowed = 0.8 * (RATIO * 2_000.0 + SLACK);
    let spent = drain(&mut pool, now) as f64;
    assert!(spent <= allowed / 2.0 && spent > allowed * 0.4, "{spent}");
}

#[test]
fn spend_few_lenders_share_only() {
    let mut pool = pool(DAEMONS);
    let now = lend_for(&mut pool, DAEMONS / 4, 0, Time::ZERO, WINDOW * 2);
    assert_eq!(drain(&mut pool, now), 10);
}

#[test]
fn spend_unknown_daemons_requests_only() {
    let mut pool = Pool::new(bound());
    let now = lend_for(&mut pool, 1, 10, Time::ZERO, WINDOW);
    let spent = drain(&mut pool, now) as f64;
    assert!(spent > 0.0 && spent <= RATIO * 1_000.0 / 2.0, "{spent}");
}

/// Guards against a planner that spends what others lent it before they went to the next one.
#[test]
fn spend_lenders_gone_no_more() {
    let mut pool = pool(DAEMONS);
    let mut now = lend_for(&mut pool, DAEMONS, 1, Time::ZERO, WINDOW);
    let end = now + LOAN_TIME;
    while now < end {
        pool.lend(&name(0), &Loan::default(), now);
        pool.fill(now);
        now += TICK;
    }
    let own = 0.5 * (bound().slack / DAEMONS as f64 + bound().ratio * 100.0);
    assert!(drain(&mut pool, now) as f64 <= own);
}

/// Guards against a planner that goes on with its loans after a suspension, in which all have found another one.
#[test]
fn lend_after_suspension_empty() {
    let mut pool = pool(DAEMONS);
    let now = lend_for(&mut pool, DAEMONS, 1, Time::ZERO, WINDOW);
    // A message that came before the suspension.
    pool.lend(&name(3), &Loan::default(), now + SUSPENSION_TIME);
    assert_eq!(drain(&mut pool, now + SUSPENSION_TIME), 0);
}

/// Daemons that lend to planners of changing views, are killed, and send once more whatever they may.
struct Fleet {
    rng: ChaCha8Rng,
    budgets: Vec<Budget>,
    /// To whom each daemon lends.
    planners: Vec<usize>,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            budgets: Vec::new(),
            planners: vec![0; DAEMONS],
            requests: Vec::new(),
            retries: Vec::new(),
        };
        fleet.budgets = (0..DAEMONS).map(Self::start).collect();
        fleet.budgets.iter().for_each(Budget::set_new);
        fleet
    }

    fn start(number: usize) -> Budget {
        let budget = Budget::new(name(number));
        budget.set_bound(bound());
        budget.pool().set_daemons(Some(DAEMONS));
        budget
    }

    /// Kills daemons, or has some find another planner.
    fn disturb(&mut self) {
        let planner = self.rng.random_range(0..DAEMONS);
        match self.rng.random_range(0..60) {
            0 => self.planners.fill(planner),
            1 => {
                for own in 0..DAEMONS {
                    if self.rng.random_bool(0.5) {
                        self.planners[own] = planner;
                    }
                }
            }
            2 => self.planners = (0..DAEMONS).collect(),
            3 => {
                for number in 0..DAEMONS {
                    if self.rng.random_bool(0.3) {
                        self.budgets[number] = Self::start(number);
                    }
                }
            }
            4 => self.budgets[planner] = Self::start(planner),
            _ => {}
        }
    }

    fn tick(&mut self, now: Time, load: u32, wants_retries: bool) {
        self.disturb();
        let (mut requests, mut retries) = (0, 0);
        for own in 0..DAEMONS {
            // Some daemons get most of the requests.
            let most = load * if own < 4 { 5 } else { 1 };
            for _ in 0..self.rng.random_range(0..=most) {
                self.budgets[own].record_request(&service());
                requests += 1;
            }
        }
        for own in 0..DAEMONS {
            let planner = self.planners[own];
            if planner == own {
                self.budgets[own].keep(now);
            } else {
                self.budgets[own].lent(now);
                let loan = self.budgets[own].take_loan();
                self.budgets[planner].pool().lend(&name(own), &loan, now);
            }
        }
        for own in 0..DAEMONS {
            self.budgets[own].pool().fill(now);
            let planner = self.planners[own];
            let wanted = if wants_retries { 20 } else { 0 };
            let spends = (0..wanted).filter(|_| self.budgets[planner].spend(&service(), now));
            retries += spends.count() as u64;
        }
        self.requests.push(requests);
        self.retries.push(retries);
    }

    /// Returns the most that some window has beyond what is allowed there, and the largest share that is used.
    fn excess(&self) -> (f64, f64) {
        let length = (WINDOW.as_millis() / TICK.as_millis()) as usize;
        let sum = |counts: &[u64], from: usize, to: usize| counts[from..to].iter().sum::<u64>();
        let windows = (length..self.requests.len() - length).map(|start| {
            let before = sum(&self.requests, start - length, start);
            let half = sum(&self.requests, start - length / 2, start + length / 2);
            let here = sum(&self.requests, start, start + length);
            let most = before.max(half).max(here) as f64;
            let allowed = RATIO * most + SLACK;
            let retries = sum(&self.retries, start, start + length) as f64;
            (retries - allowed, retries / allowed)
        });
        windows.fold((f64::MIN, 0.0), |(excess, share), window| {
            (excess.max(window.0), share.max(window.1))
        })
    }
}

/// Guards against a sum over daemons that breaks the bound while planners change, daemons are killed, and each has
/// a view of its own.
#[test]
fn spend_changing_planners_within_bound() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        let ticks = 600;
        for tick in 0..ticks {
            // A burst, and a time in which all that is sent fails.
            let load = if (200..300).contains(&tick) { 4 } else { 1 };
            fleet.tick(TICK * tick, load, tick % 250 > 100);
        }
        let (excess, share) = fleet.excess();
        assert!(excess <= 0.0, "seed {seed}: {excess} too many");
        assert!(share > 0.2, "seed {seed}: {share} of it used");
    }
}

/// Guards against budgets too small to be of use while nothing changes.
#[test]
fn spend_steady_planner_most_of_bound() {
    let mut pool = pool(DAEMONS);
    let mut now = lend_for(&mut pool, DAEMONS, 1, Time::ZERO, WINDOW * 2);
    let mut spent = 0;
    let end = now + WINDOW;
    while now < end {
        now = lend_for(&mut pool, DAEMONS, 1, now, TICK);
        spent += drain(&mut pool, now);
    }
    let allowed = RATIO * 2_000.0 + SLACK;
    let share = spent as f64 / allowed;
    assert!((0.7..=0.85).contains(&share), "{share}");
}
