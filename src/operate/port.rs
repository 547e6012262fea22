//! The operators' port: an HTTP server separate from the callers' port, with a separate key.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use rouille::{Request, Response};
use serde::Serialize;
use subtle::ConstantTimeEq;

use super::fleet::Collector;
use super::{Collection, Edit, Error, Operations, Query, Result};
use crate::{id, timeline};

/// The number of threads that serve operators.
const THREADS: usize = 4;
/// The most bytes of an operator's request body.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// The longest wait for a verdict or a revision that an operator may request.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The wait when the operator requests none.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
/// The interval at which the fleet is checked for the awaited revision.
const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(50);

value! {
    /// The body of an error response.
    pub struct Problem {
        /// What went wrong.
        pub title: String,
        /// The HTTP status.
        pub status: u16,
    }

    /// The rollout of a revision to the live daemons.
    pub struct RolloutStatus {
        /// The revision.
        pub revision: id::Revision,
        /// Live daemons that have not reached it.
        pub behind: Vec<id::Daemon>,
    }
}

struct Handler {
    key: String,
    operations: Arc<dyn Operations>,
    collector: Collector,
}

/// A running operators' port; it stops when it is dropped.
pub struct Port {
    address: SocketAddr,
    stop: mpsc::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Port {
    /// Listens on `address` for operators who authenticate with `key`.
    ///
    /// # Errors
    ///
    /// When the port cannot be opened.
    pub fn start(
        address: &str,
        key: &str,
        operations: Arc<dyn Operations>,
        collector: Collector,
    ) -> Result<Self> {
        let handler = Handler {
            key: key.to_owned(),
            operations,
            collector,
        };
        let server = rouille::Server::new(address, move |request| handler.handle(request))
            .map_err(|e| Error::Local {
                step: "listening for operators at",
                peer: address.to_owned(),
                reason: e.to_string(),
            })?
            .pool_size(THREADS);
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        // The thread may have ended already.
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

fn problem(status: u16, title: impl Into<String>) -> Response {
    let problem = Problem {
        title: title.into(),
        status,
    };
    json(&problem).with_status_code(status)
}

fn json(value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::from_data("application/json", body),
        Err(error) => Response::text(error.to_string()).with_status_code(500),
    }
}

impl Handler {
    fn handle(&self, request: &Request) -> Response {
        if request.url() == "/healthz" {
            return Response::text("ok");
        }
        if !self.is_allowed(request) {
            return problem(401, "the operators' key is missing or wrong");
        }
        match (request.method(), request.url().as_str()) {
            ("GET", "/v1/status") => self.ask(request, &Query::Status),
            ("GET", "/v1/report") => self.ask(request, &Query::Report),
            ("GET", "/v1/timeline") => self.events(request),
            ("POST", "/v1/drain") => {
                self.operations.drain();
                json(&"draining")
            }
            ("GET", "/v1/config") => json(&self.operations.config()),
            ("GET", "/v1/config/history") => json(&self.operations.history()),
            ("POST", "/v1/config") => self.edit(request),
            ("GET", "/v1/config/reach") => self.await_in_force(request),
            _ => problem(404, "no such path or method"),
        }
    }

    fn is_allowed(&self, request: &Request) -> bool {
        let key = request
            .header("Authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or_default();
        key.as_bytes().ct_eq(self.key.as_bytes()).into()
    }

    fn ask(&self, request: &Request, query: &Query) -> Response {
        let collection: Collection = if request.get_param("fleet").as_deref() == Some("true") {
            self.collector.ask_all(query)
        } else {
            self.collector.ask_self(query)
        };
        json(&collection)
    }

    fn events(&self, request: &Request) -> Response {
        let wall = match request.get_param("since") {
            None => 0,
            Some(text) => match text.parse() {
                Ok(wall) => wall,
                Err(_) => return problem(400, "since: expected microseconds since the Unix epoch"),
            },
        };
        self.ask(
            request,
            &Query::Events(timeline::Stamp { wall, counter: 0 }),
        )
    }

    fn edit(&self, request: &Request) -> Response {
        let mut body = Vec::new();
        let read = match request.data() {
            Some(data) => data.take(MAX_BODY_BYTES + 1).read_to_end(&mut body),
            None => Ok(0),
        };
        if let Err(error) = read {
            return problem(400, format!("the body cannot be read: {error}"));
        }
        if body.len() as u64 > MAX_BODY_BYTES {
            return problem(413, format!("the body exceeds {MAX_BODY_BYTES} bytes"));
        }
        let edit: Edit = match serde_json::from_slice(&body) {
            Ok(edit) => edit,
            Err(error) => return problem(400, format!("the body is no edit: {error}")),
        };
        let wait = match wait(request) {
            Ok(wait) => wait,
            Err(response) => return *response,
        };
        match self.operations.edit(&edit, wait) {
            Ok(verdict) => json(&verdict),
            Err(error) => problem(400, error.to_string()),
        }
    }

    fn await_in_force(&self, request: &Request) -> Response {
        let revision = request.get_param("revision").map(|text| text.parse());
        let Some(Ok(revision)) = revision else {
            return problem(400, "revision: expected a number");
        };
        let deadline = match wait(request) {
            Ok(wait) => Instant::now() + wait,
            Err(response) => return *response,
        };
        loop {
            let behind = self.operations.behind(revision);
            if behind.is_empty() || Instant::now() >= deadline {
                return json(&RolloutStatus { revision, behind });
            }
            thread::sleep(ROLLOUT_POLL_INTERVAL);
        }
    }
}

fn wait(request: &Request) -> std::result::Result<Duration, Box<Response>> {
    match request.get_param("wait-ms").map(|text| text.parse()) {
        None => Ok(DEFAULT_WAIT),
        Some(Ok(millis)) => Ok(Duration::from_millis(millis).min(MAX_WAIT)),
        Some(Err(_)) => Err(Box::new(problem(400, "wait-ms: expected milliseconds"))),
    }
}
