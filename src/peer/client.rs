//! The calling side: commands from blocking threads become calls on kept connections.

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

use super::slot::Slot;
use super::stream::Coding;
use super::{Error, Relayed, Result, Topic, wire};
use crate::endpoint::{self, Answer, Call};
use crate::generated::peer_capnp::{daemon, sink};
use crate::id;
use crate::pipeline::{Remainder, Remote};
use crate::timeline::Recorder;

/// Bytes of a message besides its body: segment table, header and capability table.
const ENVELOPE_BYTES: u64 = 104;
/// Addresses that are known before those without a connection are forgotten.
const MAX_SLOTS: usize = 2048;
/// Bytes of an empty answer to a message.
const RETURN_BYTES: u64 = 64;

/// What a blocking thread asks for.
pub enum Command {
    /// Send a message of a topic.
    Ask(Ask),
    /// Run a stage through the daemon at the address.
    Forward(Forward),
    /// Run the rest of a request at the daemon at the address.
    Remainder(Rest),
    /// End a forwarded call or a remainder.
    Recall(id::Request, id::Attempt),
    /// Cut the connection to an address for a time.
    Cut(String, Duration),
}

/// A message of a topic.
pub struct Ask {
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

/// A remainder to hand over.
pub struct Rest {
    pub address: String,
    pub rest: Remainder,
    pub reply: flume::Sender<Relayed<Result<Remote>>>,
}

type Job = (id::Request, id::Attempt);

/// The calling side of one daemon.
pub struct Client {
    daemon: id::Daemon,
    recorder: Arc<Recorder>,
    slots: RefCell<IndexMap<(String, Coding), Rc<Slot>>>,
    jobs: RefCell<IndexMap<Job, oneshot::Sender<()>>>,
    rng: RefCell<ChaCha8Rng>,
}

impl Client {
    /// Makes a client without connections.
    pub fn new(daemon: id::Daemon, recorder: Arc<Recorder>, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            daemon,
            recorder,
            slots: RefCell::default(),
            jobs: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        })
    }

    /// Takes a command and returns at once.
    pub fn take(self: Rc<Self>, command: Command) {
        match command {
            Command::Ask(ask) => {
                tokio::task::spawn_local(async move {
                    let result = self.ask(&ask).await;
                    drop(ask.reply.send(result));
                });
            }
            Command::Forward(forward) => {
                let stopped = self.enter((forward.call.request, forward.call.attempt));
                tokio::task::spawn_local(self.run_forward(forward, stopped));
            }
            Command::Remainder(rest) => {
                let stopped = self.enter((rest.rest.request, rest.rest.attempt));
                tokio::task::spawn_local(self.run_rest(rest, stopped));
            }
            Command::Recall(request, attempt) => {
                let job = self.jobs.borrow_mut().swap_remove(&(request, attempt));
                // The job hears that its sender is gone.
                drop(job);
            }
            Command::Cut(address, duration) => {
                for coding in [Coding::Plain, Coding::Deflate] {
                    self.slot(&address, coding).cut(Instant::now() + duration);
                }
            }
        }
    }

    fn enter(&self, job: Job) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.jobs.borrow_mut().insert(job, sender);
        receiver
    }

    fn slot(&self, address: &str, coding: Coding) -> Rc<Slot> {
        let mut slots = self.slots.borrow_mut();
        if slots.len() >= MAX_SLOTS {
            // Daemons are replaced every day, and their addresses with them.
            slots.retain(|_, slot| Rc::strong_count(slot) > 1 || slot.is_up());
        }
        let slot = slots.entry((address.to_owned(), coding));
        slot.or_insert_with(|| Rc::new(Slot::new(coding))).clone()
    }

    async fn connect(
        &self,
        step: &'static str,
        address: &str,
        coding: Coding,
    ) -> Result<daemon::Client> {
        let slot = self.slot(address, coding);
        slot.client(address, &self.rng).await.map_err(|reason| {
            let peer = address.to_owned();
            Error::NotSent { step, peer, reason }
        })
    }

    async fn ask(&self, ask: &Ask) -> Result<Vec<u8>> {
        let client = self.connect("message", &ask.address, Coding::Plain).await?;
        let mut request = client.ask_request();
        let mut params = request.get();
        wire::write_stamp(self.recorder.stamp(), params.reborrow().init_stamp());
        params.set_from(&*self.daemon);
        params.set_topic(super::server::topic(ask.topic));
        params.set_body(&ask.body);
        let lost = |e: capnp::Error| lost("message", &ask.address, &e);
        let response = request.send().promise.await.map_err(lost)?;
        let results = response.get().map_err(lost)?;
        let stamp = results.get_stamp().map_err(lost)?;
        self.recorder.advance_past(wire::read_stamp(stamp));
        results.get_body().map(<[u8]>::to_vec).map_err(lost)
    }

    async fn run_forward(self: Rc<Self>, forward: Forward, stopped: oneshot::Receiver<()>) {
        let result = tokio::select! {
            result = self.forward(&forward) => result,
            _ = stopped => Err(endpoint_lost(&forward.address, "it was recalled".into())),
        };
        let job = (forward.call.request, forward.call.attempt);
        self.jobs.borrow_mut().swap_remove(&job);
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
        let taken = Taken::new(size(params.reborrow().into_reader().total_size()));
        params.set_sink(funnel(forward.reply.clone(), taken.clone()));
        let response = request.send().promise.await.map_err(lost)?;
        let results = response.get().map_err(lost)?;
        let stamp = results.get_stamp().map_err(lost)?;
        self.recorder.advance_past(wire::read_stamp(stamp));
        taken.add(size(results.total_size()));
        taken.wait_for(results.get_tokens()).await;
        let result = wire::read_result(results.get_result().map_err(lost)?);
        let mut answer = result.map_err(lost)??;
        let slot = self.slot(address, Coding::Deflate);
        answer.usage.link_bytes += slot.book(taken.bytes.get());
        Ok(answer)
    }

    async fn run_rest(self: Rc<Self>, rest: Rest, stopped: oneshot::Receiver<()>) {
        let result = tokio::select! {
            result = self.rest(&rest) => result,
            _ = stopped => Err(lost("remainder", &rest.address, &"it was recalled")),
        };
        let job = (rest.rest.request, rest.rest.attempt);
        self.jobs.borrow_mut().swap_remove(&job);
        drop(rest.reply.send(Relayed::End(result)));
    }

    async fn rest(&self, rest: &Rest) -> Result<Remote> {
        let client = self
            .connect("remainder", &rest.address, Coding::Deflate)
            .await?;
        let lost = |e: capnp::Error| lost("remainder", &rest.address, &e);
        let mut request = client.remainder_request();
        let mut params = request.get();
        wire::write_stamp(self.recorder.stamp(), params.reborrow().init_stamp());
        wire::write_rest(&rest.rest, params.reborrow().init_rest());
        let taken = Taken::new(size(params.reborrow().into_reader().total_size()));
        params.set_sink(funnel(rest.reply.clone(), taken.clone()));
        let response = request.send().promise.await.map_err(lost)?;
        let results = response.get().map_err(lost)?;
        let stamp = results.get_stamp().map_err(lost)?;
        self.recorder.advance_past(wire::read_stamp(stamp));
        taken.add(size(results.total_size()));
        taken.wait_for(results.get_tokens()).await;
        let mut remote = wire::read_remote(results.get_remote().map_err(lost)?).map_err(lost)?;
        let slot = self.slot(&rest.address, Coding::Deflate);
        remote.usage.link_bytes += slot.book(taken.bytes.get());
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

/// Returns the bytes of a message on the link.
fn size(body: capnp::Result<capnp::MessageSize>) -> u64 {
    ENVELOPE_BYTES + body.map_or(0, |size| size.word_count * 8)
}

/// What was received of a call so far.
#[derive(Default)]
struct Taken {
    /// Bytes on the link, in both directions.
    bytes: Cell<u64>,
    tokens: Cell<u32>,
    changed: Notify,
}

impl Taken {
    fn new(bytes: u64) -> Rc<Self> {
        let taken = Self::default();
        taken.add(bytes);
        Rc::new(taken)
    }

    fn add(&self, bytes: u64) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    /// Waits for tokens whose messages came before the end, but are handled after it.
    async fn wait_for(&self, tokens: u32) {
        while self.tokens.get() < tokens {
            self.changed.notified().await;
        }
    }
}

/// Receives tokens from the other daemon for a blocking thread.
struct Funnel<T> {
    reply: flume::Sender<Relayed<T>>,
    taken: Rc<Taken>,
}

fn funnel<T: 'static>(reply: flume::Sender<Relayed<T>>, taken: Rc<Taken>) -> sink::Client {
    capnp_rpc::new_client(Funnel { reply, taken })
}

impl<T: 'static> sink::Server for Funnel<T> {
    fn put(
        self: capnp::capability::Rc<Self>,
        params: sink::PutParams,
        _: sink::PutResults,
    ) -> impl Future<Output = capnp::Result<()>> + 'static {
        let taken = self.take(&params);
        async move {
            taken?;
            Promise::ok(()).await
        }
    }
}

impl<T> Funnel<T> {
    fn take(&self, params: &sink::PutParams) -> capnp::Result<()> {
        let params: sink::put_params::Reader<'_> = params.get()?;
        self.taken.add(size(params.total_size()) + RETURN_BYTES);
        let tokens = wire::read_tokens(params.get_tokens()?)?;
        let count = self.taken.tokens.get() + wire::count(tokens.len());
        self.taken.tokens.set(count);
        self.taken.changed.notify_one();
        let sent = self.reply.send(Relayed::Tokens(tokens));
        sent.map_err(|_| capnp::Error::failed("nobody waits for the tokens".into()))
    }
}
