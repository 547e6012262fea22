use super::*;

fn carrier(name: &str, region: &str, cpu_millicores: u32) -> Carrier {
    Carrier {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        region: region.into(),
        cpu_millicores,
    }
}

fn carriers(all: &[Carrier]) -> Carriers {
    let mut carriers = Carriers::new("r".into());
    for carrier in all {
        carriers.apply(&carrier.name, Some(carrier.clone()));
    }
    carriers
}

fn everywhere() -> Residency {
    Residency::default()
}

fn now() -> Time {
    Time::from_secs(10)
}

#[test]
fn choose_spreads_by_cpu_quota() {
    let carriers = carriers(&[carrier("f1", "r", 100), carrier("f2", "r", 300)]);
    let chosen = |_| {
        carriers
            .choose(&[], &everywhere(), now())
            .expect("a carrier")
    };
    let first = (0..4_000).map(chosen);
    let first = first.filter(|carrier| &*carrier.name == "f1").count();
    assert!((800..1_200).contains(&first), "{first}");
}

#[test]
fn choose_own_region_before_others() {
    let mut carriers = carriers(&[carrier("f1", "r", 100), carrier("f2", "q", 100)]);
    let name = |carriers: &Carriers, asked: &[id::Daemon]| {
        carriers
            .choose(asked, &everywhere(), now())
            .map(|carrier| carrier.name)
    };
    assert_eq!(name(&carriers, &[]).as_deref(), Some("f1"));
    assert_eq!(name(&carriers, &["f1".into()]).as_deref(), Some("f2"));
    carriers.failed(&"f1".into(), now());
    assert_eq!(name(&carriers, &[]).as_deref(), Some("f2"));
    carriers.failed(&"f2".into(), now());
    assert_eq!(name(&carriers, &[]), None);
}

#[test]
fn failed_blocks_longer_each_time() {
    let mut carriers = carriers(&[carrier("f1", "r", 100)]);
    let name: id::Daemon = "f1".into();
    for millis in [500, 1_000, 2_000, 4_000, 4_000] {
        carriers.failed(&name, now());
        let until = now() + Duration::from_millis(millis);
        assert!(
            carriers
                .choose(&[], &everywhere(), until - Duration::from_millis(1))
                .is_none()
        );
        assert!(carriers.choose(&[], &everywhere(), until).is_some());
    }
    carriers.succeeded(&name);
    carriers.failed(&name, now());
    assert!(
        carriers
            .choose(&[], &everywhere(), now() + Duration::from_millis(500))
            .is_some()
    );
}

#[test]
fn apply_restarted_daemon_is_asked_at_once() {
    let mut carriers = carriers(&[carrier("f1", "r", 100)]);
    carriers.failed(&"f1".into(), now());
    let mut restarted = carrier("f1", "r", 100);
    restarted.address = SocketAddr::from(([127, 0, 0, 1], 2));
    carriers.apply(&"f1".into(), Some(restarted));
    assert!(carriers.choose(&[], &everywhere(), now()).is_some());
    carriers.apply(&"f1".into(), None);
    assert!(carriers.choose(&[], &everywhere(), now()).is_none());
}

/// Guards against a body that goes through a VM of a region where it may not be, also when no other VM is left.
#[test]
fn choose_none_in_region_that_is_not_allowed() {
    let carriers = carriers(&[carrier("f1", "r", 100), carrier("f2", "q", 100)]);
    let places = [("a".into(), "r".into()), ("b".into(), "q".into())].into();
    let in_q = Residency::new(&places, &["q".into()], &[]);
    let chosen = carriers.choose(&[], &in_q, now());
    assert_eq!(chosen.map(|carrier| carrier.name).as_deref(), Some("f2"));
    assert_eq!(carriers.choose(&["f2".into()], &in_q, now()), None);
}
