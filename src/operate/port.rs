//! The operators' port: HTTP apart from the callers' port, with a key of its own.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use rouille::{Request, Response};
use serde::Serialize;
use subtle::ConstantTimeEq;

use super::fleet::Fleet;
use super::{Collection, Console, Edit, Error, Query, Result};
use crate::{id, timeline};

/// Threads that answer operators.
const THREADS: usize = 4;
/// The most bytes of an operator's request body.
const MAX_BODY: u64 = 64 * 1024;
/// The longest that an operator may wait for a verdict or for a revision.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The wait when the operator asks for none.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
/// The time between two looks at the revisions of the fleet.
const LOOK: Duration = Duration::from_millis(50);

value! {
    /// What an operator is told when a question fails.
    pub struct Problem {
        /// What went wrong.
        pub title: String,
        /// The HTTP status.
        pub status: u16,
    }

    /// How far a revision has come.
    pub struct Reach {
        /// The revision.
        pub revision: id::Revision,
        /// Live daemons that have not reached it.
        pub behind: Vec<id::Daemon>,
    }
}

struct Handler {
    key: String,
    console: Arc<dyn Console>,
    fleet: Fleet,
}

/// A running operators' port; it stops when it is dropped.
pub struct Port {
    address: SocketAddr,
    stop: mpsc::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Port {
    /// Listens at `address` for operators who present `key`.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened at.
    pub fn start(
        address: &str,
        key: &str,
        console: Arc<dyn Console>,
        fleet: Fleet,
    ) -> Result<Self> {
        let handler = Handler {
            key: key.to_owned(),
            console,
            fleet,
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

    /// Returns the address that is listened at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        // The thread may have ended by itself.
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
                self.console.drain();
                json(&"draining")
            }
            ("GET", "/v1/config") => json(&self.console.sheet()),
            ("GET", "/v1/config/history") => json(&self.console.history()),
            ("POST", "/v1/config") => self.edit(request),
            ("GET", "/v1/config/reach") => self.reach(request),
            _ => problem(404, "no such path or method"),
        }
    }

    fn is_allowed(&self, request: &Request) -> bool {
        let given = request
            .header("Authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or_default();
        given.as_bytes().ct_eq(self.key.as_bytes()).into()
    }

    fn ask(&self, request: &Request, query: &Query) -> Response {
        let found: Collection = if request.get_param("fleet").as_deref() == Some("true") {
            self.fleet.ask_all(query)
        } else {
            self.fleet.ask_one(query)
        };
        json(&found)
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
            Some(data) => data.take(MAX_BODY + 1).read_to_end(&mut body),
            None => Ok(0),
        };
        if let Err(error) = read {
            return problem(400, format!("the body cannot be read: {error}"));
        }
        if body.len() as u64 > MAX_BODY {
            return problem(413, format!("the body exceeds {MAX_BODY} bytes"));
        }
        let edit: Edit = match serde_json::from_slice(&body) {
            Ok(edit) => edit,
            Err(error) => return problem(400, format!("the body is no edit: {error}")),
        };
        let wait = match wait(request) {
            Ok(wait) => wait,
            Err(response) => return *response,
        };
        match self.console.edit(&edit, wait) {
            Ok(verdict) => json(&verdict),
            Err(error) => problem(400, error.to_string()),
        }
    }

    fn reach(&self, request: &Request) -> Response {
        let revision = request.get_param("revision").map(|text| text.parse());
        let Some(Ok(revision)) = revision else {
            return problem(400, "revision: expected a number");
        };
        let end = match wait(request) {
            Ok(wait) => Instant::now() + wait,
            Err(response) => return *response,
        };
        loop {
            let behind = self.console.behind(revision);
            if behind.is_empty() || Instant::now() >= end {
                return json(&Reach { revision, behind });
            }
            thread::sleep(LOOK);
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
