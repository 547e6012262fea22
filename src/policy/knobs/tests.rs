//! Tests of the knobs and their limits.

use super::*;

#[test]
fn check_defaults_pass() {
    Knobs::default().check().unwrap();
}

#[test]
fn check_outside_names_knob() {
    let knobs = Knobs {
        hedge_ratio: 0.2,
        ..Knobs::default()
    };
    let error = knobs.check().unwrap_err().to_string();
    assert_eq!(error, "knob hedge-ratio is 0.2, not between 0 and 0.05");
}

#[test]
fn check_nan_fails() {
    let knobs = Knobs {
        weight: f64::NAN,
        ..Knobs::default()
    };
    assert!(knobs.check().is_err());
}

#[test]
fn serde_partial_takes_defaults() {
    let knobs: Knobs = serde_json::from_str(r#"{"weight": 2.0}"#).unwrap();
    assert_eq!(knobs.weight, 2.0);
    assert_eq!(knobs.max_queue, Knobs::default().max_queue);
}

#[test]
fn resolver_exception_wins_until_cleared() {
    let mut resolver = Resolver::default();
    let scope = Scope::Pool("menu-model".into());
    let knobs = Knobs {
        max_queue: 7,
        ..Knobs::default()
    };
    resolver.set(&scope, knobs);
    assert_eq!(resolver.pool("menu-model").max_queue, 7);
    assert_eq!(
        resolver.pool("orders").max_queue,
        Knobs::default().max_queue
    );
    resolver.clear(&scope);
    assert_eq!(
        resolver.pool("menu-model").max_queue,
        Knobs::default().max_queue
    );
}
