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
fn preferred_writer_near_log() {
    let log_region: id::Region = "odd".into();
    for stream in 0..32 {
        let peers = peers(9);
        let writer = preferred_writer(stream, &peers, Some(&log_region)).unwrap();
        assert_eq!(writer.region, log_region);
    }
}

#[test]
fn preferred_writer_not_leaving() {
    let mut peers = peers(9);
    let first = preferred_writer(1, &peers, None).unwrap().daemon.clone();
    let index = peers.iter().position(|p| p.daemon == first).unwrap();
    peers[index].leaving = true;
    assert_ne!(preferred_writer(1, &peers, None).unwrap().daemon, first);
}

#[test]
fn preferred_writer_kept_unless_lost() {
    let all = peers(9);
    let fewer: Vec<Peer> = all[1..].to_vec();
    for stream in 0..32 {
        let before = preferred_writer(stream, &all, None).unwrap();
        let after = preferred_writer(stream, &fewer, None).unwrap();
        assert!(before.daemon == all[0].daemon || before.daemon == after.daemon);
    }
}

#[test]
fn table_no_peers() {
    let mut table = Table::default();
    table.update(Vec::new(), 4, None);
    assert_eq!(table.writer(0), None);
    table.update(peers(2), 4, None);
    assert!(table.writer(3).is_some());
}
