//! What stand-in endpoints answer: a pure function of input, stage and version.
//!
//! The caller puts a marker into its body; every stage repeats it and names the stages whose
//! results it was given. So a crossed, doubled, truncated or lost result shows in the answer.

use indexmap::IndexSet;
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::endpoint::{Call, Token};
use crate::id;

/// Tokens that a generation produces when the body does not say.
pub const DEFAULT_TOKENS: u32 = 24;

const WORDS: [&str; 16] = [
    "rye", "bread", "soup", "lentil", "apple", "carrot", "minutes", "harvest", "supper", "notice",
    "branch", "member", "lunch", "kitchen", "barley", "beet",
];

/// What an endpoint reads out of the input of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Input {
    /// The marker of the caller's body, or a digest of the input if there is none.
    pub marker: id::Name,
    /// Whether results of other requests are mixed in.
    pub crossed: bool,
    /// The stages whose results are in it, directly or through a later one.
    pub seen: Vec<id::Name>,
    /// Tokens to generate, if the body says so.
    pub tokens: Option<u32>,
    /// Whether the endpoint crashes when it runs it.
    pub poison: bool,
}

value! {
    /// The JSON text that a stage answers.
    pub struct Body {
        /// The stage.
        pub stage: id::Name,
        /// The marker of the caller's body.
        pub marker: id::Name,
        /// The version that answered.
        pub version: Option<id::Version>,
        /// The text.
        pub text: id::Name,
        /// Tokens in it.
        pub tokens: u32,
        /// The stages whose results were in the input.
        pub seen: Vec<id::Name>,
    }
}

#[derive(Default)]
struct Walk {
    markers: IndexSet<id::Name>,
    seen: IndexSet<id::Name>,
    bodies: Vec<Body>,
    tokens: Option<u32>,
    poison: bool,
}

impl Walk {
    fn visit(&mut self, value: &Value) {
        match value {
            Value::Array(items) => items.iter().for_each(|v| self.visit(v)),
            Value::Object(fields) => {
                self.object(value);
                fields.values().for_each(|v| self.visit(v));
            }
            Value::String(text) if text.starts_with('{') => self.text(text),
            _ => {}
        }
    }

    fn text(&mut self, text: &str) {
        if let Ok(value) = serde_json::from_str::<Value>(text) {
            self.visit(&value);
        }
    }

    fn object(&mut self, value: &Value) {
        if let Some(marker) = value["marker"].as_str() {
            self.markers.insert(marker.into());
        }
        if let Ok(body) = serde_json::from_value::<Body>(value.clone()) {
            self.seen.extend(body.seen.iter().cloned());
            self.seen.insert(body.stage.clone());
            self.bodies.push(body);
        } else {
            let tokens = value["tokens"].as_u64();
            self.tokens = self.tokens.or(tokens.and_then(|t| u32::try_from(t).ok()));
            self.poison |= value["poison"] == Value::Bool(true);
        }
    }
}

fn walk(text: &str) -> Walk {
    let mut walk = Walk::default();
    walk.text(text);
    walk
}

impl Input {
    /// Reads JSON text.
    pub fn read(input: &str) -> Self {
        let walk = walk(input);
        let marker = walk.markers.first().cloned();
        Self {
            marker: marker.unwrap_or_else(|| hex::encode(Sha256::digest(input)).into()),
            crossed: walk.markers.len() > 1,
            seen: walk.seen.into_iter().collect(),
            tokens: walk.tokens,
            poison: walk.poison,
        }
    }
}

/// Returns the text of one token, which ends in a space.
pub fn token(marker: &str, stage: &str, version: Option<&str>, index: u32) -> id::Name {
    let mut hash = Sha256::new();
    for part in [marker, stage, version.unwrap_or_default()] {
        hash.update(part);
        hash.update([0]);
    }
    hash.update(index.to_le_bytes());
    let digest = hash.finalize();
    let word = WORDS[usize::from(digest[0] & 15)];
    format!("{word}{:02x} ", digest[1]).into()
}

/// Returns the tokens of a whole answer.
pub fn tokens(input: &Input, call: &Call, version: Option<&str>) -> Vec<Token> {
    let count = input.tokens.unwrap_or(DEFAULT_TOKENS).min(call.max_tokens);
    (0..count)
        .map(|index| Token {
            index,
            text: token(&input.marker, &call.stage, version, index),
            version: version.map(Into::into),
        })
        .collect()
}

/// Says whether `version` can continue the call from the tokens that it resumes from.
pub fn is_resumable(tokens: &[Token], call: &Call, version: Option<&str>) -> bool {
    let is_same_version = call.version.is_none() || call.version.as_deref() == version;
    let is_prefix = call.resume.len() <= tokens.len();
    let mut pairs = tokens.iter().zip(&call.resume);
    is_same_version && is_prefix && pairs.all(|(a, b)| (a.index, &a.text) == (b.index, &b.text))
}

/// Returns the JSON text that answers a call with `tokens`.
pub fn body(input: &Input, call: &Call, version: Option<&str>, tokens: &[Token]) -> id::Name {
    let body = Body {
        stage: call.stage.clone(),
        marker: input.marker.clone(),
        version: version.map(Into::into),
        text: tokens
            .iter()
            .map(|t| t.text.as_ref())
            .collect::<String>()
            .into(),
        tokens: u32::try_from(tokens.len()).unwrap_or(u32::MAX),
        seen: input.seen.clone(),
    };
    serde_json::to_string(&body).unwrap_or_default().into()
}

token! {
    /// What is wrong with an answer that a caller received.
    pub enum Flaw {
        /// A result of a stage is missing or is not whole.
        Lost,
        /// It belongs to another request.
        Crossed,
    }
}

fn is_whole(body: &Body) -> bool {
    let version = body.version.as_deref();
    let whole = (0..body.tokens)
        .map(|index| token(&body.marker, &body.stage, version, index))
        .fold(String::new(), |text, token| text + &token);
    *whole == *body.text
}

/// Checks the answer that a caller received to the request that carried `marker` and ran `stages`.
pub fn check(answer: &str, marker: &str, stages: &[id::Stage]) -> Result<(), Flaw> {
    let walk = walk(answer);
    if walk.markers.iter().any(|m| **m != *marker) {
        return Err(Flaw::Crossed);
    }
    let Some(last) = walk.bodies.iter().find(|b| Some(&b.stage) == stages.last()) else {
        return Err(Flaw::Lost);
    };
    let is_complete = stages.iter().all(|s| walk.seen.contains(s));
    if is_complete && is_whole(last) {
        Ok(())
    } else {
        Err(Flaw::Lost)
    }
}

/// Checks the joined tokens that a caller received as they were generated: one of `stages`
/// generated them on one of `versions`.
pub fn check_tokens(
    tokens: &str,
    marker: &str,
    stages: &[id::Stage],
    versions: &[id::Version],
) -> Result<(), Flaw> {
    if tokens.is_empty() {
        return Ok(());
    }
    let count = u32::try_from(tokens.split_whitespace().count()).unwrap_or(u32::MAX);
    let whole = |stage: &id::Stage, version: &str| {
        let tokens = (0..count).map(|i| token(marker, stage, Some(version), i));
        tokens.fold(String::new(), |text, token| text + &token)
    };
    let mut pairs = stages
        .iter()
        .flat_map(|s| versions.iter().map(move |v| (s, v)));
    if pairs.any(|(stage, version)| *whole(stage, version) == *tokens) {
        Ok(())
    } else {
        Err(Flaw::Lost)
    }
}

#[cfg(test)]
pub(crate) mod tests;
