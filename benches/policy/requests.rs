//! Requests of the driver: arrival, claim, hand-over to another daemon, and end.

use std::sync::Arc;
use std::time::Duration;

use cyclamenrill::endpoint::Usage;
use cyclamenrill::pipeline::run::Run;
use cyclamenrill::pipeline::{Event, Finish, Remainder, Request};
use cyclamenrill::policy::{self, Admission};
use cyclamenrill::{claim, id};
use rand::RngExt;

use super::super::deployment::Arrival;
use super::{Driver, Step};

impl Driver<'_> {
    pub(super) fn digest(&self, arrival: usize) -> id::Digest {
        if self.arrivals[arrival].is_poison {
            "poison".into()
        } else {
            format!("{arrival}").into()
        }
    }

    pub(super) fn arrive(&mut self, arrival: usize) {
        let digest = self.digest(arrival);
        let blame = self.blamed.get(&digest).copied().unwrap_or(0);
        let a = &self.arrivals[arrival];
        self.outcome.offered(a, self.scenario);
        if blame >= 2 {
            return;
        }
        let number = self.runs.len() as u128 + 1;
        let request = Request {
            id: uuid::Uuid::from_u128(number),
            workspace: a.workspace.clone(),
            key: (!a.plan.is_repeatable()).then(|| format!("{number}").into()),
            issued: None,
            digest,
            body: a.body.clone(),
            stream: false,
        };
        let deadline = self.now + a.plan.deadline;
        let ask = policy::Arrival {
            request: request.id,
            workspace: a.workspace.clone(),
            pipeline: a.plan.name.clone(),
            pools: a.plan.pools_from(0),
            deadline,
            priority: a.plan.priority,
            cost: cost(a),
        };
        let (daemon, plan) = (a.daemon, a.plan.clone());
        let run = Run::new(plan, request, deadline)
            .with_suspect(blame > 0)
            .with_regions(self.regions.clone());
        if let Admission::Refuse { reason, .. } = self.policies[daemon].admit(&ask, self.now) {
            self.outcome.refused += 1;
            self.outcome.blame(reason);
            return;
        }
        let run = self.add_run(run, daemon, arrival, None);
        self.event(run, Event::Start);
    }

    pub(super) fn claim(&mut self, index: usize) {
        let is_up = self.is_store_up;
        self.push(
            self.now + Duration::from_millis(20),
            Step::Claimed(index, is_up),
        );
    }

    pub(super) fn claimed(&mut self, index: usize, is_up: bool) {
        let verdict = if is_up {
            claim::Verdict::Granted
        } else {
            claim::Verdict::NotRun {
                reason: "the log does not answer".into(),
                retry_after: None,
            }
        };
        self.event(index, Event::Claimed(verdict));
    }

    pub(super) fn hand_over(&mut self, index: usize, region: &str, rest: Remainder) {
        let zones = self.deployment.zones;
        let fit: Vec<usize> = (0..self.deployment.daemons)
            .filter(|d| zones[self.zone_of(*d)].1 == region)
            .collect();
        let daemon = fit[self.rng.random_range(0..fit.len())];
        let parts: usize = rest.stage_results.iter().map(|p| p.body.len()).sum();
        let bytes = (rest.body.len() + parts) as u64;
        let from = self.zone_of(self.runs[index].daemon);
        let at = self.travel(from, self.zone_of(daemon), bytes);
        let attempt = rest.attempt;
        self.outcome.moves += 1;
        self.push(at, Step::Moved(index, attempt, Box::new(rest), daemon));
    }

    pub(super) fn moved(
        &mut self,
        parent: usize,
        attempt: id::Attempt,
        rest: &Remainder,
        daemon: usize,
    ) {
        let plan = Arc::new(self.runs[parent].run.plan().clone());
        let digest = self.digest(self.runs[parent].arrival);
        let run =
            Run::from_remainder(plan, rest, digest, self.now).with_regions(self.regions.clone());
        let arrival = self.runs[parent].arrival;
        let child = self.add_run(run, daemon, arrival, Some((parent, attempt)));
        self.runs[parent].child = Some(child);
        self.event(child, Event::Start);
    }

    pub(super) fn finish(&mut self, index: usize, finish: &Finish) {
        let is_answer = matches!(finish, Finish::Answer(_));
        let slot = &mut self.runs[index];
        if slot.finished.replace((self.now, is_answer)).is_some() {
            self.outcome.broken.push("a request was answered twice");
        }
        if let Some((parent, attempt)) = slot.parent {
            let Some(remote) = slot.run.remote(Usage::default()) else {
                return;
            };
            let bytes = match &remote.finish {
                Finish::Answer(body) => body.len() as u64,
                _ => 128,
            };
            let from = self.zone_of(self.runs[index].daemon);
            let to = self.zone_of(self.runs[parent].daemon);
            let at = self.travel(from, to, bytes);
            self.push(at, Step::MovedBack(parent, attempt, Box::new(remote)));
            return;
        }
        if let Finish::NotRun { reason, .. }
        | Finish::Unknown { reason }
        | Finish::Failed { reason, .. } = finish
        {
            self.outcome.blame(reason);
        }
        let arrival = &self.arrivals[self.runs[index].arrival];
        if arrival.is_poison && self.resends < 10 {
            self.resends += 1;
            let mut again = arrival.clone();
            again.at = self.now + Duration::from_millis(500);
            again.daemon = self.rng.random_range(0..self.deployment.daemons);
            let number = self.arrivals.len();
            let at = again.at;
            self.arrivals.push(again);
            self.push(at, Step::Arrive(number));
        }
    }
}

fn cost(arrival: &Arrival) -> u64 {
    let generates = arrival.plan.stages.iter().any(|s| s.generates);
    arrival.body.len() as u64 / 4 + if generates { 256 } else { 0 }
}
