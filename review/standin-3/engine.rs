//! Engines: model engines that stream events, and engines of a stage that keep results. One can be ended, and started
//! again under its id, at its address.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{Head, Wire, sleep_unless};
use crate::record::Record;
use crate::store::Store;

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// What an engine serves.
#[derive(Clone, Copy, PartialEq)]
pub enum Kind {
    /// Streams of so many events, one each `gap`.
    Model { events: u64, gap: Duration },
    /// Plain requests, each of which takes some time. It may say of how many a second it takes.
    Plain { time: Duration, limit: Option<f64> },
    /// Pieces of stages. Results are numbered from 1 in each life of the engine.
    Stage,
}

/// Where results of stages lie: by handle, the attempt for which each was made.
pub type Results = Arc<Mutex<BTreeMap<String, String>>>;

struct Life {
    version: String,
    born: u64,
    is_over: Arc<AtomicBool>,
    connections: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
    made: AtomicU64,
}

pub struct Engine {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    kind: Kind,
    store: Arc<Store>,
    results: Results,
    life: Mutex<Option<Arc<Life>>>,
    seq: AtomicU64,
    /// When each plain request reached the engine.
    pub arrivals: Mutex<Vec<Instant>>,
    record: Arc<Record>,
}

impl Engine {
    /// Makes an engine that does not run yet.
    pub fn new(
        id: &str,
        service: &str,
        kind: Kind,
        store: &Arc<Store>,
        results: &Results,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for an engine");
        let address = listener.local_addr().expect("its address");
        Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            kind,
            store: store.clone(),
            results: results.clone(),
            life: Mutex::new(None),
            seq: AtomicU64::new(0),
            arrivals: Mutex::default(),
            record: record.clone(),
        })
    }

    /// Starts a life of the engine with some software, and has it register about every 1.2 s.
    pub fn start(self: &Arc<Self>, version: &str) {
        let listener = TcpListener::bind(self.address).expect("the address of the engine");
        let life = Arc::new(Life {
            version: version.to_owned(),
            born: unix_ms(),
            is_over: Arc::default(),
            connections: Arc::default(),
            made: AtomicU64::new(0),
        });
        self.seq.store(0, Ordering::SeqCst);
        *self.life.lock().unwrap() = Some(life.clone());
        self.record.line(&format!(
            "engine {} starts: version {version}, born {}",
            self.id, life.born
        ));
        let (engine, beating) = (self.clone(), life.clone());
        std::thread::spawn(move || {
            while !beating.is_over.load(Ordering::SeqCst) {
                engine.register(&beating);
                sleep_unless(&beating.is_over, Duration::from_millis(1_200));
            }
        });
        let engine = self.clone();
        listener.set_nonblocking(true).unwrap();
        std::thread::spawn(move || {
            let mut number = 0;
            while !life.is_over.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                number += 1;
                let clone = stream.try_clone().unwrap();
                life.connections.lock().unwrap().insert(number, clone);
                let (engine, life) = (engine.clone(), life.clone());
                std::thread::spawn(move || {
                    engine.serve(Wire::new(stream), &life);
                    life.connections.lock().unwrap().remove(&number);
                });
            }
        });
    }

    fn register(&self, life: &Life) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let Life { version, born, .. } = life;
        let (service, address) = (&self.service, self.address);
        let slots = if self.kind == Kind::Stage { 1 } else { 64 };
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"z","version":"{version}","slots":{slots},"state":"ready","cold_remaining_ms":0,"seq":{seq},"born":{born}}}"#
        );
        self.store.put("keyed.servers", &self.id, &entry);
    }

    /// Ends the engine: its connections close, and nothing listens any more.
    pub fn end(&self) {
        let Some(life) = self.life.lock().unwrap().take() else {
            return;
        };
        life.is_over.store(true, Ordering::SeqCst);
        self.results
            .lock()
            .unwrap()
            .retain(|handle, _| !handle.starts_with(&format!("{}/", self.address)));
        for connection in life.connections.lock().unwrap().values() {
            drop(connection.shutdown(std::net::Shutdown::Both));
        }
        self.record.line(&format!(
            "engine {} ends: version {}",
            self.id, life.version
        ));
        // Its listener is gone before it may start again.
        std::thread::sleep(Duration::from_millis(20));
    }

    fn serve(&self, mut wire: Wire, life: &Arc<Life>) {
        while let Some(head) = wire.head() {
            let Some(body) = wire.body(&head) else { return };
            if life.is_over.load(Ordering::SeqCst)
                || self.respond(&mut wire, life, &head, &body).is_none()
            {
                return;
            }
            if head
                .get("Connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"))
            {
                wire.close();
                return;
            }
        }
    }

    fn respond(&self, wire: &mut Wire, life: &Arc<Life>, head: &Head, body: &[u8]) -> Option<()> {
        let id = &self.id;
        if head
            .get("Expect-Instance")
            .is_some_and(|expected| expected != id)
        {
            return wire.answer(
                "421 Misdirected Request",
                &format!("Instance-Id: {id}\r\n"),
                b"",
            );
        }
        match head.word(1) {
            "/v1/report" => {
                let born = life.born;
                let report = format!(
                    r#"{{"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":1,"waiting":0,"running":0,"kv_used":0,"kv_total":1000000,"handles":0,"free_mb":100,"born":{born}}}"#
                );
                wire.answer(
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    report.as_bytes(),
                )
            }
            "/health" => wire.answer(
                "200 OK",
                &format!("Instance-Id: {id}\r\nInstance-Load: 0,0,8\r\n"),
                b"",
            ),
            "/v1/stage-run" => self.run_pieces(wire, life, body),
            "/v1/stage-free" => {
                let text = String::from_utf8_lossy(body);
                let handles = text.split('"').filter(|part| part.contains('/'));
                let mut results = self.results.lock().unwrap();
                handles.for_each(|handle| drop(results.remove(handle)));
                drop(results);
                wire.answer("200 OK", "", b"")
            }
            _ => self.run_request(wire, life, head),
        }
    }

    /// Makes the pieces of a call, whose entries are objects that begin with an id.
    fn run_pieces(&self, wire: &mut Wire, life: &Arc<Life>, body: &[u8]) -> Option<()> {
        let text = String::from_utf8_lossy(body).into_owned();
        let ids = text
            .split(r#""id":""#)
            .skip(1)
            .map(|rest| rest.split('"').next().unwrap_or_default());
        let ids: Vec<&str> = ids.collect();
        sleep_unless(&life.is_over, Duration::from_millis(100)).then_some(())?;
        let mut entries = Vec::new();
        for attempt in ids {
            let number = life.made.fetch_add(1, Ordering::SeqCst) + 1;
            let handle = format!("{}/{number:x}", self.address);
            self.results
                .lock()
                .unwrap()
                .insert(handle.clone(), attempt.to_owned());
            self.record
                .line(&format!("engine {} makes {handle} for {attempt}", self.id));
            entries.push(format!(r#"{{"handle":"{handle}"}}"#));
            let (results, kept) = (self.results.clone(), handle);
            let (owner, over) = (attempt.to_owned(), life.is_over.clone());
            std::thread::spawn(move || {
                // A result is kept for `handle_s` after its call.
                if sleep_unless(&over, Duration::from_secs(4)) {
                    let mut results = results.lock().unwrap();
                    if results.get(&kept) == Some(&owner) {
                        results.remove(&kept);
                    }
                }
            });
        }
        let answer = format!(r#"{{"entries":[{}]}}"#, entries.join(","));
        wire.answer(
            "200 OK",
            "Content-Type: application/json\r\n",
            answer.as_bytes(),
        )
    }

    fn run_request(&self, wire: &mut Wire, life: &Arc<Life>, head: &Head) -> Option<()> {
        let attempt = head.get("Attempt-Id").unwrap_or_default().to_owned();
        if let Kind::Plain { time, limit } = self.kind {
            self.arrivals.lock().unwrap().push(Instant::now());
            sleep_unless(&life.is_over, time).then_some(())?;
            let id = &self.id;
            let limit = limit.map_or(String::new(), |limit| format!("Server-Limit: {limit}\r\n"));
            let fields = format!("Attempt-Id: {attempt}\r\nResponse-Seal: {id}.x\r\n{limit}");
            return wire.answer("200 OK", &fields, b"{}");
        }
        let Kind::Model { events, gap } = self.kind else {
            return wire.answer("404 Not Found", "", b"");
        };
        let refused = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
        let mut owners = Vec::new();
        for handle in head
            .get("Inputs")
            .unwrap_or_default()
            .split(',')
            .filter(|handle| !handle.is_empty())
        {
            let Some(owner) = self.results.lock().unwrap().get(handle).cloned() else {
                self.record.line(&format!(
                    "engine {} finds no {handle} for {attempt}: 409",
                    self.id
                ));
                return wire.answer("409 Conflict", &refused, b"");
            };
            owners.push((handle.to_owned(), owner));
        }
        for (handle, owner) in &owners {
            self.record.input(&attempt, handle, owner);
        }
        let after: u64 = head
            .get("Last-Event-Id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let version = &life.version;
        self.record.line(&format!(
            "engine {} ({version}) runs {attempt} after event {after}",
            self.id
        ));
        let fields = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {}.{version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        wire.send(fields.as_bytes())?;
        for number in after + 1..=events {
            sleep_unless(&life.is_over, gap).then_some(())?;
            let event = format!("id: {number}\ndata: {version} {}\n\n", self.id);
            wire.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        wire.send(b"0\r\n\r\n")
    }
}
