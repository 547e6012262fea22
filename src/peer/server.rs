//! The answering side: messages, forwarded calls and remainders of other daemons.

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

/// Messages with tokens that may be under way before more tokens are gathered.
const WINDOW: usize = 8;
/// Threads for messages and forwarded calls of other daemons.
const MAX_THREADS: usize = 4096;

/// Returns the topic as the schema has it.
pub fn topic(topic: Topic) -> schema::Topic {
    match topic {
        Topic::Claim => schema::Topic::Claim,
        Topic::Config => schema::Topic::Config,
        Topic::Member => schema::Topic::Member,
        Topic::Quarantine => schema::Topic::Quarantine,
        Topic::Digest => schema::Topic::Digest,
        Topic::Operate => schema::Topic::Operate,
    }
}

fn topic_of(topic: schema::Topic) -> Topic {
    match topic {
        schema::Topic::Claim => Topic::Claim,
        schema::Topic::Config => Topic::Config,
        schema::Topic::Member => Topic::Member,
        schema::Topic::Quarantine => Topic::Quarantine,
        schema::Topic::Digest => Topic::Digest,
        schema::Topic::Operate => Topic::Operate,
    }
}

/// What answers other daemons; it is filled in while the daemon starts.
pub struct Desk {
    recorder: Arc<Recorder>,
    handlers: RwLock<IndexMap<Topic, Arc<dyn Handler>>>,
    host: Mutex<Option<Arc<dyn Host>>>,
    pool: ThreadPool,
    busy: AtomicUsize,
}

/// Counts a call of another daemon while it runs.
struct Busy(Arc<Desk>);

impl Busy {
    fn new(desk: Arc<Desk>) -> Self {
        desk.busy.fetch_add(1, Ordering::AcqRel);
        Self(desk)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Desk {
    /// Makes one that answers nothing yet.
    pub fn new(recorder: Arc<Recorder>) -> Self {
        Self {
            recorder,
            handlers: RwLock::default(),
            host: Mutex::default(),
            pool: ThreadPool::new(MAX_THREADS),
            busy: 0.into(),
        }
    }

    /// Sets what answers the messages of a topic.
    pub fn handle(&self, topic: Topic, handler: Arc<dyn Handler>) {
        self.handlers.write().insert(topic, handler);
    }

    /// Sets or takes away what runs the calls of other daemons.
    pub fn serve(&self, host: Option<Arc<dyn Host>>) {
        *self.host.lock() = host;
    }

    /// Returns how many calls of other daemons run now.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Acquire)
    }

    fn host(&self) -> capnp::Result<Arc<dyn Host>> {
        let host = self.host.lock().clone();
        host.ok_or_else(|| Error::failed("the daemon takes no calls".into()))
    }

    fn run(&self, job: impl FnOnce() + Send + 'static) -> capnp::Result<()> {
        let taken = self.pool.run(Box::new(job));
        taken.map_err(|_| Error::overloaded("all threads are busy".into()))
    }
}

/// The answering side of one connection.
pub struct Server(pub Arc<Desk>);

impl daemon::Server for Server {
    async fn ask(
        self: capnp::capability::Rc<Self>,
        params: daemon::AskParams,
        mut results: daemon::AskResults,
    ) -> capnp::Result<()> {
        let busy = Busy::new(self.0.clone());
        let desk = &busy.0;
        let params = params.get()?;
        desk.recorder
            .advance_past(wire::read_stamp(params.get_stamp()?));
        let topic = topic_of(params.get_topic()?);
        let handler = desk.handlers.read().get(&topic).cloned();
        let handler = handler.ok_or_else(|| Error::failed(format!("nobody handles {topic:?}")))?;
        let from: id::Daemon = params.get_from()?.to_str()?.into();
        let body = params.get_body()?.to_vec();
        let (sender, receiver) = flume::bounded(1);
        desk.run(move || drop(sender.send(handler.handle(&from, &body))))?;
        let answer = receiver.recv_async().await;
        let answer = answer.map_err(|_| Error::failed("the handler ended".into()))?;
        let body = answer.map_err(Error::failed)?;
        let mut results = results.get();
        wire::write_stamp(desk.recorder.stamp(), results.reborrow().init_stamp());
        results.set_body(&body);
        Ok(())
    }

    async fn forward(
        self: capnp::capability::Rc<Self>,
        params: daemon::ForwardParams,
        mut results: daemon::ForwardResults,
    ) -> capnp::Result<()> {
        let busy = Busy::new(self.0.clone());
        let desk = &busy.0;
        let params = params.get()?;
        desk.recorder
            .advance_past(wire::read_stamp(params.get_stamp()?));
        let address = params.get_address()?.to_string()?;
        let call = wire::read_call(params.get_call()?)?;
        let (sender, receiver) = flume::unbounded();
        let mut forwarded = Forwarded::new(desk, address, &call)?;
        let job = forwarded.job(call, sender);
        desk.run(job)?;
        let (tokens, result) = pump(&receiver, params.get_sink()?).await?;
        forwarded.is_ended = true;
        let mut results = results.get();
        wire::write_stamp(desk.recorder.stamp(), results.reborrow().init_stamp());
        results.set_tokens(tokens);
        wire::write_result(&result, results.init_result());
        Ok(())
    }

    async fn remainder(
        self: capnp::capability::Rc<Self>,
        params: daemon::RemainderParams,
        mut results: daemon::RemainderResults,
    ) -> capnp::Result<()> {
        let busy = Busy::new(self.0.clone());
        let desk = &busy.0;
        let params = params.get()?;
        desk.recorder
            .advance_past(wire::read_stamp(params.get_stamp()?));
        let rest = wire::read_rest(params.get_rest()?)?;
        let (sender, receiver) = flume::unbounded();
        let (tokens, remote) = match desk.host()?.start_remainder(&rest, sender) {
            Ok(reader) => {
                let ended = pump(&receiver, params.get_sink()?).await?;
                // Until here, dropping this call drops the reader, which cancels the request.
                drop(reader);
                ended
            }
            Err(finish) => (0, refused(finish)),
        };
        let mut results = results.get();
        wire::write_stamp(desk.recorder.stamp(), results.reborrow().init_stamp());
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

/// A forwarded call, which is cancelled when the other daemon does not wait for it any more.
struct Forwarded {
    desk: Arc<Desk>,
    host: Arc<dyn Host>,
    address: String,
    request: id::Request,
    attempt: id::Attempt,
    stop: Arc<AtomicBool>,
    is_ended: bool,
}

impl Forwarded {
    fn new(desk: &Arc<Desk>, address: String, call: &Call) -> capnp::Result<Self> {
        Ok(Self {
            desk: desk.clone(),
            host: desk.host()?,
            address,
            request: call.request,
            attempt: call.attempt,
            stop: Arc::default(),
            is_ended: false,
        })
    }

    fn job(
        &self,
        call: Call,
        sender: flume::Sender<Relayed<endpoint::Result<Answer>>>,
    ) -> impl FnOnce() + Send + 'static {
        let (host, address) = (self.host.clone(), self.address.clone());
        let stop = self.stop.clone();
        move || {
            let mut sink = |token: Token| {
                let sent = sender.send(Relayed::Tokens(vec![token]));
                if sent.is_err() || stop.load(Ordering::Acquire) {
                    return Err(recalled(&address));
                }
                Ok(())
            };
            let result = host.forward(&address, &call, &mut sink);
            drop(sender.send(Relayed::End(result)));
        }
    }
}

impl Drop for Forwarded {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        self.stop.store(true, Ordering::Release);
        let (host, address) = (self.host.clone(), self.address.clone());
        let (request, attempt) = (self.request, self.attempt);
        // When no thread is free the endpoint runs the call to its end for nothing.
        drop(
            self.desk
                .run(move || host.cancel(&address, request, attempt)),
        );
    }
}

fn recalled(peer: &str) -> endpoint::Error {
    endpoint::Error::Lost {
        step: "forwarded call",
        peer: peer.to_owned(),
        reason: "the other daemon does not wait any more".into(),
    }
}

/// Sends tokens back until the end, and returns their number with it.
///
/// Tokens that come while the window is full share a message.
async fn pump<T>(
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
            relayed = receiver.recv_async(), if sent.len() < WINDOW => relayed,
        };
        let Ok(relayed) = relayed else {
            return Err(Error::failed("the call ended without a result".into()));
        };
        let (tokens, end) = gather(relayed, receiver);
        if !tokens.is_empty() {
            count += wire::count(tokens.len());
            let mut request = sink.put_request();
            let list = request.get().init_tokens(wire::count(tokens.len()));
            wire::write_tokens(&tokens, list);
            sent.push(request.send().promise);
        }
        if let Some(end) = end {
            // Waiting for the other side to take the last tokens would cost a round trip.
            tokio::task::spawn_local(async move { while sent.next().await.is_some() {} });
            return Ok((count, end));
        }
    }
}

/// Joins pending tokens.
fn gather<T>(first: Relayed<T>, receiver: &flume::Receiver<Relayed<T>>) -> (Vec<Token>, Option<T>) {
    let mut tokens = Vec::new();
    for relayed in std::iter::once(first).chain(receiver.try_iter()) {
        match relayed {
            Relayed::Tokens(mut more) => tokens.append(&mut more),
            Relayed::End(end) => return (tokens, Some(end)),
        }
    }
    (tokens, None)
}
