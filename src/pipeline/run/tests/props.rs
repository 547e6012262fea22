//! Property tests: invariants under random orders of events.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

#[derive(Clone, Debug)]
enum Choice {
    Claim(u8),
    Answer(usize),
    Fail(usize, u8),
    Token(usize),
    Crossed(usize),
    Wait(u16),
    Disconnect,
}

fn choice() -> impl Strategy<Value = Choice> {
    prop_oneof![
        (0..5u8).prop_map(Choice::Claim),
        (0..4usize).prop_map(Choice::Answer),
        (0..4usize, 0..4u8).prop_map(|(index, kind)| Choice::Fail(index, kind)),
        (0..4usize).prop_map(Choice::Token),
        (0..4usize).prop_map(Choice::Crossed),
        (1..400u16).prop_map(Choice::Wait),
        Just(Choice::Disconnect),
    ]
}

/// Applies a choice to a call that the run sent, newest first.
fn apply(b: &mut Harness, choice: &Choice, sent: &mut IndexMap<id::Attempt, u32>) {
    let calls = b.calls();
    let pick = |index: &usize| calls.iter().rev().nth(*index).cloned();
    match choice {
        Choice::Claim(kind) => {
            let verdict = match kind {
                0 => Verdict::Unknown,
                1 => Verdict::Answered("1".into()),
                _ => Verdict::Granted,
            };
            b.step(Event::Claimed(verdict));
        }
        Choice::Answer(index) => {
            if let Some(call) = pick(index) {
                b.answer(&call);
            }
        }
        Choice::Fail(index, kind) => {
            if let Some(call) = pick(index) {
                let error = [refused(), failed(), lost(), refused()][usize::from(*kind)].clone();
                b.fail(&call, error);
            }
        }
        Choice::Token(index) => {
            if let Some(call) = pick(index) {
                let start = u32::try_from(call.resume.len()).unwrap();
                let next = sent.entry(call.attempt).or_insert(start);
                b.token(&call, *next);
                *next += 1;
            }
        }
        Choice::Crossed(index) => {
            if let Some(call) = pick(index) {
                let mut answer = answer_to(&call);
                answer.attempt += 1000;
                b.step(Event::Ended(call.attempt, Ok(answer)));
            }
        }
        Choice::Wait(by) => {
            b.wait(Duration::from_millis(u64::from(*by)));
        }
        Choice::Disconnect => {
            b.step(Event::CallerDisconnected);
        }
    }
}

/// Checks that a non-repeatable stage is sent again only after a refusal.
fn check_non_repeatable(b: &Harness, refused: &[id::Attempt]) {
    for stage in b.run.plan.stages.iter().filter(|s| !s.repeatable) {
        let calls = b.calls().into_iter().filter(|c| c.stage == stage.name);
        let effective = calls.filter(|c| !refused.contains(&c.attempt)).count();
        assert!(effective <= 1, "{} ran {effective} times", stage.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn step_keeps_invariants_in_any_order(
        stages in prop_oneof![Just("e"), Just("g"), Just("eo"), Just("ego"), Just("oe"), Just("ogo")],
        choices in prop::collection::vec(choice(), 1..60),
        hedging in any::<bool>(),
    ) {
        let mut b = Harness::new(stages);
        b.policy.is_hedging = hedging;
        b.step(Event::Start);
        let mut sent = IndexMap::new();
        let mut not_run = Vec::new();
        let mut ended = Vec::new();
        for choice in &choices {
            if let Choice::Answer(index) | Choice::Fail(index, _) | Choice::Crossed(index) = choice
            {
                let call = b.calls().into_iter().rev().nth(*index);
                // An endpoint ends each call once.
                let Some(call) = call.filter(|c| !ended.contains(&c.attempt)) else {
                    continue;
                };
                ended.push(call.attempt);
                if matches!(choice, Choice::Fail(_, 0 | 3)) {
                    not_run.push(call.attempt);
                }
            }
            apply(&mut b, choice, &mut sent);
        }
        b.wait(DEADLINE);
        b.step(Event::Claimed(Verdict::Granted));
        b.wait(LINGER_TIMEOUT);
        let finish = b.finish();
        prop_assert!(b.run.is_done());
        prop_assert_eq!((b.policy.in_flight, b.policy.requests_ended), (0, 1));
        prop_assert_eq!(b.run.next_wake(), None);
        check_non_repeatable(&b, &not_run);
        let shown = b.shown();
        let expected: Vec<u32> = (0..u32::try_from(shown.len()).unwrap()).collect();
        prop_assert_eq!(shown, expected);
        prop_assert!(b.settled().len() <= 1);
        let non_repeatable = b.calls().into_iter().filter(|c| c.stage.starts_with('o'));
        let effective = non_repeatable.filter(|c| !not_run.contains(&c.attempt)).count();
        if is_not_run(&finish) {
            let begun = b.calls().into_iter().filter(|c| !not_run.contains(&c.attempt));
            prop_assert_eq!(begun.count(), 0);
        }
        if b.settled() == [Outcome::Released] {
            prop_assert_eq!(effective, 0);
        }
        if effective > 0 {
            prop_assert_eq!(b.settled().len(), 1);
        }
    }
}
