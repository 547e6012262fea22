//! A stage across the regional link: a kept connection beside a connection for each call.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cyclamenrill::clock;
use cyclamenrill::endpoint::Service;
use cyclamenrill::endpoint::http::Client;
use cyclamenrill::peer::{Link, Net, Options};
use cyclamenrill::timeline::Recorder;
use serde::Serialize;

use crate::caller::{self, Times};
use crate::engine::{Engine, Pace, spawn};

/// Tokens of each stage.
const TOKENS: u32 = 64;
/// One way across the link.
const ONE_WAY: Duration = Duration::from_millis(10);

/// One way of calling.
#[derive(Debug, Serialize)]
pub struct Way {
    bytes_per_stage: u64,
    booked_per_stage: u64,
    p50_us: u64,
    p99_us: u64,
}

/// Both ways.
#[derive(Debug, Serialize)]
pub struct Report {
    kept: Way,
    each: Way,
}

impl Report {
    pub fn print(&self) {
        for (name, way) in [
            ("kept connection", &self.kept),
            ("connection per call", &self.each),
        ] {
            println!(
                "link, {name:<20} {:>6} bytes a stage of {TOKENS} tokens (booked {:>6}), \
                 p50 {:>6} us p99 {:>6} us",
                way.bytes_per_stage, way.booked_per_stage, way.p50_us, way.p99_us
            );
        }
    }
}

/// A link that takes `ONE_WAY` in each direction and counts bytes.
struct Wire {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Wire {
    fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let bytes = Arc::<AtomicU64>::default();
        let counted = bytes.clone();
        spawn("wire", move || {
            for stream in listener.incoming() {
                let near = stream.unwrap();
                // The handshake takes a round trip.
                let (target, counted) = (target, counted.clone());
                spawn("wire", move || {
                    std::thread::sleep(ONE_WAY * 2);
                    let far = TcpStream::connect(target).unwrap();
                    carry(&near, &far, &counted);
                    carry(&far, &near, &counted);
                });
            }
        });
        Self { address, bytes }
    }
}

/// Carries bytes one way, each piece after the same delay.
fn carry(from: &TcpStream, to: &TcpStream, bytes: &Arc<AtomicU64>) {
    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
    to.set_nodelay(true).unwrap();
    let (sender, receiver) = flume::unbounded::<(Instant, Vec<u8>)>();
    let bytes = bytes.clone();
    spawn("wire", move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            bytes.fetch_add(count as u64, Ordering::Relaxed);
            drop(sender.send((Instant::now() + ONE_WAY, buffer[..count].to_vec())));
        }
    });
    spawn("wire", move || {
        for (due, piece) in receiver {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&piece).is_err() {
                return;
            }
        }
        drop(to.shutdown(std::net::Shutdown::Write));
    });
}

fn net() -> Net {
    let recorder = Recorder::new("bench".into(), Arc::new(clock::System::new()));
    Net::open(Options {
        address: "127.0.0.1:0".into(),
        daemon: "bench".into(),
        recorder: Arc::new(recorder),
        seed: 1,
    })
    .unwrap()
}

fn way(requests: usize, bytes: &AtomicU64, mut call: impl FnMut() -> u64) -> Way {
    call();
    let before = bytes.load(Ordering::Relaxed);
    let mut times = Times::new(3).unwrap();
    let mut booked = 0;
    for _ in 0..requests {
        let start = Instant::now();
        booked += call();
        times
            .record(u64::try_from(start.elapsed().as_micros()).unwrap())
            .unwrap();
    }
    let total = bytes.load(Ordering::Relaxed) - before;
    Way {
        bytes_per_stage: total / requests as u64,
        booked_per_stage: booked / requests as u64,
        p50_us: times.value_at_quantile(0.5),
        p99_us: times.value_at_quantile(0.99),
    }
}

/// Runs the same stage both ways.
pub fn measure(requests: usize) -> Report {
    let requests = requests.min(100);
    let engine = Engine::start(Pace {
        tokens: TOKENS,
        gap: Duration::from_micros(500),
    });
    let address = engine.address.to_string();
    let each_wire = Wire::to(engine.address);
    let each_address = each_wire.address.to_string();
    let each = way(requests, &each_wire.bytes, || {
        let call = caller::call();
        let answer = Client::default().call(&each_address, &call, &mut |_| Ok(()));
        answer.unwrap().usage.link_bytes
    });
    let (near, daemon) = (net(), caller::daemon(engine.address));
    let kept_wire = Wire::to(daemon.net().address());
    let kept_address = kept_wire.address.to_string();
    let kept = way(requests, &kept_wire.bytes, || {
        let call = caller::call();
        let answer = near.forward(&kept_address, &address, &call, &mut |_| Ok(()));
        answer.unwrap().usage.link_bytes
    });
    Report { kept, each }
}
