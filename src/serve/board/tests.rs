//! Tests of vouching.

use super::*;

fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

#[test]
fn vouched_while_fresh() {
    let board = Board::default();
    let mark = Mark {
        change: 7,
        at: at(1_000),
    };
    board.vouch([(Topic::Endpoints, mark)]);
    assert_eq!(board.vouched(Topic::Endpoints, at(2_400)), Some(mark));
    assert_eq!(board.vouched(Topic::Endpoints, at(2_401)), None);
    assert_eq!(board.vouched(Topic::Catalog, at(1_000)), None);
}

#[test]
fn ages_of_own_reads() {
    let board = Board::default();
    let mark = Mark {
        change: 7,
        at: at(1_000),
    };
    board.read(Topic::Catalog, mark);
    assert_eq!(board.ages(at(1_400)), [(Topic::Catalog, 7, at(400))]);
}

#[test]
fn lost_topic_not_vouched_for() {
    let board = Board::default();
    let mark = Mark {
        change: 7,
        at: at(1_000),
    };
    board.read(Topic::Catalog, mark);
    board.read(Topic::Endpoints, mark);
    board.lost(Topic::Catalog);
    assert_eq!(board.ages(at(1_000)).len(), 1);
    board.vouch([(Topic::Catalog, mark)]);
    board.vouch([(Topic::Endpoints, mark)]);
    assert_eq!(board.vouched(Topic::Catalog, at(1_000)), None);
}

#[test]
fn copy_of_the_newest_record() {
    let board = Board::default();
    let record = Bytes::from("route ".repeat(1_000));
    board.hold(Topic::Catalog, record.clone());
    assert_eq!(
        board.copy(Topic::Catalog).expect("packed"),
        None,
        "not read yet"
    );
    let mark = Mark {
        change: 7,
        at: at(1_000),
    };
    board.read(Topic::Catalog, mark);
    let copy = board.copy(Topic::Catalog).expect("packed").expect("a copy");
    assert_eq!(copy.change, 7);
    assert!(copy.packed.len() < record.len() / 10);
    assert_eq!(copy.unpack().expect("a record"), record);
    let next = Board::default();
    next.hold_copy(Topic::Catalog, &copy);
    next.read(Topic::Catalog, mark);
    assert_eq!(next.copy(Topic::Catalog).expect("packed"), Some(copy));
}

#[test]
fn damaged_copy_not_taken() {
    let copy = Copy {
        change: 1,
        packed: Bytes::from_static(&[0xff; 20]),
    };
    assert!(copy.unpack().is_err());
}

#[test]
fn copy_of_a_lost_topic_not_handed_on() {
    let board = Board::default();
    let mark = Mark {
        change: 7,
        at: at(1_000),
    };
    board.hold(Topic::Catalog, Bytes::from_static(b"record"));
    board.read(Topic::Catalog, mark);
    board.lost(Topic::Catalog);
    assert_eq!(board.copy(Topic::Catalog).expect("packed"), None);
}
