//! Load patterns replayed against a model of the endpoints: what the policy is worth at its worst.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::*;

/// What became of the requests of a replay.
#[derive(Debug, Default)]
struct Tally {
    on_time: usize,
    late: usize,
    refused: usize,
    /// The longest time that a refused request was held.
    held: Duration,
}

/// Time of the answer itself, after the grant.
const ANSWER: u64 = 150;

/// A request of a replay: when it comes, its pieces, and its rank.
struct Arrival {
    at: u64,
    pieces: usize,
    priority: u8,
}

/// Arrivals of `rate` a second over `seconds`, with the sizes of the users' lunch menus.
fn arrivals(rate: f64, seconds: u64, priority: u8) -> Vec<Arrival> {
    let sizes = [1, 2, 2, 3, 1, 4, 3, 2, 5, 2];
    let count = (rate * seconds as f64) as usize;
    let one = |index: usize| Arrival {
        at: (index as f64 * 1000.0 / rate) as u64,
        pieces: sizes[index % sizes.len()],
        priority,
    };
    (0..count).map(one).collect()
}

/// Plays arrivals; `slow` gives the multiple of its usual time that an endpoint takes.
fn replay(site: &mut Site, mut load: Vec<Arrival>, slow: impl Fn(&str) -> f64) -> Vec<(u8, Tally)> {
    load.sort_by_key(|arrival| Reverse(arrival.at));
    let mut running: BinaryHeap<Reverse<(u64, CallId, usize)>> = BinaryHeap::new();
    let mut open: IndexMap<Ticket, (u8, u64, u64)> = IndexMap::new();
    let mut ending: BinaryHeap<Reverse<(u64, Ticket)>> = BinaryHeap::new();
    let mut tallies: Vec<(u8, Tally)> = (0..3).map(|rank| (rank, Tally::default())).collect();
    for millis in 0..20_000 {
        site.now = ms(millis);
        while load.last().is_some_and(|arrival| arrival.at == millis) {
            let Some(arrival) = load.pop() else { break };
            let mut job = site.job(&[arrival.pieces], 920);
            job.priority = arrival.priority;
            let ticket = site.submit(job);
            open.insert(ticket, (arrival.priority, millis, millis + 920));
        }
        while running
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= millis)
        {
            let Some(Reverse((_, call, pieces))) = running.pop() else {
                break;
            };
            site.answer(call, pieces);
        }
        while ending.peek().is_some_and(|Reverse((at, _))| *at <= millis) {
            let Some(Reverse((_, ticket))) = ending.pop() else {
                break;
            };
            site.planner.started(ticket, true, site.now);
            site.planner.ended(ticket, Verdict::Good, site.now);
            site.planner.remove(ticket, site.now);
            let Some((rank, _, target)) = open.swap_remove(&ticket) else {
                continue;
            };
            let tally = &mut tallies[usize::from(rank)].1;
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
                    pieces: entries,
                    ..
                } => {
                    let time = (150.0 + 13.0 * entries.len() as f64) * slow(&endpoint);
                    running.push(Reverse((millis + time as u64, call, entries.len())));
                }
                Action::Grant(ticket, _) => ending.push(Reverse((millis + ANSWER, ticket))),
                Action::Refuse(ticket, _) => {
                    let Some((rank, came, _)) = open.swap_remove(&ticket) else {
                        continue;
                    };
                    let tally = &mut tallies[usize::from(rank)].1;
                    tally.refused += 1;
                    tally.held = tally.held.max(ms(millis - came));
                }
                Action::Free { .. } => {}
            }
        }
    }
    assert!(
        open.is_empty(),
        "{} requests were never answered",
        open.len()
    );
    tallies
}

fn three() -> Site {
    Site::new(
        &[("l", "a"), ("m", "a"), ("n", "b")],
        &[("e", "a"), ("f", "b")],
    )
}

/// Three endpoints make about 107 pieces a second in full calls; 20 requests bring 50.
#[test]
fn calm_load_all_on_time() {
    let tallies = replay(&mut three(), arrivals(20.0, 10, 1), |_| 1.0);
    let tally = &tallies[1].1;
    assert_eq!(
        (tally.on_time, tally.late, tally.refused),
        (200, 0, 0),
        "{tally:?}"
    );
}

/// 34 requests bring 85 pieces a second, four fifths of what full calls can do; calls that are not
/// filled would do half of it.
#[test]
fn burst_that_just_fits_on_time() {
    let tallies = replay(&mut three(), arrivals(34.0, 7, 1), |_| 1.0);
    let tally = &tallies[1].1;
    assert!(tally.on_time * 100 >= 238 * 95, "{tally:?}");
}

/// Twice what the endpoints can do: what is let in is on time, the rest is refused, most at once.
#[test]
fn overload_served_up_to_capacity() {
    let tallies = replay(&mut three(), arrivals(80.0, 7, 1), |_| 1.0);
    let tally = &tallies[1].1;
    // Full calls make 107 pieces a second, of 2.5 a request: 43 requests a second.
    assert!(tally.on_time * 100 >= 43 * 7 * 75, "{tally:?}");
    assert!(tally.late * 10 <= tally.on_time, "{tally:?}");
    assert!(tally.held <= ms(1_100), "{tally:?}");
}

/// Under overload the more urgent rank is not served less than the less urgent one.
#[test]
fn overload_urgent_rank_first() {
    let mut load = arrivals(30.0, 7, 0);
    load.extend(arrivals(50.0, 7, 2));
    let tallies = replay(&mut three(), load, |_| 1.0);
    let share = |rank: usize, of: f64| tallies[rank].1.on_time as f64 / of;
    assert!(share(0, 210.0) > 0.85, "{tallies:?}");
    assert!(share(0, 210.0) > share(2, 350.0) + 0.2, "{tallies:?}");
}

/// One of three endpoints turns five times slower: the others carry what they can.
#[test]
fn slow_endpoint_avoided() {
    let slow = |id: &str| if id == "m" { 5.0 } else { 1.0 };
    let tallies = replay(&mut three(), arrivals(20.0, 10, 1), slow);
    let tally = &tallies[1].1;
    assert!(tally.on_time * 100 >= 200 * 90, "{tally:?}");
}

/// Makes a site of two zones, each with an endpoint of both stages.
fn two_zones() -> Site {
    let mut site = Site::new(&[("m", "a"), ("n", "b")], &[("e", "a"), ("f", "b")]);
    let far = super::super::super::registry::Entry::Present(endpoint("q", "pack", "b"));
    site.fleet.apply(far, ms(0));
    site.planner.sync(&site.fleet, &site.catalog, ms(0));
    site
}

/// Returns the endpoints and stages of the calls that are begun now.
fn begun(site: &mut Site) -> Vec<(String, usize, CallId)> {
    let actions = site.actions();
    let calls = actions.into_iter().filter_map(|action| match action {
        Action::Call {
            call,
            endpoint,
            pieces: entries,
            ..
        } => Some((endpoint.to_string(), entries[0].stage, call)),
        _ => None,
    });
    calls.collect()
}

/// Load pattern: a calm day, where each of sixteen small pieces fetches all results of the stage
/// before it. On the grown Põldmaa that was more than the large results: 46 GB in 30 s, now 32 GB.
#[test]
fn pieces_made_where_their_inputs_are() {
    for (maker, beside) in [("m", "p"), ("n", "q")] {
        let mut site = two_zones();
        let mut job = site.job(&[3, 16], 3_000);
        job.stages[0].bytes = 60_000;
        job.stages[1].bytes = 6_000;
        // The other zone's endpoint is busy, so that this one makes the results.
        let other = if maker == "m" { "n" } else { "m" };
        let busy = site.job(&[10], 900);
        let mut calls = Vec::new();
        for _ in 0..2 {
            site.submit(busy.clone());
            calls.extend(begun(&mut site));
        }
        let free = calls.iter().find(|(at, ..)| at == maker).expect("both");
        site.now = ms(290);
        site.answer(free.2, 10);
        begun(&mut site);
        site.submit(job);
        let first = begun(&mut site);
        assert_eq!(first[0].0, maker, "{other} is busy");
        site.now = ms(480);
        site.answer(first[0].2, 3);
        let next = begun(&mut site);
        assert_eq!((&*next[0].0, next[0].1), (beside, 1));
    }
}

/// Load pattern: the same. An idle endpoint elsewhere takes a large piece only if the one in whose
/// zone it is best made cannot take it soon.
#[test]
fn large_piece_waits_for_its_zone_while_it_has_time() {
    for (target, waits) in [(3_000, true), (500, false)] {
        let mut site = two_zones();
        let mut first = site.job(&[10, 1], 2_000);
        first.target = ms(2_000);
        site.submit(first);
        let running = begun(&mut site);
        assert_eq!(running.len(), 1);
        // The next request has its first piece made beside the running call's zone.
        site.now = ms(220);
        let mut job = site.job(&[2], target);
        job.transferred_results.push(TransferredResult {
            stage: 0,
            piece: 0,
            handle: "h".into(),
            endpoint: running[0].0.as_str().into(),
            zone: if running[0].0 == "m" {
                "a".into()
            } else {
                "b".into()
            },
            bytes: 3_000_000,
            expires_at: ms(9_000),
        });
        site.submit(job);
        assert_eq!(begun(&mut site).is_empty(), waits, "target {target}");
        site.now = ms(290);
        site.answer(running[0].2, 10);
        let next = begun(&mut site);
        assert_eq!(next.iter().any(|(at, ..)| *at == running[0].0), waits);
    }
}
