//! Tests of the choice of preferred writers.

use super::{Peer, Table, preferred_writer};
use crate::id;

fn peers(count: usize) -> Vec<Peer> {
    (0..count)
        .map(|number| Peer {
            daemon: format!("d{number}").into(),
            address: format!("127.0.0.1:{number}"),
            region: if number % 2 == 0 { "even" } else { "odd" }.into(),
            leaving: false,
        })
        .collect()
}

#[test]
fn preferred_near_the_log() {
    let near: id::Region = "odd".into();
    for stream in 0..32 {
        let peers = peers(9);
        let writer = preferred_writer(stream, &peers, Some(&near)).unwrap();
        assert_eq!(writer.region, near);
    }
}

#[test]
fn preferred_not_leaving() {
    let mut peers = peers(9);
    let first = preferred_writer(1, &peers, None).unwrap().daemon.clone();
    let at = peers.iter().position(|p| p.daemon == first).unwrap();
    peers[at].leaving = true;
    assert_ne!(preferred_writer(1, &peers, None).unwrap().daemon, first);
}

#[test]
fn preferred_moves_only_streams_of_the_lost() {
    let all = peers(9);
    let fewer: Vec<Peer> = all[1..].to_vec();
    for stream in 0..32 {
        let before = preferred_writer(stream, &all, None).unwrap();
        let after = preferred_writer(stream, &fewer, None).unwrap();
        assert!(before.daemon == all[0].daemon || before.daemon == after.daemon);
    }
}

#[test]
fn table_nobody_known() {
    let mut table = Table::default();
    table.update(Vec::new(), 4, None);
    assert_eq!(table.writer(0), None);
    table.update(peers(2), 4, None);
    assert!(table.writer(3).is_some());
}
