//! Edits and reads of one setting are linearizable at daemons that wait for the revision.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use todc_utils::{Action, History, Specification, WGLChecker};

use super::{Stream, record, set};
use crate::config::Context;
use crate::config::fold::{Fold, Step};
use crate::config::record::{Value, Verdict};
use crate::config::setting::QUEUE_BOUND;

/// An operation with its answer.
#[derive(Clone, Debug)]
enum Operation {
    /// A read of value and revision.
    Read(u64, u64),
    /// A set of a value on a base, with the revision if it was accepted.
    Set(u64, u64, Option<u64>),
}

/// A register that is set only when it has not changed since the base was read.
struct Register;

impl Specification for Register {
    type State = (u64, u64);
    type Operation = Operation;

    fn init() -> Self::State {
        (1_024, 0)
    }

    fn apply(operation: &Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            Operation::Read(value, revision) => ((*value, *revision) == *state, *state),
            Operation::Set(value, base, Some(revision)) => {
                (*base >= state.1 && *revision > state.1, (*value, *revision))
            }
            Operation::Set(_, base, None) => (*base < state.1, *state),
        }
    }
}

type Event = (usize, Action<Operation>);

/// Several operators edit at once; each reads at its own daemon, after waiting until it has the
/// revision of the last edit that was reported in force, unless `is_stale`.
fn history(seed: u64, is_stale: bool) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut stream = Stream::default();
    let mut folds = vec![Fold::new(); 3];
    let mut events = Vec::new();
    for step in 0..24 {
        let daemon = rng.random_range(0..3);
        if rng.random_bool(0.5) {
            race_edits(&mut rng, &mut stream, &mut folds, &mut events, step);
        } else {
            if !is_stale {
                catch_up(&mut folds[daemon], &stream);
            }
            let read = read(&folds[daemon]);
            events.push((daemon, Action::Call(read.clone())));
            events.push((daemon, Action::Response(read)));
        }
    }
    events
}

/// Two operators concurrently set the same key on the revision of their own daemons.
fn race_edits(
    rng: &mut ChaCha8Rng,
    stream: &mut Stream,
    folds: &mut [Fold],
    events: &mut Vec<Event>,
    step: usize,
) {
    let pair = if rng.random_bool(0.5) { [0, 1] } else { [1, 2] };
    let mut sets = Vec::new();
    for daemon in pair {
        if rng.random_bool(0.5) {
            catch_up(&mut folds[daemon], stream);
        }
        let (value, base) = (rng.random_range(1..99), folds[daemon].revision());
        sets.push((daemon, value, base));
        events.push((daemon, Action::Call(Operation::Set(value, base, None))));
    }
    for (daemon, value, base) in sets {
        let body = set("queue-bound", None, Value::Count(value), base);
        let offset = stream.append(&record(format!("{step}-{daemon}"), body));
        let result = verdict(&mut folds[daemon], stream, offset);
        events.push((
            daemon,
            Action::Response(Operation::Set(value, base, result)),
        ));
    }
}

fn verdict(fold: &mut Fold, stream: &Stream, offset: u64) -> Option<u64> {
    let mut found = None;
    for record in &stream.page(fold.next_offset(), usize::MAX).records {
        if let Step::Decided { verdict, .. } = fold.apply(record)
            && record.offset == offset
            && let Verdict::Accepted(revision) = verdict
        {
            found = Some(revision);
        }
    }
    found
}

fn catch_up(fold: &mut Fold, stream: &Stream) {
    for record in &stream.page(fold.next_offset(), usize::MAX).records {
        fold.apply(record);
    }
}

fn read(fold: &Fold) -> Operation {
    let value = fold.view().count(&QUEUE_BOUND, &Context::default());
    Operation::Read(value, fold.revision())
}

fn is_linearizable(events: Vec<Event>) -> bool {
    WGLChecker::<Register>::is_linearizable(History::from_actions(events))
}

#[test]
fn edits_and_reads_are_linearizable() {
    for seed in 0..60 {
        assert!(is_linearizable(history(seed, false)), "seed {seed}");
    }
}

#[test]
fn stale_reads_are_not_linearizable() {
    assert!((0..60).any(|seed| !is_linearizable(history(seed, true))));
}
