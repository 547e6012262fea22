//! Tests of a change of planner: the next one goes on with the results of the last one.
//!
//! Load pattern: all daemons of a region are stopped and started again in turn, and each of them plans
//! for a while.

use super::*;

/// Submits the requests that one planner hands over to another one, and returns the new job ids.
fn transfer_all(from: &mut Site, to: &mut Site, jobs: &[(JobId, Job)]) -> Vec<JobId> {
    let transferred = refusals(&from.actions());
    to.now = from.now;
    let resubmit = |(job_id, refusal): (JobId, Refusal)| {
        assert!(refusal.is_transferred, "{job_id}: {refusal:?}");
        let (_, job) = jobs.iter().find(|(of, _)| *of == job_id).expect("a job");
        let mut job = job.clone();
        job.transferred_results = refusal.transferred_results;
        to.submit(job)
    };
    transferred.into_iter().map(resubmit).collect()
}

#[test]
fn results_used_by_the_next_planner() {
    let mut before = Site::new(&[("m", "a")], &[("e", "a")]);
    let mut after = Site::new(&[("m", "a")], &[("e", "a")]);
    let job = before.job(&[2, 1], 3_000);
    let job_id = before.submit(job.clone());
    before.actions();
    before.now = ms(180);
    before.answer(0, 2);
    before.planner.start_transfer();
    assert!(
        refusals(&before.actions()).is_empty(),
        "the call of the second stage still runs"
    );
    before.now = ms(340);
    before.answer(1, 1);
    // All its stages are done, so the planner that ran them grants it.
    assert_eq!(grants(&before.actions())[0].0, job_id);
    assert!(before.planner.len() == 1 && after.planner.is_empty());
    // The next request is handed over between its stages.
    let job = before.job(&[1, 1], 3_000);
    let job_id = before.submit(job.clone());
    before.actions();
    before.planner.start_transfer();
    before.now = ms(520);
    before.answer(2, 1);
    let transferred = transfer_all(&mut before, &mut after, &[(job_id, job)]);
    let calls = calls(&after.actions());
    assert_eq!(calls.len(), 1);
    assert_eq!(
        calls[0].2[0].stage, 1,
        "the first stage is not computed again"
    );
    assert_eq!(
        calls[0].2[0].source,
        Input::Handles(vec!["h2-0".into()]),
        "it goes on with the result"
    );
    after.planner.remove(transferred[0], ms(600));
    let freed = freed(&after.actions());
    assert_eq!(freed, [Handle::from("h2-0")], "and frees it");
}

#[test]
fn transferring_request_gets_no_more_calls() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let running = site.submit(site.job(&[10], 4_000));
    let waiting = site.submit(site.job(&[1], 4_000));
    site.actions();
    site.planner.start_transfer();
    assert_eq!(refusals(&site.actions())[0].0, waiting);
    // Some of its pieces fail: the next planner repeats them, and not this one at the same time.
    let mut outcomes = vec![PieceOutcome::Handle("h".into()); 9];
    outcomes.push(PieceOutcome::Error);
    site.planner
        .call_ended(0, &CallOutcome::Answered(outcomes), ms(300));
    let actions = site.actions();
    assert!(calls(&actions).is_empty());
    let transferred = refusals(&actions);
    assert_eq!(
        (transferred[0].0, transferred[0].1.transferred_results.len()),
        (running, 9)
    );
}

#[test]
fn transferred_request_admitted_under_load() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    for millis in 0..50 {
        site.now = ms(millis);
        site.submit(site.job(&[5], 920));
    }
    assert!(!refusals(&site.actions()).is_empty(), "there is no room");
    let mut job = site.job(&[2], 920);
    job.transferred_results.push(TransferredResult {
        stage: 0,
        piece: 0,
        handle: "h".into(),
        endpoint: "m".into(),
        zone: "a".into(),
        bytes: 3_000_000,
        expires_at: ms(4_000),
    });
    let transferred = site.submit(job);
    let refused = refusals(&site.actions());
    assert!(
        refused.iter().all(|(job_id, _)| *job_id != transferred),
        "it was admitted before"
    );
}

#[test]
fn invalid_results_ignored() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let mut job = site.job(&[1], 2_000);
    job.transferred_results.push(TransferredResult {
        stage: 3,
        piece: 9,
        handle: "h".into(),
        endpoint: "m".into(),
        zone: "a".into(),
        bytes: 1,
        expires_at: ms(4_000),
    });
    site.submit(job);
    assert_eq!(calls(&site.actions())[0].2.len(), 1);
}

#[test]
fn overdue_call_that_ends_leaves_the_next_one_running() {
    let mut site = Site::new(&[("m", "a"), ("n", "a")], &[("e", "a")]);
    site.submit(site.job(&[1], 4_000));
    site.actions();
    site.planner.tick(ms(700));
    let repeated = calls(&site.actions());
    assert_eq!(
        repeated.len(),
        1,
        "the call is overdue, and repeated elsewhere"
    );
    site.planner.call_ended(0, &CallOutcome::Lost, ms(710));
    assert!(
        calls(&site.actions()).is_empty(),
        "the second call computes the piece"
    );
}

#[test]
fn prompts_of_the_earlier_planner_used() {
    let part = |id: &str, tokens| PromptPart {
        id: id.into(),
        tokens,
    };
    let site = Site::new(&[], &[("e", "a"), ("f", "a"), ("g", "a")]);
    let mut job = site.job(&[], 2_000);
    job.prompt_parts = vec![part("shared", 6_000), part("own", 500)];
    let mut chosen = Vec::new();
    for engine in ["e", "f", "g"] {
        let mut next = Site::new(&[], &[("e", "a"), ("f", "a"), ("g", "a")]);
        next.now = ms(5_000);
        next.planner.record_cached(&[CachedPart {
            endpoint: engine.into(),
            part: "shared".into(),
            sent_at: ms(1_000),
        }]);
        let mut job = job.clone();
        job.target = ms(7_000);
        job.deadline = ms(9_000);
        next.submit(job);
        chosen.push(grants(&next.actions())[0].1.endpoint.to_string());
    }
    assert_eq!(chosen, ["e", "f", "g"]);
}

#[test]
fn prompts_reported_before_the_engines_are_known() {
    let mut planner = Planner::new(vec!["a".into()], knowledge());
    planner.record_cached(&[CachedPart {
        endpoint: "f".into(),
        part: "shared".into(),
        sent_at: ms(0),
    }]);
    let site = Site::new(&[], &[("e", "a"), ("f", "a")]);
    planner.sync(&site.registry, &site.catalog, ms(10));
    let mut job = site.job(&[], 2_000);
    job.prompt_parts = vec![
        PromptPart {
            id: "shared".into(),
            tokens: 9_000,
        },
        PromptPart {
            id: "own".into(),
            tokens: 10,
        },
    ];
    planner.submit(1, job, ms(10));
    assert_eq!(&*grants(&planner.take_actions())[0].1.endpoint, "f");
}
