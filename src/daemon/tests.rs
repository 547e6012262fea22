//! The pool of threads and the gate.

use std::sync::Arc;
use std::time::Duration;

use super::gate::Gate;
use super::pool::{Job, Pool};
use crate::clock::Manual;

fn blocking(gate: &flume::Receiver<()>, done: &flume::Sender<()>) -> Job {
    let (gate, done) = (gate.clone(), done.clone());
    Box::new(move || {
        let _ = gate.recv();
        let _ = done.send(());
    })
}

#[test]
fn run_is_bounded_and_reuses_threads() {
    let pool = Pool::new(2);
    let (open, gate) = flume::unbounded();
    let (done, ended) = flume::unbounded();
    for _ in 0..2 {
        assert!(pool.run(blocking(&gate, &done)).is_ok());
    }
    assert!(pool.run(blocking(&gate, &done)).is_err());
    for _ in 0..2 {
        open.send(()).unwrap();
        ended.recv().unwrap();
    }
    // A thread is idle soon after its job has ended.
    while pool.run(blocking(&gate, &done)).is_err() {
        std::thread::yield_now();
    }
    open.send(()).unwrap();
    ended.recv().unwrap();
    assert_eq!(pool.threads(), 2);
}

#[test]
fn pause_ends_by_itself() {
    let clock = Arc::new(Manual::default());
    let gate = Gate::new(clock.clone());
    assert_eq!(gate.left(), None);
    gate.pause(Duration::from_secs(2));
    gate.pause(Duration::from_secs(1));
    assert_eq!(gate.left(), Some(Duration::from_secs(2)));
    clock.advance(Duration::from_secs(2));
    assert_eq!(gate.left(), None);
}
