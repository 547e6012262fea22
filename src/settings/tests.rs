//! Tests of layers, checks and their messages.

use insta::assert_snapshot;

use super::{Override, parse, plan, plans};

const POLDMAA: &str = include_str!("../../samples/poldmaa.toml");
const VIJESTI: &str = include_str!("../../samples/vijesti.toml");

fn refusal(text: &str) -> String {
    parse("entry.toml", text, &[]).unwrap_err().to_string()
}

fn refusal_replacing(from: &str, to: &str) -> String {
    assert!(POLDMAA.contains(from));
    refusal(&POLDMAA.replacen(from, to, 1))
}

#[test]
fn parse_samples() {
    for text in [POLDMAA, VIJESTI] {
        let settings = parse("sample", text, &[]).unwrap();
        assert_eq!(settings.workspaces.len(), 5);
        assert_eq!(plans(&settings).len(), 4);
    }
}

#[test]
fn plans_know_engines() {
    let settings = parse("sample", POLDMAA, &[]).unwrap();
    let plans = plans(&settings);
    let generates: Vec<bool> = plans["menu"].stages.iter().map(|s| s.generates).collect();
    assert_eq!(generates, [false, false, false, true, false]);
    assert!(!plans["order"].stages[1].repeatable);
    assert_eq!(
        plan::region_of(&settings, "tartu-a").as_deref(),
        Some("tartu")
    );
}

#[test]
fn parse_unknown_key() {
    assert_snapshot!(
        refusal_replacing("callers-address", "caller-address"),
        @"entry.toml: line 6: daemon.caller-address: unknown field `caller-address`, expected one of `availability-zone`, `callers-address`, `name`, `operators-address`, `operators-key`, `peers-address`, `statsd-address`"
    );
}

#[test]
fn parse_wrong_type() {
    assert_snapshot!(refusal_replacing("streams = 32", "streams = \"many\""), @r#"entry.toml: line 23: claims.streams: invalid type: string "many", expected u32"#);
}

#[test]
fn parse_out_of_range() {
    assert_snapshot!(refusal_replacing("streams = 32", "streams = 0"), @"entry.toml: line 23: claims.streams: must be 1 to 4096");
}

#[test]
fn parse_syntax() {
    assert_snapshot!(refusal_replacing("streams = 32", "streams = = 32"), @"entry.toml: line 23: extra `=`, expected nothing");
}

#[test]
fn parse_unknown_pool() {
    assert_snapshot!(refusal_replacing("pool = \"billing\"", "pool = \"biling\""), @"entry.toml: line 123: pipelines[0].stages[3].pool: no pool of this name; allowed: menu-model, encoders, rerankers, allergy-registry, orders, packing-line, billing");
}

#[test]
fn parse_unknown_zone() {
    assert_snapshot!(
        refusal_replacing("availability-zone = \"tallinn-a\"", "availability-zone = \"narva-a\""),
        @"entry.toml: line 5: daemon.availability-zone: no zone of this name; allowed: tallinn-a, tallinn-b, tartu-a"
    );
}

#[test]
fn parse_host_name() {
    assert_snapshot!(
        refusal_replacing("http://127.0.0.1:7000/log", "http://log.example/log"),
        @"entry.toml: line 14: platform.log-url: expected http:// with an IP number and port"
    );
}

#[test]
fn parse_short_key() {
    assert_snapshot!(refusal_replacing("change-me-parents", "short"), @"entry.toml: line 91: workspaces[3].key: a key has at least 16 visible ASCII characters");
}

#[test]
fn parse_same_key_twice() {
    assert_snapshot!(
        refusal_replacing("change-me-tartu-schools", "change-me-tallinn-schools"),
        @"entry.toml: line 79: workspaces[1].key: the key belongs to another workspace"
    );
}

#[test]
fn parse_same_name_twice() {
    assert_snapshot!(refusal_replacing("name = \"tartu-a\"", "name = \"tallinn-a\""), @"entry.toml: line 36: zones[2].name: `tallinn-a` is defined twice");
}

#[test]
fn parse_missing_section() {
    assert_snapshot!(refusal("[daemon]\n"), @"entry.toml: line 1: daemon: missing field `availability-zone`");
}

#[test]
fn override_over_file() {
    let layers = [
        Override::from_argument("daemon.name = entry-7").unwrap(),
        Override::from_argument("claims.streams=8").unwrap(),
    ];
    let settings = parse("sample", POLDMAA, &layers).unwrap();
    assert_eq!(settings.daemon.name, "entry-7");
    assert_eq!(settings.claims.streams, 8);
}

#[test]
fn override_argument_over_environment() {
    let vars = [(
        "CYCLAMENRILL__DAEMON__NAME".to_owned(),
        "from-env".to_owned(),
    )];
    let mut layers = Override::from_environment(vars.into_iter());
    let settings = parse("sample", POLDMAA, &layers).unwrap();
    assert_eq!(settings.daemon.name, "from-env");
    layers.push(Override::from_argument("daemon.name=from-argument").unwrap());
    let settings = parse("sample", POLDMAA, &layers).unwrap();
    assert_eq!(settings.daemon.name, "from-argument");
}

#[test]
fn override_names_its_layer() {
    let layers = [Override::from_argument("claims.streams=0").unwrap()];
    let error = parse("sample", POLDMAA, &layers).unwrap_err();
    assert_snapshot!(error.to_string(), @"--set claims.streams: claims.streams: must be 1 to 4096");
}

#[test]
fn override_without_equals() {
    assert_snapshot!(Override::from_argument("claims.streams").unwrap_err(), @"`claims.streams` is not of the form key=value");
}

#[test]
fn parse_absent_section() {
    let settings = parse("sample", POLDMAA, &[]).unwrap();
    assert!(!POLDMAA.contains("[bounds]"));
    assert_eq!(settings.bounds.max_connections, 4096);
    assert_eq!(settings.bounds.head_timeout_ms, 5000);
}
