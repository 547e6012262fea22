//! A link that can be cut: while it is, it holds what comes from either side, closes included, and passes it on when
//! it has healed. So a peer that ends meanwhile is noticed afterwards.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

use crate::system;

#[derive(Clone, Default)]
pub struct Switch(Arc<(AtomicBool, Mutex<()>, Condvar)>);

impl Switch {
    pub fn cut(&self) {
        self.0.0.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        let _held = self.0.1.lock().unwrap();
        self.0.0.store(false, Ordering::SeqCst);
        self.0.2.notify_all();
    }

    fn wait(&self) {
        let mut held = self.0.1.lock().unwrap();
        while self.0.0.load(Ordering::SeqCst) {
            held = self.0.2.wait(held).unwrap();
        }
    }
}

/// Starts a link to a peer, which may not listen yet; returns its address.
pub fn start(peer: SocketAddr, switch: &Switch) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let switch = switch.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let switch = switch.clone();
            thread::spawn(move || {
                switch.wait();
                let Ok(far) = TcpStream::connect(peer) else {
                    return;
                };
                drop((near.set_nodelay(true), far.set_nodelay(true)));
                let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
                    return;
                };
                let there = switch.clone();
                thread::spawn(move || pass(near_copy, far_copy, &there));
                pass(far, near, &switch);
            });
        }
    });
    Ok(address)
}

fn pass(mut from: TcpStream, mut to: TcpStream, switch: &Switch) {
    let mut buffer = [0; 16384];
    loop {
        let read = from.read(&mut buffer);
        switch.wait();
        match read {
            Ok(size @ 1..) if to.write_all(&buffer[..size]).is_ok() => {}
            Ok(0) => return drop(to.shutdown(Shutdown::Write)),
            _ => return system::reset(&to),
        }
    }
}
