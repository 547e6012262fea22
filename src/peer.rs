//! The border between daemons: calls over kept connections.
//!
//! See [the design note](../docs/design/peer.md).

use std::time::Duration;

use snafu::Snafu;

use crate::{endpoint, entry, id, pipeline};

mod client;
mod net;
mod server;
mod slot;
pub(crate) mod stream;
mod wire;

pub use net::{Net, Options};

token! {
    /// What a message between daemons is about; its owner module decodes the body.
    pub enum Topic {
        /// Claims sent to the preferred writer of a stream.
        Claim,
        /// Configuration pulled by a daemon that is behind.
        Config,
        /// Membership of daemons and endpoints.
        Member,
        /// Blame of requests that crash endpoints.
        Quarantine,
        /// Digests of load by availability zone and pool.
        Digest,
        /// Operators' questions, asked on behalf of the daemon that an operator reached.
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

/// Kept connections to the other daemons.
pub trait Link: Send + Sync {
    /// Sends a message and returns the answer.
    fn ask(&self, address: &str, topic: Topic, body: &[u8], timeout: Duration) -> Result<Vec<u8>>;
    /// Runs a stage through the daemon at `address`, which is near the endpoint.
    fn forward(
        &self,
        address: &str,
        endpoint: &str,
        call: &endpoint::Call,
        sink: endpoint::Sink<'_>,
    ) -> endpoint::Result<endpoint::Answer>;
    /// Runs the rest of a request at the daemon at `address`; cancelled by an error from `sink`.
    fn run_remainder(
        &self,
        address: &str,
        rest: &pipeline::Remainder,
        sink: endpoint::Sink<'_>,
    ) -> Result<pipeline::Remote>;
    /// Ends a forwarded call or a remainder that runs at another daemon; it then answers `Lost`.
    ///
    /// A link that cannot do so lets it run to its end.
    fn cancel(&self, _request: id::Request, _attempt: id::Attempt) {}
}

/// Answers the messages of one topic at the receiving daemon.
pub trait Handler: Send + Sync {
    /// Handles a message from another daemon.
    fn handle(&self, from: &id::Daemon, body: &[u8]) -> std::result::Result<Vec<u8>, String>;
}

/// What another daemon is sent back while its request runs here.
#[derive(Debug)]
pub enum Relayed<T> {
    /// Tokens, in order.
    Tokens(Vec<endpoint::Token>),
    /// The end.
    End(T),
}

/// Runs here what other daemons hand over.
pub trait Host: Send + Sync {
    /// Runs a stage at an endpoint near this daemon; it blocks.
    fn forward(
        &self,
        address: &str,
        call: &endpoint::Call,
        sink: endpoint::Sink<'_>,
    ) -> endpoint::Result<endpoint::Answer>;
    /// Tells an endpoint that a forwarded call is not needed any more; it blocks.
    fn cancel(&self, address: &str, request: id::Request, attempt: id::Attempt);
    /// Starts the rest of a request, which is cancelled when the reader is dropped.
    fn start_remainder(
        &self,
        rest: &pipeline::Remainder,
        relay: flume::Sender<Relayed<pipeline::Remote>>,
    ) -> std::result::Result<entry::Reader, pipeline::Finish>;
}

#[cfg(test)]
mod tests;
