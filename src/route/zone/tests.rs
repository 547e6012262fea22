//! Tests of the zone loads.

use super::*;

const NOW: Time = Duration::from_secs(10);

fn load(zone: &str, region: &str, endpoints: u32, waiting: f64) -> Load {
    Load {
        zone: zone.into(),
        region: region.into(),
        pool: "menu-model".into(),
        endpoints,
        waiting,
    }
}

#[test]
fn least_loaded_region_shortest_queue_wins() {
    let mut loads = Loads::default();
    loads.learn(&load("tartu-a", "tartu", 4, 0.8), NOW);
    loads.learn(&load("parnu-a", "parnu", 4, 0.2), NOW);
    loads.learn(&load("tallinn-a", "tallinn", 4, 0.0), NOW);
    let found = loads.least_loaded_region("menu-model", &"tallinn".into(), 1.0, NOW);
    assert_eq!(found, Some(&"parnu".into()));
}

#[test]
fn least_loaded_region_full_empty_or_stale_is_none() {
    let mut loads = Loads::default();
    loads.learn(&load("tartu-a", "tartu", 4, 3.0), NOW);
    loads.learn(&load("parnu-a", "parnu", 0, 0.0), NOW);
    loads.learn(&load("narva-a", "narva", 4, 0.0), NOW - MAX_AGE);
    let home = "tallinn".into();
    assert_eq!(
        loads.least_loaded_region("menu-model", &home, 1.0, NOW),
        None
    );
    assert!(!loads.serves("menu-model", &"narva".into(), NOW));
    assert!(loads.serves("menu-model", &"tartu".into(), NOW));
}
