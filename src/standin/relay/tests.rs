//! Tests of the relay between regions.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::Relay;
use crate::clock::Manual;
use crate::standin::link::Link;

/// Starts a server that sends back what it reads.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let mut buffer = [0; 64];
        while let Ok(count @ 1..) = socket.read(&mut buffer) {
            socket.write_all(&buffer[..count]).unwrap();
        }
    });
    address
}

fn relay(link: &Arc<Link>, target: SocketAddr) -> Relay {
    let relay = Relay::start(Ipv4Addr::LOCALHOST.into(), link).unwrap();
    relay.lead_to(target);
    relay
}

#[test]
fn relay_carries_counts_and_closes() {
    let link = Arc::new(Link::new(Arc::new(Manual::default())));
    let relay = relay(&link, echo());
    let mut socket = TcpStream::connect(relay.address()).unwrap();
    socket.write_all(b"hello").unwrap();
    let mut answer = [0; 5];
    socket.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"hello");
    assert_eq!(link.total(), 10);
    socket.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(socket.read(&mut answer).unwrap(), 0);
}

#[test]
fn relay_holds_bytes_while_cut() {
    let clock = Arc::new(Manual::default());
    let link = Arc::new(Link::new(clock.clone()));
    link.cut(Duration::from_secs(1));
    let relay = relay(&link, echo());
    let mut socket = TcpStream::connect(relay.address()).unwrap();
    socket.write_all(b"hello").unwrap();
    assert_eq!(link.total(), 0);
    clock.advance(Duration::from_secs(1));
    let mut answer = [0; 5];
    socket.read_exact(&mut answer).unwrap();
    assert_eq!(link.total(), 10);
}

#[test]
fn relay_carries_datagrams() {
    let link = Arc::new(Link::new(Arc::new(Manual::default())));
    let target = UdpSocket::bind("127.0.0.1:0").unwrap();
    let relay = relay(&link, target.local_addr().unwrap());
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    sender.send_to(b"ping", relay.address()).unwrap();
    let mut buffer = [0; 16];
    let (count, _) = target.recv_from(&mut buffer).unwrap();
    assert_eq!(&buffer[..count], b"ping");
}
