//! Tests of the endpoint client against invalid answers.

use std::time::Duration;

use super::Client;
use crate::endpoint::wire::Line;
use crate::endpoint::{Answer, Call, Error, Result, Service as _, Token, Usage};
use crate::exchange::tests::serve;
use crate::standin::text::tests::call;

const OK: &str = "HTTP/1.1 200 OK\r\n\r\n";

fn long_call() -> Call {
    Call {
        remaining: Duration::from_secs(600),
        ..call("{}")
    }
}

fn answer() -> Answer {
    let call = long_call();
    Answer {
        request: call.request,
        stage: call.stage,
        attempt: call.attempt,
        body: "{}".into(),
        usage: Usage::default(),
        version: None,
    }
}

fn token(index: u32) -> Line {
    Line::Token(Token {
        index,
        text: "soup ".into(),
        version: None,
    })
}

fn lines(lines: &[Line]) -> String {
    let text = lines.iter().map(|l| serde_json::to_string(l).unwrap());
    text.fold(OK.to_owned(), |all, line| all + &line + "\n")
}

fn run(response: String) -> Result<Answer> {
    let address = serve(b"}", response);
    Client::default().call(&address, &long_call(), &mut |_| Ok(()))
}

#[test]
fn call_whole_answer() {
    let response = lines(&[token(0), token(1), Line::Answer(answer())]);
    assert_eq!(run(response).unwrap(), answer());
}

#[test]
fn call_answer_to_another_call_is_lost() {
    let others = [
        Answer {
            request: uuid::Uuid::nil(),
            ..answer()
        },
        Answer {
            stage: "bill".into(),
            ..answer()
        },
        Answer {
            attempt: 9,
            ..answer()
        },
    ];
    for other in others {
        let result = run(lines(&[Line::Answer(other)]));
        assert!(matches!(result, Err(Error::Lost { .. })), "{result:?}");
    }
}

#[test]
fn call_truncated_answer_is_lost() {
    let whole = lines(&[token(0), Line::Answer(answer())]);
    for cut in [OK.len(), OK.len() + 9, whole.len() - 1] {
        let result = run(whole[..cut].to_owned());
        assert!(matches!(result, Err(Error::Lost { .. })), "{result:?}");
    }
}

#[test]
fn call_doubled_or_missing_token_is_lost() {
    for second in [0, 2] {
        let result = run(lines(&[token(0), token(second), Line::Answer(answer())]));
        assert!(matches!(result, Err(Error::Lost { .. })), "{result:?}");
    }
}

#[test]
fn call_error_status_needs_stage_began() {
    let status = |headers: &str| {
        let head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n";
        run(format!("{head}{headers}\r\n{{}}"))
    };
    let refused = status("Stage-Began: no\r\n");
    assert!(matches!(refused, Err(Error::Refused { .. })), "{refused:?}");
    let failed = status("Stage-Began: yes\r\n");
    assert!(matches!(failed, Err(Error::Failed { .. })), "{failed:?}");
    let silent = status("");
    assert!(matches!(silent, Err(Error::Lost { .. })), "{silent:?}");
}

#[test]
fn call_sink_error_ends_call() {
    let address = serve(b"}", lines(&[token(0), Line::Answer(answer())]));
    let stop = Error::Failed {
        step: "relay",
        peer: "caller".into(),
        reason: "gone".into(),
    };
    let result = Client::default().call(&address, &long_call(), &mut |_| Err(stop.clone()));
    assert_eq!(result, Err(stop));
}
