//! Jobs of many pieces or parts.

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

/// Guards against jobs of other daemons whose prompts take the planner's memory together, and against refusing ordinary
/// ones beside them.
#[test]
fn jobs_of_many_parts_bounded_together() {
    let mut site = Site::new(&[], &[("e", "a"), ("f", "a")]);
    let mut submit = |parts: usize| {
        let part = |number: usize| PromptPart {
            id: number.to_string().as_str().into(),
            tokens: 1,
        };
        let job = Job {
            prompt_parts: (0..parts).map(part).collect(),
            ..site.job(&[], 4_000)
        };
        site.submit(job);
        grants(&site.actions()).len()
    };
    // Both engines together take 256 requests.
    let granted: usize = (0..250).map(|_| submit(1_600)).sum();
    assert!(granted * 1_600 <= MAX_PLANNED_PARTS + 1_600, "{granted}");
    assert_eq!(submit(3), 1);
}
