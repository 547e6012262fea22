//! Tests of which bytes of a stream are passed on, and of when it is whole.

use super::*;

/// Pushes a stream in portions; returns what was passed on.
fn push_all(events: &mut EventBuffer, stream: &str, portion: usize) -> String {
    let portions = stream.as_bytes().chunks(portion);
    let passed: Vec<u8> = portions
        .flat_map(|portion| events.push(portion).to_vec())
        .collect();
    String::from_utf8(passed).expect("text")
}

#[test]
fn push_passes_complete_events_on() {
    for (stream, complete, id) in [
        ("id: 1\ndata: a\n\nid: 2\n", "id: 1\ndata: a\n\n", "1"),
        (
            "id: 1\r\n\r\nid: 2\r\n\r\nid",
            "id: 1\r\n\r\nid: 2\r\n\r\n",
            "2",
        ),
        ("id:1\n\nid:2\n\n", "id:1\n\nid:2\n\n", "2"),
    ] {
        for portion in 1..=stream.len() {
            let mut events = EventBuffer::default();
            events.begin();
            assert_eq!(
                push_all(&mut events, stream, portion),
                complete,
                "{portion}"
            );
            assert_eq!(events.last_id(), Some(id));
            assert_eq!(events.partial_length(), stream.len() - complete.len());
        }
    }
}

/// Guards against a second response or a repeated stream that follows on the same connection.
#[test]
fn push_stops_at_what_is_no_event() {
    for rest in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\n\r\nid: 3\n\n",
        "daHTTP/1.1 200 OK\n\n",
        "id: 2\ndata: again\n\n",
        "id: 1\n\nid: 2\n\nid: 3\n\n",
        "\u{1}\u{2}: x\n\n",
        "error: gone\n\n",
        "error: gone\ndata: x\n\n",
    ] {
        let stream = format!("id: 1\ndata: a\n\nid: 2\n\n{rest}");
        for portion in [1, 5, stream.len()] {
            let mut events = EventBuffer::default();
            events.begin();
            let passed = push_all(&mut events, &stream, portion);
            assert_eq!(passed, "id: 1\ndata: a\n\nid: 2\n\n", "{rest:?}");
            assert!(events.is_invalid(), "{rest:?}");
            assert!(!events.is_whole(End::Closed) && !events.is_whole(End::Framed));
        }
    }
}

#[test]
fn push_accepts_fields_and_comments() {
    let stream =
        ": hello\n\nweight-versions: 3\nid: 9\nevent: x\ndata\nretry: 10\n\ndata: y\n\nid: a\n\n";
    let mut events = EventBuffer::after(Some("8".to_owned()));
    events.begin();
    assert_eq!(push_all(&mut events, stream, 7), stream);
    assert!(events.is_whole(End::Closed));
}

#[test]
fn is_whole_only_after_an_event() {
    for (stream, framed, closed) in [
        ("id: 1\n\n", true, true),
        ("id: 1\n\nid: 2", false, false),
        ("id: 1\n\nid: 2\n", false, false),
        ("id: 1", false, false),
        ("", true, false),
    ] {
        let mut events = EventBuffer::default();
        events.begin();
        events.push(stream.as_bytes());
        let is_whole = (events.is_whole(End::Framed), events.is_whole(End::Closed));
        assert_eq!(is_whole, (framed, closed), "{stream:?}");
    }
}

/// The events of an earlier endpoint do not show that the next one ended its stream whole.
#[test]
fn begin_forgets_the_previous_endpoint() {
    let mut events = EventBuffer::default();
    events.begin();
    events.push(b"id: 1\n\nid: 2\nda");
    events.begin();
    assert!(!events.is_whole(End::Closed));
    assert_eq!(events.last_id(), Some("1"), "the stream goes on after it");
    assert_eq!(events.push(b"id: 2\n\n"), "id: 2\n\n");
    assert!(events.is_whole(End::Closed));
}

/// Guards against work that grows with the square of an event that never ends.
#[test]
fn event_without_end_scanned_once() {
    let began = std::time::Instant::now();
    let mut events = EventBuffer::after(None);
    for _ in 0..200_000 {
        assert!(events.push(b"y").is_empty());
    }
    assert!(events.push(b"\r\n\r\n").is_empty() && events.is_invalid());
    let took = began.elapsed();
    assert!(took < std::time::Duration::from_secs(2), "{took:?}");
}
