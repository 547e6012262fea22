//! The daemons of the demo, and the faults that they can be put through.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;

use crate::daemon::Daemon;
use crate::endpoint;
use crate::node::{Node, Options};
use crate::operate::Report;
use crate::platform::{Role, Vm};
use crate::settings::{Settings, plan};
use crate::standin::fault::{Fault, Kind};
use crate::standin::fleet::Fleet;
use crate::standin::link::{Crossing, Link};
use crate::standin::relay::Relay;

/// How long a daemon that shuts down may take.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);
/// Any free port on loopback.
const ANY: &str = "127.0.0.1:0";
/// Attempts to take the callers' port of the daemon before.
const START_ATTEMPTS: usize = 50;
/// Time between those attempts.
const START_AGAIN: Duration = Duration::from_millis(100);

/// Where a daemon is found.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its address and port for callers.
    pub address: String,
    /// Its address and port for operators.
    pub operators: String,
    /// Its availability zone.
    pub zone: String,
}

/// A place in the crew, which one daemon after the other fills.
struct Post {
    member: Member,
    generation: u32,
    node: Option<Node>,
    /// The link in front of its peers' port; every daemon stands in a region of its own.
    relay: Option<Relay>,
}

/// The daemons, one in each availability zone.
pub struct Crew {
    settings: Settings,
    fleet: Arc<Fleet>,
    link: Arc<Link>,
    seed: u64,
    posts: Mutex<Vec<Post>>,
    reports: Mutex<Vec<Report>>,
}

impl Crew {
    /// Starts a daemon in each availability zone of the settings.
    pub fn start(settings: &Settings, fleet: &Arc<Fleet>, seed: u64) -> Result<Arc<Self>, String> {
        let crew = Arc::new(Self {
            settings: settings.clone(),
            fleet: fleet.clone(),
            link: Arc::new(Link::new(fleet.commons().clock.clone())),
            seed,
            posts: Mutex::new(Vec::new()),
            reports: Mutex::new(Vec::new()),
        });
        for (number, zone) in (1..).zip(&settings.zones) {
            let member = Member {
                name: format!("entry-{number}"),
                address: ANY.to_owned(),
                operators: ANY.to_owned(),
                zone: zone.name.clone(),
            };
            let mut post = Post {
                member,
                generation: 0,
                node: None,
                relay: None,
            };
            crew.fill(&mut post)?;
            crew.posts.lock().push(post);
        }
        fleet.platform.roster.skip_lag();
        Ok(crew)
    }

    /// Returns where the daemons are found.
    pub fn members(&self) -> Vec<Member> {
        self.posts.lock().iter().map(|p| p.member.clone()).collect()
    }

    /// Returns what the daemons booked, those that stopped included.
    pub fn reports(&self) -> Vec<Report> {
        let mut reports = self.reports.lock().clone();
        let posts = self.posts.lock();
        let running = posts.iter().filter_map(|p| p.node.as_ref());
        reports.extend(running.map(|n| n.daemon().report()));
        reports
    }

    /// Returns the link between the regions.
    pub fn link(&self) -> &Link {
        &self.link
    }

    fn fill(&self, post: &mut Post) -> Result<(), String> {
        if post.generation > 0 {
            let base = post.member.name.split('.').next().unwrap_or_default();
            post.member.name = format!("{base}.{}", post.generation);
        }
        let relay = Relay::start(Ipv4Addr::LOCALHOST.into(), &self.link);
        let relay = relay.map_err(|e| e.to_string())?;
        let vm = Vm {
            id: post.member.name.as_str().into(),
            role: Role::Daemon,
            address: relay.address().to_string(),
            zone: post.member.zone.as_str().into(),
            pool: None,
            leaving: false,
        };
        let options = self
            .options(&post.member)
            .advertised_address(relay.address());
        let node = Node::start(options).map_err(|e| e.to_string())?;
        relay.lead_to(node.daemon().net().address());
        // The daemon that replaces this one takes the same numbers.
        post.member.address = node.daemon().callers_address().to_string();
        if let Some(operators) = node.operators_address() {
            post.member.operators = operators.to_string();
        }
        self.fleet.platform.roster.change(|list| list.push(vm));
        post.node = Some(node);
        post.relay = Some(relay);
        Ok(())
    }

    fn options(&self, member: &Member) -> Options {
        let mut settings = self.settings.clone();
        let daemon = &mut settings.daemon;
        daemon.name.clone_from(&member.name);
        daemon.availability_zone.clone_from(&member.zone);
        daemon.callers_address.clone_from(&member.address);
        daemon.operators_address.clone_from(&member.operators);
        daemon.peers_address = ANY.into();
        let region = plan::region_of(&settings, &member.zone).unwrap_or_default();
        let client = Arc::new(endpoint::http::Client::default());
        let link = self.link.clone();
        let engine = Crossing::new(client, link, self.fleet.clone(), &*region);
        Options::new(settings)
            .engine(Arc::new(engine))
            .seed(self.seed)
    }

    /// Brings a fault about; false if its target does not exist.
    pub fn inject(self: &Arc<Self>, fault: &Fault) -> bool {
        match fault.kind {
            Kind::DaemonPause => self.pause(fault),
            Kind::DaemonStop => self.stop(fault),
            Kind::LinkCut => {
                self.link.cut(fault.length());
                true
            }
            _ => false,
        }
    }

    /// Returns the place of the daemon that a fault is aimed at.
    fn aim(&self, fault: &Fault) -> Option<usize> {
        let target = fault.target.as_deref();
        let fits = |m: &Member| target.is_none_or(|t| m.name == t || m.address == t || m.zone == t);
        let posts = self.posts.lock();
        posts
            .iter()
            .position(|p| p.node.is_some() && fits(&p.member))
    }

    fn pause(&self, fault: &Fault) -> bool {
        let Some(daemon) = self.aim(fault).and_then(|i| self.daemon(i)) else {
            return false;
        };
        daemon.pause(fault.length());
        true
    }

    fn daemon(&self, index: usize) -> Option<Arc<Daemon>> {
        let posts = self.posts.lock();
        posts[index].node.as_ref().map(|n| n.daemon().clone())
    }

    fn stop(self: &Arc<Self>, fault: &Fault) -> bool {
        let Some(index) = self.aim(fault) else {
            return false;
        };
        let Some((name, node)) = self.take(index) else {
            return false;
        };
        let crew = self.clone();
        let length = fault.length();
        let spawned = thread::Builder::new()
            .name("replace daemon".into())
            .spawn(move || {
                crew.retire(&name, node);
                thread::sleep(length);
                crew.refill(index);
            });
        spawned.is_ok()
    }

    fn take(&self, index: usize) -> Option<(String, Node)> {
        let mut posts = self.posts.lock();
        let post = &mut posts[index];
        let node = post.node.take()?;
        Some((post.member.name.clone(), node))
    }

    fn retire(&self, name: &str, mut node: Node) {
        let roster = &self.fleet.platform.roster;
        roster.change(|list| {
            for vm in list.iter_mut().filter(|vm| *vm.id == *name) {
                vm.leaving = true;
            }
        });
        node.shutdown(SHUTDOWN_TIMEOUT);
        self.reports.lock().push(node.daemon().report());
        roster.change(|list| list.retain(|vm| *vm.id != *name));
    }

    fn refill(&self, index: usize) {
        for _ in 0..START_ATTEMPTS {
            let mut posts = self.posts.lock();
            let post = &mut posts[index];
            post.generation += 1;
            if self.fill(post).is_ok() {
                return;
            }
            drop(posts);
            thread::sleep(START_AGAIN);
        }
    }

    /// Shuts every daemon down gracefully; false if one left something in progress.
    pub fn shutdown(&self) -> bool {
        let mut is_whole = true;
        let places = self.posts.lock().len();
        for index in 0..places {
            if let Some((_, mut node)) = self.take(index) {
                is_whole &= node.shutdown(SHUTDOWN_TIMEOUT);
                self.reports.lock().push(node.daemon().report());
            }
        }
        is_whole
    }
}
