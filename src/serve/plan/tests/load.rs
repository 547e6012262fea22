//! Load patterns replayed against a model of the endpoints.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::*;

/// The outcomes of the requests of a replay.
#[derive(Debug, Default)]
struct Tally {
    on_time: usize,
    late: usize,
    refused: usize,
    /// The longest time until a request was refused.
    longest_wait: Duration,
}

/// The time of an answer after the grant.
const ANSWER_MS: u64 = 150;

/// A request of a replay: its arrival in milliseconds, its pieces and its priority.
struct Arrival {
    at: u64,
    pieces: usize,
    priority: u8,
}

/// Arrivals of `rate` a second over `seconds`, with the piece counts of the users' lunch menus.
fn arrivals(rate: f64, seconds: u64, priority: u8) -> Vec<Arrival> {
    let sizes = [1, 2, 2, 3, 1, 4, 3, 2, 5, 2];
    let count = (rate * seconds as f64) as usize;
    let arrival = |index: usize| Arrival {
        at: (index as f64 * 1000.0 / rate) as u64,
        pieces: sizes[index % sizes.len()],
        priority,
    };
    (0..count).map(arrival).collect()
}

/// Replays arrivals; `slow` gives the duration of calls at an endpoint as a multiple of the usual.
fn replay(site: &mut Site, mut load: Vec<Arrival>, slow: impl Fn(&str) -> f64) -> Vec<(u8, Tally)> {
    load.sort_by_key(|arrival| Reverse(arrival.at));
    let mut calls: BinaryHeap<Reverse<(u64, CallId, usize)>> = BinaryHeap::new();
    let mut waiting: IndexMap<JobId, (u8, u64, u64)> = IndexMap::new();
    let mut ending: BinaryHeap<Reverse<(u64, JobId)>> = BinaryHeap::new();
    let mut tallies: Vec<(u8, Tally)> = (0..3)
        .map(|priority| (priority, Tally::default()))
        .collect();
    for millis in 0..20_000 {
        site.now = ms(millis);
        while load.last().is_some_and(|arrival| arrival.at == millis) {
            let Some(arrival) = load.pop() else { break };
            let mut job = site.job(&[arrival.pieces], 920);
            job.priority = arrival.priority;
            let job_id = site.submit(job);
            waiting.insert(job_id, (arrival.priority, millis, millis + 920));
        }
        while calls.peek().is_some_and(|Reverse((at, ..))| *at <= millis) {
            let Some(Reverse((_, call, pieces))) = calls.pop() else {
                break;
            };
            site.answer(call, pieces);
        }
        while ending.peek().is_some_and(|Reverse((at, _))| *at <= millis) {
            let Some(Reverse((_, job_id))) = ending.pop() else {
                break;
            };
            site.planner.started(job_id, true, site.now);
            site.planner.ended(job_id, Verdict::Good, site.now);
            site.planner.remove(job_id, site.now);
            let Some((priority, _, target)) = waiting.swap_remove(&job_id) else {
                continue;
            };
            let tally = &mut tallies[usize::from(priority)].1;
            if millis <= target {
                tally.on_time += 1;
            } else {
                tally.late += 1;
            }
        }
        if millis % 20 == 0 {
            site.planner.tick(site.now);
        }
        for action in site.actions() {
            match action {
                Action::Call {
                    call,
                    endpoint,
                    pieces,
                    ..
                } => {
                    let duration = (150.0 + 13.0 * pieces.len() as f64) * slow(&endpoint);
                    calls.push(Reverse((millis + duration as u64, call, pieces.len())));
                }
                Action::Grant(job_id, _) => ending.push(Reverse((millis + ANSWER_MS, job_id))),
                Action::Refuse(job_id, _) => {
                    let Some((priority, arrived, _)) = waiting.swap_remove(&job_id) else {
                        continue;
                    };
                    let tally = &mut tallies[usize::from(priority)].1;
                    tally.refused += 1;
                    tally.longest_wait = tally.longest_wait.max(ms(millis - arrived));
                }
                Action::Free { .. } => {}
            }
        }
    }
    assert!(
        waiting.is_empty(),
        "{} requests were never answered",
        waiting.len()
    );
    tallies
}

fn three_endpoints() -> Site {
    Site::new(
        &[("l", "a"), ("m", "a"), ("n", "b")],
        &[("e", "a"), ("f", "b")],
    )
}

/// Three endpoints compute about 107 pieces a second in full calls; 20 requests bring 50.
#[test]
fn calm_load_all_on_time() {
    let tallies = replay(&mut three_endpoints(), arrivals(20.0, 10, 1), |_| 1.0);
    let tally = &tallies[1].1;
    assert_eq!(
        (tally.on_time, tally.late, tally.refused),
        (200, 0, 0),
        "{tally:?}"
    );
}

/// 34 requests bring 85 pieces a second, four fifths of the capacity with full calls; calls that are
/// not full would reach half of it.
#[test]
fn burst_that_just_fits_on_time() {
    let tallies = replay(&mut three_endpoints(), arrivals(34.0, 7, 1), |_| 1.0);
    let tally = &tallies[1].1;
    assert!(tally.on_time * 100 >= 238 * 95, "{tally:?}");
}

/// Twice the capacity of the endpoints: admitted requests are on time, the others are refused, most
/// of them at once.
#[test]
fn overload_served_up_to_capacity() {
    let tallies = replay(&mut three_endpoints(), arrivals(80.0, 7, 1), |_| 1.0);
    let tally = &tallies[1].1;
    // Full calls compute 107 pieces a second, of 2.5 a request: 43 requests a second.
    assert!(tally.on_time * 100 >= 43 * 7 * 75, "{tally:?}");
    assert!(tally.late * 10 <= tally.on_time, "{tally:?}");
    assert!(tally.longest_wait <= ms(1_100), "{tally:?}");
}

/// Under overload the more urgent priority is served more than the less urgent one.
#[test]
fn overload_urgent_priority_first() {
    let mut load = arrivals(30.0, 7, 0);
    load.extend(arrivals(50.0, 7, 2));
    let tallies = replay(&mut three_endpoints(), load, |_| 1.0);
    let share = |priority: usize, submitted: f64| tallies[priority].1.on_time as f64 / submitted;
    assert!(share(0, 210.0) > 0.85, "{tallies:?}");
    assert!(share(0, 210.0) > share(2, 350.0) + 0.2, "{tallies:?}");
}

/// One of three endpoints becomes five times slower: the others take over its load.
#[test]
fn slow_endpoint_avoided() {
    let slow = |id: &str| if id == "m" { 5.0 } else { 1.0 };
    let tallies = replay(&mut three_endpoints(), arrivals(20.0, 10, 1), slow);
    let tally = &tallies[1].1;
    assert!(tally.on_time * 100 >= 200 * 90, "{tally:?}");
}

/// Makes a site of two zones, each with an endpoint of both stages.
fn two_zones() -> Site {
    let mut site = Site::new(&[("m", "a"), ("n", "b")], &[("e", "a"), ("f", "b")]);
    let far = super::super::super::registry::Entry::Present(endpoint("q", "pack", "b"));
    site.registry.apply(far, ms(0));
    site.planner.sync(&site.registry, &site.catalog, ms(0));
    site
}

/// Returns the endpoint, the stage and the id of each call that was started.
fn started_calls(site: &mut Site) -> Vec<(String, usize, CallId)> {
    let actions = site.actions();
    let calls = actions.into_iter().filter_map(|action| match action {
        Action::Call {
            call,
            endpoint,
            pieces,
            ..
        } => Some((endpoint.to_string(), pieces[0].stage, call)),
        _ => None,
    });
    calls.collect()
}

/// Load pattern: a calm day, on which each of sixteen small pieces fetches all results of the stage
/// before it. On the grown Põldmaa these fetches were more than the large results: 46 GB in 30 s, and
/// 32 GB since pieces are computed where their inputs are.
#[test]
fn pieces_computed_where_their_inputs_are() {
    for (first_endpoint, same_zone) in [("m", "p"), ("n", "q")] {
        let mut site = two_zones();
        let mut job = site.job(&[3, 16], 3_000);
        job.stages[0].bytes = 60_000;
        job.stages[1].bytes = 6_000;
        // The other zone's endpoint is busy, so that this one computes the results.
        let other = if first_endpoint == "m" { "n" } else { "m" };
        let busy = site.job(&[10], 900);
        let mut calls = Vec::new();
        for _ in 0..2 {
            site.submit(busy.clone());
            calls.extend(started_calls(&mut site));
        }
        let free = calls
            .iter()
            .find(|(at, ..)| at == first_endpoint)
            .expect("both");
        site.now = ms(290);
        site.answer(free.2, 10);
        started_calls(&mut site);
        site.submit(job);
        let first = started_calls(&mut site);
        assert_eq!(first[0].0, first_endpoint, "{other} is busy");
        site.now = ms(480);
        site.answer(first[0].2, 3);
        let next = started_calls(&mut site);
        assert_eq!((&*next[0].0, next[0].1), (same_zone, 1));
    }
}

/// Load pattern: a calm day. An idle endpoint elsewhere takes a large piece only if none in its
/// preferred zone can take it soon.
#[test]
fn large_piece_waits_for_its_zone_while_it_has_time() {
    for (target, waits) in [(3_000, true), (500, false)] {
        let mut site = two_zones();
        let mut first = site.job(&[10, 1], 2_000);
        first.target = ms(2_000);
        site.submit(first);
        let calls = started_calls(&mut site);
        assert_eq!(calls.len(), 1);
        // The first piece of the next request was computed in the zone of the running call.
        site.now = ms(220);
        let mut job = site.job(&[2], target);
        job.transferred_results.push(TransferredResult {
            stage: 0,
            piece: 0,
            handle: "h".into(),
            endpoint: calls[0].0.as_str().into(),
            zone: if calls[0].0 == "m" {
                "a".into()
            } else {
                "b".into()
            },
            bytes: 3_000_000,
            expires_at: ms(9_000),
        });
        site.submit(job);
        assert_eq!(
            started_calls(&mut site).is_empty(),
            waits,
            "target {target}"
        );
        site.now = ms(290);
        site.answer(calls[0].2, 10);
        let next = started_calls(&mut site);
        assert_eq!(next.iter().any(|(at, ..)| *at == calls[0].0), waits);
    }
}
