//! The cases.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::engine::Kind;
use crate::system::{Answer, Event, Front, Resumed, Stream, ask, draft, order};
use crate::{Rig, Verdict};

const STREAM: Kind = Kind::Model {
    events: 100,
    gap: Duration::from_millis(100),
};

fn versions(answer: &Answer) -> BTreeSet<&str> {
    answer
        .events
        .iter()
        .map(|event| event.version.as_str())
        .collect()
}

/// Half the engines, those of one software version, are replaced by newer software, one after the other and each under
/// its id at its address. Clients take up again what breaks off.
pub fn in_place(rig: &Rig) -> Verdict {
    rig.configure("", "");
    let ids = [
        ("i-e1", "v1"),
        ("i-e2", "v1"),
        ("i-e3", "v0"),
        ("i-e4", "v0"),
    ];
    let engines: Vec<_> = ids
        .iter()
        .map(|(id, version)| rig.engine(id, "model", STREAM, version))
        .collect();
    let gate = rig.store.gate();
    let front = Arc::new(Front::start(1, 0.25, &gate, &rig.directory, &rig.record));
    if !front.wait_ready() {
        return Verdict::NotRun("the process was not ready");
    }
    rig.wait(5.0);
    let streams: Vec<_> = (0..60).map(|number| take_up(rig, &front, number)).collect();
    rig.wait(0.5);
    if rig.has_trouble {
        for engine in &engines[..2] {
            engine.end();
            rig.wait(0.8);
            rig.restart(engine, "v2");
            rig.wait(0.2);
        }
    }
    let streams: Vec<Vec<Event>> = streams
        .into_iter()
        .map(|stream| stream.join().unwrap())
        .collect();
    if front.has_ended() {
        return Verdict::NotRun("the process has ended");
    }
    let mut mixed = 0;
    for (number, events) in streams.iter().enumerate() {
        let versions: BTreeSet<&str> = events.iter().map(|event| event.version.as_str()).collect();
        let engines: BTreeSet<&str> = events.iter().map(|event| event.engine.as_str()).collect();
        rig.record.line(&format!(
            "a{number:04x}: versions {versions:?} from {engines:?}"
        ));
        mixed += usize::from(versions.len() > 1);
    }
    rig.record.line(&format!(
        "streams with events of two versions: {mixed} of {}; more than 2 break ORDER",
        streams.len()
    ));
    if streams.iter().filter(|events| !events.is_empty()).count() < 12 {
        return Verdict::NotRun("too few streams began");
    }
    if mixed > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Begins a stream and, where it breaks off, takes it up again at the same machine. Returns its events.
fn take_up(rig: &Rig, front: &Arc<Front>, number: u32) -> JoinHandle<Vec<Event>> {
    std::thread::sleep(Duration::from_millis(15));
    let (front, record) = (front.clone(), rig.record.clone());
    std::thread::spawn(move || {
        let first = format!("a{number:04x}");
        let answer = Stream::begin(&front, &first, "", None, &record).wait();
        let (mut is_complete, mut events) = (answer.is_complete, answer.events);
        for attempt in 1..6 {
            let Some(last) = events.last().filter(|_| !is_complete) else {
                break;
            };
            std::thread::sleep(Duration::from_millis(300));
            let resumed = Resumed {
                attempt: &first,
                after: last.number,
            };
            let name = format!("a{number:04x}{attempt:02x}");
            let answer = Stream::begin(&front, &name, "", Some(&resumed), &record).wait();
            is_complete = answer.is_complete && answer.status == 200;
            events.extend(answer.events);
        }
        events
    })
}

/// A machine is cut off from the store, and killed some seconds later; its clients take their streams up at the other one.
pub fn unrecorded(rig: &Rig) -> Verdict {
    rig.configure("", "");
    let ids = [
        ("i-e1", "v1"),
        ("i-e2", "v1"),
        ("i-e3", "v2"),
        ("i-e4", "v2"),
    ];
    let _engines: Vec<_> = ids
        .iter()
        .map(|(id, version)| rig.engine(id, "model", STREAM, version))
        .collect();
    let (gate, other_gate) = (rig.store.gate(), rig.store.gate());
    let front = Front::start(1, 0.25, &gate, &rig.directory, &rig.record);
    let other = Front::start(2, 0.5, &other_gate, &rig.directory, &rig.record);
    if !front.wait_ready() || !other.wait_ready() {
        return Verdict::NotRun("a process was not ready");
    }
    rig.wait(6.0);
    if rig.has_trouble {
        rig.cut(&gate, true);
    }
    rig.wait(0.5);
    let mut streams = rig.streams(&front, "b", 24, |_| String::new());
    rig.wait(2.5);
    front.kill();
    let mut fresh = Vec::new();
    let mut resumed = Vec::new();
    for (number, stream) in streams.iter_mut().enumerate() {
        let answer = stream.wait();
        let Some(last) = answer.events.last() else {
            continue;
        };
        let taken_up = Resumed {
            attempt: &stream.attempt,
            after: last.number,
        };
        resumed.push((
            Stream::begin(
                &other,
                &format!("c{number:04x}"),
                "",
                Some(&taken_up),
                &rig.record,
            ),
            answer,
        ));
        fresh.push(Stream::begin(
            &other,
            &format!("d{number:04x}"),
            "",
            None,
            &rig.record,
        ));
        std::thread::sleep(Duration::from_millis(15));
    }
    let count = resumed.len();
    let mut goes_on = 0;
    for (stream, before) in &mut resumed {
        let answer = stream.wait();
        goes_on += usize::from(!answer.events.is_empty());
        if !answer.events.is_empty() && versions(&answer) != versions(before) {
            rig.record
                .line(&format!("{} goes on at another version", stream.attempt));
        }
    }
    let begun = fresh
        .iter_mut()
        .filter_map(|stream| (!stream.wait().events.is_empty()).then_some(()))
        .count();
    rig.record.line(&format!(
        "taken up again: {count}, of which {goes_on} go on; new streams there: {}, of which {begun} begin",
        fresh.len()
    ));
    if count < 12 || begun < 12 || other.has_ended() {
        return Verdict::NotRun("too few streams");
    }
    if goes_on * fresh.len() * 2 < begun * count {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The engine of a stage crashes and starts again under its id, while streams run whose inputs it made. Then a model
/// engine crashes, and its streams go on at another one.
pub fn next_life(rig: &Rig) -> Verdict {
    rig.configure(
        r#"{"service":"stage","after":[],"bytes":8000}"#,
        r#",{"name":"stage","health_path":"/health","max_conns":600,"protocol":"h1","tls":false,"pieces":{"slots":1,"queue":2,"batch":8,"call_ms":100,"item_ms":5,"headroom_mb":46.0,"handle_s":4.0,"link_mbps":10000}}"#,
    );
    let models: Vec<_> = ["i-m1", "i-m2", "i-m3", "i-m4"]
        .iter()
        .map(|id| rig.engine(id, "model", STREAM, "v1"))
        .collect();
    let stages: Vec<_> = ["i-k1", "i-k2", "i-k3", "i-k4"]
        .iter()
        .map(|id| rig.engine(id, "stage", Kind::Stage, "v1"))
        .collect();
    let gate = rig.store.gate();
    let front = Front::start(1, 0.25, &gate, &rig.directory, &rig.record);
    if !front.wait_ready() {
        return Verdict::NotRun("the process was not ready");
    }
    rig.wait(5.0);
    let staged = |attempt: &str| format!("Pieces: 1\r\nPiece-Key: 7c1e{attempt}\r\n");
    let mut first = rig.streams(&front, "a", 48, staged);
    rig.wait(1.0);
    if rig.has_trouble {
        stages[0].end();
    }
    rig.wait(1.5);
    if rig.has_trouble {
        rig.restart(&stages[0], "v1");
    }
    rig.wait(2.0);
    let mut second = rig.streams(&front, "b", 48, staged);
    rig.wait(1.0);
    models[0].end();
    rig.wait(2.0);
    rig.restart(&models[0], "v1");
    let answers: Vec<Answer> = first
        .iter_mut()
        .chain(&mut second)
        .map(Stream::wait)
        .collect();
    let served = answers
        .iter()
        .filter(|answer| !answer.events.is_empty())
        .count();
    let foreign = rig.record.foreign.lock().unwrap().len();
    rig.record.line(&format!(
        "requests that got inputs of others: {foreign}; served: {served} of 96"
    ));
    if served < 48 || front.has_ended() {
        return Verdict::NotRun("too few streams began");
    }
    if foreign > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Machines are removed for good, one by one, and others take their place at new addresses. An engine in need names a
/// limit.
pub fn removed(rig: &Rig) -> Verdict {
    const REMOVED: u8 = 16;
    const LIMIT: f64 = 10.0;
    rig.configure("", "");
    let engine = rig.engine(
        "i-o1",
        "office",
        Kind::Plain {
            time: Duration::from_millis(5),
            limit: Some(LIMIT),
        },
        "v1",
    );
    let gate = rig.store.gate();
    let start =
        |number, cpu_share| Front::start(number, cpu_share, &gate, &rig.directory, &rig.record);
    let mut old: Vec<Front> = Vec::new();
    for number in 0..REMOVED {
        let front = start(100 + number, 0.5);
        if !front.wait_ready() {
            return Verdict::NotRun("a process was not ready");
        }
        old.push(front);
        rig.wait(0.3);
        if number >= 3 && rig.has_trouble {
            old[usize::from(number) - 3].remove();
        }
    }
    let new = [start(1, 0.25), start(2, 0.25), start(3, 0.25)];
    if rig.has_trouble {
        old[usize::from(REMOVED) - 3..]
            .iter()
            .for_each(Front::remove);
    }
    if !new.iter().all(Front::wait_ready) {
        return Verdict::NotRun("a process was not ready");
    }
    let began = Instant::now();
    let clients: Vec<_> = new
        .iter()
        .enumerate()
        .flat_map(|(machine, front)| (0..5).map(move |client| (machine, client, front.address)))
        .map(|(machine, client, address)| {
            std::thread::spawn(move || {
                let mut statuses = Vec::new();
                for number in 0.. {
                    if began.elapsed() > Duration::from_secs(40) {
                        break;
                    }
                    statuses.push(ask(address, &format!("f{machine}{client}{number:04x}")));
                    std::thread::sleep(Duration::from_millis(250));
                }
                statuses
            })
        })
        .collect();
    let mut counts = std::collections::BTreeMap::new();
    for client in clients {
        for status in client.join().unwrap() {
            *counts.entry(status.unwrap_or(0)).or_insert(0) += 1;
        }
    }
    rig.record.line(&format!("answers by status: {counts:?}"));
    let arrivals = engine.arrivals.lock().unwrap().clone();
    let Some(first) = arrivals.first() else {
        return Verdict::NotRun("nothing reached the engine");
    };
    for second in 0..40 {
        let from = *first + Duration::from_secs(second);
        let count = arrivals
            .iter()
            .filter(|at| **at >= from && **at < from + Duration::from_secs(1))
            .count();
        rig.record.line(&format!(
            "the engine gets {count} requests in second {second}"
        ));
    }
    // From `stable_window_ms` after the first answer that named the limit.
    let counted: Vec<Instant> = arrivals
        .iter()
        .copied()
        .filter(|at| *at >= *first + Duration::from_secs(4))
        .collect();
    let window = |at: &Instant| {
        counted
            .iter()
            .filter(|other| *other >= at && **other < *at + Duration::from_secs(4))
            .count()
    };
    let most = counted.iter().map(window).max().unwrap_or(0);
    let allowed = 1.5 * LIMIT * 4.0 + 5.0;
    rig.record.line(&format!(
        "most requests in 4 s: {most}; more than {allowed} break LIMIT"
    ));
    if new.iter().any(Front::has_ended) || arrivals.len() < 100 {
        return Verdict::NotRun("too few requests");
    }
    if most as f64 > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// One client sends drafts whose own part of the prompt has a long name. Others send orders on kept connections.
pub fn long_names(rig: &Rig) -> Verdict {
    const MEMORY_MB: u64 = 260;
    rig.configure("", "");
    let draft_kind = Kind::Model {
        events: 1,
        gap: Duration::from_millis(1),
    };
    let order_kind = Kind::Plain {
        time: Duration::from_secs(1),
        limit: None,
    };
    let ids = ["i-e1", "i-e2", "i-e3", "i-e4"];
    let _models: Vec<_> = ids
        .iter()
        .map(|id| rig.engine(id, "model", draft_kind, "v1"))
        .collect();
    let _plain: Vec<_> = ["i-o1", "i-o2"]
        .iter()
        .map(|id| rig.engine(id, "office", order_kind, "v1"))
        .collect();
    let gate = rig.store.gate();
    let front = Front::start(1, 0.25, &gate, &rig.directory, &rig.record);
    if !front.wait_ready() {
        return Verdict::NotRun("the process was not ready");
    }
    rig.wait(3.0);
    let address = front.address;
    let (is_over, drafts) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let length = if rig.has_trouble { 14_500 } else { 16 };
    let senders: Vec<_> = (0..16u64)
        .map(|connection| {
            let (is_over, drafts) = (is_over.clone(), drafts.clone());
            std::thread::spawn(move || {
                let mut wire = None;
                for number in 0u64.. {
                    let began = Instant::now();
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("c{connection:02x}{number:06x}");
                    if draft(
                        &mut wire,
                        address,
                        &id,
                        &format!("{id}{}", "0".repeat(length - id.len())),
                    ) == Some(200)
                    {
                        drafts.fetch_add(1, Ordering::SeqCst);
                    }
                    // 320 drafts a second over all connections.
                    std::thread::sleep(Duration::from_millis(50).saturating_sub(began.elapsed()));
                }
            })
        })
        .collect();
    let clients: Vec<_> = (0..8)
        .map(|client| {
            let (is_over, record) = (is_over.clone(), rig.record.clone());
            std::thread::spawn(move || {
                let (mut wire, mut answered, mut lost) = (None, 0u32, 0u32);
                for number in 0u32.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("d{client}{number:04x}");
                    let is_kept = wire.is_some();
                    match order(&mut wire, address, &id) {
                        Some(200) => answered += 1,
                        Some(status) => record.line(&format!("order {id}: status {status}")),
                        None if is_kept => {
                            record.line(&format!(
                                "order {id}: its kept connection was closed without an answer"
                            ));
                            lost += 1;
                            break;
                        }
                        None => break,
                    }
                }
                (answered, lost)
            })
        })
        .collect();
    let began = Instant::now();
    let mut most = 0;
    while began.elapsed() < Duration::from_secs(90) {
        rig.wait(0.1);
        let memory = front.memory_mb();
        if memory / 20 > most / 20 {
            let drafts = drafts.load(Ordering::SeqCst);
            rig.record
                .line(&format!("{memory} MB after {drafts} drafts"));
        }
        most = most.max(memory);
        if memory > MEMORY_MB {
            rig.record.line(&format!(
                "over {MEMORY_MB} MB: the platform kills the process"
            ));
            front.kill();
            break;
        }
    }
    is_over.store(true, Ordering::SeqCst);
    senders.into_iter().for_each(|sender| drop(sender.join()));
    let orders: Vec<(u32, u32)> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    let answered: u32 = orders.iter().map(|(answered, _)| answered).sum();
    let lost: u32 = orders.iter().map(|(_, lost)| lost).sum();
    let drafts = drafts.load(Ordering::SeqCst);
    rig.record.line(&format!(
        "drafts served: {drafts}; most memory: {most} MB; orders answered: {answered}"
    ));
    rig.record.line(&format!(
        "orders on kept connections without an answer: {lost}; more than 3 break LOST"
    ));
    if answered < 8 || drafts < 1_000 {
        return Verdict::NotRun("too few requests");
    }
    if lost > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
