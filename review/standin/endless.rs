//! Engines in trouble answer with bytes without end; daemons run out of the memory of their machines.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Machine, SIGKILL};
use crate::engine::{Engine, Work, World};
use crate::record::Record;
use crate::store::Store;
use crate::{Stage, Verdict, client};

/// The memory of a machine, above which its process is killed, as the settings say.
const MEMORY: u64 = 260_000_000;
const ENGINES: usize = 12;
const TROUBLED_ENGINES: usize = 6;
/// How long one time of trouble lasts, and the pause after it.
const TROUBLE_TIME: Duration = Duration::from_millis(6_500);
const PAUSE: Duration = Duration::from_millis(3_500);
/// The bytes that an engine in trouble sends in a second, for each request.
const RATE: usize = 1_200_000;
const EVENTS: usize = 30;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// For each daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(83);
const DEADLINE: Duration = Duration::from_secs(15);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const TIME: Duration = Duration::from_secs(80);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"parent-notice","host":"lunch.example","path_prefix":"/notice/",
"kind":"stream","timeout_ms":15000,"target_latency_ms":1500,"priority":1,"service":"menu-model","max_attempts":1,
"stages":[],"public":false,"sticky":true,"resumable":false,"target_gap_ms":300}],
"services":[{"name":"menu-model","health_path":"/health","max_conns":610,"protocol":"h1","tls":false,
"engine":{"slots":128,"kv_capacity":577317,"kv_token_bytes":131072,"link_mbps":550000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"school","api_keys":["key-of-school"],"priority":1}]}"#;

pub fn run(stage: &Stage) -> Verdict {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let record = Arc::new(Record::new(&stage.folder));
    let world = World::new(record.clone(), 39, EVENTS, EVENT_PAUSE);
    let store = Arc::new(Store::default());
    store.write("keyed.op", "config", CONFIG);
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|_| Engine::start(&world, ip, "menu-model", 128, Work::Endless(RATE)))
        .collect();
    for (index, engine) in engines.iter().enumerate() {
        engine.register(&store, ["tallinn-a", "tallinn-b"][index % 2]);
    }
    let mut daemons = Vec::new();
    for (number, zone) in [(1, "tallinn-a"), (2, "tallinn-b")] {
        let name = format!("front-{zone}-1");
        let machine = Machine {
            name: &name,
            ip: IpAddr::V4(Ipv4Addr::new(127, 39, 3, number)),
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
    let end = Instant::now() + TIME;
    let (sent, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut clients = Vec::new();
    for front in daemons.iter().map(|daemon| daemon.front) {
        let (world, sent, served) = (world.clone(), sent.clone(), served.clone());
        clients.push(thread::spawn(move || {
            while Instant::now() < end {
                let (world, sent, served) = (world.clone(), sent.clone(), served.clone());
                thread::spawn(move || {
                    let id = world.random.hex();
                    let fields = format!(
                        "Attempt-Id: {id}\r\nModel: m\r\nToken-Counts: 543,280\r\nPrompt-Prefix: {}:543\r\n",
                        &world.random.hex()[..8]
                    );
                    world.record.line(format!("client sends {id} to {front}"));
                    sent.fetch_add(1, Ordering::SeqCst);
                    let answer = client::request(front, "/notice/parents", &fields, DEADLINE);
                    world.record.line(format!("client gets for {id}: status {}", answer.status));
                    let is_served = answer.status == 200 && answer.is_complete;
                    served.fetch_add(usize::from(is_served), Ordering::SeqCst);
                });
                thread::sleep(REQUEST_INTERVAL);
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let mut peaks = [0, 0];
    let mut kills = [0, 0];
    let mut shown = Instant::now();
    while Instant::now() < end {
        let round = TROUBLE_TIME + PAUSE;
        let time = began.elapsed();
        let number = (time.as_millis() / round.as_millis()) as usize;
        let is_trouble = stage.has_trouble && time < round * number as u32 + TROUBLE_TIME;
        for (index, engine) in engines.iter().enumerate() {
            // Another half of the engines each time.
            let is_troubled = is_trouble && (index + number) % ENGINES < TROUBLED_ENGINES;
            engine
                .trouble
                .store(if is_troubled { 1_000 } else { 0 }, Ordering::SeqCst);
        }
        for (index, daemon) in daemons.iter_mut().enumerate() {
            let memory = daemon.memory();
            peaks[index] = memory.max(peaks[index]);
            if memory > MEMORY {
                record.line(format!(
                    "{} has {memory} bytes: it is killed for its memory",
                    daemon.name
                ));
                daemon.signal(SIGKILL);
                daemon.wait(Duration::from_secs(1));
                kills[index] += 1;
                thread::sleep(RESTART_DELAY);
                daemon.run();
            }
        }
        if shown.elapsed() > Duration::from_secs(2) {
            shown = Instant::now();
            let memory: Vec<u64> = daemons.iter().map(Daemon::memory).collect();
            record.line(format!("memory of the daemons: {memory:?}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    for client in clients {
        drop(client.join());
    }
    let summary = format!(
        "{} streams asked for, {} whole, {} answers without end, peaks {peaks:?} bytes, killed {kills:?} times",
        sent.load(Ordering::SeqCst),
        served.load(Ordering::SeqCst),
        world.troubles.load(Ordering::SeqCst)
    );
    record.line(&summary);
    println!("{summary}");
    drop(daemons);
    // Fault: on two machines at least, processes end by themselves three times.
    if kills.iter().all(|kills| *kills >= 3) {
        return Verdict::Broken;
    }
    Verdict::Held
}
