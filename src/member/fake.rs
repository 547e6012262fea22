//! A simulated network with loss, delay, partitions and pauses, for tests and benches.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::swim::{Action, Swim, TICK};
use super::wire::{self, Packet};
use super::{EndpointReport, Member, Status};
use crate::clock::Time;
use crate::id;

/// Bytes of the UDP and IP headers of a datagram.
pub const HEADER_BYTES: usize = 28;
/// Least one-way delay between availability zones of a region.
const ZONE_DELAY: Duration = Duration::from_micros(1_500);
/// Least one-way delay between regions.
const REGION_DELAY: Duration = Duration::from_millis(10);

/// Returns whether datagrams from the first node to the second are dropped.
pub type Partition = Box<dyn Fn(&Node, &Node) -> bool>;

/// One daemon on the network.
pub struct Node {
    /// The protocol.
    pub swim: Swim,
    /// Its region.
    pub region: id::Region,
    /// Whether the process is paused; it keeps its state and loses no datagram.
    pub is_paused: bool,
    /// Whether the VM exists.
    pub is_up: bool,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, with headers.
    pub sent_bytes: u64,
    /// Bytes received, with headers.
    pub received_bytes: u64,
    /// Reports on endpoints that arrived, with the times.
    pub reports: Vec<(Time, EndpointReport)>,
    inbox: Vec<Packet>,
}

/// An action that a node reported.
#[derive(Clone, Debug)]
pub struct Event {
    /// When it was reported.
    pub at: Time,
    /// Index of the node.
    pub node: usize,
    /// What the node reported.
    pub action: Action,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    Tick(usize),
    Deliver(usize, usize),
}

/// The network and its nodes, on a virtual clock.
pub struct Net {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The current virtual time.
    pub now: Time,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// Which datagrams are dropped.
    pub partition: Partition,
    /// What the nodes reported.
    pub events: Vec<Event>,
    addresses: IndexMap<String, usize>,
    queue: BinaryHeap<Reverse<(Time, u64, Task)>>,
    in_flight: Vec<Option<Packet>>,
    free_slots: Vec<usize>,
    scheduled: u64,
    rng: ChaCha8Rng,
}

fn member(index: usize, zone: &str) -> Member {
    Member {
        daemon: format!("d{index}").into(),
        address: format!("10.0.{}.{}:7000", index / 256, index % 256),
        zone: zone.into(),
        incarnation: 0,
        status: Status::Alive,
    }
}

impl Net {
    /// Makes a network of `count` daemons, spread over `regions` of `zones` zones each, that
    /// all know each other from the platform's list.
    pub fn new(count: usize, regions: usize, zones: usize, seed: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            now: Time::ZERO,
            loss: 0.0,
            partition: Box::new(|_, _| false),
            events: Vec::new(),
            addresses: IndexMap::new(),
            queue: BinaryHeap::new(),
            in_flight: Vec::new(),
            free_slots: Vec::new(),
            scheduled: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..count {
            let region = index % regions;
            let zone = (index / regions) % zones;
            net.add(&format!("r{region}"), &format!("r{region}-{zone}"), seed);
        }
        let list = net.list();
        for node in &mut net.nodes {
            node.swim.update_roster(&list, Time::ZERO);
        }
        net
    }

    /// Adds a daemon that knows no other, and returns its index.
    pub fn add(&mut self, region: &str, zone: &str, seed: u64) -> usize {
        let index = self.nodes.len();
        let me = member(index, zone);
        self.addresses.insert(me.address.clone(), index);
        self.nodes.push(Node {
            swim: Swim::new(me, seed.wrapping_mul(1_000).wrapping_add(index as u64)),
            region: region.into(),
            is_paused: false,
            is_up: true,
            sent: 0,
            sent_bytes: 0,
            received_bytes: 0,
            reports: Vec::new(),
            inbox: Vec::new(),
        });
        let offset = TICK.mul_f64(self.rng.random_range(0.0..1.0));
        self.push(self.now + offset, Task::Tick(index));
        index
    }

    /// The platform's list of the daemons that exist.
    pub fn list(&self) -> Vec<Member> {
        self.nodes
            .iter()
            .filter(|n| n.is_up)
            .map(|n| Member {
                incarnation: 0,
                status: Status::Alive,
                ..n.swim.me().clone()
            })
            .collect()
    }

    /// Runs the network for `duration`.
    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, task))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            match task {
                Task::Tick(node) => self.tick(node),
                Task::Deliver(node, slot) => self.deliver(node, slot),
            }
        }
        self.now = until;
    }

    /// Performs the actions of a node, also those that a test caused.
    pub fn perform(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { address, packet } => self.send(node, &address, &packet),
                other => {
                    if let Action::Reported(report) = &other {
                        let at = self.now;
                        self.nodes[node].reports.push((at, report.clone()));
                    }
                    self.events.push(Event {
                        at: self.now,
                        node,
                        action: other,
                    });
                }
            }
        }
    }

    fn push(&mut self, at: Time, task: Task) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled, task)));
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        self.push(now + TICK, Task::Tick(index));
        let node = &mut self.nodes[index];
        if node.is_paused || !node.is_up {
            return;
        }
        // A process that resumes finds its timers due before it reads its socket.
        let actions = node.swim.tick(now);
        let waiting = std::mem::take(&mut node.inbox);
        self.perform(index, actions);
        for packet in waiting {
            let actions = self.nodes[index].swim.receive(&packet, now);
            self.perform(index, actions);
        }
    }

    fn deliver(&mut self, index: usize, slot: usize) {
        let Some(packet) = self.in_flight[slot].take() else {
            return;
        };
        self.free_slots.push(slot);
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.is_up {
            return;
        }
        if node.is_paused {
            node.inbox.push(packet);
            return;
        }
        let actions = node.swim.receive(&packet, now);
        self.perform(index, actions);
    }

    fn send(&mut self, from: usize, address: &str, packet: &Packet) {
        let Ok(bytes) = wire::encode(packet) else {
            return;
        };
        let size = (bytes.len() + HEADER_BYTES) as u64;
        self.nodes[from].sent += 1;
        self.nodes[from].sent_bytes += size;
        let target = self.addresses.get(address).copied();
        let Some(to) = target else {
            return;
        };
        let is_lost = self.rng.random_bool(self.loss);
        let (source, target) = (&self.nodes[from], &self.nodes[to]);
        if is_lost || (self.partition)(source, target) {
            return;
        }
        let delay = if source.region == target.region {
            ZONE_DELAY
        } else {
            REGION_DELAY
        };
        let jitter = delay.mul_f64(self.rng.random_range(0.0..1.0));
        self.nodes[to].received_bytes += size;
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.in_flight.push(None);
            self.in_flight.len() - 1
        });
        self.in_flight[slot] = wire::decode(&bytes).ok();
        self.push(self.now + delay + jitter, Task::Deliver(to, slot));
    }

    /// How many running daemons know a daemon as being of `status`.
    pub fn count_observers(&self, daemon: usize, status: Status) -> usize {
        let name = &self.nodes[daemon].swim.me().daemon;
        self.nodes
            .iter()
            .filter(|n| n.is_up && !n.is_paused)
            .filter(|n| {
                n.swim
                    .peers()
                    .any(|(m, _)| m.daemon == *name && m.status == status)
            })
            .count()
    }

    /// The least number of other daemons that any running daemon knows as live.
    pub fn min_live(&self) -> usize {
        let is_running = |n: &&Node| n.is_up && !n.is_paused;
        let counts = self
            .nodes
            .iter()
            .filter(is_running)
            .map(|n| n.swim.live().count());
        counts.min().unwrap_or(0)
    }
}
