//! The live daemons as the claims see them.

use std::sync::Arc;

use crate::claim::router::{Peer, View};
use crate::control::Control;
use crate::id;
use crate::member::Status;
use crate::settings::{Settings, plan};

/// Reads the live daemons from control.
pub struct Live {
    control: Arc<Control>,
    settings: Settings,
}

impl Live {
    /// Reads from `control`; `settings` gives the region of each availability zone.
    pub fn new(control: Arc<Control>, settings: &Settings) -> Self {
        Self {
            control,
            settings: settings.clone(),
        }
    }
}

impl View for Live {
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
