//! Handling of datagrams from other daemons.

use super::{Action, ConfigVersion, Swim};
use crate::clock::Time;
use crate::member::wire::{Kind, Packet};
use crate::member::{Member, Status};

impl Swim {
    /// Handles a datagram.
    pub fn receive(&mut self, packet: &Packet, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if packet.sender.daemon == self.me.daemon {
            return actions;
        }
        self.merge_sender(packet, now, &mut actions);
        for member in &packet.members {
            self.merge(member, Some(&packet.sender.daemon), now, &mut actions);
        }
        for report in &packet.reports {
            if report.reporter != self.me.daemon && self.queue.push_report(report) {
                actions.push(Action::Reported(report.clone()));
            }
        }
        self.answer(packet, now, &mut actions);
        actions
    }

    fn merge_sender(&mut self, packet: &Packet, now: Time, actions: &mut Vec<Action>) {
        let sender = &packet.sender;
        self.merge(sender, None, now, actions);
        let Some(peer) = self.peers.get_mut(&sender.daemon) else {
            return;
        };
        if packet.revision >= peer.config.revision {
            peer.config = ConfigVersion {
                revision: packet.revision,
                fingerprint: packet.fingerprint,
            };
        }
        if packet.revision > self.config.revision {
            actions.push(Action::NewerConfig {
                daemon: sender.daemon.clone(),
                address: sender.address.clone(),
                revision: packet.revision,
            });
        }
    }

    fn answer(&mut self, packet: &Packet, now: Time, actions: &mut Vec<Action>) {
        match &packet.kind {
            Kind::Ping => self.answer_ping(packet, actions),
            Kind::Ack => {
                self.acknowledge(packet.sequence);
                self.forward_ack(packet, actions);
            }
            Kind::Nack => {
                if let Some(probe) = &mut self.probe
                    && probe.sequence == packet.sequence
                {
                    probe.nacks += 1;
                }
            }
            Kind::Relay { target, address } => {
                let target = Member {
                    daemon: target.clone(),
                    address: address.clone(),
                    zone: "".into(),
                    incarnation: 0,
                    status: Status::Alive,
                };
                let origin = packet.sender.address.clone();
                self.relay_probe(origin, packet.sequence, &target, now, actions);
            }
            Kind::Gossip => {}
        }
    }

    /// Forwards the ack of a relayed probe to the daemon that asked for it.
    fn forward_ack(&mut self, packet: &Packet, actions: &mut Vec<Action>) {
        let Some(relayed) = self.relayed_probes.shift_remove(&packet.sequence) else {
            return;
        };
        let mut forwarded = self.packet(Kind::Ack, relayed.sequence);
        forwarded.members.push(packet.sender.clone());
        actions.push(Action::Send {
            address: relayed.origin,
            packet: Box::new(forwarded),
        });
    }

    /// Answers a ping; a worse status known of the sender is attached, so that it can refute it.
    fn answer_ping(&mut self, packet: &Packet, actions: &mut Vec<Action>) {
        let sender = &packet.sender;
        let known = self.peers.get(&sender.daemon).map(|p| p.member.clone());
        let mut answer = self.packet(Kind::Ack, packet.sequence);
        answer
            .members
            .extend(known.filter(|m| m.status > sender.status));
        self.attach_updates(&mut answer);
        actions.push(Action::Send {
            address: sender.address.clone(),
            packet: Box::new(answer),
        });
    }

    pub(super) fn send(
        &mut self,
        to: &Member,
        kind: Kind,
        sequence: u32,
        actions: &mut Vec<Action>,
    ) {
        let mut packet = self.packet(kind, sequence);
        let known = self.peers.get(&to.daemon).map(|p| &p.member);
        // A suspect is told of the suspicion, so that it can refute it.
        packet
            .members
            .extend(known.filter(|m| m.status == Status::Suspect).cloned());
        self.attach_updates(&mut packet);
        actions.push(Action::Send {
            address: to.address.clone(),
            packet: Box::new(packet),
        });
    }
}
