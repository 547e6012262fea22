//! Options of a coordinator.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use indexmap::{IndexMap, IndexSet};
use parking_lot::{Condvar, Mutex};

use super::super::router::{Peer, View};
use super::{Coordinator, Error, Shared};
use crate::clock::{self, Clock};
use crate::{id, peer, platform, settings};

/// Options of a coordinator; without a link it decides every claim itself.
pub struct Builder {
    daemon: id::Daemon,
    log: Arc<dyn platform::Log>,
    claims: settings::Claims,
    link: Option<Arc<dyn peer::Link>>,
    clock: Arc<dyn Clock>,
    view: Arc<dyn View>,
    log_region: Option<id::Region>,
    accepts_undated: bool,
}

/// A view without daemons, under which no executor counts as gone.
struct Empty;

impl View for Empty {
    fn peers(&self) -> Vec<Peer> {
        Vec::new()
    }
}

impl Builder {
    pub(super) fn new(daemon: id::Daemon, log: Arc<dyn platform::Log>) -> Self {
        Self {
            daemon,
            log,
            claims: settings::Claims::default(),
            link: None,
            clock: Arc::new(clock::System::new()),
            view: Arc::new(Empty),
            log_region: None,
            accepts_undated: false,
        }
    }

    /// Sets the number of streams, the window, the retention and the largest outcome.
    #[must_use]
    pub fn claims(mut self, claims: settings::Claims) -> Self {
        self.claims = claims;
        self
    }

    /// Sets the link to the other daemons.
    #[must_use]
    pub fn link(mut self, link: Arc<dyn peer::Link>) -> Self {
        self.link = Some(link);
        self
    }

    /// Sets the clock.
    #[must_use]
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the view of live daemons, this one included.
    #[must_use]
    pub fn view(mut self, view: Arc<dyn View>) -> Self {
        self.view = view;
        self
    }

    /// Sets the region of the log, near which the preferred writers are chosen.
    #[must_use]
    pub fn log_region(mut self, region: id::Region) -> Self {
        self.log_region = Some(region);
        self
    }

    /// Accepts keys without a time of issue. Such a key is remembered for the window from its
    /// first claim on, and a copy that is sent later than that runs again.
    #[must_use]
    pub fn accepts_undated(mut self, accepts: bool) -> Self {
        self.accepts_undated = accepts;
        self
    }

    /// Starts the coordinator.
    pub fn start(self) -> Result<Coordinator, Error> {
        Coordinator::start(Shared {
            daemon: self.daemon,
            claims: self.claims,
            accepts_undated: self.accepts_undated,
            log_region: self.log_region,
            log: self.log,
            link: self.link,
            clock: self.clock,
            view: self.view,
            routes: Mutex::default(),
            lanes: Mutex::new(IndexMap::new()),
            open_claims: Mutex::new(IndexMap::new()),
            not_durable: Mutex::new(IndexSet::new()),
            all_durable: Condvar::new(),
            avoided_until: Mutex::new(IndexMap::new()),
            waiting_count: Mutex::new(0),
            is_stopped: AtomicBool::new(false),
        })
    }
}
