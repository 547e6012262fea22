//! Tests of what a stopping daemon accepts, in virtual time.

use std::time::Duration;

use super::{Drain, RunTime};

const SINCE: Duration = Duration::from_secs(100);
const GRACE: Duration = Duration::from_millis(7_300);

fn drain() -> Drain {
    Drain::new(SINCE, GRACE)
}

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Guards against requests that are accepted although they cannot end before the daemon does.
#[test]
fn accepts_only_what_can_end() {
    let drain = drain();
    let cases = [
        (true, 500, 2_900, true),
        (true, 500, 3_100, false),
        (true, 5_000, 1_700, true),
        (true, 5_000, 1_900, false),
        (true, 8_000, 100, false),
        (false, 100, 5_400, true),
        (false, 100, 5_600, false),
        (false, 2_000, 4_700, true),
        (false, 2_000, 4_900, false),
    ];
    for (is_staged, run, at, is_accepted) in cases {
        let accepts = drain.accepts(is_staged, millis(run), SINCE + millis(at));
        assert_eq!(accepts, is_accepted, "{is_staged} {run} {at}");
    }
}

/// Guards against an accepted request that waits so long that its run is cut off.
#[test]
fn last_send_leaves_time_for_the_run() {
    let drain = drain();
    for run in [0, 100, 1_500, 6_800] {
        assert!(drain.is_final(drain.last_send(millis(run)) + millis(run)));
        assert!(!drain.is_over(drain.last_send(millis(run)) + millis(run)));
    }
    assert_eq!(
        drain.last_send(millis(60_000)),
        SINCE,
        "never before the stop"
    );
}

#[test]
fn phases_in_order() {
    let drain = drain();
    let phases = |at| {
        let now = SINCE + millis(at);
        (drain.may_end(now), drain.is_final(now), drain.is_over(now))
    };
    assert_eq!(phases(3_400), (false, false, false));
    assert_eq!(phases(3_500), (true, false, false));
    assert_eq!(phases(6_800), (true, true, false));
    assert_eq!(phases(7_300), (true, true, true));
}

#[test]
fn bound_covers_most_runs() {
    let mut runs = RunTime::default();
    assert_eq!(runs.bound(), None);
    runs.record(millis(1_000));
    assert_eq!(runs.bound(), Some(millis(2_000)), "one run says little");
    let times = (0..400u64).map(|number| 500 + number * 7_919 % 1_000);
    let mut covered = 0;
    for time in times {
        covered += usize::from(runs.bound() >= Some(millis(time)));
        runs.record(millis(time));
    }
    assert!(covered >= 360, "{covered} of 400");
}
