//! Endpoints in memory, with faults that a test injects; they never sleep.
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

/// Time that an endpoint in memory says it spent on each token.
pub const TOKEN_TIME: Duration = Duration::from_millis(20);

event! {
    /// What goes wrong with a call.
    #[derive(Copy, Eq)]
    pub enum Fault {
        /// Nobody listens at the address.
        Down,
        /// The endpoint refuses before it begins.
        Refuse {
            /// Whether it says that it is leaving.
            leaving: bool,
        },
        /// The endpoint runs the stage and says that it failed.
        Fail,
        /// The call is lost on the way and does not run.
        LostBefore,
        /// The call runs to its end, and the answer is lost.
        LostAfter,
        /// The endpoint dies after this many tokens.
        CutAt(u32),
        /// The call takes this much longer; past the remaining time it is a timeout, and it ran.
        Slow(Duration),
        /// The answer belongs to another request.
        Crossed,
        /// The answer is given with its last token missing.
        Truncated,
    }
}

/// One endpoint of the fleet.
#[derive(Debug)]
struct Node {
    id: id::Endpoint,
    version: Option<id::Version>,
    standing: Option<Fault>,
    next: VecDeque<Fault>,
    load: Load,
    cache: Vec<CacheEvent>,
    state: State,
    checks_fencing: bool,
    orders: Vec<Order>,
}

impl Node {
    fn new(id: id::Endpoint, version: Option<id::Version>) -> Self {
        let versions: Vec<id::Version> = version.iter().cloned().collect();
        Self {
            id,
            version,
            standing: None,
            next: VecDeque::new(),
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

/// Endpoints by address.
#[derive(Debug, Default)]
pub struct Endpoints {
    nodes: Mutex<IndexMap<String, Node>>,
    cancelled: Mutex<IndexSet<(id::Request, id::Attempt)>>,
    journal: Journal,
}

impl Endpoints {
    /// Adds an endpoint, or replaces the one at the address.
    pub fn add(&self, address: &str, id: &str, version: Option<&str>) {
        let node = Node::new(id.into(), version.map(Into::into));
        self.nodes.lock().insert(address.to_owned(), node);
    }

    /// Takes an endpoint away; calls to it are then not sent.
    pub fn remove(&self, address: &str) {
        self.nodes.lock().shift_remove(address);
    }

    /// Makes the next call at an address go wrong; several are taken in turn.
    pub fn inject(&self, address: &str, fault: Fault) {
        if let Some(node) = self.nodes.lock().get_mut(address) {
            node.next.push_back(fault);
        }
    }

    /// Makes every call at an address go wrong, or none.
    pub fn set_fault(&self, address: &str, fault: Option<Fault>) {
        if let Some(node) = self.nodes.lock().get_mut(address) {
            node.standing = fault;
        }
    }

    /// Sets whether an engine refuses an order that carries an old fencing token.
    pub fn set_checks_fencing(&self, address: &str, checks: bool) {
        if let Some(node) = self.nodes.lock().get_mut(address) {
            node.checks_fencing = checks;
        }
    }

    /// Sets the load that an engine reports.
    pub fn set_load(&self, address: &str, load: Load) {
        if let Some(node) = self.nodes.lock().get_mut(address) {
            node.load = load;
        }
    }

    /// Appends a cache event of an engine.
    pub fn push_cache(&self, address: &str, cache: CacheEvent) {
        if let Some(node) = self.nodes.lock().get_mut(address) {
            node.cache.push(cache);
        }
    }

    /// Returns the orders that an engine took, in the order of arrival.
    pub fn orders(&self, address: &str) -> Vec<Order> {
        let nodes = self.nodes.lock();
        nodes
            .get(address)
            .map(|n| n.orders.clone())
            .unwrap_or_default()
    }

    /// Returns the journal of every call that began or ended.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    fn enter(&self, address: &str) -> Option<(id::Endpoint, Option<id::Version>, Option<Fault>)> {
        let mut nodes = self.nodes.lock();
        let node = nodes.get_mut(address)?;
        let fault = node.next.pop_front().or(node.standing);
        Some((node.id.clone(), node.version.clone(), fault))
    }

    fn with<T>(
        &self,
        step: &'static str,
        address: &str,
        work: impl FnOnce(&mut Node) -> Result<T>,
    ) -> Result<T> {
        let mut nodes = self.nodes.lock();
        match nodes.get_mut(address) {
            Some(node) if node.standing != Some(Fault::Down) => work(node),
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

/// One call while it runs.
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
        let Some((id, version, fault)) = self.enter(address) else {
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
        let began = self.journal.begin(&id, call, &run.input);
        if run.input.poison {
            self.journal.end(began, "crashed", &Usage::default());
            self.set_fault(address, Some(Fault::Down));
            return Err(lost("call", address, "connection closed"));
        }
        let result = run.finish(sink);
        let (word, usage) = match &result {
            Ok(answer) => ("answered", answer.usage.clone()),
            Err(Error::Failed { .. }) => ("failed", Usage::default()),
            Err(Error::Timeout { .. }) => ("answered", run.usage(run.tokens().len())),
            Err(_) => ("cut", Usage::default()),
        };
        self.journal.end(began, word, &usage);
        result
    }

    fn cancel(&self, address: &str, request: id::Request, attempt: id::Attempt) -> Result<()> {
        self.with("cancel", address, |_| Ok(()))?;
        self.cancelled.lock().insert((request, attempt));
        Ok(())
    }
}

impl Endpoints {
    /// Says whether a cancel call for an attempt arrived.
    pub fn is_cancelled(&self, request: id::Request, attempt: id::Attempt) -> bool {
        self.cancelled.lock().contains(&(request, attempt))
    }
}

impl super::Engine for Endpoints {
    fn load(&self, address: &str) -> Result<Load> {
        self.with("load", address, |node| Ok(node.load.clone()))
    }

    fn cache_events(&self, address: &str, sequence: u64) -> Result<Vec<CacheEvent>> {
        self.with("cache", address, |node| {
            let later = node.cache.iter().filter(|c| c.sequence > sequence);
            Ok(later.cloned().collect())
        })
    }

    fn order(&self, address: &str, order: &Order) -> Result<()> {
        self.with("order", address, |node| {
            let newest = node.state.fence.unwrap_or(0);
            if node.checks_fencing && order.fence < newest {
                return Err(refused("order", address, "old fencing token", false));
            }
            node.state.fence = node.checks_fencing.then_some(order.fence);
            node.state.versions.clone_from(&order.versions);
            node.load.versions.clone_from(&order.versions);
            node.version = order.versions.first().cloned();
            if order.role.is_some() {
                node.state.role.clone_from(&order.role);
                node.load.role.clone_from(&order.role);
            }
            node.orders.push(order.clone());
            Ok(())
        })
    }

    fn state(&self, address: &str) -> Result<State> {
        self.with("state", address, |node| Ok(node.state.clone()))
    }

    fn copy_cache(&self, from: &str, to: &str, _prefix: u64) -> Result<u64> {
        self.with("copy cache", from, |_| Ok(()))?;
        self.with("copy cache", to, |_| Ok(0))
    }
}

#[cfg(test)]
mod tests;
