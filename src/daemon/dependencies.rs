//! Dependencies of a daemon; those that are not set are created from its settings.

use std::sync::Arc;

use super::{CallObserver, Quarantine};
use crate::clock::{self, Clock};
use crate::timeline::Recorder;
use crate::{claim, endpoint, peer, platform, policy};

/// Dependencies of a daemon.
#[derive(Default)]
pub struct Dependencies {
    pub(super) clock: Option<Arc<dyn Clock>>,
    pub(super) roster: Option<Arc<dyn platform::Roster>>,
    pub(super) engine: Option<Arc<dyn endpoint::Engine>>,
    pub(super) policy: Option<Box<dyn policy::Policy>>,
    pub(super) coordinator: Option<Arc<dyn claim::Coordinator>>,
    pub(super) net: Option<Arc<peer::Net>>,
    pub(super) recorder: Option<Arc<Recorder>>,
    pub(super) quarantine: Option<Arc<dyn Quarantine>>,
    pub(super) call_observer: Option<Arc<dyn CallObserver>>,
    pub(super) seed: u64,
}

impl Dependencies {
    /// Creates dependencies with nothing set, so that all are created from the settings.
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

    /// Sets the connections to other daemons; the daemon serves requests on them and closes them.
    #[must_use]
    pub fn net(mut self, net: Arc<peer::Net>) -> Self {
        self.net = Some(net);
        self
    }

    /// Sets the recorder of the timeline.
    #[must_use]
    pub fn recorder(mut self, recorder: Arc<Recorder>) -> Self {
        self.recorder = Some(recorder);
        self
    }

    /// Sets the quarantine; without it no content is refused.
    #[must_use]
    pub fn quarantine(mut self, quarantine: Arc<dyn Quarantine>) -> Self {
        self.quarantine = Some(quarantine);
        self
    }

    /// Sets the observer of the outcomes of calls.
    #[must_use]
    pub fn call_observer(mut self, call_observer: Arc<dyn CallObserver>) -> Self {
        self.call_observer = Some(call_observer);
        self
    }

    /// Sets the seed of all random choices.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    pub(super) fn clock_or_system(&self) -> Arc<dyn Clock> {
        let clock = self.clock.clone();
        clock.unwrap_or_else(|| Arc::new(clock::System::new()))
    }
}
