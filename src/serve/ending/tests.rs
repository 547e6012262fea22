use std::time::Duration;

use super::*;

const SENT: Sent = Sent {
    at: Duration::from_secs(10),
    born: 7,
};

/// An account of a process that was there some milliseconds after the request was sent.
fn account(since_ms: u64, born: Option<u64>) -> Account {
    let since = SENT.at + Duration::from_millis(since_ms);
    Account {
        since,
        asked_at: since + Duration::from_secs(5),
        is_after_loss: false,
        is_expected: true,
        born,
    }
}

/// Guards against taking the next process of an endpoint for the one that wrote an answer.
#[test]
fn account_of_other_process_refused() {
    let born = SENT.born;
    // A connection from before the request is that of the process which took it.
    assert!(SENT.is_taken_by(&account(0, None)));
    assert!(SENT.is_taken_by(&account(900, None)));
    // Later the endpoint may be back.
    assert!(!SENT.is_taken_by(&account(1_100, None)));
    assert!(!SENT.is_taken_by(&account(60_000, Some(born + 1))));
    assert!(SENT.is_taken_by(&account(60_000, Some(born))));
    let after_loss = Account {
        is_after_loss: true,
        ..account(300, None)
    };
    assert!(!SENT.is_taken_by(&after_loss));
    let later = Sent {
        at: after_loss.since,
        ..SENT
    };
    assert!(later.is_taken_by(&after_loss));
    let foreign = Account {
        is_expected: false,
        ..account(0, Some(born))
    };
    assert!(!SENT.is_taken_by(&foreign));
    // What was not listed cannot be compared.
    let unlisted = Sent { born: 0, ..SENT };
    assert!(!unlisted.is_taken_by(&account(60_000, Some(0))));
}
