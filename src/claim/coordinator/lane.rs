//! A lane: the thread of one claim stream, with the threads that append and read for it.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::super::in_doubt::Decision;
use super::super::stream::{Action, Event, Fetch, Now, Stream};
use super::super::writer::{self, Receipt};
use super::super::{Claim, Outcome};
use super::{REFRESH_INTERVAL, Shared};
use crate::clock::Time;
use crate::{id, platform};

/// How long an append may take.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a lane stays open without work.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Work for a lane.
pub(crate) enum Job {
    /// Decide a claim for its executor.
    Claim(Claim, id::Daemon, flume::Sender<Decision>),
    /// Record an outcome, and reply once it is durable.
    Settle(Box<Claim>, Outcome, Option<flume::Sender<()>>),
    /// An append or a read ended.
    Event(Event),
    /// Restart the idle timeout.
    KeepOpen,
}

/// Sends a job to the lane of a stream, and starts the lane if there is none.
pub(super) fn send(shared: &Arc<Shared>, stream: u32, job: Job) {
    let mut lanes = shared.lanes.lock();
    if shared.is_stopped() {
        return;
    }
    let job = match lanes.get(&stream) {
        None => job,
        Some(lane) => match lane.send(job) {
            Ok(()) => return,
            Err(flume::SendError(job)) => job,
        },
    };
    if let Some(lane) = start(shared, stream) {
        drop(lane.send(job));
        lanes.insert(stream, lane);
    }
}

/// Keeps the lanes open that this daemon is the preferred writer of.
pub(super) fn keep_open(shared: &Arc<Shared>) {
    while !shared.is_stopped() {
        shared.refresh_peers();
        let has_peers = !shared.routes.lock().peers().is_empty();
        for stream in 0..shared.claims.streams {
            if has_peers && shared.is_writer(stream) {
                send(shared, stream, Job::KeepOpen);
            }
        }
        std::thread::sleep(REFRESH_INTERVAL);
    }
}

fn start(shared: &Arc<Shared>, stream: u32) -> Option<flume::Sender<Job>> {
    let (jobs, inbox) = flume::unbounded();
    let mut lane = Lane::new(shared.clone(), stream, &jobs)?;
    let spawned = shared.spawn("claim-lane", move || lane.run(&inbox));
    spawned.is_ok().then_some(jobs)
}

struct Lane {
    shared: Arc<Shared>,
    number: u32,
    stream: Stream,
    appends: flume::Sender<Vec<u8>>,
    reads: flume::Sender<(id::Offset, Duration)>,
    fetches: flume::Sender<id::Offset>,
    decision_replies: IndexMap<id::Request, Vec<flume::Sender<Decision>>>,
    durable_replies: IndexMap<id::Request, Vec<flume::Sender<()>>>,
    refresh_at: Time,
    last_used: Time,
}

impl Lane {
    fn new(shared: Arc<Shared>, number: u32, jobs: &flume::Sender<Job>) -> Option<Self> {
        let name = super::record::stream_name(number);
        let appends = spawn_io(&shared, jobs, "claim-append", {
            let (log, name) = (shared.log.clone(), name.clone());
            move |body: Vec<u8>| Event::Appended(append(&*log, &name, &body))
        })?;
        let reads = spawn_io(&shared, jobs, "claim-read", {
            let (log, name) = (shared.log.clone(), name.clone());
            move |(from, wait)| Event::Read(log.read(&name, from, wait).ok())
        })?;
        let fetches = spawn_io(&shared, jobs, "claim-fetch", {
            let (log, name) = (shared.log.clone(), name.clone());
            move |offset| Event::Fetched(offset, fetch(&*log, &name, offset))
        })?;
        let stream = Stream::new(shared.daemon.clone(), &shared.claims);
        Some(Self {
            last_used: shared.clock.now(),
            refresh_at: Time::ZERO,
            shared,
            number,
            stream,
            appends,
            reads,
            fetches,
            decision_replies: IndexMap::new(),
            durable_replies: IndexMap::new(),
        })
    }

    fn now(&self) -> Now {
        Now {
            mono: self.shared.clock.now(),
            wall: self.shared.clock.wall(),
        }
    }

    fn run(&mut self, inbox: &flume::Receiver<Job>) {
        loop {
            self.refresh();
            let now = self.shared.clock.now();
            let wake = self
                .stream
                .next_wake()
                .unwrap_or(Time::MAX)
                .min(self.refresh_at);
            match inbox.recv_timeout(wake.saturating_sub(now)) {
                Ok(job) => self.handle(job),
                Err(flume::RecvTimeoutError::Timeout) => self.step(Event::Wake),
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            if self.shared.is_stopped() || self.close_if_idle(inbox) {
                return;
            }
        }
    }

    /// Removes an idle lane from the table, unless a job has arrived, and returns whether it did.
    fn close_if_idle(&mut self, inbox: &flume::Receiver<Job>) -> bool {
        let now = self.shared.clock.now();
        if !self.stream.is_idle() {
            self.last_used = now;
        }
        if now < self.last_used + IDLE_TIMEOUT {
            return false;
        }
        let mut lanes = self.shared.lanes.lock();
        let is_empty = inbox.is_empty();
        if is_empty {
            lanes.swap_remove(&self.number);
        }
        is_empty
    }

    fn handle(&mut self, job: Job) {
        match job {
            Job::Claim(claim, executor, reply) => {
                self.last_used = self.shared.clock.now();
                self.decision_replies
                    .entry(claim.request)
                    .or_default()
                    .push(reply);
                self.step(Event::Claim(claim, executor));
            }
            Job::Settle(claim, outcome, reply) => {
                self.last_used = self.shared.clock.now();
                self.durable_replies
                    .entry(claim.request)
                    .or_default()
                    .extend(reply);
                self.step(Event::Settle(claim, outcome));
            }
            Job::Event(event) => self.step(event),
            Job::KeepOpen => self.last_used = self.shared.clock.now(),
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.now();
        for action in self.stream.step(event, now) {
            match action {
                Action::Append(body) => drop(self.appends.send(body)),
                Action::Read(from, wait) => drop(self.reads.send((from, wait))),
                Action::Fetch(offset) => drop(self.fetches.send(offset)),
                Action::Decide(request, verdict, is_in_doubt) => {
                    let decision = Decision {
                        verdict,
                        is_in_doubt,
                    };
                    for reply in self
                        .decision_replies
                        .swap_remove(&request)
                        .unwrap_or_default()
                    {
                        drop(reply.send(decision.clone()));
                    }
                }
                Action::Durable(request) => {
                    for reply in self
                        .durable_replies
                        .swap_remove(&request)
                        .unwrap_or_default()
                    {
                        // The waiting daemon may have timed out.
                        let _ = reply.send(());
                    }
                    self.shared.mark_durable(request);
                }
            }
        }
    }

    /// Passes the live daemons, this daemon's role and its append rate to the stream.
    fn refresh(&mut self) {
        let now = self.shared.clock.now();
        if now < self.refresh_at {
            return;
        }
        self.refresh_at = now + REFRESH_INTERVAL;
        let peers = self.shared.routes.lock().peers().to_vec();
        let is_writer = self.shared.is_writer(self.number);
        let active = self.shared.lanes.lock().len();
        let rate = if is_writer {
            writer::stream_rate(self.shared.claims.streams)
        } else {
            writer::direct_rate(peers.len(), active)
        };
        self.step(Event::Role {
            writer: is_writer,
            rate,
        });
        self.step(Event::Members(
            peers.into_iter().map(|p| p.daemon).collect(),
        ));
    }
}

/// Starts a thread that does one kind of I/O and sends the results back; it ends with the lane.
fn spawn_io<T: Send + 'static>(
    shared: &Shared,
    jobs: &flume::Sender<Job>,
    name: &str,
    run: impl Fn(T) -> Event + Send + 'static,
) -> Option<flume::Sender<T>> {
    let (tx, rx) = flume::unbounded();
    // A weak sender, so that the lane ends once the coordinator drops its sender.
    let jobs = jobs.downgrade();
    let work = move || {
        for item in rx {
            let event = run(item);
            match jobs.upgrade() {
                Some(jobs) => drop(jobs.send(Job::Event(event))),
                None => return,
            }
        }
    };
    shared.spawn(name, work).ok()?;
    Some(tx)
}

fn append(log: &dyn platform::Log, stream: &str, body: &[u8]) -> Receipt {
    match log.append(stream, body, APPEND_TIMEOUT) {
        Ok(_) => Receipt::Done,
        Err(platform::Error::NoEffect { .. }) => Receipt::NoEffect,
        Err(platform::Error::Unknown { .. }) => Receipt::Unknown,
    }
}

fn fetch(log: &dyn platform::Log, stream: &str, offset: id::Offset) -> Fetch {
    let Ok(page) = log.read(stream, offset, Duration::ZERO) else {
        return Fetch::Failed;
    };
    let found = page.records.into_iter().find(|r| r.offset == offset);
    found.map_or(Fetch::Trimmed, |record| Fetch::Record(record.body))
}
