//! Tests of the pace of VMs.

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn heard(ratio: Ratio) -> Pace {
    let mut pace = Pace::default();
    pace.record(ratio, ms(1_000));
    pace
}

#[test]
fn duration_as_usual_without_a_figure() {
    let pace = Pace::default();
    assert_eq!(pace.duration(ms(279), ms(5_000)), ms(279));
    assert!((pace.ratio(ms(279), ms(5_000)) - 1.0).abs() < f64::EPSILON);
    assert_eq!(heard(1.0).duration(ms(279), ms(1_000)), ms(279));
}

#[test]
fn duration_longer_at_a_slow_vm_and_less_with_age() {
    let pace = heard(2.5);
    let at = |age: u64| pace.duration(ms(280), ms(1_000 + age));
    assert!(at(0) > ms(420) && at(0) < ms(700), "{:?}", at(0));
    assert!(at(0) > at(200) && at(200) > at(600));
    assert!(at(600) < ms(330), "{:?}", at(600));
    assert_eq!(at(60_000), ms(280));
}

#[test]
fn duration_of_short_work_at_the_full_figure_and_of_long_work_partly() {
    let pace = heard(2.5);
    let short = pace.ratio(ms(10), ms(1_000));
    assert!(short > 2.4 && short < 2.5, "{short}");
    let long = pace
        .duration(ms(600_000), ms(1_000))
        .checked_sub(ms(600_000));
    assert!(long > Some(ms(200)) && long < Some(ms(600)), "{long:?}");
}

#[test]
fn duration_shorter_at_a_fast_vm() {
    let took = heard(0.5).duration(ms(200), ms(1_000));
    assert!(took > ms(100) && took < ms(200), "{took:?}");
}

#[test]
fn record_last_figure_counts() {
    let mut pace = heard(2.5);
    pace.record(4.0, ms(900));
    assert!(pace.ratio(ms(1), ms(1_000)) < 2.6, "an earlier figure");
    pace.record(1.0, ms(1_010));
    assert_eq!(pace.duration(ms(280), ms(1_010)), ms(280));
}

#[test]
fn record_bad_figures_ignored_or_clamped() {
    for ratio in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(
            heard(ratio).duration(ms(280), ms(1_000)),
            ms(280),
            "{ratio}"
        );
    }
    assert!(heard(1e9).ratio(ms(1), ms(1_000)) <= 20.0);
    assert!(heard(1e-9).duration(ms(280), ms(1_000)) > ms(56));
}

/// A call that was slow while the VM was does not count against the endpoint a second time.
#[test]
fn own_ratio_only_what_the_vm_does_not_explain() {
    let own = |pace: &Pace, ratio, expected| pace.own_ratio(ratio, expected, ms(1_000));
    let (slow, usual) = (heard(2.5), heard(1.0));
    assert!(own(&slow, 2.4, 1.0) <= 1.0, "slow at its end");
    assert!(own(&usual, 1.7, 1.7) <= 1.0, "slow as it began");
    assert!(own(&slow, 6.0, 1.0) > 2.0, "more than the VM explains");
    assert!(own(&Pace::default(), 2.4, 1.0) > 2.0, "no figure");
    assert!(own(&usual, 0.5, 1.0) < 0.6);
}
