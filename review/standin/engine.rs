//! Endpoints: engines that write streams, and endpoints of stages.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Head, response};
use crate::json::Json;
use crate::random::Random;
use crate::record::Record;
use crate::store::Store;

/// How often an endpoint writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long a result is kept after the end of its call.
const HANDLE_TIME: Duration = Duration::from_secs(4);

/// What a result was made of.
#[derive(Clone, Debug, PartialEq)]
pub struct Made {
    pub request: String,
    pub stage: usize,
    pub piece: usize,
}

struct Stored {
    made: Made,
    expires_at: Instant,
    is_freed: bool,
}

/// What all endpoints of a test share.
pub struct World {
    pub record: Arc<Record>,
    pub random: Random,
    results: Mutex<HashMap<String, Stored>>,
    /// What broke a rule.
    pub broken: Mutex<Vec<String>>,
    pub runs: AtomicUsize,
    pub troubles: AtomicUsize,
    /// The events of each stream that an engine made whole.
    pub events: usize,
    pub event_pause: Duration,
}

impl World {
    pub fn new(record: Arc<Record>, seed: u64, events: usize, event_pause: Duration) -> Arc<Self> {
        Arc::new(Self {
            record,
            random: Random::new(seed),
            results: Mutex::default(),
            broken: Mutex::default(),
            runs: AtomicUsize::new(0),
            troubles: AtomicUsize::new(0),
            events,
            event_pause,
        })
    }

    pub fn break_rule(&self, text: String) {
        self.record.line(format!("BROKEN {text}"));
        self.broken.lock().expect("no panic").push(text);
    }

    /// Returns what results are; none if one of them is gone.
    fn fetch(&self, handles: &[String]) -> Option<Vec<Made>> {
        let results = self.results.lock().expect("no panic");
        let made = |handle: &String| {
            let stored = results.get(handle)?;
            let is_held = !stored.is_freed && Instant::now() < stored.expires_at;
            is_held.then(|| stored.made.clone())
        };
        handles.iter().map(made).collect()
    }

    fn store(&self, made: Made, engine: SocketAddr) -> String {
        let handle = format!("{engine}/{}", self.random.hex());
        let stored = Stored {
            made,
            expires_at: Instant::now() + HANDLE_TIME,
            is_freed: false,
        };
        let mut results = self.results.lock().expect("no panic");
        results.insert(handle.clone(), stored);
        handle
    }

    fn free(&self, handles: &[Json]) {
        let mut results = self.results.lock().expect("no panic");
        for handle in handles.iter().filter_map(Json::text) {
            if let Some(stored) = results.get_mut(handle) {
                stored.is_freed = true;
            }
        }
    }
}

/// The stages of a route, as the configuration has them: which stages each one comes after.
pub type Stages = &'static [&'static [usize]];

/// What an endpoint does.
#[derive(Clone)]
pub enum Work {
    /// Writes streams for requests, whose route has these stages, of one piece each.
    Stream(Stages),
    /// Writes streams, but answers some requests with a failure whose body has no end: so many bytes a second.
    Endless(usize),
    /// Makes results.
    Stage {
        stages: Stages,
        call: Duration,
        item: Duration,
    },
}

pub struct Engine {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    work: Work,
    slots: usize,
    /// Running and waiting calls.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    /// The share of its answers that are troubled, in thousandths.
    pub trouble: AtomicU64,
    /// The version of its software.
    pub version: &'static str,
    /// Whether it has crashed: its connections are closed, and new ones are.
    pub is_crashed: AtomicBool,
    world: Arc<World>,
}

impl Engine {
    pub fn start(
        world: &Arc<World>,
        ip: IpAddr,
        service: &'static str,
        slots: usize,
        work: Work,
    ) -> Arc<Self> {
        Self::start_version(world, ip, (service, "v1"), slots, work)
    }

    /// Starts an endpoint with a version of its software.
    pub fn start_version(
        world: &Arc<World>,
        ip: IpAddr,
        (service, version): (&'static str, &'static str),
        slots: usize,
        work: Work,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let engine = Arc::new(Self {
            id: format!("i-{}", &world.random.hex()[..8]),
            service,
            address: listener.local_addr().expect("an address"),
            work,
            slots,
            load: Mutex::default(),
            freed: Condvar::new(),
            trouble: AtomicU64::new(0),
            version,
            is_crashed: AtomicBool::new(false),
            world: world.clone(),
        });
        let server = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.is_crashed.load(Ordering::SeqCst) {
                    // The listener goes, too: further connections are refused.
                    return;
                }
                let server = server.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        engine
    }

    /// Writes its entry to the store, and again and again.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>, zone: &'static str) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = since.expect("a clock after 1970").as_millis();
        let (engine, store) = (self.clone(), store.clone());
        let write = move |seq: u64| {
            let entry = format!(
                r#"{{"service":"{}","address":"{}","zone":"{zone}","version":"{}","slots":{},"state":"ready","cold_remaining_ms":0,"stage":"unified","models":[],"seq":{seq},"born":{born}}}"#,
                engine.service, engine.address, engine.version, engine.slots
            );
            store.write("keyed.servers", &engine.id, &entry);
        };
        write(1);
        let engine = self.clone();
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(HEARTBEAT);
                if engine.is_crashed.load(Ordering::SeqCst) {
                    return;
                }
                write(seq);
            }
        });
    }

    /// Ends without a word: its connections break, and new ones are refused.
    pub fn crash(&self) {
        self.world
            .record
            .line(format!("engine {} crashes", self.id));
        self.is_crashed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        drop(Connection::connect(self.address));
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        let mut late_copy: Option<Vec<u8>> = None;
        while let Some(head) = connection.head()? {
            let mut body = Vec::new();
            connection.body(&head, &mut body)?;
            if let Some(copy) = late_copy.take() {
                // An extra answer, late, at the point where the next one is expected.
                self.world.troubles.fetch_add(1, Ordering::SeqCst);
                let record = &self.world.record;
                record.line(format!(
                    "engine {} sends its last answer once more",
                    self.id
                ));
                connection.send(&copy)?;
            }
            if head.get("Expect-Instance").is_some_and(|id| id != self.id) {
                let fields = format!("Instance-Id: {}\r\n", self.id);
                connection.send(&response("421 Misdirected Request", &fields, b""))?;
                continue;
            }
            match &self.work {
                Work::Stream(stages) => return self.stream(&head, connection, stages),
                Work::Endless(rate) if self.is_troubled() => {
                    return self.endless(&head, connection, *rate);
                }
                Work::Endless(_) => return self.stream(&head, connection, &[]),
                Work::Stage { stages, call, item } => {
                    let answer =
                        self.run_call(&head, &body, &mut connection, stages, (*call, *item));
                    let Some(answer) = answer else {
                        return Ok(());
                    };
                    connection.send(&answer)?;
                    if head.target() == "/v1/stage-run" && self.is_troubled() {
                        late_copy = Some(answer);
                    }
                }
            }
            if head.get("Connection").is_some_and(|value| value == "close") {
                break;
            }
        }
        Ok(())
    }

    fn is_troubled(&self) -> bool {
        let share = self.trouble.load(Ordering::SeqCst) as f64 / 1000.0;
        share > 0.0 && self.world.random.share() < share
    }

    fn load_field(&self) -> String {
        let (running, waiting) = *self.load.lock().expect("no panic");
        format!("Instance-Load: {running},{waiting},{}\r\n", self.slots)
    }

    /// Takes a call of an endpoint of stages; returns its answer, or none if its caller has left.
    fn run_call(
        &self,
        head: &Head,
        body: &[u8],
        connection: &mut Connection,
        stages: Stages,
        (call, item): (Duration, Duration),
    ) -> Option<Vec<u8>> {
        let text = String::from_utf8_lossy(body);
        let json = Json::parse(&text).unwrap_or(Json::Null);
        let echoed = head.get("Attempt-Id");
        let echoed = echoed.map_or(String::new(), |id| format!("Attempt-Id: {id}\r\n"));
        let fields = format!("Content-Type: application/json\r\n{echoed}");
        if head.target() == "/v1/stage-free" {
            self.world.free(json.get("handles").map_or(&[], Json::list));
            return Some(response("200 OK", &fields, b"{}"));
        }
        let arrived = Instant::now();
        let mut load = self.load.lock().expect("no panic");
        if load.1 >= 2 {
            drop(load);
            let fields = format!("Not-Executed: 1\r\n{}", self.load_field());
            return Some(response("503 Service Unavailable", &fields, b""));
        }
        load.1 += 1;
        while load.0 >= self.slots {
            load = self.freed.wait(load).expect("no panic");
        }
        load.1 -= 1;
        if connection.is_closed() {
            self.freed.notify_one();
            return None;
        }
        load.0 += 1;
        drop(load);
        let waited = arrived.elapsed();
        let entries = json.get("entries").map_or(&[][..], Json::list);
        let mut outcomes = Vec::new();
        let mut runs = Vec::new();
        for entry in entries {
            match self.fetch_inputs(entry, stages, waited) {
                Ok(made) => {
                    runs.push(made.clone());
                    outcomes.push(Ok(made));
                }
                Err(reason) => outcomes.push(Err(reason)),
            }
        }
        thread::sleep(call + item * u32::try_from(runs.len()).unwrap_or(0));
        let outcomes: Vec<String> = outcomes
            .into_iter()
            .map(|outcome| match outcome {
                Ok(made) => {
                    let Made {
                        request,
                        stage,
                        piece,
                    } = made.clone();
                    let handle = self.world.store(made, self.address);
                    self.world.record.line(format!(
                        "engine {} made {handle}: request {request}, stage {stage}, piece {piece}",
                        self.id
                    ));
                    format!(r#"{{"handle":"{handle}"}}"#)
                }
                Err(reason) => format!(r#"{{"reason":"{reason}"}}"#),
            })
            .collect();
        self.load.lock().expect("no panic").0 -= 1;
        self.freed.notify_one();
        let body = format!(r#"{{"entries":[{}]}}"#, outcomes.join(","));
        let fields = format!("{fields}{}", self.load_field());
        Some(response("200 OK", &fields, body.as_bytes()))
    }

    fn fetch_inputs(
        &self,
        entry: &Json,
        stages: Stages,
        waited: Duration,
    ) -> Result<Made, &'static str> {
        let number = |name| entry.get(name).and_then(Json::number);
        let made = Made {
            request: entry
                .get("id")
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned(),
            stage: number("stage").unwrap_or_default() as usize,
            piece: number("piece").unwrap_or_default() as usize,
        };
        if number("remaining_ms").is_some_and(|left| left < waited.as_millis() as f64) {
            return Err("late");
        }
        let Some(inputs) = entry.get("inputs") else {
            return Ok(made);
        };
        let text = |handle: &Json| handle.text().map(str::to_owned);
        let handles: Vec<String> = inputs.list().iter().filter_map(text).collect();
        let inputs = self.world.fetch(&handles).ok_or("gone")?;
        let after = stages.get(made.stage).copied().unwrap_or(&[]);
        self.check_inputs(
            &made.request,
            &format!("stage {}", made.stage),
            after,
            &inputs,
        );
        Ok(made)
    }

    /// Checks that the inputs are one result of each of these stages, all of the same request.
    fn check_inputs(&self, request: &str, what: &str, stages: &[usize], inputs: &[Made]) {
        let wanted = stages.iter().map(|stage| Made {
            request: request.to_owned(),
            stage: *stage,
            piece: 0,
        });
        let wanted: Vec<Made> = wanted.collect();
        let has =
            |list: &[Made], made: &Made| list.iter().filter(|other| *other == made).count() == 1;
        let is_right = inputs.len() == wanted.len() && wanted.iter().all(|made| has(inputs, made));
        if !is_right {
            let given = inputs.iter();
            let given = given.map(|made| format!("request {} stage {}", made.request, made.stage));
            let given: Vec<String> = given.collect();
            self.world.break_rule(format!(
                "MIXED engine {}: {what} of request {request} is given results of {}",
                self.id,
                given.join(" and ")
            ));
        }
    }

    /// Fails a request, with bytes without end until the caller closes.
    fn endless(&self, head: &Head, mut connection: Connection, rate: usize) -> io::Result<()> {
        let id = head.get("Attempt-Id").unwrap_or_default().to_owned();
        let record = &self.world.record;
        self.world.troubles.fetch_add(1, Ordering::SeqCst);
        record.line(format!(
            "engine {} fails {id}, with bytes without end",
            self.id
        ));
        let fields = format!(
            "Attempt-Id: {id}\r\nResponse-Seal: seal.{}\r\n{}Connection: close\r\n",
            self.id,
            self.load_field()
        );
        let head = format!("HTTP/1.1 500 Internal Server Error\r\n{fields}\r\n");
        let began = Instant::now();
        let mut sent = connection.send(head.as_bytes());
        let bytes = vec![b'x'; rate / 20];
        let mut size = 0;
        while sent.is_ok() {
            sent = connection.send(&bytes);
            size += bytes.len();
            thread::sleep(Duration::from_millis(50));
        }
        record.line(format!(
            "engine {} is left by the caller of {id} after {size} bytes and {:.1} s",
            self.id,
            began.elapsed().as_secs_f64()
        ));
        Ok(())
    }

    /// Runs a request and writes its events.
    fn stream(&self, head: &Head, mut connection: Connection, stages: Stages) -> io::Result<()> {
        let id = head.get("Attempt-Id").unwrap_or_default().to_owned();
        let final_stages: Vec<usize> = (0..stages.len())
            .filter(|stage| !stages.iter().any(|after| after.contains(stage)))
            .collect();
        if !final_stages.is_empty() {
            let inputs = head.get("Inputs").unwrap_or_default();
            if inputs.is_empty() {
                return connection.send(&response("400 Bad Request", "Not-Executed: 1\r\n", b""));
            }
            let handles: Vec<String> = inputs
                .split(',')
                .map(|text| text.trim().to_owned())
                .collect();
            let Some(inputs) = self.world.fetch(&handles) else {
                return connection.send(&response("409 Conflict", "Not-Executed: 1\r\n", b""));
            };
            self.check_inputs(&id, "the run", &final_stages, &inputs);
        }
        self.world.runs.fetch_add(1, Ordering::SeqCst);
        let is_unframed = matches!(self.work, Work::Stream(_)) && self.is_troubled();
        let first = head
            .get("Last-Event-Id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
            + 1;
        let framing = if is_unframed {
            self.world.troubles.fetch_add(1, Ordering::SeqCst);
            "Connection: close\r\n"
        } else {
            "Transfer-Encoding: chunked\r\n"
        };
        let kind = if is_unframed {
            "without a length"
        } else {
            "in chunks"
        };
        let record = &self.world.record;
        record.line(format!(
            "engine {} of version {} runs {id} from event {first}, {kind}",
            self.id, self.version
        ));
        let fields = format!(
            "Attempt-Id: {id}\r\nResponse-Seal: seal.{}\r\nContent-Type: text/event-stream\r\n{}",
            self.id,
            self.load_field()
        );
        thread::sleep(Duration::from_millis(60));
        connection.send(format!("HTTP/1.1 200 OK\r\n{fields}{framing}\r\n").as_bytes())?;
        for event in first..=self.world.events {
            let is_last = event == self.world.events;
            if self.is_crashed.load(Ordering::SeqCst) {
                return Ok(());
            }
            let what = if is_last { "end" } else { "more" };
            let text = format!("id: {event}\ndata: {} {id} {what}\n\n", self.version);
            let sent = if is_unframed {
                connection.send(text.as_bytes())
            } else {
                connection.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            };
            if let Err(error) = sent {
                record.line(format!(
                    "engine {} stops {id} at event {event}: {error}",
                    self.id
                ));
                return Ok(());
            }
            if !is_last {
                thread::sleep(self.world.event_pause);
            }
        }
        record.line(format!("engine {} has made all events of {id}", self.id));
        if !is_unframed {
            connection.send(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}
