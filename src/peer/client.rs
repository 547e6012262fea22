//! The calling side: turns commands of blocking threads into calls on persistent connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::capability::Promise;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::connection::Connection;
use super::stream::Coding;
use super::{Error, Relayed, Result, Topic, wire};
use crate::endpoint::{self, Answer, Call};
use crate::generated::peer_capnp::{daemon, sink};
use crate::id;
use crate::pipeline::{Remainder, Remote};
use crate::timeline::Recorder;

/// Bytes of a message in addition to its body: segment table, header and capability table.
const ENVELOPE_BYTES: u64 = 104;
/// The number of connections at which unused ones that are not established are dropped.
const CONNECTION_PRUNE_THRESHOLD: usize = 2048;
/// Bytes of an empty answer to a message.
const EMPTY_ANSWER_BYTES: u64 = 64;

/// A command of a blocking thread.
pub enum Command {
    /// Sends a message.
    Message(Message),
    /// Runs a stage through another daemon.
    Forward(Forward),
    /// Runs the remainder of a request at another daemon.
    Relocate(Relocation),
    /// Cancels a forwarded call or a remainder.
    Cancel(id::Request, id::Attempt),
    /// Cuts the connections to an address for a time.
    Cut(String, Duration),
}

/// A message to send.
pub struct Message {
    pub address: String,
    pub topic: Topic,
    pub body: Vec<u8>,
    pub reply: flume::Sender<Result<Vec<u8>>>,
}

/// A call to forward.
pub struct Forward {
    pub address: String,
    pub endpoint: String,
    pub call: Call,
    pub reply: flume::Sender<Relayed<endpoint::Result<Answer>>>,
}

/// A remainder to run at another daemon.
pub struct Relocation {
    pub address: String,
    pub remainder: Remainder,
    pub reply: flume::Sender<Relayed<Result<Remote>>>,
}

type CallKey = (id::Request, id::Attempt);

/// The client for calls to all other daemons.
pub struct Client {
    daemon: id::Daemon,
    recorder: Arc<Recorder>,
    connections: RefCell<IndexMap<(String, Coding), Rc<Connection>>>,
    /// Dropping a sender cancels its call.
    cancels: RefCell<IndexMap<CallKey, oneshot::Sender<()>>>,
    rng: RefCell<ChaCha8Rng>,
}

impl Client {
    /// Makes a client without connections.
    pub fn new(daemon: id::Daemon, recorder: Arc<Recorder>, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            daemon,
            recorder,
            connections: RefCell::default(),
            cancels: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        })
    }

    /// Starts a command and returns at once.
    pub fn execute(self: Rc<Self>, command: Command) {
        match command {
            Command::Message(message) => {
                tokio::task::spawn_local(async move {
                    let result = self.ask(&message).await;
                    drop(message.reply.send(result));
                });
            }
            Command::Forward(forward) => {
                let cancelled = self.register((forward.call.request, forward.call.attempt));
                tokio::task::spawn_local(self.run_forward(forward, cancelled));
            }
            Command::Relocate(relocation) => {
                let cancelled =
                    self.register((relocation.remainder.request, relocation.remainder.attempt));
                tokio::task::spawn_local(self.run_relocation(relocation, cancelled));
            }
            Command::Cancel(request, attempt) => {
                let sender = self.cancels.borrow_mut().swap_remove(&(request, attempt));
                drop(sender);
            }
            Command::Cut(address, duration) => {
                for coding in [Coding::Plain, Coding::Deflate] {
                    self.connection(&address, coding)
                        .cut(Instant::now() + duration);
                }
            }
        }
    }

    fn register(&self, key: CallKey) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.cancels.borrow_mut().insert(key, sender);
        receiver
    }

    fn connection(&self, address: &str, coding: Coding) -> Rc<Connection> {
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= CONNECTION_PRUNE_THRESHOLD {
            // Daemons are replaced every day, and their addresses with them.
            connections.retain(|_, c| Rc::strong_count(c) > 1 || c.is_connected());
        }
        let connection = connections.entry((address.to_owned(), coding));
        connection
            .or_insert_with(|| Rc::new(Connection::new(coding)))
            .clone()
    }

    async fn connect(
        &self,
        step: &'static str,
        address: &str,
        coding: Coding,
    ) -> Result<daemon::Client> {
        let connection = self.connection(address, coding);
        connection
            .client(address, &self.rng)
            .await
            .map_err(|reason| {
                let peer = address.to_owned();
                Error::NotSent { step, peer, reason }
            })
    }

    async fn ask(&self, message: &Message) -> Result<Vec<u8>> {
        let client = self
            .connect("message", &message.address, Coding::Plain)
            .await?;
        let mut request = client.ask_request();
        let mut params = request.get();
        wire::write_stamp(self.recorder.stamp(), params.reborrow().init_stamp());
        params.set_from(&*self.daemon);
        params.set_topic(super::server::topic_to_schema(message.topic));
        params.set_body(&message.body);
        let lost = |e: capnp::Error| lost("message", &message.address, &e);
        let response = request.send().promise.await.map_err(lost)?;
        let results = response.get().map_err(lost)?;
        let stamp = results.get_stamp().map_err(lost)?;
        self.recorder.advance_past(wire::read_stamp(stamp));
        results.get_body().map(<[u8]>::to_vec).map_err(lost)
    }

    async fn run_forward(self: Rc<Self>, forward: Forward, cancelled: oneshot::Receiver<()>) {
        let result = tokio::select! {
            result = self.forward(&forward) => result,
            _ = cancelled => Err(endpoint_lost(&forward.address, "it was cancelled".into())),
        };
        let key = (forward.call.request, forward.call.attempt);
        self.cancels.borrow_mut().swap_remove(&key);
        drop(forward.reply.send(Relayed::End(result)));
    }

    async fn forward(&self, forward: &Forward) -> endpoint::Result<Answer> {
        let address = &forward.address;
        let client = self
            .connect("forwarded call", address, Coding::Deflate)
            .await;
        let client = client.map_err(|error| endpoint::Error::NotSent {
            step: "forwarded call",
            peer: address.clone(),
            reason: error.to_string(),
        })?;
        let lost = |e: capnp::Error| endpoint_lost(address, e.to_string());
        let mut request = client.forward_request();
        let mut params = request.get();
        wire::write_stamp(self.recorder.stamp(), params.reborrow().init_stamp());
        params.set_address(forward.endpoint.as_str());
        wire::write_call(&forward.call, params.reborrow().init_call());
        let received = Received::new(message_size(params.reborrow().into_reader().total_size()));
        params.set_sink(token_sink(forward.reply.clone(), received.clone()));
        let response = request.send().promise.await.map_err(lost)?;
        let results = response.get().map_err(lost)?;
        let stamp = results.get_stamp().map_err(lost)?;
        self.recorder.advance_past(wire::read_stamp(stamp));
        received.add(message_size(results.total_size()));
        received.wait_for(results.get_tokens()).await;
        let result = wire::read_result(results.get_result().map_err(lost)?);
        let mut answer = result.map_err(lost)??;
        let connection = self.connection(address, Coding::Deflate);
        answer.usage.link_bytes += connection.attribute_link_bytes(received.bytes.get());
        Ok(answer)
    }

    async fn run_relocation(
        self: Rc<Self>,
        relocation: Relocation,
        cancelled: oneshot::Receiver<()>,
    ) {
        let result = tokio::select! {
            result = self.relocate(&relocation) => result,
            _ = cancelled => Err(lost("remainder", &relocation.address, &"it was cancelled")),
        };
        let key = (relocation.remainder.request, relocation.remainder.attempt);
        self.cancels.borrow_mut().swap_remove(&key);
        drop(relocation.reply.send(Relayed::End(result)));
    }

    async fn relocate(&self, relocation: &Relocation) -> Result<Remote> {
        let client = self
            .connect("remainder", &relocation.address, Coding::Deflate)
            .await?;
        let lost = |e: capnp::Error| lost("remainder", &relocation.address, &e);
        let mut request = client.remainder_request();
        let mut params = request.get();
        wire::write_stamp(self.recorder.stamp(), params.reborrow().init_stamp());
        wire::write_remainder(&relocation.remainder, params.reborrow().init_rest());
        let received = Received::new(message_size(params.reborrow().into_reader().total_size()));
        params.set_sink(token_sink(relocation.reply.clone(), received.clone()));
        let response = request.send().promise.await.map_err(lost)?;
        let results = response.get().map_err(lost)?;
        let stamp = results.get_stamp().map_err(lost)?;
        self.recorder.advance_past(wire::read_stamp(stamp));
        received.add(message_size(results.total_size()));
        received.wait_for(results.get_tokens()).await;
        let mut remote = wire::read_remote(results.get_remote().map_err(lost)?).map_err(lost)?;
        let connection = self.connection(&relocation.address, Coding::Deflate);
        remote.usage.link_bytes += connection.attribute_link_bytes(received.bytes.get());
        Ok(remote)
    }
}

fn lost(step: &'static str, peer: &str, error: &dyn std::fmt::Display) -> Error {
    Error::Lost {
        step,
        peer: peer.to_owned(),
        reason: error.to_string(),
    }
}

fn endpoint_lost(peer: &str, reason: String) -> endpoint::Error {
    endpoint::Error::Lost {
        step: endpoint::LINK_STEP,
        peer: peer.to_owned(),
        reason,
    }
}

/// Returns the bytes of a message, before compression.
fn message_size(body: capnp::Result<capnp::MessageSize>) -> u64 {
    ENVELOPE_BYTES + body.map_or(0, |size| size.word_count * 8)
}

/// What was received for a call so far.
#[derive(Default)]
struct Received {
    /// Bytes in both directions, before compression.
    bytes: Cell<u64>,
    tokens: Cell<u32>,
    changed: Notify,
}

impl Received {
    fn new(bytes: u64) -> Rc<Self> {
        let received = Self::default();
        received.add(bytes);
        Rc::new(received)
    }

    fn add(&self, bytes: u64) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    /// Waits until `tokens` tokens are handled; the result can be handled before earlier messages.
    async fn wait_for(&self, tokens: u32) {
        while self.tokens.get() < tokens {
            self.changed.notified().await;
        }
    }
}

/// Passes tokens from another daemon to a blocking thread.
struct TokenSink<T> {
    reply: flume::Sender<Relayed<T>>,
    received: Rc<Received>,
}

fn token_sink<T: 'static>(
    reply: flume::Sender<Relayed<T>>,
    received: Rc<Received>,
) -> sink::Client {
    capnp_rpc::new_client(TokenSink { reply, received })
}

impl<T: 'static> sink::Server for TokenSink<T> {
    fn put(
        self: capnp::capability::Rc<Self>,
        params: sink::PutParams,
        _: sink::PutResults,
    ) -> impl Future<Output = capnp::Result<()>> + 'static {
        let received = self.receive(&params);
        async move {
            received?;
            Promise::ok(()).await
        }
    }
}

impl<T> TokenSink<T> {
    fn receive(&self, params: &sink::PutParams) -> capnp::Result<()> {
        let params: sink::put_params::Reader<'_> = params.get()?;
        self.received
            .add(message_size(params.total_size()) + EMPTY_ANSWER_BYTES);
        let tokens = wire::read_tokens(params.get_tokens()?)?;
        let count = self.received.tokens.get() + wire::list_length(tokens.len());
        self.received.tokens.set(count);
        self.received.changed.notify_one();
        let sent = self.reply.send(Relayed::Tokens(tokens));
        sent.map_err(|_| capnp::Error::failed("nobody waits for the tokens".into()))
    }
}
