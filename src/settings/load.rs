//! Reads the layers of settings and merges them.

use std::fs;
use std::path::Path;

use snafu::ResultExt;
use toml::{Table, Value};

use super::error::{ReadSnafu, Result};
use super::{Error, Settings, check, locate};

/// The prefix of environment variables that override settings; `CYCLAMENRILL__DAEMON__NAME`
/// overrides the key `daemon.name`.
pub const ENVIRONMENT_PREFIX: &str = "CYCLAMENRILL__";

event! {
    /// A value that overrides the file.
    pub struct Override {
        /// Where it comes from, for error messages.
        pub source: String,
        /// The key, as a dotted path.
        pub key: String,
        /// The value, as TOML or as a bare string.
        pub value: String,
    }
}

impl Override {
    /// Parses `key=value`, the argument of `--set`.
    pub fn from_argument(text: &str) -> std::result::Result<Self, String> {
        let (key, value) = text
            .split_once('=')
            .ok_or_else(|| format!("`{text}` is not of the form key=value"))?;
        Ok(Self {
            source: format!("--set {key}"),
            key: key.trim().to_owned(),
            value: value.trim().to_owned(),
        })
    }

    /// Returns the overrides among the environment variables.
    pub fn from_environment(vars: impl Iterator<Item = (String, String)>) -> Vec<Self> {
        vars.filter_map(|(name, value)| {
            let key = name
                .strip_prefix(ENVIRONMENT_PREFIX)?
                .to_lowercase()
                .replace("__", ".")
                .replace('_', "-");
            Some(Self {
                source: format!("environment variable {name}"),
                key,
                value,
            })
        })
        .collect()
    }

    fn parse_value(&self) -> Value {
        let text = format!("value = {}", self.value);
        toml::from_str::<Table>(&text)
            .ok()
            .and_then(|mut table| table.remove("value"))
            .unwrap_or_else(|| Value::String(self.value.clone()))
    }

    fn error(&self, reason: &str) -> Error {
        Error::Value {
            location: self.source.clone(),
            key: self.key.clone(),
            reason: reason.to_owned(),
        }
    }

    fn apply(&self, table: &mut Table) -> Result<()> {
        let mut parts: Vec<&str> = self.key.split('.').collect();
        let Some(last) = parts.pop() else {
            return Ok(());
        };
        let mut current = table;
        for part in parts {
            let next = current
                .entry(part)
                .or_insert_with(|| Value::Table(Table::new()))
                .as_table_mut();
            current = next.ok_or_else(|| self.error("only keys of tables can be overridden"))?;
        }
        current.insert(last.to_owned(), self.parse_value());
        Ok(())
    }
}

/// Reads a file, applies the overrides in order and checks the result.
///
/// # Errors
///
/// The first error, with the file, the line and the key.
pub fn load(file: &Path, overrides: &[Override]) -> Result<Settings> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).context(ReadSnafu { file: &name })?;
    parse(&name, &text, overrides)
}

/// Reads a TOML text like `load`; error messages call it `name`.
///
/// # Errors
///
/// The first error, with the file, the line and the key.
pub fn parse(name: &str, text: &str, overrides: &[Override]) -> Result<Settings> {
    let mut table: Table = toml::from_str(text).map_err(|e| Error::Syntax {
        file: name.to_owned(),
        line: locate::line_at(text, e.span().map_or(0, |s| s.start)),
        reason: e.message().to_owned(),
    })?;
    for layer in overrides {
        layer.apply(&mut table)?;
    }
    let location = |key: &str| match overrides.iter().rev().find(|o| o.key == key) {
        Some(layer) => layer.source.clone(),
        None => match locate::line_of(text, key) {
            Some(line) => format!("{name}: line {line}"),
            None => name.to_owned(),
        },
    };
    let settings: Settings =
        serde_path_to_error::deserialize(Value::Table(table)).map_err(|e| {
            let key = e.path().to_string();
            Error::Value {
                location: location(&key),
                key,
                reason: e.inner().message().to_owned(),
            }
        })?;
    check::check(&settings).map_err(|violation| Error::Value {
        location: location(&violation.key),
        key: violation.key,
        reason: violation.reason,
    })?;
    Ok(settings)
}
