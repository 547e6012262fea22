//! An endpoint of any service, as a process of its own. It registers in the store every 1.2 s, and the path of a
//! request says what it does with it:
//!
//! - `.../work/MS` answers after some time, with a length;
//! - `.../unframed/EVENTS/MS` sends events at an interval, and ends the answer with its connection;
//! - `.../events/EVENTS/MS` does the same, in chunks, and goes on after `Last-Event-Id`;
//! - anything else is answered at once.
//!
//! Where a prompt has the part `FATAL`, it ends a moment after it has begun to write the answer.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Connection, Message, answer};
use crate::store::keyed;

/// The interval between entries, the platform's `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The fixed time of a call of a stage, and the time of each of its pieces.
const CALL: Duration = Duration::from_millis(150);
const PIECE: Duration = Duration::from_millis(13);

/// The part of a prompt that ends each endpoint that begins to write an answer on it.
pub const FATAL: &str = "badbad";

/// What an endpoint is started with.
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where others reach it.
    pub address: SocketAddr,
    pub store: SocketAddr,
    pub born: u64,
    /// The version of its software.
    pub version: String,
    /// How long it runs before its first entry, in milliseconds.
    pub silent_ms: u64,
}

impl Options {
    pub fn arguments(&self) -> Vec<String> {
        vec![
            self.id.clone(),
            self.service.clone(),
            self.zone.clone(),
            self.listen.to_string(),
            self.address.to_string(),
            self.store.to_string(),
            self.born.to_string(),
            self.version.clone(),
            self.silent_ms.to_string(),
        ]
    }

    pub fn parse(arguments: &[String]) -> Option<Self> {
        let [
            id,
            service,
            zone,
            listen,
            address,
            store,
            born,
            version,
            silent_ms,
        ] = arguments
        else {
            return None;
        };
        Some(Self {
            id: id.clone(),
            service: service.clone(),
            zone: zone.clone(),
            listen: listen.parse().ok()?,
            address: address.parse().ok()?,
            store: store.parse().ok()?,
            born: born.parse().ok()?,
            version: version.clone(),
            silent_ms: silent_ms.parse().ok()?,
        })
    }

    fn entry(&self, seq: u64) -> String {
        let Self {
            service,
            address,
            zone,
            born,
            version,
            ..
        } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":128,"state":"ready","cold_remaining_ms":0,"seq":{seq},"born":{born}}}"#
        )
    }
}

/// Runs until the process is killed. Each line of its output is for the record.
pub fn run(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind(options.listen)?;
    println!("starts, born {}", options.born);
    let options = Arc::new(options);
    let registering = options.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(registering.silent_ms));
        for seq in 1.. {
            let record = keyed(&registering.id, &registering.entry(seq));
            let size = (record.len() as u32).to_be_bytes();
            let body = [&size[..], &record].concat();
            let target = "/v1/log-append?topic=keyed.servers&part=0";
            if http::call(registering.store, "POST", target, &body).is_ok() && seq == 1 {
                println!("is registered");
            }
            thread::sleep(HEARTBEAT);
        }
    });
    let results = Arc::new(Results::default());
    for stream in listener.incoming().flatten() {
        let (options, results) = (options.clone(), results.clone());
        thread::spawn(move || drop(serve(&options, &results, stream)));
    }
    Ok(())
}

fn serve(options: &Options, results: &Results, stream: TcpStream) -> io::Result<()> {
    let mut connection = Connection::new(stream);
    while let Some(mut request) = connection.head()? {
        connection.body(&mut request, false)?;
        respond(options, results, &mut connection.stream, &request)?;
        if request.get("Connection") == Some("close") {
            return Ok(());
        }
    }
    Ok(())
}

/// The path of a result at its maker.
const RESULT: &str = "/result/";
/// The calls that one endpoint takes at once: one that runs, and two that wait.
const MAX_CALLS: usize = 3;

/// The results of this process. It knows nothing of those of an earlier one, and numbers its own from 0.
#[derive(Default)]
struct Results {
    /// The request, stage and piece of each result, by its number.
    owners: Mutex<HashMap<String, String>>,
    made: Mutex<u64>,
    /// Held by the call that runs.
    running: Mutex<()>,
    calls: Mutex<usize>,
}

impl Results {
    fn owner(&self, number: &str) -> Option<String> {
        self.owners.lock().unwrap().get(number).cloned()
    }

    fn add(&self, owner: String) -> String {
        let mut made = self.made.lock().unwrap();
        let number = format!("{:x}", *made);
        *made += 1;
        self.owners.lock().unwrap().insert(number.clone(), owner);
        number
    }

    fn free(&self, body: &str) {
        let mut owners = self.owners.lock().unwrap();
        for handle in body.split('"').filter(|text| text.contains('/')) {
            let (_, number) = handle.rsplit_once('/').unwrap_or_default();
            owners.remove(number);
        }
    }
}

/// One entry of a call.
struct Entry {
    request: String,
    stage: String,
    piece: String,
    inputs: Vec<String>,
}

fn entries(body: &str) -> Vec<Entry> {
    let value = |text: &str, name: &str| {
        let (_, rest) = text.split_once(&format!("\"{name}\":")).unwrap_or_default();
        let end = rest.find([',', '}']).unwrap_or(rest.len());
        rest[..end].trim_matches('"').to_owned()
    };
    let entry = |text: &str| {
        let (_, inputs) = text.split_once("\"inputs\":[").unwrap_or_default();
        let (inputs, _) = inputs.split_once(']').unwrap_or_default();
        let inputs = inputs.split('"').filter(|text| text.contains('/'));
        Entry {
            request: value(text, "id"),
            stage: value(text, "stage"),
            piece: value(text, "piece"),
            inputs: inputs.map(str::to_owned).collect(),
        }
    };
    let parts = body.split("{\"id\":").skip(1);
    parts.map(|part| entry(&format!("\"id\":{part}"))).collect()
}

/// Fetches inputs from their makers; returns whether all are there. Nobody can tell whose they are but the maker, so
/// they are taken as they come.
fn fetch<'a>(request: &str, inputs: impl Iterator<Item = &'a str>) -> bool {
    let mut are_all = true;
    for handle in inputs {
        let (maker, number) = handle.split_once('/').unwrap_or_default();
        let found = maker
            .parse()
            .ok()
            .and_then(|maker| http::call(maker, "GET", &format!("{RESULT}{number}"), b"").ok());
        match found.filter(|found| found.status() == 200) {
            Some(found) => println!("takes {handle} for {request}: it is of {}", found.text()),
            None => {
                println!("does not find {handle} for {request}");
                are_all = false;
            }
        }
    }
    are_all
}

fn run_call(
    options: &Options,
    results: &Results,
    stream: &mut TcpStream,
    request: &Message,
) -> io::Result<()> {
    let taken = {
        let mut calls = results.calls.lock().unwrap();
        *calls += 1;
        *calls
    };
    let answered = if taken > MAX_CALLS {
        answer(503, "Not-Executed: 1\r\n", b"")
    } else {
        let _turn = results.running.lock().unwrap();
        let entries = entries(&request.text());
        println!("runs a call of {} pieces", entries.len());
        let has_inputs: Vec<bool> = entries
            .iter()
            .map(|entry| fetch(&entry.request, entry.inputs.iter().map(String::as_str)))
            .collect();
        thread::sleep(CALL + PIECE * entries.len() as u32);
        let made = entries.iter().zip(has_inputs).map(|(entry, has_inputs)| {
            if !has_inputs {
                return r#"{"reason":"gone"}"#.to_owned();
            }
            let owner = format!(
                "{}, stage {}, piece {}",
                entry.request, entry.stage, entry.piece
            );
            let handle = format!("{}/{}", options.address, results.add(owner.clone()));
            println!("makes {handle} for {owner}");
            format!(r#"{{"handle":"{handle}"}}"#)
        });
        let made: Vec<String> = made.collect();
        let body = format!(r#"{{"entries":[{}]}}"#, made.join(","));
        answer(200, "Content-Type: application/json\r\n", body.as_bytes())
    };
    *results.calls.lock().unwrap() -= 1;
    stream.write_all(&answered)
}

/// The events that an endpoint sends for a request, each with the request's id.
pub fn event(attempt: &str, number: u32) -> String {
    format!("id: {number}\ndata: {attempt}-{number}\n\n")
}

fn respond(
    options: &Options,
    results: &Results,
    stream: &mut TcpStream,
    request: &Message,
) -> io::Result<()> {
    let id = &options.id;
    let expected = request.get("Expect-Instance");
    if expected.is_some_and(|expected| expected != id) {
        let fields = format!("Instance-Id: {id}\r\n");
        return stream.write_all(&answer(421, &fields, b""));
    }
    let path: Vec<&str> = request.target().split('/').collect();
    match request.target() {
        "/health" => {
            let fields = format!("Instance-Id: {id}\r\n");
            return stream.write_all(&answer(200, &fields, b""));
        }
        "/v1/stage-run" => return run_call(options, results, stream, request),
        "/v1/stage-free" => {
            results.free(&request.text());
            return stream.write_all(&answer(200, "", b""));
        }
        target if target.starts_with(RESULT) => {
            // How endpoints fetch from each other is their own.
            let owner = results.owner(&target[RESULT.len()..]);
            let status = if owner.is_some() { 200 } else { 404 };
            let body = owner.unwrap_or_default();
            return stream.write_all(&answer(status, "", body.as_bytes()));
        }
        _ => {}
    }
    let attempt = request.get("Attempt-Id").unwrap_or_default().to_owned();
    // Some ids are long.
    let short: String = attempt.chars().take(24).collect();
    println!("runs {short}: {} {}", request.method(), request.target());
    if let Some(inputs) = request.get("Inputs")
        && !fetch(&short, inputs.split(','))
    {
        return stream.write_all(&answer(409, "Not-Executed: 1\r\n", b""));
    }
    let sealed = format!("Attempt-Id: {attempt}\r\nResponse-Seal: {id}.{attempt}\r\n");
    match path[..] {
        [.., "work", ms] => {
            thread::sleep(Duration::from_millis(ms.parse().unwrap_or(0)));
            let body = format!("done {attempt}");
            stream.write_all(&answer(200, &sealed, body.as_bytes()))?;
        }
        [.., "unframed", events, ms] => {
            let events = events.parse().unwrap_or(0);
            stream.write_all(format!("HTTP/1.1 200 OK\r\n{sealed}\r\n").as_bytes())?;
            for number in 1..=events {
                stream.write_all(event(&attempt, number).as_bytes())?;
                thread::sleep(Duration::from_millis(ms.parse().unwrap_or(0)));
            }
            println!("ends {short} after {events} events");
            return stream.shutdown(std::net::Shutdown::Both);
        }
        [.., "events", events, ms] => {
            let events = events.parse().unwrap_or(0);
            let prompt = request.get("Prompt-Prefix").unwrap_or_default();
            let is_fatal = prompt
                .split(',')
                .any(|part| part.split(':').next() == Some(FATAL));
            let head = format!("HTTP/1.1 200 OK\r\n{sealed}Transfer-Encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes())?;
            let seen = request.get("Last-Event-Id");
            let seen = seen.and_then(|id| id.parse::<u32>().ok()).unwrap_or(0);
            for number in seen + 1..=events {
                let event = event(&attempt, number);
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes())?;
                if is_fatal {
                    thread::sleep(Duration::from_millis(30));
                    println!("crashes on {short}");
                    std::process::exit(1);
                }
                thread::sleep(Duration::from_millis(ms.parse().unwrap_or(0)));
            }
            stream.write_all(b"0\r\n\r\n")?;
        }
        _ => {
            let body = format!("done {attempt}");
            stream.write_all(&answer(200, &sealed, body.as_bytes()))?;
        }
    }
    println!("ends {short}");
    Ok(())
}
