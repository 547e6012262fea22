//! The input of a stage: the caller's body and the results of the stages before.

use crate::{claim, id};

/// Returns the JSON text `{"body": …, "results": {"STAGE": …}}`.
///
/// The parts are JSON texts already and are joined without being parsed again, because inputs
/// grow long; stage names are checked when the settings are read.
pub fn text(body: &str, parts: &[claim::StageResult]) -> id::Name {
    let size: usize = parts.iter().map(|p| p.stage.len() + p.body.len() + 4).sum();
    let mut text = String::with_capacity(body.len() + size + 24);
    text.push_str("{\"body\":");
    text.push_str(body);
    text.push_str(",\"results\":{");
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            text.push(',');
        }
        text.push_str(&serde_json::Value::from(&*part.stage).to_string());
        text.push(':');
        text.push_str(&part.body);
    }
    text.push_str("}}");
    text.into()
}

#[cfg(test)]
mod tests;
