//! The input of a stage: the caller's body and the results of earlier stages.

use crate::{claim, id};

/// Returns the JSON text `{"body": …, "results": {"STAGE": …}}`.
///
/// The results are JSON text already and are joined without parsing, because inputs can be
/// large. Stage names are validated when the settings are read.
pub fn text(body: &str, stage_results: &[claim::StageResult]) -> id::Name {
    let size: usize = stage_results
        .iter()
        .map(|r| r.stage.len() + r.body.len() + 4)
        .sum();
    let mut text = String::with_capacity(body.len() + size + 24);
    text.push_str("{\"body\":");
    text.push_str(body);
    text.push_str(",\"results\":{");
    for (index, result) in stage_results.iter().enumerate() {
        if index > 0 {
            text.push(',');
        }
        text.push_str(&serde_json::Value::from(&*result.stage).to_string());
        text.push(':');
        text.push_str(&result.body);
    }
    text.push_str("}}");
    text.into()
}

#[cfg(test)]
mod tests;
