//! One address for the platform's services, the journal and the faults.
//!
//! See [the script interface](../../docs/DEMO.md).

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::thread;

use rouille::{Request, Response, Server};

use super::fault::Fault;
use super::fleet::Fleet;

/// Bytes of a fault at most.
const MAX_FAULT_BYTES: u64 = 64 * 1024;

/// Brings about faults.
pub trait Injector: Send + Sync {
    /// Brings a fault about; false if its target does not exist.
    fn inject(&self, fault: &Fault) -> bool;
}

impl Injector for Arc<Fleet> {
    fn inject(&self, fault: &Fault) -> bool {
        Fleet::inject(self, fault)
    }
}

/// A listening control port, which stops when it is dropped.
pub struct Control {
    address: SocketAddr,
    stop: mpsc::Sender<()>,
}

impl Control {
    /// Listens at `address`; port 0 takes a free one.
    pub fn start(
        address: &str,
        fleet: Arc<Fleet>,
        injector: Arc<dyn Injector>,
    ) -> io::Result<Self> {
        let serve = move |request: &Request| answer(&fleet, &*injector, request);
        let server = Server::new(address, serve).map_err(io::Error::other)?;
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        // The thread ends by itself after the stop message.
        drop::<thread::JoinHandle<()>>(thread);
        Ok(Self { address, stop })
    }

    /// Returns the URL under which a path is served.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        // The server may have ended already.
        self.stop.send(()).ok();
    }
}

fn answer(fleet: &Arc<Fleet>, injector: &dyn Injector, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/journal") => journal(fleet, request),
        ("POST", "/faults") => faults(injector, request),
        _ => {
            let answer = fleet.platform.handle(request);
            answer.unwrap_or_else(Response::empty_404)
        }
    }
}

fn journal(fleet: &Fleet, request: &Request) -> Response {
    let skip = request.get_param("skip").and_then(|s| s.parse().ok());
    let lines = fleet.commons().journal.to_json_lines(skip.unwrap_or(0));
    Response::from_data("application/x-ndjson", lines)
}

fn faults(injector: &dyn Injector, request: &Request) -> Response {
    let Some(text) = body(request) else {
        return problem(400, "the body cannot be read");
    };
    match serde_json::from_str::<Fault>(&text) {
        Err(error) => problem(400, &error.to_string()),
        Ok(fault) if injector.inject(&fault) => Response::json(&fault),
        Ok(_) => problem(404, "there is no such target"),
    }
}

fn body(request: &Request) -> Option<String> {
    let mut text = String::new();
    let mut reader = request.data()?.take(MAX_FAULT_BYTES);
    reader.read_to_string(&mut text).ok()?;
    Some(text)
}

fn problem(status: u16, reason: &str) -> Response {
    let problem = crate::endpoint::wire::Problem {
        reason: reason.to_owned(),
        leaving: false,
    };
    Response::json(&problem).with_status_code(status)
}
