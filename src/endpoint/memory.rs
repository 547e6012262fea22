//! In-memory endpoints for tests, with injected faults; calls return at once.
//!
//! They answer like [the stand-ins](crate::standin) and keep the same journal.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;

use super::{Answer, CacheEvent, Call, Error, Load, Order, Result, Sink, State, Token, Usage};
use crate::id;
use crate::standin::journal::Journal;
use crate::standin::text;

/// The engine time that an in-memory endpoint reports for each token.
pub const TOKEN_TIME: Duration = Duration::from_millis(20);

event! {
    /// A fault of a call.
    #[derive(Copy, Eq)]
    pub enum Fault {
        /// No server listens on the address.
        Down,
        /// The endpoint refuses the call before it starts.
        Refuse {
            /// Whether it reports that it is leaving.
            leaving: bool,
        },
        /// The endpoint runs the stage and reports that it failed.
        Fail,
        /// The call is lost in transit and does not run.
        LostBefore,
        /// The call runs to its end, and its answer is lost.
        LostAfter,
        /// The connection closes after this many tokens.
        CutAt(u32),
        /// The call takes this much longer; it runs, but times out past its remaining time.
        Slow(Duration),
        /// The answer has the id of another request.
        Crossed,
        /// The answer lacks its last token.
        Truncated,
    }
}

/// An in-memory endpoint.
#[derive(Debug)]
struct Endpoint {
    id: id::Endpoint,
    version: Option<id::Version>,
    lasting_fault: Option<Fault>,
    next_faults: VecDeque<Fault>,
    load: Load,
    cache: Vec<CacheEvent>,
    state: State,
    checks_fencing: bool,
    orders: Vec<Order>,
}

impl Endpoint {
    fn new(id: id::Endpoint, version: Option<id::Version>) -> Self {
        let versions: Vec<id::Version> = version.iter().cloned().collect();
        Self {
            id,
            version,
            lasting_fault: None,
            next_faults: VecDeque::new(),
            load: Load {
                running: 0,
                waiting: 0,
                cache_free: 1.0,
                versions: versions.clone(),
                role: None,
            },
            cache: Vec::new(),
            state: State {
                fence: None,
                versions,
                loading: Vec::new(),
                role: None,
            },
            checks_fencing: true,
            orders: Vec::new(),
        }
    }
}

/// In-memory endpoints by address.
#[derive(Debug, Default)]
pub struct Endpoints {
    by_address: Mutex<IndexMap<String, Endpoint>>,
    cancelled: Mutex<IndexSet<(id::Request, id::Attempt)>>,
    journal: Journal,
}

impl Endpoints {
    /// Adds an endpoint, or replaces the one at the address.
    pub fn add(&self, address: &str, id: &str, version: Option<&str>) {
        let endpoint = Endpoint::new(id.into(), version.map(Into::into));
        self.by_address.lock().insert(address.to_owned(), endpoint);
    }

    /// Removes an endpoint; calls to it then fail with `NotSent`.
    pub fn remove(&self, address: &str) {
        self.by_address.lock().shift_remove(address);
    }

    /// Injects a fault into the next call at an address that has none yet.
    pub fn inject(&self, address: &str, fault: Fault) {
        if let Some(endpoint) = self.by_address.lock().get_mut(address) {
            endpoint.next_faults.push_back(fault);
        }
    }

    /// Sets the fault of every call at an address, or none.
    pub fn set_fault(&self, address: &str, fault: Option<Fault>) {
        if let Some(endpoint) = self.by_address.lock().get_mut(address) {
            endpoint.lasting_fault = fault;
        }
    }

    /// Sets whether an engine refuses orders with an old fencing token.
    pub fn set_checks_fencing(&self, address: &str, checks: bool) {
        if let Some(endpoint) = self.by_address.lock().get_mut(address) {
            endpoint.checks_fencing = checks;
        }
    }

    /// Sets the load that an engine reports.
    pub fn set_load(&self, address: &str, load: Load) {
        if let Some(endpoint) = self.by_address.lock().get_mut(address) {
            endpoint.load = load;
        }
    }

    /// Appends a cache event of an engine.
    pub fn push_cache(&self, address: &str, cache: CacheEvent) {
        if let Some(endpoint) = self.by_address.lock().get_mut(address) {
            endpoint.cache.push(cache);
        }
    }

    /// Returns the orders that an engine accepted, in order of arrival.
    pub fn orders(&self, address: &str) -> Vec<Order> {
        let endpoints = self.by_address.lock();
        endpoints
            .get(address)
            .map(|e| e.orders.clone())
            .unwrap_or_default()
    }

    /// Returns the journal of all calls that started or ended.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    fn start_call(
        &self,
        address: &str,
    ) -> Option<(id::Endpoint, Option<id::Version>, Option<Fault>)> {
        let mut endpoints = self.by_address.lock();
        let endpoint = endpoints.get_mut(address)?;
        let fault = endpoint.next_faults.pop_front().or(endpoint.lasting_fault);
        Some((endpoint.id.clone(), endpoint.version.clone(), fault))
    }

    fn with_endpoint<T>(
        &self,
        step: &'static str,
        address: &str,
        work: impl FnOnce(&mut Endpoint) -> Result<T>,
    ) -> Result<T> {
        let mut endpoints = self.by_address.lock();
        match endpoints.get_mut(address) {
            Some(endpoint) if endpoint.lasting_fault != Some(Fault::Down) => work(endpoint),
            _ => Err(not_sent(step, address)),
        }
    }
}

fn not_sent(step: &'static str, address: &str) -> Error {
    Error::NotSent {
        step,
        peer: address.to_owned(),
        reason: "connection refused".into(),
    }
}

fn lost(step: &'static str, address: &str, reason: &str) -> Error {
    Error::Lost {
        step,
        peer: address.to_owned(),
        reason: reason.to_owned(),
    }
}

fn refused(step: &'static str, address: &str, reason: &str, leaving: bool) -> Error {
    Error::Refused {
        step,
        peer: address.to_owned(),
        reason: reason.to_owned(),
        leaving,
    }
}

/// A running call.
struct Run<'a> {
    address: &'a str,
    call: &'a Call,
    input: text::Input,
    version: Option<id::Version>,
    fault: Option<Fault>,
}

impl Run<'_> {
    fn tokens(&self) -> Vec<Token> {
        text::tokens(&self.input, self.call, self.version.as_deref())
    }

    fn is_resumable(&self) -> bool {
        text::is_resumable(&self.tokens(), self.call, self.version.as_deref())
    }

    fn usage(&self, generated: usize) -> Usage {
        let generated = u32::try_from(generated).unwrap_or(u32::MAX);
        Usage {
            engine_time: TOKEN_TIME * generated,
            prefill_tokens: self.call.input.len() as u64 / 4,
            tokens: u64::from(generated),
            link_bytes: 0,
        }
    }

    fn stream(&self, sink: Sink<'_>) -> Result<Vec<Token>> {
        let mut tokens = self.tokens();
        for token in tokens.iter().skip(self.call.resume.len()) {
            if let Some(Fault::CutAt(at)) = self.fault
                && token.index >= at
            {
                return Err(lost("call", self.address, "connection closed"));
            }
            sink(token.clone())?;
        }
        if self.fault == Some(Fault::Truncated) {
            tokens.pop();
        }
        Ok(tokens)
    }

    fn answer(&self, tokens: &[Token]) -> Answer {
        let request = match self.fault {
            Some(Fault::Crossed) => uuid::Uuid::nil(),
            _ => self.call.request,
        };
        Answer {
            request,
            stage: self.call.stage.clone(),
            attempt: self.call.attempt,
            body: text::body(&self.input, self.call, self.version.as_deref(), tokens),
            usage: self.usage(tokens.len() - self.call.resume.len().min(tokens.len())),
            version: self.version.clone(),
        }
    }

    fn finish(&self, sink: Sink<'_>) -> Result<Answer> {
        if self.fault == Some(Fault::Fail) {
            return Err(Error::Failed {
                step: "call",
                peer: self.address.to_owned(),
                reason: "the stage failed".into(),
            });
        }
        let tokens = self.stream(sink)?;
        match self.fault {
            Some(Fault::LostAfter) => Err(lost("call", self.address, "no answer")),
            Some(Fault::Slow(by)) if by > self.call.remaining => Err(Error::Timeout {
                step: "call",
                peer: self.address.to_owned(),
                limit: self.call.remaining,
            }),
            _ => Ok(self.answer(&tokens)),
        }
    }
}

impl super::Service for Endpoints {
    fn call(&self, address: &str, call: &Call, sink: Sink<'_>) -> Result<Answer> {
        let Some((id, version, fault)) = self.start_call(address) else {
            return Err(not_sent("call", address));
        };
        match fault {
            Some(Fault::Down) => return Err(not_sent("call", address)),
            Some(Fault::Refuse { leaving }) => {
                return Err(refused("call", address, "not now", leaving));
            }
            Some(Fault::LostBefore) => return Err(lost("call", address, "connection closed")),
            _ => {}
        }
        let run = Run {
            address,
            call,
            input: text::Input::read(&call.input),
            version,
            fault,
        };
        if !run.is_resumable() {
            return Err(refused("call", address, "cannot resume", false));
        }
        let entry = self.journal.begin(&id, call, &run.input);
        if run.input.poison {
            self.journal.end(entry, "crashed", &Usage::default());
            self.set_fault(address, Some(Fault::Down));
            return Err(lost("call", address, "connection closed"));
        }
        let result = run.finish(sink);
        let (outcome, usage) = match &result {
            Ok(answer) => ("answered", answer.usage.clone()),
            Err(Error::Failed { .. }) => ("failed", Usage::default()),
            Err(Error::Timeout { .. }) => ("answered", run.usage(run.tokens().len())),
            Err(_) => ("cut", Usage::default()),
        };
        self.journal.end(entry, outcome, &usage);
        result
    }

    fn cancel(&self, address: &str, request: id::Request, attempt: id::Attempt) -> Result<()> {
        self.with_endpoint("cancel", address, |_| Ok(()))?;
        self.cancelled.lock().insert((request, attempt));
        Ok(())
    }
}

impl Endpoints {
    /// Returns whether a cancellation of an attempt arrived.
    pub fn is_cancelled(&self, request: id::Request, attempt: id::Attempt) -> bool {
        self.cancelled.lock().contains(&(request, attempt))
    }
}

impl super::Engine for Endpoints {
    fn load(&self, address: &str) -> Result<Load> {
        self.with_endpoint("load", address, |endpoint| Ok(endpoint.load.clone()))
    }

    fn cache_events(&self, address: &str, sequence: u64) -> Result<Vec<CacheEvent>> {
        self.with_endpoint("cache", address, |endpoint| {
            let later = endpoint.cache.iter().filter(|c| c.sequence > sequence);
            Ok(later.cloned().collect())
        })
    }

    fn order(&self, address: &str, order: &Order) -> Result<()> {
        self.with_endpoint("order", address, |endpoint| {
            let newest = endpoint.state.fence.unwrap_or(0);
            if endpoint.checks_fencing && order.fence < newest {
                return Err(refused("order", address, "old fencing token", false));
            }
            endpoint.state.fence = endpoint.checks_fencing.then_some(order.fence);
            endpoint.state.versions.clone_from(&order.versions);
            endpoint.load.versions.clone_from(&order.versions);
            endpoint.version = order.versions.first().cloned();
            if order.role.is_some() {
                endpoint.state.role.clone_from(&order.role);
                endpoint.load.role.clone_from(&order.role);
            }
            endpoint.orders.push(order.clone());
            Ok(())
        })
    }

    fn state(&self, address: &str) -> Result<State> {
        self.with_endpoint("state", address, |endpoint| Ok(endpoint.state.clone()))
    }

    fn copy_cache(&self, from: &str, to: &str, _prefix: u64) -> Result<u64> {
        self.with_endpoint("copy cache", from, |_| Ok(()))?;
        self.with_endpoint("copy cache", to, |_| Ok(0))
    }
}

#[cfg(test)]
mod tests;
