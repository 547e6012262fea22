//! Tests of the adaptive policy as a whole.

use std::time::Duration;

use super::*;
use crate::policy::{Candidate, End};

mod budgets;
mod choice;
mod fairness;

const NOW: Time = Duration::from_secs(100);
const DEADLINE: Duration = Duration::from_secs(3);

fn candidate(name: &str, zone: &str, region: &str) -> Candidate {
    Candidate {
        endpoint: name.into(),
        address: format!("{name}:1"),
        pool: "menu-model".into(),
        zone: zone.into(),
        region: region.into(),
        leaving: false,
    }
}

fn fleet(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|n| candidate(&format!("e{n}"), "tallinn-a", "tallinn"))
        .collect()
}

fn policy(candidates: &[Candidate]) -> Adaptive {
    let mut policy = Adaptive::builder("tallinn-a", "tallinn")
        .kind("menu-model", Kind::Engine)
        .seed(7)
        .build();
    let list = Observation::Candidates(candidates.to_vec());
    policy.observe(&list, Time::ZERO);
    policy
}

fn attempt(number: u128) -> Attempt {
    Attempt {
        request: uuid::Uuid::from_u128(number),
        id: 0,
        workspace: "school".into(),
        pipeline: "menu".into(),
        index: 0,
        stage: "draft".into(),
        pool: "menu-model".into(),
        later_pools: Vec::new(),
        repeatable: true,
        deadline: NOW + DEADLINE,
        priority: 4,
        cost: 100,
        input_bytes: 1000,
        prefixes: Vec::new(),
        exclude: Vec::new(),
        previous_region: None,
        version: None,
        is_suspect: false,
    }
}

fn ended(attempt: &Attempt, pick: &Pick, ms: u64, end: End) -> Observation {
    Observation::CallEnded {
        request: attempt.request,
        attempt: attempt.id,
        endpoint: pick.endpoint.clone(),
        pool: attempt.pool.clone(),
        pipeline: attempt.pipeline.clone(),
        index: attempt.index,
        latency: Duration::from_millis(ms),
        end,
    }
}

fn answered() -> End {
    End::Answered(endpoint::Usage::default())
}

fn failed() -> End {
    End::Failed(endpoint::Error::Failed {
        step: "call",
        peer: "e0".into(),
        reason: "boom".into(),
    })
}

fn send(policy: &mut Adaptive, attempt: &Attempt, now: Time) -> Option<Pick> {
    match policy.place(attempt, now) {
        Placement::Send(pick) => Some(pick),
        _ => None,
    }
}
