//! Adapters between the control plane and the rest of a daemon.

use std::sync::Arc;

use crate::claim::router::{Peer, View};
use crate::control::Control;
use crate::daemon::CallObserver;
use crate::endpoint::Error;
use crate::id;
use crate::member::{Evidence, Status};
use crate::settings::{Settings, plan};

/// The live daemons known to the control plane.
pub struct LiveDaemons {
    control: Arc<Control>,
    settings: Settings,
}

impl LiveDaemons {
    /// Reads `control`; `settings` gives the region of each availability zone.
    pub fn new(control: Arc<Control>, settings: &Settings) -> Self {
        Self {
            control,
            settings: settings.clone(),
        }
    }
}

impl View for LiveDaemons {
    fn peers(&self) -> Vec<Peer> {
        let live = self.control.live().into_iter();
        live.map(|peer| Peer {
            region: region(&self.settings, &peer.zone),
            daemon: peer.daemon,
            address: peer.address,
            leaving: peer.status != Status::Alive,
        })
        .collect()
    }
}

fn region(settings: &Settings, zone: &str) -> id::Region {
    plan::region_of(settings, zone).unwrap_or_default()
}

/// Reports outcomes of calls to the control plane, so that all daemons learn of leaving endpoints.
pub struct CallReporter {
    control: Arc<Control>,
}

impl CallReporter {
    /// Reports to `control`.
    pub fn new(control: Arc<Control>) -> Self {
        Self { control }
    }
}

impl CallObserver for CallReporter {
    fn call_ended(&self, endpoint: &id::Endpoint, error: Option<&Error>) {
        let is_connected = !matches!(error, Some(Error::NotSent { .. }));
        self.control.record_connection(endpoint, is_connected);
        if matches!(error, Some(Error::Refused { leaving: true, .. })) {
            self.control.report(endpoint, Evidence::Leaving);
        }
    }
}
