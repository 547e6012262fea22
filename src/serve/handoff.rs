//! Has other daemons write to the log what this one cannot.
//!
//! What a daemon says to the log alone is lost with it while its writes fail, though other daemons may reach the log.
//! So it hands that over to some of them, which write it and keep it until that is done. See
//! [the design note](../../docs/design/handoff.md).

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use slog::{Logger, info, warn};
use snafu::Snafu;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::meter::Meter;
use super::origin::{Origins, Record};
use super::quarantine::Quarantine;
use super::region::Member;
use crate::clock::{Clock, Time};
use crate::id;
use crate::quarantine::evidence;

mod health;
mod order;

pub use health::{Doubt, Health};
pub use order::{Candidate, Order};

/// How long what is new is gathered after something was handed over: whoever gets it writes it at once.
const GATHER_DELAY: Duration = Duration::from_millis(75);
/// How long a daemon may take to answer before the next one is asked, too.
const NEXT_DELAY: Duration = Duration::from_millis(60);
/// How long a daemon that is asked tries to write before it answers that it keeps what it got.
const KEEP_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a daemon may take to answer at all.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The time between attempts while no other daemon answers.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Why another daemon could not be asked.
#[derive(Debug, Snafu)]
#[snafu(display("{step} daemon {daemon}: {reason}"))]
pub struct Error {
    /// The step that failed.
    pub step: &'static str,
    /// The daemon.
    pub daemon: id::Daemon,
    /// What went wrong.
    pub reason: String,
}

event! {
    /// What one daemon hands over to others.
    #[derive(Default)]
    pub struct Load {
        /// What began streams, each with the age of the record.
        pub streams: Vec<(Record, Duration)>,
        /// What is known of content that ends endpoints.
        pub evidence: Vec<evidence::Record>,
    }

    /// What a daemon answers that was handed something.
    pub struct Receipt {
        /// Whether the log has all of it; otherwise the daemon writes it later.
        pub is_written: bool,
        /// The epoch of the log, as far as that daemon knows.
        pub epoch: id::Epoch,
    }
}

impl Load {
    /// Returns whether there is nothing to hand over.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty() && self.evidence.is_empty()
    }
}

/// The other daemons.
pub trait Helpers {
    /// Returns the daemons that may be asked; those first that suit best.
    fn candidates(&self) -> Vec<Candidate>;
    /// Hands something over to a daemon.
    fn keep<'a>(
        &'a self,
        member: &'a Member,
        load: &'a Load,
    ) -> LocalBoxFuture<'a, Result<Receipt, Error>>;
}

/// Writes to the log what another daemon cannot write, and keeps it until that is done.
pub(super) async fn keep(
    origins: &Origins,
    quarantine: &Quarantine,
    load: &Load,
    now: Time,
) -> Receipt {
    origins.keep(&load.streams);
    quarantine.keep(&load.evidence, now);
    let written = async {
        origins.wait_kept(&load.streams).await;
        quarantine.wait_kept(&load.evidence).await;
    };
    // The sender asks another daemon then, and need not wait for this one.
    let patience = if origins.health().is_doubtful() {
        Duration::ZERO
    } else {
        KEEP_TIMEOUT
    };
    let is_written = timeout(patience, written).await.is_ok();
    Receipt {
        is_written,
        epoch: origins.epoch(),
    }
}

/// What a daemon has done with what it was handed.
enum Outcome {
    /// The log has all of it.
    Written,
    /// It writes it later.
    Kept,
    /// It did not answer, or does not know the call.
    Unknown,
}

/// What a handoff is built from.
pub struct Dependencies {
    /// The other daemons.
    pub helpers: Rc<dyn Helpers>,
    /// How many of them keep what none could write yet.
    pub holders: usize,
    /// What began each stream.
    pub origins: Rc<Origins>,
    /// The content that ends endpoints.
    pub quarantine: Rc<Quarantine>,
    /// Whether this daemon can write to the log.
    pub health: Rc<Health>,
    /// The clock, which a suspension of the VM does not stop.
    pub clock: Rc<dyn Clock>,
    /// The metrics.
    pub meter: Rc<Meter>,
    /// The logger.
    pub log: Logger,
}

/// Hands over what this daemon cannot write.
pub struct Handoff {
    helpers: Rc<dyn Helpers>,
    holders: usize,
    origins: Rc<Origins>,
    quarantine: Rc<Quarantine>,
    health: Rc<Health>,
    order: RefCell<Order>,
    clock: Rc<dyn Clock>,
    meter: Rc<Meter>,
    log: Logger,
}

impl Handoff {
    /// Starts to hand over what cannot be written, as long as the process runs.
    pub fn start(dependencies: Dependencies) {
        let handoff = Self {
            helpers: dependencies.helpers,
            holders: dependencies.holders.max(1),
            origins: dependencies.origins,
            quarantine: dependencies.quarantine,
            health: dependencies.health,
            order: RefCell::default(),
            clock: dependencies.clock,
            meter: dependencies.meter,
            log: dependencies.log,
        };
        spawn_local(handoff.run());
    }

    async fn run(self) {
        loop {
            self.health.woken().await;
            while self.health.is_doubtful() {
                let load = Load {
                    streams: self.origins.unheld(),
                    evidence: self.quarantine.unheld(self.clock.now()),
                };
                if load.is_empty() {
                    // Evidence wakes nobody.
                    drop(timeout(RETRY_DELAY, self.health.woken()).await);
                    continue;
                }
                let is_kept = self.hand_over(&load).await;
                let delay = if is_kept { GATHER_DELAY } else { RETRY_DELAY };
                tokio::time::sleep(delay).await;
            }
        }
    }

    /// Asks daemons one after the other, until one has written everything; returns whether any keeps it.
    async fn hand_over(&self, load: &Load) -> bool {
        let candidates = self.helpers.candidates();
        let now = self.clock.now();
        let members = self.order.borrow().choose(candidates, self.holders, now);
        let mut waiting = members.iter();
        let mut calls = FuturesUnordered::new();
        let mut keepers = 0;
        loop {
            let next = waiting.next();
            calls.extend(next.map(|member| self.ask(member, load)));
            // Without another daemon to ask, all answers are waited for.
            let patience = next.map_or(ANSWER_TIMEOUT, |_| NEXT_DELAY);
            match timeout(patience, calls.next()).await {
                Ok(Some(Outcome::Written)) => {
                    self.origins.set_written(&load.streams);
                    let now = self.clock.now();
                    self.quarantine.set_written(&load.evidence, now);
                    return true;
                }
                Ok(Some(Outcome::Kept)) => keepers += 1,
                Ok(None) => break,
                Ok(Some(Outcome::Unknown)) | Err(_) => {}
            }
        }
        if keepers == 0 {
            warn!(self.log, "nobody keeps what is not written";
                "streams" => load.streams.len(), "subjects" => load.evidence.len());
            self.meter.count("handoff.failed");
            return false;
        }
        self.origins.set_held(&load.streams);
        self.quarantine.set_held(&load.evidence);
        true
    }

    /// Asks one daemon.
    async fn ask(&self, member: &Member, load: &Load) -> Outcome {
        let answer = timeout(ANSWER_TIMEOUT, self.helpers.keep(member, load)).await;
        let receipt = answer.map_err(|_| "no answer in time".to_owned());
        let receipt = receipt.and_then(|receipt| receipt.map_err(|error| error.to_string()));
        let (name, mut order) = (&member.name, self.order.borrow_mut());
        match receipt {
            Ok(receipt) => {
                // A daemon that has not noticed that the log went back takes for written what is gone.
                let is_written = receipt.is_written && receipt.epoch >= self.origins.epoch();
                info!(self.log, "handed over what is not written";
                    "helper" => &**name, "streams" => load.streams.len(),
                    "subjects" => load.evidence.len(), "written" => is_written);
                if is_written {
                    order.wrote(name);
                    self.meter.count("handoff.written");
                    Outcome::Written
                } else {
                    order.kept(name, self.clock.now());
                    self.meter.count("handoff.held");
                    Outcome::Kept
                }
            }
            Err(reason) => {
                info!(self.log, "nothing handed over"; "helper" => &**name, "error" => reason);
                order.failed(name, self.clock.now());
                Outcome::Unknown
            }
        }
    }
}

#[cfg(test)]
mod tests;
