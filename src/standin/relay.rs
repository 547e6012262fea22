//! A relay that plays the link between two regions: slow, counted and sometimes cut.
//!
//! The list of VMs names the relay in place of a daemon's peers' port, over TCP and UDP. While
//! the link is cut, bytes of a connection wait, as they would in the send buffer of a connection
//! whose packets are lost; datagrams are dropped.

use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::link::{Link, ONE_WAY};

/// Bytes that are moved at once; no datagram is longer.
const CHUNK_BYTES: usize = 64 * 1024;
/// Chunks in flight in one direction; more wait at the sender.
const MAX_CHUNKS: usize = 1_024;
/// How often a relay looks whether the link stands again.
const CUT_CHECK: Duration = Duration::from_millis(5);
/// Numbers tried until one is free over TCP and UDP.
const PORT_ATTEMPTS: usize = 32;

/// Where the relay leads; none until the daemon behind it has started.
type Target = Arc<Mutex<Option<SocketAddr>>>;

/// A listening relay, which takes nothing new once it is dropped.
pub struct Relay {
    address: SocketAddr,
    target: Target,
    stopped: Arc<AtomicBool>,
}

/// Bytes on their way, and when they arrive.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

impl Chunk {
    fn new(bytes: &[u8]) -> Self {
        Self {
            due: Instant::now() + ONE_WAY,
            bytes: bytes.to_vec(),
        }
    }

    fn travel(&self) {
        thread::sleep(self.due.saturating_duration_since(Instant::now()));
    }
}

/// Opens TCP and UDP at one number.
fn open(host: IpAddr) -> io::Result<(TcpListener, UdpSocket)> {
    for _ in 0..PORT_ATTEMPTS {
        let listener = TcpListener::bind((host, 0))?;
        if let Ok(socket) = UdpSocket::bind(listener.local_addr()?) {
            return Ok((listener, socket));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Relay {
    /// Listens on a free port of `host`; it leads nowhere yet.
    pub fn start(host: IpAddr, link: &Arc<Link>) -> io::Result<Self> {
        let (listener, socket) = open(host)?;
        let relay = Self {
            address: listener.local_addr()?,
            target: Target::default(),
            stopped: Arc::new(AtomicBool::new(false)),
        };
        let (target, stopped) = (relay.target.clone(), relay.stopped.clone());
        let shared = link.clone();
        relay.spawn("tcp", move || accept(&listener, &target, &stopped, &shared))?;
        let (target, stopped) = (relay.target.clone(), relay.stopped.clone());
        let (sender, chunks) = flume::bounded(MAX_CHUNKS);
        let out = socket.try_clone()?;
        let shared = link.clone();
        relay.spawn("udp in", move || receive(&socket, &sender, &stopped))?;
        relay.spawn("udp out", move || send(&out, &chunks, &target, &shared))?;
        Ok(relay)
    }

    fn spawn(&self, name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let name = format!("relay {name} {}", self.address);
        thread::Builder::new().name(name).spawn(work).map(drop)
    }

    /// Leads to `target` from now on.
    pub fn lead_to(&self, target: SocketAddr) {
        *self.target.lock() = Some(target);
    }

    /// Returns the address and port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Both wake a listening thread, which then ends.
        TcpStream::connect(self.address).ok();
        if let Ok(socket) = UdpSocket::bind((self.address.ip(), 0)) {
            socket.send_to(&[], self.address).ok();
        }
    }
}

fn accept(listener: &TcpListener, target: &Target, stopped: &AtomicBool, link: &Arc<Link>) {
    for socket in listener.incoming().flatten() {
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        let target = *target.lock();
        if let Some(target) = target {
            // A connection that cannot be relayed is closed.
            join(socket, target, link).ok();
        }
    }
}

fn join(near: TcpStream, target: SocketAddr, link: &Arc<Link>) -> io::Result<()> {
    let far = TcpStream::connect(target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    carry(near.try_clone()?, far.try_clone()?, link)?;
    carry(far, near, link)
}

/// Carries bytes one way, on two threads: one takes them in and one lets them out when due.
fn carry(mut from: TcpStream, mut to: TcpStream, link: &Arc<Link>) -> io::Result<()> {
    let (sender, chunks) = flume::bounded::<Chunk>(MAX_CHUNKS);
    thread::Builder::new().spawn(move || {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            if sender.send(Chunk::new(&buffer[..count])).is_err() {
                return;
            }
        }
    })?;
    let link = link.clone();
    thread::Builder::new().spawn(move || {
        for chunk in chunks {
            chunk.travel();
            while link.is_cut() {
                thread::sleep(CUT_CHECK);
            }
            link.count_raw(chunk.bytes.len());
            if to.write_all(&chunk.bytes).is_err() {
                break;
            }
        }
        // The other side may have closed already.
        to.shutdown(Shutdown::Both).ok();
    })?;
    Ok(())
}

fn receive(socket: &UdpSocket, sender: &flume::Sender<Chunk>, stopped: &AtomicBool) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while !stopped.load(Ordering::Relaxed) {
        let Ok((count, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        // A datagram that finds the queue full is lost, as on a link.
        sender.try_send(Chunk::new(&buffer[..count])).ok();
    }
}

fn send(socket: &UdpSocket, chunks: &flume::Receiver<Chunk>, target: &Target, link: &Link) {
    for chunk in chunks {
        chunk.travel();
        let target = *target.lock();
        if let Some(target) = target.filter(|_| !link.is_cut()) {
            link.count_raw(chunk.bytes.len());
            socket.send_to(&chunk.bytes, target).ok();
        }
    }
}

#[cfg(test)]
mod tests;
