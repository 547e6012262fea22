//! Clients outside the limits, at real processes with lowered limits: the process lives, its memory and its
//! descriptors stay within its settings, and ordinary requests are answered.
//!
//! See [the design note](../../docs/design/intake.md).

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod crowd;
mod daemon;
mod soak;
mod standin;

use std::thread;
use std::time::Duration;

use crowd::{Answer, Crowd, Shape};
use daemon::{Daemon, Limits, PATIENCE};

/// The longest body of the configuration, in bytes.
const BODY_BYTES: usize = 4_194_304;
/// The VM of most tests. Half of what its crowds send, or less, is more than its memory.
const LIMITS: Limits = Limits {
    memory_mb: 96,
    max_fds: 4_100,
};
const CROWD: usize = 40;
/// A body that is three times as long as the longest one.
const EXCESSIVE_BYTES: usize = 12_582_912;
const KEY: &str = "X-Api-Key: key-of-school\r\n";
/// The most times that a client comes back after a refusal.
const MAX_TRIES: usize = 20;

/// Checks what must hold after a crowd, part of which may still be connected.
fn check(daemon: &mut Daemon) {
    let answer = send_patiently(daemon, &[b'q'; 300]);
    assert_eq!(answer.status, 200, "an ordinary request is served");
    daemon.check();
}

/// Sends a request, and comes back as often as a refusal says to.
fn send_patiently(daemon: &Daemon, body: &[u8]) -> Answer {
    for _ in 0..MAX_TRIES {
        let answer = crowd::request(daemon.front, KEY, body);
        if answer.status != 503 {
            return answer;
        }
        let wait = answer
            .retry_after
            .expect("a refusal says when to come back");
        thread::sleep(Duration::from_secs_f64(wait));
    }
    panic!("refused {MAX_TRIES} times");
}

fn send_longest(daemon: &Daemon) -> Answer {
    send_patiently(daemon, &vec![b'l'; BODY_BYTES])
}

/// Has a crowd send, checks beside it and after it, and sends the longest body in calm.
fn outlive(limits: Limits, shape: Shape, key: &'static str) {
    let _lock = daemon::lock();
    let mut daemon = Daemon::start(limits);
    let crowd = Crowd::send(daemon.front, CROWD, shape, key);
    check(&mut daemon);
    let longest = send_longest(&daemon);
    assert_eq!(
        longest.status, 200,
        "the longest body is served beside the crowd"
    );
    assert_eq!(longest.body, BODY_BYTES.to_string());
    drop(crowd);
    check(&mut daemon);
    let longest = send_longest(&daemon);
    assert_eq!(
        longest.status, 200,
        "the longest body is served after the crowd"
    );
    assert_eq!(longest.body, BODY_BYTES.to_string());
    daemon.check();
}

/// Guards against bodies of clients that no key names, held until they are whole.
#[test]
fn bodies_without_key_not_held() {
    outlive(LIMITS, Shape::Length, "");
}

/// Guards against bodies of all connections that together exceed the memory.
#[test]
fn bodies_short_of_their_end_bounded_together() {
    outlive(LIMITS, Shape::Length, KEY);
}

/// Guards against the same in pieces.
#[test]
fn pieces_short_of_their_end_bounded_together() {
    outlive(LIMITS, Shape::Pieces, KEY);
}

/// Guards against the same without an announced length.
#[test]
fn chunks_short_of_their_end_bounded_together() {
    outlive(LIMITS, Shape::Chunk, KEY);
}

/// Guards against chunked bodies of clients that no key names.
#[test]
fn chunks_without_key_not_held() {
    outlive(LIMITS, Shape::Chunk, "");
}

/// Guards against tiny chunks that cost more memory than their bytes, and keep others from the processor.
#[test]
fn tiny_chunks_bounded_together() {
    let limits = Limits {
        memory_mb: 32,
        ..LIMITS
    };
    let _lock = daemon::lock();
    let mut daemon = Daemon::start(limits);
    let crowd = Crowd::send(daemon.front, 2 * CROWD, Shape::TinyChunks, KEY);
    check(&mut daemon);
    drop(crowd);
    check(&mut daemon);
}

/// Guards against resets that leave something held, and crowds that come back at once.
#[test]
fn reset_bodies_given_back() {
    let _lock = daemon::lock();
    let mut daemon = Daemon::start(LIMITS);
    for _ in 0..4 {
        let crowd = Crowd::send(daemon.front, CROWD, Shape::Length, KEY);
        crowd.reset();
        check(&mut daemon);
    }
    assert_eq!(send_longest(&daemon).status, 200);
    daemon.check();
}

/// Guards against a refusal that a client loses because it goes on sending: 413 says not to come again.
#[test]
fn body_over_limit_refused_to_sender() {
    let _lock = daemon::lock();
    let mut daemon = Daemon::start(LIMITS);
    for shape in [Shape::Length, Shape::Chunk] {
        for _ in 0..10 {
            let answer = crowd::send_whole(daemon.front, shape, EXCESSIVE_BYTES, KEY);
            let answer = answer.unwrap_or_else(|error| panic!("{shape:?}: {error}"));
            assert_eq!(answer.status, 413, "{shape:?}");
        }
    }
    check(&mut daemon);
}

/// Guards against bodies far over the limit that are taken in.
#[test]
fn bodies_over_limit_not_held() {
    let _lock = daemon::lock();
    let mut daemon = Daemon::start(Limits {
        memory_mb: 64,
        ..LIMITS
    });
    for shape in [Shape::Announced, Shape::Endless] {
        let crowd = Crowd::send(daemon.front, CROWD, shape, KEY);
        check(&mut daemon);
        drop(crowd);
        check(&mut daemon);
    }
    assert_eq!(send_longest(&daemon).status, 200);
    daemon.check();
}

/// Guards against idle connections that leave no descriptors for endpoints, the store and other daemons.
#[test]
fn idle_connections_leave_descriptors() {
    let _lock = daemon::lock();
    let mut daemon = Daemon::start(Limits {
        max_fds: 400,
        ..LIMITS
    });
    let crowd = Crowd::connect(daemon.front, 600);
    assert!(daemon.is_ready(), "a full daemon answers readiness checks");
    check(&mut daemon);
    let again = Crowd::connect(daemon.front, 600);
    assert!(daemon.is_ready(), "a full daemon answers readiness checks");
    check(&mut daemon);
    drop((crowd, again));
    check(&mut daemon);
}

/// Guards against bytes behind a request that are taken in as long as it is served.
#[test]
fn bytes_behind_requests_bounded_together() {
    let _lock = daemon::lock();
    let mut daemon = Daemon::start(Limits {
        memory_mb: 48,
        ..LIMITS
    });
    let crowd = Crowd::pipeline(daemon.front, 1_000, KEY);
    check(&mut daemon);
    drop(crowd);
    check(&mut daemon);
}

/// Guards against heads without an end, held on many connections until they time out.
#[test]
fn heads_without_end_bounded_together() {
    let _lock = daemon::lock();
    let mut daemon = Daemon::start(Limits {
        memory_mb: 32,
        ..LIMITS
    });
    let crowd = Crowd::begin_heads(daemon.front, 2_000);
    check(&mut daemon);
    drop(crowd);
    check(&mut daemon);
}

/// Guards against answers of endpoints that together exceed the memory, each within its limit.
#[test]
fn answers_bounded_together() {
    let _lock = daemon::lock();
    let mut daemon = Daemon::start(LIMITS);
    let crowd = Crowd::ask(daemon.front, CROWD, "/order/long", KEY);
    check(&mut daemon);
    drop(crowd);
    check(&mut daemon);
    assert_eq!(send_longest(&daemon).status, 200);
    daemon.check();
}

/// Guards against prompts of many parts, which a planner remembers as what its engines keep.
#[test]
fn prompts_of_many_parts_bounded() {
    let _lock = daemon::lock();
    let mut daemon = Daemon::start(Limits {
        memory_mb: 48,
        ..LIMITS
    });
    for number in 0..500 {
        let parts: Vec<String> = (0..1_600)
            .map(|part| format!("{:x}:1", number * 4_096 + part))
            .collect();
        let parts = parts.join(",");
        let fields = format!("{KEY}Token-Counts: 1600,8\r\nPrompt-Prefix: {parts}\r\n");
        let answer = crowd::request(daemon.front, &fields, b"q");
        assert_eq!(answer.status, 200);
    }
    check(&mut daemon);
}

/// Guards against prompts of many parts of requests that run at the same time.
#[test]
fn parts_of_running_requests_bounded_together() {
    let _lock = daemon::lock();
    let mut daemon = Daemon::start(Limits {
        memory_mb: 40,
        ..LIMITS
    });
    let parts: Vec<String> = (0..1_600).map(|part| format!("{part:x}:1")).collect();
    let parts = parts.join(",");
    let fields = format!("{KEY}Token-Counts: 1600,8\r\nPrompt-Prefix: {parts}\r\n");
    let crowd = Crowd::ask(daemon.front, 4 * CROWD, "/order/slow", &fields);
    check(&mut daemon);
    drop(crowd);
    check(&mut daemon);
}

/// Guards against events of streams that together exceed the memory, none of which has ended.
#[test]
fn events_bounded_together() {
    let _lock = daemon::lock();
    let mut daemon = Daemon::start(Limits {
        memory_mb: 32,
        ..LIMITS
    });
    let crowd = Crowd::ask(daemon.front, 3 * CROWD, "/stream/long", KEY);
    check(&mut daemon);
    drop(crowd);
    check(&mut daemon);
}
