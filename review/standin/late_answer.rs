//! Endpoints of stages send an answer a second time, late, where the next one is expected.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Machine};
use crate::engine::{Engine, Stages, Work, World};
use crate::record::Record;
use crate::store::Store;
use crate::{Stage, Verdict, client};

/// The share of the endpoints of stages in trouble, and the share of their answers, in thousandths: no more
/// than the site file has.
const TROUBLED_ENDPOINTS: f64 = 0.6;
const TROUBLED_ANSWERS: u64 = 30;
/// How long one time of trouble lasts, and the pause after it.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(1);
const TIMES: usize = 10;
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);
const DEADLINE: Duration = Duration::from_secs(5);
const STAGES: Stages = &[&[], &[0]];

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"kitchen-query","host":"lunch.example","path_prefix":"/query/",
"kind":"stream","timeout_ms":5000,"target_latency_ms":1600,"priority":1,"service":"menu-model","max_attempts":1,
"stages":[{"service":"allergy-registry","after":[],"bytes":30000},{"service":"billing","after":[0],"bytes":8000}],
"public":false,"sticky":true,"resumable":false,"target_gap_ms":300}],
"services":[{"name":"menu-model","health_path":"/health","max_conns":610,"protocol":"h1","tls":false,
"engine":{"slots":128,"kv_capacity":577317,"kv_token_bytes":131072,"link_mbps":550000.0,"models":[{"name":"m"}]}},
{"name":"allergy-registry","health_path":"/health","max_conns":610,"protocol":"h1","tls":false,
"pieces":{"slots":1,"queue":2,"batch":10,"call_ms":150.0,"item_ms":13.0,"headroom_mb":64,"handle_s":4.0,"link_mbps":10000}},
{"name":"billing","health_path":"/health","max_conns":610,"protocol":"h1","tls":false,
"pieces":{"slots":1,"queue":2,"batch":70,"call_ms":150.0,"item_ms":1.8,"headroom_mb":1.2,"handle_s":4.0,"link_mbps":10000}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"school","api_keys":["key-of-school"],"priority":1}]}"#;

pub fn run(stage: &Stage) -> Verdict {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let record = Arc::new(Record::new(&stage.folder));
    let world = World::new(record.clone(), 39, 6, Duration::from_millis(40));
    let store = Arc::new(Store::default());
    store.write("keyed.op", "config", CONFIG);
    let start = |service, slots, work| Engine::start(&world, ip, service, slots, work);
    let stage_work = |item| Work::Stage {
        stages: STAGES,
        call: Duration::from_millis(150),
        item: Duration::from_micros(item),
    };
    let models: Vec<Arc<Engine>> = (0..2)
        .map(|_| start("menu-model", 128, Work::Stream(STAGES)))
        .collect();
    let mut makers: Vec<Arc<Engine>> = Vec::new();
    makers.extend((0..5).map(|_| start("allergy-registry", 1, stage_work(13_000))));
    makers.extend((0..5).map(|_| start("billing", 1, stage_work(1_800))));
    for (index, engine) in models.iter().chain(&makers).enumerate() {
        engine.register(&store, ["tallinn-a", "tallinn-b"][index % 2]);
    }
    let mut daemons = Vec::new();
    for (index, zone) in ["tallinn-a", "tallinn-b"].into_iter().enumerate() {
        let machine = Machine {
            name: ["front-tallinn-a-1", "front-tallinn-b-1"][index],
            ip: IpAddr::V4(Ipv4Addr::new(127, 39, 1, 1 + index as u8)),
            zone,
            cpu_share: 0.25,
            store: store.listen(ip, Vec::new()),
        };
        daemons.push(Daemon::start(&machine, &stage.temporary));
    }
    if !daemons.iter().all(Daemon::wait_ready) {
        record.line("the daemons are not ready");
        return Verdict::Invalid;
    }
    thread::sleep(Duration::from_secs(3));

    let has_trouble = stage.has_trouble;
    let served = Arc::new(AtomicUsize::new(0));
    let sent = Arc::new(AtomicUsize::new(0));
    let end = Instant::now() + Duration::from_secs(2) + (TROUBLE_TIME + PAUSE) * TIMES as u32;
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    let (world_of_clients, counts) = (world.clone(), (sent.clone(), served.clone()));
    let clients = thread::spawn(move || {
        let mut waiting = Vec::new();
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let front = fronts[number % fronts.len()];
            let (world, (sent, served)) = (world_of_clients.clone(), counts.clone());
            waiting.push(thread::spawn(move || {
                let id = world.random.hex();
                let fields = format!(
                    "Attempt-Id: {id}\r\nModel: m\r\nToken-Counts: 400,24\r\nPrompt-Prefix: {}:400\r\nPieces: 1,1\r\nPiece-Key: {}\r\n",
                    &world.random.hex()[..8],
                    world.random.hex()
                );
                world.record.line(format!("client sends {id} to {front}"));
                sent.fetch_add(1, Ordering::SeqCst);
                let answer = client::request(front, "/query/menu", &fields, DEADLINE);
                let is_served = answer.status == 200 && answer.is_sealed && answer.is_complete;
                served.fetch_add(usize::from(is_served), Ordering::SeqCst);
                world.record.line(format!(
                    "client gets for {id}: status {}, {} events, {}",
                    answer.status,
                    answer.events().len(),
                    if answer.is_complete { "complete" } else { "broken off" }
                ));
            }));
            thread::sleep(REQUEST_INTERVAL);
        }
        for client in waiting {
            drop(client.join());
        }
    });
    thread::sleep(Duration::from_secs(1));
    for time in 0..TIMES {
        let troubled = (makers.len() as f64 * TROUBLED_ENDPOINTS) as usize;
        for index in 0..troubled {
            let engine = &makers[(time + index) % makers.len()];
            let share = if has_trouble { TROUBLED_ANSWERS } else { 0 };
            engine.trouble.store(share, Ordering::SeqCst);
        }
        thread::sleep(TROUBLE_TIME);
        for engine in &makers {
            engine.trouble.store(0, Ordering::SeqCst);
        }
        thread::sleep(PAUSE);
    }
    drop(clients.join());
    let broken = world.broken.lock().expect("no panic").len();
    let summary = format!(
        "{} requests sent, {} served, {} runs, {} late second answers, {broken} times wrong inputs",
        sent.load(Ordering::SeqCst),
        served.load(Ordering::SeqCst),
        world.runs.load(Ordering::SeqCst),
        world.troubles.load(Ordering::SeqCst)
    );
    record.line(&summary);
    println!("{summary}");
    drop(daemons);
    if broken > 0 {
        return Verdict::Broken;
    }
    if served.load(Ordering::SeqCst) * 2 < sent.load(Ordering::SeqCst) {
        return Verdict::Invalid;
    }
    Verdict::Held
}
