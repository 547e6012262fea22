//! What a daemon is joined to; what is not given is made from its settings.

use std::sync::Arc;

use super::{CallObserver, Quarantine};
use crate::clock::{self, Clock};
use crate::timeline::Recorder;
use crate::{claim, endpoint, peer, platform, policy};

/// The borders of a daemon.
#[derive(Default)]
pub struct Options {
    pub(super) clock: Option<Arc<dyn Clock>>,
    pub(super) roster: Option<Arc<dyn platform::Roster>>,
    pub(super) engine: Option<Arc<dyn endpoint::Engine>>,
    pub(super) policy: Option<Box<dyn policy::Policy>>,
    pub(super) coordinator: Option<Arc<dyn claim::Coordinator>>,
    pub(super) net: Option<Arc<peer::Net>>,
    pub(super) recorder: Option<Arc<Recorder>>,
    pub(super) screen: Option<Arc<dyn Quarantine>>,
    pub(super) witness: Option<Arc<dyn CallObserver>>,
    pub(super) seed: u64,
}

impl Options {
    /// Starts with everything made from the settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the clock.
    #[must_use]
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = Some(clock);
        self
    }

    /// Sets the list of VMs.
    #[must_use]
    pub fn roster(mut self, roster: Arc<dyn platform::Roster>) -> Self {
        self.roster = Some(roster);
        self
    }

    /// Sets the client of the endpoints.
    #[must_use]
    pub fn engine(mut self, engine: Arc<dyn endpoint::Engine>) -> Self {
        self.engine = Some(engine);
        self
    }

    /// Sets the policy.
    #[must_use]
    pub fn policy(mut self, policy: Box<dyn policy::Policy>) -> Self {
        self.policy = Some(policy);
        self
    }

    /// Sets the coordinator that decides claims.
    #[must_use]
    pub fn coordinator(mut self, coordinator: Arc<dyn claim::Coordinator>) -> Self {
        self.coordinator = Some(coordinator);
        self
    }

    /// Sets the connections to other daemons; the daemon answers on them and stops them.
    #[must_use]
    pub fn net(mut self, net: Arc<peer::Net>) -> Self {
        self.net = Some(net);
        self
    }

    /// Sets the recorder of the time line.
    #[must_use]
    pub fn recorder(mut self, recorder: Arc<Recorder>) -> Self {
        self.recorder = Some(recorder);
        self
    }

    /// Sets the screen that keeps requests from endpoints that they crash.
    #[must_use]
    pub fn quarantine(mut self, screen: Arc<dyn Quarantine>) -> Self {
        self.screen = Some(screen);
        self
    }

    /// Sets who learns what calls show of their endpoints.
    #[must_use]
    pub fn call_observer(mut self, witness: Arc<dyn CallObserver>) -> Self {
        self.witness = Some(witness);
        self
    }

    /// Sets the seed of all random choices.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    pub(super) fn clock_or_system(&self) -> Arc<dyn Clock> {
        let given = self.clock.clone();
        given.unwrap_or_else(|| Arc::new(clock::System::new()))
    }
}
