//! Jobs of many pieces.

use super::*;

/// What becomes of a job that has just been submitted.
fn submit(pieces: &[usize], target: u64) -> Option<Refusal> {
    let mut site = Site::new(&[("a1", "a"), ("a2", "a")], &[("e", "a")]);
    let job = site.job(pieces, target);
    site.submit(job);
    refusals(&site.actions()).pop().map(|(_, refusal)| refusal)
}

/// Guards against a planner that allocates whatever a daemon of an earlier version asks for.
#[test]
fn job_of_too_many_pieces_refused_for_good() {
    for pieces in [&[65_535][..], &[4_000, 97], &[usize::MAX, usize::MAX]] {
        let refusal = submit(pieces, 600_000).expect("refused");
        assert!(refusal.is_final, "{pieces:?}");
    }
}

/// Guards against a forecast that counts one call for any number of pieces. Two endpoints take 10 pieces in 280 ms each,
/// and the client waits for 6 s.
#[test]
fn job_of_more_calls_than_its_time_refused() {
    assert_eq!(submit(&[200], 400), None, "ten rounds");
    for pieces in [500, 1_000, 4_096] {
        assert!(submit(&[pieces], 400).is_some(), "{pieces} pieces");
    }
}
