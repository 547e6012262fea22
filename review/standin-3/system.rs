//! Processes of the system, started with the command of the deploy file, and their clients.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::Wire;
use crate::record::Record;
use crate::store::Gate;

/// The command of the deploy file.
const COMMAND: &str = "target/front/cyclamenrill-front";

/// One machine with a process of the system.
pub struct Front {
    pub name: String,
    pub address: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    first_port: u16,
    /// The addresses of a machine that is gone.
    silent: Mutex<Vec<TcpListener>>,
    record: Arc<Record>,
}

/// Returns the first of some free ports in a row.
fn free_ports(ip: &str, count: u16) -> u16 {
    for attempt in 0..200u16 {
        let first = 20_000 + (std::process::id() as u16 % 8_000) * 4 % 30_000 + attempt * 16;
        if (first..first + count).all(|port| TcpListener::bind((ip, port)).is_ok()) {
            return first;
        }
    }
    panic!("no free ports at {ip}");
}

impl Front {
    /// Starts a process on a machine with an address of its own, which reaches the store over a gate.
    pub fn start(
        number: u8,
        cpu_share: f64,
        gate: &Gate,
        directory: &Path,
        record: &Arc<Record>,
    ) -> Self {
        let name = format!("front-{number}");
        let ip = format!(
            "127.{}.{}.{}",
            16 + std::process::id() % 200,
            std::process::id() / 200 % 250,
            10 + number
        );
        let first = free_ports(&ip, 20);
        let (front, ready) = (first + 17, first + 18);
        let last = first + 15;
        let store = gate.address;
        let settings = format!(
            r#"{{"node_name":"{name}","role":"front","machine_class":"front","serves":["front"],"ip":"{ip}","zone":"z","region":"g","zones":{{"z":"g"}},"listen":{{"front":"{ip}:{front}","ready":"{ip}:{ready}"}},"port_range":[{first},{last}],"seeds":[],"bootstrap":true,"limits":{{"cpu_share":{cpu_share},"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},"data_dir":null,"discovery":"platform","entry_mode":"vip","heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"],"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},"bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":4000,"ack_timeout_ms":5000,"catch_up_s":4,"drain_ms":2500,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2500,"rollback_slack_ms":250,"max_stretch_ms":6000,"revoke_strict":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":58,"recovery_s":12,"pass_ms":250,"reuse_window_s":9.3}},"platform":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":12,"append_ms":2.0,"part_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,"part_mb":200,"ttl_min_ms":1000}}}}"#
        );
        let path = directory.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("the settings");
        let front = Self {
            address: format!("{ip}:{front}").parse().expect("an address"),
            ready: format!("{ip}:{ready}").parse().expect("an address"),
            settings: path,
            log: directory.join(format!("{name}.log")),
            name,
            child: Mutex::new(None),
            first_port: first,
            silent: Mutex::default(),
            record: record.clone(),
        };
        front.spawn();
        front
    }

    fn spawn(&self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let child = Command::new(COMMAND)
            .env_clear()
            .env("CYCLAMENRILL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        self.record
            .line(&format!("{} starts, process {}", self.name, child.id()));
        *self.child.lock().unwrap() = Some(child);
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                self.record.line(&format!("{} is ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut wire) = Wire::connect(self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let asked = wire.send(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        asked
            .and_then(|()| wire.head())
            .is_some_and(|head| head.status() == 200)
    }

    /// Kills the process, as a loss of power does.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            drop(child.kill());
            drop(child.wait());
            self.record.line(&format!("{} is killed", self.name));
        }
    }

    /// Returns the memory of the process; zero once it has ended.
    pub fn memory_mb(&self) -> u64 {
        let Some(id) = self.child.lock().unwrap().as_ref().map(Child::id) else {
            return 0;
        };
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1024
    }

    /// Removes the machine for good: its process is killed, and nothing that comes to its addresses is answered.
    pub fn remove(&self) {
        self.kill();
        let ports = self.first_port..self.first_port + 20;
        let silent = ports.filter_map(|port| TcpListener::bind((self.address.ip(), port)).ok());
        self.silent.lock().unwrap().extend(silent);
    }

    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An event that a client got: its number, and who made it.
#[derive(Clone, Debug)]
pub struct Event {
    pub number: u64,
    pub version: String,
    pub engine: String,
}

/// What one client attempt got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub events: Vec<Event>,
    /// Whether the answer ended as it should.
    pub is_complete: bool,
}

/// A client's stream, over one attempt or several.
pub struct Stream {
    pub attempt: String,
    pub answer: Arc<Mutex<Answer>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// How a stream is taken up again.
pub struct Resumed<'a> {
    pub attempt: &'a str,
    pub after: u64,
}

impl Stream {
    /// Sends a request for a stream and reads its answer on a thread.
    pub fn begin(
        front: &Front,
        attempt: &str,
        more: &str,
        resumed: Option<&Resumed>,
        record: &Arc<Record>,
    ) -> Self {
        let mut fields = more.to_owned();
        if let Some(Resumed { attempt, after }) = resumed {
            fields.push_str(&format!("Last-Event-Id: {after}\r\nResumes: {attempt}\r\n"));
        }
        let body = r#"{"prompt":"lunch"}"#;
        let head = format!(
            "POST /menu/plan HTTP/1.1\r\nHost: menu.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Counts: 100,100\r\nPrompt-Prefix: aa{attempt}:100\r\nDeadline-Ms: 15000\r\nX-Api-Key: key-1\r\n{fields}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = Arc::new(Mutex::new(Answer::default()));
        let (shared, record, name) = (answer.clone(), record.clone(), attempt.to_owned());
        let (address, front_name) = (front.address, front.name.clone());
        let how = resumed.map_or(String::new(), |one| {
            format!(", resumes {} after {}", one.attempt, one.after)
        });
        let thread = std::thread::spawn(move || {
            record.line(&format!("client sends {name} to {front_name}{how}"));
            let read = read_stream(address, &head, &shared);
            let answer = shared.lock().unwrap();
            let last = answer.events.last().map(|event| event.number);
            record.line(&format!(
                "client got of {name}: status {}, last event {last:?}, {}",
                answer.status,
                if read.is_some() {
                    "complete"
                } else {
                    "broken off"
                }
            ));
        });
        Self {
            attempt: attempt.to_owned(),
            answer,
            thread: Some(thread),
        }
    }

    pub fn wait(&mut self) -> Answer {
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
        self.answer.lock().unwrap().clone()
    }
}

/// Sends a plain request and reads its answer; returns its status.
pub fn ask(address: SocketAddr, attempt: &str) -> Option<u16> {
    let mut wire = Wire::connect(address, Duration::from_secs(1)).ok()?;
    let head = format!(
        "GET /roster/list HTTP/1.1\r\nHost: menu.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\nX-Api-Key: key-1\r\nConnection: close\r\n\r\n"
    );
    wire.send(head.as_bytes())?;
    let head = wire.head()?;
    wire.body(&head)?;
    Some(head.status())
}

/// Sends something on a kept connection, which is opened if there is none, and reads the answer; returns its status. After a
/// failure the connection is gone.
fn exchange(wire: &mut Option<Wire>, address: SocketAddr, head: &str) -> Option<u16> {
    let mut open = match wire.take() {
        Some(open) => open,
        None => Wire::connect(address, Duration::from_secs(1)).ok()?,
    };
    open.send(head.as_bytes())?;
    let head = open.head()?;
    open.body(&head)?;
    if !head
        .get("Connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    {
        *wire = Some(open);
    }
    Some(head.status())
}

/// Has a short text written, on a prompt whose own part has a name.
pub fn draft(
    wire: &mut Option<Wire>,
    address: SocketAddr,
    attempt: &str,
    part: &str,
) -> Option<u16> {
    let head = format!(
        "POST /menu/plan HTTP/1.1\r\nHost: menu.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Counts: 20,5\r\nPrompt-Prefix: aa:10,{part}:10\r\nDeadline-Ms: 8000\r\nX-Api-Key: key-1\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    exchange(wire, address, &head)
}

/// Places an order, which must not run twice.
pub fn order(wire: &mut Option<Wire>, address: SocketAddr, attempt: &str) -> Option<u16> {
    let head = format!(
        "POST /orders/new HTTP/1.1\r\nHost: menu.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\nX-Api-Key: key-1\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    exchange(wire, address, &head)
}

fn read_stream(address: SocketAddr, head: &str, shared: &Mutex<Answer>) -> Option<()> {
    let mut wire = Wire::connect(address, Duration::from_secs(1)).ok()?;
    wire.send(head.as_bytes())?;
    let head = wire.head()?;
    shared.lock().unwrap().status = head.status();
    if head.get("Transfer-Encoding").is_none() {
        wire.body(&head)?;
        shared.lock().unwrap().is_complete = true;
        return Some(());
    }
    let mut text = String::new();
    loop {
        let chunk = wire.chunk()?;
        if chunk.is_empty() {
            shared.lock().unwrap().is_complete = true;
            return Some(());
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let mut words = event.split_whitespace().skip(1);
            let number = words.next()?.parse().ok()?;
            let version = words.nth(1)?.to_owned();
            let engine = words.next()?.to_owned();
            shared.lock().unwrap().events.push(Event {
                number,
                version,
                engine,
            });
        }
    }
}
