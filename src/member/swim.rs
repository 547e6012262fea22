//! Failure detection among daemons: SWIM with suspicion, incarnations and local health.
//!
//! A state machine: it takes ticks, datagrams and the platform's list, and gives datagrams to
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

use gossip::News;
use probe::{Probe, Relayed};

/// How often `tick` is called.
pub const TICK: Duration = Duration::from_millis(100);
/// The time from one probe to the next.
pub const PERIOD: Duration = Duration::from_secs(1);
/// How long a direct answer is waited for before others are asked to probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Daemons that are asked to probe in this one's place.
pub const HELPERS: usize = 3;
/// A gap between ticks that means that this process was paused.
pub const PAUSE: Duration = Duration::from_millis(800);
/// The worst value of the local health, which stretches timeouts.
pub const MAX_HEALTH: u32 = 8;
/// Periods of suspicion for each decade of members, when enough others agree.
const SUSPICION_PERIODS: f64 = 4.0;
/// How much longer a suspicion lasts that nobody else confirms.
const SUSPICION_STRETCH: f64 = 3.0;
/// Confirmations that shorten a suspicion to its least.
const CONFIRMATIONS: f64 = 3.0;
/// How long a dead or leaving daemon is remembered once the platform no longer lists it.
const FORGET: Duration = Duration::from_secs(60);
/// How long an unlisted daemon is remembered when the platform's list never had it.
const FORGET_UNLISTED: Duration = Duration::from_secs(600);

event! {
    /// What the shell shall do.
    pub enum Action {
        /// Send a datagram.
        Send {
            /// To whom.
            address: String,
            /// What.
            packet: Box<Packet>,
        },
        /// A daemon stands differently now.
        Changed(Member),
        /// An endpoint was reported by another daemon.
        Reported(EndpointReport),
        /// Another daemon has a later configuration.
        NewerConfig {
            /// Who has it.
            daemon: id::Daemon,
            /// Its address.
            address: String,
            /// Its revision.
            revision: id::Revision,
        },
    }

    /// What is known of the configuration of a daemon.
    #[derive(Copy, Default)]
    pub struct ConfigVersion {
        /// Its revision.
        pub revision: id::Revision,
        /// The first bytes of its chain digest.
        pub fingerprint: u64,
    }
}

/// A suspicion and who shares it.
#[derive(Clone, Debug)]
struct Suspicion {
    since: Time,
    confirmers: IndexSet<id::Daemon>,
}

/// Another daemon.
#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    config: ConfigVersion,
    surveyed: Option<Time>,
    suspicion: Option<Suspicion>,
    changed: Time,
    is_listed: bool,
    was_listed: bool,
}

/// The membership protocol at one daemon.
pub struct Swim {
    me: Member,
    config: ConfigVersion,
    stamp: Stamp,
    peers: IndexMap<id::Daemon, Peer>,
    order: Vec<id::Daemon>,
    position: usize,
    sequence: u32,
    mark_sequence: u32,
    probe: Option<Probe>,
    relays: IndexMap<u32, Relayed>,
    next_probe: Time,
    news: News,
    target: id::Revision,
    health: u32,
    ticked: Option<Time>,
    rng: ChaCha8Rng,
}

impl Swim {
    /// Starts with no other daemon known; its choices follow from `seed`.
    pub fn new(me: Member, seed: u64) -> Self {
        let mut news = News::default();
        news.member(&me);
        Self {
            me,
            config: ConfigVersion::default(),
            stamp: Stamp {
                wall: 0,
                counter: 0,
            },
            peers: IndexMap::new(),
            order: Vec::new(),
            position: 0,
            sequence: 0,
            mark_sequence: 0,
            probe: None,
            relays: IndexMap::new(),
            next_probe: Time::ZERO,
            news,
            target: 0,
            health: 0,
            ticked: None,
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

    /// How much this daemon distrusts its own judgement; 0 is healthy.
    pub fn health_score(&self) -> u32 {
        self.health
    }

    /// Tells the others this daemon's configuration from now on.
    pub fn set_config_version(&mut self, config: ConfigVersion) {
        self.config = config;
    }

    /// Puts the time of the next datagrams.
    pub fn set_stamp(&mut self, stamp: Stamp) {
        self.stamp = stamp;
    }

    /// Takes in the platform's list; `list` holds the daemons on it.
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
                let mut news = member.clone();
                news.incarnation = incarnation;
                self.merge(&news, None, now, &mut actions);
            }
        }
        actions
    }

    /// Reports an endpoint to the other daemons.
    pub fn report(&mut self, endpoint: id::Endpoint, evidence: super::Evidence) -> EndpointReport {
        self.mark_sequence += 1;
        let mark = EndpointReport {
            endpoint,
            evidence,
            reporter: self.me.daemon.clone(),
            sequence: self.mark_sequence,
        };
        self.news.mark(&mark);
        mark
    }

    /// Tells the others that this daemon is shutting down.
    pub fn leave(&mut self) -> Vec<Action> {
        self.me.status = Status::Leaving;
        self.news.member(&self.me);
        self.farewell()
    }

    /// Takes a turn; it is due every [`TICK`].
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let gap = self
            .ticked
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.ticked = Some(now);
        if gap > PAUSE {
            self.resume(gap);
        }
        let mut actions = Vec::new();
        self.check_probe(now, &mut actions);
        self.check_relays(now, &mut actions);
        self.check_suspicions(now, &mut actions);
        if now >= self.next_probe {
            self.next_probe = now + PERIOD;
            self.start_probe(now, &mut actions);
            self.reconnect(&mut actions);
            self.forget(now);
        }
        self.gossip(now, &mut actions);
        self.survey(now, &mut actions);
        actions
    }

    /// After a pause nothing may be concluded from answers that could not arrive.
    fn resume(&mut self, gap: Duration) {
        self.probe = None;
        self.relays.clear();
        self.health = (self.health + 2).min(MAX_HEALTH);
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

    /// How long a suspicion lasts that `confirmers` others share.
    fn suspicion_time(&self, confirmers: usize) -> Duration {
        let members = self.live().count() + 1;
        let least = PERIOD.mul_f64(SUSPICION_PERIODS * (members as f64).log10().max(1.0));
        let share = (confirmers as f64 + 1.0).ln() / (CONFIRMATIONS + 1.0).ln();
        let stretch = SUSPICION_STRETCH - (SUSPICION_STRETCH - 1.0) * share.min(1.0);
        least.mul_f64(stretch)
    }

    fn forget(&mut self, now: Time) {
        self.peers.retain(|_, peer| {
            let limit = if peer.is_listed {
                Duration::MAX
            } else if peer.was_listed {
                FORGET
            } else {
                FORGET_UNLISTED
            };
            let is_gone = matches!(peer.member.status, Status::Dead | Status::Leaving);
            !is_gone || now.saturating_sub(peer.changed) <= limit
        });
    }
}
