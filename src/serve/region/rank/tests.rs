//! Tests of the order of daemons through losses, stops and restarts.

use super::*;

fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn member(name: &str, born: u64, cpu_millicores: u32) -> Member {
    Member {
        name: name.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 7740)),
        tunnel_address: None,
        born,
        cpu_millicores,
    }
}

fn ranking(own: &str, others: &[&str]) -> Ranking {
    let mut ranking = Ranking::new(member(own, 1, 250));
    for name in others {
        ranking.apply_member(&(*name).into(), Some(member(name, 1, 250)));
    }
    ranking
}

fn first(ranking: &Ranking, now: u64) -> String {
    let first = ranking
        .first(at(now))
        .expect("the daemon itself is always ranked");
    first.name.to_string()
}

#[test]
fn first_same_for_every_daemon() {
    let names = ["a", "b", "c", "d"];
    let firsts = names.map(|own| {
        let others: Vec<&str> = names.into_iter().filter(|name| *name != own).collect();
        first(&ranking(own, &others), 0)
    });
    assert!(firsts.iter().all(|name| *name == firsts[0]), "{firsts:?}");
}

#[test]
fn first_is_strongest() {
    let mut ranking = ranking("a", &["b", "c"]);
    ranking.apply_member(&"d".into(), Some(member("d", 1, 500)));
    assert_eq!(first(&ranking, 0), "d");
}

#[test]
fn first_skips_unreachable_until_backoff_ends() {
    let mut ranking = ranking("a", &["b"]);
    ranking.apply_member(&"c".into(), Some(member("c", 1, 500)));
    ranking.set_unreachable(&member("c", 1, 500), at(100));
    assert_ne!(first(&ranking, 200), "c");
    assert_eq!(first(&ranking, 1_600), "c");
}

#[test]
fn first_after_restart_not_skipped() {
    let mut ranking = ranking("a", &[]);
    ranking.apply_member(&"c".into(), Some(member("c", 1, 500)));
    ranking.set_unreachable(&member("c", 1, 500), at(100));
    ranking.apply_member(&"c".into(), Some(member("c", 2, 500)));
    assert_eq!(first(&ranking, 200), "c");
}

#[test]
fn first_leaving_only_if_all_leave() {
    let mut ranking = ranking("a", &[]);
    let (b, c) = (member("b", 1, 300), member("c", 1, 500));
    ranking.apply_member(&"b".into(), Some(b.clone()));
    ranking.apply_member(&"c".into(), Some(c.clone()));
    ranking.set_leaving(&c, at(10));
    assert_eq!(first(&ranking, 20), "b");
    ranking.set_own_leaving(at(20));
    ranking.set_leaving(&b, at(30));
    assert_eq!(first(&ranking, 40), "b", "the last to leave stops last");
    ranking.apply_member(&"c".into(), Some(member("c", 2, 500)));
    assert_eq!(first(&ranking, 50), "c", "its next process does not leave");
}

#[test]
fn first_never_skips_own_daemon() {
    let mut ranking = ranking("a", &[]);
    ranking.set_unreachable(&member("a", 1, 250), at(0));
    assert_eq!(first(&ranking, 1), "a");
}

#[test]
fn first_of_unknown_region_is_none() {
    assert_eq!(Ranking::default().first(at(0)), None);
}

#[test]
fn first_skips_flapping_longer() {
    let mut ranking = ranking("a", &[]);
    let c = member("c", 1, 500);
    ranking.apply_member(&"c".into(), Some(c.clone()));
    ranking.set_unreachable(&c, at(0));
    ranking.set_unreachable(&c, at(1_600));
    assert_ne!(first(&ranking, 4_500), "c");
    assert_eq!(first(&ranking, 4_600), "c");
    ranking.set_unreachable(&c, at(30_000));
    assert_eq!(
        first(&ranking, 31_500),
        "c",
        "the backoff is reset after a long time without a loss"
    );
}
