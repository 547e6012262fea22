//! Tests of the load generator.

use gumdrop::Options;

use super::{Arguments, USAGE, run};
use crate::load::drive::drive;

fn arguments(line: &str) -> Arguments {
    let words: Vec<&str> = line.split_whitespace().collect();
    Arguments::parse_args_default(&words).unwrap()
}

#[test]
fn run_missing_address_is_usage() {
    assert_eq!(run(&arguments("--pipeline order")), USAGE);
}

#[test]
fn schedule_zero_rate_is_an_error() {
    assert!(arguments("--rate 0").schedule().is_err());
    assert!(arguments("--seconds -1").schedule().is_err());
    assert!(arguments("--rate 5").schedule().is_ok());
}

#[test]
fn drive_runs_every_job_in_order() {
    let arrivals = vec![std::time::Duration::ZERO; 100];
    let results = drive(&arrivals, 8, &|index| index);
    let results: Vec<usize> = results.into_iter().map(|(_, r)| r).collect();
    assert_eq!(results, (0..100).collect::<Vec<_>>());
}
