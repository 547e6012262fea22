//! Tests of the HTTP client against sockets that misbehave.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use super::{Error, Request};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Serves one connection: reads until the request ends with `last`, writes `answer` and closes.
pub(crate) fn serve(last: &'static [u8], answer: impl Into<Vec<u8>>) -> String {
    let answer = answer.into();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let mut head = [0; 4096];
        let mut seen = Vec::new();
        while !seen.ends_with(last) {
            let n = socket.read(&mut head).unwrap();
            seen.extend_from_slice(&head[..n]);
        }
        socket.write_all(&answer).unwrap();
    });
    address
}

fn url(address: &str) -> String {
    format!("http://{address}/")
}

fn ping(url: String, timeout: Duration) -> super::Result<String> {
    Request::post(url, timeout).body(b"ping").send()?.text(100)
}

#[test]
fn send_nobody_listens_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    drop(listener);
    assert!(matches!(ping(url, TIMEOUT), Err(Error::NotSent { .. })));
}

#[test]
fn send_no_time_left_is_not_sent() {
    let url = "http://127.0.0.1:9/".to_owned();
    let result = ping(url, Duration::ZERO);
    assert!(matches!(result, Err(Error::NotSent { .. })));
}

#[test]
fn send_closed_without_answer_is_broken() {
    assert!(matches!(
        ping(url(&serve(b"ping", b"")), TIMEOUT),
        Err(Error::Broken { .. })
    ));
}

#[test]
fn send_silent_server_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    let result = ping(url, Duration::from_millis(50));
    assert!(matches!(result, Err(Error::TimedOut)));
}

#[test]
fn text_whole() {
    let address = serve(b"ping", b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npong");
    assert_eq!(ping(url(&address), TIMEOUT).unwrap(), "pong");
}

#[test]
fn text_truncated_is_broken() {
    let address = serve(b"ping", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npong");
    assert!(matches!(
        ping(url(&address), TIMEOUT),
        Err(Error::Broken { .. })
    ));
}

#[test]
fn line_truncated_is_broken() {
    let address = serve(b"ping", b"HTTP/1.1 200 OK\r\n\r\none\ntw");
    let request = Request::post(url(&address), TIMEOUT).body(b"ping");
    let mut reply = request.send().unwrap();
    assert_eq!(reply.line(100).unwrap().unwrap(), "one");
    assert!(matches!(reply.line(100), Err(Error::Broken { .. })));
}
