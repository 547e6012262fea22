//! Datagrams survive encoding and stay within their size bounds.

use crate::member::wire::{self, Kind, MAX_BYTES, Packet};
use crate::member::{EndpointReport, Evidence, Member, Status};
use crate::timeline::Stamp;

fn member(i: usize) -> Member {
    Member {
        daemon: format!("daemon-{i:04}").into(),
        address: format!("10.1.{}.{}:7400", i / 250, i % 250),
        zone: "tallinn-a".into(),
        incarnation: u32::MAX,
        status: Status::Suspect,
    }
}

fn packet(kind: Kind, items: usize) -> Packet {
    Packet {
        kind,
        sequence: 7,
        sender: member(0),
        stamp: Stamp {
            wall: 1_900_000_000_000_000,
            counter: 3,
        },
        revision: 99,
        fingerprint: u64::MAX,
        members: (0..items).map(member).collect(),
        reports: (0..items)
            .map(|i| EndpointReport {
                endpoint: format!("endpoint-{i}").into(),
                evidence: Evidence::Unreachable,
                reporter: "daemon-0001".into(),
                sequence: 5,
            })
            .collect(),
    }
}

#[test]
fn packet_survives_encoding() {
    let relay = Kind::Relay {
        target: "daemon-9".into(),
        address: "10.0.0.9:1".into(),
    };
    for kind in [Kind::Ping, Kind::Ack, Kind::Nack, Kind::Gossip, relay] {
        let sent = packet(kind, 3);
        let bytes = wire::encode(&sent).unwrap();
        assert_eq!(wire::decode(&bytes).unwrap(), sent);
    }
}

#[test]
fn costs_bound_the_encoded_size() {
    let empty = wire::encode(&packet(Kind::Gossip, 0)).unwrap().len();
    for items in 1..8 {
        let full = packet(Kind::Gossip, items);
        let cost: usize = full.members.iter().map(Member::cost).sum::<usize>()
            + full.reports.iter().map(EndpointReport::cost).sum::<usize>();
        let bytes = wire::encode(&full).unwrap().len();
        assert!(bytes <= empty + cost, "{items}: {bytes} > {empty} + {cost}");
    }
    assert!(empty + 1_000 <= MAX_BYTES, "{empty}");
}

#[test]
fn damaged_bytes_are_an_error() {
    let bytes = wire::encode(&packet(Kind::Ping, 3)).unwrap();
    for index in 0..bytes.len() {
        let _ = wire::decode(&bytes[..index]);
        let mut changed = bytes.clone();
        changed[index] ^= 0xff;
        let _ = wire::decode(&changed);
    }
    assert!(wire::decode(&[]).is_err());
    assert!(wire::decode(&bytes[..bytes.len() / 2]).is_err());
}
