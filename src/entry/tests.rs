//! Tests of keys, headers and the store of transcripts.

use std::time::{Duration, SystemTime};

use hyper::header::HeaderMap;

use super::head::Head;
use super::*;
use crate::settings;

const MAX_TIMEOUT: Duration = Duration::from_secs(60);

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let pairs = pairs.iter();
    pairs
        .map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap()))
        .collect()
}

fn read(name: &'static str, value: &str) -> Result<Head, head::HeaderError> {
    Head::read(&headers(&[(name, value)]), MAX_TIMEOUT)
}

#[test]
fn workspace_by_key() {
    let workspace = settings::Workspace {
        name: "split".into(),
        key: "split-key-0123456789".into(),
        weight: 1.0,
        home_region: None,
        requires_issue_time: true,
    };
    let keyring = Keyring::new(&[workspace]);
    assert!(keyring.requires_issue_time("split"));
    assert!(!keyring.requires_issue_time("zagreb"));
    let found = keyring.workspace("bearer split-key-0123456789");
    assert_eq!(found.as_deref(), Some("split"));
    for wrong in ["", "Bearer", "Bearer x", "Basic split-key-0123456789"] {
        assert_eq!(keyring.workspace(wrong), None, "{wrong}");
    }
}

#[test]
fn read_issue_time_from_key() {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(1_700_000_000_123);
    let stated = read("x-request-issued-at", "1700000000123").unwrap();
    assert_eq!(stated.issued, Some(at));
    let time = uuid::Timestamp::from_unix(uuid::NoContext, 1_700_000_000, 123_000_000);
    let key = uuid::Uuid::new_v7(time).to_string();
    assert_eq!(read("idempotency-key", &key).unwrap().issued, Some(at));
    assert_eq!(read("idempotency-key", "plain").unwrap().issued, None);
}

#[test]
fn read_bounds_timeout() {
    let timeout = read("x-request-timeout-ms", "250").unwrap().timeout;
    assert_eq!(timeout, Some(Duration::from_millis(250)));
    for wrong in ["0", "-1", "60001", "1.5", "99999999999999999999"] {
        assert!(read("x-request-timeout-ms", wrong).is_err(), "{wrong}");
    }
}

#[test]
fn read_resumes_after_last_event() {
    assert_eq!(read("last-event-id", "4").unwrap().seen, 5);
    assert_eq!(read("last-event-id", "end").unwrap().seen, usize::MAX);
    assert!(read("last-event-id", "x").is_err());
    assert!(read("last-event-id", &u64::MAX.to_string()).is_err());
}

#[test]
fn add_removes_expired() {
    let transcripts = Transcripts::default();
    let ids = [1, 2].map(uuid::Uuid::from_u128);
    transcripts.add(Transcript::new(ids[0], "w".into()), Duration::ZERO);
    assert!(transcripts.get(ids[0], "other").is_none());
    transcripts.add(Transcript::new(ids[1], "w".into()), transcripts::RETENTION);
    assert!(transcripts.get(ids[0], "w").is_none());
    assert!(transcripts.get(ids[1], "w").is_some());
}
