//! The membership protocol under single failures and pairs of them, on a virtual clock.

use std::time::Duration;

use crate::member::fake::Net;
use crate::member::swim::{Action, ConfigVersion};
use crate::member::{Evidence, Status};

const SECOND: Duration = Duration::from_secs(1);

/// How often a daemon was declared dead that was not.
fn false_deaths(net: &Net, really_dead: &[usize]) -> usize {
    let is_dead = |name: &str| really_dead.iter().any(|d| format!("d{d}") == name);
    net.events
        .iter()
        .filter(|e| {
            matches!(&e.action, Action::Changed(m)
            if m.status == Status::Dead && !is_dead(&m.daemon))
        })
        .count()
}

#[test]
fn dead_daemon_is_detected_by_all() {
    for seed in 0..5 {
        let mut net = Net::new(9, 2, 2, seed);
        net.run(5 * SECOND);
        net.nodes[3].is_up = false;
        net.run(30 * SECOND);
        assert_eq!(net.count_observers(3, Status::Dead), 8, "seed {seed}");
        assert_eq!(false_deaths(&net, &[3]), 0, "seed {seed}");
    }
}

#[test]
fn packet_loss_causes_no_false_death() {
    for seed in 0..5 {
        let mut net = Net::new(20, 2, 2, seed);
        net.loss = 0.1;
        net.run(120 * SECOND);
        assert_eq!(false_deaths(&net, &[]), 0, "seed {seed}");
        assert_eq!(net.min_live(), 19, "seed {seed}");
    }
}

#[test]
fn paused_daemon_suspects_no_other() {
    for seed in 0..5 {
        let mut net = Net::new(12, 2, 2, seed);
        net.run(5 * SECOND);
        net.nodes[4].is_paused = true;
        net.run(40 * SECOND);
        assert_eq!(net.count_observers(4, Status::Dead), 11, "seed {seed}");
        let before = net.events.len();
        net.nodes[4].is_paused = false;
        net.run(20 * SECOND);
        let is_suspecting = net.events[before..].iter().any(
            |e| matches!(&e.action, Action::Changed(m) if m.status >= Status::Suspect && &*m.daemon != "d4"),
        );
        assert!(!is_suspecting, "seed {seed}");
        assert_eq!(net.min_live(), 11, "seed {seed}: it is live again");
    }
}

#[test]
fn short_pauses_cause_no_false_death() {
    for seed in 0..5 {
        let mut net = Net::new(12, 2, 2, seed);
        net.run(5 * SECOND);
        for round in 0..6 {
            net.nodes[round].is_paused = true;
            net.run(3 * SECOND);
            net.nodes[round].is_paused = false;
            net.run(4 * SECOND);
        }
        assert_eq!(false_deaths(&net, &[]), 0, "seed {seed}");
    }
}

#[test]
fn asymmetric_partition_causes_no_false_death() {
    for seed in 0..5 {
        let mut net = Net::new(12, 2, 2, seed);
        net.partition =
            Box::new(|from, to| &*from.swim.me().daemon == "d1" && &*to.swim.me().daemon == "d2");
        net.run(120 * SECOND);
        assert_eq!(false_deaths(&net, &[]), 0, "seed {seed}");
        assert_eq!(net.min_live(), 11, "seed {seed}");
    }
}

#[test]
fn partitioned_region_rejoins_after_minutes() {
    for seed in 0..5 {
        let mut net = Net::new(24, 3, 2, seed);
        net.run(5 * SECOND);
        net.partition = Box::new(|from, to| (&*from.region == "r0") != (&*to.region == "r0"));
        net.run(180 * SECOND);
        assert_eq!(
            net.min_live(),
            7,
            "seed {seed}: within the partitioned region"
        );
        net.partition = Box::new(|_, _| false);
        net.run(20 * SECOND);
        assert_eq!(net.min_live(), 23, "seed {seed}");
    }
}

#[test]
fn partitioned_region_with_loss_and_pause_rejoins() {
    for seed in 0..3 {
        let mut net = Net::new(24, 3, 2, seed);
        net.loss = 0.05;
        net.run(5 * SECOND);
        net.partition = Box::new(|from, to| (&*from.region == "r0") != (&*to.region == "r0"));
        net.run(30 * SECOND);
        net.nodes[1].is_paused = true;
        net.run(60 * SECOND);
        net.nodes[1].is_paused = false;
        net.partition = Box::new(|_, _| false);
        net.run(60 * SECOND);
        assert_eq!(net.min_live(), 23, "seed {seed}");
    }
}

#[test]
fn lost_zone_is_detected_and_forgotten() {
    for seed in 0..3 {
        let mut net = Net::new(24, 2, 3, seed);
        net.run(5 * SECOND);
        let gone: Vec<usize> = (0..24)
            .filter(|i| &*net.nodes[*i].swim.me().zone == "r0-1")
            .collect();
        for index in &gone {
            net.nodes[*index].is_up = false;
        }
        net.run(60 * SECOND);
        for index in &gone {
            assert_eq!(net.count_observers(*index, Status::Dead), 20, "seed {seed}");
        }
        assert_eq!(false_deaths(&net, &gone), 0, "seed {seed}");
        let list = net.list();
        for node in net.nodes.iter_mut().filter(|n| n.is_up) {
            let now = net.now;
            node.swim.update_roster(&list, now);
        }
        net.run(80 * SECOND);
        let known = net.nodes[0].swim.peers().count();
        assert_eq!(known, 19, "seed {seed}: the dead are forgotten");
    }
}

#[test]
fn replaced_daemons_join_and_leave() {
    let mut net = Net::new(12, 2, 2, 7);
    net.run(5 * SECOND);
    for old in 0..8 {
        let actions = net.nodes[old].swim.leave();
        net.perform(old, actions);
        net.run(2 * SECOND);
        net.nodes[old].is_up = false;
        let (region, zone) = (net.nodes[old].region.clone(), "r0-0");
        let new = net.add(&region, zone, 100 + old as u64);
        let list = net.list();
        let now = net.now;
        net.nodes[new].swim.update_roster(&list, now);
        net.run(10 * SECOND);
        assert_eq!(
            net.count_observers(new, Status::Alive),
            11,
            "{new} is known"
        );
    }
    assert_eq!(net.min_live(), 11);
    assert_eq!(
        false_deaths(&net, &[]),
        0,
        "daemons that left are not declared dead"
    );
}

#[test]
fn leaving_daemon_is_known_to_all_soon() {
    let mut net = Net::new(20, 2, 2, 3);
    net.run(5 * SECOND);
    let actions = net.nodes[6].swim.leave();
    net.perform(6, actions);
    net.run(3 * SECOND);
    assert_eq!(net.count_observers(6, Status::Leaving), 19);
}

#[test]
fn endpoint_report_reaches_all_within_three_seconds() {
    for seed in 0..5 {
        let mut net = Net::new(40, 2, 3, seed);
        net.loss = 0.05;
        net.run(5 * SECOND);
        net.nodes[0].swim.report("e1".into(), Evidence::Leaving);
        net.run(3 * SECOND);
        let reached = net.nodes.iter().filter(|n| !n.reports.is_empty()).count();
        assert_eq!(reached, 39, "seed {seed}");
        assert!(net.nodes.iter().all(|n| n.reports.len() <= 1), "once each");
    }
}

#[test]
fn survey_learns_every_revision() {
    let mut net = Net::new(50, 2, 3, 5);
    net.run(3 * SECOND);
    for node in &mut net.nodes {
        node.swim.set_config_version(ConfigVersion {
            revision: 9,
            fingerprint: 1,
        });
    }
    net.nodes[49].swim.set_config_version(ConfigVersion {
        revision: 8,
        fingerprint: 1,
    });
    net.nodes[0].swim.start_survey(9);
    net.run(5 * SECOND);
    assert_eq!(net.nodes[0].swim.behind(9), ["d49".into()]);
}

#[test]
fn newer_config_is_noticed() {
    let mut net = Net::new(6, 1, 2, 5);
    net.nodes[2].swim.set_config_version(ConfigVersion {
        revision: 4,
        fingerprint: 1,
    });
    net.run(10 * SECOND);
    let noticed = net
        .events
        .iter()
        .any(|e| matches!(&e.action, Action::NewerConfig { revision: 4, .. }));
    assert!(noticed);
}

#[test]
fn same_seed_gives_same_run() {
    let run = || {
        let mut net = Net::new(12, 2, 2, 11);
        net.loss = 0.2;
        net.run(30 * SECOND);
        let bytes: Vec<u64> = net.nodes.iter().map(|n| n.sent_bytes).collect();
        (bytes, net.events.len())
    };
    assert_eq!(run(), run());
}
