//! Load patterns of a region whose engines read long prompts, replayed against modelled endpoints.

use super::*;
use crate::emulator::engine::Speed;
use crate::emulator::load::{Class, ClassStage, Size, Wave, arrivals};
use crate::emulator::pace::Spells;
use crate::emulator::replay::{Replay, Report};
use crate::serve::registry::Entry;

const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Indexes of the classes.
const DRAFT: usize = 0;
const REVIEW: usize = 1;

pub(super) fn stage(
    service: &str,
    after: &[usize],
    bytes: u64,
    pieces: Size,
    share: f64,
) -> ClassStage {
    let stage = Stage {
        service: service.into(),
        after: after.to_vec(),
        bytes,
        pieces: 0,
    };
    ClassStage {
        stage,
        pieces,
        share,
    }
}

pub(super) fn size(mean: f64, spread: f64, max: f64) -> Size {
    Size { mean, spread, max }
}

/// Drafts with long prompts and large results, reviews of three stages in a row, and short queries.
fn classes() -> Vec<Class> {
    let class = |name, priority, target, is_resumable| Class {
        name,
        priority,
        target: ms(target),
        deadline: ms(8_000),
        is_resumable,
        shared: size(13_300.0, 0.7, 39_900.0),
        subjects: 159,
        own: size(3_720.0, 1.1, 53_200.0),
        events: size(24.0, 1.2, 96.0),
        stages: Vec::new(),
    };
    let chain = |first: usize| {
        [
            stage("quality", &[], 8_000, Size::fixed(1.0), 1.0),
            stage("calendar", &[first], 60_000, Size::fixed(8.0), 1.0),
            stage("payment", &[first + 1], 6_000, size(16.0, 0.4, 40.0), 1.0),
        ]
    };
    let large = |mean, max, share| stage("quality", &[], 3_000_000, size(mean, 0.6, max), share);
    let mut query_stages = vec![large(1.5, 6.0, 0.4)];
    query_stages.extend(chain(1));
    vec![
        Class {
            stages: vec![large(2.5, 10.0, 0.7)],
            ..class("draft", 1, 1_300, true)
        },
        Class {
            shared: size(3_780.0, 0.7, 11_300.0),
            subjects: 123,
            own: size(2_890.0, 1.0, 39_600.0),
            events: size(10.0, 1.2, 42.0),
            stages: chain(0).to_vec(),
            ..class("review", 0, 1_700, false)
        },
        Class {
            shared: size(350.0, 0.5, 940.0),
            subjects: 287,
            own: size(1_110.0, 1.0, 3_790.0),
            events: size(34.0, 0.9, 120.0),
            stages: query_stages,
            ..class("query", 2, 1_600, true)
        },
    ]
}

/// Half a minute of a calm day, with a burst of one class in it.
fn day(burst: usize, factor: f64) -> Vec<Wave> {
    let rates = [6.0, 4.6, 10.7];
    let mut waves: Vec<Wave> = rates
        .into_iter()
        .enumerate()
        .map(|(class, rate)| Wave {
            class,
            rate,
            from: ms(0),
            until: ms(30_000),
        })
        .collect();
    waves.push(Wave {
        class: burst,
        rate: rates[burst] * (factor - 1.0).max(0.001),
        from: ms(8_000),
        until: ms(14_500),
    });
    waves
}

/// Replays the day of a region of two availability zones with eight engines.
fn replay(waves: &[Wave], seed: u64) -> Report {
    replay_with(
        waves,
        seed,
        &Region {
            copies: 1,
            target_share: 1.0,
        },
        |replay| replay,
    )
}

/// How a region differs from the usual one.
struct Region {
    /// How often it has each endpoint, and as much load.
    copies: u32,
    /// The targets of its classes, as a share of the usual ones.
    target_share: f64,
}

/// The same in another region, after a change of its endpoints.
fn replay_with(
    waves: &[Wave],
    seed: u64,
    region: &Region,
    change: impl for<'a> FnOnce(Replay<'a>) -> Replay<'a>,
) -> Report {
    let mut registry = Registry::default();
    let mut add = |id: String, service: &str, zone: &str| {
        let port = 8_000 + registry.all().count() as u16;
        let address = ([10, 0, 0, 1], port).into();
        let endpoint = Endpoint {
            address,
            ..endpoint(&id, service, zone)
        };
        registry.apply(Entry::Present(endpoint), ms(0));
    };
    for copy in 0..region.copies {
        let suffix = if copy == 0 {
            String::new()
        } else {
            format!("-{copy}")
        };
        for zone in ["a", "b"] {
            add(format!("quality-{zone}{suffix}"), "quality", zone);
            for index in 0..4 {
                add(format!("engine-{zone}{index}{suffix}"), "model", zone);
            }
        }
        for (service, zones) in [("calendar", "aab"), ("payment", "aab")] {
            for (index, zone) in zones.chars().enumerate() {
                let id = format!("{service}-{index}{suffix}");
                add(id, service, &zone.to_string());
            }
        }
    }
    let mut catalog = Catalog {
        version: 1,
        ..Catalog::default()
    };
    let engine = catalog::Engine {
        slots: 64,
        memory_tokens: 632_435,
        token_bytes: 163_840,
        link_rate: 260_000_000_000,
    };
    let model = catalog::Service {
        engine: Some(engine),
        ..catalog::Service::default()
    };
    let services = [
        ("quality", batch(8, 16, 41_000_000)),
        ("calendar", batch(20, 6, 3_600_000)),
        ("payment", batch(40, 3, 710_000)),
        ("model", model),
    ];
    for (name, service) in services {
        catalog.services.insert(name.into(), service);
    }
    let speed = Speed {
        read_tokens_per_ms: 61.8,
        fetch_tokens_per_ms: 198.0,
        base: ms(20),
        event: ms(25),
    };
    let mut classes = classes();
    for class in &mut classes {
        class.target = class.target.mul_f64(region.target_share);
    }
    let planner = Planner::new(vec!["a".into(), "b".into()], knowledge());
    let mut waves = waves.to_vec();
    for wave in &mut waves {
        wave.rate *= f64::from(region.copies);
    }
    let load = arrivals(&classes, &waves, seed);
    let replay = Replay::new(planner, &registry, &catalog, &speed, &classes);
    change(replay).play(&load, &"model".into())
}

fn assert_served(report: &Report, seed: u64) {
    for (name, tally) in &report.classes {
        let is_served = tally.on_time * 100 >= tally.asked * 98;
        assert!(is_served, "seed {seed}, {name}: {report:?}");
    }
}

/// Load pattern: a burst of drafts whose streams may be resumed. Their results filled the room of the stage
/// endpoints until the streams ended, so that other requests waited or were refused.
#[test]
fn results_of_begun_streams_leave_room() {
    for seed in SEEDS {
        assert_served(&replay(&day(DRAFT, 2.2), seed), seed);
    }
}

/// Load pattern: a burst of the most urgent class, with three stages in a row.
#[test]
fn burst_of_reviews_leaves_room_for_queries() {
    assert_served(&replay(&day(REVIEW, 2.5), 5), 5);
}

/// Load pattern: what else runs on VMs slows some of them at any time, and targets are tight.
#[test]
fn slow_vms_avoided_by_the_figures_in_answers() {
    let region = Region {
        copies: 2,
        target_share: 0.7,
    };
    let on_time = |is_told, seed| -> usize {
        let spells = Spells {
            share: 0.15,
            ratio: 2.5,
            length: ms(600),
            seed,
        };
        let report = replay_with(&day(REVIEW, 1.0), seed, &region, |replay| {
            replay.slow(&spells, is_told)
        });
        report.classes.values().map(|tally| tally.on_time).sum()
    };
    let gains: Vec<(usize, usize)> = (1..=3)
        .map(|seed| (on_time(true, seed), on_time(false, seed)))
        .collect();
    assert!(
        gains.iter().all(|(told, untold)| told > untold),
        "{gains:?}"
    );
}

/// Load pattern: long shared parts that come again while the engine that keeps them reads others. A busy
/// engine was left for an idle one, which read them again.
#[test]
fn shared_parts_fetched_rather_than_read_again() {
    for seed in SEEDS {
        let report = replay(&day(DRAFT, 2.2), seed);
        let is_kept = report.reread_tokens * 100 <= report.shared_tokens;
        assert!(is_kept, "seed {seed}: {report:?}");
    }
}
