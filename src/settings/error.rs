//! Errors of settings; each message names the file, the line and the key.

use snafu::Snafu;

/// Why settings are rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{file}: cannot be read: {source}"))]
    Read {
        /// The file.
        file: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is not valid TOML.
    #[snafu(display("{file}: line {line}: {reason}"))]
    Syntax {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The parser's message.
        reason: String,
    },
    /// A key has a value that is not allowed, or is missing or unknown.
    #[snafu(display("{location}: {key}: {reason}"))]
    Value {
        /// The file and line, or the override.
        location: String,
        /// The key, as a dotted path.
        key: String,
        /// What is wrong and what is allowed.
        reason: String,
    },
}

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;
