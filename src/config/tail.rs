//! Following the configuration stream: what to read next, and how to apply a page.
//!
//! A daemon whose next record was trimmed from the log, such as a new one, first scans for a
//! checkpoint; it never folds over a gap. See [the design note](../../docs/design/config.md).

use std::time::Duration;

use super::fold::{Fold, Step};
use super::record::{self, Body, Checkpoint, Decoded, Error};
use crate::clock::Time;
use crate::{id, platform};

/// How old the last complete read may be while the configuration counts as fresh.
pub const MAX_READ_AGE: Duration = Duration::from_secs(9);

#[derive(Clone, Debug, PartialEq)]
enum Mode {
    /// Records are applied in order.
    Follow,
    /// Records are missing; the retained part is searched for a checkpoint.
    Scan {
        read_offset: id::Offset,
        best: Option<Box<Checkpoint>>,
    },
}

/// The position of one daemon in the configuration stream, with its folded state.
#[derive(Clone, Debug)]
pub struct Tail {
    fold: Fold,
    mode: Mode,
    caught_up_at: Option<Time>,
    checkpoint_written_ms: Option<u64>,
    diverged: Option<id::Revision>,
    is_regressed: bool,
}

impl Tail {
    /// Starts before the first record.
    pub fn new() -> Self {
        Self {
            fold: Fold::new(),
            mode: Mode::Follow,
            caught_up_at: None,
            checkpoint_written_ms: None,
            diverged: None,
            is_regressed: false,
        }
    }

    /// The folded state.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// The offset to read from next.
    pub fn read_offset(&self) -> id::Offset {
        match &self.mode {
            Mode::Follow => self.fold.next_offset(),
            Mode::Scan { read_offset, .. } => *read_offset,
        }
    }

    /// Returns whether records are missing, so that a checkpoint or a peer's state is needed.
    pub fn has_gap(&self) -> bool {
        matches!(self.mode, Mode::Scan { .. })
    }

    /// When the last checkpoint in the stream was written, in milliseconds of the wall clock.
    pub fn checkpoint_written_ms(&self) -> Option<u64> {
        self.checkpoint_written_ms
    }

    /// The revision at which a checkpoint disagreed with this daemon, if one did.
    pub fn diverged(&self) -> Option<id::Revision> {
        self.diverged
    }

    /// Returns whether the log ends before records that this daemon has folded: it was reset.
    pub fn is_regressed(&self) -> bool {
        self.is_regressed
    }

    /// Returns whether the log was read to its end within [`MAX_READ_AGE`].
    pub fn is_fresh(&self, now: Time) -> bool {
        !self.has_gap()
            && !self.is_regressed
            && self.fold.halted().is_none()
            && self
                .caught_up_at
                .is_some_and(|at| now.saturating_sub(at) <= MAX_READ_AGE)
    }

    /// Applies a page that was read from [`Tail::read_offset`].
    pub fn apply_page(&mut self, page: &platform::Page, now: Time) -> Vec<Step> {
        self.is_regressed = page.end < self.fold.next_offset();
        if self.is_regressed {
            return Vec::new();
        }
        let is_gap = page.first > self.fold.next_offset();
        if is_gap && !self.has_gap() {
            self.mode = Mode::Scan {
                read_offset: page.first,
                best: None,
            };
        }
        if self.has_gap() {
            self.scan(page);
            return Vec::new();
        }
        let steps: Vec<Step> = page
            .records
            .iter()
            .map(|record| self.apply_record(record))
            .collect();
        if self.fold.next_offset() >= page.end {
            self.caught_up_at = Some(now);
        }
        steps
    }

    fn apply_record(&mut self, record: &platform::Record) -> Step {
        let step = self.fold.apply(record);
        match &step {
            Step::Checkpointed { written_ms, .. } => self.checkpoint_written_ms = Some(*written_ms),
            Step::Diverged(revision) => self.diverged = Some(*revision),
            _ => {}
        }
        step
    }

    /// Keeps the newest checkpoint that no gap follows, and adopts it at the end of the log.
    fn scan(&mut self, page: &platform::Page) {
        let Mode::Scan { read_offset, best } = &mut self.mode else {
            return;
        };
        let start = *read_offset;
        for record in page.records.iter().filter(|r| r.offset >= start) {
            *read_offset = record.offset + 1;
            let found = checkpoint_of(record).filter(|c| c.state.next >= page.first);
            let newest = best.as_ref().map_or(0, |b| b.state.next);
            if let Some(checkpoint) = found.filter(|c| c.state.next >= newest) {
                *best = Some(checkpoint);
            }
        }
        if best.as_ref().is_some_and(|b| b.state.next < page.first) {
            *best = None;
        }
        let is_end = *read_offset >= page.end;
        let adopted = best.take_if(|_| is_end);
        if let Some(checkpoint) = adopted
            && self.adopt(&checkpoint).is_ok()
        {
            self.checkpoint_written_ms = Some(checkpoint.written_ms);
        }
    }

    /// Replaces the state by that of a checkpoint or peer, unless it is older than this daemon's.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, when it is older, malformed or folded from other changes.
    pub fn adopt(&mut self, checkpoint: &Checkpoint) -> Result<(), Error> {
        let result = self.fold.adopt(checkpoint);
        match &result {
            Ok(()) => self.mode = Mode::Follow,
            Err(Error::Diverged { revision }) => self.diverged = Some(*revision),
            Err(_) => {}
        }
        result
    }
}

impl Default for Tail {
    fn default() -> Self {
        Self::new()
    }
}

fn checkpoint_of(record: &platform::Record) -> Option<Box<Checkpoint>> {
    let Decoded::Readable(decoded) = record::decode(&record.body, record::VERSION) else {
        return None;
    };
    match decoded.body {
        Body::Checkpoint(c) if record::verify(&c).is_ok() => Some(Box::new(c)),
        _ => None,
    }
}
