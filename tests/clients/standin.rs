//! Stand-ins for the platform's store and an endpoint.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::sync::mpsc::Sender;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rouille::{Request, Response, ResponseBody, Server};

use super::BODY_BYTES;

const THREADS: usize = 192;
/// How long an endpoint takes for the beginning of a long answer; it says nothing more for as long.
pub const ANSWER_TIME: Duration = Duration::from_secs(3);
/// Less than an event may have.
const EVENT_BYTES: usize = 260_000;
/// How long reads of the log wait for records that never come.
const READ_TIME: Duration = Duration::from_millis(200);

/// A store with one configuration and one endpoint, and that endpoint.
pub struct Standin {
    pub store: SocketAddr,
    servers: Vec<(JoinHandle<()>, Sender<()>)>,
}

fn start<F>(handler: F) -> (SocketAddr, (JoinHandle<()>, Sender<()>))
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let server = Server::new("127.0.0.1:0", handler).expect("a free port");
    let server = server.pool_size(THREADS);
    let address = server.server_addr();
    (address, server.stoppable())
}

impl Standin {
    pub fn start() -> Self {
        let (endpoint, endpoint_server) = start(run);
        let config = format!(
            r#"{{"version":7,"routes":[{{"name":"order","host":"x.example","path_prefix":"/order/","kind":"idempotent",
            "timeout_ms":30000,"target_latency_ms":20000,"service":"s","max_attempts":1}},
            {{"name":"stream","host":"x.example","path_prefix":"/stream/","kind":"stream","timeout_ms":30000,
            "target_latency_ms":20000,"service":"s","max_attempts":1}}],"services":[{{"name":"s"}}],
            "limits":{{"max_header_bytes":16384,"max_body_bytes":{BODY_BYTES},"header_timeout_ms":3000,
            "idle_timeout_ms":15000}},"tenants":[{{"name":"school","api_keys":["key-of-school"]}}]}}"#
        );
        let entry = format!(
            r#"{{"service":"s","address":"{endpoint}","zone":"a","version":"v1","slots":192,"state":"ready",
            "cold_remaining_ms":0,"seq":1,"born":1}}"#
        );
        let (store, store_server) = start(move |request| match request.url().as_str() {
            "/v1/log-newest" => list(request, &config, &entry),
            "/v1/log-read" => {
                thread::sleep(READ_TIME);
                read(request)
            }
            _ => Response::from_data("application/json", r#"{"offset":0,"end":1}"#),
        });
        Self {
            store,
            servers: vec![endpoint_server, store_server],
        }
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        for (_, stop) in self.servers.drain(..) {
            stop.send(()).ok();
        }
    }
}

/// Returns the records of a topic.
fn records<'a>(request: &Request, config: &'a str, entry: &'a str) -> Vec<(&'static str, &'a str)> {
    match request.get_param("topic").as_deref() {
        Some("keyed.op") => vec![("config", config)],
        Some("keyed.servers") => vec![("i-1", entry)],
        _ => Vec::new(),
    }
}

fn list(request: &Request, config: &str, entry: &str) -> Response {
    let records = records(request, config, entry);
    let end = records.len();
    let entry = |(key, value): &(&str, &str)| {
        format!(
            r#"{{"key":"{key}","value":"{}","offset":0}}"#,
            STANDARD.encode(value)
        )
    };
    let entries: Vec<String> = records.iter().map(entry).collect();
    let page = format!(
        r#"{{"entries":[{}],"more":false,"end":{end}}}"#,
        entries.join(",")
    );
    Response::from_data("application/json", page)
}

/// Answers a read that waited in vain.
fn read(request: &Request) -> Response {
    let from = request.get_param("from");
    let from: u64 = from.and_then(|from| from.parse().ok()).unwrap_or_default();
    let page = [from.to_be_bytes(), 0u64.to_be_bytes()].concat();
    Response::from_data("application/octet-stream", page)
}

/// The beginning of an answer, after which nothing comes for a while.
struct Stopping {
    rest: &'static [u8],
    until: Instant,
}

impl Read for Stopping {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.rest.is_empty() {
            thread::sleep(self.until.saturating_duration_since(Instant::now()));
        }
        self.rest.read(buffer)
    }
}

/// Makes an answer of so many bytes that stops before its end.
fn stop_after(bytes: usize, begin: &str) -> Response {
    static LONG: LazyLock<Vec<u8>> = LazyLock::new(|| vec![b'x'; BODY_BYTES]);
    let stopping = Stopping {
        rest: &LONG[..bytes],
        until: Instant::now() + 2 * ANSWER_TIME,
    };
    let body = std::io::Cursor::new(begin.to_owned()).chain(stopping);
    let mut response = Response::text("");
    response.data = ResponseBody::from_reader(body);
    response
}

/// Runs a request: its answer is the length of its body, or as long as its path says.
fn run(request: &Request) -> Response {
    let mut body = Vec::new();
    let read = request.data().map(|mut data| data.read_to_end(&mut body));
    assert!(
        matches!(read, Some(Ok(_))),
        "the body of a request is whole"
    );
    let id = request.header("Attempt-Id").unwrap_or_default().to_owned();
    let response = match request.url().as_str() {
        "/order/long" => stop_after(BODY_BYTES, ""),
        "/order/slow" => {
            thread::sleep(ANSWER_TIME);
            Response::text("")
        }
        "/stream/long" => {
            let mut response = stop_after(EVENT_BYTES, "id: 1\n\ndata: ");
            response.headers.clear();
            response
        }
        _ => Response::text(body.len().to_string()),
    };
    response
        .with_additional_header("Attempt-Id", id)
        .with_additional_header("Response-Seal", "seal")
}
