//! Tests of the digests by zone.

use super::*;

const NOW: Time = Duration::from_secs(10);

fn digest(zone: &str, region: &str, endpoints: u32, waiting: f64) -> Load {
    Load {
        zone: zone.into(),
        region: region.into(),
        pool: "menu-model".into(),
        endpoints,
        waiting,
    }
}

#[test]
fn region_shortest_queue_wins() {
    let mut board = Board::default();
    board.learn(&digest("tartu-a", "tartu", 4, 0.8), NOW);
    board.learn(&digest("parnu-a", "parnu", 4, 0.2), NOW);
    board.learn(&digest("tallinn-a", "tallinn", 4, 0.0), NOW);
    let found = board.region("menu-model", &"tallinn".into(), 1.0, NOW);
    assert_eq!(found, Some(&"parnu".into()));
}

#[test]
fn region_full_empty_or_old_is_none() {
    let mut board = Board::default();
    board.learn(&digest("tartu-a", "tartu", 4, 3.0), NOW);
    board.learn(&digest("parnu-a", "parnu", 0, 0.0), NOW);
    board.learn(&digest("narva-a", "narva", 4, 0.0), NOW - STALE);
    let home = "tallinn".into();
    assert_eq!(board.region("menu-model", &home, 1.0, NOW), None);
    assert!(!board.serves("menu-model", &"narva".into(), NOW));
    assert!(board.serves("menu-model", &"tartu".into(), NOW));
}
