//! Tests of which endpoint runs a request.

use super::*;
use crate::serve::closure::Closure;

#[test]
fn request_refused_by_the_engine_goes_to_another() {
    let mut site = Site::new(&[], &[("e", "a"), ("f", "a")]);
    let job_id = site.submit(site.job(&[], 2_000));
    let first = grants(&site.actions())[0].1.endpoint.clone();
    site.planner.ended(job_id, Verdict::Refused, ms(10));
    site.planner.retry(job_id, false, None, ms(10));
    let second = grants(&site.actions())[0].1.endpoint.clone();
    assert_ne!(first, second);
    site.planner.ended(job_id, Verdict::Refused, ms(20));
    site.planner.retry(job_id, false, None, ms(20));
    assert_eq!(refusals(&site.actions())[0].0, job_id);
}

/// Guards against engines that are tried again and again although they turn most requests away: each try costs a
/// retry.
#[test]
fn requests_mostly_refused_by_engines_avoid_them() {
    let engines = [("e", "a"), ("f", "a"), ("g", "a"), ("h", "a"), ("i", "a")];
    let mut site = Site::new(&[], &engines);
    let (mut refused, mut served) = (0, 0);
    for number in 0..200 {
        site.now = ms(50 * number);
        let job_id = site.submit(site.job(&[], 2_000));
        let mut granted = grants(&site.actions())[0].1.endpoint.clone();
        // All but one turn four requests in five away.
        while &*granted != "i" && (number + refused) % 5 > 0 {
            refused += 1;
            site.planner.ended(job_id, Verdict::Refused, site.now);
            site.planner.retry(job_id, false, None, site.now);
            granted = grants(&site.actions())[0].1.endpoint.clone();
        }
        served += 1;
        site.planner.ended(job_id, Verdict::Good, site.now);
        site.planner.remove(job_id, site.now);
    }
    assert_eq!(served, 200);
    assert!(refused <= 20, "{refused} refused");
}

#[test]
fn inputs_lost_at_the_engine_computed_again() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a"), ("f", "a")]);
    let job_id = site.submit(site.job(&[1], 3_000));
    site.actions();
    site.answer(0, 1);
    site.actions();
    site.planner.ended(job_id, Verdict::Refused, ms(250));
    site.planner.retry(job_id, true, None, ms(250));
    let actions = site.actions();
    assert_eq!(freed(&actions), [Handle::from("h0-0")]);
    assert_eq!(calls(&actions).len(), 1);
}

#[test]
fn shared_prompt_goes_to_the_engine_that_has_it() {
    let mut site = Site::new(&[], &[("e", "a"), ("f", "a"), ("g", "a")]);
    let part = |id: &str, tokens| PromptPart {
        id: id.into(),
        tokens,
    };
    let mut chosen = Vec::new();
    for number in 0..12 {
        let mut job = site.job(&[], 2_000);
        let own = format!("own{number}");
        job.prompt_parts = vec![
            part("system", 2_500),
            part("subject", 3_800),
            part(&own, 500),
        ];
        site.submit(job);
        chosen.extend(
            grants(&site.actions())
                .into_iter()
                .map(|(_, grant)| grant.endpoint),
        );
    }
    let first = chosen[0].clone();
    assert!(
        chosen.iter().all(|endpoint| *endpoint == first),
        "{chosen:?}"
    );
}

/// Makes a site whose engine e has read a long part; returns the job of another request with that part.
fn site_with_kept_part() -> (Site, Job) {
    site_with_kept_part_in("a")
}

/// Makes such a site with the engine f in a zone.
fn site_with_kept_part_in(zone: &str) -> (Site, Job) {
    let mut site = Site::new(&[], &[("e", "a"), ("f", zone)]);
    site.set_transfer_rate(163_840, 260_000_000_000);
    let part = |id: &str, tokens| PromptPart {
        id: id.into(),
        tokens,
    };
    let mut job = site.job(&[], 2_000);
    job.prompt_parts = vec![part("long", 20_000), part("own", 100)];
    let first = site.submit(job.clone());
    site.now = ms(300);
    site.planner.started(first, true, site.now);
    site.planner.ended(first, Verdict::Good, site.now);
    site.planner.remove(first, site.now);
    site.actions();
    job.prompt_parts[1] = part("other", 100);
    (site, job)
}

/// Makes the engine that gets a request busy with another long prompt; returns the engine.
fn occupy(site: &mut Site, job: &Job) -> id::Endpoint {
    let mut busy = job.clone();
    busy.prompt_parts[1].tokens = 60_000;
    busy.prompt_parts[1].id = "busy".into();
    site.submit(busy);
    grants(&site.actions())[0].1.endpoint.clone()
}

/// Load pattern: a part comes again while the engine that keeps it reads a long prompt.
#[test]
fn part_kept_by_a_busy_engine_fetched() {
    let (mut site, job) = site_with_kept_part();
    let busy = occupy(&mut site, &job);
    site.submit(job);
    let grant = grants(&site.actions())[0].1.clone();
    assert_ne!(grant.endpoint, busy);
    assert_eq!(grant.fetch_from, Some(site.address(&busy)));
}

/// Guards against the memory of one software version that goes on under another one.
#[test]
fn part_of_another_release_not_fetched() {
    let (mut site, job) = site_with_kept_part();
    let busy = occupy(&mut site, &job);
    let other = if *busy == *"e" { "f" } else { "e" };
    site.set_release(other, "model", "v2");
    site.submit(job);
    assert_eq!(grants(&site.actions())[0].1.fetch_from, None);
}

fn residency(region: &str) -> Residency {
    let places = [("a".into(), "r".into()), ("b".into(), "q".into())].into();
    Residency::new(&places, &[region.into()], &[])
}

/// Guards against a prompt that is fetched from a region where it may not be, and an engine there.
#[test]
fn part_kept_in_region_that_is_not_allowed_not_fetched() {
    for is_limited in [false, true] {
        let (mut site, mut job) = site_with_kept_part_in("b");
        let keeper = occupy(&mut site, &job);
        let other = if *keeper == *"e" { "q" } else { "r" };
        if is_limited {
            job.residency = residency(other);
        }
        site.submit(job);
        let grant = grants(&site.actions())[0].1.clone();
        assert_ne!(grant.endpoint, keeper);
        assert_eq!(grant.fetch_from.is_none(), is_limited);
    }
}

/// Guards against a planner that works on a request which may not be in its region.
#[test]
fn request_that_may_not_be_here_refused() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let mut job = site.job(&[1], 2_000);
    job.residency = residency("p");
    site.submit(job);
    let actions = site.actions();
    assert_eq!(refusals(&actions).len(), 1);
    assert!(calls(&actions).is_empty());
}

/// Guards against fetches from an engine that has not read the part yet, and would make others wait.
#[test]
fn part_being_read_not_fetched() {
    let (mut site, mut job) = site_with_kept_part();
    job.prompt_parts[0].id = "new".into();
    let busy = occupy(&mut site, &job);
    site.submit(job);
    let grant = grants(&site.actions())[0].1.clone();
    assert!(grant.fetch_from.is_none(), "{busy}: {grant:?}");
}

/// A prompt that no engine reads within its target is not refused for that: others have to wait as well.
#[test]
fn prompt_too_long_for_its_target_served() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let mut job = site.job(&[1], 900);
    job.prompt_parts = vec![PromptPart {
        id: "own".into(),
        tokens: 150_000,
    }];
    site.submit(job);
    site.planner.tick(ms(20));
    let actions = site.actions();
    assert_eq!((calls(&actions).len(), refusals(&actions).len()), (1, 0));
}

#[test]
fn requests_spread_over_engines() {
    let mut site = Site::new(&[], &[("e", "a"), ("f", "a"), ("g", "a")]);
    let mut counts: IndexMap<id::Endpoint, usize> = IndexMap::new();
    for number in 0..30 {
        let mut job = site.job(&[], 2_000);
        job.tokens.prompt = 3_000;
        job.prompt_parts = vec![PromptPart {
            id: format!("own{number}").into(),
            tokens: 3_000,
        }];
        site.submit(job);
        for (_, grant) in grants(&site.actions()) {
            *counts.entry(grant.endpoint).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 3);
    assert!(
        counts.values().all(|count| (8..=12).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn crashing_content_refused() {
    let mut site = Site::new(&[], &[("e", "a"), ("f", "a"), ("g", "a")]);
    for at in [50, 100] {
        site.now = ms(at);
        let mut job = site.job(&[], 2_000);
        job.digest = "poison".into();
        let job_id = site.submit(job);
        assert_eq!(grants(&site.actions()).len(), 1);
        site.planner.ended(job_id, Verdict::Crashed, site.now);
        site.planner.remove(job_id, site.now);
    }
    site.now = ms(200);
    let mut job = site.job(&[], 2_000);
    job.digest = "poison".into();
    site.submit(job);
    assert_eq!(refusals(&site.actions()).len(), 1);
    site.now = ms(2_000);
    site.submit(site.job(&[], 2_000));
    assert_eq!(grants(&site.actions()).len(), 1, "other content is served");
}

#[test]
fn last_engine_used_though_ejected() {
    let mut site = Site::new(&[], &[("e", "a")]);
    let job_id = site.submit(site.job(&[], 2_000));
    site.actions();
    site.planner.ended(job_id, Verdict::Lost, ms(50));
    site.planner.remove(job_id, ms(50));
    site.now = ms(60);
    site.submit(site.job(&[], 2_000));
    assert_eq!(grants(&site.actions()).len(), 1);
}

/// Guards against streams that go on at another version of the endpoints' software.
#[test]
fn stream_goes_on_at_its_release_only() {
    let mut site = Site::new(&[], &[("e", "a"), ("f", "a"), ("g", "a"), ("h", "a")]);
    for id in ["g", "h"] {
        site.set_release(id, "model", "v2");
    }
    let job_id = site.submit(site.job(&[], 2_000));
    let first = grants(&site.actions())[0].1.clone();
    let other = |id: &id::Endpoint| match &**id {
        "e" => "f",
        "f" => "e",
        "g" => "h",
        _ => "g",
    };
    site.planner.ended(job_id, Verdict::Crashed, ms(10));
    site.planner
        .retry(job_id, false, first.release.clone(), ms(10));
    let second = grants(&site.actions())[0].1.clone();
    assert_eq!(&*second.endpoint, other(&first.endpoint));
    assert_eq!(second.release, first.release);
    site.planner.ended(job_id, Verdict::Crashed, ms(20));
    site.planner.retry(job_id, false, None, ms(20));
    assert_eq!(
        refusals(&site.actions())[0].0,
        job_id,
        "none of its release is left"
    );
}

#[test]
fn stream_of_missing_release_refused_before_its_stages() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    for (release, is_served) in [("v1", true), ("v2", false)] {
        let mut job = site.job(&[1], 3_000);
        job.release = Some(release.into());
        site.submit(job);
        let actions = site.actions();
        assert_eq!(
            (calls(&actions).len(), refusals(&actions).len()),
            (usize::from(is_served), usize::from(!is_served))
        );
    }
}

/// What an endpoint says binds one daemon; the requests of others go on there.
#[test]
fn closed_engine_granted_to_other_daemons_only() {
    let mut site = Site::new(&[], &[("e", "a")]);
    let closure = |remaining| Closure {
        endpoint: "e".into(),
        remaining,
    };
    for (closures, retry_after) in [
        (vec![], None),
        (vec![closure(Some(ms(5_000)))], Some(ms(5_000)..=ms(6_250))),
        (
            vec![closure(None)],
            Some(MAX_RETRY_AFTER..=MAX_RETRY_AFTER.mul_f64(1.25)),
        ),
    ] {
        let mut job = site.job(&[], 2_000);
        job.closures = closures;
        site.submit(job);
        let actions = site.actions();
        let refused = refusals(&actions);
        assert_eq!(grants(&actions).len(), usize::from(retry_after.is_none()));
        assert_eq!(refused.len(), usize::from(retry_after.is_some()));
        if let Some(expected) = retry_after {
            assert!(
                expected.contains(&refused[0].1.retry_after),
                "{:?}",
                refused[0]
            );
        }
    }
}

/// Requests that wait for a stage whose endpoints stay closed are not held until their deadline.
#[test]
fn request_waiting_for_closed_stage_refused() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    site.submit(site.job(&[1], 5_000));
    site.actions();
    let waiting = site.submit(site.job(&[1], 5_000));
    site.planner.call_ended(0, &CallOutcome::Refused, ms(10));
    site.planner.close(&"m".into(), Some(ms(60_000)));
    site.now = ms(20);
    site.planner.tick(site.now);
    let refused = refusals(&site.actions());
    assert!(
        refused.iter().any(|(job_id, _)| *job_id == waiting),
        "{refused:?}"
    );
}

#[test]
fn closed_stage_endpoint_called_after_its_time() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    site.planner.close(&"m".into(), Some(ms(400)));
    let job_id = site.submit(site.job(&[1], 5_000));
    assert_eq!(refusals(&site.actions())[0].0, job_id, "all are closed");
    site.now = ms(400);
    site.submit(site.job(&[1], 5_000));
    assert_eq!(calls(&site.actions()).len(), 1);
}
