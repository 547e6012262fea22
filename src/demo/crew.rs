//! The daemons of the demo, and the faults that they can be put through.

use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;

use crate::claim::desk::Desk;
use crate::daemon::{Daemon, Ports};
use crate::endpoint;
use crate::operate::Report;
use crate::platform::{self, Role, Vm};
use crate::policy::adaptive::Adaptive;
use crate::route;
use crate::settings::{self, Kind as PoolKind, Settings};
use crate::standin::fault::{Fault, Kind};
use crate::standin::fleet::Fleet;
use crate::standin::link::{Crossing, Link};
use crate::standin::relay::Relay;

/// How long a daemon that shuts down may take.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);
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

struct Post {
    member: Member,
    generation: u32,
    daemon: Option<Arc<Daemon>>,
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
                address: free_address()?,
                operators: free_address()?,
                zone: zone.name.clone(),
            };
            let mut post = Post {
                member,
                generation: 0,
                daemon: None,
                relay: None,
            };
            crew.fill(&mut post)?;
            crew.posts.lock().push(post);
        }
        Ok(crew)
    }

    /// Returns where the daemons are found.
    pub fn members(&self) -> Vec<Member> {
        self.posts.lock().iter().map(|p| p.member.clone()).collect()
    }

    /// Returns what the daemons booked, those that stopped included.
    pub fn reports(&self) -> Vec<Report> {
        let mut reports = self.reports.lock().clone();
        reports.extend(self.running().iter().map(|d| d.report()));
        reports
    }

    fn running(&self) -> Vec<Arc<Daemon>> {
        let posts = self.posts.lock();
        posts.iter().filter_map(|p| p.daemon.clone()).collect()
    }

    fn fill(&self, post: &mut Post) -> Result<(), String> {
        let mut settings = self.settings.clone();
        let daemon = &mut settings.daemon;
        if post.generation > 0 {
            let base = post.member.name.split('.').next().unwrap_or_default();
            post.member.name = format!("{base}.{}", post.generation);
        }
        daemon.name.clone_from(&post.member.name);
        daemon.availability_zone.clone_from(&post.member.zone);
        daemon.callers_address.clone_from(&post.member.address);
        daemon.operators_address.clone_from(&post.member.operators);
        daemon.peers_address = "127.0.0.1:0".into();
        let started = Daemon::start(&settings, self.ports(&settings)?);
        let started = started.map_err(|e| e.to_string())?;
        let relay = Relay::start(started.net().address(), self.link.clone());
        let relay = relay.map_err(|e| e.to_string())?;
        let vm = Vm {
            id: settings.daemon.name.as_str().into(),
            role: Role::Daemon,
            address: relay.address().to_string(),
            zone: settings.daemon.availability_zone.as_str().into(),
            pool: None,
            leaving: false,
        };
        post.daemon = Some(Arc::new(started));
        post.relay = Some(relay);
        self.fleet.platform.roster.change(|list| list.push(vm));
        Ok(())
    }

    fn ports(&self, settings: &Settings) -> Result<Ports, String> {
        let log = Arc::new(platform::http::Log::new(&settings.platform.log_url));
        let daemon = settings.daemon.name.as_str().into();
        // Scripts of users send keys of any form.
        let desk = Desk::builder(daemon, log).accepts_undated(true);
        let desk = desk.claims(settings.claims.clone()).start();
        let zone = &settings.daemon.availability_zone;
        let region = settings::plan::region_of(settings, zone).unwrap_or_default();
        let client = Arc::new(endpoint::http::Client::default());
        let link = self.link.clone();
        let engine = Crossing::new(client, link, self.fleet.clone(), &*region);
        Ok(Ports::new()
            .engine(Arc::new(engine))
            .desk(Arc::new(desk.map_err(|e| e.to_string())?))
            .policy(Box::new(policy(settings, self.seed)))
            .seed(self.seed))
    }

    /// Returns the link between the regions.
    pub fn link(&self) -> &Link {
        &self.link
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
    fn aim(&self, fault: &Fault) -> Option<(usize, Arc<Daemon>)> {
        let posts = self.posts.lock();
        let target = fault.target.as_deref();
        let fits = |m: &Member| target.is_none_or(|t| m.name == t || m.address == t || m.zone == t);
        let index = posts
            .iter()
            .position(|p| p.daemon.is_some() && fits(&p.member))?;
        let daemon = posts[index].daemon.clone()?;
        Some((index, daemon))
    }

    fn pause(&self, fault: &Fault) -> bool {
        let Some((_, daemon)) = self.aim(fault) else {
            return false;
        };
        daemon.pause(fault.length());
        true
    }

    fn stop(self: &Arc<Self>, fault: &Fault) -> bool {
        let Some((index, daemon)) = self.aim(fault) else {
            return false;
        };
        let name = {
            let mut posts = self.posts.lock();
            posts[index].daemon = None;
            posts[index].member.name.clone()
        };
        let crew = self.clone();
        let length = fault.length();
        let spawned = thread::Builder::new()
            .name("replace daemon".into())
            .spawn(move || {
                crew.retire(&name, &daemon);
                drop(daemon);
                thread::sleep(length);
                crew.refill(index);
            });
        spawned.is_ok()
    }

    fn retire(&self, name: &str, daemon: &Daemon) {
        let roster = &self.fleet.platform.roster;
        roster.change(|list| {
            for vm in list.iter_mut().filter(|vm| *vm.id == *name) {
                vm.leaving = true;
            }
        });
        daemon.shutdown(SHUTDOWN_TIMEOUT);
        self.reports.lock().push(daemon.report());
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
        let running = self.running();
        let whole = |daemon: &Arc<Daemon>| daemon.shutdown(SHUTDOWN_TIMEOUT);
        // Every daemon is to be stopped, also after one that was not whole.
        running.iter().map(whole).fold(true, |all, one| all & one)
    }
}

fn policy(settings: &Settings, seed: u64) -> Adaptive {
    let zone = settings.daemon.availability_zone.as_str();
    let region = settings::plan::region_of(settings, zone).unwrap_or_default();
    let mut builder = Adaptive::builder(zone, region).seed(seed);
    for pool in &settings.pools {
        builder = builder.kind(pool.name.as_str(), kind(pool.kind));
    }
    for workspace in &settings.workspaces {
        builder = builder.weight(workspace.name.as_str(), workspace.weight);
    }
    builder.build()
}

fn kind(kind: PoolKind) -> route::Kind {
    match kind {
        PoolKind::Encoder => route::Kind::Encoder,
        PoolKind::Retriever => route::Kind::Retriever,
        PoolKind::Reranker => route::Kind::Reranker,
        PoolKind::Engine => route::Kind::Engine,
        PoolKind::Service => route::Kind::Service,
    }
}

/// Returns an address whose port was free a moment ago.
fn free_address() -> Result<String, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    Ok(address.to_string())
}
