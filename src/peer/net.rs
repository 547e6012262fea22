//! The peers' port: one thread that serves all connections to and from other daemons.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::{Semaphore, watch};
use tokio::task::{LocalSet, spawn_local};

use super::client::{Client, Command, Forward, Message, Relocation};
use super::server::{Server, ServerState};
use super::{Error, Handler, Host, Link, Relayed, Result, Topic, stream};
use crate::endpoint::{self, Answer, Call, Sink};
use crate::generated::peer_capnp::daemon;
use crate::id;
use crate::pipeline::{Remainder, Remote};
use crate::timeline::Recorder;

/// The most connections from other daemons.
const MAX_CONNECTIONS: usize = 1024;
/// How much longer than its own limit a call through another daemon may take.
const LINK_ALLOWANCE: Duration = Duration::from_secs(1);
/// The interval at which a draining port checks for running calls.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a stopping port waits for its last answers to be sent.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a new connection may take to send its coding.
const CODING_TIMEOUT: Duration = Duration::from_secs(1);
/// The wait after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The options of the peers' port.
pub struct Options {
    /// The address and port to listen on.
    pub address: String,
    /// The id of this daemon.
    pub daemon: id::Daemon,
    /// The recorder of the timeline, whose stamps are sent with messages.
    pub recorder: Arc<Recorder>,
    /// The seed of the backoff's jitter.
    pub seed: u64,
}

/// The persistent connections between a daemon and the others.
pub struct Net {
    address: SocketAddr,
    commands: flume::Sender<Command>,
    state: Arc<ServerState>,
    stopping: watch::Sender<bool>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Net {
    /// Opens the peers' port; calls fail until `set_handler` and `set_host` have been called.
    pub fn open(options: Options) -> io::Result<Self> {
        let listener = TcpListener::bind(&options.address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (commands, received) = flume::unbounded();
        let state = Arc::new(ServerState::new(options.recorder.clone()));
        let stopping = watch::Sender::new(false);
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (server_state, mut stop) = (state.clone(), stopping.subscribe());
        let thread = std::thread::Builder::new().name("peers".into());
        let thread = thread.spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                let client = Client::new(options.daemon, options.recorder, options.seed);
                let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
                let acceptor = Acceptor {
                    state: server_state,
                    permits: permits.clone(),
                    stopping: stop.clone(),
                };
                spawn_local(acceptor.accept(listener));
                spawn_local(async move {
                    while let Ok(command) = received.recv_async().await {
                        client.clone().execute(command);
                    }
                });
                drop(stop.wait_for(|stop| *stop).await);
                let all = u32::try_from(MAX_CONNECTIONS).unwrap_or(u32::MAX);
                drop(tokio::time::timeout(FLUSH_TIMEOUT, permits.acquire_many(all)).await);
            });
        })?;
        Ok(Self {
            address,
            commands,
            state,
            stopping,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Returns the address and port of the peers' port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the handler of the messages of a topic.
    pub fn set_handler(&self, topic: Topic, handler: Arc<dyn Handler>) {
        self.state.set_handler(topic, handler);
    }

    /// Sets the host that runs the calls of other daemons.
    pub fn set_host(&self, host: Arc<dyn Host>) {
        self.state.set_host(Some(host));
    }

    /// Cuts the connections to an address for a time; used by fault tests.
    pub fn cut(&self, address: &str, duration: Duration) {
        self.send_command(Command::Cut(address.to_owned(), duration));
    }

    /// Waits until the calls of other daemons end; returns whether they did within `timeout`.
    pub fn drain(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while self.state.running_calls() > 0 {
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        true
    }

    /// Sends the pending answers, then closes all connections and ends the thread.
    pub fn stop(&self) {
        self.state.set_host(None);
        self.stopping.send_replace(true);
        if let Some(thread) = self.thread.lock().take() {
            drop(thread.join());
        }
    }

    fn send_command(&self, command: Command) {
        // A stopped port drops the command with its reply sender, so that the caller stops waiting.
        drop(self.commands.send(command));
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Accepts connections from other daemons.
struct Acceptor {
    state: Arc<ServerState>,
    permits: Arc<Semaphore>,
    stopping: watch::Receiver<bool>,
}

impl Acceptor {
    async fn accept(mut self, listener: TcpListener) {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
            return;
        };
        loop {
            let Ok(permit) = self.permits.clone().acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = self.stopping.wait_for(|stop| *stop) => return,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            let serving = serve(stream, self.state.clone(), self.stopping.clone());
            spawn_local(async move {
                serving.await;
                drop(permit);
            });
        }
    }
}

/// Serves one connection until it breaks or the port stops.
async fn serve(stream: TcpStream, state: Arc<ServerState>, mut stopping: watch::Receiver<bool>) {
    let server: daemon::Client = capnp_rpc::new_client(Server(state));
    let accepted = stream::accept(stream, server.client);
    let Ok(Ok(system)) = tokio::time::timeout(CODING_TIMEOUT, accepted).await else {
        return;
    };
    let disconnector = system.get_disconnector();
    let mut running = spawn_local(system);
    tokio::select! {
        _ = &mut running => return,
        _ = stopping.wait_for(|stop| *stop) => {}
    }
    // Sends what is queued before it closes the connection.
    drop(disconnector.await);
    drop(running.await);
}

impl Link for Net {
    fn ask(&self, address: &str, topic: Topic, body: &[u8], timeout: Duration) -> Result<Vec<u8>> {
        let (reply, answer) = flume::bounded(1);
        self.send_command(Command::Message(Message {
            address: address.to_owned(),
            topic,
            body: body.to_vec(),
            reply,
        }));
        let lost = |reason: flume::RecvTimeoutError| Error::Lost {
            step: "message",
            peer: address.to_owned(),
            reason: reason.to_string(),
        };
        answer.recv_timeout(timeout).map_err(lost)?
    }

    fn forward(
        &self,
        address: &str,
        endpoint: &str,
        call: &Call,
        sink: Sink<'_>,
    ) -> endpoint::Result<Answer> {
        let (reply, updates) = flume::unbounded();
        self.send_command(Command::Forward(Forward {
            address: address.to_owned(),
            endpoint: endpoint.to_owned(),
            call: call.clone(),
            reply,
        }));
        let limit = call.remaining + LINK_ALLOWANCE;
        let result = receive_until_end(&updates, limit, sink);
        if !matches!(result, Ok(Some(_))) {
            self.cancel(call.request, call.attempt);
        }
        result?.unwrap_or_else(|| {
            Err(endpoint::Error::Timeout {
                step: "forwarded call",
                peer: address.to_owned(),
                limit,
            })
        })
    }

    fn run_remainder(
        &self,
        address: &str,
        remainder: &Remainder,
        sink: Sink<'_>,
    ) -> Result<Remote> {
        let (reply, updates) = flume::unbounded();
        self.send_command(Command::Relocate(Relocation {
            address: address.to_owned(),
            remainder: remainder.clone(),
            reply,
        }));
        let limit = remainder.remaining + LINK_ALLOWANCE;
        let lost = |reason: String| Error::Lost {
            step: "remainder",
            peer: address.to_owned(),
            reason,
        };
        let result = receive_until_end(&updates, limit, sink);
        if !matches!(result, Ok(Some(_))) {
            self.cancel(remainder.request, remainder.attempt);
        }
        match result {
            Ok(Some(end)) => end,
            Ok(None) => Err(lost(format!("no end within {limit:?}"))),
            Err(error) => Err(lost(error.to_string())),
        }
    }

    fn cancel(&self, request: id::Request, attempt: id::Attempt) {
        self.send_command(Command::Cancel(request, attempt));
    }
}

/// Passes tokens to `sink` until the result; returns `None` if it did not come within `limit`.
fn receive_until_end<T>(
    updates: &flume::Receiver<Relayed<T>>,
    limit: Duration,
    sink: Sink<'_>,
) -> endpoint::Result<Option<T>> {
    let end = Instant::now() + limit;
    loop {
        match updates.recv_deadline(end) {
            Ok(Relayed::Tokens(tokens)) => tokens.into_iter().try_for_each(&mut *sink)?,
            Ok(Relayed::End(result)) => return Ok(Some(result)),
            Err(_) => return Ok(None),
        }
    }
}
