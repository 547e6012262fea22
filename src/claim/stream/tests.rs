//! Tests of one claim stream: events in, actions out.

use std::time::{Duration, UNIX_EPOCH};

use super::super::writer::Receipt;
use super::super::{Claim, Outcome, Verdict, record};
use super::{Action, Event, Fetch, LONG_POLL, Now, OUTAGE_AFTER, Stream};
use crate::platform::{Page, Record};
use crate::settings;

const EPOCH: Duration = Duration::from_secs(1_700_000_000);
const SECOND: Duration = Duration::from_secs(1);

fn now(mono: Duration) -> Now {
    Now {
        mono,
        wall: UNIX_EPOCH + EPOCH + mono,
    }
}

fn claim(number: u8, key: u8) -> Claim {
    let ms = record::unix_millis(UNIX_EPOCH + EPOCH);
    let key = uuid::Builder::from_unix_timestamp_millis(ms, &[key; 10]).into_uuid();
    Claim {
        workspace: "w".into(),
        key: key.to_string().into(),
        digest: "d".into(),
        request: uuid::Uuid::from_u128(number.into()),
        issued: None,
        remaining: 4 * SECOND,
    }
}

fn page(records: &[Vec<u8>]) -> Event {
    let records: Vec<Record> = (0..)
        .zip(records)
        .map(|(offset, body)| Record {
            offset,
            body: body.clone(),
        })
        .collect();
    Event::Read(Some(Page {
        first: 0,
        end: records.len() as u64,
        records,
    }))
}

fn appended(actions: &[Action]) -> Option<Vec<u8>> {
    actions.iter().find_map(|action| match action {
        Action::Append(body) => Some(body.clone()),
        _ => None,
    })
}

fn decided(actions: &[Action]) -> Option<(Verdict, bool)> {
    actions.iter().find_map(|action| match action {
        Action::Decide(_, verdict, is_in_doubt) => Some((verdict.clone(), *is_in_doubt)),
        _ => None,
    })
}

fn stream() -> Stream {
    Stream::new("a".into(), &settings::Claims::default())
}

/// Submits a claim and returns the appended record.
fn append_claim(stream: &mut Stream, claim: Claim) -> Vec<u8> {
    stream.step(Event::Claim(claim, "a".into()), now(SECOND));
    appended(&stream.step(page(&[]), now(SECOND))).unwrap()
}

#[test]
fn step_grants_only_after_read_back() {
    let mut stream = stream();
    let body = append_claim(&mut stream, claim(1, 1));
    let done = stream.step(Event::Appended(Receipt::Done), now(SECOND));
    assert_eq!(decided(&done), None);
    let read = stream.step(page(&[body]), now(SECOND));
    assert_eq!(decided(&read), Some((Verdict::Granted, false)));
}

#[test]
fn step_read_resolves_unknown_append() {
    let mut stream = stream();
    let body = append_claim(&mut stream, claim(1, 1));
    let unknown = stream.step(Event::Appended(Receipt::Unknown), now(2 * SECOND));
    assert_eq!(appended(&unknown), None);
    let read = stream.step(page(&[body]), now(2 * SECOND));
    assert_eq!(decided(&read), Some((Verdict::Granted, false)));
}

#[test]
fn step_times_out_with_claim_in_doubt() {
    let mut stream = stream();
    append_claim(&mut stream, claim(1, 1));
    stream.step(Event::Appended(Receipt::Unknown), now(2 * SECOND));
    let late = stream.step(Event::Wake, now(4 * SECOND));
    let (verdict, is_in_doubt) = decided(&late).unwrap();
    assert!(matches!(
        verdict,
        Verdict::NotRun {
            retry_after: Some(_),
            ..
        }
    ));
    assert!(is_in_doubt);
}

#[test]
fn step_refuses_at_once_during_outage() {
    let mut stream = stream();
    stream.step(Event::Claim(claim(1, 1), "a".into()), now(SECOND));
    stream.step(Event::Read(None), now(SECOND));
    stream.step(Event::Wake, now(SECOND + LONG_POLL));
    stream.step(Event::Read(None), now(SECOND + OUTAGE_AFTER));
    let refused = stream.step(
        Event::Claim(claim(2, 2), "a".into()),
        now(SECOND + OUTAGE_AFTER),
    );
    let (verdict, is_in_doubt) = decided(&refused).unwrap();
    assert!(matches!(
        verdict,
        Verdict::NotRun {
            retry_after: Some(_),
            ..
        }
    ));
    assert!(!is_in_doubt);
}

#[test]
fn step_refuses_keys_beyond_capacity() {
    let mut stream = stream().with_max_keys(1);
    let body = append_claim(&mut stream, claim(1, 1));
    stream.step(Event::Appended(Receipt::Done), now(SECOND));
    stream.step(page(&[body]), now(SECOND));
    let refused = stream.step(Event::Claim(claim(2, 2), "a".into()), now(SECOND));
    assert!(matches!(
        decided(&refused),
        Some((Verdict::NotRun { .. }, false))
    ));
}

#[test]
fn step_fetches_answer_dropped_from_memory() {
    let mut stream = stream();
    let claim_record = append_claim(&mut stream, claim(1, 1));
    stream.step(Event::Appended(Receipt::Done), now(SECOND));
    stream.step(page(std::slice::from_ref(&claim_record)), now(SECOND));
    let outcome = Outcome::Answered("\"yes\"".into());
    let settle = Event::Settle(Box::new(claim(1, 1)), outcome);
    let settled = stream.step(settle, now(SECOND));
    let records = [claim_record, appended(&settled).unwrap()];
    let mut reader = Stream::new("b".into(), &settings::Claims::default());
    reader.step(Event::Claim(claim(2, 1), "b".into()), now(SECOND));
    reader.step(page(&records), now(SECOND));
    reader.cached_endings.clear();
    let joined = reader.step(Event::Claim(claim(3, 1), "b".into()), now(SECOND));
    assert!(joined.contains(&Action::Fetch(1)));
    let fetch = Event::Fetched(1, Fetch::Record(records[1].clone()));
    let fetched = reader.step(fetch, now(SECOND));
    assert_eq!(
        decided(&fetched),
        Some((Verdict::Answered("\"yes\"".into()), false))
    );
}

/// Submits a claim once the first records are trimmed, and returns the appended record.
fn claim_after_trimming(claim: Claim) -> String {
    let mut stream = stream();
    stream.step(Event::Claim(claim, "a".into()), now(SECOND));
    let group = record::Group {
        writer: "b".into(),
        at_ms: record::unix_millis(now(Duration::ZERO).wall) - 3_600_000,
        entries: Vec::new(),
    };
    let read = stream.step(
        Event::Read(Some(Page {
            first: 7,
            end: 8,
            records: vec![Record {
                offset: 7,
                body: record::encode(&group).unwrap(),
            }],
        })),
        now(SECOND),
    );
    String::from_utf8(appended(&read).unwrap()).unwrap()
}

#[test]
fn step_trimmed_unread_claims_new_key() {
    assert!(claim_after_trimming(claim(1, 1)).contains("\"claim\""));
}

#[test]
fn step_trimmed_unread_bars_undated_key() {
    let mut undated = claim(1, 1);
    undated.key = "order-7".into();
    assert!(claim_after_trimming(undated).contains("\"bar\""));
}
