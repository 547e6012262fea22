//! Control planes of several daemons in one process, over loopback.
//!
//! The tests wait for conditions and assert no durations.

mod budget;
mod upgrade;

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;

use super::{Control, Error, Options};
use crate::clock::{Clock, System};
use crate::config::edit::{self, Outcome};
use crate::config::record::{Body, Set, Value};
use crate::config::{Context, setting};
use crate::member::{Evidence, Status};
use crate::peer::{self, Handler, Link, Topic};
use crate::platform::memory::{Faults, Log, Roster, Weights};
use crate::platform::{Manifest, Role, Vm};
use crate::timeline::Recorder;
use crate::{endpoint, id, pipeline, settings};

const TIMEOUT: Duration = Duration::from_secs(60);
const SECOND: Duration = Duration::from_secs(1);

fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(start.elapsed() < TIMEOUT, "{what}");
        std::thread::park_timeout(Duration::from_millis(10));
    }
}

/// Calls between the daemons of a test, without connections.
#[derive(Default)]
struct MemoryLink {
    handlers: Mutex<IndexMap<(String, Topic), Arc<dyn Handler>>>,
}

impl Link for MemoryLink {
    fn ask(&self, address: &str, topic: Topic, body: &[u8], _: Duration) -> peer::Result<Vec<u8>> {
        let handler = self
            .handlers
            .lock()
            .get(&(address.to_owned(), topic))
            .cloned();
        let failure = |reason: String| peer::Error::NotSent {
            step: "ask",
            peer: address.into(),
            reason,
        };
        let handler = handler.ok_or_else(|| failure("no handler is registered".into()))?;
        handler.handle(&"test".into(), body).map_err(failure)
    }

    fn forward(
        &self,
        _: &str,
        _: &str,
        _: &endpoint::Call,
        _: endpoint::Sink<'_>,
    ) -> endpoint::Result<endpoint::Answer> {
        unreachable!("control forwards no calls")
    }

    fn run_remainder(
        &self,
        _: &str,
        _: &pipeline::Remainder,
        _: endpoint::Sink<'_>,
    ) -> peer::Result<pipeline::Remote> {
        unreachable!("control moves no requests")
    }
}

struct Fixture {
    clock: Arc<dyn Clock>,
    log: Arc<Log>,
    roster: Arc<Roster>,
    link: Arc<MemoryLink>,
    engines: Option<Arc<upgrade::Engines>>,
    weights: Arc<Weights>,
    vms: Vec<Vm>,
}

impl Fixture {
    fn new() -> Self {
        let clock: Arc<dyn Clock> = Arc::new(System::new());
        let vms = vec![Vm {
            id: "e1".into(),
            role: Role::Endpoint,
            address: "127.0.0.1:9".into(),
            zone: "tallinn-a".into(),
            pool: Some("orders".into()),
            leaving: false,
        }];
        Self {
            log: Arc::new(Log::new(clock.clone(), 1).blocking()),
            roster: Arc::new(Roster::new(clock.clone(), Duration::ZERO)),
            link: Arc::new(MemoryLink::default()),
            engines: None,
            weights: Arc::new(Weights::new(vec![Manifest {
                model: "menu".into(),
                version: "v2".into(),
                bytes: 1_000,
                rate: 1_000_000,
            }])),
            clock,
            vms,
        }
    }

    fn start(&mut self, name: &str) -> Control {
        let text = include_str!("../../samples/poldmaa.toml");
        let mut settings = settings::parse("sample", text, &[]).unwrap();
        settings.daemon.name = name.into();
        settings.daemon.availability_zone = "tallinn-a".into();
        settings.daemon.peers_address = "127.0.0.1:0".into();
        let options = Options::new()
            .settings(Arc::new(settings))
            .log(self.log.clone())
            .roster(self.roster.clone())
            .link(self.link.clone())
            .recorder(Arc::new(Recorder::new(name.into(), self.clock.clone())))
            .clock(self.clock.clone())
            .seed(7);
        let options = match &self.engines {
            Some(engines) => options.engines(engines.clone(), self.weights.clone()),
            None => options,
        };
        let control = Control::start(&options).unwrap();
        self.register(&control, name);
        control
    }

    fn register(&mut self, control: &Control, name: &str) {
        let address = control.live()[0].address.clone();
        let mut handlers = self.link.handlers.lock();
        handlers.insert((address.clone(), Topic::Config), control.config_handler());
        handlers.insert((address.clone(), Topic::Member), control.member_handler());
        self.vms.push(Vm {
            id: name.into(),
            role: Role::Daemon,
            address,
            zone: "tallinn-a".into(),
            pool: None,
            leaving: false,
        });
        self.roster.set(self.vms.clone());
    }
}

fn set_queue_bound(value: u64, base: id::Revision) -> Body {
    Body::Set(Set {
        setting: "queue-bound".into(),
        scope: None,
        value: Value::Count(value),
        base,
        reason: "dawn".into(),
        expires_ms: None,
    })
}

fn queue_bound(control: &Control) -> u64 {
    control
        .view()
        .count(&setting::QUEUE_BOUND, &Context::default())
}

#[test]
fn edit_is_in_force_everywhere() {
    let mut fixture = Fixture::new();
    let daemons: Vec<Control> = ["a", "b", "c"].iter().map(|n| fixture.start(n)).collect();
    wait_until("all daemons see each other", || {
        daemons.iter().all(|c| c.live().len() == 3)
    });
    let outcome = daemons[0].edit(edit::record("meelis", set_queue_bound(77, 0)), TIMEOUT);
    assert_eq!(outcome, Outcome::Accepted(1));
    assert!(daemons[0].await_in_force(1, TIMEOUT).is_empty());
    assert!(daemons.iter().all(|c| queue_bound(c) == 77));
    let stale = daemons[1].edit(edit::record("ana", set_queue_bound(5, 0)), TIMEOUT);
    assert!(matches!(stale, Outcome::Refused(_)));
    assert_eq!(daemons[2].history().len(), 1);
    assert!(daemons[2].status().is_fresh);
}

#[test]
fn edit_reads_back_lost_answer() {
    let mut fixture = Fixture::new();
    let control = fixture.start("a");
    fixture.log.set_faults(Faults {
        lost_after: 1.0,
        ..Faults::default()
    });
    let outcome = control.edit(edit::record("meelis", set_queue_bound(9, 0)), TIMEOUT);
    assert_eq!(outcome, Outcome::Accepted(1));
}

#[test]
fn start_in_outage_pulls_state_from_peers() {
    let mut fixture = Fixture::new();
    let old = fixture.start("a");
    old.edit(edit::record("meelis", set_queue_bound(77, 0)), TIMEOUT);
    fixture.log.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let new = fixture.start("b");
    wait_until("the new daemon has the state", || queue_bound(&new) == 77);
    assert!(!new.status().is_fresh, "the log is unavailable");
    let refused = new.edit(edit::record("ana", set_queue_bound(5, 1)), SECOND);
    assert_eq!(refused, Outcome::NotWritten);
    assert_eq!(queue_bound(&new), 77);
    fixture.log.set_faults(Faults::default());
    wait_until("the new daemon has read the log", || new.status().is_fresh);
    assert_eq!(new.view().revision, 1);
}

#[test]
fn report_reaches_others() {
    let mut fixture = Fixture::new();
    let (a, b) = (fixture.start("a"), fixture.start("b"));
    let (sender, observations) = flume::unbounded();
    b.subscribe(sender);
    wait_until("both see both", || {
        a.live().len() == 2 && b.live().len() == 2
    });
    wait_until("both list the endpoint", || {
        a.candidates().len() == 1 && b.candidates().len() == 1
    });
    a.report(&"e1".into(), Evidence::Leaving);
    wait_until("b marks the endpoint as leaving", || {
        b.candidates()[0].leaving
    });
    assert!(b.roster().list().unwrap().iter().any(|vm| vm.leaving));
    let leaving = crate::policy::Observation::Leaving("e1".into());
    wait_until("b notifies its subscriber", || {
        observations.try_iter().any(|o| o == leaving)
    });
}

#[test]
fn join_learns_endpoint_reports() {
    let mut fixture = Fixture::new();
    let a = fixture.start("a");
    wait_until("a lists the endpoint", || a.candidates().len() == 1);
    a.report(&"e1".into(), Evidence::Leaving);
    let c = fixture.start("c");
    wait_until("c knows the report", || {
        c.candidates().iter().any(|e| e.leaving)
    });
}

#[test]
fn leave_reaches_others() {
    let mut fixture = Fixture::new();
    let (a, b) = (fixture.start("a"), fixture.start("b"));
    wait_until("both see both", || {
        a.live().len() == 2 && b.live().len() == 2
    });
    a.leave();
    wait_until("b knows that a left", || b.live().len() == 1);
    assert_eq!(a.live()[0].status, Status::Leaving);
}

#[test]
fn record_connection_failures_are_reported() {
    let mut fixture = Fixture::new();
    let (a, b) = (fixture.start("a"), fixture.start("b"));
    wait_until("both see both", || {
        a.live().len() == 2 && b.live().len() == 2
    });
    wait_until("both list the endpoint", || {
        a.candidates().len() == 1 && b.candidates().len() == 1
    });
    wait_until("two reports mark the endpoint as leaving", || {
        a.record_connection(&"e1".into(), false);
        b.record_connection(&"e1".into(), false);
        a.candidates()[0].leaving && b.candidates()[0].leaving
    });
}

#[test]
fn start_names_missing_option() {
    let error = Control::start(&Options::new()).err().unwrap();
    assert!(matches!(error, Error::Missing { what: "settings" }));
}
