//! Finds the line of a key in a TOML text, for error messages.

use toml::de::{DeTable, DeValue};

/// Returns the line, from 1, that holds the byte at `offset`.
pub fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
}

/// Returns the line of the key at a dotted path such as `pipelines[0].stages[1].pool`.
///
/// When the key is absent, returns the line of its nearest ancestor that is present.
pub fn line_of(text: &str, path: &str) -> Option<usize> {
    let root = DeTable::parse(text).ok()?;
    let mut offset = None;
    let mut value = DeValue::Table(root.into_inner());
    for part in path.split(['.', '[']) {
        let next = match (&value, part.strip_suffix(']')) {
            (DeValue::Array(array), Some(index)) => {
                let index: usize = index.parse().ok()?;
                array.get(index).cloned()
            }
            (DeValue::Table(table), None) => table.get(part).cloned(),
            _ => None,
        };
        let Some(next) = next else { break };
        offset = Some(next.span().start);
        value = next.into_inner();
    }
    offset.map(|offset| line_at(text, offset))
}
