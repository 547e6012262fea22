//! Tests of the operators' port over loopback, and of queries to the fleet.

use std::sync::Arc;
use std::time::Duration;

use insta::assert_snapshot;
use parking_lot::Mutex;

use super::client::Client;
use super::command::{self, config};
use super::fleet::{Collector, Responder};
use super::port::Port;
use super::status::{Attainment, Cost, Report, Status};
use super::{
    AcceptedChange, Answer, Change, Collection, ConfigSnapshot, Edit, Operations, Query, Result,
    Verdict,
};
use crate::peer::{self, Handler, Link, Topic};
use crate::{endpoint, id, pipeline, timeline};

const KEY: &str = "an-operators-key";

#[derive(Default)]
struct FakeOperations {
    name: &'static str,
    peers: Vec<(id::Daemon, String)>,
    edits: Mutex<Vec<Edit>>,
    drained: Mutex<bool>,
}

fn status(name: &str) -> Status {
    Status {
        daemon: name.into(),
        zone: "tallinn-a".into(),
        region: "tallinn".into(),
        ready: true,
        uptime: Duration::from_secs(5),
        requests: 3,
        revision: 17,
        fresh: true,
        members: Vec::new(),
        endpoints: Vec::new(),
        leases: Vec::new(),
        quarantine: Vec::new(),
        upgrades: Vec::new(),
        alarms: Vec::new(),
        counts: Vec::new(),
    }
}

fn report() -> Report {
    let cost = Cost {
        calls: 2,
        link_bytes: 700,
        ..Cost::new("menu/draft".into())
    };
    Report {
        pipelines: vec![Attainment {
            pipeline: "menu".into(),
            requests: 4,
            attained: 3,
            late: 0,
            not_run: 1,
            unknown: 0,
            failed: 0,
        }],
        stages: vec![cost],
        workspaces: Vec::new(),
    }
}

impl Operations for FakeOperations {
    fn answer(&self, query: &Query) -> Answer {
        match query {
            Query::Status => Answer::Status(Box::new(status(self.name))),
            Query::Report => Answer::Report(report()),
            Query::Events(_) => Answer::Events(Vec::new()),
        }
    }

    fn drain(&self) {
        *self.drained.lock() = true;
    }

    fn config(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            revision: 17,
            fresh: true,
            values: Vec::new(),
        }
    }

    fn history(&self) -> Vec<AcceptedChange> {
        Vec::new()
    }

    fn edit(&self, edit: &Edit, _timeout: Duration) -> Result<Verdict> {
        self.edits.lock().push(edit.clone());
        Ok(Verdict::Accepted(18))
    }

    fn behind(&self, revision: id::Revision) -> Vec<id::Daemon> {
        if revision > 17 {
            vec!["entry-2".into()]
        } else {
            Vec::new()
        }
    }

    fn peers(&self) -> Vec<(id::Daemon, String)> {
        self.peers.clone()
    }
}

/// Connects to one daemon, `entry-2`; every other is unreachable.
struct FakeLink {
    responder: Responder,
}

impl Link for FakeLink {
    fn ask(&self, address: &str, topic: Topic, body: &[u8], _: Duration) -> peer::Result<Vec<u8>> {
        let not_sent = |reason: String| peer::Error::NotSent {
            step: "asking",
            peer: address.into(),
            reason,
        };
        if address != "entry-2" || topic != Topic::Operate {
            return Err(not_sent("cut off".into()));
        }
        self.responder
            .handle(&"entry-1".into(), body)
            .map_err(not_sent)
    }

    fn forward(
        &self,
        _: &str,
        _: &str,
        _: &endpoint::Call,
        _: endpoint::Sink<'_>,
    ) -> endpoint::Result<endpoint::Answer> {
        unreachable!("operators forward no calls")
    }

    fn run_remainder(
        &self,
        _: &str,
        _: &pipeline::Remainder,
        _: endpoint::Sink<'_>,
    ) -> peer::Result<pipeline::Remote> {
        unreachable!("operators hand over no requests")
    }
}

fn operations() -> Arc<FakeOperations> {
    Arc::new(FakeOperations {
        name: "entry-1",
        ..FakeOperations::default()
    })
}

fn port(operations: &Arc<FakeOperations>) -> (Port, Client) {
    let collector = Collector::new(operations.clone(), None);
    let port = Port::start("127.0.0.1:0", KEY, operations.clone(), collector).unwrap();
    let client = Client::new(&port.address().to_string(), KEY);
    (port, client)
}

fn edit() -> Edit {
    Edit {
        author: "mari".into(),
        change: Change::Clear {
            setting: "hedge-budget".into(),
            scope: None,
            reason: "no longer needed".into(),
            base: None,
        },
    }
}

#[test]
fn port_refuses_wrong_key() {
    let operations = operations();
    let (port, _) = port(&operations);
    let client = Client::new(&port.address().to_string(), "another-key-here");
    let error = client.drain().unwrap_err().to_string();
    assert!(
        error.ends_with("the operators' key is missing or wrong"),
        "{error}"
    );
    assert!(!*operations.drained.lock());
}

#[test]
fn port_answers_each_query() {
    let operations = operations();
    let (_port, client) = port(&operations);
    let collection = client.status(false).unwrap();
    assert_eq!(
        collection.answers,
        [Answer::Status(Box::new(status("entry-1")))]
    );
    assert_eq!(
        client.report(true).unwrap().answers,
        [Answer::Report(report())]
    );
    assert_eq!(
        client.events(false, 5).unwrap().answers,
        [Answer::Events(Vec::new())]
    );
    assert_eq!(client.config().unwrap().revision, 17);
    assert_eq!(client.history().unwrap(), []);
    client.drain().unwrap();
    assert!(*operations.drained.lock());
}

#[test]
fn port_forwards_edit() {
    let operations = operations();
    let (_port, client) = port(&operations);
    let verdict = client.edit(&edit(), Duration::from_secs(1)).unwrap();
    assert_eq!(verdict, Verdict::Accepted(18));
    assert_eq!(*operations.edits.lock(), [edit()]);
}

#[test]
fn port_names_daemons_behind() {
    let operations = operations();
    let (_port, client) = port(&operations);
    assert_eq!(
        client.await_in_force(17, Duration::ZERO).unwrap().behind,
        []
    );
    let behind = client.await_in_force(18, Duration::ZERO).unwrap().behind;
    assert_eq!(behind, ["entry-2".into()]);
}

fn post(port: &Port, body: &[u8]) -> (u16, String) {
    let response = attohttpc::post(format!("http://{}/v1/config", port.address()))
        .bearer_auth(KEY)
        .bytes(body)
        .send()
        .unwrap();
    (response.status().as_u16(), response.text().unwrap())
}

#[test]
fn port_refuses_malformed_edit() {
    let operations = operations();
    let (port, client) = port(&operations);
    assert_snapshot!(post(&port, b"{}").1, @r#"{"title":"the body is no edit: missing field `author` at line 1 column 2","status":400}"#);
    assert_eq!(post(&port, &vec![b' '; 70_000]).0, 413);
    assert_eq!(operations.edits.lock().len(), 0);
    client.status(false).unwrap();
}

fn status_of_fleet(operations: Arc<FakeOperations>) -> Collection {
    let second = Arc::new(FakeOperations {
        name: "entry-2",
        ..FakeOperations::default()
    });
    let link = FakeLink {
        responder: Responder::new(second),
    };
    Collector::new(operations, Some(Arc::new(link))).ask_all(&Query::Status)
}

#[test]
fn fleet_names_missing_daemon() {
    let collection = status_of_fleet(Arc::new(FakeOperations {
        name: "entry-1",
        peers: vec![
            ("entry-2".into(), "entry-2".into()),
            ("entry-3".into(), "entry-3".into()),
        ],
        ..FakeOperations::default()
    }));
    let expected = ["entry-1", "entry-2"].map(|name| Answer::Status(Box::new(status(name))));
    assert_eq!(collection.answers, expected);
    assert_eq!(collection.missing, ["entry-3".into()]);
}

#[test]
fn responder_refuses_malformed_query() {
    let responder = Responder::new(operations());
    assert!(responder.handle(&"entry-2".into(), b"status").is_err());
    let query = serde_json::to_vec(&Query::Events(timeline::Stamp::MIN)).unwrap();
    assert!(responder.handle(&"entry-2".into(), &query).is_ok());
}

#[test]
fn report_adds_by_name() {
    let mut sum = report();
    sum.add(&report());
    assert_eq!(sum.pipelines[0].requests, 8);
    assert_eq!(sum.stages[0].link_bytes, 1400);
    assert!((sum.pipelines[0].share() - 0.75).abs() < 1e-9);
}

fn words(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_owned).collect()
}

#[test]
fn hoist_moves_shared_options_of_config() {
    let given = words("config set queue-bound 64 --author mari --reason slow --timeout=3");
    let wanted = words("config --author mari --timeout=3 set queue-bound 64 --reason slow");
    assert_eq!(config::hoist(&given), wanted);
}

#[test]
fn hoist_leaves_other_commands() {
    let given = words("status --address 127.0.0.1:8081");
    assert_eq!(config::hoist(&given), given);
}

#[test]
fn run_wrong_arguments() {
    for text in [
        "config set",
        "status --no-such",
        "check",
        "timeline --format xml",
    ] {
        assert_eq!(command::run(&words(text)), command::USAGE, "{text}");
    }
}
