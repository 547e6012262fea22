//! The coordinator of one daemon: threads that drive the claim streams.
//!
//! Claims go to the preferred writer of their stream; when it does not answer, the daemon
//! decides them itself, which is equally safe. See [the design note](../../docs/design/claims.md).

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

/// How often the preferred writers are updated.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// How long a message of another daemon is held for its result.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest wait for the preferred writer; a claim waits at most half of what remains.
pub const WRITER_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a daemon bypasses the writer of a stream that did not answer.
pub const AVOID_PERIOD: Duration = Duration::from_secs(5);
/// How often a flush checks for requests that ended without a record.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The most claims that wait for a verdict at a time.
pub const MAX_WAITING_CLAIMS: usize = 512;

/// Why a coordinator did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)), display("{step} of daemon {peer}: {reason}"))]
pub struct Error {
    step: &'static str,
    peer: id::Daemon,
    reason: String,
}

/// What the threads of a coordinator share.
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
    /// Claims submitted here that are undecided, or granted and not settled.
    open_claims: Mutex<IndexMap<id::Request, Claim>>,
    /// Requests whose outcome or release is not durable yet.
    not_durable: Mutex<IndexSet<id::Request>>,
    all_durable: Condvar,
    /// Until when the writer of a stream is bypassed.
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
    /// Returns a builder of a coordinator.
    pub fn builder(daemon: id::Daemon, log: Arc<dyn platform::Log>) -> Builder {
        Builder::new(daemon, log)
    }

    fn start(shared: Shared) -> Result<Self, Error> {
        shared.refresh_peers();
        let shared = Arc::new(shared);
        let (outbox, settlements) = flume::unbounded();
        let for_outbox = shared.clone();
        shared.spawn("claim-outbox", move || {
            outbox::run(&for_outbox, &settlements)
        })?;
        let for_keeper = shared.clone();
        shared.spawn("claim-keeper", move || lane::keep_open(&for_keeper))?;
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

    fn stream_of(&self, claim: &Claim) -> u32 {
        let hash = record::key_hash(&claim.workspace, &claim.key);
        record::stream_of(hash, self.claims.streams)
    }

    /// Returns the preferred writer of a stream; none when this daemon is to decide itself.
    fn remote_writer(&self, stream: u32) -> Option<Peer> {
        self.link.as_ref()?;
        let avoided_until = self.avoided_until.lock().get(&stream).copied();
        if avoided_until.is_some_and(|until| self.clock.now() < until) {
            return None;
        }
        let routes = self.routes.lock();
        let writer = routes.writer(stream)?;
        (writer.daemon != self.daemon).then(|| writer.clone())
    }

    /// Updates the live daemons and the preferred writers.
    fn refresh_peers(&self) {
        let peers = self.view.peers();
        let log_region = self.log_region.as_ref();
        self.routes
            .lock()
            .update(peers, self.claims.streams, log_region);
    }

    /// Returns whether this daemon is the preferred writer of a stream, as far as it knows.
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
        let mut not_durable = self.not_durable.lock();
        not_durable.swap_remove(&request);
        if not_durable.is_empty() {
            self.all_durable.notify_all();
        }
    }

    /// Decides a claim through a lane of this daemon.
    fn decide_locally(self: &Arc<Self>, claim: Claim, timeout: Duration) -> Decision {
        let (tx, rx) = flume::bounded(1);
        let stream = self.stream_of(&claim);
        let job = Job::Claim(claim, self.daemon.clone(), tx);
        lane::send(self, stream, job);
        rx.recv_timeout(timeout + REPLY_MARGIN)
            .unwrap_or_else(|_| Decision {
                verdict: refusal("the claim was not decided in time"),
                is_in_doubt: true,
            })
    }

    /// Sends a claim to the preferred writer; none when it did not answer.
    fn ask_writer(
        &self,
        writer: &Peer,
        claim: &Claim,
        timeout: Duration,
        writers: &mut Writers,
    ) -> Option<Reply> {
        let link = self.link.as_ref()?;
        let body = Message::Claim(claim.clone()).encode();
        writers.sent(&writer.address);
        let answer = match link.ask(&writer.address, peer::Topic::Claim, &body, timeout) {
            Ok(answer) => answer,
            Err(peer::Error::NotSent { .. }) => {
                writers.resolved(&writer.address);
                return None;
            }
            Err(peer::Error::Lost { .. }) => return None,
        };
        let reply = Reply::decode(&answer).ok()?;
        if matches!(reply, Reply::Decided(..)) {
            writers.resolved(&writer.address);
        }
        Some(reply)
    }

    /// Decides a claim through the preferred writer, or locally when it does not answer.
    fn decide(self: &Arc<Self>, mut claim: Claim) -> Decision {
        let deadline = Instant::now() + claim.remaining.saturating_sub(REPLY_MARGIN);
        let stream = self.stream_of(&claim);
        let mut writers = Writers::default();
        while let Some(writer) = self.remote_writer(stream) {
            claim.remaining = deadline.saturating_duration_since(Instant::now());
            if claim.remaining.is_zero() {
                let verdict = refusal("an earlier request with the key still runs");
                return writers.decide(verdict, false);
            }
            let timeout = WRITER_TIMEOUT.min(claim.remaining / 2).max(REPLY_MARGIN);
            match self.ask_writer(&writer, &claim, timeout, &mut writers) {
                Some(Reply::Decided(verdict, is_in_doubt)) => {
                    return writers.decide(verdict, is_in_doubt);
                }
                Some(Reply::Pending) => {}
                Some(Reply::Durable(_)) | None => self.avoid_writer(stream),
            }
        }
        claim.remaining = deadline.saturating_duration_since(Instant::now());
        let timeout = claim.remaining;
        let local = self.decide_locally(claim, timeout);
        writers.decide(local.verdict, local.is_in_doubt)
    }
}

fn refusal(reason: &str) -> Verdict {
    Verdict::NotRun {
        reason: reason.into(),
        retry_after: Some(RETRY_AFTER),
    }
}

fn undated_refusal() -> Verdict {
    Verdict::NotRun {
        reason: "the key must be a UUIDv7 or come with its time of issue".into(),
        retry_after: None,
    }
}

/// Sends the verdict to the caller, and releases the claim of a request that will not run.
fn finish(
    shared: &Shared,
    outbox: &flume::Sender<Settlement>,
    claim: Claim,
    decision: Decision,
    reply: &flume::Sender<Verdict>,
) {
    let Decision {
        verdict,
        is_in_doubt,
    } = decision;
    let is_granted = verdict == Verdict::Granted;
    let is_delivered = reply.send(verdict).is_ok();
    if is_granted && is_delivered {
        return;
    }
    let request = claim.request;
    if is_in_doubt || is_granted {
        shared.mark_not_durable(request);
        let outcome = Outcome::Released;
        drop(outbox.send(Settlement { claim, outcome }));
    }
    shared.open_claims.lock().swap_remove(&request);
}

impl super::Coordinator for Coordinator {
    fn claim(&self, claim: Claim, reply: flume::Sender<Verdict>) {
        let shared = self.shared.clone();
        if !shared.accepts_undated && window::issued(&claim.key, claim.issued).is_none() {
            drop(reply.send(undated_refusal()));
            return;
        }
        let is_full = {
            let mut count = shared.waiting_count.lock();
            *count += 1;
            *count > MAX_WAITING_CLAIMS
        };
        if is_full {
            *shared.waiting_count.lock() -= 1;
            drop(reply.send(refusal("too many claims wait for the log")));
            return;
        }
        shared
            .open_claims
            .lock()
            .insert(claim.request, claim.clone());
        let outbox = self.outbox.clone();
        let for_thread = shared.clone();
        let submitted = claim.clone();
        let verdict_reply = reply.clone();
        let spawned = shared.spawn("claim-ask", move || {
            let decision = for_thread.decide(submitted.clone());
            *for_thread.waiting_count.lock() -= 1;
            finish(&for_thread, &outbox, submitted, decision, &verdict_reply);
        });
        if spawned.is_err() {
            *shared.waiting_count.lock() -= 1;
            shared.open_claims.lock().swap_remove(&claim.request);
            drop(reply.send(refusal("no thread could be started")));
        }
    }

    fn settle(&self, request: id::Request, outcome: Outcome) {
        let Some(claim) = self.shared.open_claims.lock().get(&request).cloned() else {
            return;
        };
        self.shared.mark_not_durable(request);
        drop(self.outbox.send(Settlement { claim, outcome }));
        self.shared.open_claims.lock().swap_remove(&request);
    }

    /// Also waits for requests that are not decided or settled: each may yet need a record.
    fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        loop {
            let mut not_durable = self.shared.not_durable.lock();
            if not_durable.is_empty() && self.shared.open_claims.lock().is_empty() {
                return true;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            self.shared
                .all_durable
                .wait_for(&mut not_durable, left.min(FLUSH_POLL_INTERVAL));
        }
    }
}

impl peer::Handler for Coordinator {
    fn handle(&self, from: &id::Daemon, body: &[u8]) -> Result<Vec<u8>, String> {
        let message = Message::decode(body).map_err(|e| e.to_string())?;
        let reply = match message {
            Message::Claim(claim) => self.handle_claim(claim, from.clone()),
            Message::Settle(settlements) => self.handle_settlements(settlements),
        };
        Ok(reply.encode())
    }
}

impl Coordinator {
    fn handle_claim(&self, claim: Claim, executor: id::Daemon) -> Reply {
        let (tx, rx) = flume::bounded(1);
        let timeout = REPLY_TIMEOUT.min(claim.remaining / 3);
        let stream = self.shared.stream_of(&claim);
        lane::send(&self.shared, stream, Job::Claim(claim, executor, tx));
        rx.recv_timeout(timeout).map_or(Reply::Pending, |decision| {
            Reply::Decided(decision.verdict, decision.is_in_doubt)
        })
    }

    fn handle_settlements(&self, settlements: Vec<Settlement>) -> Reply {
        let count = settlements.len();
        let (tx, rx) = flume::bounded(count.max(1));
        for Settlement { claim, outcome } in settlements {
            let stream = self.shared.stream_of(&claim);
            let job = Job::Settle(Box::new(claim), outcome, Some(tx.clone()));
            lane::send(&self.shared, stream, job);
        }
        drop(tx);
        let deadline = Instant::now() + REPLY_TIMEOUT;
        let is_durable = (0..count).all(|_| rx.recv_deadline(deadline).is_ok());
        Reply::Durable(is_durable)
    }
}

#[cfg(test)]
mod tests;
