//! Tests of heads and bodies, without connections.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;

use super::body::{Chunk, End, Framing};
use super::head::{parse_request, parse_response};
use super::{Error, MAX_RESPONSE_HEAD_BYTES};

const LIMIT: usize = 512;

fn request(text: &str) -> super::Result<super::RequestHead> {
    parse_request(text.as_bytes(), LIMIT).map(|parsed| parsed.expect("a complete head").0)
}

fn is_malformed<T>(result: &super::Result<T>) -> bool {
    matches!(result, Err(Error::Malformed { .. }))
}

#[test]
fn head_parsed_whole() {
    let head = request("POST /a/b?c HTTP/1.1\r\nHost: x.example\r\nContent-Length: 3\r\n\r\n");
    let head = head.expect("a valid head");
    assert_eq!(
        (head.method.as_str(), head.target.as_str()),
        ("POST", "/a/b?c")
    );
    assert_eq!(head.framing, Framing::Length(3));
    assert!(head.keep_alive);
}

#[test]
fn head_incomplete_is_none() {
    let parsed = parse_request(b"GET / HTTP/1.1\r\nHost: x\r\n", LIMIT);
    assert!(parsed.expect("nothing wrong yet").is_none());
}

#[test]
fn head_ambiguous_rejected() {
    let fields = [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: 5, 5",
        "Content-Length: +5",
        "Content-Length: 0x5",
        "Content-Length:",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "X: a\r\n folded: b",
        "X: a\nContent-Length: 5",
        "Host: second.example",
    ];
    for field in fields {
        let text = format!("POST / HTTP/1.1\r\nHost: x\r\n{field}\r\n\r\n");
        assert!(is_malformed(&request(&text)), "{field:?}");
    }
    assert!(is_malformed(&request("POST / HTTP/1.1\r\n\r\n")), "no host");
    let http_1_0 = "POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert!(is_malformed(&request(http_1_0)));
}

#[test]
fn head_long_rejected() {
    let long = format!(
        "GET / HTTP/1.1\r\nHost: x\r\nX: {}\r\n\r\n",
        "a".repeat(LIMIT)
    );
    assert!(matches!(
        request(&long),
        Err(Error::HeadTooLong { limit: LIMIT })
    ));
    let open = format!("GET / HTTP/1.1\r\nHost: x\r\nX: {}", "a".repeat(LIMIT));
    let parsed = parse_request(open.as_bytes(), LIMIT);
    assert!(matches!(parsed, Err(Error::HeadTooLong { limit: LIMIT })));
}

#[test]
fn fields_hop_by_hop_dropped() {
    let head = request(
        "GET / HTTP/1.1\r\nHost: x\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTE: a\r\nX-End: 2\r\n\r\n",
    );
    let head = head.expect("a valid head");
    let names: Vec<&str> = head.fields.end_to_end().map(|field| &*field.name).collect();
    assert_eq!(names, ["Host", "X-End"]);
    assert!(!head.keep_alive);
}

#[test]
fn response_without_length_ends_with_close() {
    let text = b"HTTP/1.1 200 OK\r\nX: y\r\n\r\n";
    let (head, size) = parse_response(text, MAX_RESPONSE_HEAD_BYTES)
        .expect("valid")
        .expect("complete");
    assert_eq!((head.framing, size), (Framing::Close, text.len()));
    assert!(!head.keep_alive);
}

/// Decodes a body in portions; returns the decoded bytes and the number of bytes left over.
fn decode(framing: &mut Framing, body: &[u8], portion: usize) -> super::Result<(Vec<u8>, usize)> {
    let mut buffer = BytesMut::new();
    let mut decoded = Vec::new();
    for bytes in body.chunks(portion.max(1)) {
        buffer.extend_from_slice(bytes);
        while let Some(part) = framing.decode(&mut buffer)? {
            match part {
                Chunk::Bytes(bytes) => decoded.extend_from_slice(&bytes),
                Chunk::End(_) => break,
            }
        }
    }
    Ok((decoded, buffer.len()))
}

fn chunked(pieces: &[Vec<u8>]) -> Vec<u8> {
    let mut body = Vec::new();
    for piece in pieces.iter().filter(|piece| !piece.is_empty()) {
        body.extend_from_slice(format!("{:x};x=y\r\n", piece.len()).as_bytes());
        body.extend_from_slice(piece);
        body.extend_from_slice(b"\r\n");
    }
    body.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
    body
}

proptest! {
    #[test]
    fn head_any_bytes_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        drop(parse_request(&bytes, LIMIT));
        drop(parse_response(&bytes, LIMIT));
        drop(decode(&mut Framing::chunked(), &bytes, 7));
    }

    #[test]
    fn chunks_split_anywhere(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
        portion in 1usize..30,
    ) {
        let mut framing = Framing::chunked();
        let (decoded, rest) = decode(&mut framing, &chunked(&pieces), portion).expect("valid");
        prop_assert_eq!(decoded, pieces.concat());
        prop_assert_eq!(rest, 0);
        prop_assert_eq!(framing, Framing::End);
    }
}

#[test]
fn chunks_malformed_rejected() {
    let bodies = [
        "g\r\n",
        "\r\n",
        "-1\r\n",
        "123456789\r\n",
        "2\r\nabc\r\n",
        "2\nab\r\n",
    ];
    for body in bodies {
        let decoded = decode(&mut Framing::chunked(), body.as_bytes(), 100);
        assert!(is_malformed(&decoded), "{body:?}");
    }
}

/// Guards against work for each byte of a body that a peer sends in chunks of one byte.
#[test]
fn chunks_of_one_byte_joined() {
    let mut framing = Framing::chunked();
    let body = format!("{}g\r\n", "1\r\ny\r\n".repeat(1_000));
    let mut buffer = BytesMut::from(body.as_bytes());
    let Ok(Some(Chunk::Bytes(bytes))) = framing.decode(&mut buffer) else {
        panic!("the chunks are complete");
    };
    assert_eq!(bytes, "y".repeat(1_000));
    for _ in 0..2 {
        let failed = framing.decode(&mut buffer).map(|_| ());
        assert!(
            is_malformed(&failed),
            "the next call fails, and each after it"
        );
    }
}

#[test]
fn length_leaves_the_next_message() {
    let mut framing = Framing::of_length(3);
    let (decoded, rest) = decode(&mut framing, b"abcdef", 2).expect("valid");
    assert_eq!((decoded.as_slice(), rest), (&b"abc"[..], 3));
    let mut buffer = BytesMut::from(&b"x"[..]);
    let Ok(Some(Chunk::End(End::Framed))) = framing.decode(&mut buffer) else {
        panic!("a body that has ended takes nothing more");
    };
    assert_eq!(Bytes::from(buffer), Bytes::from_static(b"x"));
}
