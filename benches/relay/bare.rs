//! The least that a relay can do: one thread a stream, one read and one write a token.
//!
//! It has no deadline, claim, policy, retry or bound; the daemon is measured beside it.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use crate::caller;
use crate::engine::spawn;

/// The name of its threads, by which their processor time is found.
pub const NAME: &str = "bare";

/// How long a thread outlives its stream.
const LINGER: Duration = Duration::from_secs(2);

/// Starts a relay before an engine; its threads end with the process.
pub fn start(engine: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn("accept", move || {
        for stream in listener.incoming() {
            spawn(NAME, move || relay(&stream.unwrap(), engine));
        }
    });
    address
}

fn relay(caller: &TcpStream, engine: SocketAddr) {
    caller.set_nodelay(true).unwrap();
    let mut head = BufReader::new(caller);
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if head.read_line(&mut line).unwrap() == 0 {
            return;
        }
    }
    let body = serde_json::to_string(&caller::call()).unwrap();
    let mut upstream = TcpStream::connect(engine).unwrap();
    let length = body.len();
    let request = format!("POST /v1/calls HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
    upstream.write_all(request.as_bytes()).unwrap();
    let mut writer = caller;
    writer.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
    for line in BufReader::new(upstream).lines() {
        if line.unwrap().starts_with("{\"token\"") {
            writer
                .write_all(b"event: token\ndata: \"toke\"\n\n")
                .unwrap();
        }
    }
    writer.write_all(b"0\r\n\r\n").unwrap();
    // The processor time of a thread can be read only while it lives.
    std::thread::sleep(LINGER);
}
