//! One daemon plans for its region: which one, and how the others reach it.
//!
//! All daemons rank the daemons of the region alike and use the first that answers. Two of them may
//! plan at once while views differ; that costs full calls, never a promise. See
//! [the design note](../../docs/design/fleet.md).

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use futures::future::LocalBoxFuture;
use indexmap::IndexMap;
use slog::{Logger, info};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

use super::dispatcher::{Dispatcher, LocalPlanner, PlannedRequest, RequestPlanner};
use super::plan::{Job, Refusal};
use super::progress::ReadProgress;
use crate::clock::Clock;
use crate::generated::plan_capnp::planner;
use crate::id;
use crate::peer::stream::{self, ByteCount, Coding};

mod copy;
mod host;
mod rank;
mod seat;
mod uses;
mod wire;

pub use host::listen;
pub use rank::{Member, Ranking};
use uses::Uses;

/// How often the planner is asked whether it is alive.
const PING_EVERY: Duration = Duration::from_millis(100);
/// How often the planner of another region is asked: the link between regions is billed.
const FAR_PING_EVERY: Duration = Duration::from_millis(500);
/// How long it may take to answer before another one is used. A request has about a second of slack,
/// and a daemon on a quota stands still for a tenth of a second.
const PING_TIME: Duration = Duration::from_millis(300);
/// How long a connection to a daemon of the region may take.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// How long a request waits for the planner to be found: as long as it takes to notice that it is
/// lost and to reach the next one.
const LINE_TIME: Duration = Duration::from_millis(500);
/// How often it looks.
const LINE_LOOK: Duration = Duration::from_millis(15);
/// Planners that may be lost with one request.
const PLANNERS: usize = 3;
/// Planners that may hand one request over; while all daemons are stopped in turn, each of them may.
const MOVES: usize = 10;

/// A connection to the daemon that plans.
struct Line {
    member: Member,
    client: planner::Client,
    running: JoinHandle<()>,
    /// Whether the daemon is held to be lost.
    is_lost: Cell<bool>,
    changed: Notify,
}

impl Line {
    fn new(member: Member, client: planner::Client, running: JoinHandle<()>) -> Rc<Self> {
        Rc::new(Self {
            member,
            client,
            running,
            is_lost: Cell::new(false),
            changed: Notify::new(),
        })
    }

    /// Gives the daemon up: a frozen one never answers what it was asked.
    fn lose(&self) {
        self.is_lost.set(true);
        self.changed.notify_waiters();
        self.running.abort();
    }

    /// Waits for an answer, or until the daemon is held to be lost.
    async fn answer<T>(&self, promise: impl Future<Output = capnp::Result<T>>) -> capnp::Result<T> {
        let lost = || capnp::Error::disconnected("the planner does not answer".into());
        if self.is_lost.get() {
            return Err(lost());
        }
        tokio::select! {
            biased;
            answer = promise => answer,
            () = self.changed.notified() => Err(lost()),
        }
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.running.abort();
    }
}

/// Plans requests at the daemon that plans for one region.
pub struct Region {
    /// The planner of this daemon, if it is of the region.
    local: Option<Rc<Dispatcher>>,
    /// Where the planner's knowledge of the store is noted.
    board: Option<Rc<ReadProgress>>,
    ranking: RefCell<Ranking>,
    line: RefCell<Option<Rc<Line>>>,
    uses: RefCell<Uses>,
    /// Another daemon is looked for at once.
    wake: Notify,
    ping_every: Duration,
    clock: Rc<dyn Clock>,
    log: Logger,
}

impl Region {
    /// Starts to look for the daemon that plans for this daemon's own region; until one answers,
    /// requests are planned here.
    pub fn own(
        own: Member,
        local: Rc<Dispatcher>,
        board: Rc<ReadProgress>,
        clock: Rc<dyn Clock>,
        log: Logger,
    ) -> Rc<Self> {
        Self::start(Ranking::new(own), Some((local, board)), clock, log)
    }

    /// Starts to look for the daemon that plans for another region.
    pub fn other(clock: Rc<dyn Clock>, log: Logger) -> Rc<Self> {
        Self::start(Ranking::default(), None, clock, log)
    }

    fn start(
        ranking: Ranking,
        here: Option<(Rc<Dispatcher>, Rc<ReadProgress>)>,
        clock: Rc<dyn Clock>,
        log: Logger,
    ) -> Rc<Self> {
        let ping_every = if here.is_some() {
            PING_EVERY
        } else {
            FAR_PING_EVERY
        };
        let (local, board) = here.unzip();
        let region = Rc::new(Self {
            local,
            board,
            ranking: RefCell::new(ranking),
            line: RefCell::new(None),
            uses: RefCell::default(),
            wake: Notify::new(),
            ping_every,
            clock,
            log,
        });
        spawn_local(region.clone().keep());
        region
    }

    /// A daemon has registered or has changed; without one, it has left for good.
    pub fn apply_member(&self, name: &id::Daemon, member: Option<Member>) {
        self.ranking.borrow_mut().learn(name, member);
    }

    /// The daemon is about to stop; the others are told at their next ping.
    fn resign(&self) {
        self.ranking.borrow_mut().resign(self.clock.now());
        if let Some(local) = self.local.as_ref().filter(|_| !self.is_planner()) {
            local.decide(|planner, _| planner.start_transfer());
        }
    }

    /// Returns whether this daemon itself is the first that can plan.
    fn is_planner(&self) -> bool {
        let ranking = self.ranking.borrow();
        let first = ranking.first(self.clock.now());
        ranking.is_listed() && first.is_some_and(|first| ranking.is_own(&first.name))
    }

    /// Returns the line to the planner. While it is looked for, planning here would only disturb the
    /// calls of the one that plans, so that is done after a while at the earliest.
    async fn line(&self) -> Option<Rc<Line>> {
        let start = self.clock.now();
        loop {
            let line = self.line.borrow().clone();
            let waited = self.clock.now().saturating_sub(start);
            if line.is_some() || self.is_planner() || waited >= LINE_TIME {
                return line;
            }
            tokio::time::sleep(LINE_LOOK).await;
        }
    }

    async fn keep(self: Rc<Self>) {
        loop {
            self.look().await;
            drop(timeout(self.ping_every, self.wake.notified()).await);
        }
    }

    /// Makes sure that the line leads to the first daemon that answers.
    async fn look(&self) {
        let now = self.clock.now();
        let Some(wanted) = self.ranking.borrow().first(now) else {
            return;
        };
        let line = self.line.borrow().clone();
        if let Some(line) = &line
            && line.member == wanted
        {
            return self.ping(line).await;
        }
        if self.is_planner() {
            if line.is_some() {
                info!(self.log, "planning here"; "reason" => "no better daemon answers");
                self.line.replace(None);
                if let Some(local) = &self.local {
                    let uses = self.uses.borrow().list(now);
                    local.decide(|planner, _| planner.record_cached(&uses));
                }
            }
            return;
        }
        if self.ranking.borrow().is_own(&wanted.name) {
            return;
        }
        match timeout(CONNECT_TIME, connect(wanted.address)).await {
            Ok(Ok((client, running))) => {
                let line = Line::new(wanted.clone(), client, running);
                // A daemon that accepts may still be frozen or cut off beyond its kernel.
                if self.answers(&line).await {
                    info!(self.log, "planning elsewhere"; "daemon" => &*wanted.name);
                    self.recall(&line);
                    self.line.replace(Some(line));
                    if let Some(local) = &self.local {
                        local.decide(|planner, _| planner.start_transfer());
                    }
                }
            }
            _ => self.down(&wanted, "no connection"),
        }
    }

    /// Tells a daemon that begins to plan what was sent to engines.
    fn recall(&self, line: &Line) {
        let uses = self.uses.borrow().ages(self.clock.now());
        if uses.is_empty() {
            return;
        }
        let mut request = line.client.recall_request();
        let count = u32::try_from(uses.len()).unwrap_or_default();
        wire::write_uses(&uses, request.get().init_uses(count));
        let sent = request.send().promise;
        // It only saves work, so a failure is of no consequence; the next ping notices it.
        spawn_local(async move { drop(sent.await) });
    }

    /// Asks whether a daemon plans. One that is about to stop does, but others are preferred.
    async fn answers(&self, line: &Line) -> bool {
        let asked = self.clock.now();
        let ping = line.client.ping_request().send().promise;
        let reason = match timeout(PING_TIME, ping).await {
            Ok(Ok(answer)) => match answer.get() {
                Ok(answer) => {
                    let marks = answer.get_marks();
                    let marks = marks.and_then(|marks| wire::read_marks(marks, asked));
                    if let (Some(board), Ok(marks)) = (&self.board, marks) {
                        board.set_planner_watermarks(marks);
                    }
                    if answer.get_leaving() {
                        let now = self.clock.now();
                        self.ranking.borrow_mut().leave(&line.member, now);
                        if self
                            .ranking
                            .borrow()
                            .first(now)
                            .is_some_and(|first| first != line.member)
                        {
                            self.wake.notify_one();
                        }
                    }
                    return true;
                }
                Err(_) => "its answer cannot be read",
            },
            Ok(Err(_)) => "the connection broke",
            Err(_) => "no answer",
        };
        self.down(&line.member, reason);
        false
    }

    async fn ping(&self, line: &Rc<Line>) {
        if !self.answers(line).await {
            self.line.replace(None);
            line.lose();
        }
    }

    fn down(&self, member: &Member, reason: &str) {
        info!(self.log, "planner lost"; "daemon" => &*member.name, "reason" => reason);
        let now = self.clock.now();
        self.ranking.borrow_mut().down(member, now);
    }

    async fn plan(&self, job: &Job) -> Result<Box<dyn PlannedRequest>, Refusal> {
        let mut job = Cow::Borrowed(job);
        let mut last = Refusal::planner_gone();
        let (mut lost, mut moves) = (0, 0);
        while lost < PLANNERS && moves < MOVES {
            if self.local.is_none() && self.line.borrow().is_none() {
                break;
            }
            let line = self.line().await;
            let planned = match (&line, &self.local) {
                (Some(line), _) => seat::Distant::take(line.clone(), &job, &self.clock).await,
                (None, Some(local)) => Ok(LocalPlanner(local.clone()).plan((*job).clone()).await),
                (None, None) => break,
            };
            match planned {
                Ok(Err(refusal)) if refusal.is_transferred => {
                    job.to_mut()
                        .transferred_results
                        .clone_from(&refusal.transferred_results);
                    last = refusal;
                    moves += 1;
                    self.moved(line).await;
                    continue;
                }
                Ok(Ok(seat)) => {
                    let (endpoint, now) = (&seat.grant().endpoint, self.clock.now());
                    self.uses.borrow_mut().note(endpoint, &job, now);
                    return Ok(seat);
                }
                Ok(refused) => return refused,
                Err(error) => {
                    info!(self.log, "planner lost a request"; "error" => %error);
                    lost += 1;
                }
            }
            // The keeper finds another planner meanwhile.
            tokio::time::sleep(PING_EVERY).await;
        }
        Err(last)
    }

    /// The planner on this line hands its requests over: waits until there is a line to the one that
    /// plans from now on.
    async fn moved(&self, from: Option<Rc<Line>>) {
        self.wake.notify_one();
        let is_same = || {
            let line = self.line.borrow();
            line.as_ref().map(Rc::as_ptr) == from.as_ref().map(Rc::as_ptr)
        };
        let start = self.clock.now();
        while is_same() && self.clock.now().saturating_sub(start) < LINE_TIME {
            tokio::time::sleep(LINE_LOOK).await;
        }
    }
}

/// Plans requests in this daemon's region, and in another one what its own refuses: only the
/// request itself crosses the link between regions then, and none of its results.
pub struct Regions {
    own: Rc<Region>,
    others: IndexMap<id::Region, Rc<Region>>,
    name: id::Region,
}

impl Regions {
    /// Makes the desk of a daemon.
    pub fn new(
        name: id::Region,
        own: Rc<Region>,
        others: IndexMap<id::Region, Rc<Region>>,
    ) -> Rc<Self> {
        Rc::new(Self { own, others, name })
    }

    /// A daemon has registered or has changed; without one, it has left for good.
    pub fn apply_member(&self, name: &id::Daemon, member: Option<(id::Region, Member)>) {
        let of = member.as_ref().map(|(region, _)| region.clone());
        let member = member.map(|(_, member)| member);
        let all = std::iter::once((&self.name, &self.own)).chain(&self.others);
        for (region, desk) in all {
            let here = of.as_ref().is_some_and(|of| of == region);
            desk.apply_member(name, member.clone().filter(|_| here));
        }
    }

    /// All registered daemons were told of.
    pub fn set_listed(&self) {
        for region in std::iter::once(&self.own).chain(self.others.values()) {
            region.ranking.borrow_mut().listed();
        }
    }

    async fn plan(&self, job: Job) -> Result<Box<dyn PlannedRequest>, Refusal> {
        let refusal = match self.own.plan(&job).await {
            Ok(seat) => return Ok(seat),
            Err(refusal) => refusal,
        };
        for other in self.others.values() {
            if let Ok(seat) = other.plan(&job).await {
                return Ok(seat);
            }
        }
        Err(refusal)
    }
}

impl RequestPlanner for Regions {
    fn plan(&self, job: Job) -> LocalBoxFuture<'_, Result<Box<dyn PlannedRequest>, Refusal>> {
        Box::pin(self.plan(job))
    }

    fn stop_planning(&self) {
        self.own.resign();
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<(planner::Client, JoinHandle<()>)> {
    let stream = TcpStream::connect(address).await?;
    let mut system = stream::open(stream, Coding::Plain, ByteCount::default()).await?;
    let client = system.bootstrap(Side::Server);
    let running = spawn_local(async move { drop(system.await) });
    Ok((client, running))
}

#[cfg(test)]
mod tests;
