//! The serving side: handles messages, forwarded calls and remainders of other daemons.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use capnp::Error;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};

use super::{Handler, Host, Relayed, Topic, wire};
use crate::daemon::pool::ThreadPool;
use crate::endpoint::{self, Answer, Call, Token};
use crate::generated::peer_capnp::{self as schema, daemon, sink};
use crate::id;
use crate::pipeline::{Finish, Remote};
use crate::timeline::Recorder;

/// The most unacknowledged token messages of a call; further tokens are batched.
const MAX_UNACKED_MESSAGES: usize = 8;
/// The most threads for messages and forwarded calls of other daemons.
const MAX_THREADS: usize = 4096;

/// Converts a topic to that of the schema.
pub fn topic_to_schema(topic: Topic) -> schema::Topic {
    match topic {
        Topic::Claim => schema::Topic::Claim,
        Topic::Config => schema::Topic::Config,
        Topic::Member => schema::Topic::Member,
        Topic::Quarantine => schema::Topic::Quarantine,
        Topic::Digest => schema::Topic::Digest,
        Topic::Operate => schema::Topic::Operate,
    }
}

fn topic_from_schema(topic: schema::Topic) -> Topic {
    match topic {
        schema::Topic::Claim => Topic::Claim,
        schema::Topic::Config => Topic::Config,
        schema::Topic::Member => Topic::Member,
        schema::Topic::Quarantine => Topic::Quarantine,
        schema::Topic::Digest => Topic::Digest,
        schema::Topic::Operate => Topic::Operate,
    }
}

/// State that all connections from other daemons share; handlers and host are set at startup.
pub struct ServerState {
    recorder: Arc<Recorder>,
    handlers: RwLock<IndexMap<Topic, Arc<dyn Handler>>>,
    host: Mutex<Option<Arc<dyn Host>>>,
    pool: ThreadPool,
    running_calls: AtomicUsize,
}

/// Counts a call of another daemon for as long as it runs.
struct RunningCall(Arc<ServerState>);

impl RunningCall {
    fn new(state: Arc<ServerState>) -> Self {
        state.running_calls.fetch_add(1, Ordering::AcqRel);
        Self(state)
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.running_calls.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ServerState {
    /// Makes the state of a server without handlers or a host.
    pub fn new(recorder: Arc<Recorder>) -> Self {
        Self {
            recorder,
            handlers: RwLock::default(),
            host: Mutex::default(),
            pool: ThreadPool::new(MAX_THREADS),
            running_calls: 0.into(),
        }
    }

    /// Sets the handler of the messages of a topic.
    pub fn set_handler(&self, topic: Topic, handler: Arc<dyn Handler>) {
        self.handlers.write().insert(topic, handler);
    }

    /// Sets or removes the host that runs the calls of other daemons.
    pub fn set_host(&self, host: Option<Arc<dyn Host>>) {
        *self.host.lock() = host;
    }

    /// Returns the number of running calls of other daemons.
    pub fn running_calls(&self) -> usize {
        self.running_calls.load(Ordering::Acquire)
    }

    fn host(&self) -> capnp::Result<Arc<dyn Host>> {
        let host = self.host.lock().clone();
        host.ok_or_else(|| Error::failed("the daemon accepts no calls".into()))
    }

    fn run(&self, job: impl FnOnce() + Send + 'static) -> capnp::Result<()> {
        let started = self.pool.run(Box::new(job));
        started.map_err(|_| Error::overloaded("all threads are busy".into()))
    }
}

/// The serving side of one connection.
pub struct Server(pub Arc<ServerState>);

impl daemon::Server for Server {
    async fn ask(
        self: capnp::capability::Rc<Self>,
        params: daemon::AskParams,
        mut results: daemon::AskResults,
    ) -> capnp::Result<()> {
        let running = RunningCall::new(self.0.clone());
        let state = &running.0;
        let params = params.get()?;
        state
            .recorder
            .advance_past(wire::read_stamp(params.get_stamp()?));
        let topic = topic_from_schema(params.get_topic()?);
        let handler = state.handlers.read().get(&topic).cloned();
        let handler = handler.ok_or_else(|| Error::failed(format!("no handler for {topic:?}")))?;
        let from: id::Daemon = params.get_from()?.to_str()?.into();
        let body = params.get_body()?.to_vec();
        let (sender, receiver) = flume::bounded(1);
        state.run(move || drop(sender.send(handler.handle(&from, &body))))?;
        let answer = receiver.recv_async().await;
        let answer = answer.map_err(|_| Error::failed("the handler ended".into()))?;
        let body = answer.map_err(Error::failed)?;
        let mut results = results.get();
        wire::write_stamp(state.recorder.stamp(), results.reborrow().init_stamp());
        results.set_body(&body);
        Ok(())
    }

    async fn forward(
        self: capnp::capability::Rc<Self>,
        params: daemon::ForwardParams,
        mut results: daemon::ForwardResults,
    ) -> capnp::Result<()> {
        let running = RunningCall::new(self.0.clone());
        let state = &running.0;
        let params = params.get()?;
        state
            .recorder
            .advance_past(wire::read_stamp(params.get_stamp()?));
        let address = params.get_address()?.to_string()?;
        let call = wire::read_call(params.get_call()?)?;
        let (sender, receiver) = flume::unbounded();
        let mut forwarded = ForwardedCall::new(state, address, &call)?;
        let job = forwarded.job(call, sender);
        state.run(job)?;
        let (tokens, result) = send_tokens(&receiver, params.get_sink()?).await?;
        forwarded.is_ended = true;
        let mut results = results.get();
        wire::write_stamp(state.recorder.stamp(), results.reborrow().init_stamp());
        results.set_tokens(tokens);
        wire::write_result(&result, results.init_result());
        Ok(())
    }

    async fn remainder(
        self: capnp::capability::Rc<Self>,
        params: daemon::RemainderParams,
        mut results: daemon::RemainderResults,
    ) -> capnp::Result<()> {
        let running = RunningCall::new(self.0.clone());
        let state = &running.0;
        let params = params.get()?;
        state
            .recorder
            .advance_past(wire::read_stamp(params.get_stamp()?));
        let remainder = wire::read_remainder(params.get_rest()?)?;
        let (sender, receiver) = flume::unbounded();
        let (tokens, remote) = match state.host()?.start_remainder(&remainder, sender) {
            Ok(reader) => {
                let ended = send_tokens(&receiver, params.get_sink()?).await?;
                // If this call is dropped before here, so is the reader, which cancels the request.
                drop(reader);
                ended
            }
            Err(finish) => (0, refused(finish)),
        };
        let mut results = results.get();
        wire::write_stamp(state.recorder.stamp(), results.reborrow().init_stamp());
        results.set_tokens(tokens);
        wire::write_remote(&remote, results.init_remote());
        Ok(())
    }
}

fn refused(finish: Finish) -> Remote {
    Remote {
        finish,
        stage_results: Vec::new(),
        doubtful: false,
        usage: endpoint::Usage::default(),
    }
}

/// A forwarded call, which is cancelled when the other daemon no longer waits for it.
struct ForwardedCall {
    state: Arc<ServerState>,
    host: Arc<dyn Host>,
    address: String,
    request: id::Request,
    attempt: id::Attempt,
    is_cancelled: Arc<AtomicBool>,
    is_ended: bool,
}

impl ForwardedCall {
    fn new(state: &Arc<ServerState>, address: String, call: &Call) -> capnp::Result<Self> {
        Ok(Self {
            state: state.clone(),
            host: state.host()?,
            address,
            request: call.request,
            attempt: call.attempt,
            is_cancelled: Arc::default(),
            is_ended: false,
        })
    }

    fn job(
        &self,
        call: Call,
        sender: flume::Sender<Relayed<endpoint::Result<Answer>>>,
    ) -> impl FnOnce() + Send + 'static {
        let (host, address) = (self.host.clone(), self.address.clone());
        let is_cancelled = self.is_cancelled.clone();
        move || {
            let mut sink = |token: Token| {
                let sent = sender.send(Relayed::Tokens(vec![token]));
                if sent.is_err() || is_cancelled.load(Ordering::Acquire) {
                    return Err(cancelled(&address));
                }
                Ok(())
            };
            let result = host.forward(&address, &call, &mut sink);
            drop(sender.send(Relayed::End(result)));
        }
    }
}

impl Drop for ForwardedCall {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        self.is_cancelled.store(true, Ordering::Release);
        let (host, address) = (self.host.clone(), self.address.clone());
        let (request, attempt) = (self.request, self.attempt);
        // If no thread is free, the endpoint runs the call to its end in vain.
        drop(
            self.state
                .run(move || host.cancel(&address, request, attempt)),
        );
    }
}

fn cancelled(peer: &str) -> endpoint::Error {
    endpoint::Error::Lost {
        step: "forwarded call",
        peer: peer.to_owned(),
        reason: "the other daemon no longer waits".into(),
    }
}

/// Sends tokens back until the call ends; returns their number and the result.
///
/// Tokens that arrive while [`MAX_UNACKED_MESSAGES`] messages are pending share a message.
async fn send_tokens<T>(
    receiver: &flume::Receiver<Relayed<T>>,
    sink: sink::Client,
) -> capnp::Result<(u32, T)> {
    let mut sent = FuturesUnordered::new();
    let mut count = 0;
    loop {
        let relayed = tokio::select! {
            Some(done) = sent.next(), if !sent.is_empty() => {
                let _: capnp::capability::Response<_> = done?;
                continue;
            }
            relayed = receiver.recv_async(), if sent.len() < MAX_UNACKED_MESSAGES => relayed,
        };
        let Ok(relayed) = relayed else {
            return Err(Error::failed("the call ended without a result".into()));
        };
        let (tokens, end) = take_pending(relayed, receiver);
        if !tokens.is_empty() {
            count += wire::list_length(tokens.len());
            let mut request = sink.put_request();
            let list = request.get().init_tokens(wire::list_length(tokens.len()));
            wire::write_tokens(&tokens, list);
            sent.push(request.send().promise);
        }
        if let Some(end) = end {
            // Waiting for the acknowledgement of the last tokens would cost a round trip.
            tokio::task::spawn_local(async move { while sent.next().await.is_some() {} });
            return Ok((count, end));
        }
    }
}

/// Collects the pending tokens and any result.
fn take_pending<T>(
    first: Relayed<T>,
    receiver: &flume::Receiver<Relayed<T>>,
) -> (Vec<Token>, Option<T>) {
    let mut tokens = Vec::new();
    for relayed in std::iter::once(first).chain(receiver.try_iter()) {
        match relayed {
            Relayed::Tokens(mut more) => tokens.append(&mut more),
            Relayed::End(end) => return (tokens, Some(end)),
        }
    }
    (tokens, None)
}
