//! Tests of the journal.

use super::Journal;
use crate::endpoint::Usage;
use crate::standin::text::{Input, tests::call};

#[test]
fn to_json_lines_names_the_script_interface() {
    let journal = Journal::default();
    let call = call(r#"{"marker":"m"}"#);
    let began = journal.begin(&"orders-1".into(), &call, &Input::read(&call.input));
    assert_eq!(journal.running(), 1);
    journal.end(began, "answered", &Usage::default());
    assert_eq!(journal.running(), 0);
    let text = journal.to_json_lines(0);
    let lines: Vec<serde_json::Value> = text
        .lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect();
    assert_eq!(lines[0]["event"], "began");
    assert_eq!(lines[1]["event"], "ended");
    assert_eq!(lines[1]["result"], "answered");
    assert_eq!(lines[1]["idempotency_key"], "k");
    assert_eq!(lines[1]["marker"], "m");
}
