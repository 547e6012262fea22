//! Callers: through a daemon, and directly at the engine.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cyclamenrill::daemon::{Daemon, Dependencies};
use cyclamenrill::endpoint::http::Client;
use cyclamenrill::endpoint::{Call, Service};
use cyclamenrill::platform::{self, Role, Roster, Vm};
use cyclamenrill::policy::naive::Naive;
use cyclamenrill::settings;
use hdrhistogram::Histogram;

/// Times in microseconds.
pub type Times = Histogram<u64>;

const KEY: &str = "caller-key-0123456789";

const SETTINGS: &str = r#"
[daemon]
name = "entry-1"
availability-zone = "zagreb-a"
callers-address = "127.0.0.1:0"
operators-address = "127.0.0.1:0"
operators-key = "operators-key-0123456789"
peers-address = "127.0.0.1:0"
[platform]
log-url = "http://127.0.0.1:1"
roster-url = "http://127.0.0.1:1"
weights-url = "http://127.0.0.1:1"
[[zones]]
name = "zagreb-a"
region = "kontinent"
[[pools]]
name = "pisari"
kind = "engine"
[[workspaces]]
name = "split"
key = "caller-key-0123456789"
[[pipelines]]
name = "bulletin"
deadline-ms = 60000
[[pipelines.stages]]
name = "draft"
pool = "pisari"
"#;

struct One(SocketAddr);

impl Roster for One {
    fn list(&self) -> platform::Result<Vec<Vm>> {
        Ok(vec![Vm {
            id: "e1".into(),
            role: Role::Endpoint,
            address: self.0.to_string(),
            zone: "zagreb-a".into(),
            pool: Some("pisari".into()),
            leaving: false,
        }])
    }
}

/// Starts a daemon before one engine.
pub fn daemon(engine: SocketAddr) -> Daemon {
    let settings = settings::parse("bench", SETTINGS, &[]).unwrap();
    let dependencies = Dependencies::new()
        .roster(Arc::new(One(engine)))
        .policy(Box::new(
            Naive::new(1).with_timeout(Duration::from_secs(60)),
        ));
    let daemon = Daemon::start(&settings, dependencies).unwrap();
    while !daemon.status().ready {
        std::thread::yield_now();
    }
    daemon
}

/// What one stream showed.
pub struct Seen {
    pub first: Duration,
    pub gaps: Vec<Duration>,
    pub tokens: usize,
}

impl Seen {
    fn new(start: Instant, times: &[Instant]) -> Self {
        Self {
            first: times.first().map_or(Duration::ZERO, |t| *t - start),
            gaps: times.windows(2).map(|pair| pair[1] - pair[0]).collect(),
            tokens: times.len(),
        }
    }
}

/// A connection to a daemon.
pub struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            reader: BufReader::new(stream),
        }
    }

    fn post(&mut self, accept: &str) {
        let request = format!(
            "POST /v1/pipelines/bulletin HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer {KEY}\r\n\
             Accept: {accept}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        self.reader.get_mut().write_all(request.as_bytes()).unwrap();
    }

    /// Asks for a stream and reads it to its end.
    pub fn stream(&mut self) -> Seen {
        let start = Instant::now();
        self.post("text/event-stream");
        let mut times = Vec::new();
        let mut line = String::new();
        loop {
            line.clear();
            assert!(self.reader.read_line(&mut line).unwrap() > 0, "cut off");
            if line.starts_with("event: token") {
                times.push(Instant::now());
            }
            if line == "0\r\n" {
                self.reader.read_line(&mut line).unwrap();
                return Seen::new(start, &times);
            }
        }
    }

    /// Asks for a whole answer.
    pub fn whole(&mut self) {
        self.post("application/json");
        let mut length = 0;
        let mut line = String::new();
        loop {
            line.clear();
            self.reader.read_line(&mut line).unwrap();
            if let Some(value) = line.strip_prefix("content-length: ") {
                length = value.trim().parse().unwrap();
            }
            if line == "\r\n" {
                break;
            }
        }
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).unwrap();
        assert_eq!(body, b"\"text\"");
    }
}

/// A call as a daemon would send it.
pub fn call() -> Call {
    Call {
        request: uuid::Uuid::now_v7(),
        workspace: "split".into(),
        pipeline: "bulletin".into(),
        stage: "draft".into(),
        attempt: 1,
        key: None,
        remaining: Duration::from_secs(60),
        priority: 4,
        input: r#"{"body":{},"results":{}}"#.into(),
        max_tokens: 256,
        resume: Vec::new(),
        version: None,
    }
}

/// Calls the engine directly.
pub fn direct(engine: SocketAddr) -> Seen {
    let start = Instant::now();
    let mut times = Vec::new();
    let mut sink = |_| {
        times.push(Instant::now());
        Ok(())
    };
    let address = engine.to_string();
    Client::default()
        .call(&address, &call(), &mut sink)
        .unwrap();
    Seen::new(start, &times)
}
