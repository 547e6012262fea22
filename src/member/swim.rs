//! Failure detection among daemons: SWIM with suspicion, incarnations and local health.
//!
//! A state machine: it takes ticks, datagrams and the platform's list, and returns datagrams to
//! send and changes to report. See [the design note](../../docs/design/membership.md).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::wire::Packet;
use super::{EndpointReport, Member, Status};
use crate::clock::Time;
use crate::id;
use crate::timeline::Stamp;

mod gossip;
mod merge;
mod probe;
mod receive;
mod survey;

use gossip::Queue;
use probe::{Probe, RelayedProbe};

/// The interval at which [`Swim::tick`] is called.
pub const TICK: Duration = Duration::from_millis(100);
/// The time from one probe to the next.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// How long to wait for a direct answer before others are asked to probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Daemons that are asked to probe on behalf of this one.
pub const MAX_HELPERS: usize = 3;
/// A longer gap between ticks means that this process was paused.
pub const PAUSE_GAP: Duration = Duration::from_millis(800);
/// The worst local health score; timeouts grow with the score.
pub const MAX_HEALTH_SCORE: u32 = 8;
/// Probe periods that the shortest suspicion lasts for each factor of ten in members.
const SUSPICION_PERIODS: f64 = 4.0;
/// How many times longer a suspicion lasts that no other daemon confirms.
const SUSPICION_STRETCH: f64 = 3.0;
/// Confirmations by other daemons that make a suspicion the shortest.
const MAX_CONFIRMATIONS: f64 = 3.0;
/// How long a dead or leaving daemon is remembered once the platform no longer lists it.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// How long a dead or leaving daemon is remembered that the platform never listed.
const FORGET_UNLISTED_AFTER: Duration = Duration::from_secs(600);

event! {
    /// What the thread that owns the socket does next.
    pub enum Action {
        /// Send a datagram.
        Send {
            /// The receiver's address.
            address: String,
            /// The datagram.
            packet: Box<Packet>,
        },
        /// The status of a daemon changed.
        Changed(Member),
        /// An endpoint was reported by another daemon.
        Reported(EndpointReport),
        /// Another daemon has a later configuration than this one.
        NewerConfig {
            /// The other daemon.
            daemon: id::Daemon,
            /// Its address.
            address: String,
            /// Its revision.
            revision: id::Revision,
        },
    }

    /// The version of a daemon's configuration, as last heard.
    #[derive(Copy, Default)]
    pub struct ConfigVersion {
        /// Its revision.
        pub revision: id::Revision,
        /// The first bytes of its chain digest.
        pub fingerprint: u64,
    }
}

/// A suspicion and the daemons that share it.
#[derive(Clone, Debug)]
struct Suspicion {
    since: Time,
    confirmers: IndexSet<id::Daemon>,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    config: ConfigVersion,
    last_survey: Option<Time>,
    suspicion: Option<Suspicion>,
    status_changed: Time,
    is_listed: bool,
    was_listed: bool,
}

/// The membership protocol at one daemon.
pub struct Swim {
    me: Member,
    config: ConfigVersion,
    stamp: Stamp,
    peers: IndexMap<id::Daemon, Peer>,
    probe_order: Vec<id::Daemon>,
    probe_position: usize,
    sequence: u32,
    report_sequence: u32,
    probe: Option<Probe>,
    relayed_probes: IndexMap<u32, RelayedProbe>,
    next_probe: Time,
    queue: Queue,
    survey_target: id::Revision,
    health_score: u32,
    last_tick: Option<Time>,
    rng: ChaCha8Rng,
}

impl Swim {
    /// Starts with no other daemon known; its choices follow from `seed`.
    pub fn new(me: Member, seed: u64) -> Self {
        let mut queue = Queue::default();
        queue.push_member(&me);
        Self {
            me,
            config: ConfigVersion::default(),
            stamp: Stamp {
                wall: 0,
                counter: 0,
            },
            peers: IndexMap::new(),
            probe_order: Vec::new(),
            probe_position: 0,
            sequence: 0,
            report_sequence: 0,
            probe: None,
            relayed_probes: IndexMap::new(),
            next_probe: Time::ZERO,
            queue,
            survey_target: 0,
            health_score: 0,
            last_tick: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// This daemon as the others see it.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The other daemons, in every status, with their configuration.
    pub fn peers(&self) -> impl Iterator<Item = (&Member, ConfigVersion)> {
        self.peers.values().map(|p| (&p.member, p.config))
    }

    /// The other daemons that are alive, suspects included.
    pub fn live(&self) -> impl Iterator<Item = (&Member, ConfigVersion)> {
        self.peers()
            .filter(|(m, _)| matches!(m.status, Status::Alive | Status::Suspect))
    }

    /// The local health score: how slow or cut off this daemon itself seems; 0 is healthy.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    /// Sets the configuration version that datagrams announce to the other daemons.
    pub fn set_config_version(&mut self, config: ConfigVersion) {
        self.config = config;
    }

    /// Sets the timestamp of the next datagrams.
    pub fn set_stamp(&mut self, stamp: Stamp) {
        self.stamp = stamp;
    }

    /// Applies the daemons of the platform's list.
    pub fn update_roster(&mut self, list: &[Member], now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for peer in self.peers.values_mut() {
            peer.is_listed = false;
        }
        let me = self.me.daemon.clone();
        for member in list.iter().filter(|m| m.daemon != me) {
            if !self.peers.contains_key(&member.daemon) {
                self.insert(member.clone(), now, &mut actions);
            }
            let incarnation = self.incarnation_of(&member.daemon);
            if let Some(peer) = self.peers.get_mut(&member.daemon) {
                peer.is_listed = true;
                peer.was_listed = true;
            }
            if member.status == Status::Leaving {
                let mut update = member.clone();
                update.incarnation = incarnation;
                self.merge(&update, None, now, &mut actions);
            }
        }
        actions
    }

    /// Reports an endpoint to the other daemons.
    pub fn report(&mut self, endpoint: id::Endpoint, evidence: super::Evidence) -> EndpointReport {
        self.report_sequence += 1;
        let report = EndpointReport {
            endpoint,
            evidence,
            reporter: self.me.daemon.clone(),
            sequence: self.report_sequence,
        };
        self.queue.push_report(&report);
        report
    }

    /// Tells the others that this daemon is shutting down.
    pub fn leave(&mut self) -> Vec<Action> {
        self.me.status = Status::Leaving;
        self.queue.push_member(&self.me);
        self.announce_leave()
    }

    /// Performs the periodic work; to be called every [`TICK`].
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let gap = self
            .last_tick
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.last_tick = Some(now);
        if gap > PAUSE_GAP {
            self.resume(gap);
        }
        let mut actions = Vec::new();
        self.check_probe(now, &mut actions);
        self.check_relayed_probes(now, &mut actions);
        self.check_suspicions(now, &mut actions);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_PERIOD;
            self.start_probe(now, &mut actions);
            self.reconnect(&mut actions);
            self.forget(now);
        }
        self.gossip(now, &mut actions);
        self.survey(now, &mut actions);
        actions
    }

    /// Drops probes and extends suspicions after a pause, when no answers could arrive.
    fn resume(&mut self, gap: Duration) {
        self.probe = None;
        self.relayed_probes.clear();
        self.health_score = (self.health_score + 2).min(MAX_HEALTH_SCORE);
        for peer in self.peers.values_mut() {
            if let Some(suspicion) = &mut peer.suspicion {
                suspicion.since += gap;
            }
        }
    }

    fn packet(&self, kind: super::wire::Kind, sequence: u32) -> Packet {
        Packet {
            kind,
            sequence,
            sender: self.me.clone(),
            stamp: self.stamp,
            revision: self.config.revision,
            fingerprint: self.config.fingerprint,
            members: Vec::new(),
            reports: Vec::new(),
        }
    }

    fn incarnation_of(&self, daemon: &str) -> u32 {
        self.peers.get(daemon).map_or(0, |p| p.member.incarnation)
    }

    /// How long a suspicion lasts that `confirmers` other daemons share.
    fn suspicion_time(&self, confirmers: usize) -> Duration {
        let members = self.live().count() + 1;
        let shortest = PROBE_PERIOD.mul_f64(SUSPICION_PERIODS * (members as f64).log10().max(1.0));
        let share = (confirmers as f64 + 1.0).ln() / (MAX_CONFIRMATIONS + 1.0).ln();
        let stretch = SUSPICION_STRETCH - (SUSPICION_STRETCH - 1.0) * share.min(1.0);
        shortest.mul_f64(stretch)
    }

    fn forget(&mut self, now: Time) {
        self.peers.retain(|_, peer| {
            let limit = if peer.is_listed {
                Duration::MAX
            } else if peer.was_listed {
                FORGET_AFTER
            } else {
                FORGET_UNLISTED_AFTER
            };
            let is_gone = matches!(peer.member.status, Status::Dead | Status::Leaving);
            !is_gone || now.saturating_sub(peer.status_changed) <= limit
        });
    }
}
