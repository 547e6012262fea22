//! The dependencies of a node; those not given are created from its settings.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::Logger;

use crate::clock::{Clock, System};
use crate::settings::Settings;
use crate::{endpoint, platform, telemetry};

/// The dependencies of a node.
pub struct Options {
    pub(super) settings: Settings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) log: Arc<dyn platform::Log>,
    pub(super) roster: Arc<dyn platform::Roster>,
    pub(super) weights: Arc<dyn platform::Weights>,
    pub(super) engine: Arc<dyn endpoint::Engine>,
    pub(super) advertised: Option<SocketAddr>,
    pub(super) logger: Logger,
    pub(super) seed: u64,
}

impl Options {
    /// Creates everything from the settings.
    pub fn new(settings: Settings) -> Self {
        let max_answer = u64::from(settings.bounds.max_answer_bytes);
        Self {
            clock: Arc::new(System::new()),
            log: Arc::new(platform::http::Log::new(&settings.platform.log_url)),
            roster: Arc::new(platform::http::Roster::new(&settings.platform.roster_url)),
            weights: Arc::new(platform::http::Weights::new(&settings.platform.weights_url)),
            engine: Arc::new(endpoint::http::Client::new(max_answer)),
            advertised: None,
            logger: telemetry::silent(),
            seed: uuid::Uuid::new_v4().as_u64_pair().0,
            settings,
        }
    }

    /// Sets the logger.
    #[must_use]
    pub fn logger(mut self, logger: Logger) -> Self {
        self.logger = logger;
        self
    }

    /// Sets the address and port at which other daemons reach this one, if it differs from the
    /// one that it listens on.
    #[must_use]
    pub fn advertised_address(mut self, address: SocketAddr) -> Self {
        self.advertised = Some(address);
        self
    }

    /// Sets the seed of all random choices.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the clock.
    #[must_use]
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the log service.
    #[must_use]
    pub fn log(mut self, log: Arc<dyn platform::Log>) -> Self {
        self.log = log;
        self
    }

    /// Sets the platform's list of VMs.
    #[must_use]
    pub fn roster(mut self, roster: Arc<dyn platform::Roster>) -> Self {
        self.roster = roster;
        self
    }

    /// Sets the weight store.
    #[must_use]
    pub fn weights(mut self, weights: Arc<dyn platform::Weights>) -> Self {
        self.weights = weights;
        self
    }

    /// Sets the client of the endpoints.
    #[must_use]
    pub fn engine(mut self, engine: Arc<dyn endpoint::Engine>) -> Self {
        self.engine = engine;
        self
    }
}
