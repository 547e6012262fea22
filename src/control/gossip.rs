//! The thread that owns the UDP socket.

use std::net::UdpSocket;
use std::time::Duration;

use super::shared::Shared;
use crate::clock::Time;
use crate::member::swim::{Action, TICK};
use crate::member::wire;
use crate::timeline::Kind;

/// Read timeout of the socket, between checks of the clock.
pub(super) const RECEIVE_TIMEOUT: Duration = Duration::from_millis(20);
/// Datagrams received in one go, so that a flood does not hold up the outbox.
const MAX_DATAGRAMS: usize = 256;

/// Runs the membership protocol until control stops.
pub(super) fn run(shared: &Shared, socket: &UdpSocket) {
    let mut next_tick = Time::ZERO;
    let mut buffer = [0; wire::MAX_BYTES];
    while !shared.is_stopped() {
        let now = shared.clock.now();
        if now >= next_tick {
            next_tick = now + TICK;
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
            if shared.clock.now() >= next_tick {
                break;
            }
        }
    }
    for actions in shared.outbox.try_iter() {
        act(shared, socket, actions);
    }
}

fn receive(shared: &Shared, socket: &UdpSocket, bytes: &[u8]) {
    shared.traffic.count_received(bytes.len());
    // A datagram that cannot be decoded names no sender to answer.
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
                    shared.traffic.count_sent(bytes.len());
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
            } => shared.request_pull(address, revision),
        }
    }
}
