//! One daemon cannot reach endpoints by itself, and others that pass its connections on are stopped or killed.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Machine, SIGKILL};
use crate::engine::{Engine, Work, World};
use crate::link::Link;
use crate::record::Record;
use crate::store::Store;
use crate::{Stage, Verdict, client};

/// The share of the engines that answer without a length, and the share of their answers, in thousandths: no
/// more than the site file has.
const TROUBLED_ENGINES: usize = 2;
const ENGINES: usize = 4;
const TROUBLED_ANSWERS: u64 = 50;
const EVENTS: usize = 70;
const EVENT_PAUSE: Duration = Duration::from_millis(115);
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);
const DEADLINE: Duration = Duration::from_secs(15);
/// How long the daemon is cut from all engines.
const CUT_TIME: Duration = Duration::from_secs(5);
/// How long after the cut began the first of the other daemons gets SIGTERM, and the pause to the next.
const STOP_DELAY: Duration = Duration::from_millis(900);
const STOP_PAUSE: Duration = Duration::from_secs(2);
/// How long after the cut began some of them are killed at the same moment, and how many.
const KILL_DELAY: Duration = Duration::from_millis(4_900);
const KILLED: usize = 2;
/// The other daemons of the region.
const CARRIERS: [(&str, &str); 3] = [
    ("front-tallinn-a-2", "tallinn-a"),
    ("front-tallinn-b-1", "tallinn-b"),
    ("front-tallinn-b-2", "tallinn-b"),
];
/// How long the platform takes to start a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(8);
const ROUND: Duration = Duration::from_secs(17);
const ROUNDS: u32 = 5;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"parent-notice","host":"lunch.example","path_prefix":"/notice/",
"kind":"stream","timeout_ms":15000,"target_latency_ms":1500,"priority":1,"service":"menu-model","max_attempts":1,
"stages":[],"public":false,"sticky":true,"resumable":false,"target_gap_ms":300}],
"services":[{"name":"menu-model","health_path":"/health","max_conns":610,"protocol":"h1","tls":false,
"engine":{"slots":128,"kv_capacity":577317,"kv_token_bytes":131072,"link_mbps":550000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"school","api_keys":["key-of-school"],"priority":1}]}"#;

pub fn run(stage: &Stage, signal: i32) -> Verdict {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let record = Arc::new(Record::new(&stage.folder));
    let world = World::new(record.clone(), 39, EVENTS, EVENT_PAUSE);
    let store = Arc::new(Store::default());
    store.write("keyed.op", "config", CONFIG);
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|_| Engine::start(&world, ip, "menu-model", 128, Work::Stream(&[])))
        .collect();
    for (index, engine) in engines.iter().enumerate() {
        engine.register(&store, ["tallinn-a", "tallinn-b"][index % 2]);
        let share = if index < TROUBLED_ENGINES {
            TROUBLED_ANSWERS
        } else {
            0
        };
        engine.trouble.store(share, Ordering::SeqCst);
    }
    let machine_ip = |number| IpAddr::V4(Ipv4Addr::new(127, 39, 2, number));
    // The first daemon reaches engines over links of its own.
    let links: Vec<Link> = engines
        .iter()
        .map(|engine| Link::start(machine_ip(1), engine.address))
        .collect();
    let ends = links
        .iter()
        .map(|link| (link.endpoint, link.address))
        .collect();
    let start = |name, number, zone, store| {
        let machine = Machine {
            name,
            ip: machine_ip(number),
            zone,
            cpu_share: 0.25,
            store,
        };
        Daemon::start(&machine, &stage.temporary)
    };
    let cut_off = start("front-tallinn-a-1", 1, "tallinn-a", store.listen(ip, ends));
    let mut carriers: Vec<Daemon> = Vec::new();
    for (number, (name, zone)) in (2..).zip(CARRIERS) {
        carriers.push(start(name, number, zone, store.listen(ip, Vec::new())));
    }
    if !cut_off.wait_ready() || !carriers.iter().all(Daemon::wait_ready) {
        record.line("the daemons are not ready");
        return Verdict::Invalid;
    }
    thread::sleep(Duration::from_secs(3));

    let (sent, whole) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let end = Instant::now() + ROUND * ROUNDS;
    let front = cut_off.front;
    let (world_of_clients, counts) = (world.clone(), (sent.clone(), whole.clone()));
    let clients = thread::spawn(move || {
        let mut waiting = Vec::new();
        while Instant::now() < end {
            let (world, counts) = (world_of_clients.clone(), counts.clone());
            waiting.push(thread::spawn(move || ask(&world, front, &counts)));
            thread::sleep(REQUEST_INTERVAL);
        }
        for client in waiting {
            drop(client.join());
        }
    });
    for _ in 0..ROUNDS {
        let began = Instant::now();
        let wait_until = |time: Duration| thread::sleep(time.saturating_sub(began.elapsed()));
        wait_until(Duration::from_secs(2));
        if stage.has_trouble {
            thread::scope(|scope| {
                scope.spawn(|| {
                    record.line(format!("{} is cut from all engines", cut_off.name));
                    links.iter().for_each(|link| link.set_cut(true));
                    thread::sleep(CUT_TIME);
                    record.line(format!("{} reaches engines again", cut_off.name));
                    links.iter().for_each(|link| link.set_cut(false));
                });
                let is_kill = signal == SIGKILL;
                let count = if is_kill { KILLED } else { CARRIERS.len() };
                for (number, carrier) in (0..).zip(&mut carriers[..count]) {
                    let stopped = STOP_DELAY + STOP_PAUSE * number;
                    let delay = if is_kill { KILL_DELAY } else { stopped };
                    let record = &record;
                    scope.spawn(move || {
                        thread::sleep(delay);
                        restart(carrier, signal, record);
                    });
                }
            });
        }
        wait_until(ROUND);
    }
    drop(clients.join());
    let broken = world.broken.lock().expect("no panic").len();
    let summary = format!(
        "{} streams asked for, {} whole, {} runs, {} without a length, {broken} cut short and ended as complete",
        sent.load(Ordering::SeqCst),
        whole.load(Ordering::SeqCst),
        world.runs.load(Ordering::SeqCst),
        world.troubles.load(Ordering::SeqCst)
    );
    record.line(&summary);
    println!("{summary}");
    drop((cut_off, carriers));
    if broken > 0 {
        return Verdict::Broken;
    }
    if whole.load(Ordering::SeqCst) * 3 < sent.load(Ordering::SeqCst) {
        return Verdict::Invalid;
    }
    Verdict::Held
}

/// Ends a daemon and starts it again, as the platform does.
fn restart(daemon: &mut Daemon, signal: i32, record: &Record) {
    let name = if signal == SIGKILL {
        "SIGKILL"
    } else {
        "SIGTERM"
    };
    record.line(format!("{} gets {name}", daemon.name));
    daemon.signal(signal);
    daemon.wait(GRACE);
    record.line(format!("{} has ended", daemon.name));
    thread::sleep(RESTART_DELAY);
    daemon.run();
}

/// Asks for a stream, and checks that it is not ended as complete before its last event.
fn ask(
    world: &World,
    front: std::net::SocketAddr,
    (sent, whole): &(Arc<AtomicUsize>, Arc<AtomicUsize>),
) {
    let id = world.random.hex();
    let fields = format!(
        "Attempt-Id: {id}\r\nModel: m\r\nToken-Counts: 543,280\r\nPrompt-Prefix: {}:543\r\n",
        &world.random.hex()[..8]
    );
    world.record.line(format!("client sends {id}"));
    sent.fetch_add(1, Ordering::SeqCst);
    let answer = client::request(front, "/notice/parents", &fields, DEADLINE);
    let events = answer.events();
    let is_whole = events == (1..=EVENTS).collect::<Vec<usize>>();
    world.record.line(format!(
        "client gets for {id}: status {}, {} events, {}",
        answer.status,
        events.len(),
        if answer.is_complete {
            "complete"
        } else {
            "broken off"
        }
    ));
    if answer.status == 200 && answer.is_sealed && answer.is_complete && !is_whole {
        world.break_rule(format!(
            "ORDER the stream {id} ends as complete after event {} of {EVENTS}",
            events.last().copied().unwrap_or(0)
        ));
    }
    whole.fetch_add(
        usize::from(answer.is_complete && is_whole),
        Ordering::SeqCst,
    );
}
