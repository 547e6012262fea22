//! Probes: direct, through others, and of the dead.

use std::time::Duration;

use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};

use super::{Action, HELPERS, MAX_HEALTH, PERIOD, PROBE_TIMEOUT, Suspicion, Swim};
use crate::clock::Time;
use crate::id;
use crate::member::wire::Kind;
use crate::member::{Member, Status};

/// Dead daemons that are probed in a period, over all live daemons, for each dead one.
const RECONNECTS: f64 = 4.0;
/// The least chance that a daemon probes a dead one in a period.
const MIN_RECONNECT: f64 = 0.05;

/// A probe that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub sequence: u32,
    pub nacks: usize,
    target: id::Daemon,
    sent: Time,
    is_indirect: bool,
    helpers: usize,
}

/// A probe that another daemon asked for.
#[derive(Clone, Debug)]
pub(super) struct Relayed {
    pub origin: String,
    pub sequence: u32,
    sent: Time,
}

impl Swim {
    pub(super) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Local health stretches timeouts: a slow daemon accuses others later.
    fn stretch(&self, by: Duration) -> Duration {
        by * (1 + self.health)
    }

    /// Probes all live daemons in a random order, each once before any again.
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
            sent: now,
            is_indirect: false,
            helpers: 0,
        });
        self.send(&target, Kind::Ping, sequence, actions);
    }

    fn next_target(&mut self) -> Option<Member> {
        for _ in 0..2 {
            while let Some(name) = self.order.get(self.position) {
                self.position += 1;
                let peer = self.peers.get(name).map(|p| &p.member);
                let is_live = |m: &&Member| matches!(m.status, Status::Alive | Status::Suspect);
                if let Some(member) = peer.filter(is_live) {
                    return Some(member.clone());
                }
            }
            self.order = self.live().map(|(m, _)| m.daemon.clone()).collect();
            self.order.shuffle(&mut self.rng);
            self.position = 0;
        }
        None
    }

    pub(super) fn check_probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.clone() else {
            return;
        };
        let age = now.saturating_sub(probe.sent);
        if age >= self.stretch(PERIOD) {
            self.probe = None;
            self.fail(&probe, now, actions);
        } else if age >= self.stretch(PROBE_TIMEOUT) && !probe.is_indirect {
            let helpers = self.ask_helpers(&probe, actions);
            if let Some(probe) = &mut self.probe {
                probe.is_indirect = true;
                probe.helpers = helpers;
            }
        }
    }

    /// Asks daemons of different zones, so that one cut between two zones convinces nobody.
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
        let chosen = spread(&others);
        for helper in &chosen {
            let kind = Kind::Relay {
                target: target.daemon.clone(),
                address: target.address.clone(),
            };
            self.send(helper, kind, probe.sequence, actions);
        }
        chosen.len()
    }

    fn fail(&mut self, probe: &Probe, now: Time, actions: &mut Vec<Action>) {
        // Helpers that answer with neither an ack nor a nack point to a fault on this side.
        if probe.nacks < probe.helpers {
            self.health = (self.health + 1).min(MAX_HEALTH);
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

    /// Takes an answer to this daemon's probe.
    pub(super) fn acknowledge(&mut self, sequence: u32) {
        if self.probe.as_ref().is_some_and(|p| p.sequence == sequence) {
            self.probe = None;
            self.health = self.health.saturating_sub(1);
        }
    }

    /// Probes in another daemon's place.
    pub(super) fn relay(
        &mut self,
        origin: String,
        asked: u32,
        target: &Member,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let sequence = self.next_sequence();
        let relayed = Relayed {
            origin,
            sequence: asked,
            sent: now,
        };
        self.relays.insert(sequence, relayed);
        self.send(target, Kind::Ping, sequence, actions);
    }

    pub(super) fn check_relays(&mut self, now: Time, actions: &mut Vec<Action>) {
        let is_late = |r: &Relayed| now.saturating_sub(r.sent) >= PROBE_TIMEOUT;
        let late: Vec<Relayed> = self
            .relays
            .values()
            .filter(|r| is_late(r))
            .cloned()
            .collect();
        self.relays.retain(|_, r| !is_late(r));
        for relayed in late {
            let packet = Box::new(self.packet(Kind::Nack, relayed.sequence));
            actions.push(Action::Send {
                address: relayed.origin,
                packet,
            });
        }
    }

    pub(super) fn check_suspicions(&mut self, now: Time, actions: &mut Vec<Action>) {
        let is_over = |s: &Suspicion| {
            let others = s.confirmers.len().saturating_sub(1);
            now.saturating_sub(s.since) >= self.stretch(self.suspicion_time(others))
        };
        let over: Vec<Member> = self
            .peers
            .values()
            .filter(|p| p.suspicion.as_ref().is_some_and(is_over))
            .map(|p| p.member.clone())
            .collect();
        for mut member in over {
            member.status = Status::Dead;
            self.merge(&member, None, now, actions);
        }
    }

    /// Probes a dead daemon, so that parts of the fleet that were cut off find each other again.
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
        let alive = self.live().count() as f64 + 1.0;
        let chance = (RECONNECTS * dead.len() as f64 / alive).clamp(MIN_RECONNECT, 1.0);
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

/// Chooses helpers, of as many zones as there are.
fn spread(others: &[Member]) -> Vec<Member> {
    let mut chosen: Vec<Member> = Vec::new();
    for wants_new_zone in [true, false] {
        for other in others {
            let is_taken = chosen.iter().any(|c| c.daemon == other.daemon);
            let is_new_zone = chosen.iter().all(|c| c.zone != other.zone);
            if chosen.len() < HELPERS && !is_taken && (is_new_zone || !wants_new_zone) {
                chosen.push(other.clone());
            }
        }
    }
    chosen
}
