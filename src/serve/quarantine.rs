//! Content that ends the endpoints that run it: one place in each daemon that decides whether a request
//! may be sent, for its planners and for what they granted before.
//!
//! Daemons share what they find in a log, so that neither another region nor a daemon that starts later
//! begins with nothing. See [the design note](../../docs/design/quarantine.md).

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use slog::{Logger, info, warn};
use snafu::Snafu;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::handoff::Health;
use super::registry::Registry;
use crate::clock::{Clock, Time};
use crate::id;
use crate::quarantine::evidence::{Evidence, Life, Listing, Record, Subject, Suspects};

/// How long records are gathered before they are written together: calls to the log are priced.
const FLUSH_DELAY: Duration = Duration::from_millis(50);
/// The time between attempts to write to a log that fails.
const FLUSH_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The longest time for which the writer does not check what is due.
const MAX_WRITE_WAIT: Duration = Duration::from_secs(60);
/// The most records that are written together.
const MAX_BATCH: usize = 64;

/// Why the log could not be written.
#[derive(Debug, Snafu)]
#[snafu(display("{step} the log of refused content: {reason}"))]
pub struct Error {
    /// The step that failed.
    pub step: &'static str,
    /// What went wrong.
    pub reason: String,
}

/// The log in which daemons share their evidence; it keeps the newest record of each subject.
pub trait Log {
    /// Writes records; one without blames removes its subject.
    fn write<'a>(&'a self, records: &'a [Record]) -> LocalBoxFuture<'a, Result<(), Error>>;
}

/// The evidence of one daemon.
pub struct Quarantine {
    evidence: RefCell<Evidence>,
    has_unsent: Notify,
    /// Notified when records are not to be gathered any longer.
    flush_requested: Notify,
    has_sent: Notify,
    logger: Logger,
}

impl Quarantine {
    /// Makes the quarantine of a daemon that knows nothing.
    pub fn new(daemon: &id::Daemon, logger: Logger) -> Rc<Self> {
        Rc::new(Self {
            evidence: RefCell::new(Evidence::new(daemon)),
            has_unsent: Notify::new(),
            flush_requested: Notify::new(),
            has_sent: Notify::new(),
            logger,
        })
    }

    /// Records that an endpoint ended while it ran a request, after the answer had begun or before it.
    pub fn blame(&self, suspects: &Suspects, life: &Life, has_begun: bool, now: Time) {
        let mut evidence = self.evidence.borrow_mut();
        evidence.blame(suspects, life, has_begun, now);
    }

    /// Records that an endpoint of a service has been answering a request for a while.
    pub fn answering(&self, suspects: &Suspects, service: &id::Pool, now: Time) {
        self.evidence.borrow_mut().clear(suspects, service, now);
    }

    /// Records an answer that began at `began` and is complete.
    pub fn answered(&self, suspects: Suspects, life: Life, began: Time, now: Time) {
        let mut evidence = self.evidence.borrow_mut();
        if !evidence.is_empty() || !suspects.parts.is_empty() {
            evidence.answered(suspects, life, began, now);
        }
    }

    /// Records a request that was given up on before its endpoint answered it.
    pub fn unanswered(&self, suspects: &Suspects, life: Life, sent_at: Time) {
        let mut evidence = self.evidence.borrow_mut();
        evidence.unanswered(suspects, life, sent_at);
    }

    /// Records that an endpoint has answered something.
    pub fn heard(&self, endpoint: &id::Endpoint, now: Time) {
        self.evidence.borrow_mut().heard(endpoint, now);
    }

    /// Blames requests that endpoints had not answered when they ended, as the list of endpoints shows.
    pub fn observe(&self, registry: &Registry, now: Time) {
        let listing = |life: &Life| match registry.get(&life.endpoint) {
            Some(endpoint) if endpoint.born > life.born => Listing::Ended,
            Some(endpoint) if endpoint.draining => Listing::Leaving,
            Some(_) => Listing::Present,
            None => Listing::Ended,
        };
        let ended = self.evidence.borrow_mut().observe(listing, now);
        for (digest, endpoint) in ended {
            info!(self.logger, "endpoint ended in silence under a request";
                "endpoint" => &*endpoint, "digest" => &*digest);
        }
        self.update(now);
    }

    /// Decides what is refused; has it written to the log.
    pub fn update(&self, now: Time) {
        let Some(refused) = self.evidence.borrow_mut().update(now) else {
            return;
        };
        for subject in &refused {
            self.log_refused(subject);
        }
        self.has_unsent.notify_one();
    }

    fn log_refused(&self, subject: &Subject) {
        let endpoints = self.evidence.borrow().endpoints(subject);
        let endpoints: Vec<&str> = endpoints.iter().map(|endpoint| &**endpoint).collect();
        let (kind, name) = match subject {
            Subject::Content(digest) => ("content", digest),
            Subject::Part(part) => ("part", part),
        };
        warn!(self.logger, "content refused"; "kind" => kind, "name" => &**name,
            "endpoints" => endpoints.join(","));
    }

    /// Returns for how long a request is refused, if it is.
    pub fn refusal(&self, suspects: &Suspects, now: Time) -> Option<Duration> {
        self.evidence.borrow().refusal(suspects, now)
    }

    /// Returns whether anything may be refused, so that requests have to be checked.
    pub fn has_refused(&self) -> bool {
        self.evidence.borrow().has_refused()
    }

    /// Returns how often something was refused; what was not refused before is not, as long as this does not change.
    pub fn refusals(&self) -> u64 {
        self.evidence.borrow().refusals()
    }

    /// Returns whether a request shares something with one under which an endpoint ended.
    pub fn is_suspect(&self, suspects: &Suspects) -> bool {
        self.evidence.borrow().is_suspect(suspects)
    }

    /// Returns the parts of a request that may be refused soon.
    pub fn trials(&self, suspects: &Suspects) -> Vec<id::Name> {
        self.evidence.borrow().trials(suspects)
    }

    /// Adds a record that was read from the log.
    pub fn read(&self, record: &Record, now: Time) {
        self.evidence.borrow_mut().learn(record, true, now);
        self.update(now);
        self.has_unsent.notify_one();
    }

    /// Adds what another daemon told.
    pub fn tell(&self, records: &[Record], now: Time) {
        for record in records {
            self.evidence.borrow_mut().learn(record, false, now);
        }
        self.update(now);
    }

    /// Returns what neither the log has nor enough other daemons keep.
    pub(super) fn unheld(&self, now: Time) -> Vec<Record> {
        self.evidence.borrow().unheld(MAX_BATCH, now)
    }

    /// Records that enough other daemons keep these records until the log has them.
    pub(super) fn set_held(&self, records: &[Record]) {
        self.evidence.borrow_mut().set_held(records);
    }

    /// Records that another daemon has written these records to the log.
    pub(super) fn set_written(&self, records: &[Record], now: Time) {
        self.evidence.borrow_mut().set_sent(records, now);
        self.has_sent.notify_waiters();
    }

    /// Writes records to the log at once that another daemon could not write.
    pub(super) fn keep(&self, records: &[Record], now: Time) {
        for record in records {
            self.evidence.borrow_mut().keep(record, now);
        }
        if !records.is_empty() {
            self.update(now);
            self.flush_requested.notify_one();
            self.has_unsent.notify_one();
        }
    }

    /// Waits until the log has records that this daemon [keeps](Self::keep).
    pub(super) async fn wait_kept(&self, records: &[Record]) {
        loop {
            let sent = self.has_sent.notified();
            if self.are_logged(records) {
                return;
            }
            sent.await;
        }
    }

    fn are_logged(&self, records: &[Record]) -> bool {
        let evidence = self.evidence.borrow();
        records.iter().all(|record| evidence.is_logged(record))
    }

    /// Returns what is refused, for a daemon that may know nothing.
    pub fn refused_records(&self, now: Time) -> Vec<Record> {
        self.evidence.borrow().refused_records(now)
    }

    /// Records that the log went back to a copy.
    pub fn log_went_back(&self, now: Time) {
        self.evidence.borrow_mut().log_went_back(now);
        self.has_unsent.notify_one();
    }

    /// Returns what has to be written now, as if the log had it.
    #[cfg(test)]
    pub fn take_unsent(&self, now: Time) -> Vec<Record> {
        let mut evidence = self.evidence.borrow_mut();
        let records = evidence.unsent(MAX_BATCH, now);
        evidence.set_sent(&records, now);
        records
    }

    /// Writes what this daemon finds to the log as long as the process runs.
    pub async fn share(self: Rc<Self>, log: Rc<dyn Log>, health: Rc<Health>, clock: Rc<dyn Clock>) {
        loop {
            let now = clock.now();
            self.evidence.borrow_mut().expire(now);
            let next = self.evidence.borrow().next_write();
            let wait = next.map_or(MAX_WRITE_WAIT, |next| next.saturating_sub(now));
            if !wait.is_zero() {
                // What is due first may change meanwhile.
                drop(timeout(wait.min(MAX_WRITE_WAIT), self.has_unsent.notified()).await);
                if next.is_none_or(|next| clock.now() < next) {
                    continue;
                }
            }
            drop(timeout(FLUSH_DELAY, self.flush_requested.notified()).await);
            let records = self.evidence.borrow().unsent(MAX_BATCH, clock.now());
            if records.is_empty() {
                continue;
            }
            match health.watch(log.write(&records)).await {
                Ok(()) => {
                    info!(self.logger, "evidence written"; "subjects" => records.len());
                    self.evidence.borrow_mut().set_sent(&records, clock.now());
                    self.has_sent.notify_waiters();
                }
                Err(error) => {
                    warn!(self.logger, "evidence not written";
                        "subjects" => records.len(), "error" => %error);
                    tokio::time::sleep(FLUSH_RETRY_DELAY).await;
                }
            }
        }
    }
}
