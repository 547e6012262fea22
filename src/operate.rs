//! The operators' interface: the operators' port, its client and the command line.
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

/// Why an operator's query or command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The daemon did not answer.
    #[snafu(display("{step} at {peer}: {reason}"))]
    Unreachable {
        /// The failed step.
        step: &'static str,
        /// The daemon.
        peer: String,
        /// What went wrong.
        reason: String,
    },
    /// The daemon refused.
    #[snafu(display("{step} refused by {peer}: {reason}"))]
    Refused {
        /// The failed step.
        step: &'static str,
        /// The daemon.
        peer: String,
        /// The daemon's reason.
        reason: String,
    },
    /// The operator's input is wrong.
    #[snafu(display("{reason}"))]
    Input {
        /// What is wrong and what is allowed.
        reason: String,
    },
    /// A local file or port cannot be used.
    #[snafu(display("{step} {peer}: {reason}"))]
    Local {
        /// The failed step.
        step: &'static str,
        /// The file or address.
        peer: String,
        /// What went wrong.
        reason: String,
    },
}

/// The result of an operator's query or command.
pub type Result<T> = std::result::Result<T, Error>;

value! {
    /// A query to one daemon, from an operator or from another daemon.
    pub enum Query {
        /// The status of the daemon.
        Status,
        /// Attainment and cost.
        Report,
        /// The events after a timestamp.
        Events(timeline::Stamp),
    }

    /// The answer to a `Query`.
    pub enum Answer {
        /// Answers `Query::Status`.
        Status(Box<Status>),
        /// Answers `Query::Report`.
        Report(Report),
        /// Answers `Query::Events`.
        Events(Vec<timeline::Event>),
    }

    /// The answers of one or all daemons.
    pub struct Collection {
        /// The answer of each daemon that answered.
        pub answers: Vec<Answer>,
        /// Daemons that did not answer in time.
        pub missing: Vec<id::Daemon>,
    }

    /// An operator's request for a change of configuration.
    pub struct Edit {
        /// The operator.
        pub author: String,
        /// The requested change.
        pub change: Change,
    }

    /// A requested change.
    pub enum Change {
        /// Set a default, or add an exception when `scope` is given.
        Set {
            /// The setting.
            setting: String,
            /// `level:name`, such as `workspace:parents`; none for the fleet-wide default.
            scope: Option<String>,
            /// The value, in the notation of the setting.
            value: String,
            /// The reason.
            reason: String,
            /// Milliseconds since the Unix epoch at which an exception ends.
            expires_ms: Option<u64>,
            /// The revision on which the operator bases the change; the current one by default.
            base: Option<id::Revision>,
        },
        /// Return to the built-in default, or remove an exception.
        Clear {
            /// The setting.
            setting: String,
            /// As for `Set`.
            scope: Option<String>,
            /// The reason.
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

    /// The outcome of an edit.
    pub enum Verdict {
        /// It takes effect at each daemon that reaches this revision.
        Accepted(id::Revision),
        /// Every daemon refuses it.
        Refused(String),
        /// It was not written to the log and may be sent again.
        NotWritten,
        /// The log did not confirm it in time; see the history later.
        Undecided,
    }

    /// A setting and its value in force.
    pub struct SettingValue {
        /// The setting.
        pub setting: String,
        /// `level:name` of an exception; none for the fleet-wide default.
        pub scope: Option<String>,
        /// The value in force.
        pub value: String,
        /// The unit of the value.
        pub unit: String,
        /// The meaning of the setting.
        pub meaning: String,
        /// The operator's reason; none for the built-in default.
        pub reason: Option<String>,
        /// The operator who set it.
        pub author: Option<String>,
        /// The revision that set it; 0 for the built-in default.
        pub revision: id::Revision,
        /// Milliseconds since the Unix epoch at which an exception ends.
        pub expires_ms: Option<u64>,
    }

    /// The configuration that one daemon holds.
    pub struct ConfigSnapshot {
        /// The revision of the last accepted change.
        pub revision: id::Revision,
        /// Whether the daemon has read the log recently.
        pub fresh: bool,
        /// Defaults and exceptions.
        #[serde(rename = "lines")]
        pub values: Vec<SettingValue>,
    }

    /// An accepted change.
    pub struct AcceptedChange {
        /// Its revision.
        pub revision: id::Revision,
        /// Its author.
        pub author: String,
        /// The setting.
        pub setting: String,
        /// `level:name` of an exception.
        pub scope: Option<String>,
        /// The value before, if one was set.
        pub before: Option<String>,
        /// The value after, if one is set.
        pub after: Option<String>,
        /// The reason.
        pub reason: String,
    }
}

/// The operations that the port offers.
pub trait Operations: Send + Sync {
    /// Answers a query.
    fn answer(&self, query: &Query) -> Answer;
    /// Starts a graceful shutdown.
    fn drain(&self);
    /// Returns the configuration in force.
    fn config(&self) -> ConfigSnapshot;
    /// Returns the retained accepted changes, oldest first.
    fn history(&self) -> Vec<AcceptedChange>;
    /// Publishes a change and waits for its verdict.
    fn edit(&self, edit: &Edit, timeout: Duration) -> Result<Verdict>;
    /// Returns the live daemons that have not reached a revision.
    fn behind(&self, revision: id::Revision) -> Vec<id::Daemon>;
    /// Returns the other live daemons and the addresses of their peers' ports.
    fn peers(&self) -> Vec<(id::Daemon, String)>;
}

#[cfg(test)]
mod tests;
