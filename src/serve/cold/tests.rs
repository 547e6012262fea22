use std::net::SocketAddr;

use super::*;
use crate::serve::catalog::Service;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn catalog() -> Catalog {
    let cold_start = Some(ColdStart {
        duration: ms(3_000),
        rate: 8.3,
    });
    let service = Service {
        cold_start,
        ..Service::default()
    };
    let mut catalog = Catalog {
        version: 1,
        ..Catalog::default()
    };
    catalog.services.insert("s".into(), service);
    catalog
}

fn tracker() -> Tracker {
    let tracker = Tracker::new(Logger::root(slog::Discard, slog::o!()));
    tracker.set_bound(Bound {
        overshoot: 1.5,
        slack: 5.0,
    });
    tracker
}

fn endpoint(cold: Duration, born: u64, seq: u64) -> Endpoint {
    Endpoint {
        id: "e".into(),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "a".into(),
        release: "v1".into(),
        slots: 4,
        draining: false,
        cold_remaining: cold,
        born,
        seq,
    }
}

fn observe(tracker: &Tracker, endpoint: &Endpoint, now: Time) {
    tracker.observe(&catalog(), [endpoint].into_iter(), &|_| None, now);
}

#[test]
fn entry_tells_at_the_start_of_the_daemon() {
    let tracker = tracker();
    observe(&tracker, &endpoint(ms(0), 1, 9), ms(0));
    assert!(!tracker.is_cold("e", ms(0)) && !tracker.covers(&"s".into(), ms(0)));
    let tracker = self::tracker();
    observe(&tracker, &endpoint(ms(1_200), 1, 9), ms(0));
    assert!(tracker.is_cold("e", ms(1_199)) && !tracker.is_cold("e", ms(1_200)));
}

/// Each daemon plans requests of such a service alone until it has read that an endpoint is cold.
#[test]
fn endpoint_of_plain_service_cold_again_begins_with_a_spent_share() {
    let tracker = tracker();
    observe(&tracker, &endpoint(ms(0), 1, 1), ms(0));
    for step in 0..=20 {
        tracker.set_rank(true, 1, ms(step * 100));
    }
    observe(&tracker, &endpoint(ms(3_000), 1, 2), ms(2_000));
    assert_eq!(tracker.wait("e", ms(2_000)), WINDOW);
}

/// A late listing lacks what was written since, so it changes nothing that is known of a life.
#[test]
fn late_entry_counts_from_when_it_is_read() {
    let tracker = tracker();
    observe(&tracker, &endpoint(ms(0), 1, 1), ms(0));
    observe(&tracker, &endpoint(ms(2_000), 1, 2), ms(5_000));
    observe(&tracker, &endpoint(ms(2_000), 1, 2), ms(6_500));
    assert_eq!(tracker.remaining_time("e", ms(6_500)), ms(500));
}

#[test]
fn endpoint_that_comes_back_counts_as_new() {
    let tracker = tracker();
    observe(&tracker, &endpoint(ms(0), 1, 1), ms(0));
    tracker.observe(&catalog(), std::iter::empty(), &|_| None, ms(1_000));
    observe(&tracker, &endpoint(ms(0), 1, 7), ms(4_000));
    assert_eq!(tracker.remaining_time("e", ms(4_000)), ms(3_000));
}

#[test]
fn zone_taken_back_is_cold_until_an_entry_can_say_warm() {
    let tracker = tracker();
    observe(&tracker, &endpoint(ms(0), 1, 1), ms(0));
    let back = |_: &id::Zone| Some(ms(10_000));
    let read = |seq, now| {
        let endpoint = endpoint(ms(0), 1, seq);
        tracker.observe(&catalog(), [&endpoint].into_iter(), &back, now);
    };
    read(1, ms(10_000));
    assert_eq!(tracker.remaining_time("e", ms(10_000)), ms(5_000));
    read(2, ms(10_500));
    assert!(
        tracker.is_cold("e", ms(10_500)),
        "written before it was taken back"
    );
    read(3, ms(12_100));
    assert!(!tracker.is_cold("e", ms(12_100)));
}

#[test]
fn absurd_figures_of_an_entry_are_bounded() {
    let tracker = tracker();
    observe(&tracker, &endpoint(Duration::MAX, 1, 1), ms(0));
    assert_eq!(tracker.remaining_time("e", ms(0)), MAX_COLD_TIME);
}

#[test]
fn pace_of_two_planners_keeps_every_bound() {
    let bound = |overshoot, slack| Bound { overshoot, slack };
    for rate in [0.0, 0.1, 0.9, 1.0, 8.3, 20.0, 500.0, 1e12, f64::NAN, -3.0] {
        for bound in [
            bound(1.5, 5.0),
            bound(1.0, 0.0),
            bound(0.1, 1.0),
            bound(-1.0, -1.0),
        ] {
            let pace = Pace::new(rate, &bound);
            let allowed = rate.max(0.0) * bound.overshoot.max(0.0) + bound.slack.max(0.0);
            assert!(
                pace.most as f64 * 2.0 <= allowed,
                "{pace:?} of {allowed} at {rate}"
            );
            assert!(pace.most as f64 <= rate.max(1.0), "{pace:?} at {rate}");
        }
    }
}

fn rank(tracker: &Tracker, followers: &[&str], daemons: usize, at: Time) {
    for follower in followers {
        tracker.follow(&(*follower).into(), at);
    }
    tracker.set_rank(true, daemons, at);
}

/// The planners that hold a mandate are those that most daemons follow.
#[test]
fn planner_without_most_followers_sends_nothing() {
    let tracker = tracker();
    observe(&tracker, &endpoint(ms(60_000), 1, 1), ms(0));
    for step in 0..40 {
        rank(&tracker, &["f"], 5, ms(step * 100));
        assert_eq!(tracker.rate("e", ms(step * 100)), Some(0.0));
    }
    for step in 40..60 {
        rank(&tracker, &["f", "g"], 5, ms(step * 100));
        let may_send = tracker.rate("e", ms(step * 100)) > Some(0.0);
        assert_eq!(may_send, step >= 55, "at {step}");
    }
    assert!(tracker.rate("e", ms(6_400)) == Some(0.0), "suspended");
}
