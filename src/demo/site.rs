//! Everything that the demo runs: stand-ins, control port and daemons.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::crew::Crew;
use crate::exchange::Request;
use crate::id;
use crate::settings::{Pipeline, Settings};
use crate::standin::control::{Control, Injector};
use crate::standin::deployment::Deployment;
use crate::standin::fault::{Fault, Kind};
use crate::standin::fleet::Fleet;

/// The availability zones of the demo, one in each region; a daemon stands in each.
pub const ZONES: [&str; 2] = ["tallinn-a", "split-a"];
/// The pipelines that the demo calls.
pub const PIPELINES: [&str; 6] = [
    "order",
    "allergy-check",
    "menu",
    "bulletin",
    "sign-up",
    "donation",
];
/// How long the daemons may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How often a daemon is asked whether it is ready.
const READY_CHECK: Duration = Duration::from_millis(20);
/// How long one such question may take.
const READY_QUESTION: Duration = Duration::from_secs(1);

/// The whole demo.
pub struct Site {
    /// The stand-ins.
    pub fleet: Arc<Fleet>,
    /// The daemons.
    pub crew: Arc<Crew>,
    /// The control port.
    pub control: Control,
    /// Settings that the daemons share.
    pub settings: Settings,
    /// Versions that engines may serve.
    pub versions: Vec<id::Version>,
    /// Faults brought about, in order.
    pub faults: Mutex<Vec<Fault>>,
}

/// Brings faults of daemons to the crew, and the others to the fleet.
struct Both {
    fleet: Arc<Fleet>,
    crew: Arc<Mutex<Option<Arc<Crew>>>>,
}

impl Injector for Both {
    fn inject(&self, fault: &Fault) -> bool {
        match fault.kind {
            Kind::DaemonPause | Kind::DaemonStop | Kind::LinkCut => {
                let crew = self.crew.lock().clone();
                crew.is_some_and(|c| c.inject(fault))
            }
            _ => self.fleet.inject(fault),
        }
    }
}

impl Site {
    /// Starts stand-ins and daemons.
    pub fn start(seed: u64) -> Result<Arc<Self>, String> {
        let deployment = Deployment::find("both").map_err(|e| e.to_string())?;
        let deployment = deployment.within(&ZONES);
        let host = Ipv4Addr::LOCALHOST.into();
        let fleet = Fleet::start(&deployment, host, seed).map_err(|e| e.to_string())?;
        let versions = deployment.manifests().into_iter().map(|m| m.version);
        let versions = versions.collect();
        // The control port serves the platform, which the daemons need before they start.
        let late = Arc::new(Mutex::new(None));
        let injector = Arc::new(Both {
            fleet: fleet.clone(),
            crew: late.clone(),
        });
        let control = Control::start("127.0.0.1:0", fleet.clone(), injector);
        let control = control.map_err(|e| e.to_string())?;
        let mut settings = deployment.settings;
        settings.platform.log_url = control.url("log");
        settings.platform.roster_url = control.url("roster");
        settings.platform.weights_url = control.url("weights");
        let crew = Crew::start(&settings, &fleet, seed)?;
        *late.lock() = Some(crew.clone());
        Ok(Arc::new(Self {
            fleet,
            crew,
            control,
            settings,
            versions,
            faults: Mutex::new(Vec::new()),
        }))
    }

    /// Waits until every daemon says that it is ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + READY_TIMEOUT;
        for member in self.crew.members() {
            let url = format!("http://{}/readyz", member.address);
            let is_ready = || {
                let reply = Request::get(&url, READY_QUESTION).send();
                reply.is_ok_and(|r| r.status == 200)
            };
            while !is_ready() {
                if Instant::now() > end {
                    return Err(format!("the daemon at {} is not ready", member.address));
                }
                thread::sleep(READY_CHECK);
            }
        }
        Ok(())
    }

    /// Returns the settings of a pipeline.
    pub fn pipeline(&self, name: &str) -> Option<&Pipeline> {
        self.settings.pipelines.iter().find(|p| p.name == name)
    }

    /// Brings a fault about and remembers it.
    pub fn inject(&self, fault: Fault) {
        let is_daemon = matches!(
            fault.kind,
            Kind::DaemonPause | Kind::DaemonStop | Kind::LinkCut
        );
        let done = if is_daemon {
            self.crew.inject(&fault)
        } else {
            self.fleet.inject(&fault)
        };
        if done {
            self.faults.lock().push(fault);
        }
    }
}
