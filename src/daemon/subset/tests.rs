//! The selected endpoints: all of a small fleet, a balanced and bounded subset of a large one.

use indexmap::IndexMap;

use super::{MAX_LOCAL, MAX_REMOTE, Subset};
use crate::id;
use crate::platform::{Role, Vm};
use crate::policy::Candidate;

fn daemons(count: usize) -> Vec<Vm> {
    let names = (0..count).map(|n| format!("entry-{n}"));
    names
        .map(|name| Vm {
            id: name.as_str().into(),
            role: Role::Daemon,
            address: name,
            zone: "here".into(),
            pool: None,
            leaving: false,
        })
        .collect()
}

fn endpoints(zone: &str, count: usize) -> Vec<Candidate> {
    let names = (0..count).map(|n| format!("{zone}-{n}"));
    names
        .map(|name| Candidate {
            endpoint: name.as_str().into(),
            address: name,
            pool: "model".into(),
            zone: zone.into(),
            region: "r".into(),
            leaving: false,
        })
        .collect()
}

fn select(me: &str, vms: &[Vm], all: &[Candidate]) -> Vec<Candidate> {
    Subset::new(me.into(), "here".into()).select(vms, all.to_vec())
}

fn count(list: &[Candidate], zone: &str) -> usize {
    list.iter().filter(|c| &*c.zone == zone).count()
}

#[test]
fn select_keeps_all_of_small_fleet() {
    let all = [endpoints("here", 12), endpoints("there", 12)].concat();
    assert_eq!(select("entry-0", &daemons(3), &all), all);
}

#[test]
fn select_bounds_each_zone_of_large_fleet() {
    let vms = daemons(22);
    let all = [endpoints("here", 150), endpoints("there", 150)].concat();
    let mut selections: IndexMap<id::Endpoint, usize> = IndexMap::new();
    for vm in &vms {
        let subset = select(&vm.id, &vms, &all);
        let slack = |most: usize| most + most / 5;
        assert!(
            count(&subset, "here") <= slack(MAX_LOCAL),
            "{}",
            count(&subset, "here")
        );
        assert!(
            count(&subset, "there") <= slack(MAX_REMOTE),
            "{}",
            count(&subset, "there")
        );
        for candidate in subset {
            *selections.entry(candidate.endpoint).or_default() += 1;
        }
    }
    assert_eq!(
        selections.len(),
        all.len(),
        "every endpoint is selected by some daemon"
    );
}

#[test]
fn select_changes_when_daemon_joins() {
    let all = endpoints("here", 150);
    let mut subset = Subset::new("entry-0".into(), "here".into());
    let alone = subset.select(&daemons(1), all.clone());
    let beside = subset.select(&daemons(22), all.clone());
    assert!(
        beside.len() < alone.len(),
        "{} {}",
        beside.len(),
        alone.len()
    );
    assert_eq!(beside, select("entry-0", &daemons(22), &all));
}

#[test]
fn select_keeps_leaving_flag() {
    let mut all = endpoints("here", 3);
    all[1].leaving = true;
    assert_eq!(select("entry-0", &daemons(1), &all), all);
}
