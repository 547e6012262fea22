//! A snapshot of the configuration, from which settings are resolved.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::record::{Level, Value};
use super::setting::{CATALOGUE, Setting};
use crate::id;

/// Scope levels, the most specific first; the first exception found wins.
///
/// An exception has one level and one name, and a key has one value, so that no two can tie.
const ORDER: [Level; 7] = [
    Level::Endpoint,
    Level::Workspace,
    Level::Pipeline,
    Level::Pool,
    Level::AvailabilityZone,
    Level::Region,
    Level::Fleet,
];

/// What a setting is asked for; what is not known is left out.
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
struct Slot {
    default: Value,
    exceptions: IndexMap<(Level, id::Name), Value>,
}

/// The configuration at one revision; cheap to share, never changed.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The revision.
    pub revision: id::Revision,
    /// Digest of the accepted changes up to the revision; equal at every daemon.
    pub chain: id::Digest,
    slots: Vec<Slot>,
}

impl View {
    /// Makes a view of the given values; what is missing has the default of the catalogue.
    pub fn new<'a>(
        revision: id::Revision,
        chain: id::Digest,
        values: impl Iterator<Item = (&'a Key, &'a Value)>,
    ) -> Self {
        let mut slots: Vec<Slot> = CATALOGUE
            .iter()
            .map(|s| Slot {
                default: s.preset.value(),
                exceptions: IndexMap::new(),
            })
            .collect();
        for (key, value) in values {
            let slot = &mut slots[key.setting];
            match key.level {
                None => slot.default = value.clone(),
                Some(level) => {
                    slot.exceptions
                        .insert((level, key.name.clone()), value.clone());
                }
            }
        }
        Self {
            revision,
            chain,
            slots,
        }
    }

    /// Resolves a setting: the exception of the most specific scope, else the default.
    pub fn get(&self, setting: &Setting, place: &Context<'_>) -> Value {
        let index = CATALOGUE.iter().position(|s| s.name == setting.name);
        let Some(slot) = index.and_then(|i| self.slots.get(i)) else {
            return setting.preset.value();
        };
        if slot.exceptions.is_empty() {
            return slot.default.clone();
        }
        ORDER
            .iter()
            .filter_map(|level| Some((*level, id::Name::from(place.name(*level)?))))
            .find_map(|key| slot.exceptions.get(&key))
            .unwrap_or(&slot.default)
            .clone()
    }

    /// Resolves a setting in milliseconds.
    pub fn duration(&self, setting: &Setting, place: &Context<'_>) -> Duration {
        match self.get(setting, place) {
            Value::Ms(n) => Duration::from_millis(n),
            _ => Duration::ZERO,
        }
    }

    /// Resolves a whole number.
    pub fn count(&self, setting: &Setting, place: &Context<'_>) -> u64 {
        match self.get(setting, place) {
            Value::Count(n) => n,
            _ => 0,
        }
    }

    /// Resolves a real number.
    pub fn ratio(&self, setting: &Setting, place: &Context<'_>) -> f64 {
        match self.get(setting, place) {
            Value::Ratio(x) => x,
            _ => 0.0,
        }
    }

    /// Resolves a flag.
    pub fn flag(&self, setting: &Setting, place: &Context<'_>) -> bool {
        self.get(setting, place) == Value::Flag(true)
    }

    /// Resolves a text; empty means that none was set.
    pub fn text(&self, setting: &Setting, place: &Context<'_>) -> id::Name {
        match self.get(setting, place) {
            Value::Text(s) => s.into(),
            _ => "".into(),
        }
    }

    /// Resolves a list of names.
    pub fn names(&self, setting: &Setting, place: &Context<'_>) -> Vec<id::Name> {
        match self.get(setting, place) {
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
