//! Tests of the arguments of the stand-ins.

use super::{Entry, FAILURE, USAGE, run};

fn code(line: &str) -> i32 {
    let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    run(&words)
}

#[test]
fn run_help_and_usage() {
    assert_eq!(code("--help"), 0);
    assert_eq!(code("fleet --help"), 0);
    assert_eq!(code("flood"), USAGE);
    assert_eq!(code("fleet --daemon entry-1"), USAGE);
}

#[test]
fn run_wrong_names_fail() {
    assert_eq!(code("fleet --listen nowhere"), FAILURE);
    assert_eq!(code("fleet --listen 127.0.0.1:0 --deployment x"), FAILURE);
    assert_eq!(code("endpoint --kind oracle"), FAILURE);
}

#[test]
fn entry_reads_its_three_parts() {
    let entry: Entry = "entry-1,127.0.0.1:8082,tallinn-a".parse().unwrap();
    assert_eq!(entry.vm().zone.as_ref(), "tallinn-a");
    assert!("entry-1,nowhere,tallinn-a".parse::<Entry>().is_err());
}
