//! The list of endpoints and upgrade nights at growing numbers of engines.

use std::time::Duration;

use cyclamenrill::clock::Time;
use cyclamenrill::endpoint::{Load, State};
use cyclamenrill::lease::record::Phase;
use cyclamenrill::member::endpoint::{List, Regions};
use cyclamenrill::order::Engine;
use cyclamenrill::order::upgrade::{Goal, Limits, Step, Upgrade, Window};
use cyclamenrill::platform::{Role, Vm};

use crate::meter::{Figure, each, held};

const SIZES: [usize; 3] = [36, 300, 2_700];
const ZONES: usize = 18;
const SECOND: Time = Duration::from_secs(1);
/// Bytes of the weights of a model.
const BYTES: u64 = 140_000_000_000;
/// Bytes a second that the weight store gives to all together.
const RATE: u64 = 100_000_000_000;

fn vm(i: usize) -> Vm {
    Vm {
        id: format!("vm-{i:08}").into(),
        role: Role::Endpoint,
        address: format!("10.{}.{}.{}:8000", i / 65_536, i / 256 % 256, i % 256),
        zone: format!("zone-{}", i % ZONES).into(),
        pool: Some(format!("model-{}", i / ZONES % 8).into()),
        leaving: false,
    }
}

pub fn endpoints() -> Vec<Figure> {
    SIZES.into_iter().flat_map(list).collect()
}

fn list(count: usize) -> Vec<Figure> {
    let vms: Vec<Vm> = (0..count).map(vm).collect();
    let before = held();
    let mut list = List::new(Regions::new());
    list.update_roster(&vms, SECOND);
    let bytes = held() - before;
    let reading = each(|| list.update_roster(&vms, 2 * SECOND));
    let showing = each(|| list.candidates(2 * SECOND));
    assert_eq!(list.candidates(2 * SECOND).len(), count);
    let text = serde_json::to_vec(&vms).unwrap();
    let micros = |t: Duration| t.as_secs_f64() * 1e6;
    vec![
        Figure::new("endpoints-memory", count, bytes as f64, "bytes"),
        Figure::new("endpoints-roster", count, micros(reading), "us/read"),
        Figure::new("endpoints-candidates", count, micros(showing), "us/read"),
        Figure::new(
            "endpoints-roster-bytes",
            count,
            text.len() as f64,
            "bytes/read",
        ),
    ]
}

struct FakeEngine {
    serves: &'static str,
    loading: Option<Time>,
}

/// The largest pool and zone when the engines are spread over zones and 8 models.
fn share(engines: usize) -> usize {
    engines.div_ceil(ZONES * 8).max(1)
}

pub fn upgrades() -> Vec<Figure> {
    SIZES.into_iter().flat_map(night).collect()
}

/// One pool of one zone, whose share of the weight store's rate is its share of the engines.
fn night(engines: usize) -> Vec<Figure> {
    let count = share(engines);
    let rate = RATE as f64 * count as f64 / engines as f64;
    let rule = Limits {
        batch: 8,
        max_out_of_service: (count / 4).max(1),
        is_blocked_by_floor: false,
        max_unhealthy_share: 0.2,
        rollback: false,
        drain_timeout: 30 * SECOND,
        weight_bytes: BYTES,
        bytes_per_second: rate.max(1.0),
    };
    let load_time = Duration::from_secs_f64(BYTES as f64 / rule.bytes_per_second);
    let mut fleet: Vec<FakeEngine> = (0..count)
        .map(|_| FakeEngine {
            serves: "v1",
            loading: None,
        })
        .collect();
    let mut upgrade = Upgrade::new(
        Goal {
            target: "v2".into(),
            previous: "v1".into(),
        },
        Phase::Running,
    );
    let mut now = Time::ZERO;
    while upgrade.phase() != Phase::Finished && now < 24 * 3_600 * SECOND {
        let units: Vec<Engine> = fleet
            .iter()
            .enumerate()
            .map(|(i, e)| unit(i, e, now))
            .collect();
        let window = Window {
            remaining: (24 * 3_600 * SECOND).saturating_sub(now),
        };
        let steps = upgrade.tick(&units, &rule, &window, now);
        for step in steps {
            if let Step::Order(endpoint, _) = step {
                let index: usize = endpoint[1..].parse().unwrap();
                fleet[index].serves = "";
                fleet[index].loading = Some(now + load_time);
            }
        }
        now += SECOND;
        for engine in &mut fleet {
            if engine.loading.take_if(|at| now >= *at).is_some() {
                engine.serves = "v2";
            }
        }
    }
    let least = BYTES as f64 * engines as f64 / RATE as f64;
    vec![
        Figure::new("upgrade-time", engines, now.as_secs_f64(), "s"),
        Figure::new("upgrade-least-by-rate", engines, least, "s"),
        Figure::new("upgrade-pool-and-zone", engines, count as f64, "engines"),
    ]
}

fn unit(index: usize, engine: &FakeEngine, now: Time) -> Engine {
    let versions = Some(engine.serves).filter(|v| !v.is_empty());
    let versions: Vec<_> = versions.into_iter().map(Into::into).collect();
    Engine {
        endpoint: format!("e{index}").into(),
        address: "10.0.0.1:8000".into(),
        state: Some(State {
            fence: None,
            versions: versions.clone(),
            loading: engine.loading.iter().map(|_| "v2".into()).collect(),
            role: None,
        }),
        load: Some(Load {
            running: 0,
            waiting: 0,
            cache_free: 1.0,
            versions,
            role: None,
        }),
        read_at: Some(now),
        checks_fencing: true,
        is_leaving: false,
    }
}
