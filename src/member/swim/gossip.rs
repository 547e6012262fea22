//! Updates that are piggybacked on probes, and sent in rounds of gossip while new.

use std::time::Duration;

use indexmap::IndexMap;
use rand::seq::IndexedRandom;

use super::{Action, Swim};
use crate::clock::Time;
use crate::id;
use crate::member::wire::{Kind, Packet};
use crate::member::{EndpointReport, Member};

/// The time from one round of gossip to the next while updates are queued.
const ROUND_PERIOD: Duration = Duration::from_millis(200);
/// Daemons that a round is sent to.
const FANOUT: usize = 3;
/// The most bytes of updates in a probe or answer.
const MAX_PROBE_UPDATE_BYTES: usize = 400;
/// The most bytes of updates in a round's datagram.
const MAX_ROUND_UPDATE_BYTES: usize = 1_000;
/// Bytes a second that rounds may send.
const BYTES_PER_SECOND: f64 = 2_500.0;
/// Bytes that rounds may send at once after a quiet time.
const BURST_BYTES: f64 = 2_500.0;
/// Bytes of a datagram other than its updates.
const PACKET_OVERHEAD_BYTES: usize = 130;
/// How often each daemon sends an update, beyond the natural logarithm of the number of members.
///
/// After `ln(n) + c` sends by each of `n` daemons, the chance that any missed it is `exp(-c)`.
const EXTRA_SENDS: f64 = 10.0;
/// Reports that are remembered, so that a repeated one is recognized.
const MAX_SEEN_REPORTS: usize = 8_192;

type ReportKey = (id::Endpoint, id::Daemon);

/// Updates with how often each was sent, and the byte budget of rounds.
#[derive(Debug, Default)]
pub(super) struct Queue {
    members: IndexMap<id::Daemon, (Member, u32)>,
    reports: IndexMap<ReportKey, (EndpointReport, u32)>,
    seen_sequences: IndexMap<ReportKey, u32>,
    next_round: Time,
    budget_bytes: f64,
    refilled_at: Time,
}

impl Queue {
    pub fn push_member(&mut self, member: &Member) {
        self.members
            .insert(member.daemon.clone(), (member.clone(), 0));
    }

    /// Queues a report; returns whether it is new.
    pub fn push_report(&mut self, report: &EndpointReport) -> bool {
        let key = (report.endpoint.clone(), report.reporter.clone());
        if self
            .seen_sequences
            .get(&key)
            .is_some_and(|s| *s >= report.sequence)
        {
            return false;
        }
        if self.seen_sequences.len() >= MAX_SEEN_REPORTS {
            self.seen_sequences.shift_remove_index(0);
        }
        self.seen_sequences.insert(key.clone(), report.sequence);
        self.reports.insert(key, (report.clone(), 0));
        true
    }

    fn is_empty(&self) -> bool {
        self.members.is_empty() && self.reports.is_empty()
    }

    /// Adds the updates that were sent least to the packet, reports before members.
    fn fill(&mut self, packet: &mut Packet, bytes: usize, max_sends: u32) {
        let mut remaining = bytes;
        self.reports.sort_by(|_, a, _, b| a.1.cmp(&b.1));
        for (report, sent) in self.reports.values_mut() {
            if report.cost() <= remaining {
                remaining -= report.cost();
                *sent += 1;
                packet.reports.push(report.clone());
            }
        }
        self.members.sort_by(|_, a, _, b| a.1.cmp(&b.1));
        for (member, sent) in self.members.values_mut() {
            if member.cost() <= remaining {
                remaining -= member.cost();
                *sent += 1;
                packet.members.push(member.clone());
            }
        }
        self.reports.retain(|_, item| item.1 < max_sends);
        self.members.retain(|_, item| item.1 < max_sends);
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.budget_bytes = (self.budget_bytes + elapsed * BYTES_PER_SECOND).min(BURST_BYTES);
    }

    /// Takes bytes from the budget if it has enough; returns whether it had.
    fn spend(&mut self, bytes: usize) -> bool {
        let is_enough = self.budget_bytes >= bytes as f64;
        if is_enough {
            self.budget_bytes -= bytes as f64;
        }
        is_enough
    }
}

impl Swim {
    fn max_sends(&self) -> u32 {
        let members = self.live().count() as f64 + 2.0;
        (members.ln() + EXTRA_SENDS).ceil() as u32
    }

    pub(super) fn attach_updates(&mut self, packet: &mut Packet) {
        let max_sends = self.max_sends();
        self.queue.fill(packet, MAX_PROBE_UPDATE_BYTES, max_sends);
    }

    /// Sends a round of gossip, within the budget.
    pub(super) fn gossip(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.queue.refill(now);
        if self.queue.is_empty() || now < self.queue.next_round {
            return;
        }
        self.queue.next_round = now + ROUND_PERIOD;
        for address in self.sample_addresses(FANOUT) {
            if self.queue.is_empty() || !self.queue.spend(PACKET_OVERHEAD_BYTES) {
                return;
            }
            let packet = self.round_packet();
            let update_bytes: usize = packet.members.iter().map(Member::cost).sum::<usize>()
                + packet
                    .reports
                    .iter()
                    .map(EndpointReport::cost)
                    .sum::<usize>();
            self.queue.budget_bytes -= update_bytes as f64;
            actions.push(Action::Send {
                address,
                packet: Box::new(packet),
            });
        }
    }

    fn round_packet(&mut self) -> Packet {
        let max_sends = self.max_sends();
        let mut packet = self.packet(Kind::Gossip, 0);
        self.queue
            .fill(&mut packet, MAX_ROUND_UPDATE_BYTES, max_sends);
        packet
    }

    /// Announces at once that this daemon is leaving.
    pub(super) fn announce_leave(&mut self) -> Vec<Action> {
        let addresses = self.sample_addresses(FANOUT * 2);
        addresses
            .into_iter()
            .map(|address| Action::Send {
                address,
                packet: Box::new(self.round_packet()),
            })
            .collect()
    }

    fn sample_addresses(&mut self, count: usize) -> Vec<String> {
        let live: Vec<String> = self.live().map(|(m, _)| m.address.clone()).collect();
        live.sample(&mut self.rng, count).cloned().collect()
    }

    /// Makes a snapshot of all known daemons, for a daemon that joins.
    pub fn snapshot(&self) -> Packet {
        let mut packet = self.packet(Kind::Gossip, 0);
        packet.members = self.peers.values().map(|p| p.member.clone()).collect();
        packet
    }
}
