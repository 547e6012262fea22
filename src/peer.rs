//! Calls between daemons over persistent connections.
//!
//! See [the design note](../docs/design/peer.md).

use std::time::Duration;

use snafu::Snafu;

use crate::{endpoint, entry, id, pipeline};

mod client;
mod connection;
mod net;
mod server;
pub(crate) mod stream;
mod wire;

pub use net::{Net, Options};

token! {
    /// The topic of a message between daemons; the module that handles it decodes the body.
    pub enum Topic {
        /// Claims sent to the preferred writer of a stream.
        Claim,
        /// Configuration that a lagging daemon pulls.
        Config,
        /// Membership of daemons and endpoints.
        Member,
        /// Requests suspected of crashing endpoints.
        Quarantine,
        /// Load by availability zone and pool.
        Digest,
        /// Operators' queries, forwarded by the daemon that an operator reached.
        Operate,
    }
}

/// Why a call to another daemon failed.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No byte of the message left this process.
    #[snafu(display("{step} to daemon {peer} before a byte was sent: {reason}"))]
    NotSent {
        /// What was being done.
        step: &'static str,
        /// The daemon.
        peer: String,
        /// What went wrong.
        reason: String,
    },
    /// The message may have had its effect.
    #[snafu(display("{step} at daemon {peer} may have had its effect: {reason}"))]
    Lost {
        /// What was being done.
        step: &'static str,
        /// The daemon.
        peer: String,
        /// What went wrong.
        reason: String,
    },
}

/// The result of a call to another daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Calls to the other daemons over persistent connections.
pub trait Link: Send + Sync {
    /// Sends a message and returns the answer.
    fn ask(&self, address: &str, topic: Topic, body: &[u8], timeout: Duration) -> Result<Vec<u8>>;
    /// Runs a stage at `endpoint` through the daemon at `address`, which is near it.
    fn forward(
        &self,
        address: &str,
        endpoint: &str,
        call: &endpoint::Call,
        sink: endpoint::Sink<'_>,
    ) -> endpoint::Result<endpoint::Answer>;
    /// Runs the remainder of a request at the daemon at `address`; an error from `sink` cancels it.
    fn run_remainder(
        &self,
        address: &str,
        remainder: &pipeline::Remainder,
        sink: endpoint::Sink<'_>,
    ) -> Result<pipeline::Remote>;
    /// Cancels a forwarded call or a remainder at another daemon, which then fails with `Lost`.
    ///
    /// The default implementation lets it run to its end.
    fn cancel(&self, _request: id::Request, _attempt: id::Attempt) {}
}

/// Handles the messages of one topic at the receiving daemon.
pub trait Handler: Send + Sync {
    /// Handles a message from another daemon.
    fn handle(&self, from: &id::Daemon, body: &[u8]) -> std::result::Result<Vec<u8>, String>;
}

/// What the calling daemon is sent while its call or remainder runs at another.
#[derive(Debug)]
pub enum Relayed<T> {
    /// Tokens, in order.
    Tokens(Vec<endpoint::Token>),
    /// The result; nothing follows it.
    End(T),
}

/// Runs calls and remainders on behalf of other daemons.
pub trait Host: Send + Sync {
    /// Runs a stage at an endpoint near this daemon; blocks until it ends.
    fn forward(
        &self,
        address: &str,
        call: &endpoint::Call,
        sink: endpoint::Sink<'_>,
    ) -> endpoint::Result<endpoint::Answer>;
    /// Cancels a forwarded call at its endpoint; blocks until the endpoint answers.
    fn cancel(&self, address: &str, request: id::Request, attempt: id::Attempt);
    /// Starts the remainder of a request; dropping the returned reader cancels it.
    fn start_remainder(
        &self,
        remainder: &pipeline::Remainder,
        relay: flume::Sender<Relayed<pipeline::Remote>>,
    ) -> std::result::Result<entry::Reader, pipeline::Finish>;
}

#[cfg(test)]
mod tests;
