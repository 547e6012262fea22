//! Open connections to stage endpoints, so that calls need not wait for one.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;
use crate::serve::exchange::Connection;

/// How long an idle connection is kept; endpoints close idle ones after seconds.
const MAX_IDLE_TIME: Duration = Duration::from_millis(900);

token! {
    /// What a connection may carry. No id in an answer tells to which call it belongs, and endpoints may send one
    /// once more where the next is due.
    pub enum Use {
        /// One call whose answer counts; it has carried nothing before.
        Call,
        /// Calls that free results, whose answers say nothing.
        Free,
    }
}

struct Idle {
    connection: Connection,
    address: SocketAddr,
    since: Time,
}

/// The idle connections of one daemon, one for each endpoint and use.
#[derive(Default)]
pub struct Connections {
    idle: RefCell<IndexMap<(id::Endpoint, Use), Idle>>,
}

impl Connections {
    /// Takes a connection to an endpoint, if there is one that is open and on which nothing has come.
    pub fn take(
        &self,
        endpoint: &id::Endpoint,
        address: SocketAddr,
        carries: Use,
        now: Time,
    ) -> Option<Connection> {
        let key = (endpoint.clone(), carries);
        let idle = self.idle.borrow_mut().swap_remove(&key)?;
        let is_usable = idle.address == address && now < idle.since + MAX_IDLE_TIME;
        let mut connection = Some(idle.connection).filter(|_| is_usable)?;
        connection.is_quiet().then_some(connection)
    }

    /// Keeps a connection to an endpoint in place of the one before.
    pub fn put(
        &self,
        endpoint: &id::Endpoint,
        address: SocketAddr,
        carries: Use,
        connection: Connection,
        now: Time,
    ) {
        let idle = Idle {
            connection,
            address,
            since: now,
        };
        let key = (endpoint.clone(), carries);
        self.idle.borrow_mut().insert(key, idle);
    }
}
