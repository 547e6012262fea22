//! One kept connection to another daemon, with a jittered backoff after it broke.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{Disconnector, RpcSystem, rpc_twoparty_capnp::Side};
use futures::AsyncReadExt;
use futures::io::{BufReader, BufWriter};
use rand::{Rng, RngExt};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::generated::peer_capnp::daemon;

/// The most words of a message, 8 bytes each; larger ones end the connection.
const MAX_MESSAGE_WORDS: usize = 2 << 20;
/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long sent bytes may stay without an acknowledgement.
const UNACKNOWLEDGED: Duration = Duration::from_secs(5);
/// The first wait after a broken connection, before jitter.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait after a broken connection, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Options of every connection: messages are bounded.
pub fn options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}

/// Runs the protocol over a stream.
pub fn system(stream: TcpStream, side: Side, host: Option<capnp::capability::Client>) -> System {
    drop(stream.set_nodelay(true));
    let socket = socket2::SockRef::from(&stream);
    drop(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    let (reader, writer) = stream.compat().split();
    let network = VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(writer),
        side,
        options(),
    );
    RpcSystem::new(Box::new(network), host)
}

/// The protocol over one connection.
pub type System = RpcSystem<Side>;

struct Up {
    client: daemon::Client,
    disconnector: Disconnector<Side>,
    is_broken: Rc<Cell<bool>>,
}

/// The connection to one daemon.
#[derive(Default)]
pub struct Slot {
    up: RefCell<Option<Up>>,
    connecting: tokio::sync::Mutex<()>,
    backoff: Cell<Duration>,
    retry_at: Cell<Option<Instant>>,
}

impl Slot {
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
                Ok(self.open(stream))
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

    fn current(&self) -> Option<daemon::Client> {
        let up = self.up.borrow();
        let up = up.as_ref().filter(|up| !up.is_broken.get())?;
        Some(up.client.clone())
    }

    fn open(&self, stream: TcpStream) -> daemon::Client {
        let mut system = system(stream, Side::Client, None);
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
        client
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
