//! The catalogue of settings: name, type, unit, limits, default and meaning of each.
//!
//! Names, limits, units and error texts are part of the fold: a fleet knows a setting from the
//! level `since` on, so that daemons of two versions give the same verdicts.
//! See [the operators' page](../../docs/operators/configuration.md).

use super::record::Value;

mod catalogue;

pub use catalogue::*;

/// The most names in a list.
pub const MAX_NAMES: usize = 64;
/// The longest name or text.
pub const MAX_TEXT_BYTES: usize = 256;

event! {
    /// The default of a setting, which also gives its type.
    #[derive(Copy)]
    pub enum Preset {
        /// A time in milliseconds.
        Milliseconds(u64),
        /// A whole number.
        Count(u64),
        /// A real number, kept to six decimals.
        Ratio(f64),
        /// True or false.
        Flag(bool),
        /// A name.
        Text(&'static str),
        /// A list of names, in order.
        Names(&'static [&'static str]),
    }

    /// One setting.
    #[derive(Copy)]
    pub struct Setting {
        /// Its name in the log.
        pub name: &'static str,
        /// Its unit, as shown to operators.
        pub unit: &'static str,
        /// Its default in the catalogue.
        pub preset: Preset,
        /// The lowest number allowed.
        pub min: f64,
        /// The highest number allowed.
        pub max: f64,
        /// The lowest level of the fleet that knows it.
        pub since: u32,
        /// What it does, in one line.
        pub meaning: &'static str,
    }
}

impl Preset {
    /// Returns the default as a value of the log.
    pub fn value(&self) -> Value {
        match self {
            Self::Milliseconds(n) => Value::Ms(*n),
            Self::Count(n) => Value::Count(*n),
            Self::Ratio(x) => Value::Ratio(*x),
            Self::Flag(b) => Value::Flag(*b),
            Self::Text(s) => Value::Text((*s).into()),
            Self::Names(list) => Value::Names(list.iter().map(|s| (*s).into()).collect()),
        }
    }
}

impl Setting {
    /// Checks a value and returns it as the fold keeps it: a ratio has six decimals.
    ///
    /// # Errors
    ///
    /// Fails when the type differs or the value is outside the limits.
    pub fn check(&self, value: &Value) -> Result<Value, String> {
        match (&self.preset, value) {
            (Preset::Milliseconds(_), Value::Ms(n)) | (Preset::Count(_), Value::Count(n)) => {
                self.check_range(*n as f64)?;
            }
            (Preset::Ratio(_), Value::Ratio(x)) => {
                self.check_range(*x)?;
                return Ok(Value::Ratio((x * 1e6).round() / 1e6));
            }
            (Preset::Text(_), Value::Text(s)) => check_length(s)?,
            (Preset::Names(_), Value::Names(list)) => {
                if list.len() > MAX_NAMES {
                    return Err(format!("{} has more than {MAX_NAMES} names", self.name));
                }
                list.iter().try_for_each(|s| check_length(s))?;
            }
            (Preset::Flag(_), Value::Flag(_)) => {}
            _ => return Err(format!("{} takes {}", self.name, self.unit)),
        }
        Ok(value.clone())
    }

    fn check_range(&self, x: f64) -> Result<(), String> {
        if x.is_finite() && x >= self.min && x <= self.max {
            return Ok(());
        }
        let Self {
            name,
            unit,
            min,
            max,
            ..
        } = self;
        Err(format!(
            "{name} must be from {min} to {max} {unit}, not {x}"
        ))
    }
}

fn check_length(text: &str) -> Result<(), String> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(format!("a name has more than {MAX_TEXT_BYTES} bytes"));
    }
    Ok(())
}

/// Finds a setting that a fleet of `level` knows, with its index in [`CATALOGUE`].
pub fn find(name: &str, level: u32) -> Option<(usize, &'static Setting)> {
    CATALOGUE
        .iter()
        .enumerate()
        .find(|(_, s)| s.name == name && s.since <= level)
        .map(|(index, s)| (index, *s))
}
