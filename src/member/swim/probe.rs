//! Probes: direct, through other daemons, and of dead daemons.

use std::time::Duration;

use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};

use super::{Action, MAX_HEALTH_SCORE, MAX_HELPERS, PROBE_PERIOD, PROBE_TIMEOUT, Suspicion, Swim};
use crate::clock::Time;
use crate::id;
use crate::member::wire::Kind;
use crate::member::{Member, Status};

/// Probes that a dead daemon gets in a period from all live daemons together, on average.
const RECONNECT_PROBES: f64 = 4.0;
/// The least probability that a daemon probes a dead one in a period.
const MIN_RECONNECT_CHANCE: f64 = 0.05;

/// A probe that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub sequence: u32,
    pub nacks: usize,
    target: id::Daemon,
    sent_at: Time,
    is_indirect: bool,
    helpers: usize,
}

/// A probe on behalf of another daemon.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    pub origin: String,
    pub sequence: u32,
    sent_at: Time,
}

impl Swim {
    pub(super) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Extends a timeout by the health score: a slow daemon suspects others later.
    fn extend(&self, timeout: Duration) -> Duration {
        timeout * (1 + self.health_score)
    }

    /// Starts a probe of one live daemon, in a random order that covers all before it repeats.
    pub(super) fn start_probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.probe.is_some() {
            return;
        }
        let Some(target) = self.next_target() else {
            return;
        };
        let sequence = self.next_sequence();
        self.probe = Some(Probe {
            sequence,
            nacks: 0,
            target: target.daemon.clone(),
            sent_at: now,
            is_indirect: false,
            helpers: 0,
        });
        self.send(&target, Kind::Ping, sequence, actions);
    }

    fn next_target(&mut self) -> Option<Member> {
        for _ in 0..2 {
            while let Some(name) = self.probe_order.get(self.probe_position) {
                self.probe_position += 1;
                let peer = self.peers.get(name).map(|p| &p.member);
                let is_live = |m: &&Member| matches!(m.status, Status::Alive | Status::Suspect);
                if let Some(member) = peer.filter(is_live) {
                    return Some(member.clone());
                }
            }
            self.probe_order = self.live().map(|(m, _)| m.daemon.clone()).collect();
            self.probe_order.shuffle(&mut self.rng);
            self.probe_position = 0;
        }
        None
    }

    pub(super) fn check_probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.clone() else {
            return;
        };
        let age = now.saturating_sub(probe.sent_at);
        if age >= self.extend(PROBE_PERIOD) {
            self.probe = None;
            self.probe_failed(&probe, now, actions);
        } else if age >= self.extend(PROBE_TIMEOUT) && !probe.is_indirect {
            let helpers = self.ask_helpers(&probe, actions);
            if let Some(probe) = &mut self.probe {
                probe.is_indirect = true;
                probe.helpers = helpers;
            }
        }
    }

    /// Asks daemons of several zones, so that a broken link between two zones does not confirm a
    /// failure.
    fn ask_helpers(&mut self, probe: &Probe, actions: &mut Vec<Action>) -> usize {
        let Some(target) = self.peers.get(&probe.target).map(|p| p.member.clone()) else {
            return 0;
        };
        let mut others: Vec<Member> = self
            .live()
            .filter(|(m, _)| m.status == Status::Alive && m.daemon != target.daemon)
            .map(|(m, _)| m.clone())
            .collect();
        others.shuffle(&mut self.rng);
        let helpers = choose_helpers(&others);
        for helper in &helpers {
            let kind = Kind::Relay {
                target: target.daemon.clone(),
                address: target.address.clone(),
            };
            self.send(helper, kind, probe.sequence, actions);
        }
        helpers.len()
    }

    fn probe_failed(&mut self, probe: &Probe, now: Time, actions: &mut Vec<Action>) {
        // Helpers that send neither an ack nor a nack point to a fault of this daemon.
        if probe.nacks < probe.helpers {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
        let Some(peer) = self.peers.get(&probe.target) else {
            return;
        };
        let mut member = peer.member.clone();
        if matches!(member.status, Status::Alive | Status::Suspect) {
            member.status = Status::Suspect;
            let me = self.me.daemon.clone();
            self.merge(&member, Some(&me), now, actions);
        }
    }

    /// Handles the ack of this daemon's probe.
    pub(super) fn acknowledge(&mut self, sequence: u32) {
        if self.probe.as_ref().is_some_and(|p| p.sequence == sequence) {
            self.probe = None;
            self.health_score = self.health_score.saturating_sub(1);
        }
    }

    /// Probes on behalf of another daemon.
    pub(super) fn relay_probe(
        &mut self,
        origin: String,
        origin_sequence: u32,
        target: &Member,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let sequence = self.next_sequence();
        let relayed = RelayedProbe {
            origin,
            sequence: origin_sequence,
            sent_at: now,
        };
        self.relayed_probes.insert(sequence, relayed);
        self.send(target, Kind::Ping, sequence, actions);
    }

    pub(super) fn check_relayed_probes(&mut self, now: Time, actions: &mut Vec<Action>) {
        let is_late = |r: &RelayedProbe| now.saturating_sub(r.sent_at) >= PROBE_TIMEOUT;
        let late: Vec<RelayedProbe> = self
            .relayed_probes
            .values()
            .filter(|r| is_late(r))
            .cloned()
            .collect();
        self.relayed_probes.retain(|_, r| !is_late(r));
        for relayed in late {
            let packet = Box::new(self.packet(Kind::Nack, relayed.sequence));
            actions.push(Action::Send {
                address: relayed.origin,
                packet,
            });
        }
    }

    pub(super) fn check_suspicions(&mut self, now: Time, actions: &mut Vec<Action>) {
        let is_expired = |s: &Suspicion| {
            let others = s.confirmers.len().saturating_sub(1);
            now.saturating_sub(s.since) >= self.extend(self.suspicion_time(others))
        };
        let expired: Vec<Member> = self
            .peers
            .values()
            .filter(|p| p.suspicion.as_ref().is_some_and(is_expired))
            .map(|p| p.member.clone())
            .collect();
        for mut member in expired {
            member.status = Status::Dead;
            self.merge(&member, None, now, actions);
        }
    }

    /// Probes a dead daemon, so that parts of a split fleet find each other again.
    pub(super) fn reconnect(&mut self, actions: &mut Vec<Action>) {
        let dead: Vec<Member> = self
            .peers
            .values()
            .filter(|p| p.member.status == Status::Dead)
            .map(|p| p.member.clone())
            .collect();
        let Some(member) = dead.choose(&mut self.rng).cloned() else {
            return;
        };
        let live = self.live().count() as f64 + 1.0;
        let chance = (RECONNECT_PROBES * dead.len() as f64 / live).clamp(MIN_RECONNECT_CHANCE, 1.0);
        if self.rng.random_bool(chance) {
            let sequence = self.next_sequence();
            let mut packet = self.packet(Kind::Ping, sequence);
            packet.members.push(member.clone());
            actions.push(Action::Send {
                address: member.address,
                packet: Box::new(packet),
            });
        }
    }
}

/// Chooses helpers from as many zones as possible.
fn choose_helpers(others: &[Member]) -> Vec<Member> {
    let mut chosen: Vec<Member> = Vec::new();
    for wants_new_zone in [true, false] {
        for other in others {
            let is_chosen = chosen.iter().any(|c| c.daemon == other.daemon);
            let is_new_zone = chosen.iter().all(|c| c.zone != other.zone);
            if chosen.len() < MAX_HELPERS && !is_chosen && (is_new_zone || !wants_new_zone) {
                chosen.push(other.clone());
            }
        }
    }
    chosen
}
