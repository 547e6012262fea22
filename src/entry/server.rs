//! The callers' HTTP server: listening threads, bounded connections, graceful close.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::{Semaphore, watch};

use super::{Host, Keyring, Transcripts, route, wait_while_paused};
use crate::settings;

/// The most bytes of a request head, and of its read buffer.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The most headers of a request.
const MAX_HEADERS: usize = 64;
/// The wait after a failed accept, mostly for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// How long a caller may leave an answer unread before its connection is closed.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval at which a closing server checks for open connections.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The most threads that serve callers.
const MAX_THREADS: usize = 2;

/// Bounds on what callers may send and hold.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// The most open connections.
    pub max_connections: usize,
    /// The most bytes of a request body.
    pub max_body_bytes: usize,
    /// Time in which a request head must arrive.
    pub head_timeout: Duration,
    /// Time in which a request body must arrive.
    pub body_timeout: Duration,
    /// The longest timeout that a caller may ask for.
    pub max_timeout: Duration,
}

impl From<&settings::Bounds> for Bounds {
    fn from(bounds: &settings::Bounds) -> Self {
        Self {
            max_connections: bounds.max_connections as usize,
            max_body_bytes: bounds.max_body_bytes as usize,
            head_timeout: Duration::from_millis(bounds.head_timeout_ms),
            body_timeout: Duration::from_millis(bounds.body_timeout_ms),
            max_timeout: Duration::from_millis(bounds.max_timeout_ms),
        }
    }
}

/// The state that all connections share.
pub struct Shared {
    /// The daemon that runs the requests.
    pub host: Arc<dyn Host>,
    /// The keys of all workspaces.
    pub keys: Keyring,
    /// Recent transcripts.
    pub transcripts: Arc<Transcripts>,
    /// Bounds on what callers may send and hold.
    pub bounds: Bounds,
}

/// The callers' HTTP server of a daemon.
pub struct Server {
    address: SocketAddr,
    permits: Arc<Semaphore>,
    connections: Arc<AtomicUsize>,
    closing: watch::Sender<bool>,
    stopping: watch::Sender<bool>,
    threads: Mutex<Vec<JoinHandle<()>>>,
    handles: Vec<Handle>,
}

impl Server {
    /// Starts to listen on `address`.
    pub fn open(address: &str, shared: Shared) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let mut server = Self {
            address: listener.local_addr()?,
            permits: Arc::new(Semaphore::new(shared.bounds.max_connections)),
            connections: Arc::default(),
            closing: watch::Sender::new(false),
            stopping: watch::Sender::new(false),
            threads: Mutex::default(),
            handles: Vec::new(),
        };
        let shared = Arc::new(shared);
        for index in 0..thread_count() {
            server.start_thread(index, listener.try_clone()?, shared.clone())?;
        }
        Ok(server)
    }

    fn start_thread(
        &mut self,
        index: usize,
        listener: TcpListener,
        shared: Arc<Shared>,
    ) -> io::Result<()> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        self.handles.push(runtime.handle().clone());
        let acceptor = Acceptor {
            shared,
            permits: self.permits.clone(),
            connections: self.connections.clone(),
            closing: self.closing.subscribe(),
        };
        let stopping = self.stopping.subscribe();
        let thread = std::thread::Builder::new()
            .name(format!("door-{index}"))
            .spawn(move || run_thread(&runtime, listener, acceptor, stopping))?;
        self.threads.lock().push(thread);
        Ok(())
    }

    /// Returns the address and port that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handles of the threads' runtimes, which drive the requests.
    pub fn handles(&self) -> &[Handle] {
        &self.handles
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Accepts no new connections and waits until the open ones have been answered.
    ///
    /// Returns whether all connections closed within `timeout`.
    pub fn close(&self, timeout: Duration) -> bool {
        self.closing.send_replace(true);
        let end = Instant::now() + timeout;
        while self.connections() > 0 {
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(CLOSE_POLL_INTERVAL);
        }
        true
    }

    /// Ends the threads, with the requests that still run on them.
    pub fn stop(&self) {
        self.closing.send_replace(true);
        self.stopping.send_replace(true);
        for thread in self.threads.lock().drain(..) {
            drop(thread.join());
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn thread_count() -> usize {
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    (cores / 2).clamp(1, MAX_THREADS)
}

fn run_thread(
    runtime: &Runtime,
    listener: TcpListener,
    acceptor: Acceptor,
    mut stopping: watch::Receiver<bool>,
) {
    runtime.block_on(async move {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
            return;
        };
        tokio::spawn(acceptor.accept(listener));
        drop(stopping.wait_for(|stop| *stop).await);
    });
}

/// Counts a connection while it is open.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

#[derive(Clone)]
struct Acceptor {
    shared: Arc<Shared>,
    permits: Arc<Semaphore>,
    connections: Arc<AtomicUsize>,
    closing: watch::Receiver<bool>,
}

impl Acceptor {
    async fn accept(mut self, listener: tokio::net::TcpListener) {
        loop {
            wait_while_paused(&*self.shared.host).await;
            let Ok(permit) = self.permits.clone().acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = self.closing.wait_for(|closing| *closing) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let connection = self.clone().serve_connection(stream);
                    let open = OpenConnection::new(self.connections.clone());
                    tokio::spawn(async move {
                        connection.await;
                        drop((open, permit));
                    });
                }
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
    }

    async fn serve_connection(mut self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let socket = socket2::SockRef::from(&stream);
        drop(socket.set_tcp_user_timeout(Some(UNREAD_TIMEOUT)));
        let shared = self.shared.clone();
        let service = service_fn(move |request| route::serve(shared.clone(), request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.shared.bounds.head_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        tokio::select! {
            // An error on a connection affects its caller alone.
            _ = connection.as_mut() => return,
            _ = self.closing.wait_for(|closing| *closing) => {}
        }
        connection.as_mut().graceful_shutdown();
        drop(connection.await);
    }
}
