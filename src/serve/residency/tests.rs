use std::net::SocketAddr;
use std::time::Duration;

use super::*;
use crate::serve::catalog::Workspace;

fn places() -> Places {
    let place = |(zone, region): (&str, &str)| (zone.into(), region.into());
    [("a", "r"), ("b", "q"), ("c", "q")].map(place).into()
}

fn residency(route: &[&str], workspace: &[&str]) -> Residency {
    let regions = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    let (route, workspace): (Vec<id::Region>, Vec<id::Region>) =
        (regions(route), regions(workspace));
    Residency::new(&places(), &route, &workspace)
}

fn endpoint(zone: &str) -> Endpoint {
    Endpoint {
        id: "e".into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: zone.into(),
        release: "v".into(),
        slots: 1,
        draining: false,
        cold_remaining: Duration::ZERO,
        born: 1,
        seq: 1,
    }
}

#[test]
fn allows_what_route_and_workspace_both_name() {
    type Case<'a> = (&'a [&'a str], &'a [&'a str], &'a [&'a str]);
    let cases: [Case<'_>; 6] = [
        (&[], &[], &["r", "q"]),
        (&["q"], &[], &["q"]),
        (&[], &["r"], &["r"]),
        (&["q", "r"], &["r"], &["r"]),
        (&["q"], &["r"], &[]),
        (&["q", "p"], &["p"], &[]),
    ];
    for (route, workspace, expected) in cases {
        let residency = residency(route, workspace);
        for (zone, region) in places() {
            let is_expected = expected.contains(&&*region);
            assert_eq!(residency.allows(&region), is_expected, "{residency:?}");
            assert_eq!(residency.allows_zone(&zone), is_expected, "{residency:?}");
        }
        assert_eq!(residency.is_limited(), expected.len() < 2);
    }
}

#[test]
fn unlisted_zone_only_for_requests_without_regions() {
    assert!(residency(&[], &[]).allows_zone(&"x".into()));
    assert!(!residency(&["q"], &[]).allows_zone(&"x".into()));
}

#[test]
fn refusal_reason_only_without_endpoint_in_allowed_region() {
    let reason = |residency: &Residency, zones: &[&str]| {
        let endpoints: Vec<Endpoint> = zones.iter().map(|zone| endpoint(zone)).collect();
        residency.refusal_reason(&"s".into(), endpoints.iter())
    };
    let limited = residency(&["q"], &[]);
    assert_eq!(reason(&limited, &["a", "c"]), None);
    assert_eq!(reason(&limited, &[]), None, "no endpoint is known yet");
    let missing = reason(&limited, &["a"]).expect("a reason");
    assert!(missing.ends_with("allowed regions: q"), "{missing}");
    assert!(reason(&residency(&["q"], &["r"]), &["a", "b"]).is_some());
    assert_eq!(reason(&residency(&[], &[]), &["a"]), None);
}

/// Guards against a call whose pieces belong to requests of several residencies.
#[test]
fn and_allows_what_both_allow() {
    let both = residency(&["q", "r"], &[]).and(&residency(&["q"], &[]));
    assert!(both.allows(&"q".into()) && !both.allows_zone(&"a".into()));
    let everywhere = residency(&[], &[]);
    assert_eq!(everywhere.clone().and(&both), both);
    assert_eq!(both.clone().and(&everywhere), both);
}

#[test]
fn covers_only_what_it_allows() {
    let (both, one, all) = (&["q", "r"], &["q"], &[]);
    for (wide, narrow) in [(&both[..], &one[..]), (all, both), (all, one)] {
        assert!(residency(wide, &[]).covers(&residency(narrow, &[])));
        assert!(!residency(narrow, &[]).covers(&residency(wide, &[])));
    }
    assert!(residency(one, &[]).covers(&residency(one, &[])));
}

#[test]
fn unknown_regions_named_once() {
    let workspace = |regions: &[&str]| Workspace {
        name: "w".into(),
        priority: None,
        allowed_regions: regions.iter().map(|region| (*region).into()).collect(),
    };
    let catalog = Catalog {
        workspaces: Some(vec![workspace(&["q", "p"]), workspace(&["p"])]),
        ..Catalog::default()
    };
    let unknown = unknown_regions(&catalog, &places());
    assert_eq!(
        unknown.into_iter().collect::<Vec<_>>(),
        [&id::Region::from("p")]
    );
}
