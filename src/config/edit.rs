//! Operators' edits: append the record, read it back, report the verdict.
//!
//! Every append of an edit has the same attempt id, so that a lost answer may cause a second
//! record but never a second change.
//! See [the operators' page](../../docs/operators/configuration.md).

use std::time::Duration;

use super::record::{Body, Change, Clear, Record, Set, VERSION, Verdict};
use crate::clock::Time;
use crate::id;

/// How long an append that may have succeeded is waited for in the log before the next.
pub const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);
/// The wait after a first append without effect; it doubles with each append.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Upper limit of the wait between appends.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);

event! {
    /// How an append ended.
    pub enum Appended {
        /// The record is in the log.
        Done,
        /// The record is not in the log.
        NoEffect,
        /// The record may be in the log.
        Unknown,
    }

    /// What the thread that runs the edit does next.
    pub enum Action {
        /// Append the record.
        Append,
        /// Wait for the read-back until this time.
        Wait(Time),
        /// Return the outcome to the operator.
        Finish(Outcome),
    }

    /// The result of an edit.
    pub enum Outcome {
        /// Accepted with this revision, at every daemon that has read that far.
        Accepted(id::Revision),
        /// Refused at every daemon.
        Refused(super::record::Refusal),
        /// It is certainly not in the log and may be retried.
        NotWritten,
        /// The deadline passed before the read-back; the verdict on the attempt id shows later.
        Undecided,
    }
}

/// An edit in progress.
#[derive(Clone, Debug)]
pub struct Edit {
    record: Record,
    deadline: Time,
    next_append: Time,
    backoff: Duration,
    may_be_written: bool,
    is_appending: bool,
    outcome: Option<Outcome>,
}

impl Edit {
    /// Starts an edit that gives up at `deadline`.
    pub fn new(record: Record, now: Time, deadline: Time) -> Self {
        Self {
            record,
            deadline,
            next_append: now,
            backoff: INITIAL_BACKOFF,
            may_be_written: false,
            is_appending: false,
            outcome: None,
        }
    }

    /// The record, with the attempt id that all appends share.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the next action.
    pub fn poll(&mut self, now: Time) -> Action {
        if let Some(outcome) = &self.outcome {
            return Action::Finish(outcome.clone());
        }
        if now >= self.deadline {
            let outcome = if self.may_be_written || self.is_appending {
                Outcome::Undecided
            } else {
                Outcome::NotWritten
            };
            return Action::Finish(outcome);
        }
        if self.is_appending || now < self.next_append {
            let until = if self.is_appending {
                self.deadline
            } else {
                self.next_append.min(self.deadline)
            };
            return Action::Wait(until);
        }
        self.is_appending = true;
        Action::Append
    }

    /// Records the result of an append.
    pub fn appended(&mut self, result: &Appended, now: Time) {
        self.is_appending = false;
        let wait = match result {
            Appended::Done | Appended::Unknown => {
                self.may_be_written = true;
                READ_BACK_TIMEOUT.max(self.backoff)
            }
            Appended::NoEffect => self.backoff,
        };
        self.next_append = now + wait;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Records the verdict of the fold.
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

/// Makes the edit that undoes a change: a new change based on revision `base`.
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

/// Returns the live daemons whose configuration is older than `revision`.
pub fn behind<'a>(
    live: impl Iterator<Item = (&'a id::Daemon, id::Revision)>,
    revision: id::Revision,
) -> Vec<id::Daemon> {
    live.filter(|(_, reached)| *reached < revision)
        .map(|(daemon, _)| daemon.clone())
        .collect()
}
