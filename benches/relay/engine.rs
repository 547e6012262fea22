//! An engine that costs little: one thread a connection, tokens at a pace.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use cyclamenrill::endpoint::wire::Line;
use cyclamenrill::endpoint::{Answer, Call, Token, Usage};

/// The pace of an engine.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Tokens of each call.
    pub tokens: u32,
    /// Time between tokens.
    pub gap: Duration,
}

/// A running engine.
pub struct Engine {
    pub address: SocketAddr,
}

impl Engine {
    /// Starts an engine; its threads end with the process.
    pub fn start(pace: Pace) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        spawn("engine", move || {
            for stream in listener.incoming() {
                spawn("engine", move || {
                    // A caller that leaves ends its connection.
                    drop(serve(&stream.unwrap(), pace));
                });
            }
        });
        Self { address }
    }
}

/// Starts a thread of the bench.
pub fn spawn<T: Send + 'static>(
    name: &str,
    work: impl FnOnce() -> T + Send + 'static,
) -> thread::JoinHandle<T> {
    let builder = thread::Builder::new().name(name.into());
    builder.stack_size(256 * 1024).spawn(work).unwrap()
}

fn read(stream: &TcpStream) -> std::io::Result<Option<Call>> {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    let mut first = String::new();
    loop {
        let mut line = String::new();
        let read = reader.read_line(&mut line)?;
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().unwrap_or(0);
        }
        if read == 0 || line == "\r\n" {
            break;
        }
        if first.is_empty() {
            first = line;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(serde_json::from_slice(&body).ok())
}

fn serve(mut stream: &TcpStream, pace: Pace) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let Some(call) = read(stream)? else {
        return stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    };
    let mut send = |text: &[u8]| stream.write_all(text);
    send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")?;
    let start = Instant::now();
    for index in 0..pace.tokens {
        let due = start + pace.gap * index;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        send(&line(&Line::Token(token(index))))?;
    }
    send(&line(&Line::Answer(answer(&call, pace))))
}

fn line(line: &Line) -> Vec<u8> {
    let mut text = serde_json::to_vec(line).unwrap();
    text.push(b'\n');
    text
}

fn token(index: u32) -> Token {
    Token {
        index,
        text: "toke".into(),
        version: (index == 0).then(|| "v1".into()),
    }
}

fn answer(call: &Call, pace: Pace) -> Answer {
    Answer {
        request: call.request,
        stage: call.stage.clone(),
        attempt: call.attempt,
        body: "\"text\"".into(),
        usage: Usage {
            tokens: u64::from(pace.tokens),
            ..Usage::default()
        },
        version: Some("v1".into()),
    }
}
