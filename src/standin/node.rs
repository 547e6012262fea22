//! A stand-in endpoint: an engine or a plain service with its own listening socket.
//!
//! See [the endpoints' protocol](../../docs/ENDPOINTS.md).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::journal::Journal;
use super::profile::Profile;
use super::server::{Began, Exchange, Handler, Server};
use super::store::Store;
use crate::clock::{self, Clock};
use crate::endpoint::wire::{Copied, Problem, Target};
use crate::endpoint::{Load, Order};
use crate::exchange::Request;
use crate::id;

mod batch;
mod cache;
mod model;
mod run;

use batch::Batch;
use cache::Prefixes;
use model::Model;

/// Bytes of KV cache for each block of prompt.
const BYTES_PER_BLOCK: usize = 4_096;
/// How long a copy of a KV cache may take.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

/// What the endpoints of one process share.
#[derive(Clone)]
pub struct Commons {
    /// The journal that all write.
    pub journal: Journal,
    /// The store that engines load from.
    pub store: Arc<Store>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

impl Default for Commons {
    fn default() -> Self {
        Self {
            journal: Journal::default(),
            store: Arc::new(Store::default()),
            clock: Arc::new(clock::System::new()),
        }
    }
}

/// The inside of an endpoint, which its handlers share.
struct Core {
    id: id::Endpoint,
    profile: Profile,
    commons: Commons,
    batch: Batch,
    model: Model,
    prefixes: Mutex<Prefixes>,
    server: Mutex<Option<Server>>,
}

/// A running stand-in endpoint; it crashes when it is dropped.
pub struct Node {
    core: Arc<Core>,
    address: SocketAddr,
}

impl Node {
    /// Starts an endpoint that listens at `listen` and serves `versions`.
    pub fn start(
        listen: &str,
        id: &str,
        profile: Profile,
        versions: Vec<id::Version>,
        commons: Commons,
    ) -> io::Result<Self> {
        let core = Arc::new(Core {
            id: id.into(),
            batch: Batch::new(&profile, commons.clock.clone()),
            model: Model::new(versions, profile.checks_fencing),
            prefixes: Mutex::new(Prefixes::new(&profile)),
            profile,
            commons,
            server: Mutex::new(None),
        });
        let server = Server::start(listen, Arc::new(Door(core.clone())))?;
        let address = server.address();
        *core.server.lock() = Some(server);
        Ok(Self { core, address })
    }

    /// Returns the address and port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the id.
    pub fn id(&self) -> &id::Endpoint {
        &self.core.id
    }

    /// Cuts off every call and stops listening, as when the VM dies.
    pub fn crash(&self) {
        self.core.crash();
    }

    /// Says whether it crashed.
    pub fn is_dead(&self) -> bool {
        self.core.batch.is_dead()
    }

    /// Makes it refuse new calls, because it leaves the fleet.
    pub fn leave(&self) {
        self.core.batch.leave();
    }

    /// Makes all that it does take `factor` times as long.
    pub fn slow_down(&self, factor: f64) {
        self.core.batch.slow_down(factor);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.crash();
    }
}

struct Door(Arc<Core>);

impl Handler for Door {
    fn handle(&self, exchange: Exchange) {
        if self.0.batch.is_dead() {
            return exchange.cut();
        }
        let (method, path) = exchange.route();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method.as_str(), parts.as_slice()) {
            ("POST", ["v1", "calls"]) => run::serve(&self.0, exchange),
            ("DELETE", ["v1", "calls", request, attempt]) => {
                self.0.cancel(exchange, request, attempt);
            }
            ("GET", ["v1", "load"]) => exchange.reply(200, &self.0.load()),
            ("GET", ["v1", "cache"]) => self.0.cache_events(exchange),
            ("GET", ["v1", "state"]) => {
                let now = self.0.commons.clock.now();
                exchange.reply(200, &self.0.model.state(now));
            }
            ("PUT", ["v1", "order"]) => self.0.order(exchange),
            ("POST", ["v1", "cache", prefix, "copy"]) => self.0.export(exchange, prefix),
            ("PUT", ["v1", "cache", prefix]) => self.0.import(exchange, prefix),
            _ => refuse(exchange, 404, "no such path"),
        }
    }
}

fn refuse(exchange: Exchange, status: u16, reason: &str) {
    let problem = Problem {
        reason: reason.to_owned(),
        leaving: false,
    };
    exchange.problem(status, Began::No, &problem);
}

impl Core {
    fn crash(&self) {
        self.batch.die();
        drop(self.server.lock().take());
    }

    fn cancel(&self, exchange: Exchange, request: &str, attempt: &str) {
        let (Ok(request), Ok(attempt)) = (request.parse(), attempt.parse()) else {
            return refuse(exchange, 400, "no such call");
        };
        self.batch.cancel(request, attempt);
        exchange.reply(200, &());
    }

    fn load(&self) -> Load {
        let now = self.commons.clock.now();
        let (running, waiting) = self.batch.load_before(now.saturating_sub(self.profile.lag));
        let state = self.model.state(now);
        Load {
            running,
            waiting,
            cache_free: self.prefixes.lock().free(),
            versions: state.versions,
            role: state.role,
        }
    }

    fn cache_events(&self, exchange: Exchange) {
        let after = exchange.param("after").and_then(|a| a.parse().ok());
        let before = self.commons.clock.now().saturating_sub(self.profile.lag);
        let events = self.prefixes.lock().events(after.unwrap_or(0), before);
        exchange.reply(200, &events);
    }

    fn order(&self, mut exchange: Exchange) {
        let Ok(order) = exchange.json::<Order>() else {
            return refuse(exchange, 400, "the order cannot be read");
        };
        let now = self.commons.clock.now();
        match self.model.order(&order, &self.commons.store, now) {
            Ok(()) => exchange.reply(200, &()),
            Err(reason) => refuse(exchange, 409, reason),
        }
    }

    fn export(&self, mut exchange: Exchange, prefix: &str) {
        let (Ok(prefix), Ok(target)) = (prefix.parse::<u64>(), exchange.json::<Target>()) else {
            return refuse(exchange, 400, "the copy cannot be read");
        };
        let held = self.prefixes.lock().blocks_up_to(prefix);
        if held == 0 {
            return refuse(exchange, 409, "the prefix is not held");
        }
        let body = vec![0; held * BYTES_PER_BLOCK];
        let url = format!("http://{}/v1/cache/{prefix}", target.address);
        let request = Request::put(url, COPY_TIMEOUT);
        match request.body(&body).send() {
            Ok(reply) if reply.status == 200 => {
                let bytes = body.len() as u64;
                exchange.reply(200, &Copied { bytes });
            }
            _ => refuse(exchange, 502, "the target did not take the copy"),
        }
    }

    fn import(&self, mut exchange: Exchange, prefix: &str) {
        let (Ok(prefix), Ok(body)) = (prefix.parse::<u64>(), exchange.body()) else {
            return refuse(exchange, 400, "the copy cannot be read");
        };
        let now = self.commons.clock.now();
        let depth = body.len() / BYTES_PER_BLOCK;
        self.prefixes.lock().take(&[prefix], depth, now);
        exchange.reply(200, &());
    }
}

#[cfg(test)]
mod tests;
