use super::*;

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn life(endpoint: &str) -> Life {
    Life {
        endpoint: endpoint.into(),
        born: 1,
        service: "s".into(),
    }
}

fn suspects() -> Suspects {
    Suspects {
        content: "d".into(),
        parts: vec!["a".into()],
    }
}

/// What happens to each endpoint after it got the request.
struct Case {
    name: &'static str,
    /// When it answers another request.
    heard_at: Option<u64>,
    /// What the list says of it 4 s after the request.
    listing: Listing,
    is_refused: bool,
}

const CASES: [Case; 6] = [
    Case {
        name: "gone without an answer",
        heard_at: None,
        listing: Listing::Ended,
        is_refused: true,
    },
    Case {
        name: "answered what it had begun before",
        heard_at: Some(900),
        listing: Listing::Ended,
        is_refused: true,
    },
    Case {
        name: "answered as a new process whose entry came later",
        heard_at: Some(1_500),
        listing: Listing::Ended,
        is_refused: true,
    },
    Case {
        name: "answered long before it ended",
        heard_at: Some(1_000),
        listing: Listing::Ended,
        is_refused: false,
    },
    Case {
        name: "cut off, or slow",
        heard_at: None,
        listing: Listing::Present,
        is_refused: false,
    },
    Case {
        name: "about to leave",
        heard_at: None,
        listing: Listing::Leaving,
        is_refused: false,
    },
];

fn play(case: &Case, endpoints: &[&str]) -> Evidence {
    let mut evidence = Evidence::new(&"f".into());
    for endpoint in endpoints {
        evidence.unanswered(&suspects(), life(endpoint), ms(0));
        if let Some(heard_at) = case.heard_at {
            evidence.heard(&(*endpoint).into(), ms(heard_at));
        }
    }
    evidence.observe(|_| Listing::Present, ms(3_500));
    evidence.observe(|_| case.listing, ms(4_000));
    evidence.update(ms(4_200));
    evidence
}

/// Guards against a cut, a slow endpoint or a planned leave that is taken for an end, and the other way round.
#[test]
fn observe_blames_only_ended_endpoints() {
    for case in CASES {
        let evidence = play(&case, &["e1", "e2", "e3"]);
        let refusal = evidence.refusal(&suspects(), ms(4_200));
        assert_eq!(refusal.is_some(), case.is_refused, "{}", case.name);
    }
}

#[test]
fn observe_two_silent_ends_not_refused() {
    let evidence = play(&CASES[0], &["e1", "e2"]);
    assert!(evidence.refusal(&suspects(), ms(4_200)).is_none());
    assert!(
        evidence.trials(&suspects()).is_empty(),
        "parts are not blamed"
    );
}

#[test]
fn observe_first_silent_end_shared() {
    let evidence = play(&CASES[0], &["e1"]);
    let records = evidence.unsent(10, ms(4_200));
    assert_eq!(records.len(), 1);
    assert!(records[0].is_silent);
}
