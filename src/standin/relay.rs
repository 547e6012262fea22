//! A TCP relay that plays the link between two regions: slow, counted and sometimes cut.
//!
//! The list of VMs names the relay in place of a daemon's peers' port. Bytes wait while the link
//! is cut, as they would in the send buffer of a connection whose packets are lost.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::link::{Link, ONE_WAY};

/// Bytes that are moved at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks in flight in one direction; more wait at the sender.
const MAX_CHUNKS: usize = 1_024;
/// How often a relay looks whether the link stands again.
const CUT_CHECK: Duration = Duration::from_millis(5);

/// A listening relay, which takes no new connections once it is dropped.
pub struct Relay {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

/// Bytes on their way, and when they arrive.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

impl Relay {
    /// Relays connections to `target` over `link`.
    pub fn start(target: SocketAddr, link: Arc<Link>) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0))?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        let name = format!("relay {address}");
        thread::Builder::new().name(name).spawn(move || {
            for socket in listener.incoming().flatten() {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                // A connection that cannot be relayed is closed.
                join(socket, target, &link).ok();
            }
        })?;
        Ok(Self { address, stopped })
    }

    /// Returns the address and port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // It wakes the listening thread, which then ends.
        TcpStream::connect(self.address).ok();
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
            let chunk = Chunk {
                due: Instant::now() + ONE_WAY,
                bytes: buffer[..count].to_vec(),
            };
            if sender.send(chunk).is_err() {
                return;
            }
        }
    })?;
    let link = link.clone();
    thread::Builder::new().spawn(move || {
        for chunk in chunks {
            thread::sleep(chunk.due.saturating_duration_since(Instant::now()));
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

#[cfg(test)]
mod tests;
