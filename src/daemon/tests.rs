//! The thread pool, the gate and the relays.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;

use super::core::Peer;
use super::gate::Gate;
use super::pool::{Job, ThreadPool};
use super::watch::relays;
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
    let pool = ThreadPool::new(2);
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
    assert_eq!(gate.remaining(), None);
    gate.pause(Duration::from_secs(2));
    gate.pause(Duration::from_secs(1));
    assert_eq!(gate.remaining(), Some(Duration::from_secs(2)));
    clock.advance(Duration::from_secs(2));
    assert_eq!(gate.remaining(), None);
}

fn fleet(count: usize) -> Vec<Peer> {
    let peer = |number: usize| Peer {
        address: format!("10.0.0.{number}:7000"),
        region: format!("r{}", number % 3).into(),
    };
    (0..count).map(peer).collect()
}

#[test]
fn relays_are_few_and_spread() {
    let mut used = IndexSet::new();
    for daemon in 0..50 {
        let kept = relays(&format!("d{daemon}"), fleet(30));
        for region in ["r0", "r1", "r2"] {
            let of_region = kept.iter().filter(|p| *p.region == *region);
            assert_eq!(of_region.count(), 3);
        }
        used.extend(kept.into_iter().map(|p| p.address));
    }
    assert_eq!(used.len(), 30, "every daemon is the relay of some other");
}

#[test]
fn relays_keep_others_when_one_leaves() {
    let before = relays("d", fleet(30));
    let mut rest = fleet(30);
    rest.retain(|p| p.address != before[0].address);
    let after = relays("d", rest);
    let kept = before
        .iter()
        .filter(|b| after.iter().any(|a| a.address == b.address));
    assert_eq!(kept.count(), 8);
}

#[test]
fn relays_of_small_fleet_are_all() {
    assert_eq!(relays("d", fleet(2)).len(), 2);
    assert!(relays("d", Vec::new()).is_empty());
}
