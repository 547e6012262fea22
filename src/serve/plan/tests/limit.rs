//! Tests of endpoints that have named a limit.

use super::*;

/// Makes an endpoint name a limit.
fn limit(site: &Site, id: &str, rate: f64) {
    let limits = site.planner.engines.limits_of_daemon();
    limits.record(&id.into(), Some(rate), site.now);
}

/// Submits a request without stages every 50 ms; returns when each engine was granted.
fn play(site: &mut Site, length: u64) -> IndexMap<id::Endpoint, Vec<Time>> {
    let mut granted: IndexMap<id::Endpoint, Vec<Time>> = IndexMap::new();
    for step in 0..length / 50 {
        site.now = ms(step * 50);
        site.submit(site.job(&[], 1_000));
        site.planner.tick(site.now);
        for (job_id, grant) in grants(&site.actions()) {
            granted.entry(grant.endpoint).or_default().push(site.now);
            site.planner.remove(job_id, site.now);
        }
    }
    granted
}

#[test]
fn limited_engine_granted_at_its_rate_and_others_do_the_rest() {
    let mut site = Site::new(&[], &[("e", "a"), ("f", "a")]);
    limit(&site, "e", 2.0);
    let granted = play(&mut site, 10_000);
    let limited = granted["e"].len();
    assert!((17..=21).contains(&limited), "{limited}");
    assert_eq!(granted["f"].len() + limited, 200);
}

#[test]
fn requests_wait_for_a_limit_or_are_refused_at_once() {
    let mut site = Site::new(&[], &[("e", "a")]);
    limit(&site, "e", 4.0);
    for _ in 0..6 {
        site.submit(site.job(&[], 1_000));
    }
    let refused = refusals(&site.actions());
    assert_eq!(refused.len(), 2, "four fit into their target");
    assert!(
        refused
            .iter()
            .all(|(_, refusal)| refusal.retry_after >= ms(1_000))
    );
    let mut granted = 0;
    for step in 1..=50 {
        site.now = ms(step * 20);
        site.planner.tick(site.now);
        granted += grants(&site.actions()).len();
    }
    assert!(granted >= 3, "{granted}, the fourth just at its target");
}

/// Guards against a request that waits for the limit of an engine which has ended it already.
#[test]
fn request_not_held_for_a_limited_engine_that_it_has_tried() {
    let mut site = Site::new(&[], &[("e", "a"), ("f", "a")]);
    let job_id = site.submit(site.job(&[], 2_000));
    for at in [10, 20] {
        let granted = grants(&site.actions());
        limit(&site, &granted[0].1.endpoint, 1.0);
        site.planner.ended(job_id, Verdict::Lost, ms(at));
        site.planner.retry(job_id, false, None, ms(at));
    }
    assert_eq!(refusals(&site.actions()).len(), 1);
}

/// Each daemon would keep the limit for itself.
#[test]
fn planner_of_one_daemon_leaves_limited_engines() {
    let mut site = Site::new(&[], &[("e", "a"), ("f", "a")]);
    site.planner.engines.leave_limited();
    limit(&site, "e", 5.0);
    assert_eq!(play(&mut site, 1_000)["f"].len(), 20);
    limit(&site, "f", 5.0);
    site.now = ms(2_000);
    site.submit(site.job(&[], 1_000));
    assert_eq!(refusals(&site.actions()).len(), 1);
}

#[test]
fn limited_stage_endpoint_called_at_its_rate() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    limit(&site, "m", 1.0);
    let mut called = 0;
    for step in 0..500 {
        site.now = ms(step * 20);
        if step % 25 == 0 {
            site.submit(site.job(&[1], 4_000));
        }
        site.planner.tick(site.now);
        for (call, _, pieces) in calls(&site.actions()) {
            called += 1;
            site.answer(call, pieces.len());
        }
    }
    assert!((8..=11).contains(&called), "{called} calls in 10 s");
}

#[test]
fn limited_stage_endpoint_not_called_to_free_results() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let job_id = site.submit(site.job(&[1], 3_000));
    site.actions();
    site.answer(0, 1);
    limit(&site, "m", 5.0);
    site.planner.remove(job_id, ms(200));
    assert!(freed(&site.actions()).is_empty());
}

/// Load pattern: a stage can do a fraction of what comes. What is above it is refused before it waits.
#[test]
fn admission_counts_the_capacity_that_limits_leave() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let submit = |site: &mut Site| {
        for _ in 0..12 {
            site.submit(site.job(&[5], 1_500));
        }
        refusals(&site.actions()).len()
    };
    let before = submit(&mut site);
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    limit(&site, "m", 0.5);
    assert!(submit(&mut site) > before);
}
