//! The known part of a fleet: all of a small one, a balanced and bounded part of a large one.

use indexmap::IndexMap;

use super::{FAR, Known, NEAR};
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

fn cut(me: &str, vms: &[Vm], all: &[Candidate]) -> Vec<Candidate> {
    Known::new(me.into(), "here".into()).cut(vms, all.to_vec())
}

fn count(list: &[Candidate], zone: &str) -> usize {
    list.iter().filter(|c| &*c.zone == zone).count()
}

#[test]
fn cut_keeps_all_of_small_fleet() {
    let all = [endpoints("here", 12), endpoints("there", 12)].concat();
    assert_eq!(cut("entry-0", &daemons(3), &all), all);
}

#[test]
fn cut_bounds_each_zone_of_large_fleet() {
    let vms = daemons(22);
    let all = [endpoints("here", 150), endpoints("there", 150)].concat();
    let mut holders: IndexMap<id::Endpoint, usize> = IndexMap::new();
    for vm in &vms {
        let known = cut(&vm.id, &vms, &all);
        let slack = |most: usize| most + most / 5;
        assert!(
            count(&known, "here") <= slack(NEAR),
            "{}",
            count(&known, "here")
        );
        assert!(
            count(&known, "there") <= slack(FAR),
            "{}",
            count(&known, "there")
        );
        for candidate in known {
            *holders.entry(candidate.endpoint).or_default() += 1;
        }
    }
    assert_eq!(
        holders.len(),
        all.len(),
        "every endpoint is known to some daemon"
    );
}

#[test]
fn cut_chooses_again_when_daemon_joins() {
    let all = endpoints("here", 150);
    let mut known = Known::new("entry-0".into(), "here".into());
    let alone = known.cut(&daemons(1), all.clone());
    let beside = known.cut(&daemons(22), all.clone());
    assert!(
        beside.len() < alone.len(),
        "{} {}",
        beside.len(),
        alone.len()
    );
    assert_eq!(beside, cut("entry-0", &daemons(22), &all));
}

#[test]
fn cut_keeps_leaving_marks() {
    let mut all = endpoints("here", 3);
    all[1].leaving = true;
    assert_eq!(cut("entry-0", &daemons(1), &all), all);
}
