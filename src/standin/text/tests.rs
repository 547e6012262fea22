//! Tests of the answers.

use std::time::Duration;

use super::{Body, Flaw, Input, body, check, check_tokens, tokens};
use crate::endpoint::Call;

pub(crate) fn call(input: &str) -> Call {
    Call {
        request: uuid::Uuid::from_u128(1),
        workspace: "school".into(),
        pipeline: "order".into(),
        stage: "draft".into(),
        attempt: 1,
        key: Some("k".into()),
        remaining: Duration::from_secs(3),
        priority: 4,
        input: input.into(),
        max_tokens: 100,
        resume: Vec::new(),
        version: None,
    }
}

fn answer(call: &Call) -> String {
    let input = Input::read(&call.input);
    let tokens = tokens(&input, call, Some("v1"));
    body(&input, call, Some("v1"), &tokens).to_string()
}

fn chain(marker: &str) -> (String, String) {
    let first = answer(&call(&format!(r#"{{"marker":"{marker}","tokens":5}}"#)));
    let input = format!(r#"{{"body":{{"marker":"{marker}"}},"parts":[{first}]}}"#);
    let mut second = call(&input);
    second.stage = "confirm".into();
    (first, answer(&second))
}

#[test]
fn check_whole_answer_passes() {
    let (_, last) = chain("m");
    assert_eq!(
        check(&last, "m", &["draft".into(), "confirm".into()]),
        Ok(())
    );
}

#[test]
fn check_other_marker_is_crossed() {
    let (_, last) = chain("other");
    let stages = ["draft".into(), "confirm".into()];
    assert_eq!(check(&last, "m", &stages), Err(Flaw::Crossed));
}

#[test]
fn check_missing_stage_is_lost() {
    let (first, _) = chain("m");
    let stages = ["draft".into(), "confirm".into()];
    assert_eq!(check(&first, "m", &stages), Err(Flaw::Lost));
}

#[test]
fn check_truncated_or_doubled_text_is_lost() {
    let (first, _) = chain("m");
    let whole: Body = serde_json::from_str(&first).unwrap();
    let (head, tail) = whole.text.split_at(whole.text.len() - 4);
    for text in [head.to_owned(), format!("{head}{tail}{tail}")] {
        let flawed = Body {
            text: text.into(),
            ..whole.clone()
        };
        let text = serde_json::to_string(&flawed).unwrap();
        assert_eq!(check(&text, "m", &["draft".into()]), Err(Flaw::Lost));
    }
}

#[test]
fn read_mixed_markers_is_crossed() {
    let (first, _) = chain("other");
    let input = format!(r#"{{"body":{{"marker":"m"}},"parts":[{first}]}}"#);
    assert!(Input::read(&input).crossed);
}

#[test]
fn read_embedded_text_is_followed() {
    let (first, _) = chain("m");
    let text = serde_json::to_string(&first).unwrap();
    let input = Input::read(&format!(r#"{{"body":{{"marker":"m"}},"parts":[{text}]}}"#));
    assert_eq!(input.seen, ["draft".into()]);
}

#[test]
fn check_tokens_streamed() {
    let call = call(r#"{"marker":"m","tokens":5}"#);
    let list = tokens(&Input::read(&call.input), &call, Some("v1"));
    let text: String = list.iter().map(|t| t.text.as_ref()).collect();
    let check = |text: &str| check_tokens(text, "m", &["draft".into()], &["v1".into()]);
    assert_eq!(check(&text), Ok(()));
    assert_eq!(check(&format!("{text}{text}")), Err(Flaw::Lost));
    assert_eq!(check(text.split_at(7).1), Err(Flaw::Lost));
}
