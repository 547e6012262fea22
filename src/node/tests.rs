//! A whole daemon before endpoints and a platform in memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use super::zone_loads::Listener;
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
/// Ends a test that has failed; nothing is measured against it.
const PATIENCE: Duration = Duration::from_secs(20);

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
struct Site {
    clock: Arc<System>,
    log: Arc<Log>,
    roster: Arc<Roster>,
    /// How often the list was read.
    reads: Arc<AtomicUsize>,
    fleet: Arc<Endpoints>,
}

/// Counts how often the list is read.
struct Counted(Arc<Roster>, Arc<AtomicUsize>);

impl platform::Roster for Counted {
    fn list(&self) -> platform::Result<Vec<Vm>> {
        self.1.fetch_add(1, Ordering::AcqRel);
        self.0.list()
    }
}

struct Rig {
    node: Node,
    fleet: Arc<Endpoints>,
    operator: Client,
}

fn site() -> Site {
    let clock = Arc::new(System::new());
    let roster = Roster::new(clock.clone(), Duration::ZERO);
    let fleet = Arc::new(Endpoints::default());
    let vms = POOLS.map(|pool| {
        fleet.add(pool, pool, None);
        vm(pool, Role::Endpoint, pool, Some(pool.into()))
    });
    roster.set(vms.to_vec());
    Site {
        log: Arc::new(Log::new(clock.clone(), 1).blocking()),
        roster: Arc::new(roster),
        reads: Arc::default(),
        clock,
        fleet,
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

impl Site {
    fn start(&self, name: &str) -> Rig {
        let mut settings = sample();
        settings.daemon.name = name.into();
        let key = settings.daemon.operators_key.clone();
        let options = Options::new(settings)
            .clock(self.clock.clone())
            .log(self.log.clone())
            .roster(Arc::new(Counted(self.roster.clone(), self.reads.clone())))
            .weights(Arc::new(Weights::new(Vec::new())))
            .engine(self.fleet.clone())
            .seed(1);
        let node = Node::start(options).unwrap();
        let peers = node.daemon().net().address().to_string();
        self.roster
            .change(|vms| vms.push(vm(name, Role::Daemon, &peers, None)));
        let address = node.operators_address().unwrap().to_string();
        Rig {
            node,
            fleet: self.fleet.clone(),
            operator: Client::new(&address, &key),
        }
    }
}

fn rig() -> Rig {
    site().start("entry-1")
}

impl Rig {
    fn donate(&self, key: &str) -> (u16, String) {
        let address = self.node.daemon().callers_address();
        let url = format!("http://{address}/v1/pipelines/donation");
        let response = attohttpc::post(url)
            .bearer_auth("change-me-treasurers")
            .header("Idempotency-Key", key)
            .timeout(PATIENCE)
            .text("{\"euro\":20}")
            .send()
            .unwrap();
        (response.status().as_u16(), response.text().unwrap())
    }

    /// Sends until the daemon has read the list of endpoints.
    fn donate_when_ready(&self, key: &str) -> (u16, String) {
        let end = Instant::now() + PATIENCE;
        loop {
            let answer = self.donate(key);
            if answer.0 != 503 || Instant::now() > end {
                return answer;
            }
        }
    }

    fn runs(&self, stage: &str) -> usize {
        let entries = self.fleet.journal().since(0);
        let began = |e: &&Entry| &*e.stage == stage && e.event == Event::Began;
        entries.iter().filter(began).count()
    }

    /// Waits until the daemon knows so many daemons.
    fn wait_for_members(&self, count: usize) {
        let end = Instant::now() + PATIENCE;
        while self.node.control().live().len() < count {
            assert!(Instant::now() < end, "the other daemon is not seen");
            std::thread::yield_now();
        }
    }
}

#[test]
fn node_answers_and_resend_gets_same() {
    let mut rig = rig();
    let first = rig.donate_when_ready("gift-1");
    assert_eq!(first.0, 200, "{}", first.1);
    assert_eq!(rig.donate("gift-1"), first);
    assert_eq!(rig.runs("donate"), 1);
    assert!(rig.node.shutdown(PATIENCE));
}

#[test]
fn node_answers_resend_of_other_daemon() {
    let site = site();
    let (one, mut two) = (site.start("entry-1"), site.start("entry-2"));
    one.wait_for_members(2);
    two.wait_for_members(2);
    for number in 0..8 {
        let key = format!("gift-{number}");
        let first = one.donate_when_ready(&key);
        assert_eq!(first.0, 200, "{}", first.1);
        assert_eq!(two.donate_when_ready(&key), first);
    }
    assert_eq!(one.runs("donate"), 8);
    assert!(two.node.shutdown(PATIENCE));
}

#[test]
fn node_puts_edit_in_force_at_other_daemon() {
    let site = site();
    let (one, two) = (site.start("entry-1"), site.start("entry-2"));
    one.wait_for_members(2);
    two.wait_for_members(2);
    let verdict = one.operator.edit(&set("0.01"), PATIENCE).unwrap();
    let Verdict::Accepted(revision) = verdict else {
        panic!("{verdict:?}");
    };
    let reach = one.operator.reach(revision, PATIENCE).unwrap();
    assert!(reach.behind.is_empty(), "{reach:?}");
    assert_eq!(two.operator.sheet().unwrap().revision, revision);
}

#[test]
fn node_collects_from_other_daemon() {
    let site = site();
    let (one, two) = (site.start("entry-1"), site.start("entry-2"));
    one.wait_for_members(2);
    two.wait_for_members(2);
    let found = one.operator.status(true).unwrap();
    assert_eq!((found.answers.len(), found.missing.len()), (2, 0));
    let found = one.operator.events(true, 0).unwrap();
    assert_eq!(found.answers.len(), 2);
}

#[test]
fn node_learns_of_leaving_endpoint_from_other_daemon() {
    let site = site();
    let (one, two) = (site.start("entry-1"), site.start("entry-2"));
    one.wait_for_members(2);
    two.wait_for_members(2);
    assert_eq!(one.donate_when_ready("gift-9").0, 200);
    // The platform's list does not tell; only the endpoint's refusal does.
    site.fleet
        .set_fault("clanarina", Some(Fault::Refuse { leaving: true }));
    assert_ne!(one.donate("gift-10").0, 200);
    let leaves = |rig: &Rig| {
        let all = rig.node.control().candidates();
        all.iter().any(|c| &*c.endpoint == "clanarina" && c.leaving)
    };
    let end = Instant::now() + PATIENCE;
    while !leaves(&one) || !leaves(&two) {
        assert!(
            Instant::now() < end,
            "the other daemon does not learn of it"
        );
        std::thread::yield_now();
    }
}

#[test]
fn listener_takes_what_a_daemon_tells() {
    let rig = rig();
    rig.donate_when_ready("gift-11");
    let told = rig.node.daemon().zone_loads();
    let of_calendar = |d: &&Load| &*d.pool == "kalendar" && d.endpoints == 1;
    assert!(told.iter().any(|d| of_calendar(&d)), "{told:?}");
    let listener = Listener::new(rig.node.daemon());
    let body = serde_json::to_vec(&told).unwrap();
    assert_eq!(listener.handle(&"entry-2".into(), &body), Ok(Vec::new()));
    assert!(listener.handle(&"entry-2".into(), b"[{}]").is_err());
}

#[test]
fn node_is_not_ready_without_endpoints() {
    let site = site();
    let all = site.roster.list().unwrap();
    site.roster.set(Vec::new());
    let rig = site.start("entry-1");
    let end = Instant::now() + PATIENCE;
    let before = site.reads.load(Ordering::Acquire);
    // The daemon reads the list more often than its control plane does.
    while site.reads.load(Ordering::Acquire) < before + 2 {
        assert!(Instant::now() < end, "the list is not read");
        std::thread::yield_now();
    }
    assert!(!rig.node.daemon().status().ready);
    site.roster.change(|vms| vms.extend(all));
    while !rig.node.daemon().status().ready {
        assert!(Instant::now() < end, "the daemon does not get ready");
        std::thread::yield_now();
    }
}

fn set(value: &str) -> Edit {
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
    let rig = rig();
    let verdict = rig.operator.edit(&set("0.01"), PATIENCE).unwrap();
    let Verdict::Accepted(revision) = verdict else {
        panic!("{verdict:?}");
    };
    let reach = rig.operator.reach(revision, PATIENCE).unwrap();
    assert!(reach.behind.is_empty());
    let sheet = rig.operator.sheet().unwrap();
    let lines = sheet.lines.iter();
    let mine: Vec<_> = lines.filter(|l| l.revision == revision).collect();
    assert_eq!(mine.len(), 1);
    assert_eq!(mine[0].scope.as_deref(), Some("pool:kalendar"));
    assert_eq!(mine[0].value, "0.01");
    let history = rig.operator.history().unwrap();
    assert_eq!(history[0].reason, "the calendar is small");
}

#[test]
fn node_refuses_value_outside_limits() {
    let rig = rig();
    let verdict = rig.operator.edit(&set("7"), PATIENCE).unwrap();
    assert!(matches!(verdict, Verdict::Refused(_)), "{verdict:?}");
    let error = rig.operator.edit(&set("much"), PATIENCE).unwrap_err();
    assert!(
        error.to_string().contains("`much` is not a number"),
        "{error}"
    );
}

#[test]
fn node_shows_status() {
    let rig = rig();
    let end = Instant::now() + PATIENCE;
    let status = loop {
        let mut found = rig.operator.status(true).unwrap();
        let Some(Answer::Status(status)) = found.answers.pop() else {
            panic!("{found:?}");
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
    let rig = rig();
    rig.operator.drain().unwrap();
    assert_eq!(rig.node.drains().recv_timeout(PATIENCE), Ok(()));
}

#[test]
fn node_puts_request_timeout_in_force() {
    let rig = rig();
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
    let deadline = || rig.node.daemon().plan("donation").unwrap().deadline;
    assert_eq!(deadline(), Duration::from_secs(3));
    let verdict = rig.operator.edit(&edit, PATIENCE).unwrap();
    assert!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
    let end = Instant::now() + PATIENCE;
    while deadline() != Duration::from_millis(50) {
        assert!(Instant::now() < end, "the limit is not in force");
        std::thread::yield_now();
    }
}
