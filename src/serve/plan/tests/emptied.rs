//! Tests of planning while zones are evacuated.

use super::*;

fn evacuated() -> Change {
    Change::Begun("a".into())
}

/// What runs in the zone ends there, its results are used elsewhere, and no call frees them.
#[test]
fn results_in_evacuated_zone_used_and_left() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a"), ("f", "b")]);
    let job_id = site.submit(site.job(&[1], 2_000));
    assert_eq!(calls(&site.actions())[0].1, "m".into());
    site.evacuate(evacuated());
    assert!(site.actions().is_empty(), "it goes on");
    site.answer(0, 1);
    let (_, grant) = grants(&site.actions()).remove(0);
    assert_eq!(grant.endpoint, "f".into());
    assert_eq!(grant.inputs, [Handle::from("h0-0")]);
    site.planner.remove(job_id, ms(300));
    assert!(freed(&site.actions()).is_empty());
}

#[test]
fn waiting_piece_moves_to_other_zone() {
    let mut site = Site::new(&[("m", "a"), ("n", "b")], &[("e", "b")]);
    for _ in 0..3 {
        site.submit(site.job(&[10], 4_000));
    }
    let running = calls(&site.actions());
    assert_eq!(running.len(), 2);
    site.evacuate(evacuated());
    site.now = ms(280);
    for (call, ..) in running {
        site.answer(call, 10);
    }
    let next = calls(&site.actions());
    assert_eq!((next.len(), &next[0].1), (1, &"n".into()));
}

#[test]
fn granted_request_planned_anew() {
    let mut site = Site::new(&[], &[("e", "a"), ("f", "b")]);
    let job_id = site.submit(site.job(&[], 2_000));
    assert_eq!(grants(&site.actions())[0].1.endpoint, "e".into());
    site.evacuate(evacuated());
    site.planner.ended(job_id, Verdict::Unknown, site.now);
    site.planner.retry(job_id, false, None, site.now);
    assert_eq!(grants(&site.actions())[0].1.endpoint, "f".into());
}

/// A stage has endpoints in the evacuated zone only: what needs it is refused, not held.
#[test]
fn emptied_stage_refused_at_once() {
    let mut site = Site::new(&[("m", "a")], &[("e", "b")]);
    site.submit(site.job(&[10], 4_000));
    let waiting = site.submit(site.job(&[1], 4_000));
    site.actions();
    site.evacuate(evacuated());
    let refused = refusals(&site.actions());
    assert_eq!(refused.len(), 1, "what runs goes on");
    assert_eq!(refused[0].0, waiting);
    let new = site.submit(site.job(&[1], 4_000));
    assert_eq!(refusals(&site.actions())[0].0, new);
    site.planner
        .call_ended(0, &CallOutcome::Lost, site.now + ms(1));
    site.planner.tick(site.now + ms(20));
    assert_eq!(refusals(&site.actions()).len(), 1, "its call was lost");
}

/// A stage has endpoints that are closed, and others in the evacuated zone: what needs it is refused, not held.
#[test]
fn closed_stage_refused_although_others_are_evacuated() {
    let mut site = Site::new(&[("m", "a"), ("n", "b")], &[("e", "b")]);
    site.evacuate(evacuated());
    site.submit(site.job(&[1], 5_000));
    let waiting = site.submit(site.job(&[1], 5_000));
    assert_eq!(calls(&site.actions()).len(), 1);
    site.planner.call_ended(0, &CallOutcome::Refused, ms(10));
    site.planner.close(&"n".into(), Some(ms(60_000)));
    site.now = ms(20);
    site.planner.tick(site.now);
    let refused = refusals(&site.actions());
    assert!(refused.iter().any(|(job_id, _)| *job_id == waiting));
}

/// What runs in a zone still counts when the zone is taken back.
#[test]
fn zone_taken_back_used_again() {
    let mut site = Site::new(&[("m", "a")], &[("e", "b")]);
    site.submit(site.job(&[10], 4_000));
    assert_eq!(calls(&site.actions()).len(), 1);
    site.evacuate(evacuated());
    site.evacuate(Change::Ended("a".into()));
    site.submit(site.job(&[1], 4_000));
    assert!(calls(&site.actions()).is_empty(), "it is busy");
    site.now = ms(300);
    site.answer(0, 10);
    assert_eq!(calls(&site.actions()).len(), 1);
}
