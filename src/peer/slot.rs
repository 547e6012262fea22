//! One kept connection to another daemon, with a jittered backoff after it broke.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::Disconnector;
use capnp_rpc::rpc_twoparty_capnp::Side;
use rand::{Rng, RngExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::stream::{self, Coding, Count};
use crate::generated::peer_capnp::daemon;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The first wait after a broken connection, before jitter.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait after a broken connection, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

struct Up {
    client: daemon::Client,
    disconnector: Disconnector<Side>,
    is_broken: Rc<Cell<bool>>,
}

/// The connection to one daemon.
pub struct Slot {
    coding: Coding,
    /// Bytes on the link.
    sent: Count,
    /// Bytes of the messages, before they were coded.
    booked: Cell<u64>,
    up: RefCell<Option<Up>>,
    connecting: tokio::sync::Mutex<()>,
    backoff: Cell<Duration>,
    retry_at: Cell<Option<Instant>>,
}

impl Slot {
    /// Makes a slot without a connection.
    pub fn new(coding: Coding) -> Self {
        Self {
            coding,
            sent: Count::default(),
            booked: Cell::default(),
            up: RefCell::default(),
            connecting: tokio::sync::Mutex::default(),
            backoff: Cell::default(),
            retry_at: Cell::default(),
        }
    }

    /// Returns the bytes on the link that messages of `bytes` took, by the share so far.
    ///
    /// Calls share a connection and its compression, so that none has bytes of its own.
    pub fn book(&self, bytes: u64) -> u64 {
        let booked = self.booked.get() + bytes;
        self.booked.set(booked);
        let share = self.sent.get() as f64 / booked.max(1) as f64;
        (bytes as f64 * share) as u64
    }

    /// Returns the connection, and makes it when there is none; an error says why not.
    pub async fn client(
        &self,
        address: &str,
        rng: &RefCell<impl Rng>,
    ) -> Result<daemon::Client, String> {
        let _turn = self.connecting.lock().await;
        if let Some(client) = self.current() {
            return Ok(client);
        }
        if self.retry_at.get().is_some_and(|at| Instant::now() < at) {
            return Err("the connection broke a moment ago".into());
        }
        match connect(address).await {
            Ok(stream) => {
                self.backoff.set(Duration::ZERO);
                self.open(stream).await.map_err(|e| e.to_string())
            }
            Err(reason) => {
                self.delay(rng);
                Err(reason)
            }
        }
    }

    /// Ends the connection; it is not made again before `until`.
    pub fn cut(&self, until: Instant) {
        if let Some(up) = self.up.borrow_mut().take() {
            // It fails the calls in progress; dropping the connection would leave them waiting.
            tokio::task::spawn_local(async move { drop(up.disconnector.await) });
        }
        self.retry_at.set(Some(until));
    }

    /// Says whether there is a connection.
    pub fn is_up(&self) -> bool {
        self.current().is_some()
    }

    fn current(&self) -> Option<daemon::Client> {
        let up = self.up.borrow();
        let up = up.as_ref().filter(|up| !up.is_broken.get())?;
        Some(up.client.clone())
    }

    async fn open(&self, stream: TcpStream) -> std::io::Result<daemon::Client> {
        let mut system = stream::open(stream, self.coding, self.sent.clone()).await?;
        let client: daemon::Client = system.bootstrap(Side::Server);
        let is_broken = Rc::new(Cell::new(false));
        let broken = is_broken.clone();
        let disconnector = system.get_disconnector();
        tokio::task::spawn_local(async move {
            drop(system.await);
            broken.set(true);
        });
        *self.up.borrow_mut() = Some(Up {
            client: client.clone(),
            disconnector,
            is_broken,
        });
        Ok(client)
    }

    fn delay(&self, rng: &RefCell<impl Rng>) {
        let backoff = (self.backoff.get() * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
        self.backoff.set(backoff);
        let wait = backoff.mul_f64(rng.borrow_mut().random_range(0.5..1.0));
        self.retry_at.set(Some(Instant::now() + wait));
    }
}

async fn connect(address: &str) -> Result<TcpStream, String> {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("connecting took too long".into()),
    }
}
