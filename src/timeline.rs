//! The timeline: events of all processes, ordered by a hybrid logical clock.
//!
//! See [the operators' page](../docs/operators/timeline.md).

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;
use slog::Logger;

use crate::clock::Clock;
use crate::id;

pub mod filter;
pub mod format;

/// The most events that a daemon retains; the oldest are dropped first.
pub const MAX_EVENTS: usize = 65_536;

token! {
    /// A timestamp of the hybrid logical clock.
    pub struct Stamp {
        /// Microseconds since the Unix epoch.
        pub wall: u64,
        /// Orders events of the same microsecond.
        pub counter: u32,
    }

    /// What an event is about.
    pub enum Kind {
        /// A request arrived, was placed, retried, hedged or answered.
        Request,
        /// A call to an endpoint began or ended.
        Call,
        /// A claim was sent or decided.
        Claim,
        /// A change of configuration was applied.
        Config,
        /// A daemon or endpoint joined, was suspected, left or died.
        Member,
        /// A lease was acquired, renewed or lost.
        Lease,
        /// An order was given to an engine.
        Order,
        /// A request's content was suspected of crashing endpoints, or refused.
        Quarantine,
        /// The daemon started, drained or stopped.
        Daemon,
    }
}

value! {
    /// One event of a timeline.
    pub struct Event {
        /// The timestamp.
        pub at: Stamp,
        /// The daemon that recorded it.
        pub daemon: id::Daemon,
        /// What it is about.
        pub kind: Kind,
        /// The request, if it concerns one.
        pub request: Option<id::Request>,
        /// The endpoint, if it concerns one.
        pub endpoint: Option<id::Endpoint>,
        /// What happened, in a few words.
        pub what: String,
    }
}

impl Stamp {
    /// The stamp before every event.
    pub const MIN: Self = Self {
        wall: 0,
        counter: 0,
    };
}

struct State {
    last: Stamp,
    events: VecDeque<Event>,
}

/// Records events of one daemon and retains recent ones.
pub struct Recorder {
    daemon: id::Daemon,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    logger: Option<Logger>,
}

impl Recorder {
    /// Returns an empty recorder.
    pub fn new(daemon: id::Daemon, clock: Arc<dyn Clock>) -> Self {
        let state = State {
            last: Stamp::MIN,
            events: VecDeque::new(),
        };
        Self {
            daemon,
            clock,
            state: Mutex::new(state),
            logger: None,
        }
    }

    /// Also logs each event: requests, calls and claims at level debug, the rest at info.
    #[must_use]
    pub fn with_logger(mut self, logger: Logger) -> Self {
        self.logger = Some(logger);
        self
    }

    fn log(&self, event: &Event) {
        let Some(logger) = &self.logger else {
            return;
        };
        let kind = format!("{:?}", event.kind).to_lowercase();
        let mut logger = logger.new(slog::o!("kind" => kind));
        if let Some(request) = event.request {
            logger = logger.new(slog::o!("request" => request.to_string()));
        }
        if let Some(endpoint) = &event.endpoint {
            logger = logger.new(slog::o!("endpoint" => endpoint.to_string()));
        }
        match event.kind {
            Kind::Request | Kind::Call | Kind::Claim => slog::debug!(logger, "{}", event.what),
            _ => slog::info!(logger, "{}", event.what),
        }
    }

    fn wall_micros(&self) -> u64 {
        self.clock
            .wall()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns a stamp later than all earlier ones; messages to other daemons carry it.
    pub fn stamp(&self) -> Stamp {
        let wall = self.wall_micros();
        let mut state = self.state.lock();
        state.last = next_stamp(state.last, wall);
        state.last
    }

    /// Advances the clock past the stamp of a received message, to keep causal order.
    pub fn advance_past(&self, received: Stamp) {
        let wall = self.wall_micros();
        let mut state = self.state.lock();
        state.last = next_stamp(state.last.max(received), wall);
    }

    /// Records an event.
    pub fn record(
        &self,
        kind: Kind,
        request: Option<id::Request>,
        endpoint: Option<id::Endpoint>,
        what: impl Into<String>,
    ) {
        let event = Event {
            at: self.stamp(),
            daemon: self.daemon.clone(),
            kind,
            request,
            endpoint,
            what: what.into(),
        };
        self.log(&event);
        let mut state = self.state.lock();
        if state.events.len() == MAX_EVENTS {
            state.events.pop_front();
        }
        state.events.push_back(event);
    }

    /// Returns the events after `since`.
    pub fn since(&self, since: Stamp) -> Vec<Event> {
        let state = self.state.lock();
        state
            .events
            .iter()
            .filter(|e| e.at > since)
            .cloned()
            .collect()
    }
}

fn next_stamp(last: Stamp, wall: u64) -> Stamp {
    if wall > last.wall {
        Stamp { wall, counter: 0 }
    } else {
        Stamp {
            wall: last.wall,
            counter: last.counter + 1,
        }
    }
}

#[cfg(test)]
mod tests;
