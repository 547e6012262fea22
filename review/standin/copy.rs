//! The store comes back from a copy in which a key is not taken away yet, while a daemon is stopped and started.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Machine, SIGTERM};
use crate::engine::{Engine, Work, World};
use crate::record::Record;
use crate::store::Store;
use crate::{Stage, Verdict, client};

const OLD_KEY: &str = "old-key-of-school";
const REVOKE_TIME: Duration = Duration::from_millis(5_000);
/// How old the copy is, how long the store is away, and how long it takes until the operator has written again.
const COPY_AGE: Duration = Duration::from_millis(6_500);
const AWAY_TIME: Duration = Duration::from_millis(500);
const OPERATOR_DELAY: Duration = Duration::from_secs(2);
/// When the daemon gets SIGTERM, and the time until SIGKILL.
const STOP_TIME: Duration = Duration::from_millis(3_200);
const GRACE: Duration = Duration::from_secs(8);
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(6);

fn config(version: u64, keys: &str) -> String {
    let text = r#"{"version":VERSION,"routes":[{"name":"parent-notice","host":"lunch.example","path_prefix":"/notice/",
"kind":"stream","timeout_ms":15000,"target_latency_ms":1500,"priority":1,"service":"menu-model","max_attempts":1,
"stages":[],"public":false,"sticky":true,"resumable":false,"target_gap_ms":300}],
"services":[{"name":"menu-model","health_path":"/health","max_conns":610,"protocol":"h1","tls":false,
"engine":{"slots":128,"kv_capacity":577317,"kv_token_bytes":131072,"link_mbps":550000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"school","api_keys":[KEYS],"priority":1}]}"#;
    text.replace("VERSION", &version.to_string())
        .replace("KEYS", keys)
}

pub fn run(stage: &Stage) -> Verdict {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let record = Arc::new(Record::new(&stage.folder));
    let world = World::new(record.clone(), 39, 4, Duration::from_millis(30));
    let store = Arc::new(Store::default());
    let both = format!(r#""key-of-school","{OLD_KEY}""#);
    store.write("keyed.op", "config", &config(7, &both));
    for zone in ["tallinn-a", "tallinn-a", "tartu-a", "tartu-a"] {
        Engine::start(&world, ip, "menu-model", 128, Work::Stream(&[])).register(&store, zone);
    }
    let mut daemons = Vec::new();
    for (number, zone) in (1..).zip(["tallinn-a", "tallinn-b", "tartu-a"]) {
        let name = format!("front-{zone}-1");
        let ip = IpAddr::V4(Ipv4Addr::new(127, 39, 6, number));
        let store = store.listen(IpAddr::V4(Ipv4Addr::LOCALHOST), Vec::new());
        let machine = Machine {
            name: &name,
            ip,
            zone,
            cpu_share: 0.25,
            store,
        };
        daemons.push(Daemon::start(&machine, &stage.temporary));
    }
    if !daemons.iter().all(Daemon::wait_ready) {
        record.line("the daemons are not ready");
        return Verdict::Invalid;
    }
    thread::sleep(Duration::from_secs(6));
    let copy = store.copy();
    let copied = Instant::now();
    thread::sleep(Duration::from_millis(500));
    store.write("keyed.op", "config", &config(9, r#""key-of-school""#));
    let revoked = Instant::now();
    record.line("the store acknowledges a configuration without the old key");

    let end = copied + COPY_AGE + AWAY_TIME + OPERATOR_DELAY + AFTER;
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front).collect();
    let (served, late) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let counts = (served.clone(), late.clone());
    let world_of_clients = world.clone();
    let clients = thread::spawn(move || {
        let mut waiting = Vec::new();
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let front = fronts[number % fronts.len()];
            let key = if number / fronts.len() % 2 == 0 {
                OLD_KEY
            } else {
                "key-of-school"
            };
            let (world, counts) = (world_of_clients.clone(), counts.clone());
            waiting.push(thread::spawn(move || {
                ask(&world, front, key, revoked, &counts)
            }));
            thread::sleep(REQUEST_INTERVAL);
        }
        for client in waiting {
            drop(client.join());
        }
    });
    let last = daemons.len() - 1;
    let wait_until = |time: Duration| thread::sleep(time.saturating_sub(copied.elapsed()));
    // The restart is planned work, and comes without the trouble, too.
    wait_until(STOP_TIME);
    record.line(format!("{} gets SIGTERM", daemons[last].name));
    daemons[last].signal(SIGTERM);
    wait_until(COPY_AGE);
    if stage.has_trouble {
        record.line("the store is away");
        store.leave();
    }
    daemons[last].wait(GRACE.saturating_sub(COPY_AGE - STOP_TIME));
    record.line(format!("{} has ended", daemons[last].name));
    wait_until(COPY_AGE + AWAY_TIME);
    if stage.has_trouble {
        store.come_back(copy);
        record.line("the store is back from a copy");
    }
    daemons[last].run();
    wait_until(COPY_AGE + AWAY_TIME + OPERATOR_DELAY);
    if stage.has_trouble {
        store.write("keyed.op", "config", &config(9, r#""key-of-school""#));
        record.line("the operator has written the configuration again");
    }
    drop(clients.join());
    let late = late.load(Ordering::SeqCst);
    let served = served.load(Ordering::SeqCst);
    let summary =
        format!("{served} requests served with a key in force, {late} with the key taken away");
    record.line(&summary);
    println!("{summary}");
    drop(daemons);
    if late > 0 {
        return Verdict::Broken;
    }
    if served == 0 {
        return Verdict::Invalid;
    }
    Verdict::Held
}

fn ask(
    world: &World,
    front: SocketAddr,
    key: &str,
    revoked: Instant,
    (served, late): &(Arc<AtomicUsize>, Arc<AtomicUsize>),
) {
    let id = world.random.hex();
    let fields = format!(
        "Attempt-Id: {id}\r\nModel: m\r\nToken-Counts: 543,280\r\nPrompt-Prefix: {}:543\r\n",
        &world.random.hex()[..8]
    );
    let age = revoked.elapsed();
    world
        .record
        .line(format!("client sends {id} to {front} with {key}"));
    let answer = client::request_with_key(front, "/notice/parents", &fields, DEADLINE, key);
    world
        .record
        .line(format!("client gets for {id}: status {}", answer.status));
    if answer.status != 200 {
        return;
    }
    if key != OLD_KEY {
        served.fetch_add(1, Ordering::SeqCst);
    } else if age > REVOKE_TIME {
        late.fetch_add(1, Ordering::SeqCst);
        world.break_rule(format!(
            "CONFIG {id} was sent {} ms after its key had been taken away, and ran",
            age.as_millis()
        ));
    }
}
