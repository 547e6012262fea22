//! Tests of planning, each for a load pattern or a failure.

use std::net::SocketAddr;

use super::*;
use crate::serve::catalog;
use crate::serve::evacuation::Change;
use crate::serve::residency::Residency;

mod cold;
mod crash;
mod emptied;
mod engine;
mod limit;
mod load;
mod pace;
mod pieces;
mod replay;
mod shortage;
mod transfer;

/// The zones of the region.
const ZONES: [&str; 2] = ["a", "b"];

/// A small region: one zone or two, endpoints of one stage service, and engines.
pub(super) struct Site {
    pub planner: Planner,
    registry: Registry,
    catalog: Catalog,
    pub now: Time,
    next: JobId,
}

pub(super) fn knowledge() -> Knowledge {
    Knowledge::new(&"d".into(), &slog::Logger::root(slog::Discard, slog::o!()))
}

pub(super) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn endpoint(id: &str, service: &str, zone: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: service.into(),
        address: SocketAddr::from(([10, 0, 0, id.as_bytes()[0]], 80)),
        zone: zone.into(),
        release: "v1".into(),
        slots: 128,
        draining: false,
        cold_remaining: Duration::ZERO,
        born: 1,
        seq: 0,
    }
}

fn batch(max_pieces: usize, piece_ms: u64, capacity_bytes: u64) -> catalog::Service {
    catalog::Service {
        batch: Some(catalog::Batch {
            max_pieces,
            call_time: ms(150),
            piece_time: ms(piece_ms),
            capacity_bytes,
            retention: ms(4_000),
        }),
        ..catalog::Service::default()
    }
}

impl Site {
    pub fn new(stage_endpoints: &[(&str, &str)], engines: &[(&str, &str)]) -> Self {
        let mut catalog = Catalog::default();
        catalog
            .services
            .insert("look-up".into(), batch(10, 13, 64_000_000));
        catalog
            .services
            .insert("pack".into(), batch(36, 4, 6_200_000));
        let engine = catalog::Service {
            engine: Some(catalog::Engine {
                slots: 128,
                memory_tokens: 500_000,
                token_bytes: 0,
                link_rate: 0,
            }),
            ..catalog::Service::default()
        };
        catalog.services.insert("model".into(), engine);
        let mut registry = Registry::new(ZONES.map(id::Zone::from).into_iter().collect());
        for (id, zone) in stage_endpoints {
            registry.apply(
                super::super::registry::Entry::Present(endpoint(id, "look-up", zone)),
                ms(0),
            );
        }
        registry.apply(
            super::super::registry::Entry::Present(endpoint("p", "pack", "a")),
            ms(0),
        );
        for (id, zone) in engines {
            registry.apply(
                super::super::registry::Entry::Present(endpoint(id, "model", zone)),
                ms(0),
            );
        }
        let mut planner = Planner::new(ZONES.map(id::Zone::from).into(), knowledge());
        planner.sync(&registry, &catalog, ms(0));
        Self {
            planner,
            registry,
            catalog,
            now: ms(0),
            next: 0,
        }
    }

    pub fn submit(&mut self, job: Job) -> JobId {
        let job_id = self.next;
        self.next += 1;
        self.planner.submit(job_id, job, self.now);
        job_id
    }

    pub fn job(&self, pieces: &[usize], target: u64) -> Job {
        let service = |stage| if stage == 0 { "look-up" } else { "pack" };
        let stage = |(stage, pieces): (usize, &usize)| Stage {
            service: service(stage).into(),
            after: if stage == 0 { vec![] } else { vec![stage - 1] },
            bytes: 3_000_000,
            pieces: *pieces,
        };
        Job {
            request: format!("r{}", self.next).into(),
            piece_key: "k".into(),
            stages: pieces.iter().enumerate().map(stage).collect(),
            service: "model".into(),
            priority: 1,
            target: self.now + ms(target),
            deadline: self.now + ms(6_000),
            target_latency: ms(target),
            weight: 1.0,
            digest: format!("d{}", self.next).into(),
            prompt_parts: Vec::new(),
            tokens: Tokens::default(),
            zone: "a".into(),
            transferred_results: Vec::new(),
            release: None,
            closures: Vec::new(),
            residency: Residency::default(),
        }
    }

    pub fn actions(&mut self) -> Vec<Action> {
        self.planner.take_actions()
    }

    /// Answers a call with a handle for each piece.
    pub fn answer(&mut self, call: CallId, pieces: usize) {
        let handle = |piece| PieceOutcome::Handle(format!("h{call}-{piece}").into());
        let outcome = CallOutcome::Answered((0..pieces).map(handle).collect());
        self.planner.call_ended(call, &outcome, self.now);
    }

    fn restart(&mut self, id: &str, service: &str) {
        self.change(Endpoint {
            born: 2,
            ..endpoint(id, service, "a")
        });
    }

    /// Makes engines fetch the memory of tokens from each other.
    fn set_transfer_rate(&mut self, token_bytes: u64, link_rate: u64) {
        let model = self.catalog.services.get_mut("model");
        let engine = model.and_then(|model| model.engine.as_mut());
        let engine = engine.expect("an engine");
        engine.token_bytes = token_bytes;
        engine.link_rate = link_rate;
        self.planner.sync(&self.registry, &self.catalog, self.now);
    }

    fn address(&self, id: &id::Endpoint) -> SocketAddr {
        self.registry.get(id).expect("listed").address
    }

    /// Makes an endpoint have another version of its software.
    fn set_release(&mut self, id: &str, service: &str, release: &str) {
        self.change(Endpoint {
            release: release.into(),
            ..endpoint(id, service, "a")
        });
    }

    /// Applies what operators write of a zone.
    fn evacuate(&mut self, change: Change) {
        self.registry.evacuation_mut().apply(change, self.now);
        self.planner.sync(&self.registry, &self.catalog, self.now);
    }

    fn change(&mut self, endpoint: Endpoint) {
        self.registry
            .apply(super::super::registry::Entry::Present(endpoint), self.now);
        self.planner.sync(&self.registry, &self.catalog, self.now);
    }
}

/// Returns the calls among actions: id, endpoint and pieces.
fn calls(actions: &[Action]) -> Vec<(CallId, id::Endpoint, Vec<PieceRequest>)> {
    let call = |action: &Action| match action {
        Action::Call {
            call,
            endpoint,
            pieces,
            ..
        } => Some((*call, endpoint.clone(), pieces.clone())),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

fn grants(actions: &[Action]) -> Vec<(JobId, Grant)> {
    let grant = |action: &Action| match action {
        Action::Grant(job_id, grant) => Some((*job_id, grant.clone())),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

fn refusals(actions: &[Action]) -> Vec<(JobId, Refusal)> {
    let refusal = |action: &Action| match action {
        Action::Refuse(job_id, refusal) => Some((*job_id, refusal.clone())),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

fn freed(actions: &[Action]) -> Vec<Handle> {
    let free = |action: &Action| match action {
        Action::Free { handles, .. } => Some(handles.clone()),
        _ => None,
    };
    actions.iter().filter_map(free).flatten().collect()
}

#[test]
fn pieces_batched_while_a_call_runs() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    site.submit(site.job(&[1], 2_000));
    let first = calls(&site.actions());
    assert_eq!(first.len(), 1);
    for _ in 0..4 {
        site.submit(site.job(&[2], 2_000));
    }
    assert!(calls(&site.actions()).is_empty(), "one call at a time");
    site.now = ms(170);
    site.answer(first[0].0, 1);
    let next = calls(&site.actions());
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].2.len(), 8);
}

#[test]
fn call_never_over_its_size_or_room() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    for _ in 0..6 {
        site.submit(site.job(&[5], 4_000));
    }
    let mut computed = 0;
    for step in 1..6 {
        let running = calls(&site.actions());
        for (call, _, pieces) in &running {
            assert!(pieces.len() <= 10);
            computed += pieces.len();
            site.now = ms(step * 280);
            site.answer(*call, pieces.len());
        }
    }
    // 64 MB hold 21 results of 3 MB; none of them was freed.
    assert!(computed <= 21, "{computed}");
}

#[test]
fn stages_in_order_with_all_inputs() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let job_id = site.submit(site.job(&[2, 1], 3_000));
    let first = calls(&site.actions());
    assert!(
        first[0]
            .2
            .iter()
            .all(|piece| piece.source == Input::Key("k".into()))
    );
    site.now = ms(200);
    site.answer(first[0].0, 2);
    let second = calls(&site.actions());
    let inputs = vec![Handle::from("h0-0"), Handle::from("h0-1")];
    assert_eq!(second[0].2[0].source, Input::Handles(inputs.clone()));
    assert_eq!(second[0].2[0].stage, 1);
    site.now = ms(400);
    site.answer(second[0].0, 1);
    let actions = site.actions();
    let granted = grants(&actions);
    assert_eq!(granted[0].0, job_id);
    assert_eq!(granted[0].1.inputs, [Handle::from("h1-0")]);
    assert_eq!(freed(&actions), inputs);
}

#[test]
fn results_freed_when_the_answer_begins() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let job_id = site.submit(site.job(&[1], 2_000));
    site.actions();
    site.answer(0, 1);
    site.actions();
    site.planner.started(job_id, false, ms(300));
    assert!(
        freed(&site.actions()).is_empty(),
        "a resumable stream may need them again"
    );
    site.planner.remove(job_id, ms(400));
    assert_eq!(freed(&site.actions()), [Handle::from("h0-0")]);
}

#[test]
fn lost_call_repeated_elsewhere() {
    let mut site = Site::new(&[("m", "a"), ("n", "a")], &[("e", "a")]);
    site.submit(site.job(&[1], 2_000));
    let first = calls(&site.actions());
    site.planner
        .call_ended(first[0].0, &CallOutcome::Lost, ms(50));
    let second = calls(&site.actions());
    assert_ne!(second[0].1, first[0].1);
}

#[test]
fn overdue_call_repeated_and_extra_result_freed() {
    let mut site = Site::new(&[("m", "a"), ("n", "a")], &[("e", "a")]);
    let job_id = site.submit(site.job(&[1], 3_000));
    let first = calls(&site.actions());
    site.planner.tick(ms(300));
    assert!(
        calls(&site.actions()).is_empty(),
        "163 ms are expected, and 443 ms allowed"
    );
    site.planner.tick(ms(450));
    let second = calls(&site.actions());
    assert_eq!(second.len(), 1);
    site.now = ms(700);
    site.answer(second[0].0, 1);
    assert_eq!(grants(&site.actions())[0].0, job_id);
    site.answer(first[0].0, 1);
    assert_eq!(freed(&site.actions()), [Handle::from("h0-0")]);
}

#[test]
fn endpoint_of_an_overdue_call_used_again() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    site.submit(site.job(&[1], 3_000));
    site.actions();
    site.planner.tick(ms(450));
    assert_eq!(
        calls(&site.actions()).len(),
        1,
        "the answer may be lost and the endpoint idle"
    );
    site.planner.tick(ms(2_000));
    assert!(
        calls(&site.actions()).is_empty(),
        "after two overdue calls in a row it is down"
    );
}

#[test]
fn lost_input_computed_again() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    site.submit(site.job(&[1, 1], 4_000));
    site.actions();
    site.now = ms(170);
    site.answer(0, 1);
    site.actions();
    site.planner.call_ended(
        1,
        &CallOutcome::Answered(vec![PieceOutcome::InputLost]),
        ms(200),
    );
    let again = calls(&site.actions());
    assert_eq!(again[0].2[0].stage, 0);
}

#[test]
fn endpoint_without_room_gets_no_call_at_once() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    site.submit(site.job(&[2], 4_000));
    site.actions();
    let outcome = CallOutcome::Answered(vec![PieceOutcome::NoRoom, PieceOutcome::NoRoom]);
    site.planner.call_ended(0, &outcome, ms(170));
    assert!(calls(&site.actions()).is_empty());
    site.planner.tick(ms(900));
    assert_eq!(calls(&site.actions()).len(), 1);
}

/// Guards against an endpoint that gets no large piece for a while because results were freed during a call
/// for whose last piece it had no room: they were taken for results of others.
#[test]
fn endpoint_without_room_used_after_its_results_were_freed() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let first: Vec<JobId> = (0..2)
        .map(|_| site.submit(site.job(&[10], 4_000)))
        .collect();
    for (call, at) in [(0, 280), (1, 560)] {
        site.now = ms(at);
        site.answer(call, 10);
    }
    site.submit(site.job(&[1], 4_000));
    assert_eq!(calls(&site.actions()).len(), 3, "21 results of 3 MB fit");
    for job_id in first {
        site.planner.started(job_id, true, ms(600));
    }
    let outcome = CallOutcome::Answered(vec![PieceOutcome::NoRoom]);
    site.now = ms(720);
    site.planner.call_ended(2, &outcome, site.now);
    assert_eq!(calls(&site.actions()).len(), 1, "the results are gone");
}

/// Guards against results of streams that take the room of other requests until the streams end.
#[test]
fn results_of_begun_streams_freed_when_room_is_scarce() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let few = site.submit(site.job(&[2], 4_000));
    site.answer(0, 2);
    site.planner.started(few, false, ms(100));
    assert!(freed(&site.actions()).is_empty(), "there is room");
    site.submit(site.job(&[9], 4_000));
    site.answer(1, 9);
    assert_eq!(freed(&site.actions()).len(), 2, "33 of 64 MB are taken");
}

/// Guards against engines that are asked to fetch results which were freed.
#[test]
fn broken_stream_gets_freed_results_computed_again() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a"), ("f", "a")]);
    let job_id = site.submit(site.job(&[11], 4_000));
    for call in 0..2 {
        let pieces = calls(&site.actions())[0].2.len();
        site.answer(call, pieces);
    }
    site.planner.started(job_id, false, ms(300));
    site.planner.ended(job_id, Verdict::Lost, ms(400));
    site.planner
        .retry(job_id, false, Some("v1".into()), ms(400));
    let actions = site.actions();
    assert!(grants(&actions[2..]).is_empty(), "{actions:?}");
    assert_eq!(calls(&actions).last().expect("a call").2.len(), 10);
}

#[test]
fn restarted_endpoint_holds_no_results() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    for _ in 0..4 {
        site.submit(site.job(&[5], 4_000));
    }
    for (call, pieces) in [(0, 5), (1, 10), (2, 5)] {
        let running = calls(&site.actions());
        assert_eq!(running[0].2.len(), pieces);
        site.answer(call, pieces);
    }
    site.submit(site.job(&[5], 4_000));
    let last = calls(&site.actions());
    assert_eq!(
        last[0].2.len(),
        1,
        "after 20 results of 3 MB there is room for one more"
    );
    site.answer(last[0].0, 1);
    assert!(calls(&site.actions()).is_empty());
    site.restart("m", "look-up");
    site.submit(site.job(&[5], 4_000));
    assert_eq!(calls(&site.actions()).len(), 1);
}

/// Guards against inputs of other requests: an endpoint that has started again may give handles of before to others.
#[test]
fn results_of_ended_life_made_again() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    site.submit(site.job(&[11], 4_000));
    assert_eq!(calls(&site.actions())[0].2.len(), 10);
    site.answer(0, 10);
    assert_eq!(calls(&site.actions())[0].2.len(), 1);
    site.planner.call_ended(1, &CallOutcome::Lost, site.now);
    site.actions();
    site.restart("m", "look-up");
    let again = calls(&site.actions());
    assert_eq!(again[0].2.len(), 10);
    site.answer(again[0].0, 10);
    let last = calls(&site.actions());
    site.answer(last[0].0, last[0].2.len());
    let granted = grants(&site.actions());
    let inputs = &granted[0].1.inputs;
    assert_eq!(inputs.len(), 11);
    let is_old = |handle: &Handle| handle.starts_with("h0-");
    assert!(!inputs.iter().any(is_old), "{inputs:?}");
}

#[test]
fn requests_handed_over_when_the_daemon_stops() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let running = site.submit(site.job(&[1], 2_000));
    let waiting = site.submit(site.job(&[1], 2_000));
    site.actions();
    site.planner.start_transfer();
    let transferred = refusals(&site.actions());
    assert_eq!(transferred.len(), 1);
    assert!(transferred[0].0 == waiting && transferred[0].1.is_transferred);
    site.planner.transfer_all();
    assert_eq!(refusals(&site.actions())[0].0, running);
}

#[test]
fn results_freed_after_the_client_left() {
    let mut site = Site::new(&[("m", "a")], &[("e", "a")]);
    let job_id = site.submit(site.job(&[3], 2_000));
    site.actions();
    site.planner.remove(job_id, ms(50));
    assert!(site.planner.is_empty());
    site.answer(0, 3);
    assert_eq!(
        freed(&site.actions()).len(),
        3,
        "no request needs the results"
    );
}
