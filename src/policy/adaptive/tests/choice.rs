//! Tests of the choice of endpoint.

use proptest::prelude::*;

use super::*;

#[test]
fn place_leaving_gets_nothing() {
    let mut policy = policy(&fleet(2));
    policy.observe(&Observation::Leaving("e0".into()), NOW);
    policy.observe(&Observation::Candidates(fleet(2)), NOW);
    for number in 0..8 {
        let pick = send(&mut policy, &attempt(number), NOW).unwrap();
        assert_eq!(&*pick.endpoint, "e1");
        policy.observe(&ended(&attempt(number), &pick, 20, answered()), NOW);
    }
}

#[test]
fn place_no_endpoint_is_refused() {
    let placement = policy(&[]).place(&attempt(1), NOW);
    assert!(matches!(placement, Placement::Refuse { .. }));
}

#[test]
fn place_far_only_when_near_is_gone() {
    let near = candidate("near", "tallinn-b", "tallinn");
    let far = candidate("far", "tartu-a", "tartu");
    let mut policy = policy(&[near, far]);
    let pick = send(&mut policy, &attempt(1), NOW).unwrap();
    assert_eq!(&*pick.endpoint, "near");
    policy.observe(&Observation::Leaving("near".into()), NOW);
    let pick = send(&mut policy, &attempt(2), NOW).unwrap();
    assert_eq!(&*pick.endpoint, "far");
    assert_eq!(pick.hedge_after, None, "never hedged over the link");
}

#[test]
fn place_all_later_stages_far_relocates_remainder() {
    let far = candidate("far", "tartu-a", "tartu");
    let mut policy = policy(&[far]);
    let mut first = attempt(1);
    first.later_pools = vec!["menu-model".into()];
    let placement = policy.place(&first, NOW);
    assert_eq!(placement, Placement::Relocate("tartu".into()));
}

#[test]
fn place_version_unknown_is_refused_until_reported() {
    let mut policy = policy(&fleet(2));
    let mut pinned = attempt(1);
    pinned.version = Some("v2".into());
    assert_eq!(send(&mut policy, &pinned, NOW), None);
    let load = endpoint::Load {
        running: 0,
        waiting: 0,
        cache_free: 1.0,
        versions: vec!["v2".into()],
        role: None,
    };
    let report = Observation::Load {
        endpoint: "e1".into(),
        load,
    };
    policy.observe(&report, NOW);
    let pick = send(&mut policy, &pinned, NOW).unwrap();
    assert_eq!(&*pick.endpoint, "e1");
}

#[test]
fn place_suspect_runs_alone() {
    let mut policy = policy(&fleet(2));
    let mut suspect = attempt(1);
    suspect.is_suspect = true;
    let alone = send(&mut policy, &suspect, NOW).unwrap();
    assert_eq!(alone.hedge_after, None);
    for number in 2..6 {
        let pick = send(&mut policy, &attempt(number), NOW).unwrap();
        assert_ne!(pick.endpoint, alone.endpoint);
        policy.observe(&ended(&attempt(number), &pick, 20, answered()), NOW);
    }
}

#[test]
fn place_straggler_is_ejected_and_readmitted_after_probe() {
    let mut policy = policy(&fleet(4));
    let mut now = NOW;
    for number in 0..400 {
        now += Duration::from_millis(2);
        let mut next = attempt(number);
        next.deadline = now + DEADLINE;
        let pick = send(&mut policy, &next, now).unwrap();
        let ms = if &*pick.endpoint == "e0" { 1000 } else { 50 };
        policy.observe(&ended(&next, &pick, ms, answered()), now);
    }
    assert!(policy.table.get("e0").unwrap().breaker.is_ejected());
    now += Duration::from_secs(20);
    for number in 1000..1400 {
        now += Duration::from_millis(2);
        let mut next = attempt(number);
        next.deadline = now + DEADLINE;
        let pick = send(&mut policy, &next, now).unwrap();
        policy.observe(&ended(&next, &pick, 50, answered()), now);
    }
    assert!(!policy.table.get("e0").unwrap().breaker.is_ejected());
}

#[test]
fn place_many_daemons_same_report_do_not_choose_the_same() {
    let mut counts = [0u32; 10];
    for seed in 0..200 {
        let mut policy = Adaptive::builder("tallinn-a", "tallinn").seed(seed).build();
        policy.observe(&Observation::Candidates(fleet(10)), Time::ZERO);
        for (n, busy) in (0..10).zip([0, 9, 9, 9, 9, 9, 9, 9, 9, 9]) {
            let load = endpoint::Load {
                running: busy,
                waiting: 0,
                cache_free: 1.0,
                versions: Vec::new(),
                role: None,
            };
            let endpoint: id::Endpoint = format!("e{n}").into();
            policy.observe(&Observation::Load { endpoint, load }, NOW);
        }
        let pick = send(&mut policy, &attempt(1), NOW).unwrap();
        let n: usize = pick.endpoint[1..].parse().unwrap();
        counts[n] += 1;
    }
    // Two choices out of ten find the idle endpoint in 19 of 100 cases; all would herd.
    assert!(counts[0] <= 200 * 30 / 100, "{counts:?}");
    assert!(counts[1..].iter().all(|c| *c > 0), "{counts:?}");
}

proptest! {
    #[test]
    fn place_never_chooses_ineligible(
        seed: u64,
        leaving in prop::collection::vec(any::<bool>(), 8),
        failing in prop::collection::vec(any::<bool>(), 8),
        excluded in prop::collection::vec(any::<bool>(), 8),
    ) {
        let mut list = fleet(8);
        for (candidate, leaving) in list.iter_mut().zip(&leaving) {
            candidate.leaving = *leaving;
        }
        let mut policy = Adaptive::builder("tallinn-a", "tallinn").seed(seed).build();
        policy.observe(&Observation::Candidates(list.clone()), Time::ZERO);
        for number in 0..300 {
            let mut next = attempt(number);
            next.exclude = list.iter().zip(&excluded).filter(|(_, e)| **e).map(|(c, _)| c.endpoint.clone()).collect();
            let before: Vec<bool> = list.iter().map(|c| policy.table.get(&c.endpoint).unwrap().breaker.is_ejected()).collect();
            let Some(pick) = send(&mut policy, &next, NOW) else { continue };
            let n: usize = pick.endpoint[1..].parse().unwrap();
            prop_assert!(!leaving[n]);
            prop_assert!(!excluded[n]);
            // Ejected ones are taken only when every other is leaving or excluded.
            let others = (0..8).any(|i| !leaving[i] && !excluded[i] && !before[i]);
            prop_assert!(!before[n] || !others, "ejected and not yet due");
            let end = if failing[n] { failed() } else { answered() };
            policy.observe(&ended(&next, &pick, 20, end), NOW);
            let usable = leaving.iter().filter(|l| !**l).count();
            let ejected = list.iter().filter(|c| !c.leaving && policy.table.get(&c.endpoint).unwrap().breaker.is_ejected()).count();
            prop_assert!(ejected as f64 <= usable as f64 * 0.34);
        }
    }
}

#[test]
fn place_unknown_pool_relocates_by_zone_load() {
    let mut policy = policy(&[]);
    let load = Load {
        zone: "tartu-a".into(),
        region: "tartu".into(),
        pool: "menu-model".into(),
        endpoints: 4,
        waiting: 0.0,
    };
    policy.observe(&Observation::ZoneLoad(load), NOW);
    assert_eq!(
        policy.place(&attempt(1), NOW),
        Placement::Relocate("tartu".into())
    );
    let mut longer = attempt(2);
    longer.later_pools = vec!["billing".into()];
    let placement = policy.place(&longer, NOW);
    assert!(matches!(placement, Placement::Refuse { .. }));
}

#[test]
fn place_slow_near_spills_over_the_link() {
    let near = candidate("near", "tallinn-a", "tallinn");
    let far = candidate("far", "tartu-a", "tartu");
    let mut policy = policy(&[near, far]);
    let idle = endpoint::Load {
        running: 0,
        waiting: 0,
        cache_free: 1.0,
        versions: vec!["v1".into()],
        role: None,
    };
    let report = Observation::Load {
        endpoint: "far".into(),
        load: idle,
    };
    let first = attempt(0);
    let pick = send(&mut policy, &first, NOW).unwrap();
    policy.observe(&ended(&first, &pick, 900, answered()), NOW);
    policy.observe(&report, NOW);
    let picks: Vec<Pick> = (1..8)
        .filter_map(|number| send(&mut policy, &attempt(number), NOW))
        .collect();
    let far = picks.iter().filter(|p| &*p.endpoint == "far").count();
    assert!(far > 0);
    assert_eq!(policy.link_bytes(), far as u64 * 1000);
}
