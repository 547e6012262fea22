//! Checkpoints: encoding the state of a fold as a record, and restoring it.

use std::sync::Arc;

use super::{Chain, Fold, Key, Step, scope_of};
use crate::config::record::{self, Checkpoint, Decision, Error, Removal, Scope, State};
use crate::config::setting;
use crate::id;

fn parse_chain(text: &str) -> Option<Chain> {
    hex::decode(text).ok()?.try_into().ok()
}

fn key_of(name: &str, scope: Option<&Scope>) -> Result<Key, Error> {
    let Some((index, _)) = setting::find(name, record::VERSION) else {
        return Err(Error::Unknown {
            setting: name.into(),
        });
    };
    Ok(Key {
        setting: index,
        level: scope.map(|s| s.level),
        name: scope.map_or("", |s| s.name.as_str()).into(),
    })
}

impl Fold {
    /// Makes a checkpoint of this state, the same at every daemon.
    ///
    /// # Errors
    ///
    /// Fails when the state cannot be encoded.
    pub fn checkpoint(&self) -> Result<Checkpoint, Error> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_by(|a, b| a.0.cmp(b.0));
        let removals = self.removals.iter().map(|(key, revision)| Removal {
            setting: setting::CATALOGUE[key.setting].name.into(),
            scope: scope_of(key),
            revision: *revision,
        });
        let verdicts = self.verdicts.iter().map(|(attempt, verdict)| Decision {
            attempt: attempt.clone(),
            verdict: verdict.clone(),
        });
        let state = State {
            next: self.next,
            revision: self.revision,
            level: self.level,
            chain: hex::encode(self.chain),
            floor: self.floor,
            entries: entries.into_iter().map(|(_, e)| e.clone()).collect(),
            removals: removals.collect(),
            verdicts: verdicts.collect(),
            history: self.history.iter().cloned().collect(),
        };
        let digest = record::digest(&state)?;
        Ok(Checkpoint {
            state,
            digest,
            written_ms: 0,
        })
    }

    /// Restores the fold from a checkpoint, after verifying it.
    ///
    /// # Errors
    ///
    /// Fails when the checkpoint does not verify or needs a newer daemon.
    pub fn restore(checkpoint: &Checkpoint) -> Result<Self, Error> {
        record::verify(checkpoint)?;
        let state = &checkpoint.state;
        let mut fold = Self::new();
        fold.chain = parse_chain(&state.chain).ok_or(Error::Digest { next: state.next })?;
        fold.next = state.next;
        fold.revision = state.revision;
        fold.level = state.level;
        fold.floor = state.floor;
        for entry in &state.entries {
            let key = key_of(&entry.setting, entry.scope.as_ref())?;
            fold.entries.insert(key, entry.clone());
        }
        for removal in &state.removals {
            let key = key_of(&removal.setting, removal.scope.as_ref())?;
            fold.removals.insert(key, removal.revision);
        }
        for decision in &state.verdicts {
            fold.verdicts
                .insert(decision.attempt.clone(), decision.verdict.clone());
        }
        fold.history = state.history.iter().cloned().collect();
        fold.chains.clear();
        fold.chains.push_back((fold.revision, fold.chain));
        Ok(fold)
    }

    /// Replaces this state by a later one; the revision never decreases.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, when the checkpoint is older, does not verify, or was folded
    /// from other changes.
    pub fn adopt(&mut self, checkpoint: &Checkpoint) -> Result<(), Error> {
        let theirs = checkpoint.state.revision;
        if theirs < self.revision || checkpoint.state.next < self.next {
            return Err(Error::Backwards {
                theirs,
                ours: self.revision,
            });
        }
        let other = Self::restore(checkpoint)?;
        if theirs == self.revision && other.chain != self.chain {
            return Err(Error::Diverged { revision: theirs });
        }
        *self = other;
        Ok(())
    }

    /// Compares a checkpoint in the stream with the changes that this fold accepted.
    pub(super) fn compare(&self, checkpoint: &Checkpoint) -> Step {
        if record::verify(checkpoint).is_err() {
            return Step::Ignored;
        }
        let state = &checkpoint.state;
        let known = self.chains.iter().rev().find(|c| c.0 == state.revision);
        let is_old = self.chains.front().is_some_and(|c| state.revision < c.0);
        match known {
            Some((_, chain)) if parse_chain(&state.chain) == Some(*chain) => Step::Checkpointed {
                revision: state.revision,
                written_ms: checkpoint.written_ms,
            },
            None if is_old => Step::Ignored,
            _ => Step::Diverged(state.revision),
        }
    }

    /// The name of the setting and scope of a key, as shown to operators.
    pub fn describe(key: &Key) -> id::Name {
        let name = setting::CATALOGUE[key.setting].name;
        match key.level {
            None => Arc::from(name),
            Some(level) => format!("{name} for {level} {}", key.name).into(),
        }
    }
}
