//! The cases. Each returns whether its rule was broken.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{self, Options};
use crate::http::Connection;
use crate::proxy;
use crate::rig::{Engine, MEMORY_MB, Record, Rig, configuration, free_address, head};

type Verdict = io::Result<bool>;

pub fn run(case: &str, rig: &Rig) -> Verdict {
    match case {
        "pieces" => pieces(rig),
        "reborn" => reborn(rig),
        "ids" => ids(rig),
        "fatal" => fatal(rig),
        "parts" => parts(rig),
        _ => Err(io::Error::other("no such case")),
    }
}

fn options(rig: &Rig, id: &str, service: &str) -> io::Result<Options> {
    let address = free_address()?;
    Ok(Options {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: "tallinn-a".to_owned(),
        listen: address,
        address,
        store: rig.store_address,
        born: 1_700_000_000_000,
        version: "v1".to_owned(),
        silent_ms: 0,
    })
}

/// Starts two endpoints of each service.
fn endpoints(rig: &Rig) -> io::Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for service in ["menu-model", "orders", "allergy-registry"] {
        for (number, zone) in [(1, "tallinn-a"), (2, "tartu-a")] {
            let mut options = options(rig, &format!("i-{service}-{number}"), service)?;
            options.zone = zone.to_owned();
            engines.push(rig.engine(&options)?);
        }
    }
    Ok(engines)
}

/// What became of a request on a kept connection.
#[derive(Clone, Debug, PartialEq)]
enum Fate {
    Answered(u16),
    Closed,
}

/// Sends a first request on a connection, and then the one that counts; returns what became of that.
fn kept_request(address: SocketAddr, attempt: &str, path: &str) -> io::Result<Fate> {
    let mut connection = Connection::connect(address)?;
    let time = Duration::from_secs(6);
    let first = head("POST", "/commit/first", &format!("{attempt}0"), 5000, "", 2);
    if connection.ask(&first, b"ok", time)?.status() != 200 {
        return Err(io::Error::other("the first request of a connection failed"));
    }
    let second = head("POST", path, &format!("{attempt}1"), 5000, "", 2);
    Ok(match connection.ask(&second, b"ok", time) {
        Ok(answer) => Fate::Answered(answer.status()),
        Err(_) => Fate::Closed,
    })
}

fn pieces(rig: &Rig) -> Verdict {
    rig.store.put("keyed.op", "config", &configuration(7));
    let _engines = endpoints(rig)?;
    let mut fronts = rig.fronts(3, None)?;
    let fates = Arc::new(Mutex::new(Vec::new()));
    let clients = fronts.iter().enumerate().flat_map(|(place, front)| {
        (0..6).map(move |number| (front.front, format!("a{place}{number}")))
    });
    let clients: Vec<_> = clients.collect();
    let mut threads = Vec::new();
    for (address, attempt) in clients {
        let (fates, record) = (fates.clone(), rig.record.clone());
        threads.push(thread::spawn(move || {
            let fate = kept_request(address, &attempt, "/commit/work/1500");
            record.note(format!(
                "client: order {attempt}1, that its endpoint works on for 1.5 s: {fate:?}"
            ));
            fates.lock().unwrap().push(fate.ok());
        }));
    }
    // Long enough for each of them to be at its endpoint.
    thread::sleep(Duration::from_millis(500));
    let pieces = if rig.has_trouble {
        "1000000000000000"
    } else {
        "2"
    };
    for (place, front) in fronts.iter().enumerate() {
        let (address, name, record) = (front.front, front.name.clone(), rig.record.clone());
        threads.push(thread::spawn(move || {
            let fields = format!(
                "Model: m\r\nToken-Counts: 100,10\r\nPrompt-Prefix: 5c1e07a2:80,e4402b7d{place}:20\r\nPieces: {pieces}\r\nPiece-Key: 7c1e07a291bd\r\n"
            );
            let request = head("POST", "/plan/x", &format!("odd{place}"), 6000, &fields, 2);
            let answer = Connection::connect(address)
                .and_then(|mut connection| connection.ask(&request, b"ok", Duration::from_secs(7)));
            let answer = answer.map(|answer| answer.status());
            record.note(format!("client: a draft with {pieces} pieces at {name}: {answer:?}"));
        }));
    }
    for thread in threads {
        drop(thread.join());
    }
    let mut has_ended = false;
    for front in &mut fronts {
        if let Some(ending) = front.ending() {
            rig.record
                .note(format!("{} has ended by itself: {ending}", front.name));
            has_ended = true;
        }
    }
    let fates = fates.lock().unwrap();
    if fates.contains(&None) {
        return Err(io::Error::other("a client could not send its orders"));
    }
    let closed = fates
        .iter()
        .filter(|fate| **fate == Some(Fate::Closed))
        .count();
    rig.record.note(format!(
        "LOST: of {} orders on kept connections, {closed} ended with a closed connection and no answer (3 may)",
        fates.len()
    ));
    rig.record
        .note(format!("a process ended by itself: {has_ended}"));
    Ok(closed > 3)
}

/// The endpoints of the drafts' service, and the daemons.
const DRAFT_ENDPOINTS: usize = 5;
const DAEMONS: usize = 4;
/// The streams of the case, and the events of each.
const STREAMS: usize = 20;
const EVENTS: u32 = 16;

fn reborn(rig: &Rig) -> Verdict {
    rig.store.put("keyed.op", "config", &configuration(7));
    let mut engines = Vec::new();
    for number in 2..=DRAFT_ENDPOINTS {
        let options = options(rig, &format!("i-menu-model-{number}"), "menu-model")?;
        engines.push(rig.engine(&options)?);
    }
    // The links of the first endpoint to the store and to the first daemon can be cut.
    let link = proxy::Switch::default();
    let mut life = options(rig, "i-menu-model-1", "menu-model")?;
    life.store = proxy::start(rig.store_address, &link)?;
    let mut engine = rig.engine(&life)?;
    let seen = (life.address, proxy::start(life.listen, &link)?);
    let fronts = rig.fronts(DAEMONS, Some(rig.store.listen(Some(seen))?))?;
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (address, record) = (fronts[0].front, rig.record.clone());
        clients.push(thread::spawn(move || {
            draft(address, &format!("b{number}x"), &record)
        }));
    }
    thread::sleep(Duration::from_millis(1_600));
    if rig.has_trouble {
        rig.record.note(
            "the first endpoint is cut off from the store and from the first of four daemons",
        );
        link.cut();
        thread::sleep(Duration::from_millis(300));
        rig.record.note("it crashes behind the cut");
        engine.kill();
        thread::sleep(Duration::from_millis(2_000));
        life.born += 60_000;
        // Its first entry comes 0.3 s after the cut has healed.
        life.silent_ms = 1_000;
        engine = rig.engine(&life)?;
        thread::sleep(Duration::from_millis(700));
        rig.record.note("the cut heals");
        link.heal();
    }
    let mut shortened = 0;
    for client in clients {
        let drafted = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
        let is_short = matches!(drafted, Draft::Complete { is_short: true });
        shortened += usize::from(is_short);
        if !rig.has_trouble && (is_short || drafted == Draft::Failed) {
            return Err(io::Error::other(
                "an answer is not whole without the disruption",
            ));
        }
    }
    drop(engine);
    rig.record.note(format!(
        "MIXED: {shortened} of {STREAMS} clients got a success that ends as complete and lacks events (none may)"
    ));
    Ok(shortened > 0)
}

/// What a client got for a draft.
#[derive(PartialEq)]
enum Draft {
    /// A success that ended as a complete answer does.
    Complete {
        is_short: bool,
    },
    Failed,
}

fn draft(address: SocketAddr, attempt: &str, record: &Record) -> Draft {
    let fields = "Model: m\r\nToken-Counts: 100,64\r\nPrompt-Prefix: 5c1e07a2:80,e4402b7d:20\r\n";
    let path = format!("/notice/unframed/{EVENTS}/250");
    let request = head("POST", &path, attempt, 15_000, fields, 2);
    let answer = Connection::connect(address)
        .and_then(|mut connection| connection.ask(&request, b"ok", Duration::from_secs(15)));
    let Ok(answer) = answer else {
        record.note(format!("client: {attempt} got no answer"));
        return Draft::Failed;
    };
    record.note(format!(
        "client: {attempt} got status {}, {} events of {EVENTS}, and the answer ends as {}",
        answer.status(),
        answer.text().matches("data:").count(),
        if answer.is_whole {
            "complete"
        } else {
            "broken off"
        },
    ));
    if answer.status() != 200 || !answer.is_whole {
        return Draft::Failed;
    }
    let all: String = (1..=EVENTS)
        .map(|number| engine::event(attempt, number))
        .collect();
    Draft::Complete {
        is_short: answer.text() != all,
    }
}

/// The streams of the client with long ids, all at once, and the length of each id.
const LONG_STREAMS: usize = 80;
const LONG_ID: usize = 15_000;
/// The streams of ordinary clients, each of 60 events in 6 s.
const TAKEN_UP: usize = 16;
const TAKEN_UP_EVENTS: u32 = 60;

fn ids(rig: &Rig) -> Verdict {
    rig.store.put("keyed.op", "config", &configuration(7));
    let mut engines = Vec::new();
    for (number, version) in ["v1", "v1", "v2", "v2"].into_iter().enumerate() {
        let mut options = options(rig, &format!("i-menu-model-{number}"), "menu-model")?;
        options.version = version.to_owned();
        engines.push(rig.engine(&options)?);
    }
    let mut fronts = rig.fronts(2, None)?;
    let (first, second) = (fronts[0].front, fronts[1].front);
    let length = if rig.has_trouble { LONG_ID } else { 16 };
    rig.record.note(format!(
        "a client begins {LONG_STREAMS} streams at once, with ids of {length} bytes"
    ));
    let begun: Vec<_> = (0..LONG_STREAMS)
        .map(|number| {
            let attempt = format!("{number:0length$}");
            thread::spawn(move || take_stream(first, &attempt, 2, None, Duration::from_secs(5)))
        })
        .collect();
    let begun = begun.into_iter().filter_map(|thread| thread.join().ok());
    let begun = begun.filter(|taken| taken.status == 200).count();
    rig.record.note(format!("{begun} of them were served"));
    let ordinary: Vec<_> = (0..TAKEN_UP)
        .map(|number| {
            let record = rig.record.clone();
            thread::spawn(move || {
                let attempt = format!("d{number}x1");
                let taken = take_stream(first, &attempt, TAKEN_UP_EVENTS, None, Duration::from_secs(10));
                let seen = taken.events;
                if taken.is_whole || seen == 0 {
                    return None;
                }
                let resumes = Some((attempt.as_str(), seen));
                let again = take_stream(second, &format!("d{number}x2"), TAKEN_UP_EVENTS, resumes, Duration::from_secs(12));
                record.note(format!(
                    "client: {attempt} broke off after {seen} events; taken up at the other daemon: status {}, {} more events",
                    again.status, again.events
                ));
                Some(again.events > 0)
            })
        })
        .collect();
    // Much longer than it takes to record the beginning of a stream.
    thread::sleep(Duration::from_millis(2_500));
    rig.record.note(format!("{} is killed", fronts[0].name));
    fronts[0].kill();
    let taken_up: Vec<Option<bool>> = ordinary
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    let new = (0..TAKEN_UP).filter(|number| {
        let taken = take_stream(
            second,
            &format!("e{number}x1"),
            2,
            None,
            Duration::from_secs(5),
        );
        taken.events > 0
    });
    let new = new.count();
    let taken_up: Vec<bool> = taken_up.into_iter().flatten().collect();
    let gone_on = taken_up.iter().filter(|has_gone_on| **has_gone_on).count();
    if taken_up.len() < 12 {
        return Err(io::Error::other("too few streams broke off"));
    }
    rig.record.note(format!(
        "LOST: at the daemon that runs on, {gone_on} of {} streams that were taken up go on, and {new} of {TAKEN_UP} new ones begin",
        taken_up.len()
    ));
    Ok(2 * gone_on * TAKEN_UP < new * taken_up.len())
}

/// What came of one attempt at a stream.
struct Taken {
    status: u16,
    events: u32,
    is_whole: bool,
}

fn take_stream(
    address: SocketAddr,
    attempt: &str,
    events: u32,
    resumes: Option<(&str, u32)>,
    time: Duration,
) -> Taken {
    let mut fields =
        "Model: m\r\nToken-Counts: 100,64\r\nPrompt-Prefix: 5c1e07a2:80,e4402b7d:20\r\n".to_owned();
    if let Some((first, seen)) = resumes {
        fields.push_str(&format!("Resumes: {first}\r\nLast-Event-Id: {seen}\r\n"));
    }
    let request = head(
        "POST",
        &format!("/query/events/{events}/100"),
        attempt,
        15_000,
        &fields,
        2,
    );
    let answer = Connection::connect(address)
        .and_then(|mut connection| connection.ask(&request, b"ok", time));
    let Ok(answer) = answer else {
        return Taken {
            status: 0,
            events: 0,
            is_whole: false,
        };
    };
    let count = answer.text().matches("\n\n").count();
    Taken {
        status: answer.status(),
        events: u32::try_from(count).unwrap_or(0),
        is_whole: answer.is_whole,
    }
}

/// The endpoints of the drafts' service, and how long one takes to be back after a crash.
const FATAL_ENDPOINTS: usize = 6;
const RESTART_TIME: Duration = Duration::from_secs(2);
/// The parts of a prompt that requests share, the number of different ones, and the time for which requests come.
const SHARED_PARTS: usize = 34;
const POOL: usize = 400;
const FATAL_TIME: Duration = Duration::from_secs(40);
/// The requests with the fatal part that may reach endpoints later than this after the fifth crash.
const LATE_REQUESTS: usize = 3;
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// Sends one draft; returns whether the client got all of it.
fn draft_with(address: SocketAddr, attempt: &str, first: &str, number: usize) -> bool {
    // Different parts for each request, of which sound ones and those with the fatal one have all.
    let others = (1..SHARED_PARTS)
        .map(|place| format!("{:x}:40", 0x1000 + (number * 7 + place * 11) % POOL));
    let parts: Vec<String> = std::iter::once(format!("{first}:200"))
        .chain(others)
        .collect();
    let fields = format!(
        "Model: m\r\nToken-Counts: 1600,24\r\nPrompt-Prefix: {},{attempt}:60\r\n",
        parts.join(",")
    );
    let request = head(
        "POST",
        "/notice/events/6/100",
        attempt,
        15_000,
        &fields,
        attempt.len(),
    );
    let answer = Connection::connect(address).and_then(|mut connection| {
        connection.ask(&request, attempt.as_bytes(), Duration::from_secs(16))
    });
    answer.is_ok_and(|answer| answer.status() == 200 && answer.is_whole)
}

fn fatal(rig: &Rig) -> Verdict {
    rig.store.put("keyed.op", "config", &configuration(7));
    let mut engines = Vec::new();
    for number in 0..FATAL_ENDPOINTS {
        let mut options = options(rig, &format!("i-menu-model-{number}"), "menu-model")?;
        options.zone = ["tallinn-a", "tallinn-b"][number % 2].to_owned();
        engines.push((rig.engine(&options)?, options, None));
    }
    let fronts = rig.fronts(2, None)?;
    let addresses: Vec<SocketAddr> = fronts.iter().map(|front| front.front).collect();
    let begun = Instant::now();
    let sound = Arc::new(Mutex::new((0, 0)));
    let mut threads = Vec::new();
    let mut number = 0;
    while begun.elapsed() < FATAL_TIME {
        let address = addresses[number % addresses.len()];
        // Nine sound requests and one with the fatal part a second.
        let is_fatal = number % 10 == 9;
        let first = match is_fatal && rig.has_trouble {
            true => engine::FATAL.to_owned(),
            false => format!("f{:x}", number % 4),
        };
        let (name, sound) = (if is_fatal { "fe" } else { "50" }, sound.clone());
        threads.push(thread::spawn(move || {
            let is_served = draft_with(address, &format!("{name}{number:06x}"), &first, number);
            if !is_fatal {
                let mut sound = sound.lock().unwrap();
                sound.0 += 1;
                sound.1 += usize::from(is_served);
            }
        }));
        for (engine, options, ended_at) in &mut engines {
            if !engine.has_ended() {
                continue;
            }
            let ended_at = *ended_at.get_or_insert_with(Instant::now);
            if ended_at.elapsed() >= RESTART_TIME {
                options.born += 10_000;
                *engine = rig.engine(options)?;
            }
        }
        for (engine, _, ended_at) in &mut engines {
            if !engine.has_ended() {
                *ended_at = None;
            }
        }
        number += 1;
        let due = begun + Duration::from_millis(100) * u32::try_from(number).unwrap_or(0);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    for thread in threads {
        drop(thread.join());
    }
    let lines = rig.lines.lock().unwrap();
    let times = |begins: &str| -> Vec<Duration> {
        let with = lines.iter().filter(|(_, line)| line.starts_with(begins));
        with.map(|(at, _)| *at).collect()
    };
    let (crashes, arrivals) = (times("crashes on fe"), times("runs fe"));
    let fifth = crashes.get(4).copied();
    let late = arrivals
        .iter()
        .filter(|at| fifth.is_some_and(|fifth| **at > fifth + STABLE_WINDOW));
    let late = late.count();
    let (sent, served) = *sound.lock().unwrap();
    rig.record.note(format!(
        "{served} of {sent} sound drafts were served in full; endpoints crashed {} times",
        crashes.len()
    ));
    rig.record.note(format!(
        "BUDGET: {late} requests with the fatal part reached endpoints later than 4 s after the fifth crash ({LATE_REQUESTS} may)"
    ));
    Ok(late > LATE_REQUESTS)
}

/// The requests a second of the client with many parts, the parts of each, and the time for which it sends them.
const PARTS_RATE: u32 = 100;
const PARTS: u32 = 1_600;
const PARTS_TIME: Duration = Duration::from_secs(28);
/// The ordinary clients, each of which places one order after the other on its connection.
const ORDERING: usize = 6;

fn parts(rig: &Rig) -> Verdict {
    rig.store.put("keyed.op", "config", &configuration(7));
    let _engines = endpoints(rig)?;
    let mut fronts = rig.fronts(1, None)?;
    let address = fronts[0].front;
    let is_over = Arc::new(AtomicBool::new(false));
    let ordering: Vec<_> = (0..ORDERING)
        .map(|number| {
            let (is_over, record) = (is_over.clone(), rig.record.clone());
            thread::spawn(move || order_until(address, number, &is_over, &record))
        })
        .collect();
    let count = if rig.has_trouble { PARTS } else { 3 };
    rig.record.note(format!(
        "a client sends {PARTS_RATE} drafts a second, each with a prompt of {count} parts"
    ));
    let begun = Instant::now();
    let (mut number, mut unserved) = (0, 0);
    let mut is_killed = false;
    while begun.elapsed() < PARTS_TIME && !is_killed {
        let parts: Vec<String> = (0..count)
            .map(|part| format!("{:x}:1", number * 4096 + part))
            .collect();
        let fields = format!(
            "Model: m\r\nToken-Counts: {count},8\r\nPrompt-Prefix: {}\r\n",
            parts.join(",")
        );
        let request = head(
            "POST",
            "/notice/events/1/0",
            &format!("c{number}"),
            15_000,
            &fields,
            2,
        );
        let answer = Connection::connect(address)
            .and_then(|mut connection| connection.ask(&request, b"ok", Duration::from_secs(5)));
        unserved += u32::from(!answer.is_ok_and(|answer| answer.status() == 200));
        number += 1;
        let peak = fronts[0].peak_mb();
        if number % 200 == 0 {
            rig.record.note(format!("{number} drafts, {unserved} not served; the daemon's memory is {peak} MB at its peak"));
        }
        if peak > MEMORY_MB {
            rig.record.note(format!(
                "{number} drafts; the daemon's memory is over {MEMORY_MB} MB ({peak} MB): killed, as the platform does"
            ));
            fronts[0].kill();
            is_killed = true;
        }
        let due = begun + Duration::from_secs(1) * number / PARTS_RATE;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    is_over.store(true, Ordering::Relaxed);
    let ordered = ordering.into_iter().filter_map(|thread| thread.join().ok());
    let ordered = ordered.collect::<io::Result<Vec<bool>>>()?;
    let closed = ordered.iter().filter(|is_closed| **is_closed).count();
    rig.record.note(format!(
        "Fault: the daemon's memory went over its limit: {is_killed}; LOST: {closed} orders of {ORDERING} clients on kept connections ended with a closed connection and no answer (3 may)"
    ));
    Ok(is_killed && closed > 3)
}

/// Places orders that their endpoint works on for 1.5 s, one after the other on one connection; returns whether it was
/// closed without an answer.
fn order_until(
    address: SocketAddr,
    client: usize,
    is_over: &AtomicBool,
    record: &Record,
) -> io::Result<bool> {
    let mut connection = Connection::connect(address)?;
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return Ok(false);
        }
        let attempt = format!("a{client}x{number}");
        let request = head("POST", "/commit/work/1500", &attempt, 5000, "", 2);
        match connection.ask(&request, b"ok", Duration::from_secs(6)) {
            Ok(answer) if answer.status() == 200 => {}
            Ok(answer) => record.note(format!(
                "client: order {attempt} got status {}",
                answer.status()
            )),
            Err(_) => {
                record.note(format!(
                    "client: order {attempt}: the connection was closed without an answer"
                ));
                return Ok(number > 0);
            }
        }
    }
    Ok(false)
}
