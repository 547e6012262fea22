//! What the operators have configured: routes, services, workspaces and bounds.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id;

event! {
    /// One accepted version of the configuration, in full.
    #[derive(Default)]
    pub struct Catalog {
        /// The version; a higher one replaces a lower one, however late the lower one arrives.
        pub version: u64,
        /// The routes.
        pub routes: Vec<Route>,
        /// The services, by name.
        pub services: IndexMap<id::Pool, Service>,
        /// The bounds on what a client may send.
        pub limits: Limits,
        /// The workspaces; none when requests carry no keys.
        pub workspaces: Option<Vec<Workspace>>,
        /// The workspace of each key, as an index.
        pub keys: IndexMap<String, usize>,
    }
}

token! {
    /// What may be repeated of a route's requests.
    pub enum Kind {
        /// A request may run more than once.
        Idempotent,
        /// A request runs at most once for each attempt of a client.
        AtMostOnce,
        /// A stream of events that starts at most once.
        Stream,
        /// A stream of events that another endpoint may go on with.
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
        /// The path that its requests begin with.
        pub prefix: String,
        /// What may be repeated.
        pub kind: Kind,
        /// The longest time that a request is kept waiting.
        pub timeout: Duration,
        /// The time within which an answer is of full use.
        pub target_latency: Duration,
        /// The rank; 0 is the most urgent.
        pub priority: u8,
        /// The services that its requests are split over.
        pub split: Vec<Share>,
        /// The most endpoints that one request may be sent to.
        pub max_attempts: u32,
        /// The work that is done before the request itself.
        pub stages: Vec<Stage>,
        /// Whether no key is needed.
        pub is_public: bool,
    }
}

event! {
    /// A service's part of a route's requests.
    pub struct Share {
        /// The service.
        pub service: id::Pool,
        /// Its weight among the others.
        pub weight: u32,
    }
}

event! {
    /// One stage of the work before a request.
    pub struct Stage {
        /// The service that does it.
        pub service: id::Pool,
        /// The stages whose results it needs.
        pub after: Vec<usize>,
        /// The approximate size of one result, in bytes.
        pub bytes: u64,
    }
}

event! {
    /// The endpoints of one kind.
    #[derive(Default)]
    pub struct Service {
        /// The most connections that one endpoint takes.
        pub max_connections: usize,
        /// How a model engine is made, for services that generate.
        pub engine: Option<Engine>,
        /// How pieces are worked on, for services of stages.
        pub batch: Option<Batch>,
    }
}

event! {
    /// The bounds of one model engine.
    pub struct Engine {
        /// Requests that it runs together.
        pub slots: u32,
        /// Tokens that its memory holds.
        pub memory_tokens: u64,
    }
}

event! {
    /// How an endpoint of a stage works on pieces.
    pub struct Batch {
        /// The most pieces of a call.
        pub max_pieces: usize,
        /// The time of a call besides its pieces.
        pub call_time: Duration,
        /// The approximate time of one piece.
        pub piece_time: Duration,
        /// Bytes of results that one endpoint holds.
        pub capacity_bytes: u64,
        /// How long a result is held after its call.
        pub retention: Duration,
    }
}

event! {
    /// A customer of the operators.
    pub struct Workspace {
        /// The name.
        pub name: id::Workspace,
        /// Its rank, which goes before that of a route.
        pub priority: Option<u8>,
    }
}

event! {
    /// What a client may send, and how long it may take.
    pub struct Limits {
        /// Bytes of a head.
        pub head_bytes: usize,
        /// Bytes of a body.
        pub body_bytes: usize,
        /// The time for a head to arrive.
        pub head_timeout: Duration,
        /// How long a connection may stay idle.
        pub idle_timeout: Duration,
    }
}

impl Default for Limits {
    /// The bounds before a configuration is known; they match those that operators commonly set.
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
    /// Returns the route of a request: of its host, the one with the longest matching path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = |route: &&Route| route.host.eq_ignore_ascii_case(host);
        let routes = self.routes.iter().filter(of_host);
        let matching = routes.filter(|route| path.starts_with(&route.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Returns the workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let index = *self.keys.get(key)?;
        self.workspaces.as_ref()?.get(index)
    }
}

impl Route {
    /// Returns the service for a request, by a number that is spread evenly over requests.
    pub fn service(&self, spread: u64) -> Option<&id::Pool> {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut at = spread.checked_rem(total)?;
        for share in &self.split {
            let weight = u64::from(share.weight);
            if at < weight {
                return Some(&share.service);
            }
            at -= weight;
        }
        None
    }
}

#[cfg(test)]
mod tests;
