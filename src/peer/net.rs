//! The peers' port: one thread with all connections to and from other daemons.

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

use super::client::{Ask, Client, Command, Forward, Rest};
use super::server::{Desk, Server};
use super::{Error, Handler, Host, Link, Relayed, Result, Topic, stream};
use crate::endpoint::{self, Answer, Call, Sink};
use crate::generated::peer_capnp::daemon;
use crate::id;
use crate::pipeline::{Remainder, Remote};
use crate::timeline::Recorder;

/// Connections from other daemons.
const MAX_CONNECTIONS: usize = 1024;
/// How much longer than its own limit a call may take on the link.
const GRACE: Duration = Duration::from_secs(1);
/// How often a draining port looks whether the calls have ended.
const DRAIN_CHECK: Duration = Duration::from_millis(5);
/// How long a port that stops waits until its last answers are sent.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a new connection may take to say its coding.
const CODING_TIMEOUT: Duration = Duration::from_secs(1);
/// How long to wait after a failed accept.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// What the peers' port is made from.
pub struct Options {
    /// The address and port to listen on.
    pub address: String,
    /// The daemon.
    pub daemon: id::Daemon,
    /// The time line, whose stamps travel with messages.
    pub recorder: Arc<Recorder>,
    /// The seed of the jitter.
    pub seed: u64,
}

/// The kept connections of one daemon.
pub struct Net {
    address: SocketAddr,
    commands: flume::Sender<Command>,
    desk: Arc<Desk>,
    stopping: watch::Sender<bool>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Net {
    /// Opens the peers' port; it answers nothing until `handle` and `serve` are called.
    pub fn open(options: Options) -> io::Result<Self> {
        let listener = TcpListener::bind(&options.address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (commands, received) = flume::unbounded();
        let desk = Arc::new(Desk::new(options.recorder.clone()));
        let stopping = watch::Sender::new(false);
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (served, mut stop) = (desk.clone(), stopping.subscribe());
        let thread = std::thread::Builder::new().name("peers".into());
        let thread = thread.spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                let client = Client::new(options.daemon, options.recorder, options.seed);
                let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
                let acceptor = Acceptor {
                    desk: served,
                    permits: permits.clone(),
                    stopping: stop.clone(),
                };
                spawn_local(acceptor.accept(listener));
                spawn_local(async move {
                    while let Ok(command) = received.recv_async().await {
                        client.clone().take(command);
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
            desk,
            stopping,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Returns the address and port that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what answers the messages of a topic.
    pub fn set_handler(&self, topic: Topic, handler: Arc<dyn Handler>) {
        self.desk.handle(topic, handler);
    }

    /// Sets what runs the calls of other daemons.
    pub fn set_host(&self, host: Arc<dyn Host>) {
        self.desk.serve(Some(host));
    }

    /// Cuts the connection to an address for a time; fault tests use it.
    pub fn cut(&self, address: &str, duration: Duration) {
        self.command(Command::Cut(address.to_owned(), duration));
    }

    /// Waits until the calls of other daemons have ended; false when `timeout` passed first.
    pub fn drain(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while self.desk.busy() > 0 {
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(DRAIN_CHECK);
        }
        true
    }

    /// Ends all connections, after the answers that are on their way, and the thread.
    pub fn stop(&self) {
        self.desk.serve(None);
        self.stopping.send_replace(true);
        if let Some(thread) = self.thread.lock().take() {
            drop(thread.join());
        }
    }

    fn command(&self, command: Command) {
        // A stopped port drops the command, and with it the sender that its caller waits on.
        drop(self.commands.send(command));
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Takes connections from other daemons.
struct Acceptor {
    desk: Arc<Desk>,
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
                tokio::time::sleep(ACCEPT_AGAIN).await;
                continue;
            };
            let serving = serve(stream, self.desk.clone(), self.stopping.clone());
            spawn_local(async move {
                serving.await;
                drop(permit);
            });
        }
    }
}

/// Answers on one connection until it breaks or the port stops.
async fn serve(stream: TcpStream, desk: Arc<Desk>, mut stopping: watch::Receiver<bool>) {
    let server: daemon::Client = capnp_rpc::new_client(Server(desk));
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
    // It sends what is queued before it ends the connection.
    drop(disconnector.await);
    drop(running.await);
}

impl Link for Net {
    fn ask(&self, address: &str, topic: Topic, body: &[u8], timeout: Duration) -> Result<Vec<u8>> {
        let (reply, answer) = flume::bounded(1);
        self.command(Command::Ask(Ask {
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
        let (reply, heard) = flume::unbounded();
        self.command(Command::Forward(Forward {
            address: address.to_owned(),
            endpoint: endpoint.to_owned(),
            call: call.clone(),
            reply,
        }));
        let limit = call.remaining + GRACE;
        let result = listen(&heard, limit, sink);
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

    fn run_remainder(&self, address: &str, rest: &Remainder, sink: Sink<'_>) -> Result<Remote> {
        let (reply, heard) = flume::unbounded();
        self.command(Command::Remainder(Rest {
            address: address.to_owned(),
            rest: rest.clone(),
            reply,
        }));
        let limit = rest.remaining + GRACE;
        let lost = |reason: String| Error::Lost {
            step: "remainder",
            peer: address.to_owned(),
            reason,
        };
        let result = listen(&heard, limit, sink);
        if !matches!(result, Ok(Some(_))) {
            self.cancel(rest.request, rest.attempt);
        }
        match result {
            Ok(Some(end)) => end,
            Ok(None) => Err(lost(format!("no end within {limit:?}"))),
            Err(error) => Err(lost(error.to_string())),
        }
    }

    fn cancel(&self, request: id::Request, attempt: id::Attempt) {
        self.command(Command::Recall(request, attempt));
    }
}

/// Gives tokens to `sink` until the end; none when it did not come within `limit`.
fn listen<T>(
    heard: &flume::Receiver<Relayed<T>>,
    limit: Duration,
    sink: Sink<'_>,
) -> endpoint::Result<Option<T>> {
    let end = Instant::now() + limit;
    loop {
        match heard.recv_deadline(end) {
            Ok(Relayed::Tokens(tokens)) => tokens.into_iter().try_for_each(&mut *sink)?,
            Ok(Relayed::End(result)) => return Ok(Some(result)),
            Err(_) => return Ok(None),
        }
    }
}
