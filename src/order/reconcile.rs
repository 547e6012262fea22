//! Reconciliation: orders engines until their reported state matches their spec.

use std::time::Duration;

use indexmap::IndexMap;

use super::{OUT_OF_SERVICE_POLL_INTERVAL, POLL_INTERVAL, SETTLED_POLL_INTERVAL};
use crate::clock::Time;
use crate::endpoint::{Order, State};
use crate::id;

/// Wait after the first order without effect; it doubles.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum wait between two orders to one engine.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

event! {
    /// Desired state of an engine.
    pub struct Spec {
        /// Versions to load, and no others; empty leaves them unchanged.
        pub versions: Vec<id::Version>,
        /// Role to take; none leaves it unchanged.
        pub role: Option<id::Name>,
    }

    /// An action for the controller to carry out.
    pub enum Action {
        /// Read the state of an engine.
        ReadState {
            /// The engine.
            endpoint: id::Endpoint,
            /// Its address and port.
            address: String,
        },
        /// Send an order to an engine.
        SendOrder {
            /// The engine.
            endpoint: id::Endpoint,
            /// Its address and port.
            address: String,
            /// The order.
            order: Order,
        },
    }

    /// Status of an engine, for operators.
    pub struct Status {
        /// The engine.
        pub endpoint: id::Endpoint,
        /// Whether it refuses orders with an old fencing token.
        pub checks_fencing: bool,
        /// Whether its state matches the spec.
        pub is_settled: bool,
        /// Orders sent since it last matched the spec.
        pub orders: u32,
        /// How long orders are held back, because the last holder's may still arrive.
        pub held_back: Duration,
    }

    /// Lease under which orders are sent.
    #[derive(Copy)]
    pub struct Authority {
        /// The fencing token.
        pub fence: id::Fence,
        /// When this daemon acquired the lease.
        pub acquired_at: Time,
    }
}

#[derive(Clone, Debug)]
struct Task {
    address: String,
    checks_fencing: bool,
    spec: Spec,
    /// Last state, and when it was read.
    state: Option<(State, Time)>,
    read_sent_at: Option<Time>,
    order_sent_at: Option<Time>,
    next_order_at: Time,
    backoff: Duration,
    orders: u32,
    is_out_of_service: bool,
}

/// Reconciles the engines of one controller.
#[derive(Debug)]
pub struct Reconciler {
    tasks: IndexMap<id::Endpoint, Task>,
    timeout: Duration,
}

impl Spec {
    /// Returns whether the state of an engine matches the spec.
    pub fn is_met(&self, state: &State) -> bool {
        let is_exact = self.versions.iter().all(|v| state.versions.contains(v))
            && state.versions.len() == self.versions.len();
        let has_versions = self.versions.is_empty() || is_exact;
        let has_role = self.role.is_none() || self.role == state.role;
        has_versions && has_role
    }

    /// Returns whether an engine is loading all versions that it lacks.
    fn is_underway(&self, state: &State) -> bool {
        let missing = |v: &&id::Version| !state.versions.contains(*v);
        let mut missing = self.versions.iter().filter(missing).peekable();
        missing.peek().is_some() && missing.all(|v| state.loading.contains(v))
    }
}

impl Reconciler {
    /// Creates a reconciler whose reads and orders take at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            tasks: IndexMap::new(),
            timeout,
        }
    }

    /// Sets the spec of an engine.
    pub fn set_spec(
        &mut self,
        endpoint: &id::Endpoint,
        address: &str,
        checks_fencing: bool,
        spec: Spec,
    ) {
        let task = self.tasks.entry(endpoint.clone()).or_insert_with(|| Task {
            address: address.into(),
            checks_fencing,
            spec: spec.clone(),
            state: None,
            read_sent_at: None,
            order_sent_at: None,
            next_order_at: Time::ZERO,
            backoff: INITIAL_BACKOFF,
            orders: 0,
            is_out_of_service: false,
        });
        if task.spec != spec {
            task.spec = spec;
            task.next_order_at = Time::ZERO;
            task.backoff = INITIAL_BACKOFF;
        }
    }

    /// Sets whether an engine is out of service and polled more often.
    pub fn set_out_of_service(&mut self, endpoint: &str, is_out_of_service: bool) {
        if let Some(task) = self.tasks.get_mut(endpoint) {
            task.is_out_of_service = is_out_of_service;
        }
    }

    /// Drops the engines that are no longer present.
    pub fn retain(&mut self, is_present: impl Fn(&id::Endpoint) -> bool) {
        self.tasks.retain(|endpoint, _| is_present(endpoint));
    }

    /// Returns the actions that are due.
    pub fn tick(&mut self, authority: Authority, now: Time) -> Vec<Action> {
        let timeout = self.timeout;
        let action = |(endpoint, task): (&id::Endpoint, &mut Task)| {
            task.next_action(endpoint, authority, timeout, now)
        };
        self.tasks.iter_mut().filter_map(action).collect()
    }

    /// Handles the state of an engine; none when it did not answer.
    pub fn on_state_read(&mut self, endpoint: &str, state: Option<State>, now: Time) {
        let Some(task) = self.tasks.get_mut(endpoint) else {
            return;
        };
        task.read_sent_at = None;
        task.state = state.map(|s| (s, now));
        if task.is_settled() {
            task.orders = 0;
            task.backoff = INITIAL_BACKOFF;
        }
    }

    /// Handles the end of an order, whose answer is ignored: only the next read counts.
    pub fn on_order_ended(&mut self, endpoint: &str, now: Time) {
        if let Some(task) = self.tasks.get_mut(endpoint) {
            task.order_sent_at = None;
            task.state = None;
            task.next_order_at = now + task.backoff;
            task.backoff = (task.backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Returns the last state of an engine, and when it was read.
    pub fn state(&self, endpoint: &str) -> Option<&(State, Time)> {
        self.tasks.get(endpoint)?.state.as_ref()
    }

    /// Returns the status of each engine.
    pub fn statuses(&self, authority: Authority, now: Time) -> Vec<Status> {
        let status = |(endpoint, task): (&id::Endpoint, &Task)| Status {
            endpoint: endpoint.clone(),
            checks_fencing: task.checks_fencing,
            is_settled: task.is_settled(),
            orders: task.orders,
            held_back: task
                .earliest_order(authority, self.timeout)
                .saturating_sub(now),
        };
        self.tasks.iter().map(status).collect()
    }
}

impl Task {
    fn is_settled(&self) -> bool {
        self.state
            .as_ref()
            .is_some_and(|(state, _)| self.spec.is_met(state))
    }

    /// Returns the earliest time of an order; an engine without fencing may still get the last
    /// holder's.
    fn earliest_order(&self, authority: Authority, timeout: Duration) -> Time {
        if self.checks_fencing {
            Time::ZERO
        } else {
            authority.acquired_at + timeout
        }
    }

    fn next_action(
        &mut self,
        endpoint: &id::Endpoint,
        authority: Authority,
        timeout: Duration,
        now: Time,
    ) -> Option<Action> {
        let is_pending = |sent: Option<Time>| sent.is_some_and(|at| now < at + timeout);
        if is_pending(self.order_sent_at) || is_pending(self.read_sent_at) {
            return None;
        }
        let interval = match (self.is_out_of_service, self.is_settled()) {
            (true, _) => OUT_OF_SERVICE_POLL_INTERVAL,
            (false, true) => SETTLED_POLL_INTERVAL,
            (false, false) => POLL_INTERVAL,
        };
        let is_recent = |at: Time| now < at + interval;
        let Some((state, _)) = self.state.as_ref().filter(|(_, at)| is_recent(*at)) else {
            self.read_sent_at = Some(now);
            return Some(Action::ReadState {
                endpoint: endpoint.clone(),
                address: self.address.clone(),
            });
        };
        let is_done = self.spec.is_met(state) || self.spec.is_underway(state);
        if is_done || now < self.next_order_at || now < self.earliest_order(authority, timeout) {
            return None;
        }
        let versions = if self.spec.versions.is_empty() {
            state.versions.clone()
        } else {
            self.spec.versions.clone()
        };
        self.order_sent_at = Some(now);
        self.orders += 1;
        Some(Action::SendOrder {
            endpoint: endpoint.clone(),
            address: self.address.clone(),
            order: Order {
                fence: authority.fence,
                versions,
                role: self.spec.role.clone(),
            },
        })
    }
}
