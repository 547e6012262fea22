//! Tests of endpoints that say how long work takes on their VM at this moment.

use super::*;

fn slow(site: &mut Site, id: &str) {
    site.planner.record_pace(&id.into(), 2.5, site.now);
}

fn called(site: &mut Site) -> Vec<String> {
    let called = calls(&site.actions());
    called.iter().map(|(_, id, _)| id.to_string()).collect()
}

#[test]
fn slow_vm_called_after_others_until_its_figure_is_old() {
    let mut site = Site::new(&[("m", "a"), ("n", "a")], &[("e", "a")]);
    slow(&mut site, "m");
    site.submit(site.job(&[1], 2_000));
    assert_eq!(called(&mut site), ["n"]);
    let mut site = Site::new(&[("m", "a"), ("n", "a")], &[("e", "a")]);
    slow(&mut site, "m");
    site.now = ms(3_000);
    site.submit(site.job(&[1], 2_000));
    assert_eq!(called(&mut site), ["m"], "as if it had said nothing");
}

#[test]
fn slow_vm_gets_pieces_that_can_wait_for_it() {
    for (target, expected) in [(2_000, vec!["m"]), (300, vec![])] {
        let mut site = Site::new(&[("m", "a"), ("n", "a")], &[("e", "a")]);
        slow(&mut site, "m");
        site.submit(site.job(&[1], 2_000));
        assert_eq!(called(&mut site), ["n"]);
        site.submit(site.job(&[1], target));
        assert_eq!(called(&mut site), expected, "target {target}");
    }
}

#[test]
fn slow_vm_used_where_no_other_ends_earlier() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    slow(&mut site, "m");
    site.submit(site.job(&[1], 300));
    assert_eq!(called(&mut site), ["m"]);
}

#[test]
fn slow_engine_granted_after_others() {
    let granted = |is_slow| {
        let mut site = Site::new(&[], &[("e", "a"), ("f", "a")]);
        if is_slow {
            slow(&mut site, "e");
        }
        site.submit(site.job(&[], 2_000));
        grants(&site.actions())[0].1.endpoint.to_string()
    };
    assert_eq!(granted(false), "e");
    assert_eq!(granted(true), "f");
}
