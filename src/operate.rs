//! What operators run and ask: the operators' port, its client and the command line.
//!
//! See [the operators' pages](../docs/operators/README.md).

use std::time::Duration;

use snafu::Snafu;

use crate::{id, timeline};

pub mod client;
pub mod command;
pub mod fleet;
pub mod port;
pub mod status;

pub use status::{Report, Status};

/// Why an operator's question or order failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The daemon did not answer.
    #[snafu(display("{step} at {peer}: {reason}"))]
    Unreachable {
        /// What was being done.
        step: &'static str,
        /// The daemon.
        peer: String,
        /// What went wrong.
        reason: String,
    },
    /// The daemon refused.
    #[snafu(display("{step} refused by {peer}: {reason}"))]
    Refused {
        /// What was being done.
        step: &'static str,
        /// The daemon.
        peer: String,
        /// What it said.
        reason: String,
    },
    /// What the operator gave is wrong.
    #[snafu(display("{reason}"))]
    Input {
        /// What is wrong and what is allowed.
        reason: String,
    },
    /// A local file or port cannot be used.
    #[snafu(display("{step} {peer}: {reason}"))]
    Local {
        /// What was being done.
        step: &'static str,
        /// The file or address.
        peer: String,
        /// What went wrong.
        reason: String,
    },
}

/// The result of an operator's question or order.
pub type Result<T> = std::result::Result<T, Error>;

value! {
    /// A question to one daemon, also asked by daemons of each other.
    pub enum Query {
        /// How it is.
        Status,
        /// What it spent and answered.
        Report,
        /// What happened after a time.
        Events(timeline::Stamp),
    }

    /// The answer to a `Query`.
    pub enum Answer {
        /// To `Query::Status`.
        Status(Box<Status>),
        /// To `Query::Report`.
        Report(Report),
        /// To `Query::Events`.
        Events(Vec<timeline::Event>),
    }

    /// The answers of a whole fleet.
    pub struct Collection {
        /// Answers, one for each daemon that gave one.
        pub answers: Vec<Answer>,
        /// Daemons that gave none in time.
        pub missing: Vec<id::Daemon>,
    }

    /// A change of configuration as an operator asks for it.
    pub struct Edit {
        /// Who asks.
        pub author: String,
        /// What is to change.
        pub change: Change,
    }

    /// What is to change.
    pub enum Change {
        /// Set a default, or add an exception when `scope` is given.
        Set {
            /// The setting.
            setting: String,
            /// `level:name`, such as `workspace:parents`; none for the fleet-wide default.
            scope: Option<String>,
            /// The value, in the notation of the setting.
            value: String,
            /// Why.
            reason: String,
            /// Milliseconds since the Unix epoch at which an exception ends.
            expires_ms: Option<u64>,
            /// The revision that the operator saw; the current one when none is given.
            base: Option<id::Revision>,
        },
        /// Return to the built-in default, or remove an exception.
        Clear {
            /// The setting.
            setting: String,
            /// As for `Set`.
            scope: Option<String>,
            /// Why.
            reason: String,
            /// As for `Set`.
            base: Option<id::Revision>,
        },
        /// Undo an accepted change by a new change.
        Rollback {
            /// The revision of the change to undo.
            revision: id::Revision,
        },
    }

    /// What became of an edit.
    pub enum Verdict {
        /// It is in force wherever this revision is reached.
        Accepted(id::Revision),
        /// It is refused everywhere.
        Refused(String),
        /// It does not stand in the log and may be sent again.
        NotWritten,
        /// The log did not tell in time; the history tells later.
        Undecided,
    }

    /// A setting as it stands.
    pub struct Line {
        /// The setting.
        pub setting: String,
        /// `level:name` of an exception; none for the fleet-wide default.
        pub scope: Option<String>,
        /// The value in force.
        pub value: String,
        /// The unit of the value.
        pub unit: String,
        /// What the setting does.
        pub meaning: String,
        /// Why an operator set it; none for the built-in default.
        pub reason: Option<String>,
        /// Who set it.
        pub author: Option<String>,
        /// The revision that set it; 0 for the built-in default.
        pub revision: id::Revision,
        /// Milliseconds since the Unix epoch at which an exception ends.
        pub expires_ms: Option<u64>,
    }

    /// The configuration as one daemon holds it.
    pub struct Sheet {
        /// The revision of the last accepted change.
        pub revision: id::Revision,
        /// Whether the daemon has read the log lately.
        pub fresh: bool,
        /// Defaults and exceptions.
        pub lines: Vec<Line>,
    }

    /// One accepted change.
    pub struct Event {
        /// Its revision.
        pub revision: id::Revision,
        /// Who made it.
        pub author: String,
        /// The setting.
        pub setting: String,
        /// `level:name` of an exception.
        pub scope: Option<String>,
        /// The value before, if one was set.
        pub before: Option<String>,
        /// The value after, if one is set.
        pub after: Option<String>,
        /// Why.
        pub reason: String,
    }
}

/// What the operators' port needs from a daemon.
pub trait Console: Send + Sync {
    /// Answers a question.
    fn answer(&self, query: &Query) -> Answer;
    /// Starts a graceful shutdown.
    fn drain(&self);
    /// Returns the configuration in force.
    fn sheet(&self) -> Sheet;
    /// Returns the accepted changes that are remembered, oldest first.
    fn history(&self) -> Vec<Event>;
    /// Publishes a change and waits for its verdict.
    fn edit(&self, edit: &Edit, timeout: Duration) -> Result<Verdict>;
    /// Returns the live daemons that have not reached a revision.
    fn behind(&self, revision: id::Revision) -> Vec<id::Daemon>;
    /// Returns the other live daemons and the addresses of their peers' ports.
    fn peers(&self) -> Vec<(id::Daemon, String)>;
}

#[cfg(test)]
mod tests;
