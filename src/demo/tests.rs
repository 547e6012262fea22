//! Tests of the demo's arguments; whole runs are in `tests/integration`.

use gumdrop::Options;

use super::Arguments;

#[test]
fn arguments_defaults() {
    let arguments = Arguments::parse_args_default::<&str>(&[]).unwrap();
    assert_eq!(arguments.seed, 1);
    assert!(!arguments.hold);
}

#[test]
fn arguments_hold_json() {
    let arguments = Arguments::parse_args_default(&["--hold", "--json", "--seed", "7"]).unwrap();
    assert!(arguments.hold && arguments.json);
    assert_eq!(arguments.seed, 7);
}
