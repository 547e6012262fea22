//! The link between one daemon and one endpoint: a proxy that can refuse new connections.

use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(2);

pub struct Link {
    pub endpoint: SocketAddr,
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(ip: IpAddr, endpoint: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = is_cut.clone();
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if cut.load(Ordering::SeqCst) {
                    // A port without a listener refuses connections.
                    listener = None;
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
                let open = listener.get_or_insert_with(|| {
                    loop {
                        match TcpListener::bind(address) {
                            Ok(listener) => break listener,
                            Err(_) => thread::sleep(POLL_INTERVAL),
                        }
                    }
                });
                drop(open.set_nonblocking(true));
                match open.accept() {
                    Ok((stream, _)) => {
                        drop(stream.set_nonblocking(false));
                        thread::spawn(move || pass_on(stream, endpoint));
                    }
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Self {
            endpoint,
            address,
            is_cut,
        }
    }

    /// Refuses new connections, or takes them again; those that are open live on.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn pass_on(near: TcpStream, endpoint: SocketAddr) {
    let Ok(far) = TcpStream::connect_timeout(&endpoint, Duration::from_secs(1)) else {
        return;
    };
    for stream in [&near, &far] {
        drop(stream.set_nodelay(true));
    }
    let (Ok(from_near), Ok(to_far)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    let forward = thread::spawn(move || copy(from_near, to_far));
    copy(far, near);
    drop(forward.join());
}

/// Passes bytes on until the sender closes; the other side is closed then, too.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 * 1024];
    loop {
        match from.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(size) => {
                if to.write_all(&bytes[..size]).is_err() {
                    break;
                }
            }
        }
    }
    drop(to.shutdown(Shutdown::Write));
    drop(from.shutdown(Shutdown::Read));
}
