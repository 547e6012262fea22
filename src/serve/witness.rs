//! Connections that show whether an endpoint is still the process that it was.
//!
//! What takes a new connection at an address may be the next process, or something that stands before it. A connection
//! that was open before, and on which a request is answered now, belongs to the process that took it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Node;
use super::dialer::Target;
use super::exchange::{self, CONNECT_TIMEOUT, Connection};
use super::protocol::{HttpRequest, Life};
use crate::clock::Time;
use crate::id;

/// The time within which no endpoint that has ended is back.
pub const RESTART_TIME: Duration = Duration::from_secs(1);
/// How long an endpoint may take to say that it runs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest answer of an endpoint about itself; it lists what runs there.
const MAX_ANSWER_BYTES: usize = 256 * 1024;
/// How long after its first answer an endpoint that answers once on a connection has closed it.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// How long a connection is kept for further answers of the endpoint.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// The most endpoints of which a connection is kept.
const MAX_WITNESSES: usize = 256;

event! {
    /// What an endpoint said of itself.
    pub struct Account {
        /// From when on the address has been that of the process which said so.
        pub since: Time,
        /// When it was asked.
        pub asked_at: Time,
        /// Whether a connection was lost before, on which a process of the endpoint might have answered.
        pub is_after_loss: bool,
        /// Whether the expected endpoint has answered.
        pub is_expected: bool,
        /// The start of its process, if it tells.
        pub born: Option<u64>,
    }
}

/// A connection on which nothing is under way.
struct Line {
    connection: Connection,
    /// From when on the address has been that of the process which took it.
    since: Time,
    /// Whether an earlier one was lost.
    is_after_loss: bool,
    /// Whether it has been found to stay open.
    is_settled: bool,
}

#[derive(Default)]
struct State {
    line: Option<Line>,
    account: Option<Account>,
    /// Until when the endpoint did not answer.
    failed_at: Option<Time>,
    /// Whether a line was opened, or was found not to open.
    is_tried: bool,
}

/// The connection to one endpoint.
pub struct Witness {
    target: Target,
    state: Mutex<State>,
    used_at: Cell<Time>,
}

/// The witnesses of one daemon.
#[derive(Default)]
pub struct Witnesses {
    known: RefCell<IndexMap<id::Endpoint, Rc<Witness>>>,
}

impl Witnesses {
    /// Returns the witness of an endpoint. One that is no longer open is replaced; those in use keep it.
    pub fn get(&self, target: &Target, now: Time) -> Rc<Witness> {
        let mut known = self.known.borrow_mut();
        if let Some(witness) = known.get(&target.endpoint)
            && witness.target.address == target.address
            && witness.is_open()
        {
            witness.used_at.set(now);
            return witness.clone();
        }
        let witness = Rc::new(Witness {
            target: target.clone(),
            state: Mutex::default(),
            used_at: Cell::new(now),
        });
        if known.len() < MAX_WITNESSES {
            known.insert(target.endpoint.clone(), witness.clone());
        }
        witness
    }

    /// Closes the connection of a witness that has not been used for a while; returns whether it has.
    fn close_idle(&self, witness: &Rc<Witness>, now: Time) -> bool {
        let mut known = self.known.borrow_mut();
        let is_known = known
            .get(witness.endpoint())
            .is_some_and(|known| Rc::ptr_eq(known, witness));
        // One reference is the caller's.
        let is_idle = Rc::strong_count(witness) <= 2 && now >= witness.used_at.get() + IDLE_TIME;
        if is_known && is_idle {
            known.swap_remove(witness.endpoint());
        }
        is_idle || !is_known
    }
}

impl Witness {
    /// Returns the endpoint.
    pub fn endpoint(&self) -> &id::Endpoint {
        &self.target.endpoint
    }

    /// Returns whether its connection is open, being opened or in use.
    fn is_open(&self) -> bool {
        let Ok(mut state) = self.state.try_lock() else {
            return true;
        };
        let is_untried = !state.is_tried;
        let line = state.line.as_mut();
        is_untried || line.is_some_and(|line| line.connection.is_quiet())
    }

    /// Opens the connection, unless that was tried before, and keeps it until it is idle.
    pub async fn keep(self: Rc<Self>, node: Rc<Node>) {
        let is_new = {
            let mut state = self.state.lock().await;
            let is_new = !state.is_tried;
            self.open_line(&node, &mut state).await;
            is_new
        };
        if !is_new {
            return;
        }
        self.settle(&node).await;
        while !node.witnesses.close_idle(&self, node.clock.now()) {
            tokio::time::sleep(IDLE_TIME).await;
        }
    }

    async fn open_line(&self, node: &Node, state: &mut State) {
        if std::mem::replace(&mut state.is_tried, true) {
            return;
        }
        // What stands before an endpoint may take a connection for one that is gone.
        if let Some(line) = self.dial(node, state, false).await {
            self.ask(node, state, line).await;
        }
    }

    /// Opens another connection where the endpoint answers once on each.
    async fn settle(&self, node: &Node) {
        tokio::time::sleep(SETTLE_TIME).await;
        let mut state = self.state.lock().await;
        let line = state.line.as_mut();
        let is_closed = line.is_none_or(|line| !line.connection.is_quiet());
        if is_closed && state.account.is_some() {
            state.line = self.dial(node, &state, false).await;
        }
        if let Some(line) = &mut state.line {
            line.is_settled = true;
        }
    }

    /// Returns what the endpoint says of itself at some time or later; none when it does not answer.
    pub async fn account_since(self: &Rc<Self>, node: &Rc<Node>, time: Time) -> Option<Account> {
        let mut state = self.state.lock().await;
        if state.failed_at.is_some_and(|failed_at| failed_at >= time) {
            // All answers of an endpoint that ends break off at once.
            return None;
        }
        self.open_line(node, &mut state).await;
        let recent = |state: &State| state.account.clone().filter(|one| one.asked_at >= time);
        if recent(&state).is_none() {
            let mut is_lost = false;
            if let Some(line) = state.line.take() {
                let is_settled = line.is_settled;
                self.ask(node, &mut state, line).await;
                is_lost = is_settled && recent(&state).is_none();
            }
            if recent(&state).is_none()
                && let Some(line) = self.dial(node, &state, is_lost).await
            {
                // Its own words can still tell whether it is the same process.
                self.ask(node, &mut state, line).await;
            }
            if recent(&state).is_none() {
                state.failed_at = Some(node.clock.now());
                return None;
            }
            let (witness, node) = (self.clone(), node.clone());
            spawn_local(async move { witness.settle(&node).await });
        }
        recent(&state)
    }

    /// Connects to the endpoint. Unless a connection to it was lost, the process that has just answered cannot have been
    /// replaced.
    async fn dial(&self, node: &Node, state: &State, is_after_loss: bool) -> Option<Line> {
        if !node.may_ask(&self.target.endpoint) {
            return None;
        }
        let connection = node.dialer.dial(&self.target, CONNECT_TIMEOUT).await.ok()?;
        let now = node.clock.now();
        let account = state.account.as_ref().filter(|_| !is_after_loss);
        let account = account.filter(|account| now <= account.asked_at + RESTART_TIME);
        Some(Line {
            connection,
            since: account.map_or(now, |account| account.since),
            is_after_loss: is_after_loss || account.is_some_and(|account| account.is_after_loss),
            is_settled: false,
        })
    }

    /// Has the endpoint say what it is; keeps what it says, and the connection if it may be used again.
    async fn ask(&self, node: &Node, state: &mut State, line: Line) {
        let Line {
            mut connection,
            since,
            is_after_loss,
            is_settled: _,
        } = line;
        let asked_at = node.clock.now();
        // An answer that was sent before says nothing.
        if !node.may_ask(&self.target.endpoint) || !connection.is_quiet() {
            return;
        }
        let asking = timeout(ANSWER_TIMEOUT, self.exchange(node, connection));
        if let Ok(Some((life, connection))) = asking.await {
            state.account = Some(Account {
                since,
                asked_at,
                is_after_loss,
                is_expected: life.is_expected,
                born: life.born,
            });
            state.line = connection.map(|connection| Line {
                connection,
                since,
                is_after_loss,
                is_settled: false,
            });
        }
    }

    async fn exchange(
        &self,
        node: &Node,
        connection: Connection,
    ) -> Option<(Life, Option<Connection>)> {
        let HttpRequest {
            method,
            target,
            fields,
            body,
        } = node.protocol.life_call(&self.target.endpoint);
        let head = exchange::request_head(method, target, &fields, body.len(), true);
        let mut response = exchange::send(connection, &head, &[&body]).await.ok()?;
        let body = response.body(MAX_ANSWER_BYTES).await.ok()??;
        let life = node.protocol.parse_life(&response.head, &body);
        Some((life, response.into_connection()))
    }
}
