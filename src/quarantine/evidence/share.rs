//! What daemons tell each other of their evidence, through a log with one record for each subject.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use indexmap::IndexSet;

use super::verdict::SETTLE_TIME;
use super::{BLAME_RETENTION, Blame, Entry, Evidence, Life, PAROLE_TIME, REFUSAL_TIME, Subject};
use crate::clock::Time;

/// The endpoints that a prompt part has ended when other regions are told.
const MIN_SHARED_BLAMES: usize = 2;
/// The greatest depth that is taken from a record: more than the parts of any head.
const MAX_DEPTH: usize = 16_384;
/// The least and the most time after which a daemon writes what another one knew first. The first that
/// writes spares the others the call.
const MIN_TURN: Duration = Duration::from_millis(500);
const MAX_TURN: Duration = Duration::from_millis(2_500);

event! {
    /// What is known of a subject, as one daemon wrote it.
    pub struct Record {
        /// The subject.
        pub subject: Subject,
        /// Its distance from the end of the prompt; 0 for a whole content.
        pub depth: usize,
        /// How long ago each endpoint ended; nothing when the subject is cleared.
        pub blames: Vec<(Life, Duration)>,
        /// Whether it is refused.
        pub is_refused: bool,
        /// Whether endpoints ended in silence under it.
        pub is_silent: bool,
    }
}

/// How much an entry says: the ended endpoints, and whether it is refused.
type Extent = (usize, bool);

/// How much of an entry the log has.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The ended endpoints of the newest record; none without a record.
    logged: Option<IndexSet<Life>>,
    is_refusal_logged: bool,
    /// What enough other daemons keep until the log has it.
    held: Option<Extent>,
    /// When this daemon writes a record.
    due: Option<Time>,
}

impl State {
    /// Returns whether the log has, or is about to get, a record.
    pub fn is_logged(&self) -> bool {
        self.logged.is_some() || self.due.is_some()
    }

    /// Has the record removed, since the subject is harmless.
    pub fn withdraw(&mut self, now: Time) {
        self.due = self.logged.is_some().then_some(now);
    }
}

impl Entry {
    fn record(&self, subject: &Subject, now: Time) -> Record {
        let blames = self.blames.iter();
        let blames = blames.map(|(life, blame)| (life.clone(), now.saturating_sub(blame.at)));
        Record {
            subject: subject.clone(),
            depth: self.depth,
            blames: blames.collect(),
            is_refused: self.is_refused(now),
            is_silent: self.is_silent,
        }
    }

    fn extent(&self, now: Time) -> Extent {
        (self.blames.len(), self.is_refused(now))
    }

    /// Returns whether it has to be written and nobody else keeps it. What is cleared is not handed to others: a copy that comes
    /// late would void newer evidence.
    fn is_unheld(&self, now: Time) -> bool {
        let is_due = self.sharing.due.is_some_and(|due| due <= now);
        is_due && !self.blames.is_empty() && self.sharing.held != Some(self.extent(now))
    }

    /// Returns whether other daemons need to know: requests without a prompt are run by each daemon
    /// alone, and silence is noticed by the daemon that waits, so the first blame counts.
    fn is_shareable(&self, now: Time) -> bool {
        let is_planned_alone = self.depth == 0 && self.parts.is_empty();
        let enough = if is_planned_alone || self.is_silent {
            1
        } else {
            MIN_SHARED_BLAMES
        };
        self.is_refused(now) || self.blames.len() >= enough
    }

    /// Returns whether the log lacks something.
    fn is_unlogged(&self, now: Time) -> bool {
        let Some(logged) = &self.sharing.logged else {
            return self.is_shareable(now);
        };
        if self.is_refused(now) {
            return !self.sharing.is_refusal_logged;
        }
        let is_on_parole = self
            .refused_until
            .is_some_and(|until| now < until + PAROLE_TIME);
        let is_void = self.blames.is_empty() && !is_on_parole;
        is_void || self.blames.keys().any(|life| !logged.contains(life))
    }
}

impl Evidence {
    fn turn(&self, subject: &Subject) -> Duration {
        let mut hasher = DefaultHasher::new();
        (self.seed, subject).hash(&mut hasher);
        let share = f64::from(u16::try_from(hasher.finish() % 1_024).unwrap_or_default()) / 1_024.0;
        MIN_TURN + (MAX_TURN - MIN_TURN).mul_f64(share)
    }

    /// Schedules what this daemon has found for the log.
    pub(super) fn schedule_writes(&mut self, now: Time) {
        for entry in self.entries.values_mut() {
            if entry.is_unlogged(now) {
                entry.sharing.due.get_or_insert(now);
            }
        }
    }

    /// Returns when the next record has to be written.
    pub fn next_write(&self) -> Option<Time> {
        let due = self.entries.values().filter_map(|entry| entry.sharing.due);
        due.min()
    }

    /// Returns the records to write now, at most `limit`.
    pub fn unsent(&self, limit: usize, now: Time) -> Vec<Record> {
        let is_due = |entry: &Entry| entry.sharing.due.is_some_and(|due| due <= now);
        let due = self.entries.iter().filter(|(_, entry)| is_due(entry));
        let records = due.map(|(subject, entry)| entry.record(subject, now));
        records.take(limit).collect()
    }

    /// Returns the records that neither the log has nor enough other daemons keep, at most `limit`.
    pub fn unheld(&self, limit: usize, now: Time) -> Vec<Record> {
        let unheld = self.entries.iter();
        let unheld = unheld.filter(|(_, entry)| entry.is_unheld(now));
        let records = unheld.map(|(subject, entry)| entry.record(subject, now));
        records.take(limit).collect()
    }

    /// Records that enough other daemons keep these records until the log has them.
    pub fn set_held(&mut self, records: &[Record]) {
        for record in records {
            if let Some(entry) = self.entries.get_mut(&record.subject) {
                entry.sharing.held = Some((record.blames.len(), record.is_refused));
            }
        }
    }

    /// Adds a record to write at once for a daemon that could not. It is not handed on to others.
    pub fn keep(&mut self, record: &Record, now: Time) {
        let entry = self.entries.get(&record.subject);
        let has_own = entry.is_some_and(|entry| entry.is_unheld(now));
        self.learn(record, false, now);
        let Some(entry) = self.entries.get_mut(&record.subject) else {
            return;
        };
        if entry.sharing.due.is_some() {
            entry.sharing.due = Some(now);
        }
        if !has_own {
            entry.sharing.held = Some(entry.extent(now));
        }
    }

    /// Returns whether the log says as much as a record does.
    pub fn is_logged(&self, record: &Record) -> bool {
        let entry = self.entries.get(&record.subject);
        let state = entry.map(|entry| &entry.sharing);
        state.is_some_and(|state| {
            let logged = state.logged.as_ref();
            let has_all = |logged: &IndexSet<Life>| {
                record.blames.iter().all(|(life, _)| logged.contains(life))
            };
            logged.is_some_and(has_all) && (state.is_refusal_logged || !record.is_refused)
        })
    }

    /// Records that the log has these records.
    pub fn set_sent(&mut self, records: &[Record], now: Time) {
        for record in records {
            if let Some(entry) = self.entries.get_mut(&record.subject) {
                entry.sharing.set_logged(record);
                let is_unlogged = entry.is_unlogged(now);
                entry.sharing.due = is_unlogged.then_some(now);
            }
        }
    }

    /// Adds what another daemon wrote, or told.
    pub fn learn(&mut self, record: &Record, is_logged: bool, now: Time) {
        let turn = self.turn(&record.subject);
        self.trials.take();
        let traces = &mut self.traces;
        let entry = self.entries.entry(record.subject.clone());
        let entry = entry.or_insert_with_key(|subject| traces.take(subject));
        entry.depth = entry.depth.max(record.depth.min(MAX_DEPTH));
        entry.is_silent |= record.is_silent;
        let cleared_at = entry.cleared_at;
        // The time of this process may be less than the age of a blame.
        let recent = record.blames.iter();
        for (life, age) in recent.filter(|(_, age)| *age < BLAME_RETENTION) {
            let at = now.saturating_sub(*age);
            if cleared_at.is_none_or(|cleared_at| at > cleared_at) {
                // Other daemons write what counts.
                let has_begun = true;
                let blame = Blame { at, has_begun };
                entry.blames.entry(life.clone()).or_insert(blame);
            }
        }
        if record.blames.is_empty() {
            entry.blames.clear();
            entry.refused_until = None;
            entry.cleared_at = Some(now);
        }
        let youngest = record.blames.iter().map(|(_, age)| *age).min();
        let is_cleared = cleared_at.is_some() && entry.blames.is_empty();
        if let Some(age) = youngest.filter(|_| record.is_refused && !is_cleared) {
            let until = now + REFUSAL_TIME.saturating_sub(age);
            entry.refused_until = entry.refused_until.max(Some(until));
            self.has_refused = true;
            self.refusals += 1;
        }
        if is_logged {
            entry.sharing.set_logged(record);
        }
        let is_unlogged = entry.is_unlogged(now);
        entry.sharing.due = is_unlogged.then(|| entry.sharing.due.unwrap_or(now + turn));
        if youngest.is_some_and(|age| age >= REFUSAL_TIME + PAROLE_TIME) {
            // The daemon that wrote the record may be gone.
            entry.blames.clear();
            entry.refused_until = None;
            entry.sharing.due = entry.sharing.logged.is_some().then_some(now + turn);
        }
        self.expect_verdict(now + SETTLE_TIME);
        self.evict(now);
    }

    /// Drops what matters no more; has its record removed.
    pub fn expire(&mut self, now: Time) {
        self.trials.take();
        self.traces.expire(now);
        let expired = self.entries.iter();
        let expired = expired.filter(|(_, entry)| now >= entry.expires_at());
        let expired: Vec<Subject> = expired.map(|(subject, _)| subject.clone()).collect();
        for subject in expired {
            let turn = self.turn(&subject);
            match self.entries.get_mut(&subject) {
                Some(entry) if entry.sharing.logged.is_some() => {
                    entry.blames.clear();
                    entry.refused_until = None;
                    entry.sharing.due.get_or_insert(now + turn);
                }
                _ => drop(self.entries.swap_remove(&subject)),
            }
        }
    }

    /// Records that the log went back to a copy, which may lack the last records.
    pub fn log_went_back(&mut self, now: Time) {
        let turns: Vec<Duration> = self.entries.keys().map(|key| self.turn(key)).collect();
        for (entry, turn) in self.entries.values_mut().zip(turns) {
            entry.sharing = State::default();
            entry.sharing.due = entry.is_unlogged(now).then(|| now + turn);
        }
    }

    /// Returns what is refused, for a daemon that may know nothing.
    pub fn refused_records(&self, now: Time) -> Vec<Record> {
        let refused = self.entries.iter();
        let refused = refused.filter(|(_, entry)| entry.is_refused(now));
        let records = refused.map(|(subject, entry)| entry.record(subject, now));
        records.collect()
    }
}

impl State {
    fn set_logged(&mut self, record: &Record) {
        let lives = record.blames.iter().map(|(life, _)| life.clone());
        // A record without blames removes the key.
        self.logged = (!record.blames.is_empty()).then(|| lives.collect());
        self.is_refusal_logged = record.is_refused;
    }
}
