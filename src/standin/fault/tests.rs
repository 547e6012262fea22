//! Tests of the script interface of faults.

use super::{Fault, Kind};

#[test]
fn fault_reads_the_script_interface() {
    let text = r#"{"kind":"endpoint-crash","target":"orders-1","for_ms":500}"#;
    let fault: Fault = serde_json::from_str(text).unwrap();
    assert_eq!(fault.kind, Kind::EndpointCrash);
    assert_eq!(fault.length().as_millis(), 500);
}

#[test]
fn fault_target_and_length_may_be_missing() {
    let fault: Fault = serde_json::from_str(r#"{"kind":"log-outage"}"#).unwrap();
    assert_eq!(fault.target, None);
    assert_eq!(fault.length(), super::DEFAULT_LENGTH);
}

#[test]
fn fault_unknown_kind_is_an_error() {
    assert!(serde_json::from_str::<Fault>(r#"{"kind":"flood"}"#).is_err());
}
