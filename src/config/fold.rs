//! The fold decides which changes are accepted and holds the values in force.
//!
//! Its state depends on the records in order alone, not on a clock, the daemon's settings or the
//! order of a map, so that every daemon has the same state at the same offset.
//! Refusals and their texts are part of it. See [the design note](../../docs/design/config.md).

use std::collections::VecDeque;

use indexmap::IndexMap;
use sha2::{Digest, Sha256};

use super::record::{self, Body, Cause, Change, Decoded, Entry, Record, Refusal, Scope, Verdict};
use super::view::{Key, View};
use crate::{id, platform};

mod change;
mod state;

/// The most exceptions in the fleet.
pub const MAX_EXCEPTIONS: usize = 4_096;
/// Removed keys whose revision is remembered exactly.
pub const MAX_REMOVALS: usize = 1_024;
/// Attempts whose verdict is remembered.
pub const MAX_VERDICTS: usize = 1_024;
/// Accepted changes that stay in the history of the state.
pub const MAX_HISTORY: usize = 512;
/// The longest author, reason or scope name.
pub const MAX_TEXT_BYTES: usize = 1_024;
/// The longest attempt id.
pub const MAX_ATTEMPT_BYTES: usize = 64;
/// Revisions whose chain digest is kept, to compare checkpoints with.
const MAX_CHAINS: usize = 4_096;

type Chain = [u8; 32];

event! {
    /// The effect of applying a record.
    pub enum Step {
        /// It was applied before.
        Old,
        /// Records before it are missing; nothing changed.
        Gap,
        /// It raises the fleet to a level that this daemon cannot read; the fold stops.
        Halted(u32),
        /// It was accepted or refused.
        Decided {
            /// The attempt, if the record had one.
            attempt: Option<String>,
            /// Whether it was accepted.
            verdict: Verdict,
        },
        /// It repeats an attempt; the first verdict holds.
        Repeated {
            /// The attempt.
            attempt: String,
            /// The verdict on the first record of the attempt.
            verdict: Verdict,
        },
        /// A checkpoint that agrees with this fold.
        Checkpointed {
            /// Its revision.
            revision: id::Revision,
            /// When it was written, by the wall clock of the writer.
            written_ms: u64,
        },
        /// A checkpoint that cannot be compared: it is too old or malformed.
        Ignored,
        /// A checkpoint whose accepted changes differ from those of this fold.
        Diverged(id::Revision),
    }
}

/// The folded state of the configuration stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Fold {
    next: id::Offset,
    revision: id::Revision,
    level: u32,
    chain: Chain,
    /// The latest revision of a removal no longer remembered.
    floor: id::Revision,
    entries: IndexMap<Key, Entry>,
    removals: IndexMap<Key, id::Revision>,
    verdicts: IndexMap<String, Verdict>,
    history: VecDeque<Change>,
    chains: VecDeque<(id::Revision, Chain)>,
    halted: Option<u32>,
}

fn refuse(cause: Cause, detail: impl Into<String>) -> Refusal {
    Refusal {
        cause,
        detail: detail.into(),
    }
}

fn scope_of(key: &Key) -> Option<Scope> {
    key.level.map(|level| Scope {
        level,
        name: key.name.to_string(),
    })
}

impl Fold {
    /// Makes the state before the first record.
    pub fn new() -> Self {
        Self {
            next: 0,
            revision: 0,
            level: 1,
            chain: [0; 32],
            floor: 0,
            entries: IndexMap::new(),
            removals: IndexMap::new(),
            verdicts: IndexMap::new(),
            history: VecDeque::new(),
            chains: VecDeque::from([(0, [0; 32])]),
            halted: None,
        }
    }

    /// The offset of the next record to fold.
    pub fn next_offset(&self) -> id::Offset {
        self.next
    }

    /// The revision of the last accepted change; it never decreases.
    pub fn revision(&self) -> id::Revision {
        self.revision
    }

    /// The highest record version that the whole fleet reads.
    pub fn level(&self) -> u32 {
        self.level
    }

    /// The level that stopped this daemon, if any.
    pub fn halted(&self) -> Option<u32> {
        self.halted
    }

    /// Running digest of the accepted changes.
    pub fn chain(&self) -> id::Digest {
        hex::encode(self.chain).into()
    }

    /// The first bytes of the chain digest, as sent by gossip.
    pub fn fingerprint(&self) -> u64 {
        self.chain[..8]
            .iter()
            .fold(0, |sum, b| sum << 8 | u64::from(*b))
    }

    /// The values in force, with author, reason and expiry.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Recent accepted changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Change> {
        self.history.iter()
    }

    /// The verdict on a recent attempt.
    pub fn verdict(&self, attempt: &str) -> Option<&Verdict> {
        self.verdicts.get(attempt)
    }

    /// Makes a snapshot for the other modules.
    pub fn view(&self) -> View {
        let values = self.entries.iter().map(|(k, e)| (k, &e.value));
        View::new(self.revision, self.chain(), values)
    }

    /// Applies one record.
    pub fn apply(&mut self, record: &platform::Record) -> Step {
        if record.offset < self.next {
            return Step::Old;
        }
        if record.offset > self.next {
            return Step::Gap;
        }
        let step = match record::decode(&record.body, self.level) {
            Decoded::Malformed(detail) => Step::Decided {
                attempt: None,
                verdict: Verdict::Refused(refuse(Cause::Malformed, detail)),
            },
            Decoded::Unreadable(attempt, version) => {
                let detail = format!("version {version} is above level {}", self.level);
                self.decide(attempt, Err(refuse(Cause::Unreadable, detail)), record)
            }
            Decoded::Readable(decoded) => self.apply_decoded(&decoded, record),
        };
        if !matches!(step, Step::Halted(_)) {
            self.next = record.offset + 1;
        }
        step
    }

    fn apply_decoded(&mut self, decoded: &Record, record: &platform::Record) -> Step {
        if let Body::Checkpoint(checkpoint) = &decoded.body {
            return self.compare(checkpoint);
        }
        if let Some(verdict) = self.verdicts.get(&decoded.attempt) {
            return Step::Repeated {
                attempt: decoded.attempt.clone(),
                verdict: verdict.clone(),
            };
        }
        if let Body::Raise(raise) = &decoded.body
            && raise.level == self.level + 1
            && raise.level > record::VERSION
        {
            self.halted = Some(raise.level);
            return Step::Halted(raise.level);
        }
        let result = check_sizes(decoded, record.body.len())
            .and_then(|()| self.apply_change(decoded, record.offset + 1));
        self.decide(decoded.attempt.clone(), result, record)
    }

    fn apply_change(&mut self, decoded: &Record, revision: id::Revision) -> Result<(), Refusal> {
        match &decoded.body {
            Body::Set(set) => self.set(set, &decoded.author, revision),
            Body::Clear(clear) => self.clear(clear, &decoded.author, revision),
            Body::Expire(expire) => self.expire(expire, &decoded.author, revision),
            Body::Raise(raise) => self.raise(raise),
            Body::Checkpoint(_) => Ok(()),
        }
    }

    fn decide(
        &mut self,
        attempt: String,
        result: Result<(), Refusal>,
        record: &platform::Record,
    ) -> Step {
        let verdict = match result {
            Ok(()) => {
                self.advance(record);
                Verdict::Accepted(self.revision)
            }
            Err(refusal) => Verdict::Refused(refusal),
        };
        if attempt.len() <= MAX_ATTEMPT_BYTES {
            if self.verdicts.len() >= MAX_VERDICTS {
                self.verdicts.shift_remove_index(0);
            }
            self.verdicts.insert(attempt.clone(), verdict.clone());
        }
        Step::Decided {
            attempt: Some(attempt),
            verdict,
        }
    }

    fn advance(&mut self, record: &platform::Record) {
        self.revision = record.offset + 1;
        let mut hash = Sha256::new();
        hash.update(self.chain);
        hash.update(record.offset.to_be_bytes());
        hash.update(&record.body);
        self.chain = hash.finalize().into();
        self.chains.push_back((self.revision, self.chain));
        if self.chains.len() > MAX_CHAINS {
            self.chains.pop_front();
        }
    }
}

impl Default for Fold {
    fn default() -> Self {
        Self::new()
    }
}

/// Checks the sizes that do not depend on the state.
fn check_sizes(decoded: &Record, bytes: usize) -> Result<(), Refusal> {
    if bytes > record::MAX_BYTES {
        return Err(refuse(Cause::OverLimit, "the record is too large"));
    }
    if decoded.attempt.is_empty() || decoded.attempt.len() > MAX_ATTEMPT_BYTES {
        return Err(refuse(
            Cause::Invalid,
            "the attempt id is empty or too long",
        ));
    }
    let reason = match &decoded.body {
        Body::Set(set) => set.reason.len(),
        Body::Clear(clear) => clear.reason.len(),
        _ => 0,
    };
    if decoded.author.len().max(reason) > MAX_TEXT_BYTES {
        return Err(refuse(Cause::OverLimit, "author or reason is too long"));
    }
    Ok(())
}
