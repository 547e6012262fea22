//! Snapshots of the configuration, from which settings are resolved.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::record::{Level, Value};
use super::setting::{CATALOGUE, Setting};
use crate::id;

/// Scope levels, the most specific first; the first exception found wins.
///
/// An exception has one level and one name, and a key has one value, so that no two can tie.
const PRECEDENCE: [Level; 7] = [
    Level::Endpoint,
    Level::Workspace,
    Level::Pipeline,
    Level::Pool,
    Level::AvailabilityZone,
    Level::Region,
    Level::Fleet,
];

/// What a setting is resolved for; unknown parts are left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Context<'a> {
    /// The region.
    pub region: Option<&'a str>,
    /// The availability zone.
    pub zone: Option<&'a str>,
    /// The pool.
    pub pool: Option<&'a str>,
    /// The pipeline.
    pub pipeline: Option<&'a str>,
    /// The workspace.
    pub workspace: Option<&'a str>,
    /// The endpoint.
    pub endpoint: Option<&'a str>,
}

impl<'a> Context<'a> {
    fn name(&self, level: Level) -> Option<&'a str> {
        match level {
            Level::Fleet => Some(""),
            Level::Region => self.region,
            Level::AvailabilityZone => self.zone,
            Level::Pool => self.pool,
            Level::Pipeline => self.pipeline,
            Level::Workspace => self.workspace,
            Level::Endpoint => self.endpoint,
        }
    }
}

/// The key of a value: a default, or an exception of one scope.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Index of the setting in the catalogue.
    pub setting: usize,
    /// The scope level of an exception; none for a default.
    pub level: Option<Level>,
    /// The scope name of an exception.
    pub name: id::Name,
}

#[derive(Clone, Debug, PartialEq)]
struct Values {
    default: Value,
    exceptions: IndexMap<(Level, id::Name), Value>,
}

/// An immutable snapshot of the configuration, cheap to share.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The revision.
    pub revision: id::Revision,
    /// Digest of the accepted changes up to the revision; equal at every daemon.
    pub chain: id::Digest,
    settings: Vec<Values>,
}

impl View {
    /// Makes a view of the given values; other settings have the defaults of the catalogue.
    pub fn new<'a>(
        revision: id::Revision,
        chain: id::Digest,
        values: impl Iterator<Item = (&'a Key, &'a Value)>,
    ) -> Self {
        let mut settings: Vec<Values> = CATALOGUE
            .iter()
            .map(|s| Values {
                default: s.preset.value(),
                exceptions: IndexMap::new(),
            })
            .collect();
        for (key, value) in values {
            let setting_values = &mut settings[key.setting];
            match key.level {
                None => setting_values.default = value.clone(),
                Some(level) => {
                    setting_values
                        .exceptions
                        .insert((level, key.name.clone()), value.clone());
                }
            }
        }
        Self {
            revision,
            chain,
            settings,
        }
    }

    /// Resolves a setting: the exception of the most specific scope, else the default.
    pub fn get(&self, setting: &Setting, context: &Context<'_>) -> Value {
        let index = CATALOGUE.iter().position(|s| s.name == setting.name);
        let Some(setting_values) = index.and_then(|i| self.settings.get(i)) else {
            return setting.preset.value();
        };
        if setting_values.exceptions.is_empty() {
            return setting_values.default.clone();
        }
        PRECEDENCE
            .iter()
            .filter_map(|level| Some((*level, id::Name::from(context.name(*level)?))))
            .find_map(|key| setting_values.exceptions.get(&key))
            .unwrap_or(&setting_values.default)
            .clone()
    }

    /// Resolves a time.
    pub fn duration(&self, setting: &Setting, context: &Context<'_>) -> Duration {
        match self.get(setting, context) {
            Value::Ms(n) => Duration::from_millis(n),
            _ => Duration::ZERO,
        }
    }

    /// Resolves a whole number.
    pub fn count(&self, setting: &Setting, context: &Context<'_>) -> u64 {
        match self.get(setting, context) {
            Value::Count(n) => n,
            _ => 0,
        }
    }

    /// Resolves a real number.
    pub fn ratio(&self, setting: &Setting, context: &Context<'_>) -> f64 {
        match self.get(setting, context) {
            Value::Ratio(x) => x,
            _ => 0.0,
        }
    }

    /// Resolves a flag.
    pub fn flag(&self, setting: &Setting, context: &Context<'_>) -> bool {
        self.get(setting, context) == Value::Flag(true)
    }

    /// Resolves a text; empty means that none was set.
    pub fn text(&self, setting: &Setting, context: &Context<'_>) -> id::Name {
        match self.get(setting, context) {
            Value::Text(s) => s.into(),
            _ => "".into(),
        }
    }

    /// Resolves a list of names.
    pub fn names(&self, setting: &Setting, context: &Context<'_>) -> Vec<id::Name> {
        match self.get(setting, context) {
            Value::Names(list) => list.into_iter().map(Into::into).collect(),
            _ => Vec::new(),
        }
    }
}

impl Default for View {
    fn default() -> Self {
        Self::new(0, Arc::from(""), std::iter::empty())
    }
}
