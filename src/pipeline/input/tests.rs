//! Tests of the input of a stage.

use super::*;

#[test]
fn text_is_json() {
    let stage_results = ["encode", "say \"hi\""].map(|stage| claim::StageResult {
        stage: stage.into(),
        body: "[1]".into(),
    });
    let value: serde_json::Value =
        serde_json::from_str(&text("{\"a\":2}", &stage_results)).unwrap();
    assert_eq!(value["body"]["a"], 2);
    assert_eq!(value["results"]["say \"hi\""][0], 1);
}
