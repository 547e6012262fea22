//! Operators' edits: append, read back, wait until in force.
//!
//! An edit keeps its attempt id over every append, so that a lost answer costs a second record
//! and never a second change. See [the operators' page](../../docs/operators/configuration.md).

use std::time::Duration;

use super::record::{Body, Change, Clear, Record, Set, VERSION, Verdict};
use crate::clock::Time;
use crate::id;

/// How long the read-back is waited for after an append whose answer was lost.
pub const READ_BACK: Duration = Duration::from_secs(2);
/// The wait after an append that had no effect.
pub const BACKOFF: Duration = Duration::from_millis(250);
/// The longest wait between two appends.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);

event! {
    /// How an append ended.
    pub enum Appended {
        /// It stands in the log.
        Done,
        /// It does not stand in the log.
        NoEffect,
        /// It may stand in the log.
        Unknown,
    }

    /// What the shell does next.
    pub enum Action {
        /// Append the record.
        Append,
        /// Wait for the read-back until this time.
        Wait(Time),
        /// Tell the operator.
        Finish(Outcome),
    }

    /// What became of an edit.
    pub enum Outcome {
        /// Accepted with this revision, at every daemon that folds that far.
        Accepted(id::Revision),
        /// Refused at every daemon.
        Refused(super::record::Refusal),
        /// It certainly does not stand in the log; it may be tried again.
        NotWritten,
        /// The time ran out before the read-back; the attempt id tells later.
        Undecided,
    }
}

/// One edit on its way.
#[derive(Clone, Debug)]
pub struct Edit {
    record: Record,
    deadline: Time,
    next: Time,
    backoff: Duration,
    may_stand: bool,
    is_appending: bool,
    outcome: Option<Outcome>,
}

impl Edit {
    /// Starts an edit that gives up at `deadline`.
    pub fn new(record: Record, now: Time, deadline: Time) -> Self {
        Self {
            record,
            deadline,
            next: now,
            backoff: BACKOFF,
            may_stand: false,
            is_appending: false,
            outcome: None,
        }
    }

    /// The record, with the attempt id that all appends share.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Says what to do now.
    pub fn poll(&mut self, now: Time) -> Action {
        if let Some(outcome) = &self.outcome {
            return Action::Finish(outcome.clone());
        }
        if now >= self.deadline {
            let outcome = if self.may_stand || self.is_appending {
                Outcome::Undecided
            } else {
                Outcome::NotWritten
            };
            return Action::Finish(outcome);
        }
        if self.is_appending || now < self.next {
            let until = if self.is_appending {
                self.deadline
            } else {
                self.next.min(self.deadline)
            };
            return Action::Wait(until);
        }
        self.is_appending = true;
        Action::Append
    }

    /// Learns how the append ended.
    pub fn appended(&mut self, how: &Appended, now: Time) {
        self.is_appending = false;
        let wait = match how {
            Appended::Done | Appended::Unknown => {
                self.may_stand = true;
                READ_BACK.max(self.backoff)
            }
            Appended::NoEffect => self.backoff,
        };
        self.next = now + wait;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Learns the verdict from the fold.
    pub fn decided(&mut self, verdict: &Verdict) {
        self.outcome = Some(match verdict {
            Verdict::Accepted(revision) => Outcome::Accepted(*revision),
            Verdict::Refused(refusal) => Outcome::Refused(refusal.clone()),
        });
    }
}

/// Makes the record of an edit.
pub fn record(author: &str, body: Body) -> Record {
    Record {
        version: VERSION,
        attempt: uuid::Uuid::new_v4().to_string(),
        author: author.into(),
        body,
    }
}

/// Makes the edit that undoes a change: a new change, based on the revision that was read.
pub fn rollback(change: &Change, base: id::Revision) -> Body {
    let reason = format!("roll back revision {}: {}", change.revision, change.reason);
    match &change.before {
        Some(value) => Body::Set(Set {
            setting: change.setting.clone(),
            scope: change.scope.clone(),
            value: value.clone(),
            base,
            reason,
            expires_ms: None,
        }),
        None => Body::Clear(Clear {
            setting: change.setting.clone(),
            scope: change.scope.clone(),
            base,
            reason,
        }),
    }
}

/// Returns the live daemons that have not reached `revision`.
pub fn behind<'a>(
    live: impl Iterator<Item = (&'a id::Daemon, id::Revision)>,
    revision: id::Revision,
) -> Vec<id::Daemon> {
    live.filter(|(_, at)| *at < revision)
        .map(|(daemon, _)| daemon.clone())
        .collect()
}
