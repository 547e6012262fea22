use super::*;

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn detour_of_one_endpoint_grows_and_ends() {
    let mut link = Link::default();
    link.detoured(&"e1".into(), ms(0));
    assert!(!link.is_direct("e1", ms(499)));
    assert!(link.is_direct("e2", ms(0)), "others are reached directly");
    assert!(link.is_direct("e1", ms(500)));
    link.detoured(&"e1".into(), ms(500));
    assert!(!link.is_direct("e1", ms(1_499)));
    link.reached("e1", ms(1_500));
    link.detoured(&"e1".into(), ms(1_600));
    assert!(link.is_direct("e1", ms(2_100)), "it begins anew");
}

#[test]
fn link_down_until_probes_outweigh_failures() {
    let mut link = Link::default();
    assert!(link.failed());
    assert!(!link.failed(), "it is known");
    assert!(!link.is_direct("e1", ms(0)));
    // A link that is up every other time stays unused.
    for _ in 0..10 {
        assert!(!link.probed(true));
        assert!(!link.probed(false));
    }
    // A few endpoints may be gone.
    let probes = [true, true, false, true, true];
    let ups = probes.map(|is_reached| link.probed(is_reached));
    assert_eq!(ups, [false, false, false, false, true]);
    assert!(link.is_direct("e1", ms(0)));
}

#[test]
fn reached_while_down_keeps_detour() {
    let mut link = Link::default();
    link.failed();
    link.reached("e1", ms(10));
    assert!(!link.is_direct("e1", ms(10)));
    assert!(link.was_reached_since(ms(10)));
    assert!(!link.was_reached_since(ms(11)));
}
