//! Why settings were refused; each message names the file, the line and the key.

use snafu::Snafu;

/// Why settings were refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{file}: cannot be read: {source}"))]
    Read {
        /// The file.
        file: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The file is no TOML.
    #[snafu(display("{file}: line {line}: {reason}"))]
    Syntax {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// What the parser said.
        reason: String,
    },
    /// A key has a value that is not allowed, or is missing or unknown.
    #[snafu(display("{place}: {key}: {reason}"))]
    Value {
        /// The file and line, or the layer above the file.
        place: String,
        /// The key, as a dotted path.
        key: String,
        /// What is wrong and what is allowed.
        reason: String,
    },
}

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;
