//! Tests of two daemons on loopback.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::*;
use crate::clock;
use crate::endpoint::{Answer, Call, Token, Usage};
use crate::pipeline::{Finish, Remainder, Remote};
use crate::timeline::Recorder;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A host with preset behavior that reports calls and cancellations.
struct FakeHost {
    tokens: u32,
    waits: bool,
    relays: Mutex<Vec<flume::Sender<Relayed<Remote>>>>,
    cancelled: flume::Sender<id::Attempt>,
    called: flume::Sender<Call>,
}

impl Host for FakeHost {
    fn forward(
        &self,
        address: &str,
        call: &Call,
        sink: endpoint::Sink<'_>,
    ) -> endpoint::Result<Answer> {
        let _ = self.called.send(call.clone());
        for index in 0..self.tokens {
            sink(token(index))?;
        }
        if address == "refuses" {
            return Err(endpoint::Error::Refused {
                step: "call",
                peer: address.into(),
                reason: "full".into(),
                leaving: true,
            });
        }
        while self.waits && sink(token(0)).is_ok() {
            std::thread::yield_now();
        }
        Ok(answer(call))
    }

    fn cancel(&self, _address: &str, _request: id::Request, attempt: id::Attempt) {
        let _ = self.cancelled.send(attempt);
    }

    fn start_remainder(
        &self,
        remainder: &Remainder,
        relay: flume::Sender<Relayed<Remote>>,
    ) -> std::result::Result<entry::Reader, Finish> {
        let transcript = entry::Transcript::new(remainder.request, remainder.workspace.clone());
        drop(relay.send(Relayed::Tokens(vec![token(0), token(1)])));
        if self.waits {
            self.relays.lock().push(relay);
        } else {
            drop(relay.send(Relayed::End(remote(remainder))));
        }
        Ok(transcript.read(0))
    }
}

fn token(index: u32) -> Token {
    Token {
        index,
        text: "tok".into(),
        version: (index == 0).then(|| "v1".into()),
    }
}

fn call() -> Call {
    Call {
        request: uuid::Uuid::from_u128(5),
        workspace: "split".into(),
        pipeline: "bulletin".into(),
        stage: "draft".into(),
        attempt: 3,
        key: Some("k".into()),
        remaining: TIMEOUT,
        priority: 2,
        input: "{}".into(),
        max_tokens: 9,
        resume: vec![token(0)],
        version: None,
    }
}

fn answer(call: &Call) -> Answer {
    Answer {
        request: call.request,
        stage: call.stage.clone(),
        attempt: call.attempt,
        body: "\"text\"".into(),
        usage: Usage {
            engine_time: Duration::from_millis(7),
            prefill_tokens: 1,
            tokens: 2,
            link_bytes: 0,
        },
        version: Some("v1".into()),
    }
}

fn remainder() -> Remainder {
    Remainder {
        request: uuid::Uuid::from_u128(6),
        workspace: "split".into(),
        pipeline: "bulletin".into(),
        key: None,
        attempt: 2,
        body: "{}".into(),
        stage_results: vec![stage_result()],
        remaining: TIMEOUT,
        granted: true,
        stream: true,
    }
}

fn stage_result() -> crate::claim::StageResult {
    crate::claim::StageResult {
        stage: "encode".into(),
        body: "[1]".into(),
    }
}

fn remote(remainder: &Remainder) -> Remote {
    Remote {
        finish: Finish::NotRun {
            reason: "full".into(),
            retry_after: Some(Duration::from_millis(1500)),
        },
        stage_results: remainder.stage_results.clone(),
        doubtful: true,
        usage: Usage::default(),
    }
}

struct Pair {
    near: Net,
    far: Net,
    host: Arc<FakeHost>,
    cancelled: flume::Receiver<id::Attempt>,
    called: flume::Receiver<Call>,
}

fn open(name: &str, address: &str) -> Net {
    let recorder = Recorder::new(name.into(), Arc::new(clock::System::new()));
    let options = Options {
        address: address.into(),
        daemon: name.into(),
        recorder: Arc::new(recorder),
        seed: 1,
    };
    Net::open(options).unwrap()
}

impl Pair {
    fn new(tokens: u32, waits: bool) -> Self {
        let (cancelled, cancels) = flume::unbounded();
        let (called, calls) = flume::unbounded();
        let host = Arc::new(FakeHost {
            tokens,
            waits,
            relays: Mutex::default(),
            cancelled,
            called,
        });
        let pair = Self {
            near: open("near", "127.0.0.1:0"),
            far: open("far", "127.0.0.1:0"),
            host: host.clone(),
            cancelled: cancels,
            called: calls,
        };
        pair.far.set_host(host);
        pair
    }

    fn address(&self) -> String {
        self.far.address().to_string()
    }
}

struct Echo;

impl Handler for Echo {
    fn handle(&self, from: &id::Daemon, body: &[u8]) -> std::result::Result<Vec<u8>, String> {
        match body {
            b"bad" => Err("bad body".into()),
            body => Ok([from.as_bytes(), body].concat()),
        }
    }
}

#[test]
fn ask_reaches_handler_of_topic() {
    let pair = Pair::new(0, false);
    pair.far.set_handler(Topic::Claim, Arc::new(Echo));
    let ask = |topic, body: &[u8]| pair.near.ask(&pair.address(), topic, body, TIMEOUT);
    assert_eq!(ask(Topic::Claim, b"!").unwrap(), b"near!");
    assert!(matches!(ask(Topic::Claim, b"bad"), Err(Error::Lost { .. })));
    assert!(matches!(ask(Topic::Config, b"!"), Err(Error::Lost { .. })));
}

#[test]
fn ask_unreachable_is_not_sent() {
    let pair = Pair::new(0, false);
    let result = pair.near.ask("127.0.0.1:1", Topic::Claim, b"", TIMEOUT);
    assert!(matches!(result, Err(Error::NotSent { .. })));
}

#[test]
fn forward_returns_tokens_and_answer() {
    let pair = Pair::new(100, false);
    let mut tokens = Vec::new();
    let result = pair.near.forward(&pair.address(), "e", &call(), &mut |t| {
        tokens.push(t);
        Ok(())
    });
    let mut answered = result.unwrap();
    assert!(answered.usage.link_bytes > 100);
    answered.usage.link_bytes = 0;
    assert_eq!(answered, answer(&call()));
    assert_eq!(tokens, (0..100).map(token).collect::<Vec<_>>());
    assert_eq!(pair.called.recv_timeout(TIMEOUT).unwrap(), call());
}

#[test]
fn forward_keeps_error_kind() {
    let pair = Pair::new(0, false);
    let result = pair
        .near
        .forward(&pair.address(), "refuses", &call(), &mut |_| Ok(()));
    let refused = matches!(result, Err(endpoint::Error::Refused { leaving: true, .. }));
    assert!(refused);
    let result = pair
        .near
        .forward("127.0.0.1:1", "e", &call(), &mut |_| Ok(()));
    assert!(result.unwrap_err().is_not_run());
}

#[test]
fn forward_cancelled_is_cancelled_at_endpoint() {
    let pair = Pair::new(0, true);
    let calls = pair.called.clone();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            calls.recv_timeout(TIMEOUT).unwrap();
            pair.near.cancel(call().request, call().attempt);
        });
        let result = pair
            .near
            .forward(&pair.address(), "e", &call(), &mut |_| Ok(()));
        assert!(matches!(result, Err(endpoint::Error::Lost { .. })));
    });
    assert_eq!(pair.cancelled.recv_timeout(TIMEOUT).unwrap(), 3);
}

#[test]
fn forward_cut_is_lost_then_not_sent() {
    let pair = Pair::new(0, true);
    let calls = pair.called.clone();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            calls.recv_timeout(TIMEOUT).unwrap();
            pair.near.cut(&pair.address(), TIMEOUT);
        });
        let result = pair
            .near
            .forward(&pair.address(), "e", &call(), &mut |_| Ok(()));
        let error = result.unwrap_err();
        assert!(matches!(error, endpoint::Error::Lost { .. }));
        assert!(!error.is_possible_crash());
    });
    let again = pair
        .near
        .forward(&pair.address(), "e", &call(), &mut |_| Ok(()));
    assert!(again.unwrap_err().is_not_run());
}

#[test]
fn run_remainder_returns_tokens_and_result() {
    let pair = Pair::new(0, false);
    let mut tokens = Vec::new();
    let result = pair
        .near
        .run_remainder(&pair.address(), &remainder(), &mut |t| {
            tokens.push(t);
            Ok(())
        });
    let mut ended = result.unwrap();
    assert!(ended.usage.link_bytes > 100);
    ended.usage.link_bytes = 0;
    assert_eq!(ended, remote(&remainder()));
    assert_eq!(tokens, [token(0), token(1)]);
}

#[test]
fn run_remainder_sink_error_is_lost() {
    let pair = Pair::new(0, true);
    let result = pair
        .near
        .run_remainder(&pair.address(), &remainder(), &mut |_| {
            Err(endpoint::Error::Lost {
                step: "call",
                peer: "caller".into(),
                reason: "gone".into(),
            })
        });
    assert!(matches!(result, Err(Error::Lost { .. })));
    assert_eq!(pair.host.relays.lock().len(), 1);
}
