//! The configuration of the operators: routes, services, workspaces and limits.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id;

event! {
    /// One accepted version of the configuration, in full.
    #[derive(Default)]
    pub struct Catalog {
        /// The version; a lower one never replaces a higher one, even when it arrives later.
        pub version: u64,
        /// The routes.
        pub routes: Vec<Route>,
        /// The services, by name.
        pub services: IndexMap<id::Pool, Service>,
        /// The limits on requests of clients.
        pub limits: Limits,
        /// The workspaces; none when requests need no API key.
        pub workspaces: Option<Vec<Workspace>>,
        /// The index of the workspace of each API key.
        pub keys: IndexMap<String, usize>,
    }
}

token! {
    /// Whether a route's requests may be sent again and are answered by streams.
    pub enum Kind {
        /// A request may run more than once.
        Idempotent,
        /// A request runs at most once for each attempt of a client.
        AtMostOnce,
        /// A stream of events that starts at most once.
        Stream,
        /// A stream of events that another endpoint may continue.
        Resumable,
    }
}

impl Kind {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Returns whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

event! {
    /// Requests of one host below one path.
    pub struct Route {
        /// The name.
        pub name: id::Name,
        /// The host whose requests it takes.
        pub host: String,
        /// The prefix of the paths of its requests.
        pub prefix: String,
        /// Whether requests may be sent again.
        pub kind: Kind,
        /// The longest time until a request is answered.
        pub timeout: Duration,
        /// The time within which an answer has its full value.
        pub target_latency: Duration,
        /// The priority; 0 is the most urgent.
        pub priority: u8,
        /// The services among which its requests are split.
        pub split: Vec<Share>,
        /// The most endpoints that one request may be sent to.
        pub max_attempts: u32,
        /// The stages that are done before the request itself.
        pub stages: Vec<Stage>,
        /// Whether requests need no API key.
        pub is_public: bool,
        /// The regions in which its requests may be served, cached and stored; all when there are none.
        pub allowed_regions: Vec<id::Region>,
    }
}

event! {
    /// A service's share of a route's requests.
    pub struct Share {
        /// The service.
        pub service: id::Pool,
        /// Its weight among the others.
        pub weight: u32,
    }
}

event! {
    /// One stage before a request.
    pub struct Stage {
        /// The service that computes it.
        pub service: id::Pool,
        /// The stages whose results it needs.
        pub after: Vec<usize>,
        /// The approximate size of one result, in bytes.
        pub bytes: u64,
    }
}

event! {
    /// Interchangeable endpoints.
    #[derive(Default)]
    pub struct Service {
        /// The most connections that one endpoint takes.
        pub max_connections: usize,
        /// The limits of its engines, for services that generate tokens.
        pub engine: Option<Engine>,
        /// How pieces are computed, for services of stages.
        pub batch: Option<Batch>,
        /// What its endpoints bear while they are cold, for services whose endpoints start cold.
        pub cold_start: Option<ColdStart>,
    }
}

event! {
    /// How endpoints of a service start.
    pub struct ColdStart {
        /// How long an endpoint is cold after its start.
        pub duration: Duration,
        /// The requests a second that a cold endpoint bears, from all daemons together.
        pub rate: f64,
    }
}

event! {
    /// The limits of one engine.
    pub struct Engine {
        /// Requests that it runs concurrently.
        pub slots: u32,
        /// Tokens that its memory holds.
        pub memory_tokens: u64,
        /// The memory of one token, in bytes; 0 when engines fetch nothing from each other.
        pub token_bytes: u64,
        /// The rate of the link between engines, in bits a second.
        pub link_rate: u64,
    }
}

impl Batch {
    /// Returns the time of a full call at the usual speed.
    pub fn full_time(&self) -> Duration {
        let pieces = u32::try_from(self.max_pieces).unwrap_or(u32::MAX);
        self.call_time + self.piece_time * pieces
    }
}

impl Engine {
    /// Returns how long the memory of one token takes from one engine to another, if that is possible.
    pub fn token_transfer_time(&self) -> Option<Duration> {
        let is_possible = self.token_bytes > 0 && self.link_rate > 0;
        let seconds = self.token_bytes as f64 * 8.0 / self.link_rate as f64;
        is_possible.then(|| Duration::from_secs_f64(seconds))
    }
}

event! {
    /// How an endpoint of a stage computes pieces.
    pub struct Batch {
        /// The most pieces of a call.
        pub max_pieces: usize,
        /// The fixed time of a call, without its pieces.
        pub call_time: Duration,
        /// The approximate time of one piece.
        pub piece_time: Duration,
        /// Bytes of results that one endpoint can hold.
        pub capacity_bytes: u64,
        /// How long an endpoint holds a result after the call.
        pub retention: Duration,
    }
}

event! {
    /// A customer of the operators.
    pub struct Workspace {
        /// The name.
        pub name: id::Workspace,
        /// Its priority, which overrides that of the route.
        pub priority: Option<u8>,
        /// The regions in which its requests may be served, as well as those of the route; all when there
        /// are none.
        pub allowed_regions: Vec<id::Region>,
    }
}

event! {
    /// Limits on requests of clients.
    pub struct Limits {
        /// The longest head, in bytes.
        pub head_bytes: usize,
        /// The longest body, in bytes.
        pub body_bytes: usize,
        /// The longest time until a head has arrived.
        pub head_timeout: Duration,
        /// The longest time that a connection may be idle.
        pub idle_timeout: Duration,
    }
}

impl Default for Limits {
    /// The limits before a configuration is known; they match those that operators commonly set.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Catalog {
    /// Returns the route of a request: the one of its host with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = |route: &&Route| route.host.eq_ignore_ascii_case(host);
        let routes = self.routes.iter().filter(of_host);
        let matching = routes.filter(|route| path.starts_with(&route.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Returns the workspace of an API key.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let index = *self.keys.get(key)?;
        self.workspaces.as_ref()?.get(index)
    }
}

impl Route {
    /// Returns the service for a request by its hash, in proportion to the weights.
    pub fn service(&self, hash: u64) -> Option<&id::Pool> {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut remainder = hash.checked_rem(total)?;
        for share in &self.split {
            let weight = u64::from(share.weight);
            if remainder < weight {
                return Some(&share.service);
            }
            remainder -= weight;
        }
        None
    }
}

#[cfg(test)]
mod tests;
