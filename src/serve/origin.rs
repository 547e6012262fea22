//! Which service and software version began each stream, so that a client may take it up at any daemon.
//!
//! What endpoints of two software versions write does not fit together, and no endpoint checks it. The
//! daemon that began a stream may be gone when its client resumes it, so daemons share what they know in
//! a log, while a service has several versions. See [the design note](../../docs/design/streams.md).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};

use futures::future::LocalBoxFuture;
use slog::{Logger, info, warn};
use snafu::Snafu;
use tokio::sync::{Mutex, Notify};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::handoff::Health;
use crate::clock::{Clock, Time};
use crate::id;

mod table;

use table::Table;
pub use table::{Change, Origin, Record};

/// How long new streams are gathered before they are written together: calls to the log are priced.
const FLUSH_DELAY: Duration = Duration::from_millis(150);
/// The time between attempts to write to a log that fails.
const FLUSH_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The longest time for which a first event waits until other daemons can know of its release. Passing an event on
/// may take 250 ms in all.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(100);
/// The longest time for reading what was added to the log since the last read.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a log that could not be read is not read again; a client waits for each read.
const READ_RETRY_DELAY: Duration = Duration::from_secs(1);
/// How long a record that is not in the log may still be on its way to it.
const RECORD_DELAY: Duration = Duration::from_millis(250);
/// The longest time until a planner looks whether a release has to be recorded, or removed.
const RELEASE_INTERVAL: Duration = Duration::from_secs(1);

/// Why the log could not be used.
#[derive(Debug, Snafu)]
#[snafu(display("{step} the log of streams: {reason}"))]
pub struct Error {
    /// The step that failed.
    pub step: &'static str,
    /// What went wrong.
    pub reason: String,
}

event! {
    /// Records that one daemon wrote together.
    pub struct Batch {
        /// When they were written, since the Unix epoch.
        pub written_at: Duration,
        /// The records.
        pub records: Vec<Record>,
    }
}

event! {
    /// Batches that were read from the log.
    pub struct Page {
        /// The batches, in the order of their offsets.
        pub batches: Vec<Batch>,
        /// The offset of the next read.
        pub next_offset: id::Offset,
    }
}

/// The log in which daemons share the origins of streams, and the releases that serve.
pub trait Log {
    /// Appends a batch.
    fn append<'a>(&'a self, batch: &'a Batch) -> LocalBoxFuture<'a, Result<(), Error>>;
    /// Reads from an offset to the end, or from the first retained offset if that one is not there.
    fn read(&self, from: id::Offset) -> LocalBoxFuture<'_, Result<Page, Error>>;
    /// Reads the releases that are recorded as serving, which stay as long as it takes.
    fn releases(&self) -> LocalBoxFuture<'_, Result<Vec<Origin>, Error>>;
    /// Changes the releases that are recorded as serving, all or none.
    fn write_releases<'a>(&'a self, changes: &'a [Change])
    -> LocalBoxFuture<'a, Result<(), Error>>;
}

/// What a daemon knows of streams, with the log that it shares with others.
pub struct Origins {
    table: RefCell<Table>,
    log: Rc<dyn Log>,
    next_offset: Cell<id::Offset>,
    /// The time before which everything in the log has been read.
    read_at: Cell<Option<Time>>,
    read_failed_at: Cell<Option<Time>>,
    /// When the releases in the log were last read, or could not be.
    releases_read_at: Cell<Option<Time>>,
    /// The epoch of the log, as far as this daemon knows.
    epoch: Cell<id::Epoch>,
    reading: Mutex<()>,
    health: Rc<Health>,
    has_unsent: Notify,
    /// Notified when unsent streams are not to be gathered any longer.
    flush_requested: Notify,
    has_sent: Notify,
    has_observed: Notify,
    clock: Rc<dyn Clock>,
    logger: Logger,
}

impl Origins {
    /// Starts to write new streams to the log.
    pub fn start(
        log: Rc<dyn Log>,
        health: Rc<Health>,
        clock: Rc<dyn Clock>,
        logger: Logger,
    ) -> Rc<Self> {
        let origins = Rc::new(Self {
            table: RefCell::new(Table::new()),
            log,
            next_offset: Cell::new(0),
            read_at: Cell::new(None),
            read_failed_at: Cell::new(None),
            releases_read_at: Cell::new(None),
            epoch: Cell::new(0),
            reading: Mutex::new(()),
            health,
            has_unsent: Notify::new(),
            flush_requested: Notify::new(),
            has_sent: Notify::new(),
            has_observed: Notify::new(),
            clock,
            logger,
        });
        spawn_local(origins.clone().write());
        origins
    }

    /// Records that a stream may begin at a release, so that its first event need not wait for the log.
    pub fn announce(&self, origin: &Origin) {
        self.table.borrow_mut().announce(origin, self.clock.now());
        if self.table.borrow().is_unannounced(origin) {
            self.flush_requested.notify_one();
            self.notify_unsent();
        }
    }

    /// Records that this daemon is about to pass on the first event of a stream, by the client's attempt that
    /// began it. The first stream at a release waits until others can read of it: a daemon that does not list
    /// the release yet would take another one for the only one.
    pub async fn begin(&self, attempt: &id::Name, origin: Origin) {
        let record = Record {
            attempt: attempt.clone(),
            origin: origin.clone(),
        };
        self.table.borrow_mut().begin(record, self.clock.now());
        self.notify_unsent();
        if timeout(ANNOUNCE_TIMEOUT, self.wait_announced(&origin))
            .await
            .is_err()
        {
            warn!(self.logger, "release not announced"; "release" => ?origin);
            self.table.borrow_mut().skip_announcement(&origin);
            self.has_sent.notify_waiters();
        }
    }

    async fn wait_announced(&self, origin: &Origin) {
        loop {
            let sent = self.has_sent.notified();
            if !self.table.borrow().is_unannounced(origin) {
                return;
            }
            self.flush_requested.notify_one();
            sent.await;
        }
    }

    /// Records the releases of all endpoints that are listed now.
    pub fn observe(&self, listed: impl Iterator<Item = Origin>) {
        self.table.borrow_mut().observe(listed, self.clock.now());
        self.notify_unsent();
        self.has_observed.notify_one();
    }

    /// Records that the list of endpoints is the current one.
    pub fn confirm(&self) {
        self.table.borrow_mut().confirm(self.clock.now());
    }

    /// Records the first epoch of the log that this daemon knows.
    pub fn set_epoch(&self, epoch: id::Epoch) {
        self.epoch.set(epoch);
    }

    /// Records that the log went back to a copy: it is read anew, and what this daemon wrote is written again.
    pub fn log_went_back(&self, epoch: id::Epoch) {
        self.epoch.set(epoch);
        self.next_offset.set(0);
        self.read_at.set(None);
        self.table.borrow_mut().log_went_back();
        self.releases_read_at.set(None);
        self.notify_unsent();
    }

    fn notify_unsent(&self) {
        if self.table.borrow().has_unsent() {
            self.has_unsent.notify_one();
            self.health.wake();
        }
    }

    /// Returns whether this daemon can write to the log.
    pub(super) fn health(&self) -> &Health {
        &self.health
    }

    /// Returns the epoch of the log, as far as this daemon knows.
    pub(super) fn epoch(&self) -> id::Epoch {
        self.epoch.get()
    }

    /// Returns what neither the log has nor enough other daemons keep, with the age of each record.
    pub(super) fn unheld(&self) -> Vec<(Record, Duration)> {
        self.table.borrow_mut().unheld(self.clock.now())
    }

    /// Records that enough other daemons keep these records until the log has them.
    pub(super) fn set_held(&self, records: &[(Record, Duration)]) {
        let records = records.iter().map(|(record, _)| record);
        self.table.borrow_mut().set_held(records);
    }

    /// Records that another daemon has written these records to the log, and so can write what others only keep.
    pub(super) fn set_written(&self, records: &[(Record, Duration)]) {
        let records = records.iter().map(|(record, _)| record);
        let mut table = self.table.borrow_mut();
        table.set_sent(records);
        table.forget_holders();
        drop(table);
        self.has_sent.notify_waiters();
    }

    /// Writes records to the log at once that another daemon could not write.
    pub(super) fn keep(&self, records: &[(Record, Duration)]) {
        let now = self.clock.now();
        for (record, age) in records {
            self.table.borrow_mut().keep(record.clone(), *age, now);
        }
        if !records.is_empty() {
            self.flush_requested.notify_one();
            self.notify_unsent();
        }
    }

    fn has_sent_all(&self, records: &[(Record, Duration)]) -> bool {
        let table = self.table.borrow();
        records.iter().all(|(record, _)| table.is_sent(record))
    }

    /// Waits until the log has records that this daemon [keeps](Self::keep).
    pub(super) async fn wait_kept(&self, records: &[(Record, Duration)]) {
        loop {
            let sent = self.has_sent.notified();
            if self.has_sent_all(records) {
                return;
            }
            sent.await;
        }
    }

    /// Finds what began the stream of an attempt, or the only release of the service that it can be; none
    /// when there are several.
    pub async fn find(&self, attempt: Option<&id::Name>, service: &id::Pool) -> Option<Origin> {
        let known = || self.table.borrow().find(attempt?);
        if let Some(origin) = known() {
            return Some(origin);
        }
        let is_log_read = self.read().await;
        if let Some(origin) = known() {
            return Some(origin);
        }
        if !is_log_read {
            // Other daemons may list a release that this one does not.
            return None;
        }
        if self.knows_releases(service).await {
            let now = self.clock.now();
            let only = self.table.borrow().only_release(service, now);
            if only.is_some() {
                return only;
            }
        }
        attempt?;
        tokio::time::sleep(RECORD_DELAY).await;
        self.read().await;
        known()
    }

    /// Returns whether the releases at which a stream of a service can have begun are known; reads them if need
    /// be.
    async fn knows_releases(&self, service: &id::Pool) -> bool {
        let knows = || {
            let table = self.table.borrow();
            table.knows_releases(service, self.clock.now())
        };
        if knows() {
            return true;
        }
        let _reading = self.reading.lock().await;
        knows() || (self.read_releases().await && knows())
    }

    /// Reads the releases that are recorded as serving, unless that was tried a moment ago.
    async fn read_releases(&self) -> bool {
        let now = self.clock.now();
        let read_at = self.releases_read_at.get();
        if read_at.is_some_and(|read_at| now < read_at + READ_RETRY_DELAY) {
            return false;
        }
        let answer = timeout(READ_TIMEOUT, self.log.releases()).await;
        // Only now: a client that leaves while it waits has read nothing for others.
        self.releases_read_at.set(Some(self.clock.now()));
        match answer {
            Ok(Ok(releases)) => {
                info!(self.logger, "releases read"; "releases" => ?releases);
                let mut table = self.table.borrow_mut();
                table.learn_releases(releases.into_iter(), self.clock.now());
                true
            }
            Ok(Err(error)) => {
                info!(self.logger, "releases not read"; "error" => %error);
                false
            }
            Err(_) => {
                info!(self.logger, "releases not read"; "error" => "no answer in time");
                false
            }
        }
    }

    /// Keeps the record of the releases that serve, while this daemon is a planner: one writer is enough. The
    /// record of an only release is written once.
    pub async fn keep_releases(self: Rc<Self>, is_planner: impl Fn() -> bool) {
        let mut was_planner = false;
        loop {
            // What is due without a change of the endpoints has time.
            drop(timeout(RELEASE_INTERVAL, self.has_observed.notified()).await);
            let has_begun = !std::mem::replace(&mut was_planner, is_planner());
            if !was_planner {
                continue;
            }
            if has_begun {
                // The planner before may have changed them.
                self.forget_recorded();
            }
            self.write_releases().await;
        }
    }

    /// Forgets which releases the log has; a planner lists them at once.
    fn forget_recorded(&self) {
        self.table.borrow_mut().forget_recorded();
        self.releases_read_at.set(None);
    }

    async fn write_releases(&self) {
        if !self.table.borrow().has_recorded() {
            let _reading = self.reading.lock().await;
            self.read_releases().await;
        }
        let changes = self.table.borrow_mut().changes(self.clock.now());
        if changes.is_empty() {
            return;
        }
        match self.log.write_releases(&changes).await {
            Ok(()) => {
                info!(self.logger, "releases recorded"; "changes" => ?changes);
                self.table.borrow_mut().set_recorded(&changes);
            }
            Err(error) => {
                warn!(self.logger, "releases not recorded"; "changes" => ?changes, "error" => %error);
                // They may have been, if only the answer was lost.
                self.forget_recorded();
            }
        }
    }

    /// Reads what was added to the log; returns whether all that was written before the call is known.
    async fn read(&self) -> bool {
        let called_at = self.clock.now();
        let _reading = self.reading.lock().await;
        if self
            .read_at
            .get()
            .is_some_and(|read_at| read_at >= called_at)
        {
            return true;
        }
        let now = self.clock.now();
        let failed_at = self.read_failed_at.get();
        if failed_at.is_some_and(|failed_at| now < failed_at + READ_RETRY_DELAY) {
            return false;
        }
        let page = match timeout(READ_TIMEOUT, self.log.read(self.next_offset.get())).await {
            Ok(Ok(page)) => page,
            Ok(Err(error)) => return self.record_failed_read(&error.to_string()),
            Err(_) => return self.record_failed_read("no answer in time"),
        };
        self.next_offset.set(page.next_offset);
        self.read_at.set(Some(now));
        self.read_failed_at.set(None);
        let unix_time = self.unix_time();
        let mut table = self.table.borrow_mut();
        for batch in page.batches {
            let age = unix_time.saturating_sub(batch.written_at);
            for record in batch.records {
                table.learn(record, age, now);
            }
        }
        true
    }

    fn record_failed_read(&self, reason: &str) -> bool {
        info!(self.logger, "origins of streams not read"; "error" => reason);
        self.read_failed_at.set(Some(self.clock.now()));
        false
    }

    fn unix_time(&self) -> Duration {
        let elapsed = self.clock.wall().duration_since(UNIX_EPOCH);
        elapsed.unwrap_or_default()
    }

    /// Writes new streams to the log as long as the process runs.
    async fn write(self: Rc<Self>) {
        loop {
            self.has_unsent.notified().await;
            drop(timeout(FLUSH_DELAY, self.flush_requested.notified()).await);
            let records = self.table.borrow_mut().unsent(self.clock.now());
            if records.is_empty() {
                continue;
            }
            let batch = Batch {
                written_at: self.unix_time(),
                records,
            };
            match self.health.watch(self.log.append(&batch)).await {
                Ok(()) => {
                    self.table.borrow_mut().set_sent(batch.records.iter());
                    self.has_sent.notify_waiters();
                }
                Err(error) => {
                    warn!(self.logger, "origins of streams not written";
                        "streams" => batch.records.len(), "error" => %error);
                    tokio::time::sleep(FLUSH_RETRY_DELAY).await;
                }
            }
            self.notify_unsent();
        }
    }
}

#[cfg(test)]
mod tests;
