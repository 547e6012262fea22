//! The thread that has the UDP socket.

use std::net::UdpSocket;
use std::time::Duration;

use super::shared::Shared;
use crate::clock::Time;
use crate::member::swim::{Action, TICK};
use crate::member::wire;
use crate::timeline::Kind;

/// How long the socket is read before the clock is looked at.
pub(super) const RECEIVE: Duration = Duration::from_millis(20);
/// Datagrams that are taken in before the next tick, so that a flood does not stop the clock.
const MAX_DATAGRAMS: usize = 256;

/// Runs the membership protocol until control stops.
pub(super) fn run(shared: &Shared, socket: &UdpSocket) {
    let mut next = Time::ZERO;
    let mut buffer = [0; wire::MAX_BYTES];
    while !shared.is_stopped() {
        let now = shared.clock.now();
        if now >= next {
            next = now + TICK;
            let stamp = shared.recorder.stamp();
            let mut swim = shared.swim.lock();
            swim.set_stamp(stamp);
            let actions = swim.tick(now);
            drop(swim);
            act(shared, socket, actions);
        }
        for actions in shared.outbox.try_iter() {
            act(shared, socket, actions);
        }
        for _ in 0..MAX_DATAGRAMS {
            let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                break;
            };
            receive(shared, socket, &buffer[..length]);
            if shared.clock.now() >= next {
                break;
            }
        }
    }
    for actions in shared.outbox.try_iter() {
        act(shared, socket, actions);
    }
}

fn receive(shared: &Shared, socket: &UdpSocket, bytes: &[u8]) {
    shared.traffic.received(bytes.len());
    // A datagram that is no packet has no sender to tell.
    let Ok(packet) = wire::decode(bytes) else {
        return;
    };
    shared.recorder.advance_past(packet.stamp);
    let now = shared.clock.now();
    let actions = shared.swim.lock().receive(&packet, now);
    act(shared, socket, actions);
}

fn act(shared: &Shared, socket: &UdpSocket, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { address, packet } => {
                // A datagram that cannot be sent counts as lost.
                if let Ok(bytes) = wire::encode(&packet) {
                    shared.traffic.sent(bytes.len());
                    drop(socket.send_to(&bytes, &address));
                }
            }
            Action::Changed(member) => {
                let what = format!("{} is {:?}", member.daemon, member.status);
                shared.record(Kind::Member, None, what);
            }
            Action::Reported(report) => shared.apply_report(&report),
            Action::NewerConfig {
                address, revision, ..
            } => shared.tell_ahead(address, revision),
        }
    }
}
