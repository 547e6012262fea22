//! The demo as a program: a short run, and the script interface of `--hold`.

use std::io::{BufRead, BufReader, Lines};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use cyclamenrill::exchange::Request;
use cyclamenrill::load::call::{Outcome, Submission};
use serde_json::Value;

/// How long a test waits for what must happen; it only ends a test that has failed.
const PATIENCE: Duration = Duration::from_secs(60);

const KINDS: [&str; 9] = [
    "log-outage",
    "log-slow",
    "log-lost-answer",
    "endpoint-crash",
    "endpoint-straggler",
    "endpoint-leaving",
    "daemon-pause",
    "daemon-stop",
    "link-cut",
];

fn demo(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cyclamenrill"));
    command.arg("demo").args(arguments).stderr(Stdio::null());
    command
}

#[test]
fn demo_short_run_loses_doubles_and_crosses_nothing() {
    let line = "--seed 3 --seconds 5 --rate 20 --json";
    let arguments: Vec<&str> = line.split(' ').collect();
    let output = demo(&arguments).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let report: Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    for count in ["lost", "doubled", "crossed"] {
        assert_eq!(report[count], 0, "{}", report["evidence"]);
    }
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(report["pipelines"].as_array().unwrap().len(), 6);
    assert!(report["requests"].as_u64().unwrap() > 0);
    assert_eq!(report["faults"].as_array().unwrap().len(), 6);
}

/// A held demo, which ends with its standard input.
struct Held {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
    interface: Value,
}

impl Held {
    fn start() -> Self {
        let mut command = demo(&["--hold", "--json", "--seed", "3"]);
        let command = command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let first = lines.next().unwrap().unwrap();
        Self {
            child,
            lines,
            interface: serde_json::from_str(&first).unwrap(),
        }
    }

    fn door(&self, index: usize) -> &str {
        self.interface["daemons"][index]["address"]
            .as_str()
            .unwrap()
    }

    fn journal(&self) -> Vec<Value> {
        let url = self.interface["journal"].as_str().unwrap();
        let text = Request::get(url, PATIENCE).send().unwrap();
        let text = text.text(u64::MAX - 1).unwrap();
        text.lines()
            .map(|l| serde_json::from_str(l).unwrap())
            .collect()
    }

    fn fault(&self, body: &str) -> u16 {
        let url = self.interface["faults"].as_str().unwrap();
        let request = Request::post(url, PATIENCE).body(body.as_bytes());
        request.send().unwrap().status
    }

    /// Calls a pipeline until it is answered.
    fn call(&self, pipeline: &Value, number: usize) {
        let end = Instant::now() + PATIENCE;
        let key = format!("held-{number}");
        loop {
            let submission = Submission::new(
                self.door(number % 2),
                pipeline["name"].as_str().unwrap(),
                pipeline["key"].as_str().unwrap(),
            );
            let reply = submission
                .body(&pipeline["example"].to_string())
                .idempotency_key(&key)
                .send();
            if reply.outcome == Outcome::Answered {
                return;
            }
            assert!(Instant::now() < end, "{pipeline}: {}", reply.text);
        }
    }

    fn pipelines(&self) -> Vec<Value> {
        self.interface["pipelines"].as_array().unwrap().clone()
    }

    /// Closes the standard input and returns the exit code and the last line.
    fn end(mut self) -> (Option<i32>, Value) {
        drop(self.child.stdin.take());
        let last = self.lines.by_ref().last().unwrap().unwrap();
        let status = self.child.wait().unwrap();
        (status.code(), serde_json::from_str(&last).unwrap())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        // It has ended already, unless the test failed.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

#[test]
fn hold_serves_pipelines_and_journal() {
    let held = Held::start();
    assert_eq!(held.interface["daemons"].as_array().unwrap().len(), 2);
    let pipelines = held.pipelines();
    for (number, pipeline) in pipelines.iter().enumerate() {
        held.call(pipeline, number);
    }
    let journal = held.journal();
    let once = pipelines.iter().filter(|p| p["repeatable"] == false);
    assert_eq!(once.count(), 3);
    for field in ["endpoint", "stage", "request", "attempt", "event"] {
        assert!(journal.iter().all(|e| !e[field].is_null()), "{field}");
    }
    let (code, report) = held.end();
    assert_eq!(code, Some(0));
    assert_eq!(report["doubled"], 0);
}

#[test]
fn hold_serves_operators() {
    let held = Held::start();
    let key = held.interface["operators_key"].as_str().unwrap();
    for address in held.interface["operators"].as_array().unwrap() {
        let status = Command::new(env!("CARGO_BIN_EXE_cyclamenrill"))
            .args(["status", "--address", address.as_str().unwrap()])
            .env("CYCLAMENRILL_KEY", key)
            .output()
            .unwrap();
        assert!(status.status.success(), "{status:?}");
    }
}

#[test]
fn hold_serves_through_every_fault() {
    let held = Held::start();
    assert_eq!(held.fault("nonsense"), 400);
    assert_eq!(held.fault(r#"{"kind":"flood"}"#), 400);
    assert_eq!(
        held.fault(r#"{"kind":"endpoint-crash","target":"nobody"}"#),
        404
    );
    let pipelines = held.pipelines();
    for (number, kind) in KINDS.iter().enumerate() {
        let body = format!(r#"{{"kind":"{kind}","for_ms":300}}"#);
        assert_eq!(held.fault(&body), 200, "{kind}");
        held.call(&pipelines[number % pipelines.len()], 100 + number);
    }
    let (code, report) = held.end();
    assert_eq!(code, Some(0), "{}", report["evidence"]);
}
