//! The desk of one daemon: threads around the claim streams.
//!
//! Claims go to the preferred writer of their stream; a daemon whose writer does not answer
//! decides for itself, which is as safe. See [the design note](../../docs/design/claims.md).

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use parking_lot::{Condvar, Mutex};
use snafu::Snafu;

use self::lane::Job;
use super::in_doubt::{Decision, Writers};
use super::message::{Message, Reply, Settlement};
use super::router::{self, Peer, View};
use super::stream::waiter::{REPLY_MARGIN, RETRY_AFTER};
use super::{Claim, Outcome, Verdict, record, window};
use crate::clock::{Clock, Time};
use crate::{id, peer, platform, settings};

mod builder;
mod lane;
mod outbox;

pub use builder::Builder;

/// How often the desk looks at the live daemons and at its own role.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// How long a message of another daemon waits for its verdict.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a daemon waits for the preferred writer, besides the half of what remains.
pub const WRITER_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a writer that did not answer is passed over.
pub const AVOID_PERIOD: Duration = Duration::from_secs(5);
/// How often a flush looks for requests that need no record after all.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Claims that wait for their verdict at a time.
pub const MAX_WAITING_CLAIMS: usize = 512;

/// Why a desk did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)), display("{step} of daemon {peer}: {reason}"))]
pub struct Error {
    step: &'static str,
    peer: id::Daemon,
    reason: String,
}

/// What the threads of a desk share.
pub(crate) struct Shared {
    daemon: id::Daemon,
    claims: settings::Claims,
    accepts_undated: bool,
    log_region: Option<id::Region>,
    log: Arc<dyn platform::Log>,
    link: Option<Arc<dyn peer::Link>>,
    clock: Arc<dyn Clock>,
    view: Arc<dyn View>,
    routes: Mutex<router::Table>,
    lanes: Mutex<IndexMap<u32, flume::Sender<Job>>>,
    /// Requests that were asked for here and have not been settled.
    open_claims: Mutex<IndexMap<id::Request, Claim>>,
    /// Requests whose outcome or release is not durable yet.
    not_durable: Mutex<IndexSet<id::Request>>,
    all_durable: Condvar,
    avoided_until: Mutex<IndexMap<u32, Time>>,
    waiting_count: Mutex<usize>,
    is_stopped: AtomicBool,
}

/// Decides claims for the requests of one daemon.
pub struct Coordinator {
    shared: Arc<Shared>,
    outbox: flume::Sender<Settlement>,
}

impl Coordinator {
    /// Begins the options of a desk.
    pub fn builder(daemon: id::Daemon, log: Arc<dyn platform::Log>) -> Builder {
        Builder::new(daemon, log)
    }

    fn start(shared: Shared) -> Result<Self, Error> {
        shared.refresh_peers();
        let shared = Arc::new(shared);
        let (outbox, settles) = flume::unbounded();
        let at = shared.clone();
        shared.spawn("claim-outbox", move || outbox::run(&at, &settles))?;
        let at = shared.clone();
        shared.spawn("claim-keeper", move || lane::keep_open(&at))?;
        Ok(Self { shared, outbox })
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        self.shared.lanes.lock().clear();
    }
}

impl Shared {
    fn spawn(&self, name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), Error> {
        let spawned = thread::Builder::new().name(name.into()).spawn(run);
        spawned.map(drop).map_err(|e| Error {
            step: "start of a thread",
            peer: self.daemon.clone(),
            reason: e.to_string(),
        })
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    fn stream_of(&self, ask: &Claim) -> u32 {
        let place = record::key_hash(&ask.workspace, &ask.key);
        record::stream_of(place, self.claims.streams)
    }

    /// Returns the daemon to ask about a stream, unless this one is to decide for itself.
    fn remote_writer(&self, stream: u32) -> Option<Peer> {
        self.link.as_ref()?;
        let avoided = self.avoided_until.lock().get(&stream).copied();
        if avoided.is_some_and(|until| self.clock.now() < until) {
            return None;
        }
        let routes = self.routes.lock();
        let writer = routes.writer(stream)?;
        (writer.daemon != self.daemon).then(|| writer.clone())
    }

    /// Looks at the live daemons.
    fn refresh_peers(&self) {
        let peers = self.view.peers();
        let near = self.log_region.as_ref();
        self.routes.lock().update(peers, self.claims.streams, near);
    }

    /// Says whether this daemon is the preferred writer of a stream, as far as it knows.
    fn is_writer(&self, stream: u32) -> bool {
        let routes = self.routes.lock();
        routes
            .writer(stream)
            .is_none_or(|w| w.daemon == self.daemon)
    }

    fn avoid_writer(&self, stream: u32) {
        let until = self.clock.now() + AVOID_PERIOD;
        self.avoided_until.lock().insert(stream, until);
    }

    /// Notes that the outcome of a request is to be made durable.
    fn mark_not_durable(&self, request: id::Request) {
        self.not_durable.lock().insert(request);
    }

    fn mark_durable(&self, request: id::Request) {
        let mut unsettled = self.not_durable.lock();
        unsettled.swap_remove(&request);
        if unsettled.is_empty() {
            self.all_durable.notify_all();
        }
    }

    /// Decides a claim through the stream of this daemon.
    fn decide_locally(self: &Arc<Self>, ask: Claim, patience: Duration) -> Decision {
        let (tx, rx) = flume::bounded(1);
        let stream = self.stream_of(&ask);
        let job = Job::Claim(ask, self.daemon.clone(), tx);
        lane::send(self, stream, job);
        rx.recv_timeout(patience + REPLY_MARGIN)
            .unwrap_or_else(|_| Decision {
                verdict: refusal("the claim was not decided in time"),
                is_in_doubt: true,
            })
    }

    /// Asks the preferred writer; none when it did not answer.
    fn ask_writer(
        &self,
        writer: &Peer,
        ask: &Claim,
        timeout: Duration,
        course: &mut Writers,
    ) -> Option<Reply> {
        let link = self.link.as_ref()?;
        let body = Message::Claim(ask.clone()).encode();
        course.sent(&writer.address);
        let answer = match link.ask(&writer.address, peer::Topic::Claim, &body, timeout) {
            Ok(answer) => answer,
            Err(peer::Error::NotSent { .. }) => {
                course.resolved(&writer.address);
                return None;
            }
            Err(peer::Error::Lost { .. }) => return None,
        };
        let reply = Reply::decode(&answer).ok()?;
        if matches!(reply, Reply::Decided(..)) {
            course.resolved(&writer.address);
        }
        Some(reply)
    }

    /// Decides a claim through the preferred writer, and here when that one does not answer.
    fn decide(self: &Arc<Self>, mut ask: Claim) -> Decision {
        let deadline = Instant::now() + ask.remaining.saturating_sub(REPLY_MARGIN);
        let stream = self.stream_of(&ask);
        let mut course = Writers::default();
        while let Some(writer) = self.remote_writer(stream) {
            ask.remaining = deadline.saturating_duration_since(Instant::now());
            if ask.remaining.is_zero() {
                let verdict = refusal("an earlier request with the key still runs");
                return course.decide(verdict, false);
            }
            let timeout = WRITER_TIMEOUT.min(ask.remaining / 2).max(REPLY_MARGIN);
            match self.ask_writer(&writer, &ask, timeout, &mut course) {
                Some(Reply::Decided(verdict, stands)) => return course.decide(verdict, stands),
                Some(Reply::Pending) => {}
                Some(Reply::Durable(_)) | None => self.avoid_writer(stream),
            }
        }
        ask.remaining = deadline.saturating_duration_since(Instant::now());
        let patience = ask.remaining;
        let here = self.decide_locally(ask, patience);
        course.decide(here.verdict, here.is_in_doubt)
    }
}

fn refusal(reason: &str) -> Verdict {
    Verdict::NotRun {
        reason: reason.into(),
        retry_after: Some(RETRY_AFTER),
    }
}

fn undated() -> Verdict {
    Verdict::NotRun {
        reason: "the key must be a UUIDv7 or come with its time of issue".into(),
        retry_after: None,
    }
}

/// Gives the verdict to the caller, and releases the claim of a request that will not run.
fn finish(
    shared: &Shared,
    outbox: &flume::Sender<Settlement>,
    ask: Claim,
    decision: Decision,
    reply: &flume::Sender<Verdict>,
) {
    let Decision {
        verdict,
        is_in_doubt: stands,
    } = decision;
    let is_granted = verdict == Verdict::Granted;
    let is_heard = reply.send(verdict).is_ok();
    if is_granted && is_heard {
        return;
    }
    let request = ask.request;
    if stands || is_granted {
        shared.mark_not_durable(request);
        let outcome = Outcome::Released;
        drop(outbox.send(Settlement {
            claim: ask,
            outcome,
        }));
    }
    shared.open_claims.lock().swap_remove(&request);
}

impl super::Coordinator for Coordinator {
    fn claim(&self, ask: Claim, reply: flume::Sender<Verdict>) {
        let shared = self.shared.clone();
        if !shared.accepts_undated && window::issued(&ask.key, ask.issued).is_none() {
            drop(reply.send(undated()));
            return;
        }
        let busy = {
            let mut count = shared.waiting_count.lock();
            *count += 1;
            *count > MAX_WAITING_CLAIMS
        };
        if busy {
            *shared.waiting_count.lock() -= 1;
            drop(reply.send(refusal("too many claims wait for the log")));
            return;
        }
        shared.open_claims.lock().insert(ask.request, ask.clone());
        let outbox = self.outbox.clone();
        let at = shared.clone();
        let waiting = ask.clone();
        let told = reply.clone();
        let spawned = shared.spawn("claim-ask", move || {
            let decision = at.decide(waiting.clone());
            *at.waiting_count.lock() -= 1;
            finish(&at, &outbox, waiting, decision, &told);
        });
        if spawned.is_err() {
            *shared.waiting_count.lock() -= 1;
            shared.open_claims.lock().swap_remove(&ask.request);
            drop(reply.send(refusal("no thread could be started")));
        }
    }

    fn settle(&self, request: id::Request, outcome: Outcome) {
        let Some(ask) = self.shared.open_claims.lock().get(&request).cloned() else {
            return;
        };
        self.shared.mark_not_durable(request);
        drop(self.outbox.send(Settlement {
            claim: ask,
            outcome,
        }));
        self.shared.open_claims.lock().swap_remove(&request);
    }

    /// Also waits for requests that are not decided or not settled: each may yet need a record.
    fn flush(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        loop {
            let mut unsettled = self.shared.not_durable.lock();
            if unsettled.is_empty() && self.shared.open_claims.lock().is_empty() {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            self.shared
                .all_durable
                .wait_for(&mut unsettled, left.min(FLUSH_POLL_INTERVAL));
        }
    }
}

impl peer::Handler for Coordinator {
    fn handle(&self, from: &id::Daemon, body: &[u8]) -> Result<Vec<u8>, String> {
        let message = Message::decode(body).map_err(|e| e.to_string())?;
        let reply = match message {
            Message::Claim(ask) => self.handle_claim(ask, from.clone()),
            Message::Settle(settles) => self.handle_settlements(settles),
        };
        Ok(reply.encode())
    }
}

impl Coordinator {
    fn handle_claim(&self, ask: Claim, executor: id::Daemon) -> Reply {
        let (tx, rx) = flume::bounded(1);
        let hold = REPLY_TIMEOUT.min(ask.remaining / 3);
        let stream = self.shared.stream_of(&ask);
        lane::send(&self.shared, stream, Job::Claim(ask, executor, tx));
        rx.recv_timeout(hold).map_or(Reply::Pending, |decision| {
            Reply::Decided(decision.verdict, decision.is_in_doubt)
        })
    }

    fn handle_settlements(&self, settles: Vec<Settlement>) -> Reply {
        let count = settles.len();
        let (tx, rx) = flume::bounded(count.max(1));
        for Settlement {
            claim: ask,
            outcome,
        } in settles
        {
            let stream = self.shared.stream_of(&ask);
            let job = Job::Settle(Box::new(ask), outcome, Some(tx.clone()));
            lane::send(&self.shared, stream, job);
        }
        drop(tx);
        let until = Instant::now() + REPLY_TIMEOUT;
        let all = (0..count).all(|_| rx.recv_deadline(until).is_ok());
        Reply::Durable(all)
    }
}

#[cfg(test)]
mod tests;
