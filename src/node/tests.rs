//! Tests of a complete daemon with in-memory endpoints and platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use super::zone_loads::Receiver;
use super::{Node, Options};
use crate::clock::System;
use crate::endpoint::memory::{Endpoints, Fault};
use crate::operate::client::Client;
use crate::operate::{Answer, Change, Edit, Verdict};
use crate::peer::Handler;
use crate::platform::memory::{Log, Roster, Weights};
use crate::platform::{self, Role, Roster as _, Vm};
use crate::route::zone::Load;
use crate::settings::{self, Override, Settings};
use crate::standin::journal::{Entry, Event};

const SAMPLE: &str = include_str!("../../samples/vijesti.toml");
const POOLS: [&str; 7] = [
    "rill-pisari",
    "encoders",
    "rerankers",
    "tajnistvo",
    "kalendar",
    "clanarina",
    "obavijesti",
];
/// Bounds each wait, so that a failing test ends.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn sample() -> Settings {
    let port = |name: &str| Override {
        source: "test".into(),
        key: format!("daemon.{name}-address"),
        value: "\"127.0.0.1:0\"".into(),
    };
    let ports = ["callers", "operators", "peers"].map(port);
    settings::parse("sample", SAMPLE, &ports).unwrap()
}

/// The platform and endpoints that daemons share.
struct Environment {
    clock: Arc<System>,
    log: Arc<Log>,
    roster: Arc<Roster>,
    /// How often the roster was read.
    reads: Arc<AtomicUsize>,
    endpoints: Arc<Endpoints>,
}

/// Counts how often the roster is read.
struct CountingRoster(Arc<Roster>, Arc<AtomicUsize>);

impl platform::Roster for CountingRoster {
    fn list(&self) -> platform::Result<Vec<Vm>> {
        self.1.fetch_add(1, Ordering::AcqRel);
        self.0.list()
    }
}

struct Fixture {
    node: Node,
    endpoints: Arc<Endpoints>,
    operator: Client,
}

fn environment() -> Environment {
    let clock = Arc::new(System::new());
    let roster = Roster::new(clock.clone(), Duration::ZERO);
    let endpoints = Arc::new(Endpoints::default());
    let vms = POOLS.map(|pool| {
        endpoints.add(pool, pool, None);
        vm(pool, Role::Endpoint, pool, Some(pool.into()))
    });
    roster.set(vms.to_vec());
    Environment {
        log: Arc::new(Log::new(clock.clone(), 1).blocking()),
        roster: Arc::new(roster),
        reads: Arc::default(),
        clock,
        endpoints,
    }
}

fn vm(id: &str, role: Role, address: &str, pool: Option<crate::id::Pool>) -> Vm {
    Vm {
        id: id.into(),
        role,
        address: address.into(),
        zone: "zagreb-a".into(),
        pool,
        leaving: false,
    }
}

impl Environment {
    fn start(&self, name: &str) -> Fixture {
        let mut settings = sample();
        settings.daemon.name = name.into();
        let key = settings.daemon.operators_key.clone();
        let options = Options::new(settings)
            .clock(self.clock.clone())
            .log(self.log.clone())
            .roster(Arc::new(CountingRoster(
                self.roster.clone(),
                self.reads.clone(),
            )))
            .weights(Arc::new(Weights::new(Vec::new())))
            .engine(self.endpoints.clone())
            .seed(1);
        let node = Node::start(options).unwrap();
        let peers = node.daemon().net().address().to_string();
        self.roster
            .change(|vms| vms.push(vm(name, Role::Daemon, &peers, None)));
        let address = node.operators_address().unwrap().to_string();
        Fixture {
            node,
            endpoints: self.endpoints.clone(),
            operator: Client::new(&address, &key),
        }
    }
}

fn start_node() -> Fixture {
    environment().start("entry-1")
}

impl Fixture {
    fn donate(&self, key: &str) -> (u16, String) {
        let address = self.node.daemon().callers_address();
        let url = format!("http://{address}/v1/pipelines/donation");
        let response = attohttpc::post(url)
            .bearer_auth("change-me-treasurers")
            .header("Idempotency-Key", key)
            .timeout(TEST_TIMEOUT)
            .text("{\"euro\":20}")
            .send()
            .unwrap();
        (response.status().as_u16(), response.text().unwrap())
    }

    /// Donates until the daemon has read the roster.
    fn donate_when_ready(&self, key: &str) -> (u16, String) {
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            let answer = self.donate(key);
            if answer.0 != 503 || Instant::now() > end {
                return answer;
            }
        }
    }

    fn runs(&self, stage: &str) -> usize {
        let entries = self.endpoints.journal().since(0);
        let began = |e: &&Entry| &*e.stage == stage && e.event == Event::Began;
        entries.iter().filter(began).count()
    }

    /// Waits until the daemon knows `count` live daemons.
    fn wait_for_members(&self, count: usize) {
        let end = Instant::now() + TEST_TIMEOUT;
        while self.node.control().live().len() < count {
            assert!(Instant::now() < end, "the other daemon is not seen");
            std::thread::yield_now();
        }
    }
}

#[test]
fn node_answers_and_resend_gets_same() {
    let mut fixture = start_node();
    let first = fixture.donate_when_ready("gift-1");
    assert_eq!(first.0, 200, "{}", first.1);
    assert_eq!(fixture.donate("gift-1"), first);
    assert_eq!(fixture.runs("donate"), 1);
    assert!(fixture.node.shutdown(TEST_TIMEOUT));
}

#[test]
fn node_answers_resend_of_other_daemon() {
    let environment = environment();
    let (entry_1, mut entry_2) = (environment.start("entry-1"), environment.start("entry-2"));
    entry_1.wait_for_members(2);
    entry_2.wait_for_members(2);
    for number in 0..8 {
        let key = format!("gift-{number}");
        let first = entry_1.donate_when_ready(&key);
        assert_eq!(first.0, 200, "{}", first.1);
        assert_eq!(entry_2.donate_when_ready(&key), first);
    }
    assert_eq!(entry_1.runs("donate"), 8);
    assert!(entry_2.node.shutdown(TEST_TIMEOUT));
}

#[test]
fn node_puts_edit_in_force_at_other_daemon() {
    let environment = environment();
    let (entry_1, entry_2) = (environment.start("entry-1"), environment.start("entry-2"));
    entry_1.wait_for_members(2);
    entry_2.wait_for_members(2);
    let verdict = entry_1
        .operator
        .edit(&hedge_budget_edit("0.01"), TEST_TIMEOUT)
        .unwrap();
    let Verdict::Accepted(revision) = verdict else {
        panic!("{verdict:?}");
    };
    let rollout = entry_1
        .operator
        .await_in_force(revision, TEST_TIMEOUT)
        .unwrap();
    assert!(rollout.behind.is_empty(), "{rollout:?}");
    assert_eq!(entry_2.operator.config().unwrap().revision, revision);
}

#[test]
fn node_collects_from_other_daemon() {
    let environment = environment();
    let (entry_1, entry_2) = (environment.start("entry-1"), environment.start("entry-2"));
    entry_1.wait_for_members(2);
    entry_2.wait_for_members(2);
    let collection = entry_1.operator.status(true).unwrap();
    assert_eq!((collection.answers.len(), collection.missing.len()), (2, 0));
    let collection = entry_1.operator.events(true, 0).unwrap();
    assert_eq!(collection.answers.len(), 2);
}

#[test]
fn node_learns_of_leaving_endpoint_from_other_daemon() {
    let environment = environment();
    let (entry_1, entry_2) = (environment.start("entry-1"), environment.start("entry-2"));
    entry_1.wait_for_members(2);
    entry_2.wait_for_members(2);
    assert_eq!(entry_1.donate_when_ready("gift-9").0, 200);
    // Only the endpoint's refusal shows that it leaves; the platform's list does not.
    environment
        .endpoints
        .set_fault("clanarina", Some(Fault::Refuse { leaving: true }));
    assert_ne!(entry_1.donate("gift-10").0, 200);
    let leaves = |fixture: &Fixture| {
        let all = fixture.node.control().candidates();
        all.iter().any(|c| &*c.endpoint == "clanarina" && c.leaving)
    };
    let end = Instant::now() + TEST_TIMEOUT;
    while !leaves(&entry_1) || !leaves(&entry_2) {
        assert!(
            Instant::now() < end,
            "the other daemon does not learn of it"
        );
        std::thread::yield_now();
    }
}

#[test]
fn receiver_accepts_zone_loads_of_daemon() {
    let fixture = start_node();
    fixture.donate_when_ready("gift-11");
    let loads = fixture.node.daemon().zone_loads();
    let of_calendar = |d: &&Load| &*d.pool == "kalendar" && d.endpoints == 1;
    assert!(loads.iter().any(|d| of_calendar(&d)), "{loads:?}");
    let receiver = Receiver::new(fixture.node.daemon());
    let body = serde_json::to_vec(&loads).unwrap();
    assert_eq!(receiver.handle(&"entry-2".into(), &body), Ok(Vec::new()));
    assert!(receiver.handle(&"entry-2".into(), b"[{}]").is_err());
}

#[test]
fn node_is_not_ready_without_endpoints() {
    let environment = environment();
    let all = environment.roster.list().unwrap();
    environment.roster.set(Vec::new());
    let fixture = environment.start("entry-1");
    let end = Instant::now() + TEST_TIMEOUT;
    let before = environment.reads.load(Ordering::Acquire);
    // The daemon reads the list more often than its control plane does.
    while environment.reads.load(Ordering::Acquire) < before + 2 {
        assert!(Instant::now() < end, "the list is not read");
        std::thread::yield_now();
    }
    assert!(!fixture.node.daemon().status().ready);
    environment.roster.change(|vms| vms.extend(all));
    while !fixture.node.daemon().status().ready {
        assert!(Instant::now() < end, "the daemon does not get ready");
        std::thread::yield_now();
    }
}

fn hedge_budget_edit(value: &str) -> Edit {
    Edit {
        author: "ana".into(),
        change: Change::Set {
            setting: "hedge-budget".into(),
            scope: Some("pool:kalendar".into()),
            value: value.into(),
            reason: "the calendar is small".into(),
            expires_ms: None,
            base: None,
        },
    }
}

#[test]
fn node_puts_edit_in_force() {
    let fixture = start_node();
    let verdict = fixture
        .operator
        .edit(&hedge_budget_edit("0.01"), TEST_TIMEOUT)
        .unwrap();
    let Verdict::Accepted(revision) = verdict else {
        panic!("{verdict:?}");
    };
    let rollout = fixture
        .operator
        .await_in_force(revision, TEST_TIMEOUT)
        .unwrap();
    assert!(rollout.behind.is_empty());
    let config = fixture.operator.config().unwrap();
    let values = config.values.iter();
    let matching: Vec<_> = values.filter(|v| v.revision == revision).collect();
    assert_eq!(matching.len(), 1);
    assert_eq!(matching[0].scope.as_deref(), Some("pool:kalendar"));
    assert_eq!(matching[0].value, "0.01");
    let history = fixture.operator.history().unwrap();
    assert_eq!(history[0].reason, "the calendar is small");
}

#[test]
fn node_refuses_value_outside_limits() {
    let fixture = start_node();
    let verdict = fixture
        .operator
        .edit(&hedge_budget_edit("7"), TEST_TIMEOUT)
        .unwrap();
    assert!(matches!(verdict, Verdict::Refused(_)), "{verdict:?}");
    let error = fixture
        .operator
        .edit(&hedge_budget_edit("much"), TEST_TIMEOUT)
        .unwrap_err();
    assert!(
        error.to_string().contains("`much` is not a number"),
        "{error}"
    );
}

#[test]
fn node_shows_status() {
    let fixture = start_node();
    let end = Instant::now() + TEST_TIMEOUT;
    let status = loop {
        let mut collection = fixture.operator.status(true).unwrap();
        let Some(Answer::Status(status)) = collection.answers.pop() else {
            panic!("{collection:?}");
        };
        if status.ready {
            break status;
        }
        assert!(Instant::now() < end, "the daemon does not get ready");
    };
    assert_eq!(status.endpoints.len(), POOLS.len());
    assert_eq!(&*status.region, "kontinent");
}

#[test]
fn node_drains_when_asked() {
    let fixture = start_node();
    fixture.operator.drain().unwrap();
    assert_eq!(
        fixture.node.drain_requests().recv_timeout(TEST_TIMEOUT),
        Ok(())
    );
}

#[test]
fn node_puts_request_timeout_in_force() {
    let fixture = start_node();
    let change = Change::Set {
        setting: "request-timeout".into(),
        scope: Some("pipeline:donation".into()),
        value: "50".into(),
        reason: "a test of limits".into(),
        expires_ms: None,
        base: None,
    };
    let edit = Edit {
        author: "ana".into(),
        change,
    };
    let deadline = || fixture.node.daemon().plan("donation").unwrap().deadline;
    assert_eq!(deadline(), Duration::from_secs(3));
    let verdict = fixture.operator.edit(&edit, TEST_TIMEOUT).unwrap();
    assert!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
    let end = Instant::now() + TEST_TIMEOUT;
    while deadline() != Duration::from_millis(50) {
        assert!(Instant::now() < end, "the limit is not in force");
        std::thread::yield_now();
    }
}
