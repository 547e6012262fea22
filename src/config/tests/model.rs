//! The fold against a reference model that is as simple as the rules allow.
//! Dropping a rule from the model must be noticed by the same comparison.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Stream, draw_record};
use crate::config::fold::{Fold, Step};
use crate::config::record::{Body, Record, Scope, Value, Verdict};
use crate::config::setting;
use crate::platform;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Dropped {
    Nothing,
    BaseCheck,
    AttemptCheck,
    VersionCheck,
    LimitCheck,
}

/// The reference model: all accepted changes, oldest first, which each query searches.
struct Model {
    dropped: Dropped,
    accepted: Vec<(u64, String, Option<Scope>, Option<Value>)>,
    seen: Vec<String>,
}

impl Model {
    fn new(dropped: Dropped) -> Self {
        Self {
            dropped,
            accepted: Vec::new(),
            seen: Vec::new(),
        }
    }

    fn last(&self, setting: &str, scope: &Option<Scope>) -> (u64, Option<Value>) {
        self.accepted
            .iter()
            .rev()
            .find(|a| a.1 == setting && a.2 == *scope)
            .map_or((0, None), |a| (a.0, a.3.clone()))
    }

    /// Returns the revision if the record is accepted.
    fn apply(&mut self, record: &platform::Record) -> Option<u64> {
        let decoded: Record = serde_json::from_slice(&record.body).ok()?;
        if self.dropped != Dropped::AttemptCheck && self.seen.contains(&decoded.attempt) {
            return None;
        }
        self.seen.push(decoded.attempt.clone());
        if self.dropped != Dropped::VersionCheck && decoded.version > 1 {
            return None;
        }
        let (name, scope, value, base) = match decoded.body {
            Body::Set(s) => (s.setting, s.scope, Some(s.value), s.base),
            Body::Clear(c) => (c.setting, c.scope, None, c.base),
            _ => return None,
        };
        let (_, found) = setting::find(&name, 1)?;
        let (changed, before) = self.last(&name, &scope);
        let is_valid = match &value {
            Some(value) => self.dropped == Dropped::LimitCheck || found.check(value).is_ok(),
            None => before.is_some(),
        };
        let is_current = self.dropped == Dropped::BaseCheck || base >= changed;
        if !is_valid || !is_current {
            return None;
        }
        let revision = record.offset + 1;
        self.accepted.push((revision, name, scope, value));
        Some(revision)
    }
}

/// Returns the first offset at which the fold and the model differ.
fn difference(seed: u64, dropped: Dropped) -> Option<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut stream = Stream::default();
    let (mut fold, mut model) = (Fold::new(), Model::new(dropped));
    for _ in 0..200 {
        let body = draw_record(&mut rng, stream.end());
        let offset = stream.push(body);
        let record = &stream.records[offset as usize];
        let revision = match fold.apply(record) {
            Step::Decided {
                verdict: Verdict::Accepted(revision),
                ..
            } => Some(revision),
            _ => None,
        };
        if revision != model.apply(record) {
            return Some(offset);
        }
    }
    None
}

#[test]
fn fold_agrees_with_model() {
    for seed in 0..200 {
        assert_eq!(difference(seed, Dropped::Nothing), None, "seed {seed}");
    }
}

#[test]
fn model_without_base_check_differs() {
    assert!((0..20).any(|seed| difference(seed, Dropped::BaseCheck).is_some()));
}

#[test]
fn model_without_attempt_check_differs() {
    assert!((0..20).any(|seed| difference(seed, Dropped::AttemptCheck).is_some()));
}

#[test]
fn model_without_version_check_differs() {
    assert!((0..20).any(|seed| difference(seed, Dropped::VersionCheck).is_some()));
}

#[test]
fn model_without_limit_check_differs() {
    assert!((0..20).any(|seed| difference(seed, Dropped::LimitCheck).is_some()));
}
