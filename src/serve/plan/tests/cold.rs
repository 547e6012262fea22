//! Tests of cold endpoints: whatever happens, one gets no more requests in a second than the bound says.

use super::*;
use crate::serve::cold::{Bound, Tracker};

const RATE: f64 = 20.0;
const BOUND: Bound = Bound {
    overshoot: 1.5,
    slack: 5.0,
};
const ALLOWED: usize = 35;

fn tracker(planner: &Planner) -> &Tracker {
    planner.engines.limits_of_daemon().cold()
}

/// When each engine was granted.
type Granted = IndexMap<id::Endpoint, Vec<Time>>;

/// Makes engines of a service that starts cold; this daemon plans for the region.
fn site(engines: &[&str], rate: f64) -> Site {
    let engines: Vec<(&str, &str)> = engines.iter().map(|id| (*id, "a")).collect();
    let mut site = Site::new(&[], &engines);
    site.catalog.version = 1;
    let duration = ms(3_000);
    let model = site.catalog.services.get_mut("model").expect("listed");
    model.cold_start = Some(catalog::ColdStart { duration, rate });
    tracker(&site.planner).set_bound(BOUND);
    observe(&mut site);
    rank(&site.planner, ms(0));
    site.now = ms(1_600);
    rank_until(&site.planner, site.now);
    site
}

fn observe(site: &mut Site) {
    let listed = site.registry.all();
    tracker(&site.planner).observe(&site.catalog, listed, &|_| None, site.now);
    site.planner.sync(&site.registry, &site.catalog, site.now);
}

fn rank(planner: &Planner, now: Time) {
    tracker(planner).set_rank(true, 1, now);
}

/// Lets a daemon rank first until then.
fn rank_until(planner: &Planner, until: Time) {
    (0..=until.as_millis() as u64 / 100).for_each(|step| rank(planner, ms(step * 100)));
}

/// Writes an engine's entry.
fn write(site: &mut Site, id: &str, cold_ms: u64, (born, seq): (u64, u64)) {
    let entry = Endpoint {
        cold_remaining: ms(cold_ms),
        born,
        seq,
        ..endpoint(id, "model", "a")
    };
    let entry = super::super::super::registry::Entry::Present(entry);
    site.registry.apply(entry, site.now);
    observe(site);
}

/// Submits a request every 5 ms for some time, and ends each that was granted.
fn play(site: &mut Site, length: u64) -> Granted {
    let mut granted = Granted::new();
    let from = site.now;
    for step in 0..length / 5 {
        site.now = from + ms(step * 5);
        site.submit(site.job(&[], 1_000));
        if step % 4 == 0 {
            rank(&site.planner, site.now);
            site.planner.tick(site.now);
        }
        for (job_id, grant) in grants(&site.actions()) {
            granted.entry(grant.endpoint).or_default().push(site.now);
            site.planner.remove(job_id, site.now);
        }
    }
    granted
}

/// Returns the most requests that an engine got in a second.
fn most_in_second(times: &[Time]) -> usize {
    let in_second = |start: &Time| {
        let second = *start..*start + ms(1_000);
        times.iter().filter(|at| second.contains(*at)).count()
    };
    times.iter().map(in_second).max().unwrap_or_default()
}

#[test]
fn engines_that_start_in_a_burst_get_half_of_the_bound() {
    let mut site = site(&["e"], RATE);
    for id in ["f", "g"] {
        write(&mut site, id, 3_000, (2, 0));
    }
    let granted = play(&mut site, 2_500);
    for id in ["f", "g"] {
        let most = most_in_second(granted.get(id).map_or(&[], Vec::as_slice));
        assert!(most * 2 <= ALLOWED, "{id}: {most}");
    }
    let all: usize = granted.values().map(Vec::len).sum();
    assert_eq!(all, 500, "the warm engine does the rest");
}

#[test]
fn engines_cold_again_keep_the_bound_over_the_change() {
    let mut site = site(&["e", "f"], RATE);
    let mut before = play(&mut site, 1_000);
    write(&mut site, "f", 3_000, (1, 1));
    let changed_at = site.now;
    let granted = play(&mut site, 2_500);
    // What it got while it was warm counts against what it gets next.
    let mut times = before.swap_remove("f").unwrap_or_default();
    times.retain(|at| *at + ms(1_000) > changed_at);
    let late = granted.get("f").cloned().unwrap_or_default();
    assert!(most_in_second(&late) * 2 <= ALLOWED);
    let soon = late.iter().filter(|at| **at < changed_at + ms(500)).count();
    assert!(
        times.len() < 18 || soon == 0,
        "{} before, {soon} after",
        times.len()
    );
}

/// An engine is cold until a later entry says that it is warm, also if its first one does not say so.
#[test]
fn new_life_counts_as_cold_until_its_entry_says_warm() {
    let mut site = site(&["e"], RATE);
    write(&mut site, "e", 0, (2, 0));
    let granted = play(&mut site, 1_000);
    assert!(granted["e"].len() * 2 <= ALLOWED);
    write(&mut site, "e", 0, (2, 1));
    assert!(play(&mut site, 500)["e"].len() >= 100);
}

#[test]
fn two_planners_at_once_keep_the_bound() {
    let mut first = site(&["e"], RATE);
    let mut second = site(&["e"], RATE);
    let mut times = Vec::new();
    for site in [&mut first, &mut second] {
        write(site, "e", 3_000, (1, 1));
        times.append(&mut play(site, 2_500).swap_remove("e").expect("some"));
    }
    let most = most_in_second(&times);
    assert!((20..=ALLOWED).contains(&most), "{most}");
}

#[test]
fn daemon_that_does_not_rank_first_sends_nothing() {
    let mut site = site(&["e"], RATE);
    write(&mut site, "e", 2_900, (1, 1));
    site.now += ms(600);
    site.submit(site.job(&[], 1_000));
    let refused = refusals(&site.actions());
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1.retry_after, ms(2_300));
    site.submit(site.job(&[], 3_000));
    for step in 1..=120 {
        site.now += ms(20);
        site.planner.tick(site.now);
        let granted = grants(&site.actions()).len();
        assert_eq!(granted, usize::from(step == 115), "at step {step}");
    }
}

/// Each daemon would count for itself.
#[test]
fn planner_of_one_daemon_leaves_cold_engines() {
    let mut site = site(&["e", "f"], RATE);
    site.planner.engines.leave_limited();
    write(&mut site, "e", 2_000, (1, 1));
    let granted = play(&mut site, 1_000);
    assert_eq!((granted["f"].len(), granted.len()), (200, 1));
}

#[test]
fn requests_above_the_pace_are_refused_at_once_or_wait_by_urgency() {
    let mut site = site(&["e"], RATE);
    write(&mut site, "e", 3_000, (1, 1));
    let fast = play(&mut site, 200)["e"].len();
    assert_eq!(fast, 17, "the first are not held");
    site.now += ms(5);
    let late = site.submit(site.job(&[], 2_000));
    let urgent = site.submit(Job {
        priority: 0,
        ..site.job(&[], 2_000)
    });
    let mut order = Vec::new();
    for _ in 0..90 {
        site.now += ms(20);
        rank(&site.planner, site.now);
        site.planner.tick(site.now);
        order.extend(
            grants(&site.actions())
                .into_iter()
                .map(|(job_id, _)| job_id),
        );
    }
    order.retain(|job_id| [late, urgent].contains(job_id));
    assert_eq!(order, [urgent, late]);
}

#[test]
fn retries_and_resumed_streams_count() {
    let mut site = site(&["e", "f"], RATE);
    for id in ["e", "f"] {
        write(&mut site, id, 3_000, (1, 1));
    }
    let mut granted = Granted::new();
    for _ in 0..40 {
        let job_id = site.submit(site.job(&[], 500));
        for _ in 0..2 {
            let Some((_, grant)) = grants(&site.actions()).pop() else {
                break;
            };
            granted.entry(grant.endpoint).or_default().push(site.now);
            site.planner.ended(job_id, Verdict::Refused, site.now);
            site.planner
                .retry(job_id, false, Some("v1".into()), site.now);
        }
        site.now += ms(10);
        rank(&site.planner, site.now);
        site.planner.remove(job_id, site.now);
    }
    for times in granted.values() {
        assert!(times.len() * 2 <= ALLOWED, "{}", times.len());
    }
}

/// Less than one request a second for each of two planners: nothing is sent until the engine is warm.
#[test]
fn engine_that_bears_less_than_a_request_gets_none() {
    let mut site = site(&["e"], 0.2);
    tracker(&site.planner).set_bound(Bound::default());
    write(&mut site, "e", 2_000, (1, 1));
    let granted = play(&mut site, 2_100);
    assert!(granted["e"][0] >= ms(3_600), "{:?}", granted["e"][0]);
}

#[test]
fn cold_stage_endpoint_called_at_its_pace_and_not_to_free_results() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let stage = site.catalog.services.get_mut("look-up").expect("listed");
    let duration = ms(60_000);
    stage.cold_start = Some(catalog::ColdStart {
        duration,
        rate: 2.0,
    });
    tracker(&site.planner).set_bound(BOUND);
    let cold = Endpoint {
        cold_remaining: duration,
        seq: 1,
        ..endpoint("m", "look-up", "a")
    };
    let entry = super::super::super::registry::Entry::Present(cold);
    site.registry.apply(entry, site.now);
    observe(&mut site);
    let (mut called, mut frees) = (Vec::new(), 0);
    for step in 0..500 {
        site.now = ms(step * 20);
        rank(&site.planner, site.now);
        if step % 10 == 0 {
            site.submit(site.job(&[1], 4_000));
        }
        site.planner.tick(site.now);
        let actions = site.actions();
        frees += freed(&actions).len();
        for (call, _, pieces) in calls(&actions) {
            called.push(site.now);
            site.answer(call, pieces.len());
        }
        for (job_id, _) in grants(&site.actions()) {
            site.planner.remove(job_id, site.now);
        }
    }
    let most = most_in_second(&called);
    assert!((1..=2).contains(&most), "{most} in a second");
    assert_eq!(frees, 0);
}
