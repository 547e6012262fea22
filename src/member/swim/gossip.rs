//! News that travels with probes, and by itself while it is fresh.

use std::time::Duration;

use indexmap::IndexMap;
use rand::seq::IndexedRandom;

use super::{Action, Swim};
use crate::clock::Time;
use crate::id;
use crate::member::wire::{Kind, Packet};
use crate::member::{EndpointReport, Member};

/// The time from one round of gossip to the next while there is news.
const ROUND: Duration = Duration::from_millis(200);
/// Daemons that get each round.
const FANOUT: usize = 3;
/// Bytes of news that a probe or answer carries.
const PROBE_BYTES: usize = 400;
/// Bytes of news that a round's datagram carries.
const ROUND_BYTES: usize = 1_000;
/// Bytes a second that rounds may send.
const RATE: f64 = 2_500.0;
/// Bytes that rounds may send at once after a quiet time.
const BURST: f64 = 2_500.0;
/// Bytes of a datagram besides its news.
const HEADER: usize = 130;
/// How often each daemon sends an item, beyond the logarithm of the number of members.
///
/// After `ln(n) + c` sends by each of `n` daemons, one is missed with a chance of `exp(-c)`.
const REPEATS: f64 = 10.0;
/// Marks that are remembered, so that a repeated report is told from a new one.
const MAX_MARKS: usize = 8_192;

type Source = (id::Endpoint, id::Daemon);

/// Items with how often each was sent.
#[derive(Debug, Default)]
pub(super) struct News {
    members: IndexMap<id::Daemon, (Member, u32)>,
    marks: IndexMap<Source, (EndpointReport, u32)>,
    seen: IndexMap<Source, u32>,
    next_round: Time,
    tokens: f64,
    refilled: Time,
}

impl News {
    pub fn member(&mut self, member: &Member) {
        self.members
            .insert(member.daemon.clone(), (member.clone(), 0));
    }

    /// Queues a mark; false when this report was seen before.
    pub fn mark(&mut self, mark: &EndpointReport) -> bool {
        let source = (mark.endpoint.clone(), mark.reporter.clone());
        if self.seen.get(&source).is_some_and(|s| *s >= mark.sequence) {
            return false;
        }
        if self.seen.len() >= MAX_MARKS {
            self.seen.shift_remove_index(0);
        }
        self.seen.insert(source.clone(), mark.sequence);
        self.marks.insert(source, (mark.clone(), 0));
        true
    }

    fn is_empty(&self) -> bool {
        self.members.is_empty() && self.marks.is_empty()
    }

    /// Puts the items that were sent least into the packet, endpoints before daemons.
    fn fill(&mut self, packet: &mut Packet, bytes: usize, repeats: u32) {
        let mut left = bytes;
        self.marks.sort_by(|_, a, _, b| a.1.cmp(&b.1));
        for (mark, sent) in self.marks.values_mut() {
            if mark.cost() <= left {
                left -= mark.cost();
                *sent += 1;
                packet.reports.push(mark.clone());
            }
        }
        self.members.sort_by(|_, a, _, b| a.1.cmp(&b.1));
        for (member, sent) in self.members.values_mut() {
            if member.cost() <= left {
                left -= member.cost();
                *sent += 1;
                packet.members.push(member.clone());
            }
        }
        self.marks.retain(|_, item| item.1 < repeats);
        self.members.retain(|_, item| item.1 < repeats);
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + elapsed * RATE).min(BURST);
    }

    /// Takes bytes out of the budget, if it has them.
    fn spend(&mut self, bytes: usize) -> bool {
        let is_enough = self.tokens >= bytes as f64;
        if is_enough {
            self.tokens -= bytes as f64;
        }
        is_enough
    }
}

impl Swim {
    fn repeats(&self) -> u32 {
        let members = self.live().count() as f64 + 2.0;
        (members.ln() + REPEATS).ceil() as u32
    }

    pub(super) fn fill(&mut self, packet: &mut Packet) {
        let repeats = self.repeats();
        self.news.fill(packet, PROBE_BYTES, repeats);
    }

    /// Sends a round of news, within the budget.
    pub(super) fn gossip(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.news.refill(now);
        if self.news.is_empty() || now < self.news.next_round {
            return;
        }
        self.news.next_round = now + ROUND;
        for address in self.choose(FANOUT) {
            if self.news.is_empty() || !self.news.spend(HEADER) {
                return;
            }
            let packet = self.round();
            let news: usize = packet.members.iter().map(Member::cost).sum::<usize>()
                + packet
                    .reports
                    .iter()
                    .map(EndpointReport::cost)
                    .sum::<usize>();
            self.news.tokens -= news as f64;
            actions.push(Action::Send {
                address,
                packet: Box::new(packet),
            });
        }
    }

    fn round(&mut self) -> Packet {
        let repeats = self.repeats();
        let mut packet = self.packet(Kind::Gossip, 0);
        self.news.fill(&mut packet, ROUND_BYTES, repeats);
        packet
    }

    /// Sends the news of its own leaving at once.
    pub(super) fn farewell(&mut self) -> Vec<Action> {
        let addresses = self.choose(FANOUT * 2);
        addresses
            .into_iter()
            .map(|address| Action::Send {
                address,
                packet: Box::new(self.round()),
            })
            .collect()
    }

    fn choose(&mut self, count: usize) -> Vec<String> {
        let live: Vec<String> = self.live().map(|(m, _)| m.address.clone()).collect();
        live.sample(&mut self.rng, count).cloned().collect()
    }

    /// Makes a snapshot of all that is known, for a daemon that joins.
    pub fn snapshot(&self) -> Packet {
        let mut packet = self.packet(Kind::Gossip, 0);
        packet.members = self.peers.values().map(|p| p.member.clone()).collect();
        packet
    }
}
