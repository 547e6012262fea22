//! Checks of a history: direct invariants, and linearizability of every key as a register that
//! is claimed once.

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::Action::{Call, Response};
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use super::world::{MAX_SKEW, Op, Told, Truth, WINDOW};

/// The state of a key: unclaimed, run with a result, or unknown for ever.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Register {
    Unclaimed,
    Ran(String),
    Unknown,
}

/// A register that is claimed once.
pub struct Once;

impl Specification for Once {
    type State = Register;
    type Operation = Told;

    fn init() -> Register {
        Register::Unclaimed
    }

    fn apply(told: &Told, state: &Register) -> (bool, Register) {
        match (told, state) {
            (Told::Ran(result), Register::Unclaimed) => (true, Register::Ran(result.clone())),
            (Told::Ran(_), _) => (false, state.clone()),
            (Told::Got(result), Register::Ran(own)) => (result == own, state.clone()),
            (Told::Got(_), _) => (false, state.clone()),
            (Told::Unknown, Register::Unclaimed) => (true, Register::Unknown),
            (Told::Unknown | Told::NotRun | Told::Conflict, _) => (true, state.clone()),
        }
    }
}

/// Checks a history; the error says what is wrong with it.
pub fn check(truth: &Truth) -> Result<(), String> {
    for key in 0..truth.issued.len() {
        once(truth, key)?;
        linearizable(truth, key)?;
        probe(truth, key)?;
    }
    truth
        .ops
        .iter()
        .try_for_each(|(request, op)| verdict(truth, *request, op))
}

fn once(truth: &Truth, key: usize) -> Result<(), String> {
    let runs = truth.runs.iter().filter(|(k, ..)| *k == key).count();
    if runs > 1 {
        return Err(format!("key {key} ran {runs} times"));
    }
    Ok(())
}

/// Every verdict is true of its request and its key.
fn verdict(truth: &Truth, request: uuid::Uuid, op: &Op) -> Result<(), String> {
    let Some((_, told)) = &op.told else {
        return Ok(());
    };
    let has_run = truth.runs.iter().any(|(_, by, _)| *by == request);
    let is_true = match told {
        Told::Ran(result) | Told::Got(result) => truth
            .runs
            .iter()
            .any(|(k, _, r)| *k == op.key && r == result),
        Told::NotRun => !has_run,
        Told::Conflict => truth
            .ops
            .values()
            .any(|o| o.key == op.key && o.other_body != op.other_body),
        Told::Unknown => true,
    };
    if is_true {
        Ok(())
    } else {
        Err(format!("{told:?} is not true of key {}", op.key))
    }
}

/// After everything settled, a key that never ran may run, unless somebody may have run it.
fn probe(truth: &Truth, key: usize) -> Result<(), String> {
    let probe = truth.ops.values().find(|op| op.is_probe && op.key == key);
    let told = probe.and_then(|op| op.told.as_ref()).map(|(_, told)| told);
    let Some(told) = told else {
        return Err(format!("the last request for key {key} was never answered"));
    };
    // The clock of the daemon that was asked may be ahead.
    let is_expired = truth.end + MAX_SKEW > truth.issued[key] + WINDOW;
    if is_expired || truth.is_lossy {
        return Ok(());
    }
    match told {
        Told::NotRun | Told::Unknown => Err(format!("key {key} stays claimed: {told:?}")),
        _ => Ok(()),
    }
}

/// Requests that were never answered count when they ran, and are left out when not.
fn linearizable(truth: &Truth, key: usize) -> Result<(), String> {
    let mut actions: Vec<(u64, usize, Action<Told>)> = Vec::new();
    let ops = truth.ops.iter().filter(|(_, op)| op.key == key);
    for (process, (request, op)) in ops.enumerate() {
        let run = truth.runs.iter().find(|(_, by, _)| by == request);
        let (at, told) = match (&op.told, run) {
            (Some((at, told)), _) => (*at, told.clone()),
            (None, Some((_, _, result))) => (u64::MAX, Told::Ran(result.clone())),
            (None, None) => continue,
        };
        actions.push((op.called, process, Call(told.clone())));
        actions.push((at, process, Response(told)));
    }
    if actions.is_empty() {
        return Ok(());
    }
    actions.sort_by_key(|(at, ..)| *at);
    let actions = actions.into_iter().map(|(_, p, a)| (p, a)).collect();
    if WGLChecker::<Once>::is_linearizable(History::from_actions(actions)) {
        Ok(())
    } else {
        Err(format!("the history of key {key} is not linearizable"))
    }
}
