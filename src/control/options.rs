//! Settings and dependencies of control.

use std::net::UdpSocket;
use std::sync::Arc;

use crate::clock::Clock;
use crate::settings::Settings;
use crate::timeline::Recorder;
use crate::{endpoint, peer, platform};

/// Settings and dependencies of control.
#[derive(Clone, Default)]
pub struct Options {
    pub(super) settings: Option<Arc<Settings>>,
    pub(super) log: Option<Arc<dyn platform::Log>>,
    pub(super) roster: Option<Arc<dyn platform::Roster>>,
    pub(super) link: Option<Arc<dyn peer::Link>>,
    pub(super) engine: Option<Arc<dyn endpoint::Engine>>,
    pub(super) weights: Option<Arc<dyn platform::Weights>>,
    pub(super) recorder: Option<Arc<Recorder>>,
    pub(super) clock: Option<Arc<dyn Clock>>,
    pub(super) socket: Option<Arc<UdpSocket>>,
    pub(super) seed: u64,
}

impl Options {
    /// Creates options with nothing set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the settings of the daemon; required.
    #[must_use]
    pub fn settings(mut self, settings: Arc<Settings>) -> Self {
        self.settings = Some(settings);
        self
    }

    /// Sets the log service; required.
    #[must_use]
    pub fn log(mut self, log: Arc<dyn platform::Log>) -> Self {
        self.log = Some(log);
        self
    }

    /// Sets the platform's list of VMs; required.
    #[must_use]
    pub fn roster(mut self, roster: Arc<dyn platform::Roster>) -> Self {
        self.roster = Some(roster);
        self
    }

    /// Sets the connections to other daemons; without them no state is pulled from peers.
    #[must_use]
    pub fn link(mut self, link: Arc<dyn peer::Link>) -> Self {
        self.link = Some(link);
        self
    }

    /// Sets the engines and the weight store; without them no zone is controlled.
    #[must_use]
    pub fn engines(
        mut self,
        engine: Arc<dyn endpoint::Engine>,
        weights: Arc<dyn platform::Weights>,
    ) -> Self {
        self.engine = Some(engine);
        self.weights = Some(weights);
        self
    }

    /// Sets the recorder of the timeline; required.
    #[must_use]
    pub fn recorder(mut self, recorder: Arc<Recorder>) -> Self {
        self.recorder = Some(recorder);
        self
    }

    /// Sets the clock; the default is the system clock.
    #[must_use]
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = Some(clock);
        self
    }

    /// Sets the UDP socket for other daemons; by default the port of the settings is opened.
    #[must_use]
    pub fn socket(mut self, socket: Arc<UdpSocket>) -> Self {
        self.socket = Some(socket);
        self
    }

    /// Sets the seed of random choices.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
