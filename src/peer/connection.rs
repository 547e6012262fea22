//! A persistent connection to another daemon, with a jittered backoff after failures.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::Disconnector;
use capnp_rpc::rpc_twoparty_capnp::Side;
use rand::{Rng, RngExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::stream::{self, ByteCount, Coding};
use crate::generated::peer_capnp::daemon;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The first wait after a failed connection attempt, before jitter.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait after a failed connection attempt, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

struct Session {
    client: daemon::Client,
    disconnector: Disconnector<Side>,
    is_broken: Rc<Cell<bool>>,
}

/// A connection to one daemon, established on demand.
pub struct Connection {
    coding: Coding,
    /// Bytes on the link, after compression.
    link_bytes: ByteCount,
    /// Bytes of the messages, before compression.
    message_bytes: Cell<u64>,
    session: RefCell<Option<Session>>,
    connecting: tokio::sync::Mutex<()>,
    backoff: Cell<Duration>,
    retry_at: Cell<Option<Instant>>,
}

impl Connection {
    /// Makes a connection, not yet established.
    pub fn new(coding: Coding) -> Self {
        Self {
            coding,
            link_bytes: ByteCount::default(),
            message_bytes: Cell::default(),
            session: RefCell::default(),
            connecting: tokio::sync::Mutex::default(),
            backoff: Cell::default(),
            retry_at: Cell::default(),
        }
    }

    /// Adds messages of `bytes` and returns the bytes on the link that are attributed to them.
    ///
    /// It uses the compression ratio so far, because calls share the compression of a connection.
    pub fn attribute_link_bytes(&self, bytes: u64) -> u64 {
        let message_bytes = self.message_bytes.get() + bytes;
        self.message_bytes.set(message_bytes);
        let ratio = self.link_bytes.get() as f64 / message_bytes.max(1) as f64;
        (bytes as f64 * ratio) as u64
    }

    /// Returns the RPC client, connecting if necessary; an error tells why that failed.
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
            return Err("the connection is in backoff after a failure".into());
        }
        match connect(address).await {
            Ok(stream) => {
                self.backoff.set(Duration::ZERO);
                self.open(stream).await.map_err(|e| e.to_string())
            }
            Err(reason) => {
                self.back_off(rng);
                Err(reason)
            }
        }
    }

    /// Closes the connection; it is not established again before `until`.
    pub fn cut(&self, until: Instant) {
        if let Some(session) = self.session.borrow_mut().take() {
            // Fails the calls in progress, which would keep waiting if the connection were dropped.
            tokio::task::spawn_local(async move { drop(session.disconnector.await) });
        }
        self.retry_at.set(Some(until));
    }

    /// Returns whether the connection is established.
    pub fn is_connected(&self) -> bool {
        self.current().is_some()
    }

    fn current(&self) -> Option<daemon::Client> {
        let session = self.session.borrow();
        let session = session.as_ref().filter(|s| !s.is_broken.get())?;
        Some(session.client.clone())
    }

    async fn open(&self, stream: TcpStream) -> std::io::Result<daemon::Client> {
        let mut system = stream::open(stream, self.coding, self.link_bytes.clone()).await?;
        let client: daemon::Client = system.bootstrap(Side::Server);
        let is_broken = Rc::new(Cell::new(false));
        let broken = is_broken.clone();
        let disconnector = system.get_disconnector();
        tokio::task::spawn_local(async move {
            drop(system.await);
            broken.set(true);
        });
        *self.session.borrow_mut() = Some(Session {
            client: client.clone(),
            disconnector,
            is_broken,
        });
        Ok(client)
    }

    fn back_off(&self, rng: &RefCell<impl Rng>) {
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
        Err(_) => Err("connecting timed out".into()),
    }
}
