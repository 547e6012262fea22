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
