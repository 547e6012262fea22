//! Decides what a stream may go on at, from what is known of streams and of endpoints.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sha2::{Digest, Sha256};

use crate::clock::Time;
use crate::id;

/// How long after its first event a stream may be resumed. Clients of the users wait for 15 s.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(30);
/// The longest time since a confirmation for which a list of endpoints counts as the current one: reads end within
/// 1.5 s of one another, and one that is slow is no reason to doubt the list.
const MAX_LIST_AGE: Duration = Duration::from_secs(2);
/// The most streams of this daemon, and of others, that are remembered.
const MAX_STREAMS: usize = 20_000;
/// The most records that are written together.
const MAX_BATCH: usize = 1_000;
/// The most bytes of attempts and releases in them. A log takes no record of more than some hundred kilobytes, and what is
/// encoded is longer.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// The longest attempt that names its stream itself.
const MAX_ATTEMPT_BYTES: usize = 128;

/// The attempt in a record that announces a release, and is of no stream.
const ANNOUNCEMENT: &str = "";

event! {
    /// What began a stream. It goes on at endpoints of the same service and release only.
    #[derive(Eq, Hash)]
    pub struct Origin {
        /// The service.
        pub service: id::Pool,
        /// The version of the endpoint's software.
        pub release: id::Release,
    }

    /// The origin of one stream.
    pub struct Record {
        /// The client's attempt that brought the first event.
        pub attempt: id::Name,
        /// What began it.
        pub origin: Origin,
    }

    /// A change of the releases that are recorded as serving.
    #[derive(Eq)]
    pub struct Change {
        /// The release.
        pub origin: Origin,
        /// Whether it serves; otherwise no stream that may be resumed has begun at it.
        pub is_serving: bool,
    }
}

impl Record {
    fn announcement(origin: &Origin) -> Self {
        Self {
            attempt: ANNOUNCEMENT.into(),
            origin: origin.clone(),
        }
    }

    fn is_announcement(&self) -> bool {
        *self.attempt == *ANNOUNCEMENT
    }

    /// Returns the number of bytes of its names.
    fn size(&self) -> usize {
        let Origin { service, release } = &self.origin;
        self.attempt.len() + service.len() + release.len()
    }
}

/// Returns the name under which the stream of an attempt is known. Clients choose their ids, and a long one takes no more
/// than others.
fn stream_name(attempt: &id::Name) -> id::Name {
    if attempt.len() <= MAX_ATTEMPT_BYTES {
        return attempt.clone();
    }
    let digest = hex::encode(Sha256::digest(attempt.as_bytes()));
    format!("sha256-{digest}").into()
}

/// Why a daemon knows a stream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Source {
    /// It passes events of it on, and so writes it to the log.
    Own,
    /// It writes it to the log for a daemon that could not.
    Kept,
    /// It has read it in the log.
    Log,
}

struct Stream {
    origin: Origin,
    at: Time,
    source: Source,
    /// Whether other daemons can read it in the log.
    is_shared: bool,
    /// Whether enough other daemons keep it until the log has it.
    is_held: bool,
}

impl Stream {
    fn record(&self, name: &id::Name) -> Record {
        Record {
            attempt: name.clone(),
            origin: self.origin.clone(),
        }
    }
}

/// Takes as many records as are sent together.
fn batch<T>(records: impl Iterator<Item = T>, record: impl Fn(&T) -> &Record) -> Vec<T> {
    let mut bytes = 0;
    let fits = |taken: &T| {
        let is_first = bytes == 0;
        bytes += record(taken).size();
        is_first || bytes <= MAX_BATCH_BYTES
    };
    records.take_while(fits).take(MAX_BATCH).collect()
}

/// Streams and releases of the last `STREAM_LIFETIME`.
pub struct Table {
    /// When endpoints were first listed.
    started: Option<Time>,
    /// When the list of endpoints was last known to be the current one.
    confirmed_at: Option<Time>,
    streams: IndexMap<id::Name, Stream>,
    /// When a release was last known to serve; none while it is listed.
    releases: IndexMap<Origin, Option<Time>>,
    /// The releases that are recorded in the log as serving; none before they are read.
    recorded: Option<IndexSet<Origin>>,
    /// The releases of which other daemons can read a stream in the log.
    announced: IndexSet<Origin>,
    /// The releases to announce before a stream of them has begun.
    announcing: IndexSet<Origin>,
    /// Those of them that enough other daemons announce.
    held_announcements: IndexSet<Origin>,
    /// The releases to announce for daemons that could not. Whether this daemon takes them for announced says nothing of
    /// the log.
    kept_announcements: IndexSet<Origin>,
}

impl Table {
    /// Makes a table of a daemon that has just started.
    pub fn new() -> Self {
        Self {
            started: None,
            confirmed_at: None,
            streams: IndexMap::new(),
            releases: IndexMap::new(),
            recorded: None,
            announced: IndexSet::new(),
            announcing: IndexSet::new(),
            held_announcements: IndexSet::new(),
            kept_announcements: IndexSet::new(),
        }
    }

    /// Records a stream of which this daemon has passed events on.
    pub fn begin(&mut self, record: Record, now: Time) {
        self.insert(record, Source::Own, now);
    }

    /// Records a stream that was read from the log, where it was written `age` ago.
    pub fn learn(&mut self, record: Record, age: Duration, now: Time) {
        if age <= STREAM_LIFETIME {
            self.announced.insert(record.origin.clone());
            self.insert(record, Source::Log, now.saturating_sub(age));
        }
    }

    /// Records a stream or an announcement to write to the log for a daemon that could not, which made it `age` ago. It is
    /// not handed on to others.
    pub fn keep(&mut self, record: Record, age: Duration, now: Time) {
        if age > STREAM_LIFETIME {
            return;
        }
        if record.is_announcement() {
            self.kept_announcements.insert(record.origin.clone());
        }
        let name = stream_name(&record.attempt);
        if let Some(stream) = self.streams.get_mut(&name)
            && stream.source == Source::Log
        {
            // The daemon that wrote it may be gone when the log goes back to a copy.
            stream.source = Source::Kept;
        }
        self.insert(record, Source::Kept, now.saturating_sub(age));
    }

    fn insert(&mut self, record: Record, source: Source, at: Time) {
        self.see(&record.origin, at);
        if record.is_announcement() {
            return;
        }
        let Record { attempt, origin } = record;
        let stream = Stream {
            origin,
            at,
            source,
            is_shared: source == Source::Log,
            is_held: false,
        };
        // The first record stands: what a daemon writes again later is the same.
        self.streams.entry(stream_name(&attempt)).or_insert(stream);
        if self.streams.len() > MAX_STREAMS {
            self.streams.shift_remove_index(0);
        }
    }

    fn see(&mut self, origin: &Origin, at: Time) {
        let seen = self.releases.entry(origin.clone()).or_insert(Some(at));
        *seen = seen.map(|seen| seen.max(at));
    }

    /// Records that a stream may begin at a release soon.
    pub fn announce(&mut self, origin: &Origin, now: Time) {
        self.see(origin, now);
        if self.is_unannounced(origin) {
            self.announcing.insert(origin.clone());
        }
    }

    /// Records the releases of all endpoints that are listed now.
    pub fn observe(&mut self, listed: impl Iterator<Item = Origin>, now: Time) {
        // Before the new ones: a release that returns late has to be announced again.
        self.expire(now);
        let only = self.only_listed(now);
        for seen in self.releases.values_mut() {
            seen.get_or_insert(now);
        }
        for origin in listed {
            self.started.get_or_insert(now);
            self.releases.insert(origin, None);
        }
        for origin in only {
            if self.release_count(&origin.service) > 1 {
                self.announced.insert(origin);
            }
        }
    }

    /// Returns the releases that are the only ones of their services. Changes of endpoints are read in one order:
    /// whoever lists a release that appears later lists them, too.
    fn only_listed(&self, now: Time) -> Vec<Origin> {
        let is_only = |origin: &&Origin| self.release_count(&origin.service) == 1;
        let listed = self.listed().filter(|_| self.has_run_long(now));
        listed.filter(is_only).cloned().collect()
    }

    /// Records that the list of endpoints is the current one.
    pub fn confirm(&mut self, now: Time) {
        if self.confirmed_at.is_some() && !self.is_confirmed(now) {
            // What had left may have served meanwhile, unseen.
            let gone = self.releases.values_mut().flatten();
            gone.for_each(|seen| *seen = now);
            self.forget_recorded();
        }
        self.confirmed_at = Some(now);
    }

    fn is_confirmed(&self, now: Time) -> bool {
        let confirmed_at = self.confirmed_at;
        confirmed_at.is_some_and(|confirmed_at| now <= confirmed_at + MAX_LIST_AGE)
    }

    /// Records which releases the log has. One that this daemon has not seen may have served until now.
    pub fn learn_releases(&mut self, recorded: impl Iterator<Item = Origin>, now: Time) {
        let recorded: IndexSet<Origin> = recorded.collect();
        for origin in &recorded {
            self.releases.entry(origin.clone()).or_insert(Some(now));
        }
        self.recorded = Some(recorded);
    }

    /// Records that the releases in the log may have changed.
    pub fn forget_recorded(&mut self) {
        self.recorded = None;
    }

    /// Returns whether the releases in the log are known.
    pub fn has_recorded(&self) -> bool {
        self.recorded.is_some()
    }

    /// Returns whether all releases at which a stream of a service can have begun are known: those that have
    /// left are known from the time of this daemon, if its list of endpoints is the current one, and otherwise from
    /// the log, if that is complete.
    pub fn knows_releases(&self, service: &id::Pool, now: Time) -> bool {
        if self.has_run_long(now) && self.is_confirmed(now) {
            return true;
        }
        let Some(recorded) = &self.recorded else {
            return false;
        };
        let mut listed = self.listed().filter(|origin| origin.service == *service);
        listed.all(|origin| recorded.contains(origin))
    }

    /// Returns whether this daemon has seen all releases leave of which streams may be resumed.
    fn has_run_long(&self, now: Time) -> bool {
        self.started.is_some_and(|started| !is_recent(started, now))
    }

    fn listed(&self) -> impl Iterator<Item = &Origin> {
        let listed = self.releases.iter().filter(|(_, seen)| seen.is_none());
        listed.map(|(origin, _)| origin)
    }

    /// Returns how the releases in the log have to change, if they are known. The last one of a service stays,
    /// and one that is gone stays while the list of endpoints may be old.
    pub fn changes(&mut self, now: Time) -> Vec<Change> {
        self.expire(now);
        let Some(recorded) = &self.recorded else {
            return Vec::new();
        };
        let change = |is_serving| {
            move |origin: &Origin| Change {
                origin: origin.clone(),
                is_serving,
            }
        };
        let new = self.listed().filter(|origin| !recorded.contains(*origin));
        let is_replaced =
            |origin: &&Origin| self.listed().any(|other| other.service == origin.service);
        let gone = recorded.iter();
        let is_confirmed = self.is_confirmed(now);
        let gone = gone.filter(|origin| is_confirmed && !self.releases.contains_key(*origin));
        let gone = gone.filter(is_replaced).map(change(false));
        new.map(change(true)).chain(gone).collect()
    }

    /// Records that changes were written to the log.
    pub fn set_recorded(&mut self, changes: &[Change]) {
        let Some(recorded) = &mut self.recorded else {
            return;
        };
        for change in changes {
            if change.is_serving {
                recorded.insert(change.origin.clone());
            } else {
                recorded.swap_remove(&change.origin);
            }
        }
    }

    fn expire(&mut self, now: Time) {
        self.releases
            .retain(|_, seen| seen.is_none_or(|seen| is_recent(seen, now)));
        self.streams.retain(|_, stream| is_recent(stream.at, now));
        let releases = &self.releases;
        for origins in [
            &mut self.announced,
            &mut self.announcing,
            &mut self.held_announcements,
            &mut self.kept_announcements,
        ] {
            origins.retain(|origin| releases.contains_key(origin));
        }
    }

    fn release_count(&self, service: &id::Pool) -> usize {
        let releases = self.releases.keys();
        releases.filter(|origin| origin.service == *service).count()
    }

    /// Returns whether a stream has to be written to the log: where a service has one release only, all
    /// daemons know what its streams began at. A daemon that asks for it to be written knows several.
    fn is_unsent(&self, stream: &Stream) -> bool {
        let is_kept = stream.source == Source::Kept;
        !stream.is_shared && (is_kept || self.release_count(&stream.origin.service) > 1)
    }

    /// Returns the releases that this daemon has to announce for itself.
    fn own_announcements(&self) -> impl Iterator<Item = &Origin> {
        let announcing = self.announcing.iter();
        announcing.filter(|origin| self.is_unannounced(origin))
    }

    fn announcements(&self) -> impl Iterator<Item = &Origin> {
        let kept = self.kept_announcements.iter();
        let own = self.own_announcements();
        kept.chain(own.filter(|origin| !self.kept_announcements.contains(*origin)))
    }

    /// Returns whether there are streams or announcements to write to the log.
    pub fn has_unsent(&self) -> bool {
        self.announcements().next().is_some()
            || self.streams.values().any(|stream| self.is_unsent(stream))
    }

    /// Returns the announcements and the streams to write to the log.
    pub fn unsent(&mut self, now: Time) -> Vec<Record> {
        self.expire(now);
        let announcements = self.announcements().map(Record::announcement);
        let streams = self.streams.iter();
        let unsent = streams.filter(|(_, stream)| self.is_unsent(stream));
        let records = unsent.map(|(name, stream)| stream.record(name));
        batch(announcements.chain(records), |record| record)
    }

    /// Returns the announcements and the streams of this daemon that neither the log has nor enough other daemons keep, each
    /// with its age.
    pub fn unheld(&mut self, now: Time) -> Vec<(Record, Duration)> {
        self.expire(now);
        let is_held = |origin: &&Origin| self.held_announcements.contains(*origin);
        let announcements = self.own_announcements().filter(|origin| !is_held(origin));
        let announcements =
            announcements.map(|origin| (Record::announcement(origin), Duration::ZERO));
        let is_unheld = |stream: &Stream| {
            stream.source == Source::Own && !stream.is_held && self.is_unsent(stream)
        };
        let streams = self.streams.iter();
        let streams = streams.filter(|(_, stream)| is_unheld(stream));
        let records =
            streams.map(|(name, stream)| (stream.record(name), now.saturating_sub(stream.at)));
        batch(announcements.chain(records), |(record, _)| record)
    }

    /// Records that enough other daemons keep announcements and streams.
    pub fn set_held<'a>(&mut self, records: impl Iterator<Item = &'a Record>) {
        for record in records {
            if record.is_announcement() {
                self.held_announcements.insert(record.origin.clone());
            } else if let Some(stream) = self.streams.get_mut(&record.attempt) {
                stream.is_held = true;
            }
        }
    }

    /// Has what other daemons only keep handed over once more.
    pub fn forget_holders(&mut self) {
        self.held_announcements.clear();
        let streams = self.streams.values_mut();
        streams.for_each(|stream| stream.is_held = false);
    }

    /// Records that announcements and streams were written to the log.
    pub fn set_sent<'a>(&mut self, records: impl Iterator<Item = &'a Record>) {
        for record in records {
            self.announced.insert(record.origin.clone());
            self.announcing.swap_remove(&record.origin);
            self.kept_announcements.swap_remove(&record.origin);
            if let Some(stream) = self.streams.get_mut(&record.attempt) {
                stream.is_shared = true;
            }
        }
    }

    /// Returns whether the log has what this daemon [keeps](Self::keep) for another one.
    pub fn is_sent(&self, record: &Record) -> bool {
        if record.is_announcement() {
            return !self.kept_announcements.contains(&record.origin);
        }
        let stream = self.streams.get(&stream_name(&record.attempt));
        stream.is_some_and(|stream| stream.is_shared)
    }

    /// Records that the log may lack the streams that this daemon wrote last, or others for it.
    pub fn log_went_back(&mut self) {
        let streams = self.streams.values_mut();
        for stream in streams.filter(|stream| stream.source != Source::Log) {
            stream.is_shared = false;
            stream.is_held = false;
        }
        self.announced.clear();
        self.held_announcements.clear();
        self.forget_recorded();
    }

    /// Returns whether other daemons may not know yet that a release serves, beside another one of its service.
    pub fn is_unannounced(&self, origin: &Origin) -> bool {
        !self.announced.contains(origin) && self.release_count(&origin.service) > 1
    }

    /// Records that a release is not announced before its streams are passed on.
    pub fn skip_announcement(&mut self, origin: &Origin) {
        self.announced.insert(origin.clone());
    }

    /// Returns what began the stream of an attempt.
    pub fn find(&self, attempt: &id::Name) -> Option<Origin> {
        let stream = self.streams.get(&stream_name(attempt))?;
        Some(stream.origin.clone())
    }

    /// Returns the only release of a service at which a stream without a record can have begun, if the releases that
    /// [have served](Self::knows_releases) are known, and all records in the log.
    pub fn only_release(&self, service: &id::Pool, now: Time) -> Option<Origin> {
        let is_possible = |(origin, seen): &(&Origin, &Option<Time>)| {
            origin.service == *service && seen.is_none_or(|seen| is_recent(seen, now))
        };
        let mut possible = self.releases.iter().filter(is_possible);
        let (origin, _) = possible.next()?;
        possible.next().is_none().then(|| origin.clone())
    }
}

fn is_recent(at: Time, now: Time) -> bool {
    now.saturating_sub(at) <= STREAM_LIFETIME
}
