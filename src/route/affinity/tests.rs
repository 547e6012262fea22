//! Tests of prefix affinity.

use super::*;

fn name(n: usize) -> id::Endpoint {
    format!("e{n}").into()
}

#[test]
fn share_longest_prefix_counts() {
    let mut index = Index::default();
    index.apply(&name(1), 1, &[10, 20], &[]);
    assert_eq!(index.share("e1", &[10, 20, 30, 40]), 0.5);
    assert_eq!(index.share("e2", &[10]), 0.0);
    assert_eq!(index.holders(&[10, 20, 30]), [name(1)]);
}

#[test]
fn apply_gap_forgets_what_was_held() {
    let mut index = Index::default();
    index.apply(&name(1), 1, &[10], &[]);
    index.apply(&name(1), 3, &[20], &[]);
    assert_eq!(index.share("e1", &[10]), 0.0);
    assert_eq!(index.share("e1", &[20]), 1.0);
}

#[test]
fn apply_old_event_is_ignored() {
    let mut index = Index::default();
    index.apply(&name(1), 5, &[10], &[]);
    index.apply(&name(1), 4, &[], &[10]);
    assert_eq!(index.share("e1", &[10]), 1.0);
}

#[test]
fn presume_many_is_bounded() {
    let mut index = Index::default();
    for prefix in 0..10_000 {
        index.presume(&name(1), &[prefix]);
    }
    assert!(index.len() <= MAX_PREFIXES);
}

#[test]
fn saving_stale_entries_is_zero() {
    let mut index = Index::default();
    for _ in 0..200 {
        index.record(true, 1.0);
        index.record(false, 1.0);
    }
    assert_eq!(index.saving(), 0.0);
}

#[test]
fn saving_true_hits_is_learnt() {
    let mut index = Index::default();
    for _ in 0..200 {
        index.record(true, 0.5);
        index.record(false, 1.0);
    }
    assert!((index.saving() - 0.5).abs() < 1e-9);
}
