//! A new version of the engines' software begins to serve while the store turns one daemon away.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Machine};
use crate::engine::{Engine, Work, World};
use crate::record::Record;
use crate::store::{Refusing, Store};
use crate::{Stage, Verdict, client};

const EVENTS: usize = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const REQUEST_INTERVAL: Duration = Duration::from_millis(85);
const DEADLINE: Duration = Duration::from_secs(8);
/// How long the daemons run before: longer than a stream may be resumed.
const CALM: Duration = Duration::from_secs(34);
/// How long before the new engine registers the store begins to turn the daemon away, and for how long.
const REFUSED_BEFORE: Duration = Duration::from_millis(100);
const REFUSED_TIME: Duration = Duration::from_secs(4);
/// How long after it registered the new engine crashes.
const CRASH_DELAY: Duration = Duration::from_millis(1_100);
const AFTER: Duration = Duration::from_secs(10);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"kitchen-query","host":"lunch.example","path_prefix":"/query/",
"kind":"stream","timeout_ms":8000,"target_latency_ms":1600,"priority":1,"service":"menu-model","max_attempts":2,
"stages":[],"public":false,"sticky":true,"resumable":true,"target_gap_ms":300}],
"services":[{"name":"menu-model","health_path":"/health","max_conns":610,"protocol":"h1","tls":false,
"engine":{"slots":128,"kv_capacity":577317,"kv_token_bytes":131072,"link_mbps":550000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"school","api_keys":["key-of-school"],"priority":1}]}"#;

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    whole: AtomicUsize,
    resumed: AtomicUsize,
    mixed: AtomicUsize,
}

pub fn run(stage: &Stage) -> Verdict {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let record = Arc::new(Record::new(&stage.folder));
    let world = World::new(record.clone(), 39, EVENTS, EVENT_PAUSE);
    let store = Arc::new(Store::default());
    store.write("keyed.op", "config", CONFIG);
    let start = |version| {
        Engine::start_version(&world, ip, ("menu-model", version), 128, Work::Stream(&[]))
    };
    for zone in [
        "tallinn-a",
        "tallinn-a",
        "tallinn-b",
        "tartu-a",
        "tartu-a",
        "tartu-a",
    ] {
        start("v1").register(&store, zone);
    }
    let refusing = Refusing::default();
    let run_daemon = |name, number, zone, store| {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 39, 5, number));
        Daemon::start(
            &Machine {
                name,
                ip,
                zone,
                cpu_share: 0.25,
                store,
            },
            &stage.temporary,
        )
    };
    let first = run_daemon(
        "front-tallinn-a-1",
        1,
        "tallinn-a",
        store.listen(ip, Vec::new()),
    );
    let other = run_daemon(
        "front-tallinn-b-2",
        3,
        "tallinn-b",
        store.listen(ip, Vec::new()),
    );
    let address = store.listen_until(ip, Vec::new(), &refusing);
    let second = run_daemon("front-tartu-a-1", 2, "tartu-a", address);
    if ![&first, &second, &other]
        .into_iter()
        .all(Daemon::wait_ready)
    {
        record.line("the daemons are not ready");
        return Verdict::Invalid;
    }
    thread::sleep(CALM);

    let counts = Arc::new(Counts::default());
    let fronts = [first.front, second.front];
    let end = Instant::now() + Duration::from_secs(2) + AFTER;
    let (world_of_clients, counts_of_clients) = (world.clone(), counts.clone());
    let clients = thread::spawn(move || {
        let mut waiting = Vec::new();
        while Instant::now() < end {
            let (world, counts) = (world_of_clients.clone(), counts_of_clients.clone());
            waiting.push(thread::spawn(move || ask(&world, fronts, &counts)));
            thread::sleep(REQUEST_INTERVAL);
        }
        for client in waiting {
            drop(client.join());
        }
    });
    thread::sleep(Duration::from_secs(2));
    if stage.has_trouble {
        record.line(format!("the store turns {} away", second.name));
        refusing.store(true, Ordering::SeqCst);
        store.wake();
        thread::sleep(REFUSED_BEFORE);
    }
    // The release is planned work, and comes without the trouble, too.
    let new = start("v2");
    record.line(format!("engine {} of version v2 registers", new.id));
    new.register(&store, "tallinn-a");
    if stage.has_trouble {
        thread::sleep(CRASH_DELAY);
        new.crash();
        thread::sleep(REFUSED_TIME - REFUSED_BEFORE - CRASH_DELAY);
        refusing.store(false, Ordering::SeqCst);
        record.line(format!("the store serves {} again", second.name));
    }
    drop(clients.join());
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let summary = format!(
        "{} streams asked for, {} whole, {} taken up again, {} hold events of two versions",
        count(&counts.sent),
        count(&counts.whole),
        count(&counts.resumed),
        count(&counts.mixed)
    );
    record.line(&summary);
    println!("{summary}");
    drop((first, second, other));
    // The rule allows two.
    if count(&counts.mixed) > 2 {
        return Verdict::Broken;
    }
    if count(&counts.whole) * 2 < count(&counts.sent) {
        return Verdict::Invalid;
    }
    Verdict::Held
}

/// Asks for a stream, and takes it up at the other daemon if it breaks off.
fn ask(world: &World, fronts: [SocketAddr; 2], counts: &Counts) {
    let began = Instant::now();
    let first = world.random.hex();
    let prompt = &world.random.hex()[..8];
    let mut events: Vec<(usize, String)> = Vec::new();
    counts.sent.fetch_add(1, Ordering::SeqCst);
    for (number, front) in fronts.into_iter().enumerate() {
        let id = if number == 0 {
            first.clone()
        } else {
            world.random.hex()
        };
        let mut fields = format!(
            "Attempt-Id: {id}\r\nModel: m\r\nToken-Counts: 543,160\r\nPrompt-Prefix: {prompt}:543\r\n"
        );
        if let Some((last, _)) = events.last() {
            fields.push_str(&format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n"));
        }
        let left = DEADLINE.saturating_sub(began.elapsed());
        world
            .record
            .line(format!("client sends {id} of stream {first} to {front}"));
        let answer = client::request(front, "/query/menu", &fields, left);
        let versions = answer.versions();
        world.record.line(format!(
            "client gets for {id}: status {}, {} events of {:?}, {}",
            answer.status,
            versions.len(),
            versions.last(),
            if answer.is_complete {
                "complete"
            } else {
                "broken off"
            }
        ));
        events.extend(answer.events().into_iter().zip(versions));
        if answer.status == 200 && answer.is_complete {
            counts.whole.fetch_add(1, Ordering::SeqCst);
            break;
        }
        if number == 0 && !events.is_empty() {
            counts.resumed.fetch_add(1, Ordering::SeqCst);
        }
    }
    let first_version = events.first().map(|(_, version)| version.clone());
    if events
        .iter()
        .any(|(_, version)| Some(version) != first_version.as_ref())
    {
        counts.mixed.fetch_add(1, Ordering::SeqCst);
        world.record.line(format!(
            "BROKEN ORDER the stream {first} holds events of two versions"
        ));
    }
}
